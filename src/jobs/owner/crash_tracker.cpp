#include "crash_tracker.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Pause per crash of the task. With `maxCrashes` crashes it stays below three seconds: a task that waits longer although it could run
/// counts as forgotten.
constexpr Millis retryPauseStep { 570 };

/// Number of recorded crashes from which a further crash is inferred without an acknowledgement, and without an owner that observed the
/// unresponsive worker. Equals the number that the platform requires before a task may fail.
constexpr std::uint32_t crashesToInfer = minConfirmedCrashes;

constexpr std::size_t maxAttemptsLogged = 8; // Per log line on a crashed worker.
constexpr Millis maxWorkerCountAge { 100 };

bool isSameIncarnation(std::int64_t startedAt, std::int64_t otherStartedAt)
{
    return startedAt == 0 || otherStartedAt == 0 || startedAt == otherStartedAt;
}

/// \returns Whether an unacknowledged start probably reached the worker: the worker was up when it was sent, and has not responded since.
bool wasProbablyDelivered(const LiveAttempt& live, const WorkerSession& session)
{
    return live.sentAtWorkerClock > 0 && Millis(session.lastSeenOnClock() - live.sentAtWorkerClock) < minProbation;
}

/// \returns Whether the progress shows that an attempt has run for much longer than the longest probation.
bool hasProgressed(const LiveAttempt& live, const StepSpec& step)
{
    return step.longRunning ? live.percent >= 100 : step.estimate * live.percent / 100 >= 2 * maxProbation;
}

} // namespace

bool CrashTracker::ProbationStart::isLive() const
{
    const TaskState* state = job->state.find(task);
    return state && state->live && state->live->number == probation.attempt;
}

CrashTracker::CrashTracker(OwnerState& state, SchedulerCounts& counts)
    : m_state(state)
    , m_counts(counts)
    , m_attributor(state.options.crashes, state.now())
{
}

void CrashTracker::load(const OwnerJob& job)
{
    for (const auto& [id, step] : job.state.steps()) {
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            for (const Probation& probation : step.tasks[i].probations)
                m_state.probations[probation.worker].insert({ job.state.id(), { id.occurrence, id.step, i } });
        }
    }
}

std::size_t CrashTracker::aliveWorkerCount()
{
    if (m_state.now() >= m_nextWorkerCountAt) {
        m_nextWorkerCountAt = m_state.now() + maxWorkerCountAge;
        m_aliveWorkerCount = static_cast<std::size_t>(std::count_if(m_state.workers.begin(), m_state.workers.end(), [](const auto& worker) { return !worker.second.session->hasIncarnationEnded(); }));
    }
    return m_aliveWorkerCount;
}

/// Also drops index entries without unsettled probations.
std::vector<CrashTracker::ProbationStart> CrashTracker::probationStartsAt(const std::string& worker)
{
    std::vector<ProbationStart> unsettled;
    const auto indexed = m_state.probations.find(worker);
    if (indexed == m_state.probations.end())
        return unsettled;
    std::erase_if(indexed->second, [&](const auto& entry) {
        OwnerJob* job = m_state.job(entry.first);
        const TaskState* task = job ? job->state.find(entry.second) : nullptr;
        if (!task)
            return true;
        const std::size_t before = unsettled.size();
        for (const Probation& probation : task->probations) {
            if (probation.worker == worker)
                unsettled.push_back({ .job = job, .task = entry.second, .probation = probation });
        }
        return unsettled.size() == before;
    });
    if (indexed->second.empty())
        m_state.probations.erase(indexed);
    return unsettled;
}

/// \returns The starts at the incarnation of the session.
std::vector<CrashTracker::ProbationStart> CrashTracker::probationStartsOf(const WorkerRecord& worker)
{
    std::vector<ProbationStart> unsettled = probationStartsAt(worker.entry.id);
    std::erase_if(unsettled, [&](const ProbationStart& start) { return !isSameIncarnation(start.probation.workerStartedAt, worker.session->incarnation().startedAt); });
    return unsettled;
}

void CrashTracker::withdraw(const ProbationStart& start, std::string_view reason)
{
    if (!start.job->state.withdrawProbation(start.attempt()))
        return;
    m_state.options.log->decision("probation-withdrawn", { { "attempt", nameOf(start.attempt()) }, { "worker", start.probation.worker }, { "acknowledged", std::int64_t { start.probation.isAcknowledged } }, { "reason", std::string(reason) } });
    m_state.store(start.job->state.id());
}

