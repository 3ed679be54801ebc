#include "lanemoor/jobs/policy/peak_reservation.h"

#include <algorithm>
#include <chrono>

namespace lanemoor::jobs {

PeakReservation::PeakReservation(PeakReservationOptions options)
    : m_options(options)
{
}

/// \returns The part of the window in which no load was observed yet.
double PeakReservation::unobservedShare(MonotonicInstant now, std::optional<MonotonicInstant> loadSince) const
{
    if (!loadSince)
        return 1;
    return std::max(0.0, 1 - std::chrono::duration<double>(now - *loadSince) / m_options.memory);
}

void PeakReservation::update(const std::vector<PoolNeed>& needs, double fleet, MonotonicInstant now, std::optional<MonotonicInstant> loadSince)
{
    double highestShare = 0;
    for (const PoolNeed& need : needs) {
        Pool& pool = m_pools[need.pool];
        pool.largestSize = std::max(pool.largestSize, need.size);
        pool.reserved = pool.peak.note(need.needed, now, m_options.memory);
        if (pool.largestSize > 0)
            highestShare = std::max(highestShare, pool.reserved / pool.largestSize);
    }
    const double unobserved = unobservedShare(now, loadSince);
    double sum = 0;
    for (auto& [name, pool] : m_pools) {
        pool.reserved = std::max(pool.reserved, highestShare * pool.largestSize);
        sum += pool.reserved;
        pool.reserved = std::max(pool.reserved, unobserved * pool.largestSize);
    }
    m_isScarce = sum > m_options.maxFleetShare * fleet;
}

double PeakReservation::reservedFor(const std::string& pool) const
{
    const auto found = m_pools.find(pool);
    return m_isScarce || found == m_pools.end() ? 0 : found->second.reserved;
}

} // namespace lanemoor::jobs
