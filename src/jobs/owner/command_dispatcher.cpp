#include "command_dispatcher.h"

#include "evacuation.h"
#include "lanemoor/jobs/intake/job_catalog.h"
#include "lanemoor/jobs/owner/hall_evacuations.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

constexpr Millis stopRetry { 300 }; // A worker takes up to some hundred ms for a stop.
constexpr std::uint32_t maxProbes = 4; // Per start; renewals continue afterwards.
constexpr std::uint32_t maxBackoff = 3; // Doublings of the pause between stops.
constexpr Millis probeMargin { 10 }; // A worker's clock may be slow by 2%, and has a resolution of 1 ms.
constexpr Millis pauseAfterNoRoom { 200 }; // Time until the next reports bring the worker's free resources up to date.
/// After the first confirmed start of a job: most writes of its progress within this time include its status, so that it needs none of
/// its own. Counts of waiting jobs may be 2 s old.
constexpr Millis statusWriteDelay { 500 };
constexpr Millis pauseAfterRefusal { 400 }; // A worker that refuses commands gets none for this time.

/// Renewals are answered when an attempt ends or after a second: these probes detect sooner whether the worker still runs.
void probeSoon(WorkerSession& session)
{
    for (Millis pause = minProbation; pause < maxProbation; pause *= 2)
        session.probeAfter(pause + probeMargin);
}

} // namespace

CommandDispatcher::CommandDispatcher(OwnerState& state, HealthMonitor& health, AdviceClient& advice, SchedulerCounts& counts)
    : m_state(state)
    , m_health(health)
    , m_advice(advice)
    , m_counts(counts)
{
}

bool CommandDispatcher::start(OwnerJob& job, const TaskId& task, std::uint64_t number, WorkerRecord& worker, const std::string& ticket, bool hasSuspectPeer)
{
    // Members of a gang start together or not at all: the caller checks `mayStart` once for the whole gang.
    const bool isGangMember = job.state.spec(task.step).gang;
    if (!worker.session->leaseForCommand() || !(isGangMember ? m_state.options.ownership->isHeld() : m_state.mayStart(job)))
        return false;
    const Attempt attempt { job.state.id(), task, number };
    const bool isFirstStart = !job.state.hasPlannedStart();
    // The previous owner may have failed before it recorded a crash, and the members of a gang start at the same time.
    const std::uint32_t assumed = hasSuspectPeer || m_state.mayHaveCrashedBefore(job, task) ? 1 : 0;
    const std::uint32_t suspectedCrashes = std::max(job.state.find(task)->suspectedCrashes(), assumed);
    job.state.begin(task, number, worker.entry.id, m_state.now());
    worker.reservations.put(attempt, { .step = job.state.sharedSpec(task.step), .account = job.account, .expectedEnd = m_state.expectedEnd(job, task), .suspectedCrashes = suspectedCrashes });
    worker.probationUntil = m_state.now() + maxProbation;
    m_health.noteStartReserved(worker, attempt);
    if (isFirstStart)
        m_state.store(job.state.id());
    if (suspectedCrashes == 0)
        send(attempt, worker, ticket);
    else
        recordAndSend(job, attempt, worker, ticket);
    return true;
}

/// The start and all earlier crashes must be stored before the worker can crash. Otherwise each change of owner would give
/// the task an additional start.
void CommandDispatcher::recordAndSend(OwnerJob& job, const Attempt& attempt, WorkerRecord& worker, const std::string& ticket)
{
    job.state.setPhase(attempt, AttemptPhase::Recording, m_state.now());
    m_state.beginProbation(job, attempt, worker);
    m_state.writer->whenJobStored(attempt.job, [self = weak_from_this(), attempt, id = worker.entry.id, session = std::weak_ptr(worker.session), ticket] {
        const auto dispatcher = self.lock();
        if (dispatcher && !dispatcher->m_closed)
            dispatcher->sendRecorded(attempt, id, session.lock().get(), ticket);
    });
}