void CrashTracker::noteSurvived(WorkerRecord& worker, OwnerJob& job, const Attempt& attempt)
{
    worker.reservations.noteSurvived(attempt);
    if (!job.state.noteAttemptSurvived(attempt))
        return;
    m_state.options.log->decision("task-cleared", { { "attempt", nameOf(attempt) }, { "worker", worker.entry.id } });
    m_state.store(attempt.job);
}

void CrashTracker::noteAdopted(WorkerRecord& worker, OwnerJob& job, const Attempt& attempt, std::int64_t workerClock)
{
    const std::uint32_t suspectedCrashes = job.state.find(attempt.task)->suspectedCrashes();
    if (suspectedCrashes == 0) {
        job.state.noteConfirmed(attempt, workerClock);
        return;
    }
    worker.reservations.noteSuspect(attempt, suspectedCrashes);
    m_state.beginProbation(job, attempt, worker);
    if (job.state.noteConfirmed(attempt, workerClock))
        m_state.store(attempt.job);
}

void CrashTracker::noteAnswer(WorkerRecord& worker)
{
    if (worker.reservations.suspects().empty() && !m_state.probations.contains(worker.entry.id))
        return;
    const Millis probation = m_attributor.probation(aliveWorkerCount(), m_state.now());
    std::vector<Attempt> survived;
    for (const auto& [attempt, suspectedCrashes] : worker.reservations.suspects()) {
        const OwnerJob* job = m_state.job(attempt.job);
        const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
        const bool isLive = task && task->live && task->live->number == attempt.number;
        if (!isLive || (!task->live->crashAttributed && task->live->confirmedAtWorkerClock > 0 && Millis(worker.session->lastSeenOnClock() - task->live->confirmedAtWorkerClock) >= probation))
            survived.push_back(attempt);
    }
    for (const ProbationStart& start : probationStartsOf(worker)) {
        if (worker.reservations.contains(start.attempt()))
            continue;
        // The attempt was discarded with an expired lease or a previous owner, but the worker responds.
        if (start.probation.isAcknowledged)
            survived.push_back(start.attempt());
        else
            withdraw(start, "not-started");
    }
    for (const Attempt& attempt : survived) {
        if (OwnerJob* job = m_state.job(attempt.job))
            noteSurvived(worker, *job, attempt);
        else
            worker.reservations.noteSurvived(attempt);
    }
    if (!survived.empty())
        m_state.requestPass();
}

void CrashTracker::noteUnresponsive(WorkerRecord& worker)
{
    if (worker.isEndOrdered || worker.reservations.empty())
        return;
    const Millis probation = m_attributor.probation(aliveWorkerCount(), m_state.now());
    for (const LostAttempt& lost : reservedAttempts(worker)) {
        if (lost.isAdopted || lost.survived.value_or(Millis(0)) >= probation)
            continue;
        OwnerJob& job = *m_state.job(lost.attempt.job);
        if (m_state.beginProbation(job, lost.attempt, worker))
            worker.reservations.noteSuspect(lost.attempt, job.state.find(lost.attempt.task)->suspectedCrashes());
        if (job.state.noteUnresponsive(lost.attempt))
            m_state.store(lost.attempt.job);
    }
}

void CrashTracker::noteOverdue(WorkerRecord& worker)
{
    for (const ProbationStart& start : probationStartsOf(worker)) {
        if (start.job->state.noteUnresponsive(start.attempt()))
            m_state.store(start.job->state.id());
    }
}

void CrashTracker::noteLeaseExpired(WorkerRecord& worker)
{
    if (worker.isEndOrdered)
        return;
    noteInheritedFailure(worker);
    noteUnresponsive(worker);
    for (const ProbationStart& start : probationStartsOf(worker)) {
        const TaskState* task = m_state.liveTask(start.attempt(), worker.entry.id);
        if (task && task->live->phase != AttemptPhase::Recording)
            start.job->state.keepProbation(start.attempt());
    }
}

