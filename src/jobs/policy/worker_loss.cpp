#include "lanemoor/jobs/policy/worker_loss.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace lanemoor::jobs {

namespace {

/// Lost workers and the starts that follow them keep time with each other, by the pace of the platform's list: a start may meet
/// the next loss far more often than its trial is long. Reckoned with is one loss in a second of that rate.
constexpr double chanceSeconds = 1.0;
/// Of the starts on trial, the share whose worker may end by itself meanwhile.
constexpr double mostLostByChance = 0.005;
/// Of the starts while workers end by themselves, the share that may be given up by chance: a large fleet starts some
/// 100,000 tasks in a minute.
constexpr double mostGivenUpByChance = 1e-5;

double secondsOf(Millis time)
{
    return std::chrono::duration<double>(time).count();
}

/// \returns Whether the worker may not have survived the start. \param confirmed Of those that confirmed it: a start that was
/// never confirmed mostly came when the worker was gone.
bool isSuspect(const LostAttempt& lost, bool confirmed, Millis trial)
{
    return !lost.adopted && lost.survived.has_value() == confirmed && lost.survived.value_or(Millis(0)) < trial;
}

std::vector<LostAttempt> suspectsOf(const std::vector<LostAttempt>& lost, Millis trial)
{
    std::vector<LostAttempt> suspects;
    for (const bool confirmed : { true, false }) {
        if (suspects.empty())
            std::copy_if(lost.begin(), lost.end(), std::back_inserter(suspects), [&](const LostAttempt& each) { return isSuspect(each, confirmed, trial); });
    }
    return suspects;
}

/// \returns Whether no suspect that would not be given up with it has lost as many workers.
bool standsOut(const LostAttempt& suspect, const std::vector<LostAttempt>& suspects)
{
    const std::string accused = accusedOf(suspect.attempt, suspect.longRunning);
    return std::none_of(suspects.begin(), suspects.end(), [&](const LostAttempt& other) {
        return other.lossesBefore >= suspect.lossesBefore && accusedOf(other.attempt, other.longRunning) != accused;
    });
}

} // namespace

std::string accusedOf(const Attempt& attempt, bool longRunning)
{
    if (!longRunning)
        return attempt.job;
    const TaskId& task = attempt.task;
    return attempt.job + '/' + std::to_string(task.occurrence) + '/' + std::to_string(task.step) + '/' + std::to_string(task.index);
}

void LossJudge::forgetOld(MonotonicInstant now)
{
    while (!m_unexplained.empty() && now - m_unexplained.front() > lossMemory)
        m_unexplained.pop_front();
}

double LossJudge::lossesASecond(std::size_t losses, std::size_t workers) const
{
    return static_cast<double>(losses) / secondsOf(lossMemory) / static_cast<double>(std::max<std::size_t>(workers, 1));
}

Millis LossJudge::trialAt(double lossesASecond) const
{
    const double most = secondsOf(longestTrial);
    const double seconds = lossesASecond * most <= mostLostByChance ? most : mostLostByChance / lossesASecond;
    return std::max(leastTrial, std::chrono::duration_cast<Millis>(std::chrono::duration<double>(seconds)));
}

Millis LossJudge::trial(std::size_t workers, MonotonicInstant now)
{
    forgetOld(now);
    return trialAt(lossesASecond(m_unexplained.size(), workers));
}

std::uint32_t LossJudge::lossesNeeded(double lossesASecond, MonotonicInstant now) const
{
    const double chance = lossesASecond * chanceSeconds;
    std::uint32_t losses = now < m_knowsLateLossesAt ? std::max(m_options.lossesToGiveUp, mostLosses - 1) : m_options.lossesToGiveUp;
    while (losses < mostLosses && std::pow(chance, losses) > mostGivenUpByChance)
        ++losses;
    return losses;
}

LossVerdict LossJudge::judge(const std::vector<LostAttempt>& lost, std::size_t workers, MonotonicInstant now)
{
    LossVerdict verdict { .suspects = suspectsOf(lost, trial(workers, now)), .givenUp = std::nullopt };
    const auto worst = std::max_element(verdict.suspects.begin(), verdict.suspects.end(), [](const LostAttempt& a, const LostAttempt& b) { return a.lossesBefore < b.lossesBefore; });
    const bool isExplained = worst != verdict.suspects.end() && worst->lossesBefore > 0;
    if (!isExplained)
        m_unexplained.push_back(now);
    // The first loss of this task is one of them.
    const std::size_t others = m_unexplained.size() - (isExplained && !m_unexplained.empty() ? 1 : 0);
    verdict.lossesNeeded = lossesNeeded(lossesASecond(others, workers), now);
    if (!isExplained)
        return verdict;
    const std::uint32_t losses = worst->lossesBefore + 1;
    if (losses >= mostLossesOf(worst->inherited) || (losses >= verdict.lossesNeeded && standsOut(*worst, verdict.suspects)))
        verdict.givenUp = worst->attempt;
    return verdict;
}

} // namespace lanemoor::jobs
