#include "crash_tracker.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Times the suspicion. A task that could run and waits for three seconds counts as forgotten.
constexpr Millis retryPauseStep { 570 };

/// Crashes on record from which the next one needs neither an acknowledgement nor an owner that saw the silence: as many as the platform asks
/// for before a task may fail.
constexpr std::uint32_t crashesToInfer = minConfirmedCrashes;

constexpr std::size_t maxAttemptsLogged = 8; // In one line on a lost worker.
constexpr Millis workerCountAge { 100 };

bool isSameIncarnation(std::int64_t startedAt, std::int64_t otherStartedAt)
{
    return startedAt == 0 || otherStartedAt == 0 || startedAt == otherStartedAt;
}

/// \returns Whether an unacknowledged start probably reached the worker: it was up when the start was sent, and was not heard of again.
bool wasProbablyDelivered(const LiveAttempt& live, const WorkerSession& session)
{
    return live.sentAtWorkerClock > 0 && Millis(session.heardOnClock() - live.sentAtWorkerClock) < minProbation;
}

/// \returns Whether its progress tells that an attempt has run for much longer than the longest probation.
bool hasProgressed(const LiveAttempt& live, const StepSpec& step)
{
    return step.longRunning ? live.percent >= 100 : step.estimate * live.percent / 100 >= 2 * maxProbation;
}

} // namespace

bool CrashTracker::OpenStart::isLive() const
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

std::size_t CrashTracker::livingWorkers()
{
    if (m_state.now() >= m_countWorkersAt) {
        m_countWorkersAt = m_state.now() + workerCountAge;
        m_livingWorkers = static_cast<std::size_t>(std::count_if(m_state.workers.begin(), m_state.workers.end(), [](const auto& worker) { return !worker.second.session->isLifeOver(); }));
    }
    return m_livingWorkers;
}

/// Index entries whose probations have been settled are dropped.
std::vector<CrashTracker::OpenStart> CrashTracker::openStartsAt(const std::string& worker)
{
    std::vector<OpenStart> open;
    const auto indexed = m_state.probations.find(worker);
    if (indexed == m_state.probations.end())
        return open;
    std::erase_if(indexed->second, [&](const auto& entry) {
        OwnerJob* job = m_state.job(entry.first);
        const TaskState* task = job ? job->state.find(entry.second) : nullptr;
        if (!task)
            return true;
        const std::size_t before = open.size();
        for (const Probation& probation : task->probations) {
            if (probation.worker == worker)
                open.push_back({ .job = job, .task = entry.second, .probation = probation });
        }
        return open.size() == before;
    });
    if (indexed->second.empty())
        m_state.probations.erase(indexed);
    return open;
}

/// \returns Those at the incarnation that the session speaks with.
std::vector<CrashTracker::OpenStart> CrashTracker::openStartsOf(const WorkerBook& worker)
{
    std::vector<OpenStart> open = openStartsAt(worker.entry.id);
    std::erase_if(open, [&](const OpenStart& start) { return !isSameIncarnation(start.probation.workerStartedAt, worker.session->life().startedAt); });
    return open;
}

void CrashTracker::withdraw(const OpenStart& start, std::string_view reason)
{
    if (!start.job->state.withdrawProbation(start.attempt()))
        return;
    m_state.options.log->decision("probation-withdrawn", { { "attempt", nameOf(start.attempt()) }, { "worker", start.probation.worker }, { "acknowledged", std::int64_t { start.probation.isAcknowledged } }, { "reason", std::string(reason) } });
    m_state.store(start.job->state.id());
}

void CrashTracker::noteSurvived(WorkerBook& worker, OwnerJob& job, const Attempt& attempt)
{
    worker.bookings.noteSurvived(attempt);
    if (!job.state.noteAttemptSurvived(attempt))
        return;
    m_state.options.log->decision("task-cleared", { { "attempt", nameOf(attempt) }, { "worker", worker.entry.id } });
    m_state.store(attempt.job);
}

void CrashTracker::noteAdopted(WorkerBook& worker, OwnerJob& job, const Attempt& attempt, std::int64_t workerClock)
{
    const std::uint32_t suspicion = job.state.find(attempt.task)->suspicion();
    if (suspicion == 0) {
        job.state.noteConfirmed(attempt, workerClock);
        return;
    }
    worker.bookings.noteSuspect(attempt, suspicion);
    m_state.beginProbation(job, attempt, worker);
    if (job.state.noteConfirmed(attempt, workerClock))
        m_state.store(attempt.job);
}