void CommandDispatcher::sendRecorded(const Attempt& attempt, const std::string& worker, const WorkerSession* session, const std::string& ticket)
{
    const LiveAttempt* live = findLive(attempt, worker);
    if (!live || live->phase != AttemptPhase::Recording)
        return;
    WorkerRecord* record = recordOfSession(worker, session);
    if (!record || !record->acceptsRecordedStart(m_state.now()) || !m_state.mayStart(*m_state.job(attempt.job)) || !record->session->leaseForCommand()) {
        withdrawRecorded(attempt, worker);
        return;
    }
    const bool isVerified = record->isVerifiedUp(m_state.now());
    if (!isVerified && needsVerifiedWorker(attempt)) {
        sendOnAnswer(attempt, *record, ticket);
        return;
    }
    m_state.job(attempt.job)->state.noteSent(attempt, isVerified ? record->session->clockNow() : 0, m_state.now());
    send(attempt, *record, ticket);
}

/// The members of a gang start at the same time, and a start that is recorded without an earlier crash need not wait for an answer.
bool CommandDispatcher::needsVerifiedWorker(const Attempt& attempt) const
{
    const JobState& job = m_state.job(attempt.job)->state;
    const std::uint32_t suspicionOfThisStart = 1;
    return !job.spec(attempt.task.step).gang && job.find(attempt.task)->suspectedCrashes() > suspicionOfThisStart;
}

/// Storing the start took so long that the worker may have crashed meanwhile: sends the start after the next answer.
void CommandDispatcher::sendOnAnswer(const Attempt& attempt, WorkerRecord& worker, const std::string& ticket)
{
    m_awaitingAnswer[worker.entry.id].push_back({ attempt, worker.session, ticket });
    worker.session->probe();
    m_state.options.loop->callAt(m_state.now() + m_state.responses.overdueAfter(), [self = weak_from_this(), attempt, id = worker.entry.id] {
        const auto dispatcher = self.lock();
        if (!dispatcher || dispatcher->m_closed)
            return;
        const auto waiting = dispatcher->m_awaitingAnswer.find(id);
        if (waiting != dispatcher->m_awaitingAnswer.end() && std::erase_if(waiting->second, [&](const RecordedStart& start) { return start.attempt == attempt; }) > 0)
            dispatcher->withdrawRecorded(attempt, id);
    });
}

void CommandDispatcher::noteAnswer(const std::string& worker)
{
    const auto waiting = m_awaitingAnswer.find(worker);
    if (waiting == m_awaitingAnswer.end())
        return;
    const std::vector<RecordedStart> starts = std::move(waiting->second);
    m_awaitingAnswer.erase(waiting);
    for (const RecordedStart& start : starts)
        sendRecorded(start.attempt, worker, start.session.lock().get(), start.ticket);
}

/// Releases a start that was never sent.
void CommandDispatcher::withdrawRecorded(const Attempt& attempt, const std::string& worker)
{
    const LiveAttempt* live = findLive(attempt, worker);
    if (!live || live->phase != AttemptPhase::Recording)
        return;
    release(attempt, worker, m_state.now());
    m_state.requestPass();
}

void CommandDispatcher::send(const Attempt& attempt, WorkerRecord& worker, const std::string& ticket)
{
    const JobState& job = m_state.job(attempt.job)->state;
    const TaskState& task = *job.find(attempt.task);
    const StartCommand command { .attempt = attempt,
        .payload = job.record().spec.payload,
        .leaseUntil = worker.session->leaseForCommand().value_or(0),
        .epoch = worker.session->epoch(),
        .checkpoint = job.checkpointOf(attempt.task),
        .ticket = ticket };
    ++m_counts.starts;
    m_health.noteStartSent(worker, command);
    if (m_state.options.log->admitsDecision("task-start"))
        m_state.options.log->decision("task-start",
            { { "attempt", nameOf(attempt) }, { "worker", worker.entry.id }, { "epoch", static_cast<std::int64_t>(command.epoch) }, { "crashes", std::int64_t { task.crashes.total() } }, { "recorded", std::int64_t { task.probationOf(attempt.number) != nullptr } }, { "worker_verified", std::int64_t { task.live->sentAtWorkerClock > 0 } } });
    m_state.options.workers->start(worker.session->incarnation(), command, [self = weak_from_this(), attempt, id = worker.entry.id, session = std::weak_ptr(worker.session)](const CommandResult& result) {
        const auto dispatcher = self.lock();
        if (dispatcher && !dispatcher->m_closed)
            dispatcher->onStartAnswered(attempt, id, session.lock().get(), result);
    });
    watchStart(attempt, worker.entry.id, m_state.responses.overdueAfter(), 0);
}

