#include "health_monitor.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

/// Between two checks of failing workers beyond the bound: each check counts all workers.
constexpr Millis ejectionCheckPause { 250 };
/// Shorter run times are ignored: with an end that is reported some tenths of a second late, a short task would appear slow.
constexpr Millis minEvaluatedRunTime { 1'000 };
constexpr double thousandths = 1'000;

bool isFar(const WorkerRecord& worker, const StepSpec& step)
{
    return !step.preferredRack.empty() && !hasLabel(worker.entry, step.preferredRack);
}

bool isAnswering(const WorkerRecord& worker)
{
    return worker.session && worker.session->hasAnswered() && !worker.session->isUnresponsive() && worker.starts.isAnswering();
}

/// \returns Whether the worker counts for the bound on ejections. Closed or draining workers serve no more tasks, and are not evaluated.
bool mayServe(const WorkerRecord& worker)
{
    return worker.listed && worker.isHallOpen() && !worker.entry.draining;
}

/// \returns Whether a task of the same step has succeeded, or is ready if it is long-running.
bool hasWorked(const JobState& job, const TaskId& task)
{
    const auto step = job.steps().find({ task.occurrence, task.step });
    if (step == job.steps().end())
        return false;
    if (!job.spec(task.step).longRunning)
        return step->second.succeeded > 0;
    constexpr std::uint32_t ready = 100;
    return std::any_of(step->second.tasks.begin(), step->second.tasks.end(), [](const TaskState& state) { return state.live && state.live->percent >= ready; });
}

} // namespace

HealthMonitor::HealthMonitor(OwnerState& state, SchedulerCounts& counts)
    : m_state(state)
    , m_counts(counts)
{
}

void HealthMonitor::noteStartReserved(WorkerRecord& worker, const Attempt& attempt)
{
    if (worker.health.isProbing(m_state.now()))
        worker.probingAttempt = attempt;
}

void HealthMonitor::noteStartSent(WorkerRecord& worker, const StartCommand& command)
{
    if (!isEnabled())
        return;
    if (worker.starts.isDistrusted(m_state.now()))
        worker.starts.dropSettled([&](const Attempt& attempt) { return !worker.reservations.contains(attempt); });
    worker.starts.noteSent(command.attempt, command.leaseUntil, m_state.now());
}

void HealthMonitor::noteStartOverdue(WorkerRecord& worker, const Attempt& attempt)
{
    if (!isEnabled() || !worker.starts.noteOverdue(attempt, m_state.now()))
        return;
    worker.health.noteUnanswered(m_state.now());
    queueIfFailing(worker);
}

void HealthMonitor::noteStartAnswered(WorkerRecord& worker, const Attempt& attempt)
{
    if (!isEnabled())
        return;
    if (worker.starts.noteAnswered(attempt))
        worker.health.noteLateAnswer(m_state.now());
    else
        worker.health.noteStartAnswered(m_state.now());
}

void HealthMonitor::noteStopOverdue(WorkerRecord& worker)
{
    if (!isEnabled())
        return;
    worker.health.noteUnanswered(m_state.now());
    queueIfFailing(worker);
}

void HealthMonitor::noteStopAnswered(WorkerRecord& worker)
{
    if (isEnabled())
        worker.health.noteStopAnswered(m_state.now());
}

void HealthMonitor::noteProbeOverdue(WorkerRecord& worker)
{
    if (isEnabled())
        worker.starts.noteProbeOverdue();
}

void HealthMonitor::noteResponse(WorkerRecord& worker)
{
    if (worker.starts.isAnswering())
        return;
    worker.starts.noteResponse();
    m_state.requestPass();
}

void HealthMonitor::noteSuccess(WorkerRecord& worker, OwnerJob& job, const TaskId& task)
{
    if (const auto outcomes = job.failedSteps.find(task.step); outcomes != job.failedSteps.end())
        outcomes->second->noteSuccess();
    worker.health.noteSuccess(m_state.now());
}

