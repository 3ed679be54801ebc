#pragma once
/// \file
/// State of a shard's owner during one term of ownership.

#include "inherited_failures.h"
#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/model/fleet_control.h"
#include "lanemoor/jobs/model/job_state.h"
#include "lanemoor/jobs/model/response_time.h"
#include "lanemoor/jobs/owner/job_scheduler.h"
#include "lanemoor/jobs/owner/worker_record.h"
#include "lanemoor/jobs/policy/failure_domains.h"
#include "lanemoor/jobs/policy/load_forecast.h"
#include "lanemoor/jobs/policy/organisation_share.h"
#include "lanemoor/jobs/policy/organisation_use.h"
#include "lanemoor/jobs/store/progress_writer.h"
#include "waiting_jobs.h"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

/// An unfinished job and its input to placement.
struct OwnerJob {
    JobState state;
    std::optional<JobPolicy> policy; ///< The newest known or stored policy of its queue; nothing: unknown, so that nothing irreversible may depend on it.
    std::string pool; ///< The pool of its queue by the newest known configuration with the queue, otherwise the pool at its submission.
    bool inherited = false; ///< Submitted before this term: its tasks may run on workers that have not been asked yet.
    std::set<StepId> possiblyStartedBefore; ///< Steps with tasks that a previous owner may have started without a record.
    MonotonicInstant objective; ///< When the job should have ended.
    Millis criticalPath { 0 }; ///< Declared work time of the critical path of its steps.
    OrganisationAccount* account = nullptr; ///< Account of the submitting organisation; null: unknown.
    std::map<StepId, MonotonicInstant> waitExplainedUntil; ///< Steps whose wait was noted, with the time from which it is explained again.
    std::map<std::uint32_t, std::shared_ptr<StepOutcomes>> failedSteps; ///< Outcomes of the steps of which a task has failed in this term, by step.
    bool beyondRate = false; ///< Submitted beyond the rate of its organisation.
    bool waitsInGroup = false; ///< See OwnerState::beginWait.

    /// \returns Whether the failures of a step are attributed to the step itself.
    [[nodiscard]] bool isStepAtFault(std::uint32_t step) const
    {
        const auto found = failedSteps.find(step);
        return found != failedSteps.end() && found->second->isStepAtFault();
    }

    /// \returns The priority; jobs whose policy is unknown are placed last.
    [[nodiscard]] std::uint32_t priority() const noexcept { return policy ? policy->priority : std::numeric_limits<std::uint32_t>::max(); }

    /// \returns The number of failures of one task at which the job fails; nothing: unknown.
    [[nodiscard]] std::optional<std::uint32_t> maxAttempts() const noexcept { return policy ? std::optional(policy->maxAttempts) : std::nullopt; }
};

/// Kind and capacity of instances, regardless of their pool.
struct InstanceShape {
    std::string kind;
    Resources capacity;

    [[nodiscard]] bool operator==(const InstanceShape&) const = default;
};