/// \returns The live attempts at the worker, without those of finished jobs.
std::vector<LostAttempt> CrashTracker::reservedAttempts(const WorkerRecord& worker) const
{
    std::vector<LostAttempt> reserved;
    for (const auto& [attempt, reservation] : worker.reservations) {
        const TaskState* task = m_state.liveTask(attempt, worker.entry.id);
        const OwnerJob* job = m_state.job(attempt.job);
        if (!task || isFinal(job->state.status()) || task->live->crashAttributed || task->live->phase == AttemptPhase::Recording)
            continue;
        LostAttempt& entry = reserved.emplace_back(LostAttempt { .attempt = attempt, .isLongRunning = reservation.step->longRunning, .survived = std::nullopt, .isAdopted = task->live->adopted && !worker.reservations.suspects().contains(attempt), .isInherited = job->inherited, .before = task->crashes });
        if (entry.isAdopted && hasProgressed(*task->live, *reservation.step))
            continue;
        if (task->live->confirmedAtWorkerClock > 0)
            entry.survived = Millis(std::max<std::int64_t>(worker.session->lastSeenOnClock() - task->live->confirmedAtWorkerClock, 0));
        else if (wasProbablyDelivered(*task->live, *worker.session))
            entry.survived = Millis(0);
    }
    return reserved;
}

/// \returns Whether a recorded start that no owner has seen acknowledged or overdue confirms a crash nevertheless: its incarnation has
/// ended without a response to this owner, and the task has earlier recorded crashes. A single record may belong to a start that was
/// never sent.
bool CrashTracker::isInferred(const ProbationStart& start, const WorkerRecord& worker)
{
    return !worker.session->hasAnswered() && start.job->state.find(start.task)->crashes.total() >= crashesToInfer;
}

/// \returns The attempts lost in a worker crash, latest start first.
/// \param unsettled Starts on probation at that incarnation, including those of reserved attempts.
std::vector<LostAttempt> CrashTracker::lostAttempts(const WorkerRecord& worker, const std::vector<ProbationStart>& unsettled) const
{
    std::vector<LostAttempt> lost;
    if (worker.session->hasAnswered())
        lost = reservedAttempts(worker);
    for (const ProbationStart& start : unsettled) {
        if (worker.reservations.contains(start.attempt()) || isFinal(start.job->state.status()))
            continue;
        LostAttempt& entry = lost.emplace_back(LostAttempt { .attempt = start.attempt(), .isLongRunning = start.job->state.spec(start.task.step).longRunning, .survived = std::nullopt, .isInherited = start.job->inherited, .before = start.job->state.find(start.task)->crashes });
        if (start.probation.confirmsCrash() || isInferred(start, worker))
            entry.survived = Millis(0);
    }
    std::sort(lost.begin(), lost.end(), [](const LostAttempt& a, const LostAttempt& b) { return a.survived < b.survived; });
    return lost;
}

std::optional<Attempt> CrashTracker::noteIncarnationEnd(WorkerRecord& worker)
{
    if (std::exchange(worker.isEndAttributed, true))
        return std::nullopt;
    noteInheritedFailure(worker);
    const std::vector<ProbationStart> unsettled = probationStartsOf(worker);
    std::vector<LostAttempt> lost = worker.isEndOrdered ? std::vector<LostAttempt>() : lostAttempts(worker, unsettled);
    // A draining worker continues for seconds: it crashed if it became unresponsive right after a start.
    const Millis probation = m_attributor.probation(aliveWorkerCount(), m_state.now());
    const auto wasSurvived = [probation](const LostAttempt& each) { return each.isAdopted || each.survived.value_or(Millis(0)) >= probation; };
    if (worker.entry.draining && std::all_of(lost.begin(), lost.end(), wasSurvived))
        lost.clear();
    if (worker.isEndOrdered || (worker.entry.draining && lost.empty())) {
        std::for_each(unsettled.begin(), unsettled.end(), [this](const ProbationStart& start) { withdraw(start, "planned-end"); });
        return std::nullopt;
    }
    // For a worker that never responded to this owner, only the records of a previous owner count.
    if (lost.empty() && !worker.session->hasAnswered())
        return std::nullopt;
    const CrashAttribution attribution = m_attributor.attribute(lost, aliveWorkerCount(), m_state.now());
    if (!lost.empty())
        logCrash(worker, lost, attribution);
    for (const LostAttempt& suspect : attribution.suspects)
        attributeCrash(suspect.attempt, worker.entry.id, suspect.survived.has_value());
    for (const LostAttempt& start : attribution.possibleSuspects)
        attributeCrash(start.attempt, worker.entry.id, false);
    // The other starts are not the cause.
    std::for_each(unsettled.begin(), unsettled.end(), [this](const ProbationStart& start) { withdraw(start, "survived"); });
    return attribution.failed;
}

