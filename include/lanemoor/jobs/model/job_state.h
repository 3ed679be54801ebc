#pragma once
/// \file
/// The owner's state of a job: which tasks may start, run or have ended.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/model/worker_control.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// Phase of an attempt that has not ended, as known to the owner.
enum class AttemptPhase {
    Recording, ///< The start is sent once its probation is stored.
    Sent, ///< The start was sent and is not answered yet.
    Running, ///< The worker confirmed it.
    OutcomeUnknown, ///< The start got no usable answer: the attempt may be running, or may begin later.
    Stopping, ///< A stop was sent.
};

/// \returns A short name of `phase`.
[[nodiscard]] std::string_view nameOf(AttemptPhase phase) noexcept;

/// An attempt that has not ended.
struct LiveAttempt {
    std::uint64_t number = 0;
    std::string worker; ///< Id of the worker incarnation that the start was sent to.
    AttemptPhase phase = AttemptPhase::Sent;
    MonotonicInstant startedAt; ///< When the start was sent, or the attempt was found running at the worker.
    MonotonicInstant phaseSince;
    std::optional<MonotonicInstant> stopAnsweredAt;
    bool adopted = false; ///< An earlier owner started the attempt, and may have sent a stop for it.
    std::uint32_t percent = 0; ///< Progress as last reported.
    MonotonicInstant percentSince; ///< When `percent` last changed.
    bool reported = false; ///< A status report of this worker incarnation listed it.
    std::int64_t confirmedAtWorkerClock = 0; ///< The worker's clock, ms, when it first confirmed the attempt; 0: not confirmed.
    /// The worker's clock, ms, when the start was sent; 0: unknown, as the worker had not answered shortly before.
    std::int64_t sentAtWorkerClock = 0;
    bool crashAttributed = false; ///< A crash is attributed to the attempt already; one start crashes at most one incarnation.
    bool keepsProbation = false; ///< The probation outlives the attempt, since the worker was unresponsive until the lease expired.

    /// \returns When the attempt last made reported progress or changed its phase.
    [[nodiscard]] MonotonicInstant lastProgressAt() const noexcept { return std::max(percentSince, phaseSince); }

    /// \returns Whether the worker has ever reported or acknowledged the attempt.
    [[nodiscard]] bool wasConfirmed() const noexcept { return reported || confirmedAtWorkerClock > 0; }

    [[nodiscard]] bool operator==(const LiveAttempt&) const = default;
};

/// State of a task in an open occurrence.
struct TaskState {
    bool succeeded = false;
    std::vector<std::uint64_t> failedAttempts;
    std::string checkpoint; ///< The newest; that of a gang is recorded with its first task.
    std::uint64_t checkpointAttempt = 0; ///< The attempt that saved it; 0: unknown, as it was stored.
    std::uint64_t lastAttempt = 0; ///< The highest number ever used or seen.
    std::optional<LiveAttempt> live;
    std::string avoidWorker; ///< The worker where it failed last; other workers are preferred.
    MonotonicInstant notBefore; ///< Earliest time of the next start.
    CrashCount crashes; ///< Consecutive crashes.
    std::uint64_t lastCrashedAttempt = 0; ///< Survived attempts with lower numbers don't reset `crashes`.
    std::vector<Probation> probations; ///< Of the live attempt and of earlier ones, if the task is suspect or a worker is unresponsive.
    bool failedPermanently = false; ///< The task crashes its workers and is not started again; a long-running job continues without it.

    /// \returns The number of crashes attributed to the task plus its unsettled probations; 0: the task is no suspect.
    [[nodiscard]] std::uint32_t suspectedCrashes() const noexcept { return crashes.total() + static_cast<std::uint32_t>(probations.size()); }

    /// \returns The probation of an attempt, or null.
    [[nodiscard]] const Probation* probationOf(std::uint64_t attempt) const noexcept;
};

/// State of one step of an open occurrence.
struct StepState {
    std::vector<TaskState> tasks;
    std::uint32_t succeeded = 0; ///< Number of tasks that have succeeded.
    std::uint32_t live = 0; ///< Number of tasks with a live attempt.
    std::uint64_t gangAttempt = 0; ///< The latest attempt of a gang.
    std::string gangCheckpoint; ///< Brought by each start of that attempt.

    /// \returns The number of tasks that have neither succeeded nor a live attempt.
    [[nodiscard]] std::uint32_t idle() const noexcept { return static_cast<std::uint32_t>(tasks.size()) - succeeded - live; }
};

/// Effect of the end of an attempt on its job.
struct EndEffect {
    bool toBeStored = false; ///< The progress record changed and must be stored.
    bool finished = false; ///< The job's status became final.
    bool counted = false; ///< The end was applied, since its task had neither succeeded nor another live attempt.
};

