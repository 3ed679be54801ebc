#include "health_monitor.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

/// Between two looks at workers beyond the bound: each look counts all workers.
constexpr Millis ejectionPause { 250 };
/// A run time below it is not judged: an end that is reported some tenths of a second late would make a short task look slow.
constexpr Millis shortestJudged { 1'000 };
constexpr double thousandths = 1'000;

bool isFar(const WorkerBook& worker, const StepSpec& step)
{
    return !step.preferredRack.empty() && !hasLabel(worker.entry, step.preferredRack);
}

bool isAnswering(const WorkerBook& worker)
{
    return worker.session && worker.session->isMet() && !worker.session->isSilent() && worker.starts.isAnswering();
}

/// \returns Whether the worker counts for the bound on ejections: what is closed or drains serves no more, and is not judged.
bool mayServe(const WorkerBook& worker)
{
    return worker.listed && worker.isHallOpen() && !worker.entry.draining;
}

} // namespace

HealthMonitor::HealthMonitor(OwnerState& state, SchedulerCounts& counts)
    : m_state(state)
    , m_counts(counts)
{
}

void HealthMonitor::noteStartBooked(WorkerBook& worker, const Attempt& attempt)
{
    if (worker.health.isProbing(m_state.now()))
        worker.probingAttempt = attempt;
}

void HealthMonitor::noteStartSent(WorkerBook& worker, const StartCommand& order)
{
    if (!isOn())
        return;
    if (worker.starts.isDistrusted(m_state.now()))
        worker.starts.dropSettled([&](const Attempt& open) { return !worker.bookings.contains(open); });
    worker.starts.noteSent(order.attempt, order.leaseUntil, m_state.now());
}

void HealthMonitor::noteStartOverdue(WorkerBook& worker, const Attempt& attempt)
{
    if (!isOn() || !worker.starts.noteOverdue(attempt, m_state.now()))
        return;
    worker.health.noteUnanswered(m_state.now());
    consider(worker);
}

void HealthMonitor::noteStartAnswered(WorkerBook& worker, const Attempt& attempt)
{
    if (!isOn())
        return;
    if (worker.starts.noteAnswered(attempt))
        worker.health.noteLateAnswer(m_state.now());
    else
        worker.health.noteStartAnswered(m_state.now());
}

void HealthMonitor::noteStopOverdue(WorkerBook& worker)
{
    if (!isOn())
        return;
    worker.health.noteUnanswered(m_state.now());
    consider(worker);
}

void HealthMonitor::noteStopAnswered(WorkerBook& worker)
{
    if (isOn())
        worker.health.noteStopAnswered(m_state.now());
}

void HealthMonitor::noteProbeOverdue(WorkerBook& worker)
{
    if (isOn())
        worker.starts.noteProbeOverdue();
}

void HealthMonitor::noteHeard(WorkerBook& worker)
{
    if (worker.starts.isAnswering())
        return;
    worker.starts.noteHeard();
    m_state.requestPass();
}

void HealthMonitor::noteSuccess(WorkerBook& worker)
{
    worker.health.noteSuccess(m_state.now());
}

void HealthMonitor::noteFailure(WorkerBook& worker, const std::string& job)
{
    worker.health.noteFailure(job, m_state.now());
    consider(worker);
}

/// Members of a gang wait for each other, and best-effort tasks are slowed down by throttling: their times say nothing of the worker. Nor
/// do those that were reported while calls were overdue.
void HealthMonitor::noteRunTime(WorkerBook& worker, const JobState& job, const Attempt& attempt, Millis observed)
{
    const StepSpec& step = job.spec(attempt.task.step);
    if (!isOn() || step.gang || step.bestEffort || step.longRunning || step.estimate <= Millis(0) || worker.session->wasOverdueLately())
        return;
    double ratio = static_cast<double>(observed.count()) / static_cast<double>(step.estimate.count());
    if (isFar(worker, step))
        ratio /= m_state.options.placement.farFactor;
    const bool isBeyondPeers = m_ranks.note(worker.entry.pool, job.record().queue, ratio, m_state.options.health.lateFactor);
    worker.health.noteRunTime(isBeyondPeers && observed >= shortestJudged, m_state.now());
    consider(worker);
}

void HealthMonitor::consider(WorkerBook& worker)
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
    if (!m_out.empty())
        findReadmitted();
}

std::vector<EjectionMember> HealthMonitor::members() const
{
    std::vector<EjectionMember> members;
    members.reserve(m_state.workers.size());
    for (const auto& [id, book] : m_state.workers) {
        if (mayServe(book))
            members.push_back({ .worker = &book.entry, .out = book.health.isOut(m_state.now()), .answering = isAnswering(book) });
    }
    return members;
}