void CrashTracker::attributeCrash(const Attempt& attempt, const std::string& worker, bool isConfirmed)
{
    ++m_counts.suspicions;
    JobState& job = m_state.job(attempt.job)->state;
    job.noteCrash(attempt, isConfirmed);
    m_state.store(attempt.job);
    const CrashCount& crashes = job.find(attempt.task)->crashes;
    m_state.options.log->decision("task-suspected",
        { { "attempt", nameOf(attempt) }, { "worker", worker }, { "acknowledged", std::int64_t { isConfirmed } }, { "workers_lost", std::int64_t { crashes.total() } }, { "confirmed", std::int64_t { crashes.confirmed } } });
}

void CrashTracker::noteUnansweredWorkers()
{
    m_areInheritedTasksReleased = true;
    for (const auto& [id, worker] : m_state.workers) {
        if (!worker.session->hasAnswered() || worker.session->isUnresponsive() || worker.session->hasIncarnationEnded())
            m_state.inheritedFailures.noteFailure(worker.entry.pool);
    }
    const std::string pools = m_state.inheritedFailures.text();
    if (!pools.empty() && m_state.ownership.term > 1)
        m_state.options.log->change("first-starts-recorded", { { "pools", pools } });
}

/// Once inherited tasks may start again, only adopted attempts can stem from previous owners.
void CrashTracker::noteInheritedFailure(const WorkerRecord& worker)
{
    if (!m_areInheritedTasksReleased)
        m_state.inheritedFailures.noteFailure(worker.entry.pool);
    for (const auto& [attempt, reservation] : worker.reservations) {
        const TaskState* task = m_state.liveTask(attempt, worker.entry.id);
        if (task && task->live->adopted)
            m_state.inheritedFailures.noteFailure(attempt.job, attempt.task);
    }
}

void CrashTracker::settleUnknownIncarnations(bool isEndProved)
{
    std::vector<std::string> workers;
    for (const auto& [id, tasks] : m_state.probations)
        workers.push_back(id);
    for (const std::string& id : workers) {
        const WorkerRecord* record = m_state.worker(id);
        for (const ProbationStart& start : probationStartsAt(id)) {
            const bool isPrevious = record && !isSameIncarnation(start.probation.workerStartedAt, record->session->incarnation().startedAt);
            if ((record && !isPrevious) || start.isLive())
                continue;
            attributeCrash(start.attempt(), id, start.probation.confirmsCrash() && (isPrevious || isEndProved));
        }
    }
}

/// Logs the attempts lost in a worker crash, latest start first, each with the time for which the worker responded after it had
/// acknowledged the start.
void CrashTracker::logCrash(const WorkerRecord& worker, const std::vector<LostAttempt>& lost, const CrashAttribution& attribution) const
{
    std::string text;
    for (std::size_t i = 0; i < std::min(lost.size(), maxAttemptsLogged); ++i) {
        text += (text.empty() ? "" : ", ") + nameOf(lost[i].attempt);
        text += lost[i].isAdopted ? " adopted" : lost[i].survived ? ' ' + std::to_string(lost[i].survived->count()) + " ms"
                                                                  : " unconfirmed";
    }
    m_state.options.log->decision("worker-lost-with",
        { { "worker", worker.entry.id }, { "attempts", static_cast<std::int64_t>(lost.size()) }, { "youngest", text }, { "suspects", static_cast<std::int64_t>(attribution.suspects.size()) }, { "losses_needed", std::int64_t { attribution.crashesNeeded } } });
}

Millis CrashTracker::retryPause(const Attempt& attempt) const
{
    const OwnerJob* job = m_state.job(attempt.job);
    const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
    if (!task || task->suspectedCrashes() < m_state.options.crashes.crashesToFail)
        return Millis(0);
    return retryPauseStep * std::min(task->suspectedCrashes(), maxCrashes);
}

} // namespace lanemoor::jobs
