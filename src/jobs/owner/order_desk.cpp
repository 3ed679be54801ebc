#include "order_desk.h"

#include "evacuation.h"
#include "lanemoor/jobs/owner/hall_evacuations.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

constexpr Millis stopRetry { 300 }; // A stop takes up to some hundred ms at the worker.
constexpr std::uint32_t maxProbes = 4; // For one start; renewals go on.
constexpr std::uint32_t maxBackoff = 3; // Doublings of the pause between stops.
constexpr Millis probeMargin { 10 }; // A worker's clock may be slow by 2%, and counts whole ms.
constexpr Millis pauseAfterNoRoom { 200 }; // Until the worker's books and ours agree again.
constexpr Millis pauseAfterFailedOrder { 400 }; // A worker that takes no orders is left alone a while.

/// Renewals wait for an end: without these, a worker that has nothing to tell would be heard of only each second.
void probeSoon(WorkerSession& session)
{
    for (Millis pause = minProbation; pause < maxProbation; pause *= 2)
        session.probeAfter(pause + probeMargin);
}

} // namespace

OrderDesk::OrderDesk(OwnerState& state, HealthMonitor& health, SchedulerCounts& counts)
    : m_state(state)
    , m_health(health)
    , m_counts(counts)
{
}

bool OrderDesk::start(OwnerJob& job, const TaskId& task, std::uint64_t number, WorkerBook& worker, const std::string& ticket, bool isBesideSuspect)
{
    // Members of a gang start together or not at all: whoever starts them asks once.
    const bool isMember = job.state.spec(task.step).gang;
    if (!worker.session->leaseForOrder() || !(isMember ? m_state.options.ownership->isHeld() : m_state.mayStart(job)))
        return false;
    const Attempt attempt { job.state.id(), task, number };
    const bool first = job.state.status() == JobStatus::Queued;
    // The previous owner may have been lost before it recorded a crash, and a gang starts at one time.
    const std::uint32_t assumed = isBesideSuspect || m_state.mayHaveCrashedBefore(job, task) ? 1 : 0;
    const std::uint32_t suspicion = std::max(job.state.find(task)->suspicion(), assumed);
    job.state.begin(task, number, worker.entry.id, m_state.now());
    worker.bookings.put(attempt, { .step = job.state.sharedSpec(task.step), .account = job.account, .endsBy = m_state.expectedEnd(job, task), .suspicion = suspicion });
    worker.youngUntil = m_state.now() + maxProbation;
    m_health.noteStartBooked(worker, attempt);
    if (first)
        m_state.store(job.state.id());
    if (suspicion == 0)
        send(attempt, worker, ticket);
    else
        recordAndSend(job, attempt, worker, ticket);
    return true;
}

/// The next owner must know of the start and of all earlier crashes before the worker can crash: a lost owner would otherwise
/// give the task another start.
void OrderDesk::recordAndSend(OwnerJob& job, const Attempt& attempt, WorkerBook& worker, const std::string& ticket)
{
    job.state.setPhase(attempt, AttemptPhase::Recording, m_state.now());
    m_state.beginProbation(job, attempt, worker);
    m_state.writer->whenJobStored(attempt.job, [self = weak_from_this(), attempt, id = worker.entry.id, life = std::weak_ptr(worker.session), ticket] {
        const auto desk = self.lock();
        if (desk && !desk->m_closed)
            desk->sendRecorded(attempt, id, life.lock().get(), ticket);
    });
}

void OrderDesk::sendRecorded(const Attempt& attempt, const std::string& worker, const WorkerSession* life, const std::string& ticket)
{
    const LiveAttempt* live = findLive(attempt, worker);
    if (!live || live->phase != AttemptPhase::Recording)
        return;
    WorkerBook* book = bookOfLife(worker, life);
    if (!book || !book->takesRecordedStart(m_state.now()) || !m_state.mayStart(*m_state.job(attempt.job)) || !book->session->leaseForOrder()) {
        withdrawRecorded(attempt, worker);
        return;
    }
    const bool isVerified = book->isVerifiedUp(m_state.now());
    if (!isVerified && needsVerifiedWorker(attempt)) {
        sendOnAnswer(attempt, *book, ticket);
        return;
    }
    m_state.job(attempt.job)->state.noteSent(attempt, isVerified ? book->session->clockNow() : 0, m_state.now());
    send(attempt, *book, ticket);
}