/// \brief State machine of a job. Pure: time is passed in. Invalid transitions, such as the end of an unknown attempt, are ignored.
///
/// \code
/// JobState job(id, record, progress, attemptBase);
/// job.openOccurrences(timeOfDay);
/// for (const auto& [step, state] : job.steps()) {
///     for (const TaskId& task : job.startable(step, now))
///         job.begin(task, job.nextAttempt(task), worker, now);
/// }
/// \endcode
class JobState {
public:
    /// \param attemptBase This owner numbers its attempts from `attemptBase` + 1.
    JobState(std::string id, std::shared_ptr<const JobRecord> record, const ProgressRecord& progress, std::uint64_t attemptBase);

    /// \name Queries
    ///@{
    [[nodiscard]] const std::string& id() const noexcept { return m_id; }
    [[nodiscard]] const JobRecord& record() const noexcept { return *m_record; }
    [[nodiscard]] JobStatus status() const noexcept { return m_status; }
    [[nodiscard]] const StepSpec& spec(std::uint32_t step) const { return m_record->spec.steps[step]; }

    /// \returns A step, kept alive by the pointer.
    [[nodiscard]] std::shared_ptr<const StepSpec> sharedSpec(std::uint32_t step) const;

    /// \returns Null for a task that does not exist, or whose occurrence is not open.
    [[nodiscard]] const TaskState* find(const TaskId& task) const noexcept;

    /// \returns The steps of open occurrences.
    [[nodiscard]] const std::map<StepId, StepState>& steps() const noexcept { return m_steps; }

    /// \returns Whether a start of any task was planned, by this owner or as recorded by an earlier one. It may not have begun.
    [[nodiscard]] bool hasPlannedStart() const noexcept { return m_hasPlannedStart; }

    /// \returns Whether the job waits and no start of its tasks was ever planned.
    [[nodiscard]] bool isUnattempted() const noexcept { return m_status == JobStatus::Queued && !m_hasPlannedStart; }

    /// \returns Whether all steps that `step` depends on have succeeded.
    [[nodiscard]] bool isUnblocked(const StepId& step) const;

    /// \returns Tasks of `step` that may start now; none if the step is blocked or the job's status is final.
    [[nodiscard]] std::vector<TaskId> startable(const StepId& step, MonotonicInstant now) const;

    /// \returns Attempts that have not ended.
    [[nodiscard]] std::vector<Attempt> liveAttempts() const;

    /// \returns Whether a failure of this attempt, or of its gang, is recorded.
    [[nodiscard]] bool hasFailed(const Attempt& attempt) const;

    /// \returns The number of failures that count against the task's limit; the members of a gang share it. 0 for a long-running task, which
    /// has no limit.
    [[nodiscard]] std::uint32_t failuresOf(const TaskId& task) const;

    /// \returns Whether a failure of any task is recorded.
    [[nodiscard]] bool hasFailures() const noexcept { return m_hasFailures; }

    /// \returns The checkpoint that the start of a live attempt brings; the members of a gang bring the same.
    [[nodiscard]] const std::string& checkpointOf(const TaskId& task) const;

    /// \returns The policy with the newest version of those at submission and since; nothing: unknown, as an earlier version of the program
    /// stored the job.
    [[nodiscard]] const std::optional<JobPolicy>& newestPolicy() const noexcept { return m_initial.policy ? m_initial.policy : m_record->policy; }

    /// \returns When the next occurrence is due, or nothing.
    [[nodiscard]] std::optional<Instant> nextDue() const;

    /// \returns The progress record to store.
    [[nodiscard]] ProgressRecord progress() const;
    ///@}

    /// \name Transitions
    ///@{
    /// \brief Opens the occurrences that are due.
    /// \returns Whether one was opened.
    bool openOccurrences(Instant timeOfDay);

    /// \returns The number of the next attempt of `task`; the tasks of a gang share it.
    [[nodiscard]] std::uint64_t nextAttempt(const TaskId& task) const;

    /// \returns Whether this owner has neither started the task nor seen an attempt of it.
    [[nodiscard]] bool isUnseen(const TaskId& task) const noexcept;

    /// \brief Notes that a start is planned: it is sent now, or once it is recorded.
    void begin(const TaskId& task, std::uint64_t number, const std::string& worker, MonotonicInstant now);

    /// \brief Notes that a worker has begun a task of the job, as it has confirmed or reported.
    /// \returns Whether the status changed by that and must be stored.
    bool noteBegun() noexcept;

    /// \brief Notes an attempt that runs at `worker` and was started by an earlier owner. Until it ends the task starts nowhere else, even
    /// if the attempt is to be stopped.
    /// \returns False if the task or job has finished, the occurrence is not open, or the task has another live attempt.
    bool adopt(const Attempt& attempt, const std::string& worker, MonotonicInstant now);

    /// \brief Notes that the start of an attempt in phase Recording is sent now.
    /// \param workerClock The worker's clock, ms; 0: unknown, as the worker has not answered recently.
    void noteSent(const Attempt& attempt, std::int64_t workerClock, MonotonicInstant now);

