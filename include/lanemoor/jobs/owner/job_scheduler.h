#pragma once
/// \file
/// Runs the jobs of a shard while this instance owns it.

#include "lanemoor/jobs/model/entry_demand.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"
#include "lanemoor/jobs/model/requirement.h"
#include "lanemoor/jobs/model/service_configuration.h"
#include "lanemoor/jobs/owner/evacuation_report.h"
#include "lanemoor/jobs/owner/job_report.h"
#include "lanemoor/jobs/owner/ownership_keeper.h"
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

/// What a scheduler works with. All of it outlives the scheduler.
struct JobSchedulerOptions {
    EventLoop* loop = nullptr;
    KeyValueStore* store = nullptr;
    StoreMirror* mirror = nullptr;
    const JobCatalog* catalog = nullptr;
    WorkerDirectory* directory = nullptr;
    WorkerControl* workers = nullptr;
    PlacementAdvisor* advisor = nullptr;
    OwnershipKeeper* ownership = nullptr;
    const HallEvacuations* evacuations = nullptr;
    EventLog* log = nullptr;
    WorkMeter* meter = nullptr; ///< Null: work is not measured.
    std::function<std::shared_ptr<const ServiceConfiguration>()> configuration;
    std::function<void(const AdmissionGrants& grants)> publishGrants; ///< For all entry instances together; null: everything is admitted.
    std::function<bool()> isConfigurationCurrent; ///< Whether quotas may be relied on; null: always.
    Millis ownershipTime { 1'000 }; ///< Lease time of the ownership.
    Millis workerLeaseTime { 5'000 }; ///< The same for all owners, since a successor reckons with it.
    PlacementOptions placement;
    CrashOptions crashes;
    CheckpointMoveCost checkpointMove;
    WorkerHealthOptions health;
    FailureDomainOptions failureDomains;
    AdmissionOptions admission;
    bool seesRises = true; ///< See CapacityOptions.
};

/// A worker's use, for those who decide on instances.
struct WorkerUse {
    Resources free;
    std::uint32_t attempts = 0; ///< Not over.
    std::uint32_t longRunning = 0; ///< Of them.
    std::uint32_t pinned = 0; ///< Of the long-running ones, those that require a label.
    MonotonicInstant emptyBy; ///< When the other ones should have ended, by their declared times and what is observed.
    bool known = false; ///< What runs there is known: it was met in this term, or every lease there is over.
    bool healthy = false; ///< Listed, answering, not draining, not ejected.
    bool evacuating = false;
    MonotonicInstant evacuatingSince; ///< Meaningful while evacuating.
};

/// Uses by the id of the worker.
using WorkerUses = std::unordered_map<std::string, WorkerUse>;

/// What tasks wait for, that could start if there were room.
struct WaitingTasks {
    std::int64_t milliCpu = 0; ///< Of jobs that can meet their objective, or have begun.
    std::int64_t backlogMilliCpu = 0; ///< Of the others.
    Resources largest; ///< Of the tasks, the largest need of each resource.
};

/// What tasks of one requirement class ask of their pool; memory and accelerators count by their
/// share of an instance.
struct ClassDemand {
    WaitingTasks waiting;
    std::int64_t runningMilliCpu = 0;
    std::int64_t runningBacklogMilliCpu = 0; ///< Of it, what jobs take that end late whatever is done.
    std::uint32_t minInstances = 0; ///< For steps whose tasks must not share an instance.
    std::int64_t forecastMilliCpu = 0; ///< What jobs arriving as they do now will keep busy.
};

/// What a pool's jobs ask for, by requirement class.
using PoolDemand = std::map<Requirement, ClassDemand>;

/// Counts of one process since its start.
struct SchedulerCounts {
    std::uint64_t terms = 0;
    std::uint64_t starts = 0;
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;
    std::uint64_t lapses = 0;
    std::uint64_t doubts = 0; ///< Starts without a usable answer.
    std::uint64_t refusals = 0; ///< Starts that a worker refused.
    std::uint64_t jobsSucceeded = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t jobsCancelled = 0;
    std::uint64_t suspicions = 0; ///< How many times the loss of a worker was counted against a task.
    std::uint64_t givenUp = 0; ///< Tasks that ended worker after worker.
    std::uint64_t passes = 0; ///< Over the tasks that could start.
    std::uint64_t ejections = 0; ///< Of workers.
    std::uint64_t sitesInspected = 0; ///< By all passes: how many times a worker was looked at for a task.
};

/// \brief Places tasks, renews leases and stores endings, for one term after another.
class JobScheduler {
public:
    explicit JobScheduler(JobSchedulerOptions options);
    ~JobScheduler();
    JobScheduler(const JobScheduler&) = delete;
    JobScheduler& operator=(const JobScheduler&) = delete;

    /// \brief Begins a term; the mirror has heard every change up to its epoch.
    void activate(const Ownership& ownership);

    /// \brief Ends the term: nothing is ordered any more.
    void deactivate();

    [[nodiscard]] bool isActive() const noexcept;

    /// \name News
    ///@{
    void onJobChanged(const std::string& id);
    void onWorkerChanged(const std::string& id);
    void onConfigurationChanged();

    /// \returns Changes of jobs that are not in the store yet; none where nothing is owned.
    [[nodiscard]] UnsavedChanges unsaved() const;

    /// \brief Takes in what an entry instance was asked for: submissions that were refused are load to come.
    void noteDemand(const EntryDemand& demand);
    void onEvacuationsChanged();
    ///@}

    /// \name For those who decide on instances
    ///@{
    /// \returns The use of each worker, by its id.
    [[nodiscard]] WorkerUses uses() const;

    /// \returns What is known of each data hall, evacuations included.
    [[nodiscard]] std::shared_ptr<const FailureDomainStatus> failureDomains() const;

    /// \returns Data halls that do not serve, with what remains there.
    [[nodiscard]] std::vector<HallReport> closedHalls() const;

    /// \brief Reckons anew what jobs ask for; placement goes by it too.
    /// \returns It by pool; pools that nobody asks anything of may be missing.
    std::map<std::string, PoolDemand> demands();

    /// \brief Empties a worker, or lets it have work again.
    void setEvacuating(const std::string& worker, bool evacuating);

    /// \brief Takes in the platform's list: it names lives whose entries may be missing in the
    /// store, and that may run what an earlier owner started.
    /// \param askedAt When the list was asked for.
    void noteFleet(const std::vector<FleetInstance>& instances, MonotonicInstant askedAt);

    /// \returns Whether every worker that might run what an earlier owner started has been met,
    /// or its lease is over; also if this instance is not the owner.
    [[nodiscard]] bool isSettled() const;

    /// \brief The worker's life is over, as the platform proves.
    /// \param ordered By an act of this owner.
    void noteLifeOver(const std::string& worker, bool ordered = false);

    /// \brief Notes that the platform's list has named a life no more since then. A later life under the same id is not meant.
    void noteLifeUnlisted(const std::string& worker, MonotonicInstant since);
    ///@}

    /// \returns The job's steps, as the owner knows them; nothing if it does not run the job.
    [[nodiscard]] std::optional<std::vector<StepReport>> report(const std::string& job) const;

    /// \returns The configured organisations and those that have jobs; none while this instance does not own.
    [[nodiscard]] std::vector<OrganisationReport> organisations() const;

    /// \returns All workers, as this owner judges them; none while this instance does not own.
    [[nodiscard]] std::vector<WorkerReport> workers() const;

    /// \returns How many workers are ejected or probing, by pool; a pool without any may be missing.
    [[nodiscard]] std::map<std::string, std::uint32_t> ejectedByPool() const;

    /// \brief Calls `stored` once all that is known has been stored, or the term is over.
    void whenStored(std::function<void()> stored);

    [[nodiscard]] const SchedulerCounts& counts() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