/// A gang starts at one time, and a start of which only the record matters need not wait.
bool OrderDesk::needsVerifiedWorker(const Attempt& attempt) const
{
    const JobState& job = m_state.job(attempt.job)->state;
    const std::uint32_t own = 1;
    return !job.spec(attempt.task.step).gang && job.find(attempt.task)->suspicion() > own;
}

/// Storing the record took so long that the worker may be gone by now.
void OrderDesk::sendOnAnswer(const Attempt& attempt, WorkerBook& worker, const std::string& ticket)
{
    m_awaitingAnswer[worker.entry.id].push_back({ attempt, worker.session, ticket });
    worker.session->probe();
    m_state.options.loop->callAt(m_state.now() + m_state.responses.overdueAfter(), [self = weak_from_this(), attempt, id = worker.entry.id] {
        const auto desk = self.lock();
        if (!desk || desk->m_closed)
            return;
        const auto waiting = desk->m_awaitingAnswer.find(id);
        if (waiting != desk->m_awaitingAnswer.end() && std::erase_if(waiting->second, [&](const RecordedStart& start) { return start.attempt == attempt; }) > 0)
            desk->withdrawRecorded(attempt, id);
    });
}

void OrderDesk::noteAnswer(const std::string& worker)
{
    const auto waiting = m_awaitingAnswer.find(worker);
    if (waiting == m_awaitingAnswer.end())
        return;
    const std::vector<RecordedStart> starts = std::move(waiting->second);
    m_awaitingAnswer.erase(waiting);
    for (const RecordedStart& start : starts)
        sendRecorded(start.attempt, worker, start.life.lock().get(), start.ticket);
}

/// The start was never sent.
void OrderDesk::withdrawRecorded(const Attempt& attempt, const std::string& worker)
{
    const LiveAttempt* live = findLive(attempt, worker);
    if (!live || live->phase != AttemptPhase::Recording)
        return;
    release(attempt, worker, m_state.now());
    m_state.requestPass();
}

void OrderDesk::send(const Attempt& attempt, WorkerBook& worker, const std::string& ticket)
{
    const JobState& job = m_state.job(attempt.job)->state;
    const TaskState& task = *job.find(attempt.task);
    const StartCommand order { .attempt = attempt,
        .payload = job.record().spec.payload,
        .leaseUntil = worker.session->leaseForOrder().value_or(0),
        .epoch = m_state.ownership.epoch,
        .checkpoint = task.checkpoint,
        .ticket = ticket };
    ++m_counts.starts;
    m_health.noteStartSent(worker, order);
    m_state.options.log->decision("task-start",
        { { "attempt", nameOf(attempt) }, { "worker", worker.entry.id }, { "epoch", static_cast<std::int64_t>(m_state.ownership.epoch) }, { "crashes", std::int64_t { task.crashes.total() } }, { "recorded", std::int64_t { task.probationOf(attempt.number) != nullptr } }, { "worker_verified", std::int64_t { task.live->sentAtWorkerClock > 0 } } });
    m_state.options.workers->start(worker.session->life(), order, [self = weak_from_this(), attempt, id = worker.entry.id, life = std::weak_ptr(worker.session)](const CommandResult& result) {
        const auto desk = self.lock();
        if (desk && !desk->m_closed)
            desk->started(attempt, id, life.lock().get(), result);
    });
    watchStart(attempt, worker.entry.id, m_state.responses.overdueAfter(), 0);
}

/// \returns The attempt if it is live at the worker, or null.
const LiveAttempt* OrderDesk::findLive(const Attempt& attempt, const std::string& worker) const
{
    const TaskState* task = m_state.liveTask(attempt, worker);
    return task ? &*task->live : nullptr;
}

