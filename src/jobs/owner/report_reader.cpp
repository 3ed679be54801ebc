#include "report_reader.h"

#include "evacuation.h"
#include "lanemoor/jobs/intake/job_catalog.h"
#include "lanemoor/jobs/model/work_meter.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

/// A batch attempt whose percent does not change for this long stands still: the longest tasks
/// seen take some 10 s, of which a percent is 0.1 s, and reports come every second.
constexpr Millis stuckAfter { 3'000 };
/// Members of a gang also wait for each other, up to some seconds by the platform's bound.
constexpr Millis gangStuckAfter { 7'000 };
/// A long-running task that stood still so long does not come to work just as it is stopped.
constexpr Millis stuckForGood { 8'000 };

constexpr Millis strayStopPause { 500 }; // Between stops of an attempt that nobody wants.

} // namespace

ReportReader::ReportReader(OwnerState& state, HealthMonitor& health, OrderDesk& desk, SchedulerCounts& counts)
    : m_state(state)
    , m_health(health)
    , m_desk(desk)
    , m_counts(counts)
    , m_crashes(state, counts)
{
}

void ReportReader::onAnswer(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt)
{
    const WorkMeter::Piece piece(m_state.options.meter, WorkKind::Reports);
    WorkerBook* worker = m_state.worker(session.life().id);
    if (!worker)
        return;
    if (!worker->met) {
        worker->met = true;
        m_state.options.log->decision("worker-met",
            { { "worker", session.life().id }, { "running", static_cast<std::int64_t>(result.running.size()) }, { "ended", static_cast<std::int64_t>(result.ended.size()) } });
    }
    readEnds(*worker, session, result.ended);
    for (const RunningAttempt& running : result.running)
        readRunning(*worker, running, result.workerClock);
    settleMissing(*worker, result, sentAt);
    findStuck(*worker);
    adjustThrottle(*worker, result);
    m_state.requestPass();
    if (result.ended.empty())
        session.acknowledge(0);
}

/// The worker may forget its ends once they are stored.
void ReportReader::readEnds(WorkerBook& worker, WorkerSession& session, const std::vector<EndedAttempt>& ends)
{
    std::uint64_t last = 0;
    for (const EndedAttempt& ended : ends) {
        readEnded(worker, ended);
        last = std::max(last, ended.sequence);
    }
    if (last == 0)
        return;
    m_state.requestPass();
    m_state.writer->whenStored([weak = session.weak_from_this(), last] {
        if (const auto stored = weak.lock())
            stored->acknowledge(last);
    });
}

void ReportReader::readEnded(WorkerBook& worker, const EndedAttempt& ended)
{
    worker.bookings.erase(ended.attempt);
    worker.starts.noteSettled(ended.attempt);
    OwnerJob* job = m_state.job(ended.attempt.job);
    if (!job)
        return;
    const TaskState* task = job->state.find(ended.attempt.task);
    if (ended.end == AttemptEnd::Succeeded && task && task->live && task->live->number == ended.attempt.number) {
        const Millis observed = std::chrono::duration_cast<Millis>(m_state.now() - task->live->startedAt);
        m_state.forecast.noteRunTime(job->state.record().queue, job->state.spec(ended.attempt.task.step).estimate, observed);
        m_health.noteRunTime(worker, job->state, ended.attempt, observed);
    }
    m_state.endWait(*job);
    // Whatever the end, the worker has lived to tell it.
    m_crashes.noteSurvived(worker, *job, ended.attempt);
    const EndEffect effect = job->state.end(ended, worker.entry.id, m_state.mostAttemptsOf(job->state), m_state.now());
    m_state.options.log->decision("task-end",
        { { "attempt", nameOf(ended.attempt) }, { "worker", worker.entry.id }, { "end", std::string(nameOf(ended.end)) }, { "counted", std::int64_t { effect.counted } } });
    m_counts.successes += effect.counted && ended.end == AttemptEnd::Succeeded ? 1 : 0;
    m_counts.failures += effect.counted && ended.end == AttemptEnd::Failed ? 1 : 0;
    m_counts.lapses += effect.counted && ended.end == AttemptEnd::LeaseExpired ? 1 : 0;
    if (effect.counted && ended.end == AttemptEnd::Succeeded)
        m_health.noteSuccess(worker);
    if (effect.counted && ended.end == AttemptEnd::Failed)
        m_health.noteFailure(worker, ended.attempt.job);
    if (effect.toBeStored)
        m_state.store(ended.attempt.job);
    if (effect.finished)
        m_desk.finish(*job);
}

void ReportReader::readRunning(WorkerBook& worker, const RunningAttempt& report, std::int64_t workerClock)
{
    OwnerJob* job = m_state.job(report.attempt.job);
    const TaskState* task = job ? job->state.find(report.attempt.task) : nullptr;
    if (m_state.liveTask(report.attempt, worker.entry.id)) {
        m_health.noteStartConfirmed(worker, report.attempt);
        confirm(report, workerClock);
        job->state.noteReport(report, m_state.now());
        return;
    }
    if (task && job->state.adopt(report.attempt, worker.entry.id, m_state.now())) {
        m_state.endWait(*job);
        worker.bookings.put(report.attempt, { .step = job->state.sharedSpec(report.attempt.task.step), .account = job->account, .endsBy = m_state.expectedEnd(*job, report.attempt.task) });
        job->state.noteReport(report, m_state.now());
        m_state.options.log->decision("task-adopted", { { "attempt", nameOf(report.attempt) }, { "worker", worker.entry.id } });
        m_crashes.noteAdopted(worker, *job, report.attempt, workerClock);
        // A member of a gang that failed: its attempt is in vain.
        if (job->state.hasFailed(report.attempt))
            m_desk.stop(report.attempt, worker.entry.id);
        return;
    }
    stopStray(worker, report.attempt, job);
}

/// A live attempt is at its worker.
void ReportReader::confirm(const RunningAttempt& report, std::int64_t workerClock)
{
    JobState& job = m_state.job(report.attempt.job)->state;
    const AttemptPhase phase = job.find(report.attempt.task)->live->phase;
    if (phase == AttemptPhase::Sent || phase == AttemptPhase::OutcomeUnknown)
        job.setPhase(report.attempt, AttemptPhase::Running, m_state.now());
    if (job.noteConfirmed(report.attempt, workerClock))
        m_state.store(report.attempt.job);
}

/// Reads ends, which stand whatever the order of the answers, and settles starts and stops whose outcome is unknown. The list of what
/// runs may be older than one that was read before.
void ReportReader::onProbe(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt)
{
    WorkerBook* worker = m_state.worker(session.life().id);
    if (!worker)
        return;
    readEnds(*worker, session, result.ended);
    for (const RunningAttempt& running : result.running) {
        const TaskState* task = m_state.liveTask(running.attempt, worker->entry.id);
        if (task && task->live->phase == AttemptPhase::OutcomeUnknown) {
            m_health.noteStartConfirmed(*worker, running.attempt);
            confirm(running, result.workerClock);
        }
    }
    const auto isListed = [&result](const Attempt& attempt) {
        return std::any_of(result.running.begin(), result.running.end(), [&](const RunningAttempt& running) { return running.attempt == attempt; })
            || std::any_of(result.ended.begin(), result.ended.end(), [&](const EndedAttempt& ended) { return ended.attempt == attempt; });
    };
    std::vector<Attempt> missing;
    for (const auto& [attempt, booking] : worker->bookings) {
        const TaskState* task = m_state.liveTask(attempt, worker->entry.id);
        const bool isOpen = task && (task->live->phase == AttemptPhase::OutcomeUnknown || task->live->phase == AttemptPhase::Stopping);
        if (isOpen && !isListed(attempt))
            missing.push_back(attempt);
    }
    for (const Attempt& attempt : missing)
        settleMissing(*worker, attempt, result.workerClock, sentAt);
    if (!missing.empty())
        m_state.requestPass();
}

/// \returns What an attempt takes at its worker until it is over, also if its job was over before this
/// term; all of the worker, if nobody knows the job any more.
std::shared_ptr<const StepSpec> ReportReader::specOf(const WorkerBook& worker, const Attempt& attempt, const OwnerJob* job) const
{
    const CatalogEntry* entry = m_state.options.catalog->find(attempt.job);
    const std::vector<StepSpec>* steps = nullptr;
    if (job)
        steps = &job->state.record().spec.steps;
    else if (entry && entry->record)
        steps = &entry->record->spec.steps;
    if (steps && attempt.task.step < steps->size())
        return std::make_shared<const StepSpec>((*steps)[attempt.task.step]);
    return std::make_shared<const StepSpec>(StepSpec { .count = 1, .needs = worker.entry.capacity });
}

/// \returns The account that an attempt counts for, also if its job was over before this term; null: not known.
OrganisationAccount* ReportReader::accountOf(const Attempt& attempt, const OwnerJob* job) const
{
    if (job)
        return job->account;
    const CatalogEntry* entry = m_state.options.catalog->find(attempt.job);
    return entry && entry->record ? m_state.accountOf(*entry->record) : nullptr;
}

/// Nobody wants the attempt: its job is over, or its task runs elsewhere.
void ReportReader::stopStray(WorkerBook& worker, const Attempt& attempt, const OwnerJob* job)
{
    if (!worker.bookings.contains(attempt))
        worker.bookings.put(attempt, { .step = specOf(worker, attempt, job), .account = accountOf(attempt, job) });
    MonotonicInstant& stopAgainAt = worker.strayStops[attempt];
    if (m_state.now() < stopAgainAt)
        return;
    stopAgainAt = m_state.now() + strayStopPause;
    m_desk.stop(attempt, worker.entry.id);
}

void ReportReader::settleMissing(WorkerBook& worker, const RenewResult& result, MonotonicInstant sentAt)
{
    std::vector<Attempt> missing;
    for (const auto& [attempt, booking] : worker.bookings) {
        const auto isThis = [&wanted = attempt](const RunningAttempt& running) { return running.attempt == wanted; };
        if (std::none_of(result.running.begin(), result.running.end(), isThis))
            missing.push_back(attempt);
    }
    for (const Attempt& attempt : missing)
        settleMissing(worker, attempt, result.workerClock, sentAt);
}

void ReportReader::settleMissing(WorkerBook& worker, const Attempt& attempt, std::int64_t workerClock, MonotonicInstant sentAt)
{
    const TaskState* task = m_state.liveTask(attempt, worker.entry.id);
    if (!task) {
        worker.bookings.erase(attempt);
        worker.starts.noteSettled(attempt);
        return;
    }
    const LiveAttempt& live = *task->live;
    const bool isOpen = live.phase == AttemptPhase::OutcomeUnknown || live.phase == AttemptPhase::Stopping;
    if (isOpen && !live.wasConfirmed() && worker.starts.hasExpired(attempt, workerClock, m_state.now())) {
        m_state.options.log->decision("start-expired", { { "attempt", nameOf(attempt) }, { "worker", worker.entry.id } });
        m_desk.release(attempt, worker.entry.id, m_state.now());
        return;
    }
    switch (live.phase) {
    case AttemptPhase::Recording:
    case AttemptPhase::Sent:
        return;
    case AttemptPhase::OutcomeUnknown:
        if (live.phaseSince > sentAt)
            return;
        // Confirmed at a time that the clock of this life has not reached: by a former one, with which it is over.
        if (live.confirmedAtWorkerClock > workerClock)
            m_desk.release(attempt, worker.entry.id, m_state.now() + m_crashes.retryPause(attempt));
        else
            m_desk.stop(attempt, worker.entry.id);
        return;
    case AttemptPhase::Running:
    case AttemptPhase::Stopping:
        break;
    }
    const bool settled = live.phase == AttemptPhase::Running ? live.phaseSince <= sentAt : live.stopAnsweredAt && *live.stopAnsweredAt <= sentAt;
    if (!settled)
        return;
    m_state.options.log->decision("task-vanished", { { "attempt", nameOf(attempt) }, { "worker", worker.entry.id } });
    m_desk.release(attempt, worker.entry.id, m_state.now());
}

void ReportReader::findStuck(WorkerBook& worker)
{
    const MonotonicInstant now = m_state.now();
    std::vector<Attempt> stuck;
    for (const auto& [attempt, booking] : worker.bookings) {
        const OwnerJob* job = m_state.job(attempt.job);
        const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
        if (!task || !task->live || task->live->phase != AttemptPhase::Running || booking.step->bestEffort)
            continue;
        const bool atWork = booking.step->longRunning && task->live->percent >= 100;
        if (!atWork && now - task->live->lastProgressAt() > (booking.step->gang ? gangStuckAfter : stuckAfter))
            stuck.push_back(attempt);
    }
    for (const Attempt& attempt : stuck) {
        // It may come to work just as it is stopped. But others of its step that stand still are away too: they would wait for
        // each other for ever.
        const OwnerJob* job = m_state.job(attempt.job);
        const bool standsForGood = now - job->state.find(attempt.task)->live->lastProgressAt() > stuckForGood;
        if (job->state.spec(attempt.task.step).longRunning && !standsForGood && !mayDisrupt(m_state, job->state, attempt.task))
            continue;
        m_state.options.log->decision("task-stuck", { { "attempt", nameOf(attempt) }, { "worker", worker.entry.id } });
        m_health.noteFailure(worker, attempt.job);
        m_desk.stop(attempt, worker.entry.id);
    }
}

void ReportReader::adjustThrottle(WorkerBook& worker, const RenewResult& result)
{
    double worst = 0;
    bool mixed = false;
    for (const RunningAttempt& running : result.running) {
        const auto booked = worker.bookings.find(running.attempt);
        if (booked == worker.bookings.end())
            continue;
        const Millis target = booked->second.step->latencyTarget;
        if (target.count() > 0)
            worst = std::max(worst, static_cast<double>(running.load) / static_cast<double>(target.count()));
        mixed = mixed || booked->second.step->bestEffort;
    }
    if (mixed)
        m_desk.throttle(worker, worker.throttle.update(worst, m_state.now()));
}

void ReportReader::onHeard(WorkerSession& session)
{
    WorkerBook* worker = m_state.worker(session.life().id);
    if (!worker)
        return;
    worker->hallLost = !m_state.hallLosses.noteAnswer(worker->entry.dataHall, worker->entry.id, m_state.now());
    if (worker->noteAnswer())
        m_state.requestPass();
    m_health.noteHeard(*worker);
    m_desk.noteAnswer(worker->entry.id);
    m_crashes.noteAnswer(*worker);
}

void ReportReader::onOverdue(WorkerSession& session)
{
    if (WorkerBook* worker = m_state.worker(session.life().id)) {
        m_health.noteProbeOverdue(*worker);
        m_crashes.noteOverdue(*worker);
    }
}

void ReportReader::onSilence(WorkerSession& session)
{
    WorkerBook* worker = m_state.worker(session.life().id);
    if (!worker)
        return;
    m_crashes.noteSilence(*worker);
    noteHallStop(*worker, false);
    m_state.options.log->decision("worker-silent", { { "worker", session.life().id }, { "attempts", static_cast<std::int64_t>(worker->bookings.size()) } });
}

void ReportReader::onOver(WorkerSession& session, bool lifeOver)
{
    WorkerBook* worker = m_state.worker(session.life().id);
    if (!worker)
        return;
    m_state.options.log->decision("worker-over",
        { { "worker", session.life().id }, { "life_over", std::int64_t { lifeOver } }, { "attempts", static_cast<std::int64_t>(worker->bookings.size()) } });
    lose(*worker, {}, lifeOver);
    if (lifeOver) {
        noteHallStop(*worker, true);
        m_state.options.workers->forget(session.life());
    }
    m_state.requestPass();
}

/// What was planned says nothing of the data hall; of a move without an answer only the silence is heard.
void ReportReader::noteHallStop(const WorkerBook& worker, bool hasEnded)
{
    if (worker.endOrdered || worker.entry.draining || worker.evacuating)
        m_state.hallLosses.noteGone(worker.entry.id);
    else
        m_state.hallLosses.noteStop(worker.entry.id, hasEnded, m_state.now());
}

/// Nothing runs at the worker any more.
/// \param open Attempts whose start may still reach a new incarnation: these stay booked, outcome unknown.
/// \param lifeOver False: only the lease has expired.
void ReportReader::lose(WorkerBook& worker, const std::set<Attempt>& open, bool lifeOver)
{
    std::optional<Attempt> failed;
    if (lifeOver)
        failed = m_crashes.noteOver(worker);
    else
        m_crashes.noteLeaseExpired(worker);
    Bookings::Map bookings = worker.bookings.takeAll();
    for (auto& [attempt, booking] : bookings) {
        if (!open.contains(attempt)) {
            m_desk.release(attempt, worker.entry.id, m_state.now() + m_crashes.retryPause(attempt));
            continue;
        }
        worker.bookings.put(attempt, std::move(booking));
        m_state.job(attempt.job)->state.setPhase(attempt, AttemptPhase::OutcomeUnknown, m_state.now());
    }
    if (failed)
        m_desk.giveUp(*m_state.job(failed->job), failed->task);
}

/// The lease had expired before the incarnation is proved to be over.
void ReportReader::settleExpired(WorkerBook& worker)
{
    if (const std::optional<Attempt> failed = m_crashes.noteOver(worker))
        m_desk.giveUp(*m_state.job(failed->job), failed->task);
}

/// \returns Live attempts that no report of the worker has shown. An answer to their start does not tell which life gave it, and
/// without one the start may be carried out later.
std::set<Attempt> ReportReader::openOrders(const WorkerBook& worker) const
{
    std::set<Attempt> open;
    for (const auto& [attempt, booking] : worker.bookings) {
        const TaskState* task = m_state.liveTask(attempt, worker.entry.id);
        if (task && !task->live->listed && task->live->phase != AttemptPhase::Recording)
            open.insert(attempt);
    }
    return open;
}

void ReportReader::onRestart(WorkerSession& session, std::int64_t startedAt, bool wasOver)
{
    WorkerBook* worker = m_state.worker(session.life().id);
    if (!worker)
        return;
    const std::set<Attempt> open = openOrders(*worker);
    m_state.options.log->decision("worker-restarted",
        { { "worker", session.life().id }, { "started_at", startedAt }, { "former_start", session.life().startedAt }, { "was_over", std::int64_t { wasOver } }, { "attempts", static_cast<std::int64_t>(worker->bookings.size()) }, { "open_orders", static_cast<std::int64_t>(open.size()) } });
    if (wasOver)
        settleExpired(*worker);
    else
        lose(*worker, open, true);
    WorkerBook next { .entry = worker->entry, .knownSince = m_state.now(), .formerStarts = std::move(worker->formerStarts), .listed = worker->listed, .session = nullptr, .bookings = std::move(worker->bookings) };
    next.formerStarts.insert(session.life().startedAt);
    noteHallStop(*worker, true);
    next.evacuating = worker->evacuating;
    next.evacuatingSince = worker->evacuatingSince;
    *worker = std::move(next);
    m_state.beginSession(*worker, startedAt);
    m_state.requestPass();
}

void ReportReader::onFenced(WorkerSession& session)
{
    m_state.options.log->change("fenced", { { "worker", session.life().id }, { "epoch", static_cast<std::int64_t>(m_state.ownership.epoch) } });
    m_state.options.ownership->noteSuperseded();
}

} // namespace lanemoor::jobs
