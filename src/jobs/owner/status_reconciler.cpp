#include "status_reconciler.h"

#include "evacuation.h"
#include "lanemoor/jobs/intake/job_catalog.h"
#include "lanemoor/jobs/model/work_meter.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

/// A batch attempt is stalled if its percentage does not change for this time. The longest tasks take about 10 s, so one
/// percent takes 0.1 s, and reports arrive every second.
constexpr Millis stallTimeout { 3'000 };
/// Members of a gang also wait for each other; the platform limits this wait to some seconds.
constexpr Millis gangStallTimeout { 7'000 };
/// A long-running task that was stalled for this time is not expected to become ready while it is stopped.
constexpr Millis unconditionalStopAfter { 8'000 };

constexpr Millis strayStopInterval { 500 }; // Minimum time between stops of a stray attempt.

} // namespace

StatusReconciler::StatusReconciler(OwnerState& state, HealthMonitor& health, CommandDispatcher& dispatcher, SchedulerCounts& counts)
    : m_state(state)
    , m_health(health)
    , m_dispatcher(dispatcher)
    , m_counts(counts)
    , m_crashes(state, counts)
{
}

void StatusReconciler::onRenewalAnswered(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt)
{
    const WorkMeter::Piece piece(m_state.options.meter, WorkKind::Reports);
    WorkerRecord* worker = m_state.worker(session.incarnation().id);
    if (!worker)
        return;
    if (!worker->hasReported) {
        worker->hasReported = true;
        m_state.options.log->decision("worker-met",
            { { "worker", session.incarnation().id }, { "running", static_cast<std::int64_t>(result.running.size()) }, { "ended", static_cast<std::int64_t>(result.ended.size()) }, { "complete", std::int64_t { result.coverage == ReportCoverage::Complete } } });
    }
    notePartial(*worker, result);
    handleEnds(*worker, session, result.ended);
    for (const RunningAttempt& running : result.running)
        handleRunning(*worker, running, result.workerClock);
    for (const Attempt& attempt : absentAttempts(*worker, result, [](const Attempt&) { return true; }))
        settleAbsent(*worker, attempt, result.workerClock, sentAt);
    stopStalled(*worker);
    adjustThrottle(*worker, result);
    m_state.requestPass();
    if (result.ended.empty())
        session.acknowledge(0);
}

/// The acknowledgement of the listed ends requests the others.
void StatusReconciler::notePartial(const WorkerRecord& worker, const RenewResult& result)
{
    if (result.coverage == ReportCoverage::Complete)
        return;
    ++m_counts.partialReports;
    m_state.options.log->decision("report-partial", { { "worker", worker.entry.id }, { "running", static_cast<std::int64_t>(result.running.size()) }, { "ended", static_cast<std::int64_t>(result.ended.size()) }, { "reserved", static_cast<std::int64_t>(worker.reservations.size()) } });
}

/// \returns Reserved attempts that pass the filter and neither run at the worker nor have an unread end. The listed ends must have been handled.
std::vector<Attempt> StatusReconciler::absentAttempts(const WorkerRecord& worker, const RenewResult& result, const std::function<bool(const Attempt&)>& filter)
{
    std::vector<Attempt> absent;
    if (result.coverage == ReportCoverage::Partial)
        return absent;
    for (const auto& [attempt, reservation] : worker.reservations) {
        const auto isThis = [&wanted = attempt](const RunningAttempt& running) { return running.attempt == wanted; };
        if (filter(attempt) && std::none_of(result.running.begin(), result.running.end(), isThis))
            absent.push_back(attempt);
    }
    return absent;
}

/// Handles ended attempts, and acknowledges them to the worker once they are stored.
void StatusReconciler::handleEnds(WorkerRecord& worker, WorkerSession& session, const std::vector<EndedAttempt>& ends)
{
    std::uint64_t last = 0;
    for (const EndedAttempt& ended : ends) {
        handleEnded(worker, ended);
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

void StatusReconciler::handleEnded(WorkerRecord& worker, const EndedAttempt& ended)
{
    worker.reservations.erase(ended.attempt);
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
    // Any reported end proves that the worker survived the attempt.
    m_crashes.noteSurvived(worker, *job, ended.attempt);
    const EndEffect effect = job->state.end(ended, worker.entry.id, job->maxAttempts(), m_state.now());
    m_state.noteStartable(*job);
    if (m_state.options.log->admitsDecision("task-end"))
        m_state.options.log->decision("task-end",
            { { "attempt", nameOf(ended.attempt) }, { "worker", worker.entry.id }, { "end", std::string(nameOf(ended.end)) }, { "counted", std::int64_t { effect.counted } } });
    m_counts.successes += effect.counted && ended.end == AttemptEnd::Succeeded ? 1 : 0;
    m_counts.failures += effect.counted && ended.end == AttemptEnd::Failed ? 1 : 0;
    m_counts.leaseExpirations += effect.counted && ended.end == AttemptEnd::LeaseExpired ? 1 : 0;
    if (effect.counted && ended.end == AttemptEnd::Succeeded)
        m_health.noteSuccess(worker, *job, ended.attempt.task);
    if (effect.counted && ended.end == AttemptEnd::Failed)
        m_health.noteFailure(worker, *job, ended.attempt.task);
    m_dispatcher.noteBegun(*job);
    if (effect.toBeStored)
        m_state.store(ended.attempt.job);
    if (effect.finished)
        m_dispatcher.finish(*job);
}

void StatusReconciler::handleRunning(WorkerRecord& worker, const RunningAttempt& report, std::int64_t workerClock)
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
        m_dispatcher.noteBegun(*job);
        worker.reservations.put(report.attempt, { .step = job->state.sharedSpec(report.attempt.task.step), .account = job->account, .throttledTo = std::nullopt, .expectedEnd = m_state.expectedEnd(*job, report.attempt.task) });
        job->state.noteReport(report, m_state.now());
        m_state.options.log->decision("task-adopted", { { "attempt", nameOf(report.attempt) }, { "worker", worker.entry.id } });
        m_crashes.noteAdopted(worker, *job, report.attempt, workerClock);
        // Another member of the gang has failed, so this attempt is useless.
        if (job->state.hasFailed(report.attempt))
            m_dispatcher.stop(report.attempt, worker.entry.id);
        return;
    }
    stopStray(worker, report.attempt, job);
}

/// Notes that a worker reported one of its live attempts.
void StatusReconciler::confirm(const RunningAttempt& report, std::int64_t workerClock)
{
    OwnerJob& owned = *m_state.job(report.attempt.job);
    JobState& job = owned.state;
    const AttemptPhase phase = job.find(report.attempt.task)->live->phase;
    if (phase == AttemptPhase::Sent || phase == AttemptPhase::OutcomeUnknown)
        job.setPhase(report.attempt, AttemptPhase::Running, m_state.now());
    if (job.noteConfirmed(report.attempt, workerClock))
        m_state.store(report.attempt.job);
    m_dispatcher.noteBegun(owned);
}

/// Handles ends, which are final in any order of answers, and settles starts and stops whose outcome is unknown. The running
/// attempts may be older than those of an earlier answer.
void StatusReconciler::onProbeAnswered(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt)
{
    WorkerRecord* worker = m_state.worker(session.incarnation().id);
    if (!worker)
        return;
    notePartial(*worker, result);
    handleEnds(*worker, session, result.ended);
    for (const RunningAttempt& running : result.running) {
        const TaskState* task = m_state.liveTask(running.attempt, worker->entry.id);
        if (task && task->live->phase == AttemptPhase::OutcomeUnknown) {
            m_health.noteStartConfirmed(*worker, running.attempt);
            confirm(running, result.workerClock);
        }
    }
    const auto hasUnknownOutcome = [&](const Attempt& attempt) {
        const TaskState* task = m_state.liveTask(attempt, worker->entry.id);
        return task && (task->live->phase == AttemptPhase::OutcomeUnknown || task->live->phase == AttemptPhase::Stopping);
    };
    for (const Attempt& attempt : absentAttempts(*worker, result, hasUnknownOutcome)) {
        // Settling an attempt may release others of its job.
        if (!hasUnknownOutcome(attempt))
            continue;
        settleAbsent(*worker, attempt, result.workerClock, sentAt);
        m_state.requestPass();
    }
}

/// \returns The step of an attempt, also if its job ended before this term. For an unknown job, a step that takes the whole
/// worker.
std::shared_ptr<const StepSpec> StatusReconciler::specOf(const WorkerRecord& worker, const Attempt& attempt, const OwnerJob* job) const
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

/// \returns The organisation account of an attempt, also if its job ended before this term; null: unknown.
OrganisationAccount* StatusReconciler::accountOf(const Attempt& attempt, const OwnerJob* job) const
{
    if (job)
        return job->account;
    const CatalogEntry* entry = m_state.options.catalog->find(attempt.job);
    return entry && entry->record ? m_state.accountOf(*entry->record) : nullptr;
}

/// Stops an attempt whose job has ended or whose task runs elsewhere.
void StatusReconciler::stopStray(WorkerRecord& worker, const Attempt& attempt, const OwnerJob* job)
{
    if (!worker.reservations.contains(attempt))
        worker.reservations.put(attempt, { .step = specOf(worker, attempt, job), .account = accountOf(attempt, job) });
    MonotonicInstant& stopAgainAt = worker.strayStops[attempt];
    if (m_state.now() < stopAgainAt)
        return;
    stopAgainAt = m_state.now() + strayStopInterval;
    m_dispatcher.stop(attempt, worker.entry.id);
}

/// Settles a reserved attempt that a complete report proves absent from the worker.
void StatusReconciler::settleAbsent(WorkerRecord& worker, const Attempt& attempt, std::int64_t workerClock, MonotonicInstant sentAt)
{
    const TaskState* task = m_state.liveTask(attempt, worker.entry.id);
    if (!task) {
        worker.reservations.erase(attempt);
        worker.starts.noteSettled(attempt);
        return;
    }
    const LiveAttempt& live = *task->live;
    const bool hasUnknownOutcome = live.phase == AttemptPhase::OutcomeUnknown || live.phase == AttemptPhase::Stopping;
    if (hasUnknownOutcome && !live.wasConfirmed() && worker.starts.hasExpired(attempt, workerClock, m_state.now())) {
        m_state.options.log->decision("start-expired", { { "attempt", nameOf(attempt) }, { "worker", worker.entry.id } });
        m_dispatcher.release(attempt, worker.entry.id, m_state.now());
        return;
    }
    switch (live.phase) {
    case AttemptPhase::Recording:
    case AttemptPhase::Sent:
        return;
    case AttemptPhase::OutcomeUnknown:
        if (live.phaseSince > sentAt)
            return;
        // An answered start is not carried out again: the attempt ended with a previous incarnation.
        if (live.confirmedAtWorkerClock > 0)
            m_dispatcher.release(attempt, worker.entry.id, m_state.now() + m_crashes.retryPause(attempt));
        else
            m_dispatcher.stop(attempt, worker.entry.id);
        return;
    case AttemptPhase::Running:
    case AttemptPhase::Stopping:
        break;
    }
    const bool settled = live.phase == AttemptPhase::Running ? live.phaseSince <= sentAt : live.stopAnsweredAt && *live.stopAnsweredAt <= sentAt;
    if (!settled)
        return;
    m_state.options.log->decision("task-vanished", { { "attempt", nameOf(attempt) }, { "worker", worker.entry.id } });
    m_dispatcher.release(attempt, worker.entry.id, m_state.now());
}

void StatusReconciler::stopStalled(WorkerRecord& worker)
{
    const MonotonicInstant now = m_state.now();
    std::vector<Attempt> stalled;
    for (const auto& [attempt, reservation] : worker.reservations) {
        const OwnerJob* job = m_state.job(attempt.job);
        const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
        if (!task || !task->live || task->live->phase != AttemptPhase::Running || reservation.step->bestEffort)
            continue;
        const bool isReady = reservation.step->longRunning && task->live->percent >= 100;
        if (!isReady && now - task->live->lastProgressAt() > (reservation.step->gang ? gangStallTimeout : stallTimeout))
            stalled.push_back(attempt);
    }
    for (const Attempt& attempt : stalled) {
        // A stalled task may become ready while it is stopped, so the disruption budget applies. After a long stall it does not:
        // stalled tasks of one step count as unavailable and would block each other's stop permanently.
        OwnerJob* job = m_state.job(attempt.job);
        const bool hasStalledTooLong = now - job->state.find(attempt.task)->live->lastProgressAt() > unconditionalStopAfter;
        if (job->state.spec(attempt.task.step).longRunning && !hasStalledTooLong && !mayDisrupt(m_state, job->state, attempt.task))
            continue;
        m_state.options.log->decision("task-stuck", { { "attempt", nameOf(attempt) }, { "worker", worker.entry.id } });
        m_health.noteFailure(worker, *job, attempt.task);
        m_dispatcher.stop(attempt, worker.entry.id);
    }
}

void StatusReconciler::adjustThrottle(WorkerRecord& worker, const RenewResult& result)
{
    double maxLoadRatio = 0;
    bool hasBestEffort = false;
    for (const RunningAttempt& running : result.running) {
        const auto reservation = worker.reservations.find(running.attempt);
        if (reservation == worker.reservations.end())
            continue;
        const Millis target = reservation->second.step->latencyTarget;
        if (target.count() > 0)
            maxLoadRatio = std::max(maxLoadRatio, static_cast<double>(running.load) / static_cast<double>(target.count()));
        hasBestEffort = hasBestEffort || reservation->second.step->bestEffort;
    }
    if (hasBestEffort)
        m_dispatcher.throttle(worker, worker.throttle.update(maxLoadRatio, m_state.now()));
}

void StatusReconciler::onAlive(WorkerSession& session)
{
    WorkerRecord* worker = m_state.worker(session.incarnation().id);
    if (!worker)
        return;
    worker->hallLost = !m_state.hallLosses.noteAnswer(worker->entry.dataHall, worker->entry.id, m_state.now());
    if (worker->noteAnswer())
        m_state.requestPass();
    m_health.noteResponse(*worker);
    m_dispatcher.noteAnswer(worker->entry.id);
    m_crashes.noteAnswer(*worker);
}

void StatusReconciler::onProbeOverdue(WorkerSession& session)
{
    if (WorkerRecord* worker = m_state.worker(session.incarnation().id)) {
        m_health.noteProbeOverdue(*worker);
        m_crashes.noteOverdue(*worker);
    }
}

void StatusReconciler::onUnresponsive(WorkerSession& session)
{
    WorkerRecord* worker = m_state.worker(session.incarnation().id);
    if (!worker)
        return;
    m_crashes.noteUnresponsive(*worker);
    noteHallStop(*worker, false);
    m_state.options.log->decision("worker-silent", { { "worker", session.incarnation().id }, { "attempts", static_cast<std::int64_t>(worker->reservations.size()) } });
}

void StatusReconciler::onEnded(WorkerSession& session, bool hasIncarnationEnded)
{
    WorkerRecord* worker = m_state.worker(session.incarnation().id);
    if (!worker)
        return;
    m_state.options.log->decision("worker-over",
        { { "worker", session.incarnation().id }, { "life_over", std::int64_t { hasIncarnationEnded } }, { "attempts", static_cast<std::int64_t>(worker->reservations.size()) } });
    // A start without a response may have reached a later incarnation, which applies the lease to its own clock.
    const bool mayRunLater = !hasIncarnationEnded && session.mayShareId();
    releaseAll(*worker, mayRunLater ? unconfirmedStarts(*worker) : std::set<Attempt> {}, hasIncarnationEnded);
    if (hasIncarnationEnded) {
        m_state.raiseEpoch();
        noteHallStop(*worker, true);
        m_state.options.workers->closeConnections(session.incarnation());
    }
    m_state.requestPass();
}

void StatusReconciler::onCommandsExpired(WorkerSession& session)
{
    WorkerRecord* worker = m_state.worker(session.incarnation().id);
    if (!worker)
        return;
    for (const Attempt& attempt : unconfirmedStarts(*worker)) {
        m_state.options.log->decision("start-expired", { { "attempt", nameOf(attempt) }, { "worker", worker->entry.id } });
        m_dispatcher.release(attempt, worker->entry.id, m_state.now() + m_crashes.retryPause(attempt));
    }
    m_state.requestPass();
}

/// A planned end is no evidence of a lost data hall. A move whose answer was lost shows only as an unresponsive worker.
void StatusReconciler::noteHallStop(const WorkerRecord& worker, bool hasEnded)
{
    if (worker.isEndOrdered || worker.entry.draining || worker.evacuating)
        m_state.hallLosses.removeWorker(worker.entry.id);
    else
        m_state.hallLosses.noteStop(worker.entry.id, hasEnded, m_state.now());
}

/// Releases the attempts of a worker whose incarnation has ended or whose lease has expired.
/// \param unacknowledged Attempts whose start may reach, or may have reached, a later incarnation; they stay reserved, with unknown outcome.
/// \param hasIncarnationEnded False: only the lease has expired.
void StatusReconciler::releaseAll(WorkerRecord& worker, const std::set<Attempt>& unacknowledged, bool hasIncarnationEnded)
{
    std::optional<Attempt> failed;
    if (hasIncarnationEnded)
        failed = m_crashes.noteIncarnationEnd(worker);
    else
        m_crashes.noteLeaseExpired(worker);
    Reservations::Map reservations = worker.reservations.takeAll();
    for (auto& [attempt, reservation] : reservations) {
        if (!unacknowledged.contains(attempt)) {
            m_dispatcher.release(attempt, worker.entry.id, m_state.now() + m_crashes.retryPause(attempt));
            continue;
        }
        worker.reservations.put(attempt, std::move(reservation));
        m_state.job(attempt.job)->state.setPhase(attempt, AttemptPhase::OutcomeUnknown, m_state.now());
    }
    if (failed)
        m_dispatcher.failPermanently(*m_state.job(failed->job), failed->task);
}

/// Settles the crashes of an incarnation that is proved to have ended after its lease had expired.
void StatusReconciler::settleExpired(WorkerRecord& worker)
{
    if (const std::optional<Attempt> failed = m_crashes.noteIncarnationEnd(worker))
        m_dispatcher.failPermanently(*m_state.job(failed->job), failed->task);
}

/// \returns Live attempts whose start was sent and that pass the filter.
std::set<Attempt> StatusReconciler::sentStarts(const WorkerRecord& worker, const std::function<bool(const LiveAttempt&)>& filter) const
{
    std::set<Attempt> starts;
    for (const auto& [attempt, reservation] : worker.reservations) {
        const TaskState* task = m_state.liveTask(attempt, worker.entry.id);
        if (task && task->live->phase != AttemptPhase::Recording && filter(*task->live))
            starts.insert(attempt);
    }
    return starts;
}

/// \returns Live attempts that no report of the worker has shown. An answer to their start does not identify the incarnation, and
/// without an answer the start may be executed later.
std::set<Attempt> StatusReconciler::unreportedStarts(const WorkerRecord& worker) const
{
    return sentStarts(worker, [](const LiveAttempt& live) { return !live.reported; });
}

/// \returns Live attempts that the worker has neither reported nor acknowledged.
std::set<Attempt> StatusReconciler::unconfirmedStarts(const WorkerRecord& worker) const
{
    return sentStarts(worker, [](const LiveAttempt& live) { return !live.wasConfirmed(); });
}

void StatusReconciler::onRestart(WorkerSession& session, std::int64_t startedAt, bool hadEnded)
{
    WorkerRecord* worker = m_state.worker(session.incarnation().id);
    if (!worker)
        return;
    const std::set<Attempt> unacknowledged = unreportedStarts(*worker);
    m_state.options.log->decision("worker-restarted",
        { { "worker", session.incarnation().id }, { "started_at", startedAt }, { "former_start", session.incarnation().startedAt }, { "was_over", std::int64_t { hadEnded } }, { "attempts", static_cast<std::int64_t>(worker->reservations.size()) }, { "open_orders", static_cast<std::int64_t>(unacknowledged.size()) } });
    if (hadEnded)
        settleExpired(*worker);
    else
        releaseAll(*worker, unacknowledged, true);
    WorkerRecord next { .entry = worker->entry, .knownSince = m_state.now(), .previousStarts = std::move(worker->previousStarts), .listed = worker->listed, .session = nullptr, .reservations = std::move(worker->reservations), .starts = worker->starts.forNextIncarnation() };
    next.previousStarts.insert(session.incarnation().startedAt);
    noteHallStop(*worker, true);
    next.evacuating = worker->evacuating;
    next.evacuatingSince = worker->evacuatingSince;
    *worker = std::move(next);
    m_state.raiseEpoch();
    m_state.beginSession(*worker, startedAt);
    m_state.requestPass();
}

void StatusReconciler::onFenced(WorkerSession& session)
{
    m_state.options.log->change("fenced", { { "worker", session.incarnation().id }, { "epoch", static_cast<std::int64_t>(session.epoch()) } });
    m_state.options.ownership->noteSuperseded();
}

} // namespace lanemoor::jobs
