#pragma once
/// \file
/// Report values that operators see, and their JSON formatting.

#include "lanemoor/jobs/model/job_spec.h"
#include "lanemoor/jobs/policy/worker_health.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// Why tasks of a step found no worker in the last placement attempt.
struct StepWait {
    std::uint32_t tasks = 0; ///< Waiting tasks.
    std::uint32_t workers = 0; ///< Workers of the pool.
    std::uint32_t open = 0; ///< Workers that accept new tasks now.
    std::uint32_t withRoom = 0; ///< Accepting workers with room for one task.
    std::uint32_t belowSpread = 0; ///< Workers that run fewer tasks of the step than its limit per instance.
    std::string label; ///< Label that the tasks require; empty: none.
    std::uint32_t labelled = 0; ///< Workers with the label.
    std::uint32_t labelledWithRoom = 0; ///< Accepting workers with the label and room for one task.
    std::string rack; ///< Rack that holds the tasks' data; empty: no preference.
    std::uint32_t near = 0; ///< Workers in the preferred rack.
    std::string heldByQuotaOf; ///< Organisation whose quota is exhausted; empty: no quota holds the tasks back.
    bool needsAdvice = false; ///< The tasks need tickets of the placement advisor.
    std::uint32_t asked = 0; ///< Workers on which the advisor has answered.
    std::uint32_t allowed = 0; ///< Workers that may run the step, by these answers.

    [[nodiscard]] bool operator==(const StepWait&) const = default;
};

/// An unfinished attempt.
struct AttemptReport {
    std::uint32_t task = 0; ///< Index within the step.
    std::uint64_t attempt = 0;
    std::string worker;
    std::string phase;

    [[nodiscard]] bool operator==(const AttemptReport&) const = default;
};

/// A task that may have crashed workers.
struct SuspectReport {
    std::uint32_t task = 0; ///< Index within the step.
    std::uint32_t workersLost = 0; ///< Consecutive worker crashes attributed to the task, plus its unsettled probations.
    std::uint32_t confirmedCrashes = 0; ///< Attributed crashes whose worker had acknowledged the start.
    bool failedPermanently = false; ///< The task failed permanently and does not start again.

    [[nodiscard]] bool operator==(const SuspectReport&) const = default;
};

/// An evacuated or lost data hall, with the tasks that one step has there.
struct ClosedHallReport {
    std::string dataHall;
    std::string state;
    std::uint32_t tasks = 0; ///< Tasks of the step with an unfinished attempt in the hall.

    [[nodiscard]] bool operator==(const ClosedHallReport&) const = default;
};

/// State of one step in one occurrence of the job.
struct StepReport {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t tasks = 0;
    std::uint32_t succeeded = 0;
    bool blocked = false; ///< A step that this one depends on has not finished.
    std::vector<AttemptReport> attempts;
    std::vector<SuspectReport> suspects;
    std::optional<StepWait> wait;
    std::vector<ClosedHallReport> closedHalls; ///< Closed halls with tasks of the step; all closed halls if tasks wait.

    [[nodiscard]] bool operator==(const StepReport&) const = default;
};

/// A job as shown in a job list.
struct JobSummary {
    std::string id;
    std::string queue;
    JobStatus status = JobStatus::Queued;
    std::uint32_t steps = 0;
    std::uint32_t tasks = 0; ///< Tasks of one occurrence.

    [[nodiscard]] bool operator==(const JobSummary&) const = default;
};

/// All details of a job. Only the shard's owner has its steps.
struct JobReport {
    JobSummary job;
    std::string pool;
    bool cancelled = false; ///< A caller requested cancellation.
    bool ownedHere = false; ///< This instance runs the job; otherwise `steps` is empty.
    std::string owner; ///< Last known owner of the shard; empty: none.
    std::vector<StepReport> steps;

    [[nodiscard]] bool operator==(const JobReport&) const = default;
};

/// Ownership of a shard.
struct ShardReport {
    std::string shard;
    std::string owner; ///< Last known owner; empty: none.
    std::uint64_t term = 0;
    bool ownedHere = false;
    std::int64_t replicaAgeMillis = 0; ///< Age of this instance's replica of the store.

    [[nodiscard]] bool operator==(const ShardReport&) const = default;
};

/// Resource usage and limits of an organisation.
struct OrganisationReport {
    std::string name;
    Resources used;
    Resources quota; ///< 0: no limit.
    double weight = 0;
    std::uint32_t heldTasks = 0; ///< Tasks that the quota held back in the last placement pass.
    std::uint64_t beyondRate = 0; ///< Jobs of this term that exceeded the organisation's rate.

    [[nodiscard]] bool operator==(const OrganisationReport&) const = default;
};

/// All organisations. Only the shard's owner has their usage.
struct OrganisationsReport {
    bool ownedHere = false;
    std::string owner; ///< Last known owner; empty: none.
    std::vector<OrganisationReport> organisations;

    [[nodiscard]] bool operator==(const OrganisationsReport&) const = default;
};

/// State and health of a worker, as the owner assesses it.
struct WorkerReport {
    std::string worker;
    std::string pool;
    std::string dataHall;
    std::string rack;
    std::uint32_t attempts = 0; ///< Unfinished attempts.
    bool open = false; ///< The worker accepts new tasks now.
    bool unresponsive = false; ///< Its last renewal got no response.
    bool distrusted = false; ///< The worker left its latest starts or a probe unanswered.
    WorkerHealthScore health;
    Millis ejectedFor { 0 }; ///< Time until the ejected worker is probed.

    [[nodiscard]] bool operator==(const WorkerReport&) const = default;
};

/// All workers. Only the shard's owner assesses them.
struct WorkersReport {
    bool ownedHere = false;
    std::string owner; ///< Last known owner; empty: none.
    std::vector<WorkerReport> workers;

    [[nodiscard]] bool operator==(const WorkersReport&) const = default;
};

/// \name JSON for operators
///@{
[[nodiscard]] std::string formatJobs(const std::vector<JobSummary>& jobs, bool more);
[[nodiscard]] std::string formatJob(const JobReport& job);
[[nodiscard]] std::string formatOrganisations(const OrganisationsReport& report);
[[nodiscard]] std::string formatWorkers(const WorkersReport& report);
[[nodiscard]] std::string formatShards(const std::vector<ShardReport>& shards);
///@}

} // namespace lanemoor::jobs
