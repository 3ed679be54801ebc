#include "lanemoor/jobs/policy/worker_health.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// A healthy worker fails some 0.2% of batch and 3% of long-running attempts, and several in a row only by rare chance: three
/// failures of two jobs without a success in between count against the worker.
constexpr std::uint32_t failuresToEject = 3;
constexpr std::size_t jobsToEject = 2;
constexpr std::size_t maxFailedSteps = 16; // Enough to find `jobsToEject` jobs.

/// There is no score with fewer samples; from `fullWeightAt` samples on, the share alone counts.
constexpr std::int32_t minSamples = 4;
constexpr std::int32_t fullWeightAt = 8;

/// Three of four calls, or three of eight. The network loses a few percent of all answers.
constexpr double unansweredToEject = 0.3;
/// Four of four attempts, or four of eight. Run times vary by nature, so the threshold is higher than for lost answers.
constexpr double lateToEject = 0.5;

/// After this time in service the next ejection is as short as the first one. Longer than most backoffs, so that a worker that
/// fails with their period gets longer and longer ejections.
constexpr Millis calmTime { 20'000 };
/// A worker without a probing task by then, or whose probing task still runs, is back in service: its evidence is too old.
constexpr Millis maxProbingTime { 10'000 };

double scoreOf(std::int32_t bad, std::int32_t all)
{
    if (all < minSamples || bad <= 0)
        return 0;
    const double weight = std::min(1.0, static_cast<double>(all) / fullWeightAt);
    return weight * std::min(1.0, static_cast<double>(bad) / static_cast<double>(all));
}

double unansweredScore(const WorkerEvidence& evidence)
{
    return scoreOf(evidence.unanswered, evidence.calls);
}

double lateScore(const WorkerEvidence& evidence)
{
    return scoreOf(evidence.lateEnds, evidence.ends);
}

std::int64_t secondOf(MonotonicInstant now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

std::string_view nameOf(HealthFault fault) noexcept
{
    switch (fault) {
    case HealthFault::Failures:
        return "failures";
    case HealthFault::Unanswered:
        return "unanswered";
    case HealthFault::Slow:
        return "slow";
    default:
        return "none";
    }
}

WorkerEvidence& WorkerEvidence::operator+=(const WorkerEvidence& other) noexcept
{
    calls += other.calls;
    unanswered += other.unanswered;
    ends += other.ends;
    lateEnds += other.lateEnds;
    return *this;
}

void WorkerHealth::noteSuccess(MonotonicInstant now)
{
    m_failures.clear();
    if (isProbing(now) && m_probeFault == HealthFault::None)
        readmit();
}

void WorkerHealth::noteFailure(const std::string& job, MonotonicInstant now, std::shared_ptr<const StepOutcomes> step)
{
    const auto found = std::find_if(m_failures.begin(), m_failures.end(), [&](const StepFailures& failures) { return failures.job == job && failures.step == step; });
    StepFailures failures = found == m_failures.end() ? StepFailures { .job = job, .step = std::move(step), .tasks = 0 } : std::move(*found);
    if (found != m_failures.end())
        m_failures.erase(found);
    ++failures.tasks;
    // A probe by a step that fails everywhere shows nothing.
    if (!failures.isAttributedToStep())
        noteProbeFault(HealthFault::Failures, now);
    m_failures.push_back(std::move(failures));
    if (m_failures.size() > maxFailedSteps)
        m_failures.erase(m_failures.begin());
}

void WorkerHealth::noteStartAnswered(MonotonicInstant now)
{
    add({ .calls = 1 }, now);
    if (isProbing(now) && m_ejectedFor == HealthFault::Unanswered && m_probeFault == HealthFault::None)
        readmit();
}

void WorkerHealth::noteStopAnswered(MonotonicInstant now)
{
    add({ .calls = 1 }, now);
}

void WorkerHealth::noteUnanswered(MonotonicInstant now)
{
    add({ .calls = 1, .unanswered = 1 }, now);
    noteProbeFault(HealthFault::Unanswered, now);
}

void WorkerHealth::noteLateAnswer(MonotonicInstant now)
{
    add({ .unanswered = -1 }, now);
    if (m_probeFault == HealthFault::Unanswered)
        m_probeFault = HealthFault::None;
}

/// A worker that has become slow reports few ends compared with the seconds before, and run times vary by nature: each end halves
/// the weight of earlier ends of the other kind.
void WorkerHealth::noteRunTime(bool late, MonotonicInstant now)
{
    for (Slot& slot : m_window) {
        WorkerEvidence& seen = slot.evidence;
        std::int32_t timely = seen.ends - seen.lateEnds;
        (late ? timely : seen.lateEnds) /= 2;
        seen.ends = timely + seen.lateEnds;
    }
    add({ .ends = 1, .lateEnds = late ? 1 : 0 }, now);
    if (late)
        noteProbeFault(HealthFault::Slow, now);
}

/// Records a failed probe: one failure is enough while probing.
void WorkerHealth::noteProbeFault(HealthFault fault, MonotonicInstant now)
{
    if (isProbing(now))
        m_probeFault = fault;
}

void WorkerHealth::readmit()
{
    m_ejectedFor = HealthFault::None;
    m_window = {};
}

bool WorkerHealth::isOutOfService(MonotonicInstant now) const noexcept
{
    return m_ejectedFor != HealthFault::None && (m_probeFault != HealthFault::None || now < m_backoff.until() + maxProbingTime);
}

bool WorkerHealth::isFailing() const noexcept
{
    std::set<std::string_view> jobs;
    for (const StepFailures& failed : m_failures) {
        if (!failed.isAttributedToStep())
            jobs.insert(failed.job);
    }
    return failures() >= failuresToEject && jobs.size() >= jobsToEject;
}

std::uint32_t WorkerHealth::failures() const noexcept
{
    std::uint32_t tasks = 0;
    for (const StepFailures& failed : m_failures)
        tasks += failed.isAttributedToStep() ? 0 : failed.tasks;
    return tasks;
}

HealthFault WorkerHealth::fault(MonotonicInstant now) const
{
    if (isEjected(now))
        return HealthFault::None;
    if (m_probeFault != HealthFault::None)
        return m_probeFault;
    if (isProbing(now))
        return HealthFault::None;
    if (isFailing())
        return HealthFault::Failures;
    const WorkerEvidence seen = evidence(now);
    if (unansweredScore(seen) >= unansweredToEject)
        return HealthFault::Unanswered;
    return lateScore(seen) >= lateToEject ? HealthFault::Slow : HealthFault::None;
}

double WorkerHealth::score(MonotonicInstant now) const
{
    if (isFailing())
        return 1;
    const WorkerEvidence seen = evidence(now);
    return std::max(unansweredScore(seen), lateScore(seen));
}

void WorkerHealth::eject(HealthFault fault, const WorkerHealthOptions& options, MonotonicInstant now)
{
    if (now - m_backoff.until() >= calmTime)
        m_backoff.reset();
    const auto ratio = static_cast<std::uint64_t>(options.maxBackoff / std::max(options.firstBackoff, Millis(1)));
    const auto doublings = static_cast<std::uint32_t>(std::bit_width(std::max<std::uint64_t>(ratio, 1)) - 1);
    m_ejectionScore = { .fault = fault, .score = score(now), .evidence = evidence(now), .failures = failures() };
    m_backoff.begin(now, options.firstBackoff, doublings);
    m_ejectedFor = fault;
    m_hasFailedProbe = std::exchange(m_probeFault, HealthFault::None) != HealthFault::None;
    m_window = {};
    m_ejectionFailures = std::exchange(m_failures, {});
}

bool WorkerHealth::isEjectionUnfounded() const
{
    return m_ejectedFor == HealthFault::Failures && !m_ejectionFailures.empty() && std::all_of(m_ejectionFailures.begin(), m_ejectionFailures.end(), [](const StepFailures& failed) { return failed.isAttributedToStep(); });
}

void WorkerHealth::revokeEjection(MonotonicInstant now)
{
    m_backoff.revoke(now);
    m_ejectionFailures.clear();
    if (!m_hasFailedProbe)
        readmit();
}

void WorkerHealth::postponeProbe(const WorkerHealthOptions& options, MonotonicInstant now)
{
    m_backoff.postpone(now + options.firstBackoff);
    m_probeFault = HealthFault::None;
}

WorkerHealthScore WorkerHealth::report(MonotonicInstant now) const
{
    WorkerHealthScore report { .fault = fault(now), .score = score(now), .evidence = evidence(now), .failures = failures() };
    if (isOutOfService(now))
        report = m_ejectionScore;
    report.ejected = isEjected(now);
    report.probing = isProbing(now);
    report.ejectedUntil = m_backoff.until();
    return report;
}

void WorkerHealth::add(const WorkerEvidence& evidence, MonotonicInstant now)
{
    const std::int64_t second = secondOf(now);
    Slot& slot = m_window.at(static_cast<std::size_t>(second % windowSeconds));
    if (slot.second != second)
        slot = { .second = second, .evidence = {} };
    slot.evidence += evidence;
}

WorkerEvidence WorkerHealth::evidence(MonotonicInstant now) const
{
    const std::int64_t oldest = secondOf(now) - windowSeconds;
    WorkerEvidence sum;
    for (const Slot& slot : m_window) {
        if (slot.second > oldest)
            sum += slot.evidence;
    }
    return sum;
}

} // namespace lanemoor::jobs
