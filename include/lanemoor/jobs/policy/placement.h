#pragma once
/// \file
/// Chooses the worker for a task. Pure.

#include "lanemoor/jobs/model/service_configuration.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

/// A task that may have crashed the workers that started it, at a site that has not survived its start yet.
struct SiteSuspect {
    std::string quarantineKey; ///< From the function of this name; suspects with the same key need no separation.
    std::uint32_t suspectedCrashes = 0; ///< Crashes that it may have caused.
};

/// A worker as a candidate for placement.
struct PlacementSite {
    const WorkerEntry* worker = nullptr;
    Resources free; ///< Capacity minus the needs of all attempts, including those being stopped.
    std::uint32_t servingTasks = 0; ///< Tasks with a latency target.
    std::uint32_t bestEffortTasks = 0;
    bool open = true; ///< False: it accepts no new task now.
    bool preferred = true; ///< False: only used if no preferred site has room.
    std::string reservedForLabel; ///< Only tasks that require this label are placed here; empty: all tasks.
    std::uint32_t labelDemand = 0; ///< Demand of tasks that require its labels, relative to the capacity of the sites with them; see `labelDemandLevel`.
    std::vector<SiteSuspect> suspects;
    bool distrusted = false; ///< It left its latest starts or a probe unanswered: only used if no other site has room.
    bool probing = false; ///< The result of its next task shows whether the worker is healthy again.
    std::uint32_t startsLeft = std::numeric_limits<std::uint32_t>::max(); ///< Number of tasks that may still be started there.
    bool hasRecentStarts = false; ///< An attempt started there less than one probation ago.
};

/// Conditions on the site beside the step's own needs.
struct PlacementQuery {
    std::string avoidWorker; ///< Only used if no other site is available.
    std::string quarantineKey; ///< Of the task, from the function of this name.
    std::uint32_t suspectedCrashes = 0; ///< Crashes that the task may have caused.
    bool isStepAtFault = false; ///< The failures of the step's tasks are attributed to the step.
    std::string rack; ///< Only sites of this rack; empty: any.
    bool nearOnly = false; ///< Only sites in the rack that the step prefers, if it prefers one.
    /// \returns Tasks of the same step and occurrence at site `index`; only called for steps with a limit per instance.
    std::function<std::uint32_t(std::size_t index)> tasksOfStep;
    /// Tasks of the same step and occurrence by data hall, which spreads them over the data halls; null: no spreading.
    const std::map<std::string, std::uint32_t>* tasksByHall = nullptr;
    /// \returns Whether the site is allowed at all; null: every site is.
    std::function<bool(std::size_t index)> admits;
};

/// \brief Chooses sites and reserves resources on them.
///
/// Among the sites that fit, sites without a suspect to be separated from the task come first, then those in the preferred rack,
/// then those that keep serving and best-effort tasks apart, then the fullest: this keeps whole instances free for maintenance
/// and for power-off. A suspect goes to the emptiest site, which limits the attempts that fail with the worker if it crashes. A
/// task to be isolated prefers sites without recent starts, beside which a crash could not be attributed to it alone.
///
/// Distrusted sites come after all others, regardless of the drawbacks of those. They are stored separately, so that a choice
/// inspects none of them while another site has room.
///
/// Sites are sorted by free processor time, so that a choice inspects only the few nearly full ones. Requests that found no room
/// are cached, so that waiting work costs one lookup per pass and not one per site. Steps that are spread over data halls inspect
/// the sites of one data hall at a time, the one with the fewest of their tasks first. Without the order and the
/// cache, placement took half of the owner's time at 275 sites and thousands of tasks per second.
class Placer {
public:
    /// \param sites Sites of one pool.
    explicit Placer(std::vector<PlacementSite> sites);

    /// \returns The index of the best site for a task of `step`; empty: none has room.
    [[nodiscard]] std::optional<std::size_t> choose(const StepSpec& step, const PlacementQuery& query) const;

    /// \returns Whether an earlier choice has shown that no site has room for a task of `step`.
    [[nodiscard]] bool isKnownFull(const StepSpec& step) const;

    /// \brief Reserves resources for a task of `step` on site `index`.
    void reserve(std::size_t index, const StepSpec& step);

    /// \brief Records a suspect placed on site `index`.
    void noteSuspect(std::size_t index, const std::string& quarantineKey, std::uint32_t suspectedCrashes);

    /// \brief Releases the resources of a task of `step` on site `index`.
    void release(std::size_t index, const StepSpec& step);

    [[nodiscard]] const std::vector<PlacementSite>& sites() const noexcept { return m_sites; }

    /// \returns Number of site inspections so far: a cost that does not depend on the machine.
    [[nodiscard]] std::uint64_t inspected() const noexcept { return m_inspected; }

private:
    /// Free processor time and index of a site.
    using Place = std::pair<std::int64_t, std::size_t>;

    /// A request that found no room: no request with the same label and at least these needs finds any.
    struct NoRoom {
        std::string label;
        Resources needs;
    };

    /// Sorted by free processor time, the fullest site first.
    using Places = std::vector<Place>;

    struct Choice;

    [[nodiscard]] Places& placesOf(std::size_t index) { return m_sites[index].distrusted ? m_distrusted : m_byFree; }
    void move(std::size_t index, const Resources& before);
    static void move(Places& places, const Place& before, const Place& now);
    [[nodiscard]] Choice chooseFrom(const Places& places, const StepSpec& step, const PlacementQuery& query) const;
    [[nodiscard]] Choice chooseSpread(const StepSpec& step, const PlacementQuery& query) const;
    void sortByHall() const;
    [[nodiscard]] bool isKnownFull(const StepSpec& step, const Resources& needs) const;

    std::vector<PlacementSite> m_sites;
    Places m_byFree; ///< Sites that accept tasks and are trusted.
    Places m_distrusted; ///< Distrusted sites that accept tasks.
    mutable std::map<std::string, Places> m_byHall; ///< `m_byFree` by data hall; empty until a step needs it.
    mutable std::vector<NoRoom> m_noRoom;
    mutable std::uint64_t m_inspected = 0;
};

/// \returns Demand for sites with a label relative to their capacity, in eighths and at most 16: tasks without a required label
/// avoid the sites with the highest demand.
[[nodiscard]] std::uint32_t labelDemandLevel(std::int64_t demandMilliCpu, std::int64_t supplyMilliCpu) noexcept;

/// \returns `used` as processor time: its largest share of `capacity`, in thousandths of a core. A task that needs half of the
/// memory uses half of the instance.
[[nodiscard]] std::int64_t asMilliCpu(const Resources& used, const Resources& capacity) noexcept;

[[nodiscard]] bool hasLabel(const WorkerEntry& worker, std::string_view label) noexcept;

/// \returns Resources that a task of `step` reserves at a worker.
[[nodiscard]] Resources footprint(const StepSpec& step) noexcept;

} // namespace lanemoor::jobs