void CrashTracker::noteAnswer(WorkerBook& worker)
{
    if (worker.bookings.suspects().empty() && !m_state.probations.contains(worker.entry.id))
        return;
    const Millis probation = m_attributor.probation(livingWorkers(), m_state.now());
    std::vector<Attempt> survived;
    for (const auto& [attempt, suspicion] : worker.bookings.suspects()) {
        const OwnerJob* job = m_state.job(attempt.job);
        const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
        const bool isLive = task && task->live && task->live->number == attempt.number;
        if (!isLive || (!task->live->crashAttributed && task->live->confirmedAtWorkerClock > 0 && Millis(worker.session->heardOnClock() - task->live->confirmedAtWorkerClock) >= probation))
            survived.push_back(attempt);
    }
    for (const OpenStart& start : openStartsOf(worker)) {
        if (worker.bookings.contains(start.attempt()))
            continue;
        // Its attempt is gone with an expired lease or a previous owner, but the worker answers.
        if (start.probation.isAcknowledged)
            survived.push_back(start.attempt());
        else
            withdraw(start, "not-started");
    }
    for (const Attempt& attempt : survived) {
        if (OwnerJob* job = m_state.job(attempt.job))
            noteSurvived(worker, *job, attempt);
        else
            worker.bookings.noteSurvived(attempt);
    }
    if (!survived.empty())
        m_state.requestPass();
}

void CrashTracker::noteSilence(WorkerBook& worker)
{
    if (worker.endOrdered || worker.bookings.empty())
        return;
    const Millis probation = m_attributor.probation(livingWorkers(), m_state.now());
    for (const LostAttempt& lost : bookedAttempts(worker)) {
        if (lost.isAdopted || lost.survived.value_or(Millis(0)) >= probation)
            continue;
        OwnerJob& job = *m_state.job(lost.attempt.job);
        if (m_state.beginProbation(job, lost.attempt, worker))
            worker.bookings.noteSuspect(lost.attempt, job.state.find(lost.attempt.task)->suspicion());
        if (job.state.noteSilence(lost.attempt))
            m_state.store(lost.attempt.job);
    }
}

void CrashTracker::noteOverdue(WorkerBook& worker)
{
    for (const OpenStart& start : openStartsOf(worker)) {
        if (start.job->state.noteSilence(start.attempt()))
            m_state.store(start.job->state.id());
    }
}

void CrashTracker::noteLeaseExpired(WorkerBook& worker)
{
    if (worker.endOrdered)
        return;
    noteInheritedLoss(worker);
    noteSilence(worker);
    for (const OpenStart& start : openStartsOf(worker)) {
        const TaskState* task = m_state.liveTask(start.attempt(), worker.entry.id);
        if (task && task->live->phase != AttemptPhase::Recording)
            start.job->state.keepProbation(start.attempt());
    }
}

/// \returns The live attempts at the worker of jobs that are not over.
std::vector<LostAttempt> CrashTracker::bookedAttempts(const WorkerBook& worker) const
{
    std::vector<LostAttempt> booked;
    for (const auto& [attempt, booking] : worker.bookings) {
        const TaskState* task = m_state.liveTask(attempt, worker.entry.id);
        const OwnerJob* job = m_state.job(attempt.job);
        if (!task || isFinal(job->state.status()) || task->live->crashAttributed || task->live->phase == AttemptPhase::Recording)
            continue;
        LostAttempt& entry = booked.emplace_back(LostAttempt { .attempt = attempt, .isLongRunning = booking.step->longRunning, .survived = std::nullopt, .isAdopted = task->live->adopted && !worker.bookings.suspects().contains(attempt), .isInherited = job->inherited, .before = task->crashes });
        if (entry.isAdopted && hasProgressed(*task->live, *booking.step))
            continue;
        if (task->live->confirmedAtWorkerClock > 0)
            entry.survived = Millis(std::max<std::int64_t>(worker.session->heardOnClock() - task->live->confirmedAtWorkerClock, 0));
        else if (wasProbablyDelivered(*task->live, *worker.session))
            entry.survived = Millis(0);
    }
    return booked;
}

/// \returns Whether a start on record that no owner lived to see acknowledged or silent confirms a crash all the same: its incarnation has
/// ended without a word to this owner, and earlier crashes of the task are on record. A single one may be a start that was never sent.
bool CrashTracker::isInferred(const OpenStart& start, const WorkerBook& worker)
{
    return !worker.session->isMet() && start.job->state.find(start.task)->crashes.total() >= crashesToInfer;
}

/// \returns What was at a worker that is over, the youngest first. \param open At that incarnation, those of booked attempts among them.
std::vector<LostAttempt> CrashTracker::lostAttempts(const WorkerBook& worker, const std::vector<OpenStart>& open) const
{
    std::vector<LostAttempt> lost;
    if (worker.session->isMet())
        lost = bookedAttempts(worker);
    for (const OpenStart& start : open) {
        if (worker.bookings.contains(start.attempt()) || isFinal(start.job->state.status()))
            continue;
        LostAttempt& entry = lost.emplace_back(LostAttempt { .attempt = start.attempt(), .isLongRunning = start.job->state.spec(start.task.step).longRunning, .survived = std::nullopt, .isInherited = start.job->inherited, .before = start.job->state.find(start.task)->crashes });
        if (start.probation.confirmsCrash() || isInferred(start, worker))
            entry.survived = Millis(0);
    }
    std::sort(lost.begin(), lost.end(), [](const LostAttempt& a, const LostAttempt& b) { return a.survived < b.survived; });
    return lost;
}

