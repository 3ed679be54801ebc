#pragma once
/// \file
/// What operators are shown of jobs: values, and their JSON.

#include "lanemoor/jobs/model/job_spec.h"
#include "lanemoor/jobs/policy/worker_health.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// Why tasks of a step found no place when placement last tried.
struct StepWait {
    std::uint32_t tasks = 0; ///< That wait.
    std::uint32_t workers = 0; ///< Of the pool.
    std::uint32_t open = 0; ///< Of them, those that take work now.
    std::uint32_t withRoom = 0; ///< Of the open ones, those with room for one task.
    std::uint32_t belowSpread = 0; ///< Workers that run fewer tasks of the step than may share one.
    std::string label; ///< That the tasks require; empty: none.
    std::uint32_t labelled = 0; ///< Workers with it.
    std::uint32_t labelledWithRoom = 0; ///< Of them, open ones with room for one task.
    std::string rack; ///< Where the tasks' data lies; empty: nowhere in particular.
    std::uint32_t near = 0; ///< Workers in that rack.
    std::string heldByQuotaOf; ///< The organisation whose quota is used up; empty: no quota holds the tasks back.

    [[nodiscard]] bool operator==(const StepWait&) const = default;
};

/// An attempt that is not over.
struct AttemptReport {
    std::uint32_t task = 0; ///< Its number within the step.
    std::uint64_t attempt = 0;
    std::string worker;
    std::string phase;

    [[nodiscard]] bool operator==(const AttemptReport&) const = default;
};

/// A task under which workers were lost.
struct SuspectReport {
    std::uint32_t task = 0; ///< Its number within the step.
    std::uint32_t workersLost = 0; ///< Consecutive worker crashes that may be its doing.
    std::uint32_t confirmedCrashes = 0; ///< Those among them whose worker had acknowledged the start.
    bool givenUp = false; ///< It is not started again.

    [[nodiscard]] bool operator==(const SuspectReport&) const = default;
};

/// A data hall that is evacuated or lost, as a step sees it.
struct ClosedHallReport {
    std::string dataHall;
    std::string state;
    std::uint32_t tasks = 0; ///< Of the step, with an attempt there that is not over.

    [[nodiscard]] bool operator==(const ClosedHallReport&) const = default;
};

/// One step of one occurrence.
struct StepReport {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t tasks = 0;
    std::uint32_t succeeded = 0;
    bool blocked = false; ///< By steps that it depends on.
    std::vector<AttemptReport> attempts;
    std::vector<SuspectReport> suspects;
    std::optional<StepWait> wait;
    std::vector<ClosedHallReport> closedHalls; ///< With tasks of the step; all of them, if tasks wait.

    [[nodiscard]] bool operator==(const StepReport&) const = default;
};

/// A job in a list.
struct JobSummary {
    std::string id;
    std::string queue;
    JobStatus status = JobStatus::Queued;
    std::uint32_t steps = 0;
    std::uint32_t tasks = 0; ///< Of one occurrence.

    [[nodiscard]] bool operator==(const JobSummary&) const = default;
};

/// A job in full. Only the shard's owner knows its steps.
struct JobReport {
    JobSummary job;
    std::string pool;
    bool cancelled = false; ///< A caller asked for it.
    bool ownedHere = false; ///< This instance runs the job; if not, the steps are not known here.
    std::string owner; ///< Holder of the shard, as far as is known; empty: nobody.
    std::vector<StepReport> steps;

    [[nodiscard]] bool operator==(const JobReport&) const = default;
};

/// Who owns a shard.
struct ShardReport {
    std::string shard;
    std::string owner; ///< Empty: nobody, as far as is known.
    std::uint64_t term = 0;
    bool ownedHere = false;
    std::int64_t copyAgeMillis = 0; ///< Of this instance's copy of the store.

    [[nodiscard]] bool operator==(const ShardReport&) const = default;
};

/// What an organisation takes of the fleet.
struct OrganisationReport {
    std::string name;
    Resources used;
    Resources quota; ///< 0: no limit.
    double weight = 0;
    std::uint32_t heldTasks = 0; ///< That the quota held back when placement last tried.
    std::uint64_t beyondRate = 0; ///< Jobs of this term beyond its rate.

    [[nodiscard]] bool operator==(const OrganisationReport&) const = default;
};

/// All organisations. Only the shard's owner knows what they have running.
struct OrganisationsReport {
    bool ownedHere = false;
    std::string owner; ///< Empty: nobody, as far as is known.
    std::vector<OrganisationReport> organisations;

    [[nodiscard]] bool operator==(const OrganisationsReport&) const = default;
};

/// A worker as its owner judges it.
struct WorkerReport {
    std::string worker;
    std::string pool;
    std::string dataHall;
    std::string rack;
    std::uint32_t attempts = 0; ///< Not over.
    bool open = false; ///< New work may go there now.
    bool silent = false;
    bool distrusted = false; ///< It has not answered its latest starts or a probe.
    WorkerHealthScore health;
    Millis ejectedFor { 0 }; ///< Until it is probed.

    [[nodiscard]] bool operator==(const WorkerReport&) const = default;
};

/// All workers. Only the shard's owner judges them.
struct WorkersReport {
    bool ownedHere = false;
    std::string owner; ///< Empty: nobody, as far as is known.
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