/// A start whose answer is overdue is looked up at its worker: waiting until the call times out would cost its job most of its objective.
void OrderDesk::watchStart(const Attempt& attempt, const std::string& worker, Millis pause, std::uint32_t probes)
{
    const MonotonicInstant due = m_state.now() + pause;
    m_state.options.loop->callAt(due, [self = weak_from_this(), attempt, worker, pause, probes, due] {
        const auto desk = self.lock();
        if (!desk || desk->m_closed)
            return;
        const LiveAttempt* live = desk->findLive(attempt, worker);
        WorkerBook* book = desk->m_state.worker(worker);
        if (!live || !book || (live->phase != AttemptPhase::Sent && live->phase != AttemptPhase::OutcomeUnknown))
            return;
        // Where the event loop itself is late the answer may wait behind this call.
        if (desk->m_state.now() - due > ResponseTime::minOverdue / 2) {
            desk->watchStart(attempt, worker, pause, probes);
            return;
        }
        if (live->phase == AttemptPhase::Sent) {
            desk->m_state.options.log->decision("start-overdue", { { "attempt", nameOf(attempt) }, { "worker", worker }, { "after_ms", static_cast<std::int64_t>(pause.count()) } });
            desk->m_state.job(attempt.job)->state.setPhase(attempt, AttemptPhase::OutcomeUnknown, desk->m_state.now());
        }
        desk->m_health.noteStartOverdue(*book, attempt);
        book->session->noteOverdue();
        if (desk->m_state.options.ownership->isHeld())
            book->session->probe();
        if (probes < maxProbes)
            desk->watchStart(attempt, worker, desk->m_state.responses.overdueAfter(), probes + 1);
    });
}

/// An answer does not say which life gave it: after a restart it tells nothing of the clock, and a start nothing but that it is open.
void OrderDesk::started(const Attempt& attempt, const std::string& worker, const WorkerSession* life, const CommandResult& result)
{
    WorkerBook* book = bookOfLife(worker, life);
    OwnerJob* job = m_state.job(attempt.job);
    bool isOfLife = false;
    if (book && result.outcome != CommandOutcome::OtherIncarnation)
        isOfLife = book->session->noteClock(result.workerClock);
    if (book && result.outcome != CommandOutcome::OtherIncarnation && result.outcome != CommandOutcome::Unknown)
        m_health.noteStartAnswered(*book, attempt);
    switch (result.outcome) {
    case CommandOutcome::Done:
        if (!book)
            return;
        if (job && isOfLife && job->state.noteConfirmed(attempt, result.workerClock))
            m_state.store(attempt.job);
        if (const LiveAttempt* live = findLive(attempt, worker))
            m_state.responses.note(std::chrono::duration_cast<Millis>(m_state.now() - live->startedAt));
        if (book->bookings.suspects().contains(attempt))
            probeSoon(*book->session);
        if (const LiveAttempt* live = findLive(attempt, worker); live && (live->phase == AttemptPhase::Sent || (live->phase == AttemptPhase::OutcomeUnknown && isOfLife)))
            job->state.setPhase(attempt, AttemptPhase::Running, m_state.now());
        return;
    case CommandOutcome::Unknown:
        ++m_counts.doubts;
        m_state.options.log->decision("start-in-doubt", { { "attempt", nameOf(attempt) }, { "worker", worker } });
        // A stop that was sent meanwhile settles it.
        if (const LiveAttempt* live = findLive(attempt, worker); live && live->phase == AttemptPhase::Sent)
            job->state.setPhase(attempt, AttemptPhase::OutcomeUnknown, m_state.now());
        return;
    case CommandOutcome::OtherIncarnation:
        if (book)
            book->session->noteLifeOver();
        return;
    case CommandOutcome::Fenced:
        m_state.options.ownership->noteSuperseded();
        return;
    default:
        refused(attempt, worker, result.outcome);
    }
}

