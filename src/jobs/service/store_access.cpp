#include "lanemoor/jobs/service/store_access.h"

#include <utility>

namespace lanemoor::jobs {

StoreAccess::StoreAccess(EventLoop& loop, KeyValueStore& platform, EventLog& log, const StoreOutageOptions& options)
    : m_platform(platform)
{
    if (!options.enabled)
        return;
    m_observed.emplace(loop, platform, log);
    m_hedged.emplace(loop, *m_observed, options);
}

KeyValueStore& StoreAccess::store() noexcept
{
    return m_hedged ? *m_hedged : m_platform;
}

void StoreAccess::observe(StoreConditionObserver observer)
{
    if (m_observed)
        m_observed->observe(std::move(observer));
}

std::shared_ptr<const StoreCondition> StoreAccess::condition() const
{
    return m_observed ? m_observed->condition() : std::make_shared<const StoreCondition>();
}

MonotonicInstant StoreAccess::answeredAt() const noexcept
{
    return m_observed ? m_observed->answeredAt() : MonotonicInstant();
}

void StoreAccess::resendWaiting(MonotonicInstant sentBefore)
{
    if (m_hedged)
        m_hedged->resendWaiting(sentBefore);
}

HedgeCounts StoreAccess::hedges() const noexcept
{
    return m_hedged ? m_hedged->counts() : HedgeCounts {};
}

} // namespace lanemoor::jobs
