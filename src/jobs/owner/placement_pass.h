#pragma once
/// \file
/// One pass over all tasks that could start.

#include "advice_desk.h"
#include "fair_placement.h"
#include "order_desk.h"
#include "placement_candidate.h"

#include <functional>

namespace lanemoor::jobs {

/// \brief Starts what may start and finds room, pool by pool, the most urgent first.
class PlacementPass {
public:
    /// \param isSettled Whether tasks of inherited jobs may start in a pool: every worker that
    /// might run them has been met, or its lease is over.
    PlacementPass(OwnerState& state, OrderDesk& orders, AdviceDesk& advice, std::function<bool()> isSettled);

    /// \returns When the next task or occurrence becomes startable by time alone, if any does.
    std::optional<MonotonicInstant> run();

    using Waiting = std::map<std::string, std::map<Requirement, WaitingTasks>>;

    /// \returns What found no room in the last run, by pool and requirement class.
    [[nodiscard]] const Waiting& waiting() const noexcept { return m_waiting; }

    /// \returns How many times a worker was looked at for a task in the last run.
    [[nodiscard]] std::uint64_t sitesInspected() const;

private:
    using Candidate = PlacementCandidate;

    struct PoolSites {
        std::vector<WorkerRecord*> books;
        std::optional<Placer> placer;
        std::size_t livenessChecks = 0; ///< Whose answer is not overdue.
        std::size_t waitingSuspects = 0; ///< In this pass.
    };

    void openDue(OwnerJob& job);
    void collect(OwnerJob& job, const ServiceConfiguration& configuration);
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
    void noteWaiting(const Candidate& candidate, const std::string& pool, std::size_t tasks);
    void noteWait(const Candidate& candidate, const PoolSites& sites, const PlacementQuery& query, std::size_t tasks, const std::string& heldByQuotaOf = {});
    void placeGang(const Candidate& candidate, PoolSites& sites, const std::string& pool);
    bool placeGangIn(const Candidate& candidate, PoolSites& sites, const std::string& rack);
    [[nodiscard]] bool mayGoFar(const Candidate& candidate);
    [[nodiscard]] PlacementQuery queryFor(const Candidate& candidate, const PoolSites& sites) const;
    [[nodiscard]] std::map<std::string, std::uint32_t> tasksByHall(const Candidate& candidate) const;
    [[nodiscard]] std::string ticketFor(const WorkerRecord& book) const;
    [[nodiscard]] std::uint32_t suspicionOf(const Candidate& candidate, const TaskId& task) const;
    [[nodiscard]] std::optional<std::size_t> choose(const StepSpec& step, const PlacementQuery& query, PoolSites& sites);
    [[nodiscard]] std::optional<std::size_t> chooseLive(const StepSpec& step, const PlacementQuery& query, const PoolSites& sites) const;
    [[nodiscard]] PlacementQuery narrowed(const PlacementQuery& query, const PoolSites& sites, std::function<bool(const WorkerRecord&)> admits) const;
    void checkLiveness(const StepSpec& step, const PlacementQuery& query, PoolSites& sites);
    static void bookAt(PoolSites& sites, std::size_t site, const StepSpec& step, const PlacementQuery& query);
    void wakeAt(MonotonicInstant when);

    OwnerState& m_state;
    std::shared_ptr<const ServiceConfiguration> m_configuration; ///< Of the pass.
    bool m_knowsQuotas = true; ///< The configuration is no old one.
    OrderDesk& m_orders;
    AdviceDesk& m_advice;
    std::function<bool()> m_isSettled;
    std::map<std::string, std::vector<Candidate>> m_candidates; ///< By pool.
    std::map<std::string, PoolSites> m_sites;
    Waiting m_waiting;
    MonotonicInstant m_now; ///< Of the pass: reading the clock for each job and worker would cost more than the rest.
    Instant m_timeOfDay;
    std::optional<MonotonicInstant> m_wake;
    std::uint32_t m_waitsExplained = 0; ///< In this pass.
    FairPlacement* m_fair = nullptr; ///< Of the pool being placed; null: organisations have no shares of it.
    const std::map<std::string, std::string>* m_tickets = nullptr; ///< Of the step being placed; null: none needed.
};

} // namespace lanemoor::jobs
