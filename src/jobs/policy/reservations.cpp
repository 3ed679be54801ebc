#include "lanemoor/jobs/policy/reservations.h"

#include "lanemoor/jobs/policy/organisation_use.h"
#include "lanemoor/jobs/policy/placement.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

void Reservations::put(const Attempt& attempt, Reservation reservation)
{
    erase(attempt);
    count(reservation, 1);
    if (reservation.suspectedCrashes > 0)
        m_suspects[attempt] = reservation.suspectedCrashes;
    if (!reservation.step->longRunning)
        m_expectedBatchEnd = std::max(m_expectedBatchEnd, reservation.expectedEnd);
    m_reservations.emplace(attempt, std::move(reservation));
}

void Reservations::erase(const Attempt& attempt)
{
    const auto found = m_reservations.find(attempt);
    if (found == m_reservations.end())
        return;
    count(found->second, -1);
    m_suspects.erase(attempt);
    const bool wasLastBatchEnd = !found->second.step->longRunning && found->second.expectedEnd == m_expectedBatchEnd;
    m_reservations.erase(found);
    if (wasLastBatchEnd)
        updateExpectedBatchEnd();
}

Reservations::Map Reservations::takeAll()
{
    Map all = std::exchange(m_reservations, {});
    for (const auto& [attempt, reservation] : all)
        count(reservation, -1);
    m_suspects.clear();
    m_expectedBatchEnd = {};
    return all;
}

void Reservations::updateExpectedBatchEnd()
{
    m_expectedBatchEnd = {};
    for (const auto& [attempt, reservation] : m_reservations) {
        if (!reservation.step->longRunning)
            m_expectedBatchEnd = std::max(m_expectedBatchEnd, reservation.expectedEnd);
    }
}

void Reservations::noteThrottled(const Attempt& attempt, std::optional<std::uint32_t> percent)
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
    m_longRunningTasks += step.longRunning ? add : 0;
    m_pinnedTasks += step.longRunning && !step.requiredLabel.empty() ? add : 0;
    countRequirements(step, sign);
}

void Reservations::countRequirements(const StepSpec& step, int sign)
{
    const auto add = [&](const Requirement& requirement) {
        Resources& used = m_usedByRequirement[requirement];
        if (sign > 0)
            used += footprint(step);
        else
            used -= footprint(step);
        if (used == Resources {})
            m_usedByRequirement.erase(requirement);
    };
    // Fast path: most tasks have no placement requirement.
    if (step.requiredLabel.empty() && step.preferredRack.empty()) {
        add(Requirement {});
        return;
    }
    for (const Requirement& requirement : requirementsOf(step))
        add(requirement);
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