void OrderDesk::refused(const Attempt& attempt, const std::string& worker, CommandOutcome outcome)
{
    ++m_counts.refusals;
    m_state.options.log->decision("start-refused", { { "attempt", nameOf(attempt) }, { "worker", worker }, { "reason", std::string(nameOf(outcome)) } });
    const MonotonicInstant now = m_state.now();
    if (WorkerBook* book = m_state.worker(worker)) {
        const bool full = outcome == CommandOutcome::NoRoom;
        const bool stale = outcome == CommandOutcome::LeaseExpired || outcome == CommandOutcome::Superseded || outcome == CommandOutcome::BadTicket;
        if (!stale)
            book->noWorkBefore = now + (full ? pauseAfterNoRoom : pauseAfterFailedOrder);
    }
    release(attempt, worker, now);
    m_state.requestPass();
}

void OrderDesk::release(const Attempt& attempt, const std::string& worker, MonotonicInstant retryAt)
{
    if (WorkerBook* book = m_state.worker(worker)) {
        book->bookings.erase(attempt);
        book->starts.noteSettled(attempt);
    }
    OwnerJob* job = m_state.job(attempt.job);
    const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
    if (!task || !task->live || task->live->worker != worker)
        return;
    if (task->live->phase == AttemptPhase::Recording)
        m_state.store(attempt.job);
    job->state.drop(attempt, retryAt);
}

void OrderDesk::stop(const Attempt& attempt, const std::string& worker)
{
    WorkerBook* book = m_state.worker(worker);
    if (!book)
        return;
    if (const LiveAttempt* live = findLive(attempt, worker); live && live->phase == AttemptPhase::Recording) {
        withdrawRecorded(attempt, worker);
        return;
    }
    // While the store is away the ownership may not be used, and may yet go on.
    if (!m_state.options.ownership->isHeld()) {
        stopLater(attempt, worker, stopRetry);
        return;
    }
    const std::uint32_t number = ++m_stopsSent[attempt];
    if (OwnerJob* job = m_state.job(attempt.job))
        job->state.setPhase(attempt, AttemptPhase::Stopping, m_state.now());
    m_state.options.log->decision("task-stop", { { "attempt", nameOf(attempt) }, { "worker", worker } });
    m_state.options.workers->stop(book->session->life(), attempt, m_state.ownership.epoch, [self = weak_from_this(), attempt, worker, number, life = std::weak_ptr(book->session)](const CommandResult& result) {
        const auto desk = self.lock();
        if (desk && !desk->m_closed)
            desk->stopped(attempt, worker, number, life.lock().get(), result);
    });
    watchStop(attempt, worker, number);
}

/// A stop whose answer is overdue is sent again: until one is answered the task starts nowhere else.
void OrderDesk::watchStop(const Attempt& attempt, const std::string& worker, std::uint32_t number)
{
    const Millis pause = m_state.responses.overdueAfter() * (1U << std::min(number - 1, maxBackoff));
    m_state.options.loop->callAt(m_state.now() + pause, [self = weak_from_this(), attempt, worker, number] {
        const auto desk = self.lock();
        if (!desk || desk->m_closed)
            return;
        const auto sent = desk->m_stopsSent.find(attempt);
        if (sent == desk->m_stopsSent.end() || sent->second != number)
            return;
        // A stop that is sent again says nothing new of the worker.
        if (WorkerBook* book = desk->m_state.worker(worker); book && number == 1)
            desk->m_health.noteStopOverdue(*book);
        desk->stopLater(attempt, worker, Millis(0));
    });
}

/// \returns The book of the worker if `life` is still the one that it speaks with, or null.
WorkerBook* OrderDesk::bookOfLife(const std::string& worker, const WorkerSession* life) const
{
    WorkerBook* book = m_state.worker(worker);
    return book && book->session.get() == life ? book : nullptr;
}

