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

/// A task that may have ended the workers that started it, at a site that has not survived its start yet.
struct SiteSuspect {
    std::string quarantineKey; ///< See `quarantineKey`: those with the same name need not be told apart.
    std::uint32_t suspicion = 0; ///< Crashes that may be its doing.
};

/// A worker as placement sees it.
struct PlacementSite {
    const WorkerEntry* worker = nullptr;
    Resources free; ///< Capacity less what all attempts there need, those being stopped included.
    std::uint32_t servingTasks = 0; ///< Tasks with a latency target.
    std::uint32_t bestEffortTasks = 0;
    bool open = true; ///< False: it takes no new work now.
    bool preferred = true; ///< False: only taken if no preferred site has room.
    std::string keptFor; ///< A label: only tasks that require it may come; empty: all may.
    std::uint32_t wanted = 0; ///< How much tasks that require its labels ask of sites with them; see `wantedLevel`.
    std::vector<SiteSuspect> suspects;
    bool distrusted = false; ///< It has not answered its latest starts: taken only if no other site has room.
    bool probing = false; ///< The next task there shows whether it is sound again.
    std::uint32_t startsLeft = std::numeric_limits<std::uint32_t>::max(); ///< How many tasks may still be started there.
    bool hasYoungAttempts = false; ///< Some attempt there started less than a probation ago.
};

/// What is asked of a site beside the step's own needs.
struct PlacementQuery {
    std::string avoidWorker; ///< Taken only if there is no other.
    std::string quarantineKey; ///< See `quarantineKey`.
    std::uint32_t suspicion = 0; ///< Crashes that may be the task's doing.
    std::string rack; ///< Only sites of this rack; empty: any.
    bool nearOnly = false; ///< Only sites in the rack that the step prefers, if it prefers one.
    /// \returns Tasks of the same step and occurrence that site `index` has; asked only for
    /// steps with a limit.
    std::function<std::uint32_t(std::size_t index)> tasksOfStep;
    /// Tasks of the same step and occurrence by data hall, so that they are spread over the data halls; null: they need not be.
    const std::map<std::string, std::uint32_t>* tasksByHall = nullptr;
    /// \returns Whether the site may be taken at all; null: every site may.
    std::function<bool(std::size_t index)> admits;
};

/// \brief Chooses sites and books what they take.
///
/// Among the sites that fit, those come first that have no suspect to be told apart from the task, then those of the preferred rack, then those
/// where serving and best-effort tasks keep apart, then the fullest: whole instances stay free for
/// maintenance and for being powered off. A suspect goes to the emptiest: what runs there is lost if it is guilty. A task that is
/// to be isolated prefers sites without young attempts, with which a crash could not be attributed to it alone.
///
/// Distrusted sites come after all others, whatever speaks against those. They are kept apart, so that a choice looks at none of
/// them while another site has room.
///
/// Sites are kept in the order of what they have free, so that a choice looks at the few that are nearly full and
/// not at all of them; what found no room is remembered, so that work which waits costs a look a pass and not one a
/// site. Steps that are spread over data halls look at each data hall's sites by themselves, the one with the fewest of their tasks
/// first. With 275 sites and thousands of tasks a second both together were half of the owner's time.
class Placer {
public:
    /// \param sites Of one pool.
    explicit Placer(std::vector<PlacementSite> sites);

    /// \returns The index of the best site for a task of `step`, or nothing.
    [[nodiscard]] std::optional<std::size_t> choose(const StepSpec& step, const PlacementQuery& query) const;

    /// \brief Books a task of `step` on site `index`.
    void book(std::size_t index, const StepSpec& step);

    /// \brief Notes that a suspect was booked on site `index`.
    void noteSuspect(std::size_t index, const std::string& quarantineKey, std::uint32_t suspicion);

    /// \brief Takes a booking back.
    void release(std::size_t index, const StepSpec& step);

    [[nodiscard]] const std::vector<PlacementSite>& sites() const noexcept { return m_sites; }

    /// \returns How many times a site was looked at: what the choices cost, whatever the machine.
    [[nodiscard]] std::uint64_t inspected() const noexcept { return m_inspected; }

private:
    /// Free processor time and index of a site.
    using Place = std::pair<std::int64_t, std::size_t>;

    /// What found no room: nothing that needs as much, under the same label, does.
    struct NoRoom {
        std::string label;
        Resources needs;
    };

    /// Places in order, the fullest first.
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
    Places m_byFree; ///< Of the sites that take work and are trusted, the fullest first.
    Places m_distrusted; ///< Of the others that take work.
    mutable std::map<std::string, Places> m_byHall; ///< `m_byFree` by data hall, once a step asked for it.
    mutable std::vector<NoRoom> m_noRoom;
    mutable std::uint64_t m_inspected = 0;
};

/// \returns Demand for sites with a label against what they have, in eighths and at most 16:
/// tasks that run anywhere leave those sites alone that are wanted most.
[[nodiscard]] std::uint32_t wantedLevel(std::int64_t demandMilliCpu, std::int64_t supplyMilliCpu) noexcept;

/// \returns `used` as processor time: the largest of its shares of `capacity`, in thousandths of
/// a core. A task that needs half of the memory takes half of the instance.
[[nodiscard]] std::int64_t asMilliCpu(const Resources& used, const Resources& capacity) noexcept;

/// \returns Whether `worker` has `label`.
[[nodiscard]] bool hasLabel(const WorkerEntry& worker, std::string_view label) noexcept;

/// \returns What a task of `step` takes of a worker's capacity.
[[nodiscard]] Resources footprint(const StepSpec& step) noexcept;

} // namespace lanemoor::jobs
