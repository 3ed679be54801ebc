#pragma once
/// \file
/// Runs the jobs of a shard while this instance holds its ownership.

#include "lanemoor/jobs/model/entry_demand.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"
#include "lanemoor/jobs/model/requirement.h"
#include "lanemoor/jobs/model/service_configuration.h"
#include "lanemoor/jobs/owner/evacuation_reason.h"
#include "lanemoor/jobs/owner/evacuation_report.h"
#include "lanemoor/jobs/owner/job_report.h"
#include "lanemoor/jobs/owner/ownership_manager.h"
#include "lanemoor/jobs/policy/admission_options.h"
#include "lanemoor/jobs/policy/checkpoint_move.h"
#include "lanemoor/jobs/policy/crash_attribution.h"
#include "lanemoor/jobs/policy/failure_domains.h"
#include "lanemoor/jobs/policy/placement_options.h"
#include "lanemoor/jobs/policy/worker_health.h"
#include "lanemoor/jobs/store/progress_writer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lanemoor {
class EventLog;
} // namespace lanemoor

namespace lanemoor::jobs {

class HallEvacuations;
class StoreMirror;
class WorkerDirectory;
class WorkMeter;
struct AdmissionGrants;
struct FleetInstance;

/// Dependencies and settings of a scheduler. The objects must outlive it.
struct JobSchedulerOptions {
    EventLoop* loop = nullptr;
    KeyValueStore* store = nullptr;
    StoreMirror* mirror = nullptr;
    const JobCatalog* catalog = nullptr;
    WorkerDirectory* directory = nullptr;
    WorkerControl* workers = nullptr;
    PlacementAdvisor* advisor = nullptr;
    OwnershipManager* ownership = nullptr;
    const HallEvacuations* evacuations = nullptr;
    EventLog* log = nullptr;
    WorkMeter* meter = nullptr; ///< Null: work is not measured.
    std::function<std::shared_ptr<const ServiceConfiguration>()> configuration;
    std::function<void(const AdmissionGrants& grants)> publishGrants; ///< Receives the grants for all entry instances together; null: every job is admitted.
    std::function<void(bool isAnswered, MonotonicInstant::duration time)> adviceEnded; ///< Receives the duration of each call to the advisor; may be null.
    std::function<bool()> isConfigurationCurrent; ///< Whether the quotas are up to date; null: always.
    Millis ownershipTime { 1'000 }; ///< Lease time of the ownership.
    Millis workerLeaseTime { 5'000 }; ///< Must be equal for all owners: a successor waits for leases of this length.
    PlacementOptions placement;
    CrashOptions crashes;
    CheckpointMoveCost checkpointMove;
    WorkerHealthOptions health;
    FailureDomainOptions failureDomains;
    AdmissionOptions admission;
    bool extrapolatesRises = true; ///< Whether the load forecast weighs the newest arrivals more and extrapolates a rise.
};

/// Usage of a worker, as input for decisions on instances.
struct WorkerUse {
    Resources free;
    std::uint32_t attempts = 0; ///< Unfinished attempts.
    std::uint32_t longRunning = 0; ///< Long-running attempts among them.
    std::uint32_t pinned = 0; ///< Long-running attempts that require a label.
    MonotonicInstant expectedEmptyAt; ///< Expected end of all other attempts, from declared and observed run times.
    bool known = false; ///< The running attempts are known: the worker reported in this term, or every lease on it has expired.
    bool healthy = false; ///< Listed, responsive, not draining, not ejected, in a data hall that accepts new tasks.
    bool evacuating = false;
    MonotonicInstant evacuatingSince; ///< Valid while `evacuating`.
};

/// Usage by worker id.
using WorkerUses = std::unordered_map<std::string, WorkerUse>;

/// Demand of tasks that could start if there were room.
struct WaitingTasks {
    std::int64_t milliCpu = 0; ///< Demand of jobs that can meet their objective or have started.
    std::int64_t backlogMilliCpu = 0; ///< Demand of all other jobs.
    Resources largest; ///< Per resource, the largest need of any waiting task.
};

/// Demand of one requirement class on its pool. Memory and accelerators count by their share of an
/// instance.
struct ClassDemand {
    WaitingTasks waiting;
    std::int64_t runningMilliCpu = 0;
    std::uint32_t minInstances = 0; ///< Minimum for steps whose tasks must not share an instance.
    std::int64_t forecastMilliCpu = 0; ///< Expected usage at the current arrival rate.
};

/// Demand of a pool's jobs, by requirement class.
using PoolDemand = std::map<Requirement, ClassDemand>;

/// Event counts since the start of the process.
struct SchedulerCounts {
    std::uint64_t terms = 0;
    std::uint64_t starts = 0;
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;
    std::uint64_t leaseExpirations = 0; ///< Attempts that ended because their lease expired.
    std::uint64_t partialReports = 0; ///< Status reports that left out ends.
    std::uint64_t unknownStarts = 0; ///< Starts whose outcome is unknown.
    std::uint64_t refusals = 0; ///< Starts refused by a worker.
    std::uint64_t ticketRefusals = 0; ///< The part refused for the advisor's ticket.
    std::uint64_t jobsSucceeded = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t jobsCancelled = 0;
    std::uint64_t suspicions = 0; ///< Worker crashes attributed to a task.
    std::uint64_t permanentFailures = 0; ///< Poison tasks that failed permanently.
    std::uint64_t passes = 0; ///< Placement passes.
    std::uint64_t heldPasses = 0; ///< Passes that started nothing, since the ownership, the evacuations or the replica of the jobs were outdated.
    std::uint64_t ejections = 0; ///< Worker ejections.
    std::uint64_t reopenedWorkers = 0; ///< Workers that were wrongly taken for ended.
    std::uint64_t sitesInspected = 0; ///< Workers inspected for a task, summed over all passes.
    std::uint64_t jobsInspected = 0; ///< Jobs inspected, summed over all passes.
};

/// \brief Places tasks, renews leases and stores results during each term of ownership.
class JobScheduler {
public:
    explicit JobScheduler(JobSchedulerOptions options);
    ~JobScheduler();
    JobScheduler(const JobScheduler&) = delete;
    JobScheduler& operator=(const JobScheduler&) = delete;

    /// \brief Begins a term. The mirror must contain every change up to the term's epoch.
    void activate(const Ownership& ownership);

    /// \brief Ends the term. No command is sent afterwards.
    void deactivate();

    [[nodiscard]] bool isActive() const noexcept;

    /// \name Notifications
    ///@{
    void onJobChanged(const std::string& id);
    void onWorkerChanged(const std::string& id);
    void onConfigurationChanged();

    /// \returns Job changes that are not in the store yet; none without ownership.
    [[nodiscard]] UnsavedChanges unsaved() const;

    /// \brief Adds an entry instance's demand to the forecast: refused submissions are likely to return.
    void noteDemand(const EntryDemand& demand);
    void onEvacuationsChanged();
    ///@}

    /// \name Input for decisions on instances
    ///@{
    /// \returns The usage of each worker, by id.
    [[nodiscard]] WorkerUses uses() const;

    /// \returns The state of each data hall, including requested evacuations.
    [[nodiscard]] std::shared_ptr<const FailureDomainStatus> failureDomains() const;

    /// \returns Data halls out of service, with the tasks that remain there.
    [[nodiscard]] std::vector<HallReport> closedHalls() const;

    /// \brief Recomputes the demand of all jobs, which placement also uses.
    /// \returns Demand by pool; a pool without demand may be missing.
    std::map<std::string, PoolDemand> demands();

    /// \brief Evacuates exactly these workers: they are emptied and closed to new tasks. All other evacuations end.
    /// \returns The changes, without those of unknown workers.
    std::vector<WorkerEvacuation> setEvacuations(const EvacuationReasons& reasons);

    /// \brief Handles the platform's instance list. The list names incarnations whose entries may be missing in the
    /// store and that may run tasks of an earlier owner.
    /// \param requestedAt Time when the list was requested.
    void noteFleet(const std::vector<FleetInstance>& instances, MonotonicInstant requestedAt);

    /// \returns Whether every worker that may run tasks of an earlier owner has reported or its lease has expired;
    /// true if this instance is not the owner.
    [[nodiscard]] bool isSettled() const;

    /// \brief Notes that the worker's incarnation has ended, as proved by the platform.
    /// \param ordered Whether an action of this owner ended the incarnation.
    void noteIncarnationOver(const std::string& worker, bool ordered = false);

    /// \brief Notes that the platform's list has not named an incarnation since the given time. A later incarnation under
    /// the same id is not affected.
    void noteIncarnationUnlisted(const std::string& worker, MonotonicInstant since);
    ///@}

    /// \returns The job's steps; none if this instance does not run the job.
    [[nodiscard]] std::optional<std::vector<StepReport>> report(const std::string& job) const;

    /// \returns The configured organisations and those with jobs; none without ownership.
    [[nodiscard]] std::vector<OrganisationReport> organisations() const;

    /// \returns The state and health of all workers; none without ownership.
    [[nodiscard]] std::vector<WorkerReport> workers() const;

    /// \returns Number of ejected or probing workers by pool; a pool without any may be missing.
    [[nodiscard]] std::map<std::string, std::uint32_t> ejectedByPool() const;

    /// \brief Calls `stored` once all current changes are in the store, or when the term ends.
    void whenStored(std::function<void()> stored);

    [[nodiscard]] const SchedulerCounts& counts() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
