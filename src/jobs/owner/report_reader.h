#pragma once
/// \file
/// Handles worker reports: running and ended attempts, unresponsive and ended workers.

#include "crash_tracker.h"
#include "order_desk.h"

namespace lanemoor::jobs {

/// \brief Reconciles jobs and reservations with the workers' reports.
///
/// An end is stored before it is acknowledged to the worker, which may then drop it. An attempt that is missing from a
/// report that should include it is over without a reported end: it never began, or the worker lost it.
class ReportReader final : public WorkerSessionObserver {
public:
    ReportReader(OwnerState& state, HealthMonitor& health, OrderDesk& desk, SchedulerCounts& counts);

    void onAnswer(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt) override;
    void onProbe(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt) override;
    void onHeard(WorkerSession& session) override;
    void onOverdue(WorkerSession& session) override;
    void onSilence(WorkerSession& session) override;
    void onOver(WorkerSession& session, bool lifeOver) override;
    void onRestart(WorkerSession& session, std::int64_t startedAt, bool wasOver) override;
    void onFenced(WorkerSession& session) override;

    /// \returns The tracker that attributes crashes and settles the probations of starts.
    [[nodiscard]] CrashTracker& crashes() noexcept { return m_crashes; }

private:
    void readRunning(WorkerBook& worker, const RunningAttempt& report, std::int64_t workerClock);
    void readEnds(WorkerBook& worker, WorkerSession& session, const std::vector<EndedAttempt>& ends);
    void readEnded(WorkerBook& worker, const EndedAttempt& ended);
    [[nodiscard]] std::shared_ptr<const StepSpec> specOf(const WorkerBook& worker, const Attempt& attempt, const OwnerJob* job) const;
    [[nodiscard]] OrganisationAccount* accountOf(const Attempt& attempt, const OwnerJob* job) const;
    void stopStray(WorkerBook& worker, const Attempt& attempt, const OwnerJob* job);
    void settleMissing(WorkerBook& worker, const RenewResult& result, MonotonicInstant sentAt);
    void settleMissing(WorkerBook& worker, const Attempt& attempt, std::int64_t workerClock, MonotonicInstant sentAt);
    void confirm(const RunningAttempt& report, std::int64_t workerClock);
    void findStuck(WorkerBook& worker);
    void lose(WorkerBook& worker, const std::set<Attempt>& open, bool lifeOver);
    void noteHallStop(const WorkerBook& worker, bool hasEnded);
    void settleExpired(WorkerBook& worker);
    [[nodiscard]] std::set<Attempt> openOrders(const WorkerBook& worker) const;
    void adjustThrottle(WorkerBook& worker, const RenewResult& result);

    OwnerState& m_state;
    HealthMonitor& m_health;
    OrderDesk& m_desk;
    SchedulerCounts& m_counts;
    CrashTracker m_crashes;
};

} // namespace lanemoor::jobs
