#include "lanemoor/jobs/policy/unacknowledged_starts.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr std::uint32_t maxPendingIfDistrusted = 2;
constexpr std::ptrdiff_t overdueToBlock = 2;
/// A worker without a further overdue start in this time is trusted again.
constexpr Millis distrustTime { 10'000 };

} // namespace

bool UnacknowledgedStarts::noteOverdue(const Attempt& attempt, MonotonicInstant now)
{
    const auto pending = m_unacknowledged.find(attempt);
    if (pending == m_unacknowledged.end() || std::exchange(pending->second.overdue, true))
        return false;
    m_distrustedUntil = now + distrustTime;
    return true;
}

bool UnacknowledgedStarts::noteAnswered(const Attempt& attempt)
{
    m_distrustedUntil = {};
    const auto pending = m_unacknowledged.find(attempt);
    if (pending == m_unacknowledged.end())
        return false;
    const bool wasOverdue = pending->second.overdue;
    m_unacknowledged.erase(pending);
    return wasOverdue;
}

bool UnacknowledgedStarts::hasExpired(const Attempt& attempt, std::int64_t workerClock, MonotonicInstant now) const
{
    const auto pending = m_unacknowledged.find(attempt);
    return pending != m_unacknowledged.end() && workerClock > pending->second.leaseUntil && now >= pending->second.deliveredBy;
}

UnacknowledgedStarts UnacknowledgedStarts::forNextIncarnation() const
{
    UnacknowledgedStarts next;
    for (const auto& [attempt, sent] : m_unacknowledged)
        next.m_unacknowledged.emplace(attempt, SentStart { .leaseUntil = 0, .deliveredBy = sent.deliveredBy });
    return next;
}

std::uint32_t UnacknowledgedStarts::startsLeft(MonotonicInstant now) const
{
    const auto overdue = std::count_if(m_unacknowledged.begin(), m_unacknowledged.end(), [](const auto& pending) { return pending.second.overdue; });
    if (m_probeOverdue && overdue >= overdueToBlock)
        return 0;
    if (!isDistrusted(now))
        return unlimited;
    const auto pending = static_cast<std::uint32_t>(m_unacknowledged.size());
    return maxPendingIfDistrusted - std::min(pending, maxPendingIfDistrusted);
}

} // namespace lanemoor::jobs
