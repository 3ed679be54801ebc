#include "lanemoor/jobs/model/job_state.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Delay before a failed task starts again, so that a task which fails immediately does not take up the owner's event loop. A start
/// takes a few milliseconds.
constexpr Millis retryDelay { 20 };

Probation* findProbation(TaskState& task, std::uint64_t attempt)
{
    return const_cast<Probation*>(task.probationOf(attempt));
}

/// \returns Whether the attempt was on probation.
bool eraseProbation(TaskState& task, std::uint64_t attempt)
{
    return std::erase_if(task.probations, [&](const Probation& probation) { return probation.attempt == attempt; }) > 0;
}

} // namespace

const Probation* TaskState::probationOf(std::uint64_t attempt) const noexcept
{
    const auto found = std::find_if(probations.begin(), probations.end(), [&](const Probation& probation) { return probation.attempt == attempt; });
    return found == probations.end() ? nullptr : &*found;
}

JobState::JobState(std::string id, std::shared_ptr<const JobRecord> record, const ProgressRecord& progress, std::uint64_t attemptBase)
    : m_id(std::move(id))
    , m_record(std::move(record))
    , m_attemptBase(attemptBase)
    , m_status(progress.status)
    , m_hasPlannedStart(progress.isStartPlanned || progress.status != JobStatus::Queued)
    , m_occurrencesDone(progress.occurrencesDone)
    , m_occurrencesOpened(progress.occurrencesDone)
    , m_initial(progress)
{
}

std::uint32_t JobState::occurrences() const noexcept
{
    return std::max(m_record->spec.occurrences, 1U);
}

const TaskState* JobState::find(const TaskId& task) const noexcept
{
    const auto step = m_steps.find({ task.occurrence, task.step });
    if (step == m_steps.end() || task.index >= step->second.tasks.size())
        return nullptr;
    return &step->second.tasks[task.index];
}

TaskState* JobState::mutableTask(const TaskId& task) noexcept
{
    return const_cast<TaskState*>(std::as_const(*this).find(task));
}

TaskState* JobState::findLive(const Attempt& attempt) noexcept
{
    TaskState* task = mutableTask(attempt.task);
    return task && task->live && task->live->number == attempt.number ? task : nullptr;
}

std::shared_ptr<const StepSpec> JobState::sharedSpec(std::uint32_t step) const
{
    return { m_record, &m_record->spec.steps[step] };
}

bool JobState::isUnblocked(const StepId& step) const
{
    const std::vector<std::uint32_t>& dependencies = spec(step.step).dependsOn;
    return std::all_of(dependencies.begin(), dependencies.end(), [&](std::uint32_t dependency) {
        const auto found = m_steps.find({ step.occurrence, dependency });
        return found != m_steps.end() && found->second.succeeded == found->second.tasks.size();
    });
}

std::vector<TaskId> JobState::startable(const StepId& step, MonotonicInstant now) const
{
    std::vector<TaskId> tasks;
    const auto found = m_steps.find(step);
    if (isFinal(m_status) || found == m_steps.end() || found->second.idle() == 0 || !isUnblocked(step))
        return tasks;
    const std::vector<TaskState>& states = found->second.tasks;
    for (std::uint32_t i = 0; i < states.size(); ++i) {
        if (!states[i].succeeded && !states[i].live && !states[i].failedPermanently && states[i].notBefore <= now)
            tasks.push_back({ step.occurrence, step.step, i });
    }
    return tasks;
}

std::vector<Attempt> JobState::liveAttempts() const
{
    std::vector<Attempt> attempts;
    for (const auto& [id, step] : m_steps) {
        for (std::uint32_t i = 0; step.live > 0 && i < step.tasks.size(); ++i) {
            if (step.tasks[i].live)
                attempts.push_back({ m_id, { id.occurrence, id.step, i }, step.tasks[i].live->number });
        }
    }
    return attempts;
}

std::optional<Instant> JobState::nextDue() const
{
    if (isFinal(m_status) || m_occurrencesOpened >= occurrences())
        return std::nullopt;
    if (m_record->spec.occurrences == 0)
        return m_record->acceptedAt;
    return m_record->spec.firstStart + m_record->spec.interval * m_occurrencesOpened;
}

