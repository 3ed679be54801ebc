#include "lanemoor/jobs/policy/peak_reservation.h"

#include <algorithm>

namespace lanemoor::jobs {

PeakReservation::PeakReservation(PeakReservationOptions options)
    : m_options(options)
{
}

void PeakReservation::update(const std::vector<PoolNeed>& needs, double fleet, MonotonicInstant now)
{
    double highestShare = 0;
    for (const PoolNeed& need : needs) {
        const auto [place, isNew] = m_pools.try_emplace(need.pool);
        Pool& pool = place->second;
        if (isNew)
            pool.initialSize = need.size;
        pool.reserved = pool.peak.note(need.needed, now, m_options.memory);
        if (pool.initialSize > 0)
            highestShare = std::max(highestShare, pool.reserved / pool.initialSize);
    }
    double sum = 0;
    for (auto& [name, pool] : m_pools) {
        pool.reserved = std::max(pool.reserved, highestShare * pool.initialSize);
        sum += pool.reserved;
    }
    m_isScarce = sum > m_options.maxFleetShare * fleet;
}

double PeakReservation::reservedFor(const std::string& pool) const
{
    const auto found = m_pools.find(pool);
    return m_isScarce || found == m_pools.end() ? 0 : found->second.reserved;
}

} // namespace lanemoor::jobs
