#pragma once
/// \file
/// Takes in what workers report: what runs, what ended, who is silent or gone.

#include "crash_tracker.h"
#include "order_desk.h"

namespace lanemoor::jobs {

/// \brief Brings jobs and books in line with the workers' reports.
///
/// An end is stored before the worker is told that it may forget it. An attempt that a report
/// should show and does not is over without having ended: it never began, or was forgotten.
class ReportReader final : public WorkerSessionObserver {
public:
    ReportReader(OwnerState& state, HealthMonitor& health, OrderDesk& desk, SchedulerCounts& counts);

    void onRenewalAnswered(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt) override;
    void onProbeAnswered(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt) override;
    void onAlive(WorkerSession& session) override;
    void onProbeOverdue(WorkerSession& session) override;
    void onUnresponsive(WorkerSession& session) override;
    void onEnded(WorkerSession& session, bool isIncarnationOver) override;
    void onRestart(WorkerSession& session, std::int64_t startedAt, bool wasOver) override;
    void onFenced(WorkerSession& session) override;

    /// \returns What settles the probations of starts.
    [[nodiscard]] CrashTracker& crashes() noexcept { return m_crashes; }

private:
    void readRunning(WorkerRecord& worker, const RunningAttempt& report, std::int64_t workerClock);
    void readEnds(WorkerRecord& worker, WorkerSession& session, const std::vector<EndedAttempt>& ends);
    void readEnded(WorkerRecord& worker, const EndedAttempt& ended);
    [[nodiscard]] std::shared_ptr<const StepSpec> specOf(const WorkerRecord& worker, const Attempt& attempt, const OwnerJob* job) const;
    [[nodiscard]] OrganisationAccount* accountOf(const Attempt& attempt, const OwnerJob* job) const;
    void stopStray(WorkerRecord& worker, const Attempt& attempt, const OwnerJob* job);
    void settleMissing(WorkerRecord& worker, const RenewResult& result, MonotonicInstant sentAt);
    void settleMissing(WorkerRecord& worker, const Attempt& attempt, std::int64_t workerClock, MonotonicInstant sentAt);
    void confirm(const RunningAttempt& report, std::int64_t workerClock);
    void findStuck(WorkerRecord& worker);
    void lose(WorkerRecord& worker, const std::set<Attempt>& open, bool isIncarnationOver);
    void noteHallStop(const WorkerRecord& worker, bool hasEnded);
    void settleExpired(WorkerRecord& worker);
    [[nodiscard]] std::set<Attempt> openOrders(const WorkerRecord& worker) const;
    void adjustThrottle(WorkerRecord& worker, const RenewResult& result);

    OwnerState& m_state;
    HealthMonitor& m_health;
    OrderDesk& m_desk;
    SchedulerCounts& m_counts;
    CrashTracker m_crashes;
};

} // namespace lanemoor::jobs
