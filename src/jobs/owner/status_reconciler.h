#pragma once
/// \file
/// Handles worker reports: running and ended attempts, unresponsive and ended workers.

#include "command_dispatcher.h"
#include "crash_tracker.h"

#include <functional>

namespace lanemoor::jobs {

/// \brief Reconciles jobs and reservations with the workers' reports.
///
/// An end is stored before it is acknowledged to the worker, which may then drop it. An attempt that is missing from a
/// complete report that should include it is over without a reported end: it never began, or the worker lost it. A partial report
/// proves nothing about attempts that it does not list.
class StatusReconciler final : public WorkerSessionObserver {
public:
    StatusReconciler(OwnerState& state, HealthMonitor& health, CommandDispatcher& dispatcher, SchedulerCounts& counts);

    void onRenewalAnswered(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt) override;
    void onProbeAnswered(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt) override;
    void onAlive(WorkerSession& session) override;
    void onProbeOverdue(WorkerSession& session) override;
    void onUnresponsive(WorkerSession& session) override;
    void onEnded(WorkerSession& session, bool hasIncarnationEnded) override;
    void onCommandsExpired(WorkerSession& session) override;
    void onRestart(WorkerSession& session, std::int64_t startedAt, bool hadEnded) override;
    void onFenced(WorkerSession& session) override;

    /// \returns The tracker that attributes crashes and settles the probations of starts.
    [[nodiscard]] CrashTracker& crashes() noexcept { return m_crashes; }

private:
    void handleRunning(WorkerRecord& worker, const RunningAttempt& report, std::int64_t workerClock);
    void handleEnds(WorkerRecord& worker, WorkerSession& session, const std::vector<EndedAttempt>& ends);
    void handleEnded(WorkerRecord& worker, const EndedAttempt& ended);
    [[nodiscard]] std::shared_ptr<const StepSpec> specOf(const WorkerRecord& worker, const Attempt& attempt, const OwnerJob* job) const;
    [[nodiscard]] OrganisationAccount* accountOf(const Attempt& attempt, const OwnerJob* job) const;
    void stopStray(WorkerRecord& worker, const Attempt& attempt, const OwnerJob* job);
    void notePartial(const WorkerRecord& worker, const RenewResult& result);
    [[nodiscard]] static std::vector<Attempt> absentAttempts(const WorkerRecord& worker, const RenewResult& result, const std::function<bool(const Attempt&)>& filter);
    void settleAbsent(WorkerRecord& worker, const Attempt& attempt, std::int64_t workerClock, MonotonicInstant sentAt);
    void confirm(const RunningAttempt& report, std::int64_t workerClock);
    void stopStalled(WorkerRecord& worker);
    void releaseAll(WorkerRecord& worker, const std::set<Attempt>& unacknowledged, bool hasIncarnationEnded);
    void noteHallStop(const WorkerRecord& worker, bool hasEnded);
    void settleExpired(WorkerRecord& worker);
    [[nodiscard]] std::set<Attempt> sentStarts(const WorkerRecord& worker, const std::function<bool(const LiveAttempt&)>& filter) const;
    [[nodiscard]] std::set<Attempt> unreportedStarts(const WorkerRecord& worker) const;
    [[nodiscard]] std::set<Attempt> unconfirmedStarts(const WorkerRecord& worker) const;
    void adjustThrottle(WorkerRecord& worker, const RenewResult& result);

    OwnerState& m_state;
    HealthMonitor& m_health;
    CommandDispatcher& m_dispatcher;
    SchedulerCounts& m_counts;
    CrashTracker m_crashes;
};

} // namespace lanemoor::jobs