/// Max age of the owner's replica of the jobs for starts: an older replica may lack cancels that must have taken effect.
constexpr Millis maxReplicaAgeForStarts { 2'000 };

/// \brief Jobs and workers of one term, shared by the components of the owner.
struct OwnerState {
    const JobSchedulerOptions& options;
    Ownership ownership; ///< Its epoch rises within the term, see `raiseEpoch`.
    MonotonicInstant inheritedLeaseExpiresBy; ///< Leases granted by earlier owners have expired by then.
    OrganisationUse organisations; ///< Outlives the reservations, which point into it.
    std::map<std::string, OwnerJob> jobs;
    std::map<std::string, OwnerJob*> individualJobs; ///< Jobs that a pass evaluates one by one; the others wait in groups.
    std::map<std::string_view, OwnerJob*> candidateJobs; ///< The individual jobs of which a task may be able to start.
    std::map<std::string_view, OwnerJob*> spreadJobs; ///< Jobs with a step whose tasks need several instances.
    WaitingJobs waitingJobs; ///< In groups by queue and organisation.
    ShareDeficits deficits { options.admission.deficitMemory };
    std::map<std::string, WorkerRecord> workers; ///< By worker id.
    std::map<std::string, std::vector<WorkerRecord*>> workersByPool; ///< Read by `workersOf`; empty: outdated.
    std::unique_ptr<ProgressWriter> writer;
    LoadForecast forecast;
    HallLossDetector hallLosses;
    ResponseTime responses; ///< Response times of starts.
    /// A step for which no worker had capacity.
    struct WaitingStep {
        MonotonicInstant since; ///< When a pass first found no worker for it.
        StepWait wait; ///< The reason, once it was determined and logged.
    };
    std::map<std::pair<std::string, StepId>, WaitingStep> waits; ///< By job and step.
    /// Tasks with starts on probation, by worker id; may include tasks whose probations are settled.
    std::map<std::string, std::set<std::pair<std::string, TaskId>>> probations;
    InheritedFailures inheritedFailures;
    std::function<void()> requestPass; ///< Requests a placement pass.
    /// Opens a session with a worker's incarnation by its start time (Unix ms; 0: unknown).
    std::function<void(WorkerRecord& worker, std::int64_t startedAt)> beginSession;
    std::uint64_t lastIncarnation = 0; ///< Highest number of a worker incarnation.
    std::size_t inheritedInGroups = 0; ///< Jobs of earlier terms that wait in groups.
    std::set<std::string> racks; ///< Of all listed instances, regardless of their pool.
    std::vector<InstanceShape> shapes; ///< Distinct shapes of the same instances.
    std::int64_t fleetMilliCpu = 0; ///< Total capacity of the same instances, including powered-off ones.

    MonotonicInstant nextEvacuationAt; ///< Time of the next run of the evacuation.
    MonotonicInstant nextDisplacementAt; ///< Time of the next displacement at the earliest.
    std::map<std::string, PoolDemand> demands; ///< As of the last computation.
    std::map<std::pair<std::string, std::string>, std::uint32_t> labelDemand; ///< Demand level by pool and label, for labels that tasks require.

    /// \returns The highest demand level of the worker's labels in its pool.
    [[nodiscard]] std::uint32_t labelDemandOf(const WorkerEntry& worker) const;

    /// \brief Applies the platform's list of instances.
    void noteInstances(const std::vector<FleetInstance>& instances);

    [[nodiscard]] MonotonicInstant now() const { return options.loop->now(); }
    [[nodiscard]] std::shared_ptr<const ServiceConfiguration> configuration() const { return options.configuration(); }

    /// \brief Raises the epoch for sessions that begin from now on, after an incarnation of a worker has ended. A later incarnation with
    /// its id then rejects delayed commands to the ended one, as it does those of earlier owners.
    void raiseEpoch() { ownership.epoch = std::max(ownership.epoch, writer->newestRevision()); }

    /// \brief Adds a job to the waiting group of its queue and organisation, if it qualifies.
    /// \returns Whether the job was added.
    bool beginWait(OwnerJob& job, MonotonicInstant now);

    /// \brief Takes the job out of its group, so that passes evaluate it individually.
    void endWait(OwnerJob& job);

    /// \brief Notes that a task of the job may have become startable, so that the next pass inspects the job.
    void noteStartable(OwnerJob& job);

    /// \brief Removes a job that has ended.
    void removeJob(OwnerJob& job);

    /// \brief Calls `endWait` for all jobs of earlier terms, which depend on the reports of workers.
    void endInheritedWaits();

    /// \returns The share of the largest suitable instance that a task of the step takes, as thousandths of a core; nothing: no
    /// instance is suitable.
    [[nodiscard]] std::optional<std::int64_t> instanceTimeOf(const StepSpec& step) const;

    [[nodiscard]] OwnerJob* job(const std::string& id);
    [[nodiscard]] WorkerRecord* worker(const std::string& id);

    /// \returns The workers of a pool by id, valid until `noteWorkersChanged`.
    [[nodiscard]] const std::vector<WorkerRecord*>& workersOf(const std::string& pool);

    /// \brief Notes that a worker was added or removed, or has changed its pool.
    void noteWorkersChanged() { workersByPool.clear(); }

    /// \returns The task whose live attempt at the worker is `attempt`, or null.
    [[nodiscard]] const TaskState* liveTask(const Attempt& attempt, const std::string& worker);

    /// \returns The account of the organisation that submitted a job, or null.
    [[nodiscard]] OrganisationAccount* accountOf(const JobRecord& record) { return record.organisation.empty() ? nullptr : &organisations.account(record.organisation); }

    /// \brief Applies the current configuration to a job: its pool and its policy. A changed limit is stored, since a later owner may not have
    /// known the queue.
    void applyConfiguration(OwnerJob& job);

    /// \brief Applies the current configuration to all unfinished jobs.
    void applyConfiguration();

    /// \returns Whether the job can't meet its objective any more, so that it is placed after the others.
    [[nodiscard]] bool isInfeasible(const OwnerJob& job, MonotonicInstant now) const;

    /// \returns When the job becomes infeasible if none of its tasks starts before; the max time point for a job that never does.
    [[nodiscard]] MonotonicInstant infeasibleFrom(const OwnerJob& job) const;

    /// \returns The expected end of an attempt of the task that starts now.
    [[nodiscard]] MonotonicInstant expectedEnd(const OwnerJob& job, const TaskId& task) const;

    /// \returns Whether the task may have crashed a worker under a previous owner without a record.
    [[nodiscard]] bool mayHaveCrashedBefore(const OwnerJob& job, const TaskId& task) const;

    /// \brief Puts a live attempt at a worker on probation, which is stored.
    /// \returns False if it is on probation already.
    bool beginProbation(OwnerJob& job, const Attempt& attempt, const WorkerRecord& worker);

    /// \returns Whether the replica of the jobs is recent enough to include all cancels that must have taken effect.
    [[nodiscard]] bool areCancelsCurrent() const;

    /// \returns Whether all that may forbid a start is recent enough: ownership, cancels, evacuations, and the quota of the
    /// job's organisation. To be checked when a start is sent, since the placement pass may have been delayed after its decision.
    [[nodiscard]] bool mayStart(const OwnerJob& job) const;

    /// \brief Schedules the job's progress for storing.
    void store(const std::string& id) { writer->markChanged(id); }

private:
    /// \param queue The job's queue; nothing: unknown.
    void applyQueue(OwnerJob& job, const std::optional<KnownQueue>& queue);
};

/// \returns The name of `attempt` in logs, for example `5c0e7a21d94b36f8/0/1/17#2`.
[[nodiscard]] std::string nameOf(const Attempt& attempt);

} // namespace lanemoor::jobs
