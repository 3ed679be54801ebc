#pragma once
/// \file
/// What the owner of a shard knows while it owns it. Lives for one term of ownership.

#include "inherited_losses.h"
#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/model/fleet_control.h"
#include "lanemoor/jobs/model/job_state.h"
#include "lanemoor/jobs/model/response_time.h"
#include "lanemoor/jobs/owner/job_scheduler.h"
#include "lanemoor/jobs/owner/worker_book.h"
#include "lanemoor/jobs/policy/failure_domains.h"
#include "lanemoor/jobs/policy/load_forecast.h"
#include "lanemoor/jobs/policy/organisation_share.h"
#include "lanemoor/jobs/policy/organisation_use.h"
#include "lanemoor/jobs/store/progress_writer.h"
#include "waiting_jobs.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

/// A job under way and what placement needs of it.
struct OwnerJob {
    JobState state;
    bool inherited = false; ///< From before this term: its tasks may run where nobody has looked yet.
    std::set<StepId> openBefore; ///< Steps whose tasks a previous owner may have started without a record.
    MonotonicInstant objective; ///< When it should have ended.
    Millis chain { 0 }; ///< Declared work time of its longest chain of steps.
    OrganisationAccount* account = nullptr; ///< Of the organisation that handed it in; null: not known.
    /// Its changes when a pass found that nothing of it can start before another one; nothing: not looked at since.
    std::optional<std::uint64_t> quietSince;
    bool beyondRate = false; ///< It came beyond what the organisation may send a second.
    bool waitsInGroup = false; ///< See OwnerState::beginWait.
};

/// What instances there are, whatever their pool.
struct InstanceShape {
    std::string kind;
    Resources capacity;

    [[nodiscard]] bool operator==(const InstanceShape&) const = default;
};

