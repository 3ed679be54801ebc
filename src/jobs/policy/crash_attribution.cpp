#include "lanemoor/jobs/policy/crash_attribution.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace lanemoor::jobs {

namespace {

/// Crashes and the restarts after them are correlated, since both follow the updates of the platform's instance list: a start may
/// meet the next independent crash far more often than its probation alone suggests. The chance of a coincidence is computed for this
/// time instead.
constexpr double correlationSeconds = 1.0;
/// Max share of starts on probation whose worker may crash independently meanwhile.
constexpr double maxChanceOfLoss = 0.005;
/// Max share of starts that may fail by chance while workers crash: a large fleet starts some 100,000 tasks per minute.
constexpr double maxChanceOfFailure = 1e-5;

double secondsOf(Millis time)
{
    return std::chrono::duration<double>(time).count();
}

bool isSuspect(const LostAttempt& lost, bool acknowledged, Millis probation)
{
    return !lost.isAdopted && lost.survived.has_value() == acknowledged && lost.survived.value_or(Millis(0)) < probation;
}

/// An adopted attempt may have started just before its previous owner was lost.
bool isRecentlyAdopted(const LostAttempt& lost, Millis probation)
{
    return lost.isAdopted && lost.survived && *lost.survived < probation;
}

/// Acknowledged starts take precedence: an unacknowledged start was usually sent after the worker had crashed.
std::vector<LostAttempt> suspectsOf(const std::vector<LostAttempt>& lost, Millis probation)
{
    std::vector<LostAttempt> suspects;
    for (const bool acknowledged : { true, false }) {
        if (suspects.empty())
            std::copy_if(lost.begin(), lost.end(), std::back_inserter(suspects), [&](const LostAttempt& each) { return isSuspect(each, acknowledged, probation); });
    }
    return suspects;
}

/// \returns Whether all suspects with at least as many crashes would fail together with it.
bool hasMostCrashes(const LostAttempt& suspect, const std::vector<LostAttempt>& suspects)
{
    const std::string key = quarantineKey(suspect.attempt, suspect.isLongRunning);
    return std::none_of(suspects.begin(), suspects.end(), [&](const LostAttempt& other) {
        return other.before.total() >= suspect.before.total() && quarantineKey(other.attempt, other.isLongRunning) != key;
    });
}

bool hasFewerCrashes(const LostAttempt& a, const LostAttempt& b)
{
    return std::pair(a.before.total(), a.before.confirmed) < std::pair(b.before.total(), b.before.confirmed);
}

} // namespace

std::string quarantineKey(const Attempt& attempt, bool isLongRunning)
{
    if (!isLongRunning)
        return attempt.job;
    const TaskId& task = attempt.task;
    return attempt.job + '/' + std::to_string(task.occurrence) + '/' + std::to_string(task.step) + '/' + std::to_string(task.index);
}

bool isExhausted(const CrashCount& crashes, std::uint32_t unsettledProbations, bool isInherited) noexcept
{
    return crashes.confirmed >= minConfirmedCrashes && crashes.total() + unsettledProbations >= maxCrashesOf(isInherited);
}

CrashCount crashesAfter(const LostAttempt& lost) noexcept
{
    CrashCount crashes = lost.before;
    ++(lost.survived ? crashes.confirmed : crashes.unconfirmed);
    return crashes;
}

void CrashAttributor::forgetOld(MonotonicInstant now)
{
    while (!m_unexplained.empty() && now - m_unexplained.front() > crashWindow)
        m_unexplained.pop_front();
}

double CrashAttributor::crashesPerSecond(std::size_t crashes, std::size_t workers) const
{
    return static_cast<double>(crashes) / secondsOf(crashWindow) / static_cast<double>(std::max<std::size_t>(workers, 1));
}

Millis CrashAttributor::probationAt(double crashesPerSecond) const
{
    const double maxSeconds = secondsOf(maxProbation);
    const double seconds = crashesPerSecond * maxSeconds <= maxChanceOfLoss ? maxSeconds : maxChanceOfLoss / crashesPerSecond;
    return std::max(minProbation, std::chrono::duration_cast<Millis>(std::chrono::duration<double>(seconds)));
}

Millis CrashAttributor::probation(std::size_t workers, MonotonicInstant now)
{
    forgetOld(now);
    return probationAt(crashesPerSecond(m_unexplained.size(), workers));
}

std::uint32_t CrashAttributor::crashesNeeded(double crashesPerSecond, MonotonicInstant now) const
{
    const double chance = crashesPerSecond * correlationSeconds;
    std::uint32_t crashes = now < m_rateKnownFrom ? std::max(m_options.crashesToFail, maxCrashes - 1) : m_options.crashesToFail;
    while (crashes < maxCrashes && std::pow(chance, crashes) > maxChanceOfFailure)
        ++crashes;
    return crashes;
}

CrashAttribution CrashAttributor::attribute(const std::vector<LostAttempt>& lost, std::size_t workers, MonotonicInstant now)
{
    const Millis shortened = probation(workers, now);
    CrashAttribution attribution { .suspects = suspectsOf(lost, shortened), .possibleSuspects = {}, .failed = std::nullopt };
    if (!attribution.suspects.empty() && attribution.suspects.front().survived)
        std::copy_if(lost.begin(), lost.end(), std::back_inserter(attribution.possibleSuspects), [](const LostAttempt& each) { return isSuspect(each, false, maxProbation); });
    const bool hasPriorSuspect = std::any_of(attribution.suspects.begin(), attribution.suspects.end(), [](const LostAttempt& each) { return each.before.total() > 0; });
    if (!hasPriorSuspect)
        std::copy_if(lost.begin(), lost.end(), std::back_inserter(attribution.possibleSuspects), [shortened](const LostAttempt& each) { return isRecentlyAdopted(each, shortened); });
    const auto worst = std::max_element(attribution.suspects.begin(), attribution.suspects.end(), hasFewerCrashes);
    const bool isExplained = worst != attribution.suspects.end() && worst->before.total() > 0;
    if (!isExplained)
        m_unexplained.push_back(now);
    // The first crash of this task is among the unexplained ones.
    const std::size_t others = m_unexplained.size() - (isExplained && !m_unexplained.empty() ? 1 : 0);
    attribution.crashesNeeded = crashesNeeded(crashesPerSecond(others, workers), now);
    if (!isExplained)
        return attribution;
    const CrashCount crashes = crashesAfter(*worst);
    const bool isProved = crashes.confirmed >= std::max(attribution.crashesNeeded, minConfirmedCrashes) && hasMostCrashes(*worst, attribution.suspects);
    if (isProved || isExhausted(crashes, 0, worst->isInherited))
        attribution.failed = worst->attempt;
    return attribution;
}

} // namespace lanemoor::jobs
