#include "lanemoor/jobs/policy/bookings.h"

#include "lanemoor/jobs/policy/placement.h"

#include <utility>

namespace lanemoor::jobs {

void Bookings::put(const Attempt& attempt, Booking booking)
{
    erase(attempt);
    count(*booking.step, 1);
    m_bookings.emplace(attempt, std::move(booking));
}

void Bookings::erase(const Attempt& attempt)
{
    const auto found = m_bookings.find(attempt);
    if (found == m_bookings.end())
        return;
    count(*found->second.step, -1);
    m_bookings.erase(found);
}

Bookings::Map Bookings::takeAll()
{
    Map all = std::exchange(m_bookings, {});
    m_used = {};
    m_servingTasks = 0;
    m_bestEffortTasks = 0;
    return all;
}

void Bookings::noteThrottled(const Attempt& attempt, std::uint32_t percent)
{
    const auto found = m_bookings.find(attempt);
    if (found != m_bookings.end())
        found->second.throttledTo = percent;
}

void Bookings::count(const StepSpec& step, int sign)
{
    if (sign > 0)
        m_used += footprint(step);
    else
        m_used -= footprint(step);
    const auto add = static_cast<std::uint32_t>(sign);
    m_servingTasks += step.latencyTarget.count() > 0 ? add : 0;
    m_bestEffortTasks += step.bestEffort ? add : 0;
}

} // namespace lanemoor::jobs
