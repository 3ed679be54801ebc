#pragma once
/// \file
/// One placement pass over all tasks that could start.

#include "advice_client.h"
#include "command_dispatcher.h"
#include "fair_placement.h"
#include "placement_candidate.h"

#include <functional>

namespace lanemoor::jobs {

/// \brief Starts the tasks that find room, pool by pool, the most urgent first.
class PlacementPass {
public:
    /// \param isSettled Whether tasks of inherited jobs may start: every worker that may run them has reported, or its lease
    /// has expired.
    PlacementPass(OwnerState& state, CommandDispatcher& dispatcher, AdviceClient& advice, std::function<bool()> isSettled);

    /// \returns When the next task or occurrence becomes startable by the passage of time alone; nothing: none does.
    std::optional<MonotonicInstant> run();

    using Waiting = std::map<std::string, std::map<Requirement, WaitingTasks>>;

    /// \returns The demand that found no room in the last run, by pool and requirement class.
    [[nodiscard]] const Waiting& waiting() const noexcept { return m_waiting; }

    /// \returns Number of workers inspected in the last run, counted once per task.
    [[nodiscard]] std::uint64_t sitesInspected() const;

    /// \returns Number of jobs inspected in the last run.
    [[nodiscard]] std::uint64_t jobsInspected() const noexcept { return m_jobsInspected; }

private:
    using Candidate = PlacementCandidate;

    struct PoolSites {
        std::vector<WorkerRecord*> records;
        std::optional<Placer> placer;
        std::size_t livenessChecks = 0; ///< Pending checks whose answer is not overdue.
        std::size_t waitingSuspects = 0; ///< Suspects that found no verified worker in this pass.
    };

    void openDueOccurrences(OwnerJob& job);
    void collect(OwnerJob& job);
    static void noteUnseen(const OwnerJob& job);
    [[nodiscard]] bool isHeldByQuota(const Candidate& candidate, std::uint32_t tasks) const;
    void noteHeld(const Candidate& candidate, const PoolSites& sites, std::size_t tasks);
    PoolSites& sitesOf(const std::string& pool);
    bool failExhausted(const Candidate& candidate);
    void placePool(const std::string& pool, std::vector<Candidate>& candidates);
    void placeShared(const std::string& pool, std::vector<Candidate> candidates);
    [[nodiscard]] bool isShared(const std::vector<Candidate>& candidates) const;
    [[nodiscard]] PoolRoom roomOf(const PoolSites& sites) const;
    void place(const Candidate& candidate, const std::string& pool);
    void placeEach(const Candidate& candidate, PoolSites& sites, const std::string& pool);
    void noteUnplaced(const Candidate& candidate, PoolSites& sites, const std::string& pool, const PlacementQuery& query, std::size_t tasks);
    void requestAdvice(const Candidate& candidate, PoolSites& sites, const PlacementQuery& query, std::size_t tasks);
    [[nodiscard]] std::vector<std::size_t> placesOnAllowed(const Candidate& candidate, PoolSites& sites, PlacementQuery query, std::size_t tasks) const;
    void noteWaiting(const Candidate& candidate, const std::string& pool, std::size_t tasks);
    void noteWait(const Candidate& candidate, const PoolSites& sites, std::size_t tasks, const std::string& heldByQuotaOf = {});
    [[nodiscard]] bool hasSuspects(const Candidate& candidate) const;
    void placeGang(const Candidate& candidate, PoolSites& sites, const std::string& pool);
    bool placeGangIn(const Candidate& candidate, PoolSites& sites, const std::string& rack);
    [[nodiscard]] bool mayIgnoreRack(const Candidate& candidate);
    [[nodiscard]] PlacementQuery queryFor(const Candidate& candidate, const PoolSites& sites) const;
    [[nodiscard]] std::map<std::string, std::uint32_t> tasksByHall(const Candidate& candidate) const;
    [[nodiscard]] std::string ticketFor(const WorkerRecord& record) const;
    [[nodiscard]] std::uint32_t suspectedCrashesOf(const Candidate& candidate, const TaskId& task) const;
    [[nodiscard]] std::optional<std::size_t> choose(const StepSpec& step, const PlacementQuery& query, PoolSites& sites);
    [[nodiscard]] std::optional<std::size_t> chooseLive(const StepSpec& step, const PlacementQuery& query, const PoolSites& sites) const;
    [[nodiscard]] PlacementQuery narrowed(const PlacementQuery& query, const PoolSites& sites, std::function<bool(const WorkerRecord&)> admits) const;
    void checkLiveness(const StepSpec& step, const PlacementQuery& query, PoolSites& sites);
    static void reserveAt(PoolSites& sites, std::size_t site, const StepSpec& step, const PlacementQuery& query);
    void requestPassAt(MonotonicInstant when);

    OwnerState& m_state;
    std::shared_ptr<const ServiceConfiguration> m_configuration; ///< Constant during a pass.
    bool m_areQuotasCurrent = true; ///< The configuration is current, so its quotas apply.
    CommandDispatcher& m_dispatcher;
    AdviceClient& m_advice;
    std::function<bool()> m_isSettled;
    std::map<std::string, std::vector<Candidate>> m_candidates; ///< By pool.
    std::map<std::string, PoolSites> m_sites;
    Waiting m_waiting;
    MonotonicInstant m_now; ///< Start of the pass. Reading the clock for each job and worker would take more time than the rest of the pass.
    Instant m_timeOfDay;
    std::optional<MonotonicInstant> m_nextPassAt;
    std::uint64_t m_jobsInspected = 0;
    std::uint32_t m_waitsExplained = 0; ///< Number of explained waits in this pass.
    FairPlacement* m_fair = nullptr; ///< Fair placement of the current pool; null: the pool has no organisation shares.
    const StepAdvice* m_stepAdvice = nullptr; ///< Advice on the step being placed; null: no tickets required.
};

} // namespace lanemoor::jobs