void HealthMonitor::noteFailure(WorkerRecord& worker, OwnerJob& job, const TaskId& task)
{
    std::shared_ptr<StepOutcomes>& outcomes = job.failedSteps[task.step];
    if (!outcomes)
        outcomes = std::make_shared<StepOutcomes>();
    if (hasWorked(job.state, task))
        outcomes->noteSuccess();
    const bool wasAtFault = outcomes->isStepAtFault();
    outcomes->noteFailure(worker.entry.id);
    if (!wasAtFault && outcomes->isStepAtFault())
        m_state.options.log->decision("step-at-fault", { { "job", job.state.id() }, { "step", std::int64_t { task.step } }, { "worker", worker.entry.id } });
    worker.health.noteFailure(job.state.id(), m_state.now(), outcomes);
    queueIfFailing(worker);
}

/// Gang members wait for each other, and throttling slows best-effort tasks down: their run times are no evidence on the worker. Neither
/// are run times that were reported while calls were overdue.
void HealthMonitor::noteRunTime(WorkerRecord& worker, const JobState& job, const Attempt& attempt, Millis observed)
{
    const StepSpec& step = job.spec(attempt.task.step);
    if (!isEnabled() || step.gang || step.bestEffort || step.longRunning || step.estimate <= Millis(0) || worker.session->wasOverdueLately())
        return;
    double ratio = static_cast<double>(observed.count()) / static_cast<double>(step.estimate.count());
    if (isFar(worker, step))
        ratio /= m_state.options.placement.farFactor;
    const bool isBeyondPeers = m_ranks.note(worker.entry.pool, job.record().queue, ratio, m_state.options.health.lateFactor);
    worker.health.noteRunTime(isBeyondPeers && observed >= minEvaluatedRunTime, m_state.now());
    queueIfFailing(worker);
}

void HealthMonitor::queueIfFailing(WorkerRecord& worker)
{
    if (worker.health.fault(m_state.now()) == HealthFault::None)
        return;
    m_failing.insert(worker.entry.id);
    m_state.requestPass();
}

void HealthMonitor::run()
{
    if (!m_failing.empty() && m_state.now() >= m_nextEjectionAt)
        ejectFailing();
    if (m_ejected.empty())
        return;
    revokeUnfounded();
    findReadmitted();
}

std::vector<EjectionMember> HealthMonitor::members() const
{
    std::vector<EjectionMember> members;
    members.reserve(m_state.workers.size());
    for (const auto& [id, record] : m_state.workers) {
        if (mayServe(record))
            members.push_back({ .worker = &record.entry, .outOfService = record.health.isOutOfService(m_state.now()), .answering = isAnswering(record) });
    }
    return members;
}

MinInstances HealthMonitor::minInstances() const
{
    MinInstances needed;
    for (const auto& [pool, demand] : m_state.demands) {
        for (const auto& [requirement, classDemand] : demand) {
            if (classDemand.minInstances > 0 && !requirement.preferred)
                needed[{ pool, requirement.label }] = classDemand.minInstances;
        }
    }
    return needed;
}

void HealthMonitor::ejectFailing()
{
    const MonotonicInstant now = m_state.now();
    std::vector<EjectionCandidate> candidates;
    for (auto id = m_failing.begin(); id != m_failing.end();) {
        const WorkerRecord* record = m_state.worker(*id);
        const HealthFault fault = record && mayServe(*record) ? record->health.fault(now) : HealthFault::None;
        if (fault == HealthFault::None) {
            id = m_failing.erase(id);
            continue;
        }
        candidates.push_back({ .member = { .worker = &record->entry, .outOfService = record->health.isOutOfService(now), .answering = isAnswering(*record) }, .fault = fault, .score = record->health.score(now) });
        ++id;
    }
    if (candidates.empty())
        return;
    candidates = EjectionBound(m_state.options.health, members(), minInstances()).choose(std::move(candidates));
    for (const EjectionCandidate& candidate : candidates)
        eject(*m_state.worker(candidate.member.worker->id), candidate.fault);
    if (!m_failing.empty())
        m_nextEjectionAt = now + ejectionCheckPause;
}