ProgressRecord JobState::progress() const
{
    ProgressRecord record = m_initial;
    record.status = m_status;
    record.isStartPlanned = m_hasPlannedStart;
    record.occurrencesDone = m_occurrencesDone;
    const auto isDone = [&](const auto& entry) { return entry.first.occurrence < m_occurrencesDone; };
    std::erase_if(record.succeeded, isDone);
    std::erase_if(record.tasks, isDone);
    for (const auto& [id, step] : m_steps) {
        if (step.succeeded > 0) {
            std::vector<bool>& bits = record.succeeded[id];
            bits.assign(step.tasks.size(), false);
            for (std::size_t i = 0; i < step.tasks.size(); ++i)
                bits[i] = step.tasks[i].succeeded;
        }
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            const TaskState& task = step.tasks[i];
            const TaskId taskId { id.occurrence, id.step, i };
            const TaskRecord stored { task.failedAttempts, task.checkpoint, task.crashes, task.probations, task.failedPermanently };
            if (task.succeeded || stored == TaskRecord {})
                record.tasks.erase(taskId);
            else
                record.tasks[taskId] = stored;
        }
    }
    return record;
}

bool JobState::openOccurrences(Instant timeOfDay)
{
    bool opened = false;
    for (std::optional<Instant> due = nextDue(); due && (m_record->spec.occurrences == 0 || *due <= timeOfDay); due = nextDue()) {
        openOccurrence(m_occurrencesOpened, m_initial);
        ++m_occurrencesOpened;
        opened = true;
    }
    return opened;
}

void JobState::openOccurrence(std::uint32_t occurrence, const ProgressRecord& progress)
{
    const std::vector<StepSpec>& specs = m_record->spec.steps;
    for (std::uint32_t s = 0; s < specs.size(); ++s) {
        StepState& step = m_steps[{ occurrence, s }];
        step.tasks.resize(specs[s].count);
        const auto bits = progress.succeeded.find({ occurrence, s });
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            TaskState& task = step.tasks[i];
            task.lastAttempt = m_attemptBase;
            if (bits != progress.succeeded.end() && i < bits->second.size() && bits->second[i]) {
                task.succeeded = true;
                ++step.succeeded;
            }
            const auto stored = progress.tasks.find({ occurrence, s, i });
            if (stored == progress.tasks.end())
                continue;
            task.failedAttempts = stored->second.failedAttempts;
            m_hasFailures |= !task.failedAttempts.empty();
            task.checkpoint = stored->second.checkpoint;
            task.crashes = stored->second.crashes;
            // The stored record does not identify the attempts that crashed their workers.
            task.lastCrashedAttempt = task.crashes.total() > 0 ? m_attemptBase : 0;
            task.probations = stored->second.probations;
            task.failedPermanently = stored->second.failedPermanently;
        }
        // Earlier versions stored a checkpoint with each member of a gang: that of any member is valid for all.
        for (std::uint32_t i = 1; specs[s].gang && i < step.tasks.size() && step.tasks[0].checkpoint.empty(); ++i)
            step.tasks[0].checkpoint = step.tasks[i].checkpoint;
    }
}

std::uint64_t JobState::nextAttempt(const TaskId& task) const
{
    const StepState& step = m_steps.at({ task.occurrence, task.step });
    if (!isGang(task))
        return step.tasks[task.index].lastAttempt + 1;
    std::uint64_t highest = 0;
    for (const TaskState& member : step.tasks)
        highest = std::max(highest, member.lastAttempt);
    return highest + 1;
}

bool JobState::isUnseen(const TaskId& task) const noexcept
{
    const TaskState* state = find(task);
    return state && state->lastAttempt == m_attemptBase;
}