LeastInstances HealthMonitor::minInstances() const
{
    LeastInstances least;
    for (const auto& [pool, demand] : m_state.demands) {
        for (const auto& [requirement, asked] : demand) {
            if (asked.minInstances > 0 && !requirement.preferred)
                least[{ pool, requirement.label }] = asked.minInstances;
        }
    }
    return least;
}

void HealthMonitor::ejectFailing()
{
    const MonotonicInstant now = m_state.now();
    std::vector<EjectionCandidate> candidates;
    for (auto id = m_failing.begin(); id != m_failing.end();) {
        const WorkerBook* book = m_state.worker(*id);
        const HealthFault fault = book && mayServe(*book) ? book->health.fault(now) : HealthFault::None;
        if (fault == HealthFault::None) {
            id = m_failing.erase(id);
            continue;
        }
        candidates.push_back({ .member = { .worker = &book->entry, .out = book->health.isOut(now), .answering = isAnswering(*book) }, .fault = fault, .score = book->health.score(now) });
        ++id;
    }
    if (candidates.empty())
        return;
    if (isOn())
        candidates = EjectionBound(m_state.options.health, members(), minInstances()).choose(std::move(candidates));
    for (const EjectionCandidate& candidate : candidates)
        eject(*m_state.worker(candidate.member.worker->id), candidate.fault);
    if (!m_failing.empty())
        m_nextEjectionAt = now + ejectionPause;
}

void HealthMonitor::eject(WorkerBook& worker, HealthFault fault)
{
    const MonotonicInstant now = m_state.now();
    // Without an attempt since the last backoff the worker was not probed: it only left the stops of earlier attempts unanswered.
    if (worker.health.isOut(now) && !worker.probingAttempt)
        worker.health.postponeProbe(m_state.options.health, now);
    else
        worker.health.eject(fault, m_state.options.health, now);
    worker.probingAttempt.reset();
    m_failing.erase(worker.entry.id);
    m_out.insert(worker.entry.id);
    ++m_counts.ejections;
    const WorkerHealthScore report = worker.health.report(now);
    const auto backoff = std::chrono::duration_cast<Millis>(report.ejectedUntil - now);
    m_state.options.log->change("worker-ejected",
        { { "worker", worker.entry.id }, { "pool", worker.entry.pool }, { "reason", std::string(nameOf(fault)) }, { "score_thousandths", static_cast<std::int64_t>(report.score * thousandths) },
            { "calls", std::int64_t { report.evidence.calls } }, { "unanswered", std::int64_t { report.evidence.unanswered } }, { "ends", std::int64_t { report.evidence.ends } }, { "late_ends", std::int64_t { report.evidence.lateEnds } },
            { "failures", std::int64_t { report.failures } }, { "backoff_ms", std::int64_t { backoff.count() } }, { "attempts", static_cast<std::int64_t>(worker.bookings.size()) } });
}

std::vector<WorkerReport> HealthMonitor::reports() const
{
    const MonotonicInstant now = m_state.now();
    std::vector<WorkerReport> reports;
    reports.reserve(m_state.workers.size());
    for (const auto& [id, book] : m_state.workers) {
        WorkerReport report { .worker = id, .pool = book.entry.pool, .dataHall = book.entry.dataHall, .rack = book.entry.rack, .attempts = static_cast<std::uint32_t>(book.bookings.size()) };
        report.open = book.isOpen(now);
        report.silent = book.session && book.session->isSilent();
        report.distrusted = book.starts.isDistrusted(now);
        report.health = book.health.report(now);
        if (report.health.ejected)
            report.ejectedFor = std::chrono::duration_cast<Millis>(report.health.ejectedUntil - now);
        reports.push_back(std::move(report));
    }
    return reports;
}

std::map<std::string, std::uint32_t> HealthMonitor::ejectedByPool() const
{
    std::map<std::string, std::uint32_t> ejected;
    for (const std::string& id : m_out) {
        const WorkerBook* book = m_state.worker(id);
        if (book && book->health.isOut(m_state.now()))
            ++ejected[book->entry.pool];
    }
    return ejected;
}

void HealthMonitor::findReadmitted()
{
    const MonotonicInstant now = m_state.now();
    std::erase_if(m_out, [&](const std::string& id) {
        const WorkerBook* book = m_state.worker(id);
        if (book && book->health.isOut(now))
            return false;
        // Another incarnation has no record: it was not taken back but begins anew.
        if (book && book->health.ejectedUntil() != MonotonicInstant {})
            m_state.options.log->change("worker-readmitted", { { "worker", id }, { "pool", book->entry.pool }, { "probed", std::int64_t { book->health.wasReadmitted() } } });
        return true;
    });
}

} // namespace lanemoor::jobs
