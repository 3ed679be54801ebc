#include "lanemoor/jobs/intake/refused_submissions.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

void RefusedSubmissions::noteRefused(const std::string& id, MonotonicInstant usefulUntil, MonotonicInstant now)
{
    forgetOld(now);
    if (m_waiting.empty()) {
        m_since = now;
        m_refused = 0;
    }
    const auto [refused, isFirst] = m_waiting.try_emplace(id, Refused { .usefulUntil = usefulUntil, .forgetAt = now + memory });
    refused->second.forgetAt = now + memory;
    if (isFirst) {
        ++m_refused;
        m_order.emplace(now + memory, id);
    }
}

RefusalSituation RefusedSubmissions::situationOf(const std::string& id, MonotonicInstant now) const
{
    const auto refused = m_waiting.find(id);
    if (refused == m_waiting.end())
        return {};
    return { .refused = m_refused,
        .waiting = m_waiting.size(),
        .lasted = std::chrono::duration_cast<Millis>(now - m_since),
        .useful = std::chrono::duration_cast<Millis>(refused->second.usefulUntil - now) };
}

void RefusedSubmissions::noteSettled(const std::string& id)
{
    m_waiting.erase(id);
}

void RefusedSubmissions::forgetOld(MonotonicInstant now)
{
    while (!m_order.empty() && (m_order.begin()->first <= now || m_waiting.size() >= maxWaiting)) {
        const std::string id = std::move(m_order.begin()->second);
        m_order.erase(m_order.begin());
        const auto refused = m_waiting.find(id);
        if (refused == m_waiting.end())
            continue;
        if (refused->second.forgetAt <= now || m_waiting.size() >= maxWaiting)
            m_waiting.erase(refused);
        else
            m_order.emplace(refused->second.forgetAt, id);
    }
}

} // namespace lanemoor::jobs