/// \returns The live attempt at the worker, or null.
const LiveAttempt* CommandDispatcher::findLive(const Attempt& attempt, const std::string& worker) const
{
    const TaskState* task = m_state.liveTask(attempt, worker);
    return task ? &*task->live : nullptr;
}

/// Probes the worker when the answer to a start is overdue: waiting for the call to time out would cost the job most of its
/// objective.
void CommandDispatcher::watchStart(const Attempt& attempt, const std::string& worker, Millis pause, std::uint32_t probes)
{
    const MonotonicInstant due = m_state.now() + pause;
    m_state.options.loop->callAt(due, [self = weak_from_this(), attempt, worker, pause, probes, due] {
        const auto dispatcher = self.lock();
        if (!dispatcher || dispatcher->m_closed)
            return;
        const LiveAttempt* live = dispatcher->findLive(attempt, worker);
        WorkerRecord* record = dispatcher->m_state.worker(worker);
        if (!live || !record || (live->phase != AttemptPhase::Sent && live->phase != AttemptPhase::OutcomeUnknown))
            return;
        // If the event loop itself is late, the answer may be queued behind this call.
        if (dispatcher->m_state.now() - due > ResponseTime::minOverdue / 2) {
            dispatcher->watchStart(attempt, worker, pause, probes);
            return;
        }
        if (live->phase == AttemptPhase::Sent) {
            dispatcher->m_state.options.log->decision("start-overdue", { { "attempt", nameOf(attempt) }, { "worker", worker }, { "after_ms", static_cast<std::int64_t>(pause.count()) } });
            dispatcher->m_state.job(attempt.job)->state.setPhase(attempt, AttemptPhase::OutcomeUnknown, dispatcher->m_state.now());
        }
        dispatcher->m_health.noteStartOverdue(*record, attempt);
        record->session->noteOverdue();
        if (dispatcher->m_state.options.ownership->isHeld())
            record->session->probe();
        if (probes < maxProbes)
            dispatcher->watchStart(attempt, worker, dispatcher->m_state.responses.overdueAfter(), probes + 1);
    });
}

/// An answer does not identify the incarnation that sent it. If its clock reading went back, the worker may have restarted: the
/// answer does not confirm the start, and an unknown outcome stays unknown.
void CommandDispatcher::onStartAnswered(const Attempt& attempt, const std::string& worker, const WorkerSession* session, const CommandResult& result)
{
    WorkerRecord* record = recordOfSession(worker, session);
    OwnerJob* job = m_state.job(attempt.job);
    bool isOfIncarnation = false;
    if (record && result.outcome != CommandOutcome::OtherIncarnation)
        isOfIncarnation = record->session->noteClock(result.workerClock);
    if (record && result.outcome != CommandOutcome::OtherIncarnation && result.outcome != CommandOutcome::Unknown)
        m_health.noteStartAnswered(*record, attempt);
    switch (result.outcome) {
    case CommandOutcome::Done:
        if (!record)
            return;
        if (job && isOfIncarnation && job->state.noteConfirmed(attempt, result.workerClock))
            m_state.store(attempt.job);
        if (job)
            noteBegun(*job);
        if (const LiveAttempt* live = findLive(attempt, worker))
            m_state.responses.note(std::chrono::duration_cast<Millis>(m_state.now() - live->startedAt));
        if (record->reservations.suspects().contains(attempt))
            probeSoon(*record->session);
        if (const LiveAttempt* live = findLive(attempt, worker); live && (live->phase == AttemptPhase::Sent || (live->phase == AttemptPhase::OutcomeUnknown && isOfIncarnation)))
            job->state.setPhase(attempt, AttemptPhase::Running, m_state.now());
        return;
    case CommandOutcome::Unknown:
        ++m_counts.unknownStarts;
        m_state.options.log->decision("start-in-doubt", { { "attempt", nameOf(attempt) }, { "worker", worker } });
        // Only in phase Sent: a stop that was sent meanwhile settles the start.
        if (const LiveAttempt* live = findLive(attempt, worker); live && live->phase == AttemptPhase::Sent)
            job->state.setPhase(attempt, AttemptPhase::OutcomeUnknown, m_state.now());
        return;
    case CommandOutcome::OtherIncarnation:
        if (record)
            record->session->noteIncarnationOver();
        return;
    case CommandOutcome::Fenced:
        // A session with the next incarnation has a higher epoch.
        if (record)
            m_state.options.ownership->noteSuperseded();
        return;
    default:
        onStartRefused(attempt, worker, result.outcome);
    }
}