/// An owner's copy of the jobs that is older does not know all cancels that must have taken effect.
constexpr Millis oldestCopyOfStarts { 2'000 };

/// \brief Jobs and workers of one term, and what the parts of the owner share.
struct OwnerState {
    const JobSchedulerOptions& options;
    Ownership ownership;
    MonotonicInstant inheritedLeaseOverBy; ///< Leases given by earlier owners are over by then.
    OrganisationUse organisations; ///< Outlives the bookings, which point into it.
    std::map<std::string, OwnerJob> jobs;
    std::map<std::string, OwnerJob*> walked; ///< Those that a pass looks at one by one; the others wait in groups.
    WaitingJobs waitingJobs; ///< Of organisations.
    ShareDeficits deficits { options.admission.deficitMemory };
    std::map<std::string, WorkerBook> workers; ///< By id of the life.
    std::unique_ptr<ProgressWriter> writer;
    LoadForecast forecast;
    HallLossDetector hallLosses;
    ResponseTime responses; ///< Of starts.
    /// A step that found no room.
    struct WaitingStep {
        MonotonicInstant since; ///< When it first found none.
        std::optional<MonotonicInstant> explainedAt; ///< When `wait` was found out and logged.
        StepWait wait; ///< Why it found none.
    };
    std::map<std::pair<std::string, StepId>, WaitingStep> waits; ///< By job and step.
    /// Tasks with starts on probation, by id of the worker; a task whose probations are settled may still be listed.
    std::map<std::string, std::set<std::pair<std::string, TaskId>>> probations;
    InheritedLosses inheritedLosses;
    std::function<void()> requestPass; ///< Asks for placement soon.
    /// Begins to speak with the life of a worker that started then (Unix ms; 0: not told).
    std::function<void(WorkerBook& worker, std::int64_t startedAt)> beginSession;
    std::size_t inheritedInGroups = 0; ///< Jobs of earlier terms that wait in groups.
    std::set<std::string> racks; ///< Of all instances that the platform lists, whatever their pool.
    std::vector<InstanceShape> shapes; ///< Of the same, each once.
    std::int64_t fleetMilliCpu = 0; ///< Of the same together, those that are off included.

    MonotonicInstant nextEvacuationAt; ///< When workers that are to be emptied are looked at again.
    MonotonicInstant nextDisplacementAt; ///< When room may be made on a worker again.
    std::map<std::string, PoolDemand> demands; ///< As last reckoned.
    std::map<std::pair<std::string, std::string>, std::uint32_t> wanted; ///< Level by pool and label, of labels that tasks require.

    /// \returns How much the labels of a worker are wanted in its pool.
    [[nodiscard]] std::uint32_t wantedLevelOf(const WorkerEntry& worker) const;

    /// \brief Takes in the platform's list.
    void noteInstances(const std::vector<FleetInstance>& instances);

    [[nodiscard]] MonotonicInstant now() const { return options.loop->now(); }
    [[nodiscard]] std::shared_ptr<const ServiceConfiguration> configuration() const { return options.configuration(); }

    /// \brief Lets a job wait in its organisation's group, if it may.
    /// \returns Whether it does.
    bool beginWait(OwnerJob& job, MonotonicInstant now);

    /// \brief Passes look at the job by itself from now on.
    void endWait(OwnerJob& job);

    /// \brief The same for all jobs of earlier terms: they wait for workers to be asked.
    void endInheritedWaits();

    /// \returns The part that a task of the step takes of the largest instance that could run it, as thousandths of a core; nothing: no
    /// instance can.
    [[nodiscard]] std::optional<std::int64_t> instanceTimeOf(const StepSpec& step) const;

    [[nodiscard]] OwnerJob* job(const std::string& id);
    [[nodiscard]] WorkerBook* worker(const std::string& id);

    /// \returns The task of an attempt that its job counts as live at the worker, or null.
    [[nodiscard]] const TaskState* liveTask(const Attempt& attempt, const std::string& worker);

    /// \returns The account of the organisation that handed a job in, or null.
    [[nodiscard]] OrganisationAccount* accountOf(const JobRecord& record) { return record.organisation.empty() ? nullptr : &organisations.account(record.organisation); }

    /// \returns The pool that runs the job now.
    [[nodiscard]] std::string poolOf(const JobState& job) const;

    /// \returns Failures of a task with which the job fails.
    [[nodiscard]] std::uint32_t mostAttemptsOf(const JobState& job) const;

    /// \returns Whether the job will end late whatever is done: it comes after the others.
    [[nodiscard]] bool isHopeless(const OwnerJob& job, MonotonicInstant now) const;

    /// \returns From when on that is so, if nothing of the job begins before; the end of time for a job of which it is never so.
    [[nodiscard]] MonotonicInstant hopelessFrom(const OwnerJob& job) const;

    /// \returns When an attempt of the task that starts now should have ended.
    [[nodiscard]] MonotonicInstant expectedEnd(const OwnerJob& job, const TaskId& task) const;

    /// \returns Whether the task may have crashed a worker under a previous owner that did not record it.
    [[nodiscard]] bool mayHaveCrashedBefore(const OwnerJob& job, const TaskId& task) const;

    /// \brief Puts a live attempt at a worker on probation, which is stored.
    /// \returns False if it is on probation already.
    bool beginProbation(OwnerJob& job, const Attempt& attempt, const WorkerBook& worker);

    /// \returns Whether the copy of the jobs is young enough to know all cancels that must have taken effect.
    [[nodiscard]] bool knowsCancels() const;

    /// \returns Whether all that may forbid a start is known young enough: the ownership, cancels, evacuations, and the quota of the
    /// job's organisation. To be asked when a start is sent: the pass that decided it may have been held up since it began.
    [[nodiscard]] bool mayStart(const OwnerJob& job) const;

    /// \brief Marks a job's progress as to be stored.
    void store(const std::string& id) { writer->markChanged(id); }
};

/// \returns `id` as it stands in logs, for example `5c0e7a21d94b36f8/0/1/17#2`.
[[nodiscard]] std::string nameOf(const Attempt& attempt);

} // namespace lanemoor::jobs
