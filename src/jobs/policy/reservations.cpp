#include "lanemoor/jobs/policy/reservations.h"

#include "lanemoor/jobs/policy/organisation_use.h"
#include "lanemoor/jobs/policy/placement.h"

#include <utility>

namespace lanemoor::jobs {

void Reservations::put(const Attempt& attempt, Reservation reservation)
{
    erase(attempt);
    count(reservation, 1);
    if (reservation.suspectedCrashes > 0)
        m_suspects[attempt] = reservation.suspectedCrashes;
    m_reservations.emplace(attempt, std::move(reservation));
}

void Reservations::erase(const Attempt& attempt)
{
    const auto found = m_reservations.find(attempt);
    if (found == m_reservations.end())
        return;
    count(found->second, -1);
    m_suspects.erase(attempt);
    m_reservations.erase(found);
}

Reservations::Map Reservations::takeAll()
{
    Map all = std::exchange(m_reservations, {});
    for (const auto& [attempt, reservation] : all)
        count(reservation, -1);
    m_suspects.clear();
    return all;
}

void Reservations::noteThrottled(const Attempt& attempt, std::uint32_t percent)
{
    const auto found = m_reservations.find(attempt);
    if (found != m_reservations.end())
        found->second.throttledTo = percent;
}

void Reservations::noteSuspect(const Attempt& attempt, std::uint32_t suspectedCrashes)
{
    const auto found = m_reservations.find(attempt);
    if (found == m_reservations.end())
        return;
    found->second.suspectedCrashes = suspectedCrashes;
    m_suspects[attempt] = suspectedCrashes;
}

void Reservations::noteSurvived(const Attempt& attempt)
{
    const auto found = m_reservations.find(attempt);
    if (found == m_reservations.end())
        return;
    found->second.suspectedCrashes = 0;
    m_suspects.erase(attempt);
}

void Reservations::count(const Reservation& reservation, int sign)
{
    const StepSpec& step = *reservation.step;
    if (sign > 0)
        m_used += footprint(step);
    else
        m_used -= footprint(step);
    if (reservation.account && sign > 0)
        reservation.account->used += step.needs;
    else if (reservation.account)
        reservation.account->used -= step.needs;
    countAccount(reservation, sign);
    const auto add = static_cast<std::uint32_t>(sign);
    m_servingTasks += step.latencyTarget.count() > 0 ? add : 0;
    m_bestEffortTasks += step.bestEffort ? add : 0;
}

void Reservations::countAccount(const Reservation& reservation, int sign)
{
    if (!reservation.account)
        return;
    Resources& used = m_usedByAccount[reservation.account];
    if (sign > 0)
        used += footprint(*reservation.step);
    else
        used -= footprint(*reservation.step);
    if (used == Resources {})
        m_usedByAccount.erase(reservation.account);
}

} // namespace lanemoor::jobs