void CommandDispatcher::noteBegun(OwnerJob& job)
{
    if (!job.state.noteBegun())
        return;
    m_state.options.loop->callAt(m_state.now() + statusWriteDelay, [self = weak_from_this(), id = job.state.id()] {
        const auto dispatcher = self.lock();
        if (!dispatcher || dispatcher->m_closed || !dispatcher->m_state.job(id))
            return;
        const CatalogEntry* stored = dispatcher->m_state.options.catalog->find(id);
        if (stored && stored->progress.status == JobStatus::Queued)
            dispatcher->m_state.store(id);
    });
}

void CommandDispatcher::onStartRefused(const Attempt& attempt, const std::string& worker, CommandOutcome outcome)
{
    ++m_counts.refusals;
    m_state.options.log->decision("start-refused", { { "attempt", nameOf(attempt) }, { "worker", worker }, { "reason", std::string(nameOf(outcome)) } });
    const MonotonicInstant now = m_state.now();
    if (WorkerRecord* record = m_state.worker(worker)) {
        const bool full = outcome == CommandOutcome::NoRoom;
        const bool stale = outcome == CommandOutcome::LeaseExpired || outcome == CommandOutcome::Superseded || outcome == CommandOutcome::BadTicket;
        if (!stale)
            record->closedUntil = now + (full ? pauseAfterNoRoom : pauseAfterRefusal);
    }
    release(attempt, worker, outcome == CommandOutcome::BadTicket ? retryAfterBadTicket(attempt, worker) : now);
    m_state.requestPass();
}

/// \returns When the task may start again. Another ticket takes a call to the advisor; without a known policy of advice, only time helps.
MonotonicInstant CommandDispatcher::retryAfterBadTicket(const Attempt& attempt, const std::string& worker)
{
    ++m_counts.ticketRefusals;
    const OwnerJob* job = m_state.job(attempt.job);
    const WorkerRecord* record = m_state.worker(worker);
    if (record)
        m_advice.dropTicket(attempt.job, { attempt.task.occurrence, attempt.task.step }, *record);
    return job && job->policy && job->policy->advice ? m_state.now() : m_state.now() + pauseAfterRefusal;
}

void CommandDispatcher::release(const Attempt& attempt, const std::string& worker, MonotonicInstant retryAt)
{
    if (WorkerRecord* record = m_state.worker(worker)) {
        record->reservations.erase(attempt);
        record->starts.noteSettled(attempt);
    }
    OwnerJob* job = m_state.job(attempt.job);
    const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
    if (!task || !task->live || task->live->worker != worker)
        return;
    if (task->live->phase == AttemptPhase::Recording)
        m_state.store(attempt.job);
    job->state.drop(attempt, retryAt);
    m_state.noteStartable(*job);
}