void JobState::begin(const TaskId& task, std::uint64_t number, const std::string& worker, MonotonicInstant now)
{
    TaskState* state = mutableTask(task);
    if (!state || state->succeeded || state->live)
        return;
    state->lastAttempt = std::max(state->lastAttempt, number);
    state->live = LiveAttempt {
        .number = number, .worker = worker, .startedAt = now, .phaseSince = now, .stopAnsweredAt = std::nullopt, .percentSince = now
    };
    StepState& step = m_steps.at({ task.occurrence, task.step });
    ++step.live;
    // A report between the starts of two members changes only the checkpoint of the next attempt.
    if (isGang(task) && number > step.gangAttempt) {
        step.gangAttempt = number;
        step.gangCheckpoint = step.tasks[countedTask(task).index].checkpoint;
    }
    m_hasPlannedStart = true;
}

bool JobState::noteBegun() noexcept
{
    if (m_status != JobStatus::Queued)
        return false;
    m_status = JobStatus::Running;
    return true;
}

bool JobState::adopt(const Attempt& attempt, const std::string& worker, MonotonicInstant now)
{
    TaskState* state = mutableTask(attempt.task);
    if (!state || isFinal(m_status) || state->succeeded || state->live)
        return false;
    begin(attempt.task, attempt.number, worker, now);
    setPhase(attempt, AttemptPhase::Running, now);
    state->live->adopted = true;
    state->lastCrashedAttempt = 0; // This attempt began after all others had ended.
    return true;
}

bool JobState::hasFailed(const Attempt& attempt) const
{
    const TaskState* counted = find(countedTask(attempt.task));
    if (!counted)
        return false;
    const std::vector<std::uint64_t>& failed = counted->failedAttempts;
    return std::find(failed.begin(), failed.end(), attempt.number) != failed.end();
}

/// \returns The task that records the failures and the checkpoint; those of a gang are recorded with its first task.
TaskId JobState::countedTask(const TaskId& task) const
{
    return isGang(task) ? TaskId { task.occurrence, task.step, 0 } : task;
}

std::uint32_t JobState::failuresOf(const TaskId& task) const
{
    const TaskState* counted = find(countedTask(task));
    return counted && !spec(task.step).longRunning ? static_cast<std::uint32_t>(counted->failedAttempts.size()) : 0;
}

const std::string& JobState::checkpointOf(const TaskId& task) const
{
    const StepState& step = m_steps.at({ task.occurrence, task.step });
    return isGang(task) ? step.gangCheckpoint : step.tasks[task.index].checkpoint;
}

bool JobState::failAtLimit(const TaskId& task, std::uint32_t maxAttempts)
{
    if (isFinal(m_status) || failuresOf(task) < maxAttempts)
        return false;
    m_status = JobStatus::Failed;
    return true;
}

bool JobState::retainPolicy(const JobPolicy& policy)
{
    const std::optional<JobPolicy> stored = newestPolicy();
    if (stored && stored->version >= policy.version)
        return false;
    m_initial.policy = policy;
    return !stored || !stored->hasSameLimits(policy);
}

void JobState::setPhase(const Attempt& attempt, AttemptPhase phase, MonotonicInstant now)
{
    TaskState* state = findLive(attempt);
    if (!state || state->live->phase == phase)
        return;
    state->live->phase = phase;
    state->live->phaseSince = now;
}

void JobState::noteSent(const Attempt& attempt, std::int64_t workerClock, MonotonicInstant now)
{
    TaskState* state = findLive(attempt);
    if (!state)
        return;
    state->live->sentAtWorkerClock = workerClock;
    state->live->phase = AttemptPhase::Sent;
    state->live->startedAt = state->live->phaseSince = state->live->percentSince = now;
}

bool JobState::noteConfirmed(const Attempt& attempt, std::int64_t workerClock)
{
    TaskState* state = findLive(attempt);
    if (!state)
        return false;
    if (state->live->confirmedAtWorkerClock == 0)
        state->live->confirmedAtWorkerClock = workerClock;
    Probation* probation = findProbation(*state, attempt.number);
    return probation && !std::exchange(probation->isAcknowledged, true);
}

void JobState::noteStopAnswered(const Attempt& attempt, MonotonicInstant now)
{
    if (TaskState* state = findLive(attempt))
        state->live->stopAnsweredAt = now;
}

