#include "lanemoor/jobs/intake/refused_submissions.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

void RefusedSubmissions::noteRefused(const std::string& id, MonotonicInstant usefulUntil, MonotonicInstant now)
{
    evictExpired(now);
    if (m_tracked.empty()) {
        m_episodeStart = now;
        m_refusedCount = 0;
    }
    const auto [refused, isFirst] = m_tracked.try_emplace(id, Refused { .usefulUntil = usefulUntil, .expiresAt = now + retention });
    refused->second.expiresAt = now + retention;
    if (isFirst) {
        ++m_refusedCount;
        m_expiries.emplace(now + retention, id);
    }
}

RefusalSituation RefusedSubmissions::situationOf(const std::string& id, MonotonicInstant now) const
{
    const auto refused = m_tracked.find(id);
    if (refused == m_tracked.end())
        return {};
    return { .refused = m_refusedCount,
        .waiting = m_tracked.size(),
        .lasted = std::chrono::duration_cast<Millis>(now - m_episodeStart),
        .useful = std::chrono::duration_cast<Millis>(refused->second.usefulUntil - now) };
}

void RefusedSubmissions::noteSettled(const std::string& id)
{
    m_tracked.erase(id);
}

void RefusedSubmissions::evictExpired(MonotonicInstant now)
{
    while (!m_expiries.empty() && (m_expiries.begin()->first <= now || m_tracked.size() >= maxTracked)) {
        const std::string id = std::move(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
        const auto refused = m_tracked.find(id);
        if (refused == m_tracked.end())
            continue;
        if (refused->second.expiresAt <= now || m_tracked.size() >= maxTracked)
            m_tracked.erase(refused);
        else
            m_expiries.emplace(refused->second.expiresAt, id);
    }
}

} // namespace lanemoor::jobs