    /// \brief Changes the phase of a live attempt; ignored for other attempts.
    void setPhase(const Attempt& attempt, AttemptPhase phase, MonotonicInstant now);

    /// \brief Notes that the worker confirmed a live attempt at `workerClock` ms on its own clock.
    /// \returns Whether this acknowledges a start on probation, which must be stored.
    bool noteConfirmed(const Attempt& attempt, std::int64_t workerClock);

    /// \brief Notes the answer to a stop.
    void noteStopAnswered(const Attempt& attempt, MonotonicInstant now);

    /// \brief Updates the progress and the checkpoint of a live attempt.
    void noteReport(const RunningAttempt& report, MonotonicInstant now);

    /// \brief Notes that an attempt ended at `worker`.
    /// \param maxAttempts Number of failures of one task at which the job fails; nothing: unknown, so that it does not fail now.
    EndEffect end(const EndedAttempt& ended, const std::string& worker, std::optional<std::uint32_t> maxAttempts, MonotonicInstant now);

    /// \brief Fails the job if the task has reached the limit, which may have been lowered since its last failure.
    /// \returns Whether the job's status became final.
    bool failAtLimit(const TaskId& task, std::uint32_t maxAttempts);

    /// \brief Makes `policy`, if newer, a part of the progress. \returns Whether the progress must be stored, since the limits differ; other changes
    /// are stored with the next progress.
    bool retainPolicy(const JobPolicy& policy);

    /// \brief Drops a live attempt that never ran, vanished or ended with its worker.
    /// \param retryAt When the task may start again.
    void drop(const Attempt& attempt, MonotonicInstant retryAt);

    /// \brief Puts a live attempt on probation: its worker may not survive the start.
    /// \param workerStartedAt Start time of the worker incarnation, Unix ms; 0: not reported.
    /// \returns False if the attempt is on probation already or is not live.
    bool beginProbation(const Attempt& attempt, std::int64_t workerStartedAt);

    /// \brief Notes that the worker of a live attempt on probation is unresponsive. \returns Whether the probation changed and must be stored.
    bool noteUnresponsive(const Attempt& attempt);

    /// \brief Keeps the probation of a live attempt beyond its end, since only the unresponsive worker's survival or crash settles it.
    void keepProbation(const Attempt& attempt);

    /// \brief Ends a probation without a crash: the start did not reach the worker, or the worker ended for another reason.
    /// \returns Whether the attempt was on probation.
    bool withdrawProbation(const Attempt& attempt);

    /// \brief Attributes a worker crash to an attempt and ends its probation.
    /// \param isConfirmed Whether the crashed incarnation had acknowledged the start.
    void noteCrash(const Attempt& attempt, bool isConfirmed);

    /// \brief Notes that a worker has survived the latest start of the task. \returns Whether the task was suspect.
    bool noteSurvived(const TaskId& task);

    /// \brief Notes that a worker has survived the start of an attempt; probations of later attempts remain.
    /// \returns Whether the task was suspect.
    bool noteAttemptSurvived(const Attempt& attempt);

    /// \brief Fails a task permanently since it crashes its workers. Its job fails; a long-running job continues without the task, as its
    /// other tasks serve users and its disruption budget may forbid stopping them.
    /// \returns Whether the job's status became final.
    bool failPermanently(const TaskId& task);

    /// \brief Notes that a caller cancelled the job. Ignored if its status is final.
    void cancel() noexcept;
    ///@}

private:
    [[nodiscard]] TaskState* mutableTask(const TaskId& task) noexcept;
    [[nodiscard]] TaskState* findLive(const Attempt& attempt) noexcept;
    [[nodiscard]] bool isGang(const TaskId& task) const { return spec(task.step).gang; }
    void openOccurrence(std::uint32_t occurrence, const ProgressRecord& progress);
    bool noteCheckpoint(const Attempt& attempt, const std::string& checkpoint);
    void clearLive(const TaskId& task, TaskState& state);
    void succeed(const TaskId& task);
    void succeedOne(const TaskId& task);
    [[nodiscard]] TaskId countedTask(const TaskId& task) const;
    EndEffect fail(const Attempt& attempt, const std::string& worker, std::optional<std::uint32_t> maxAttempts, MonotonicInstant now);
    void closeFinishedOccurrences();
    [[nodiscard]] bool hasSucceeded(std::uint32_t occurrence) const;
    [[nodiscard]] std::uint32_t occurrences() const noexcept;

    std::string m_id;
    std::shared_ptr<const JobRecord> m_record;
    std::uint64_t m_attemptBase;
    JobStatus m_status; ///< Running once a worker has begun a task.
    bool m_hasPlannedStart;
    std::uint32_t m_occurrencesDone;
    std::uint32_t m_occurrencesOpened;
    bool m_hasFailures = false;
    ProgressRecord m_initial; ///< Stored progress, for occurrences that are not open yet.
    std::map<StepId, StepState> m_steps;
};

} // namespace lanemoor::jobs