void OrderDesk::stopped(const Attempt& attempt, const std::string& worker, std::uint32_t number, const WorkerSession* life, const CommandResult& result)
{
    WorkerBook* book = bookOfLife(worker, life);
    if (!book) {
        // A former life may have taken it, which says nothing of the new one.
        stopLater(attempt, worker, stopRetry);
        return;
    }
    switch (result.outcome) {
    case CommandOutcome::Done: {
        m_stopsSent.erase(attempt);
        m_health.noteStopAnswered(*book);
        book->session->noteClock(result.workerClock);
        if (OwnerJob* job = m_state.job(attempt.job))
            job->state.noteStopAnswered(attempt, m_state.now());
        // If it never ran there no end is reported, and the open renewal tells so only once its wait is over.
        const LiveAttempt* live = findLive(attempt, worker);
        if (live && !live->wasConfirmed())
            book->session->probe();
        return;
    }
    case CommandOutcome::OtherIncarnation:
        book->session->noteLifeOver();
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

void OrderDesk::stopLater(const Attempt& attempt, const std::string& worker, Millis pause)
{
    m_state.options.loop->callAt(m_state.now() + pause, [self = weak_from_this(), attempt, worker] {
        const auto desk = self.lock();
        if (!desk || desk->m_closed)
            return;
        const WorkerBook* again = desk->m_state.worker(worker);
        if (!again || !again->bookings.contains(attempt)) {
            desk->m_stopsSent.erase(attempt);
            return;
        }
        // Others of its step may have been lost since the first stop, which may not have arrived.
        if (desk->mayStopNow(attempt))
            desk->stop(attempt, worker);
        else
            desk->stopLater(attempt, worker, stopRetry);
    });
}

bool OrderDesk::mayStopNow(const Attempt& attempt) const
{
    const OwnerJob* job = m_state.job(attempt.job);
    const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
    if (!task)
        return true;
    // Nothing is at work that was never there; tasks of one step whose starts are open would wait for each other for ever.
    if (task->live && task->live->number == attempt.number && !task->live->wasConfirmed())
        return true;
    return isFinal(job->state.status()) || mayDisrupt(m_state, job->state, attempt.task);
}

void OrderDesk::stopAll(OwnerJob& job)
{
    for (const Attempt& attempt : job.state.liveAttempts()) {
        const LiveAttempt& live = *job.state.find(attempt.task)->live;
        if (live.phase != AttemptPhase::Stopping)
            stop(attempt, std::string(live.worker));
    }
}

void OrderDesk::finish(OwnerJob& job)
{
    const JobStatus status = job.state.status();
    m_counts.jobsSucceeded += status == JobStatus::Succeeded ? 1 : 0;
    m_counts.jobsFailed += status == JobStatus::Failed ? 1 : 0;
    m_state.options.log->decision("job-finished", { { "job", job.state.id() }, { "status", std::string(nameOf(status)) } });
    stopAll(job);
}

void OrderDesk::giveUp(OwnerJob& job, const TaskId& task)
{
    const bool wasOver = isFinal(job.state.status());
    const bool isOver = job.state.giveUp(task);
    if (wasOver)
        return;
    ++m_counts.givenUp;
    const TaskState& state = *job.state.find(task);
    m_state.options.log->decision("task-given-up", { { "attempt", nameOf(Attempt { job.state.id(), task, state.lastAttempt }) }, { "workers_lost", std::int64_t { state.crashes.total() } }, { "confirmed", std::int64_t { state.crashes.confirmed } }, { "job_fails", std::int64_t { isOver } } });
    m_state.store(job.state.id());
    if (isOver)
        finish(job);
}

void OrderDesk::throttle(WorkerBook& worker, std::uint32_t percent)
{
    for (const auto& [attempt, booking] : worker.bookings) {
        if (!booking.step->bestEffort || booking.throttledTo == percent || !m_state.options.ownership->isHeld())
            continue;
        worker.bookings.noteThrottled(attempt, percent);
        m_state.options.log->decision("task-throttle", { { "attempt", nameOf(attempt) }, { "worker", worker.entry.id }, { "percent", std::int64_t { percent } } });
        m_state.options.workers->throttle(worker.session->life(), attempt, percent, m_state.ownership.epoch,
            [self = weak_from_this(), attempt = attempt, id = worker.entry.id](const CommandResult& result) {
                const auto desk = self.lock();
                if (!desk || desk->m_closed || result.outcome == CommandOutcome::Done)
                    return;
                // Told again with the next report.
                if (WorkerBook* book = desk->m_state.worker(id))
                    book->bookings.noteThrottled(attempt, 100);
            });
    }
}

} // namespace lanemoor::jobs