void CommandDispatcher::stop(const Attempt& attempt, const std::string& worker)
{
    WorkerRecord* record = m_state.worker(worker);
    if (!record)
        return;
    if (const LiveAttempt* live = findLive(attempt, worker); live && live->phase == AttemptPhase::Recording) {
        withdrawRecorded(attempt, worker);
        return;
    }
    // While the store is unavailable the ownership is not usable, but it may be resumed.
    if (!m_state.options.ownership->isHeld()) {
        stopLater(attempt, worker, stopRetry);
        return;
    }
    const std::uint32_t number = ++m_stopsSent[attempt];
    if (OwnerJob* job = m_state.job(attempt.job))
        job->state.setPhase(attempt, AttemptPhase::Stopping, m_state.now());
    m_state.options.log->decision("task-stop", { { "attempt", nameOf(attempt) }, { "worker", worker } });
    m_state.options.workers->stop(record->session->incarnation(), attempt, record->session->epoch(), [self = weak_from_this(), attempt, worker, number, session = std::weak_ptr(record->session)](const CommandResult& result) {
        const auto dispatcher = self.lock();
        if (dispatcher && !dispatcher->m_closed)
            dispatcher->onStopAnswered(attempt, worker, number, session.lock().get(), result);
    });
    watchStop(attempt, worker, number);
}

/// Sends a stop again when its answer is overdue: the task can start elsewhere only after a stop was answered.
void CommandDispatcher::watchStop(const Attempt& attempt, const std::string& worker, std::uint32_t number)
{
    const Millis pause = m_state.responses.overdueAfter() * (1U << std::min(number - 1, maxBackoff));
    m_state.options.loop->callAt(m_state.now() + pause, [self = weak_from_this(), attempt, worker, number] {
        const auto dispatcher = self.lock();
        if (!dispatcher || dispatcher->m_closed)
            return;
        const auto sent = dispatcher->m_stopsSent.find(attempt);
        if (sent == dispatcher->m_stopsSent.end() || sent->second != number)
            return;
        // A repeated stop is no new evidence on the worker's health.
        if (WorkerRecord* record = dispatcher->m_state.worker(worker); record && number == 1)
            dispatcher->m_health.noteStopOverdue(*record);
        dispatcher->stopLater(attempt, worker, Millis(0));
    });
}

/// \returns The worker if `session` is still its current session, or null.
WorkerRecord* CommandDispatcher::recordOfSession(const std::string& worker, const WorkerSession* session) const
{
    WorkerRecord* record = m_state.worker(worker);
    return record && record->session.get() == session ? record : nullptr;
}

void CommandDispatcher::onStopAnswered(const Attempt& attempt, const std::string& worker, std::uint32_t number, const WorkerSession* session, const CommandResult& result)
{
    WorkerRecord* record = recordOfSession(worker, session);
    if (!record) {
        // A previous incarnation may have handled the stop, which does not affect the current one.
        stopLater(attempt, worker, stopRetry);
        return;
    }
    switch (result.outcome) {
    case CommandOutcome::Done: {
        m_stopsSent.erase(attempt);
        m_health.noteStopAnswered(*record);
        record->session->noteClock(result.workerClock);
        if (OwnerJob* job = m_state.job(attempt.job))
            job->state.noteStopAnswered(attempt, m_state.now());
        // An attempt that never ran reports no end, and the pending renewal shows its absence only after its wait time.
        const LiveAttempt* live = findLive(attempt, worker);
        if (live && !live->wasConfirmed())
            record->session->probe();
        return;
    }
    case CommandOutcome::OtherIncarnation:
        record->session->noteIncarnationOver();
        return;
    case CommandOutcome::Fenced:
        m_state.options.ownership->noteSuperseded();
        return;
    default:
        break;
    }
    const auto sent = m_stopsSent.find(attempt);
    if (sent != m_stopsSent.end() && sent->second == number)
        stopLater(attempt, worker, stopRetry);
}

void CommandDispatcher::stopLater(const Attempt& attempt, const std::string& worker, Millis pause)
{
    m_state.options.loop->callAt(m_state.now() + pause, [self = weak_from_this(), attempt, worker] {
        const auto dispatcher = self.lock();
        if (!dispatcher || dispatcher->m_closed)
            return;
        const WorkerRecord* record = dispatcher->m_state.worker(worker);
        if (!record || !record->reservations.contains(attempt)) {
            dispatcher->m_stopsSent.erase(attempt);
            return;
        }
        // Other tasks of the step may have failed since the first stop, which may not have arrived.
        if (dispatcher->mayStopNow(attempt))
            dispatcher->stop(attempt, worker);
        else
            dispatcher->stopLater(attempt, worker, stopRetry);
    });
}

