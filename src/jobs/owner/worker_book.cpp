#include "lanemoor/jobs/owner/worker_book.h"

#include "lanemoor/jobs/model/fleet_control.h"
#include "lanemoor/jobs/policy/crash_attribution.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Between two liveness checks without an answer. A worker that is gone is known to be silent by then.
constexpr Millis livenessCheckPause { 2'000 };
constexpr Millis probablyUpFor { 500 }; // After an answer; renewals bring one each second.
constexpr Millis fleetListPause { 1'000 }; // Between two lists of instances, at most.

} // namespace

Resources WorkerBook::free() const
{
    Resources free = entry.capacity;
    free -= bookings.used();
    return free;
}

std::uint32_t WorkerBook::tasksOf(const std::string& job, const StepId& step) const
{
    return static_cast<std::uint32_t>(std::count_if(bookings.begin(), bookings.end(), [&](const auto& booked) {
        const Attempt& attempt = booked.first;
        return attempt.job == job && attempt.task.occurrence == step.occurrence && attempt.task.step == step.step;
    }));
}

bool WorkerBook::isEntryOfLife() const
{
    const std::int64_t startedAt = session->life().startedAt;
    return entry.startedAt == 0 || startedAt == 0 || entry.startedAt == startedAt;
}

bool WorkerBook::isOpen(MonotonicInstant now) const
{
    return listed && !entry.draining && !evacuating && isHallOpen() && session && session->isMet() && !session->isSilent() && !session->isLifeOver() && isEntryOfLife() && now >= noWorkBefore
        && !health.isEjected(now) && startsLeft(now) > 0;
}

std::uint32_t WorkerBook::startsLeft(MonotonicInstant now) const
{
    const std::uint32_t left = starts.startsLeft(now);
    if (!health.isProbing(now))
        return left;
    const bool isProbed = probingAttempt && bookings.contains(*probingAttempt);
    return std::min(left, isProbed ? 0U : 1U);
}

MonotonicInstant WorkerBook::establishedAt() const
{
    return knownSince + maxFleetListLag + fleetListPause;
}

bool WorkerBook::isVerifiedUp(MonotonicInstant now) const
{
    return session->answeredSince(now - minProbation);
}

bool WorkerBook::isProbablyUp(MonotonicInstant now) const
{
    return session->answeredSince(now - probablyUpFor);
}

bool WorkerBook::takesRecordedStart(MonotonicInstant now) const
{
    return !health.isEjected(now) && listed && !entry.draining && !evacuating && isHallOpen() && !session->isSilent() && !session->isLifeOver() && isEntryOfLife() && entry.capacity.covers(bookings.used());
}

void WorkerBook::checkLiveness(MonotonicInstant now, Millis overdueAfter)
{
    if (now < nextLivenessCheckAt)
        return;
    livenessCheckDueAt = now + overdueAfter;
    nextLivenessCheckAt = now + std::max(livenessCheckPause, overdueAfter);
    session->probe();
}

bool WorkerBook::noteAnswer() noexcept
{
    nextLivenessCheckAt = {};
    return std::exchange(livenessCheckDueAt, MonotonicInstant {}) != MonotonicInstant {};
}

PlacementSite WorkerBook::site(MonotonicInstant now) const
{
    PlacementSite site { .worker = &entry, .free = free(), .open = isOpen(now) };
    if (now < keptUntil)
        site.keptFor = keptFor;
    site.hasYoungAttempts = now < youngUntil;
    site.distrusted = starts.isDistrusted(now);
    site.probing = health.isProbing(now);
    site.startsLeft = startsLeft(now);
    site.servingTasks = bookings.servingTasks();
    site.bestEffortTasks = bookings.bestEffortTasks();
    for (const auto& [attempt, suspicion] : bookings.suspects())
        site.suspects.push_back({ quarantineKey(attempt, bookings.at(attempt).step->longRunning), suspicion });
    return site;
}

} // namespace lanemoor::jobs
