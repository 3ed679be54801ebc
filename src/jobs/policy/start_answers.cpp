#include "lanemoor/jobs/policy/start_answers.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr std::uint32_t mostOpenAtDistrusted = 2;
constexpr std::ptrdiff_t overdueToClose = 2;
/// A worker without an overdue start in this time is trusted again.
constexpr Millis distrustTime { 10'000 };

} // namespace

bool StartAnswers::noteOverdue(const Attempt& attempt, MonotonicInstant now)
{
    const auto open = m_open.find(attempt);
    if (open == m_open.end() || std::exchange(open->second.overdue, true))
        return false;
    m_distrustedUntil = now + distrustTime;
    return true;
}

bool StartAnswers::noteAnswered(const Attempt& attempt)
{
    m_distrustedUntil = {};
    const auto open = m_open.find(attempt);
    if (open == m_open.end())
        return false;
    const bool wasOverdue = open->second.overdue;
    m_open.erase(open);
    return wasOverdue;
}

bool StartAnswers::hasExpired(const Attempt& attempt, std::int64_t workerClock, MonotonicInstant now) const
{
    const auto open = m_open.find(attempt);
    return open != m_open.end() && open->second.leaseUntil > 0 && workerClock > open->second.leaseUntil && now >= open->second.deliveredBy;
}

std::uint32_t StartAnswers::startsLeft(MonotonicInstant now) const
{
    const auto overdue = std::count_if(m_open.begin(), m_open.end(), [](const auto& open) { return open.second.overdue; });
    if (m_probeOverdue && overdue >= overdueToClose)
        return 0;
    if (!isDistrusted(now))
        return unlimited;
    const auto open = static_cast<std::uint32_t>(m_open.size());
    return mostOpenAtDistrusted - std::min(open, mostOpenAtDistrusted);
}

} // namespace lanemoor::jobs