bool CommandDispatcher::mayStopNow(const Attempt& attempt) const
{
    const OwnerJob* job = m_state.job(attempt.job);
    const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
    if (!task)
        return true;
    // An unconfirmed attempt is not running, so a stop disrupts nothing. Otherwise two unacknowledged starts of one step would
    // block each other's stop permanently.
    if (task->live && task->live->number == attempt.number && !task->live->wasConfirmed())
        return true;
    return isFinal(job->state.status()) || mayDisrupt(m_state, job->state, attempt.task);
}

void CommandDispatcher::stopAll(OwnerJob& job)
{
    for (const Attempt& attempt : job.state.liveAttempts()) {
        const LiveAttempt& live = *job.state.find(attempt.task)->live;
        if (live.phase != AttemptPhase::Stopping)
            stop(attempt, std::string(live.worker));
    }
}

void CommandDispatcher::finish(OwnerJob& job)
{
    const JobStatus status = job.state.status();
    m_counts.jobsSucceeded += status == JobStatus::Succeeded ? 1 : 0;
    m_counts.jobsFailed += status == JobStatus::Failed ? 1 : 0;
    m_state.options.log->decision("job-finished", { { "job", job.state.id() }, { "status", std::string(nameOf(status)) } });
    stopAll(job);
}

bool CommandDispatcher::failAtLimit(OwnerJob& job, const TaskId& task, std::uint32_t maxAttempts)
{
    if (!job.state.failAtLimit(task, maxAttempts))
        return false;
    m_state.options.log->decision("task-out-of-attempts", { { "attempt", nameOf(Attempt { job.state.id(), task, job.state.find(task)->lastAttempt }) }, { "failures", std::int64_t { job.state.failuresOf(task) } }, { "max_attempts", std::int64_t { maxAttempts } } });
    m_state.store(job.state.id());
    finish(job);
    return true;
}

void CommandDispatcher::failPermanently(OwnerJob& job, const TaskId& task)
{
    const bool wasFinished = isFinal(job.state.status());
    const bool jobFails = job.state.failPermanently(task);
    if (wasFinished)
        return;
    ++m_counts.permanentFailures;
    const TaskState& state = *job.state.find(task);
    m_state.options.log->decision("task-given-up", { { "attempt", nameOf(Attempt { job.state.id(), task, state.lastAttempt }) }, { "workers_lost", std::int64_t { state.crashes.total() } }, { "confirmed", std::int64_t { state.crashes.confirmed } }, { "job_fails", std::int64_t { jobFails } } });
    m_state.store(job.state.id());
    if (jobFails)
        finish(job);
}

void CommandDispatcher::throttle(WorkerRecord& worker, std::uint32_t percent)
{
    for (const auto& [attempt, reservation] : worker.reservations) {
        if (!reservation.step->bestEffort || reservation.throttledTo == percent || !m_state.options.ownership->isHeld())
            continue;
        worker.reservations.noteThrottled(attempt, percent);
        m_state.options.log->decision("task-throttle", { { "attempt", nameOf(attempt) }, { "worker", worker.entry.id }, { "percent", std::int64_t { percent } } });
        m_state.options.workers->throttle(worker.session->incarnation(), attempt, percent, worker.session->epoch(),
            [self = weak_from_this(), attempt = attempt, id = worker.entry.id](const CommandResult& result) {
                const auto dispatcher = self.lock();
                if (!dispatcher || dispatcher->m_closed || result.outcome == CommandOutcome::Done)
                    return;
                // The throttle is sent again after the next report.
                if (WorkerRecord* record = dispatcher->m_state.worker(id))
                    record->reservations.noteThrottled(attempt, std::nullopt);
            });
    }
}

} // namespace lanemoor::jobs
