#pragma once
/// \file
/// Collects evidence on the health of workers and ejects failing ones.

#include "lanemoor/jobs/owner/job_report.h"
#include "lanemoor/jobs/policy/ejection_bound.h"
#include "lanemoor/jobs/policy/run_time_ranks.h"
#include "owner_state.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// \brief Evaluates the health of workers during one term of ownership. A new owner collects the evidence again from its own calls.
///
/// Attempts on an ejected worker continue. Crash accounting doesn't depend on health, and health doesn't depend on crash
/// accounting: a crashed worker returns as another incarnation without a record.
class HealthMonitor {
public:
    HealthMonitor(OwnerState& state, SchedulerCounts& counts);

    /// \name Calls
    ///@{
    void noteStartReserved(WorkerRecord& worker, const Attempt& attempt);
    void noteStartSent(WorkerRecord& worker, const StartCommand& command);
    void noteStartOverdue(WorkerRecord& worker, const Attempt& attempt);
    void noteStartAnswered(WorkerRecord& worker, const Attempt& attempt);
    void noteStopOverdue(WorkerRecord& worker);
    void noteStopAnswered(WorkerRecord& worker);
    void noteProbeOverdue(WorkerRecord& worker);

    /// \brief Notes a start that a status report confirms.
    void noteStartConfirmed(WorkerRecord& worker, const Attempt& attempt) { worker.starts.noteSettled(attempt); }

    /// \brief Notes a response to any call.
    void noteResponse(WorkerRecord& worker);
    ///@}

    /// \name Ends
    ///@{
    void noteSuccess(WorkerRecord& worker, OwnerJob& job, const TaskId& task);
    void noteFailure(WorkerRecord& worker, OwnerJob& job, const TaskId& task);

    /// \brief Compares a run time with those on the worker's peers. \param observed From the command to the report.
    void noteRunTime(WorkerRecord& worker, const JobState& job, const Attempt& attempt, Millis observed);
    ///@}

    /// \brief Ejects failing workers as far as the bound allows, and logs readmitted ones. To be called before placement.
    void run();

    /// \returns Reports on the health of all workers.
    [[nodiscard]] std::vector<WorkerReport> reports() const;

    /// \returns The number of workers that are ejected or probing, by pool.
    [[nodiscard]] std::map<std::string, std::uint32_t> ejectedByPool() const;

private:
    void queueIfFailing(WorkerRecord& worker);
    void ejectFailing();
    void eject(WorkerRecord& worker, HealthFault fault);
    void revokeUnfounded();
    void findReadmitted();
    [[nodiscard]] std::vector<EjectionMember> members() const;
    [[nodiscard]] MinInstances minInstances() const;
    [[nodiscard]] bool isEnabled() const { return m_state.options.health.enabled; }

    OwnerState& m_state;
    SchedulerCounts& m_counts;
    RunTimeRanks m_ranks;
    std::set<std::string> m_failing; ///< Candidates for ejection.
    std::set<std::string> m_ejected; ///< Workers that are ejected or probing.
    MonotonicInstant m_nextEjectionAt; ///< Next check of the candidates beyond the bound.
};

} // namespace lanemoor::jobs
