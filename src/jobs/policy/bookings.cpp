#include "lanemoor/jobs/policy/bookings.h"

#include "lanemoor/jobs/policy/organisation_use.h"
#include "lanemoor/jobs/policy/placement.h"

#include <utility>

namespace lanemoor::jobs {

void Bookings::put(const Attempt& attempt, Booking booking)
{
    erase(attempt);
    count(booking, 1);
    if (booking.suspicion > 0)
        m_suspects[attempt] = booking.suspicion;
    m_bookings.emplace(attempt, std::move(booking));
}

void Bookings::erase(const Attempt& attempt)
{
    const auto found = m_bookings.find(attempt);
    if (found == m_bookings.end())
        return;
    count(found->second, -1);
    m_suspects.erase(attempt);
    m_bookings.erase(found);
}

Bookings::Map Bookings::takeAll()
{
    Map all = std::exchange(m_bookings, {});
    for (const auto& [attempt, booking] : all)
        count(booking, -1);
    m_suspects.clear();
    return all;
}

void Bookings::noteThrottled(const Attempt& attempt, std::uint32_t percent)
{
    const auto found = m_bookings.find(attempt);
    if (found != m_bookings.end())
        found->second.throttledTo = percent;
}

void Bookings::noteSuspect(const Attempt& attempt, std::uint32_t suspicion)
{
    const auto found = m_bookings.find(attempt);
    if (found == m_bookings.end())
        return;
    found->second.suspicion = suspicion;
    m_suspects[attempt] = suspicion;
}

void Bookings::noteSurvived(const Attempt& attempt)
{
    const auto found = m_bookings.find(attempt);
    if (found == m_bookings.end())
        return;
    found->second.suspicion = 0;
    m_suspects.erase(attempt);
}

void Bookings::count(const Booking& booking, int sign)
{
    const StepSpec& step = *booking.step;
    if (sign > 0)
        m_used += footprint(step);
    else
        m_used -= footprint(step);
    if (booking.account && sign > 0)
        booking.account->used += step.needs;
    else if (booking.account)
        booking.account->used -= step.needs;
    countAccount(booking, sign);
    const auto add = static_cast<std::uint32_t>(sign);
    m_servingTasks += step.latencyTarget.count() > 0 ? add : 0;
    m_bestEffortTasks += step.bestEffort ? add : 0;
}

void Bookings::countAccount(const Booking& booking, int sign)
{
    if (!booking.account)
        return;
    Resources& used = m_usedByAccount[booking.account];
    if (sign > 0)
        used += footprint(*booking.step);
    else
        used -= footprint(*booking.step);
    if (used == Resources {})
        m_usedByAccount.erase(booking.account);
}

} // namespace lanemoor::jobs