void JobState::noteReport(const RunningAttempt& report, MonotonicInstant now)
{
    TaskState* state = findLive(report.attempt);
    if (!state)
        return;
    state->live->reported = true;
    noteCheckpoint(report.attempt, report.checkpoint);
    if (state->live->percent != report.percent)
        state->live->percentSince = now;
    state->live->percent = report.percent;
}

/// Notes a checkpoint of a task or of its gang. A checkpoint of an earlier attempt does not replace a newer one.
/// \returns Whether it is the newest one now.
bool JobState::noteCheckpoint(const Attempt& attempt, const std::string& checkpoint)
{
    TaskState& counted = *mutableTask(countedTask(attempt.task));
    if (checkpoint.empty() || attempt.number < counted.checkpointAttempt)
        return false;
    counted.checkpoint = checkpoint;
    counted.checkpointAttempt = attempt.number;
    return true;
}

void JobState::clearLive(const TaskId& task, TaskState& state)
{
    if (!state.live)
        return;
    if (!state.live->keepsProbation)
        eraseProbation(state, state.live->number);
    state.live.reset();
    --m_steps.at({ task.occurrence, task.step }).live;
}

void JobState::succeedOne(const TaskId& task)
{
    TaskState& state = *mutableTask(task);
    if (state.succeeded)
        return;
    clearLive(task, state);
    state.succeeded = true;
    ++m_steps.at({ task.occurrence, task.step }).succeeded;
}

void JobState::succeed(const TaskId& task)
{
    if (!isGang(task)) {
        succeedOne(task);
        return;
    }
    for (std::uint32_t i = 0; i < spec(task.step).count; ++i)
        succeedOne({ task.occurrence, task.step, i });
}

bool JobState::hasSucceeded(std::uint32_t occurrence) const
{
    for (std::uint32_t s = 0; s < m_record->spec.steps.size(); ++s) {
        const auto step = m_steps.find({ occurrence, s });
        if (step == m_steps.end() || step->second.succeeded < step->second.tasks.size())
            return false;
    }
    return true;
}

void JobState::closeFinishedOccurrences()
{
    while (m_occurrencesDone < m_occurrencesOpened && hasSucceeded(m_occurrencesDone))
        ++m_occurrencesDone;
    if (m_occurrencesDone == occurrences() && !isFinal(m_status))
        m_status = JobStatus::Succeeded;
}

EndEffect JobState::fail(const Attempt& attempt, const std::string& worker, std::optional<std::uint32_t> maxAttempts, MonotonicInstant now)
{
    EndEffect effect;
    TaskState& counted = *mutableTask(countedTask(attempt.task));
    TaskState& own = *mutableTask(attempt.task);
    own.avoidWorker = worker;
    if (spec(attempt.task.step).longRunning)
        return effect;
    std::vector<std::uint64_t>& failed = counted.failedAttempts;
    if (std::find(failed.begin(), failed.end(), attempt.number) != failed.end())
        return effect;
    failed.push_back(attempt.number);
    m_hasFailures = true;
    effect.toBeStored = true;
    own.notBefore = now + retryDelay;
    effect.finished = maxAttempts && failAtLimit(attempt.task, *maxAttempts);
    return effect;
}