std::optional<Attempt> CrashTracker::noteOver(WorkerBook& worker)
{
    if (std::exchange(worker.endSettled, true))
        return std::nullopt;
    noteInheritedLoss(worker);
    const std::vector<OpenStart> open = openStartsOf(worker);
    std::vector<LostAttempt> lost = worker.endOrdered ? std::vector<LostAttempt>() : lostAttempts(worker, open);
    // A worker serves on for seconds after it has announced its end: it crashed if it fell silent right after a start.
    const Millis probation = m_attributor.probation(livingWorkers(), m_state.now());
    const auto wasSurvived = [probation](const LostAttempt& each) { return each.isAdopted || each.survived.value_or(Millis(0)) >= probation; };
    if (worker.entry.draining && std::all_of(lost.begin(), lost.end(), wasSurvived))
        lost.clear();
    if (worker.endOrdered || (worker.entry.draining && lost.empty())) {
        std::for_each(open.begin(), open.end(), [this](const OpenStart& start) { withdraw(start, "planned-end"); });
        return std::nullopt;
    }
    // Of a worker that this owner never met, only what a previous owner left speaks.
    if (lost.empty() && !worker.session->isMet())
        return std::nullopt;
    const CrashVerdict verdict = m_attributor.attribute(lost, livingWorkers(), m_state.now());
    if (!lost.empty())
        logLoss(worker, lost, verdict);
    for (const LostAttempt& suspect : verdict.suspects)
        attributeCrash(suspect.attempt, worker.entry.id, suspect.survived.has_value());
    for (const LostAttempt& start : verdict.possibleSuspects)
        attributeCrash(start.attempt, worker.entry.id, false);
    // The others were there by chance.
    std::for_each(open.begin(), open.end(), [this](const OpenStart& start) { withdraw(start, "survived"); });
    return verdict.failed;
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

void CrashTracker::noteUnanswering()
{
    m_isInheritedSettled = true;
    for (const auto& [id, worker] : m_state.workers) {
        if (!worker.session->isMet() || worker.session->isSilent() || worker.session->isLifeOver())
            m_state.inheritedLosses.noteLoss(worker.entry.pool);
    }
    const std::string pools = m_state.inheritedLosses.text();
    if (!pools.empty() && m_state.ownership.term > 1)
        m_state.options.log->change("first-starts-recorded", { { "pools", pools } });
}

/// Once inherited tasks start again, only the attempts that were adopted may be of previous owners.
void CrashTracker::noteInheritedLoss(const WorkerBook& worker)
{
    if (!m_isInheritedSettled)
        m_state.inheritedLosses.noteLoss(worker.entry.pool);
    for (const auto& [attempt, booking] : worker.bookings) {
        const TaskState* task = m_state.liveTask(attempt, worker.entry.id);
        if (task && task->live->adopted)
            m_state.inheritedLosses.noteLoss(attempt.job, attempt.task);
    }
}

void CrashTracker::settleAbsent(bool isProvedOver)
{
    std::vector<std::string> workers;
    for (const auto& [id, tasks] : m_state.probations)
        workers.push_back(id);
    for (const std::string& id : workers) {
        const WorkerBook* book = m_state.worker(id);
        for (const OpenStart& start : openStartsAt(id)) {
            const bool isFormer = book && !isSameIncarnation(start.probation.workerStartedAt, book->session->life().startedAt);
            if ((book && !isFormer) || start.isLive())
                continue;
            attributeCrash(start.attempt(), id, start.probation.confirmsCrash() && (isFormer || isProvedOver));
        }
    }
}

/// One line on what was at a worker that is over: for each attempt, the youngest first, how long the worker answered after it had
/// acknowledged the start.
void CrashTracker::logLoss(const WorkerBook& worker, const std::vector<LostAttempt>& lost, const CrashVerdict& verdict) const
{
    std::string text;
    for (std::size_t i = 0; i < std::min(lost.size(), maxAttemptsLogged); ++i) {
        text += (text.empty() ? "" : ", ") + nameOf(lost[i].attempt);
        text += lost[i].isAdopted ? " adopted" : lost[i].survived ? ' ' + std::to_string(lost[i].survived->count()) + " ms"
                                                                  : " unconfirmed";
    }
    m_state.options.log->decision("worker-lost-with",
        { { "worker", worker.entry.id }, { "attempts", static_cast<std::int64_t>(lost.size()) }, { "youngest", text }, { "suspects", static_cast<std::int64_t>(verdict.suspects.size()) }, { "losses_needed", std::int64_t { verdict.crashesNeeded } } });
}

Millis CrashTracker::retryPause(const Attempt& attempt) const
{
    const OwnerJob* job = m_state.job(attempt.job);
    const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
    if (!task || task->suspicion() < m_state.options.crashes.crashesToFail)
        return Millis(0);
    return retryPauseStep * std::min(task->suspicion(), maxCrashes);
}

} // namespace lanemoor::jobs
