#pragma once
/// \file
/// Collects the evidence of workers' health and leaves out those that fail.

#include "lanemoor/jobs/owner/job_report.h"
#include "lanemoor/jobs/policy/ejection_bound.h"
#include "lanemoor/jobs/policy/run_time_ranks.h"
#include "owner_state.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// \brief Judges workers for one term of ownership. A new owner learns the same again from its own calls.
///
/// Attempts at a worker that is left out continue. Crash accounting doesn't read health, and health doesn't read crash
/// accounting: a crashed worker comes back as another incarnation without a record.
class HealthMonitor {
public:
    HealthMonitor(OwnerState& state, SchedulerCounts& counts);

    /// \name Calls
    ///@{
    void noteStartBooked(WorkerBook& worker, const Attempt& attempt);
    void noteStartSent(WorkerBook& worker, const StartCommand& order);
    void noteStartOverdue(WorkerBook& worker, const Attempt& attempt);
    void noteStartAnswered(WorkerBook& worker, const Attempt& attempt);
    void noteStopOverdue(WorkerBook& worker);
    void noteStopAnswered(WorkerBook& worker);
    void noteProbeOverdue(WorkerBook& worker);

    /// \brief A report shows that a start has arrived.
    void noteStartConfirmed(WorkerBook& worker, const Attempt& attempt) { worker.starts.noteSettled(attempt); }

    /// \brief The worker has answered any call.
    void noteHeard(WorkerBook& worker);
    ///@}

    /// \name Ends
    ///@{
    void noteSuccess(WorkerBook& worker);
    void noteFailure(WorkerBook& worker, const std::string& job);

    /// \brief Compares a run time with those at the worker's peers. \param observed From the order to the report.
    void noteRunTime(WorkerBook& worker, const JobState& job, const Attempt& attempt, Millis observed);
    ///@}

    /// \brief Ejects workers that fail as far as the bound allows, and logs those that are back. To be called before work is placed.
    void run();

    /// \returns All workers with what is known of their health.
    [[nodiscard]] std::vector<WorkerReport> reports() const;

    /// \returns How many workers are ejected or probing, by pool.
    [[nodiscard]] std::map<std::string, std::uint32_t> ejectedByPool() const;

private:
    void consider(WorkerBook& worker);
    void ejectFailing();
    void eject(WorkerBook& worker, HealthFault fault);
    void findReadmitted();
    [[nodiscard]] std::vector<EjectionMember> members() const;
    [[nodiscard]] LeastInstances minInstances() const;
    [[nodiscard]] bool isOn() const { return m_state.options.health.enabled; }

    OwnerState& m_state;
    SchedulerCounts& m_counts;
    RunTimeRanks m_ranks;
    std::set<std::string> m_failing; ///< Workers that should be ejected, as far as they are known.
    std::set<std::string> m_out; ///< Workers that are ejected or probing.
    MonotonicInstant m_nextEjectionAt; ///< Those beyond the bound are looked at again then.
};

} // namespace lanemoor::jobs