EndEffect JobState::end(const EndedAttempt& ended, const std::string& worker, std::optional<std::uint32_t> maxAttempts, MonotonicInstant now)
{
    TaskState* state = mutableTask(ended.attempt.task);
    if (!state)
        return {};
    state->lastAttempt = std::max(state->lastAttempt, ended.attempt.number);
    const bool wasLive = findLive(ended.attempt) != nullptr;
    const bool otherIsLive = state->live && !wasLive;
    // A success counts even if it is reported after the attempt was dropped and the task was started elsewhere; the newer attempt is
    // then redundant. Any other late end does not affect the newer attempt.
    const bool lateSuccess = otherIsLive && ended.end == AttemptEnd::Succeeded && !spec(ended.attempt.task.step).longRunning;
    if (state->succeeded)
        return {};
    // A late failure counts too, since the previous owner may not have stored it.
    if (otherIsLive && ended.end == AttemptEnd::Failed)
        return fail(ended.attempt, worker, maxAttempts, now);
    if (otherIsLive && !lateSuccess)
        return {};
    clearLive(ended.attempt.task, *state);
    const bool longRunning = spec(ended.attempt.task.step).longRunning;
    EndEffect effect;
    effect.counted = true;
    if (ended.end != AttemptEnd::Succeeded)
        effect.toBeStored = noteCheckpoint(ended.attempt, ended.checkpoint);
    if (ended.end == AttemptEnd::Succeeded && !longRunning) {
        const bool wasFinal = isFinal(m_status);
        succeed(ended.attempt.task);
        closeFinishedOccurrences();
        return { .toBeStored = true, .finished = isFinal(m_status) && !wasFinal, .counted = true };
    }
    if (ended.end == AttemptEnd::Failed) {
        const EndEffect failure = fail(ended.attempt, worker, maxAttempts, now);
        effect.toBeStored = effect.toBeStored || failure.toBeStored;
        effect.finished = failure.finished;
    }
    return effect;
}

void JobState::drop(const Attempt& attempt, MonotonicInstant retryAt)
{
    TaskState* state = findLive(attempt);
    if (!state)
        return;
    clearLive(attempt.task, *state);
    state->notBefore = retryAt;
}

bool JobState::beginProbation(const Attempt& attempt, std::int64_t workerStartedAt)
{
    TaskState* state = findLive(attempt);
    if (!state || state->probationOf(attempt.number))
        return false;
    state->probations.push_back({ .attempt = attempt.number, .worker = state->live->worker, .workerStartedAt = workerStartedAt, .isAcknowledged = state->live->confirmedAtWorkerClock > 0 });
    return true;
}

bool JobState::noteUnresponsive(const Attempt& attempt)
{
    TaskState* state = findLive(attempt);
    if (!state)
        return false;
    Probation* probation = state->live->phase == AttemptPhase::Recording ? nullptr : findProbation(*state, attempt.number);
    return probation && !std::exchange(probation->isUnresponsive, true);
}

void JobState::keepProbation(const Attempt& attempt)
{
    if (TaskState* state = findLive(attempt))
        state->live->keepsProbation = true;
}

bool JobState::withdrawProbation(const Attempt& attempt)
{
    TaskState* state = mutableTask(attempt.task);
    return state && eraseProbation(*state, attempt.number);
}

void JobState::noteCrash(const Attempt& attempt, bool isConfirmed)
{
    TaskState* state = mutableTask(attempt.task);
    if (!state)
        return;
    eraseProbation(*state, attempt.number);
    ++(isConfirmed ? state->crashes.confirmed : state->crashes.unconfirmed);
    state->lastCrashedAttempt = std::max(state->lastCrashedAttempt, attempt.number);
    if (findLive(attempt))
        state->live->crashAttributed = true;
}

bool JobState::noteAttemptSurvived(const Attempt& attempt)
{
    TaskState* state = mutableTask(attempt.task);
    if (!state)
        return false;
    const bool wasSuspect = state->suspectedCrashes() > 0;
    std::erase_if(state->probations, [&](const Probation& probation) { return probation.attempt <= attempt.number; });
    if (attempt.number < state->lastCrashedAttempt)
        return wasSuspect;
    state->failedPermanently = false;
    state->crashes = {};
    return wasSuspect;
}

bool JobState::noteSurvived(const TaskId& task)
{
    TaskState* state = mutableTask(task);
    if (!state)
        return false;
    state->failedPermanently = false;
    const bool wasSuspect = state->suspectedCrashes() > 0;
    state->crashes = {};
    state->probations.clear();
    return wasSuspect;
}

bool JobState::failPermanently(const TaskId& task)
{
    TaskState* state = mutableTask(task);
    if (!state || isFinal(m_status))
        return false;
    state->failedPermanently = true;
    if (spec(task.step).longRunning)
        return false;
    m_status = JobStatus::Failed;
    return true;
}

void JobState::cancel() noexcept
{
    if (!isFinal(m_status))
        m_status = JobStatus::Cancelled;
}

} // namespace lanemoor::jobs