void HealthMonitor::eject(WorkerRecord& worker, HealthFault fault)
{
    const MonotonicInstant now = m_state.now();
    // Without an attempt since the last backoff the worker was not probed: only stops of earlier attempts are unanswered.
    if (worker.health.isOutOfService(now) && !worker.probingAttempt)
        worker.health.postponeProbe(m_state.options.health, now);
    else
        worker.health.eject(fault, m_state.options.health, now);
    worker.probingAttempt.reset();
    m_failing.erase(worker.entry.id);
    m_ejected.insert(worker.entry.id);
    ++m_counts.ejections;
    const WorkerHealthScore report = worker.health.report(now);
    const auto backoff = std::chrono::duration_cast<Millis>(report.ejectedUntil - now);
    m_state.options.log->change("worker-ejected",
        { { "worker", worker.entry.id }, { "pool", worker.entry.pool }, { "reason", std::string(nameOf(fault)) }, { "score_thousandths", static_cast<std::int64_t>(report.score * thousandths) },
            { "calls", std::int64_t { report.evidence.calls } }, { "unanswered", std::int64_t { report.evidence.unanswered } }, { "ends", std::int64_t { report.evidence.ends } }, { "late_ends", std::int64_t { report.evidence.lateEnds } },
            { "failures", std::int64_t { report.failures } }, { "backoff_ms", std::int64_t { backoff.count() } }, { "attempts", static_cast<std::int64_t>(worker.reservations.size()) } });
}

std::vector<WorkerReport> HealthMonitor::reports() const
{
    const MonotonicInstant now = m_state.now();
    std::vector<WorkerReport> reports;
    reports.reserve(m_state.workers.size());
    for (const auto& [id, record] : m_state.workers) {
        WorkerReport report { .worker = id, .pool = record.entry.pool, .dataHall = record.entry.dataHall, .rack = record.entry.rack, .attempts = static_cast<std::uint32_t>(record.reservations.size()) };
        report.open = record.isOpen(now);
        report.unresponsive = record.session && record.session->isUnresponsive();
        report.distrusted = record.starts.isDistrusted(now);
        report.health = record.health.report(now);
        if (report.health.ejected)
            report.ejectedFor = std::chrono::duration_cast<Millis>(report.health.ejectedUntil - now);
        reports.push_back(std::move(report));
    }
    return reports;
}

std::map<std::string, std::uint32_t> HealthMonitor::ejectedByPool() const
{
    std::map<std::string, std::uint32_t> ejected;
    for (const std::string& id : m_ejected) {
        const WorkerRecord* record = m_state.worker(id);
        if (record && record->health.isOutOfService(m_state.now()))
            ++ejected[record->entry.pool];
    }
    return ejected;
}

/// The first workers that a failing step ran on may be ejected before it has failed elsewhere.
void HealthMonitor::revokeUnfounded()
{
    for (const std::string& id : m_ejected) {
        WorkerRecord* record = m_state.worker(id);
        if (!record || !record->health.isEjectionUnfounded())
            continue;
        record->health.revokeEjection(m_state.now());
        m_state.options.log->change("worker-ejection-revoked", { { "worker", id }, { "pool", record->entry.pool } });
    }
}

void HealthMonitor::findReadmitted()
{
    const MonotonicInstant now = m_state.now();
    std::erase_if(m_ejected, [&](const std::string& id) {
        const WorkerRecord* record = m_state.worker(id);
        if (record && record->health.isOutOfService(now))
            return false;
        // A new incarnation was never ejected: it was not readmitted but starts afresh.
        if (record && record->health.ejectedUntil() != MonotonicInstant {})
            m_state.options.log->change("worker-readmitted", { { "worker", id }, { "pool", record->entry.pool }, { "probed", std::int64_t { record->health.wasReadmitted() } } });
        return true;
    });
}

} // namespace lanemoor::jobs
