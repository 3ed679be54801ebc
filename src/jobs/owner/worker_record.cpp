#include "lanemoor/jobs/owner/worker_record.h"

#include "lanemoor/jobs/model/fleet_control.h"
#include "lanemoor/jobs/policy/crash_attribution.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Between two liveness checks without a response. A worker that is down is known to be unresponsive by then.
constexpr Millis livenessCheckPause { 2'000 };
constexpr Millis probablyUpFor { 500 }; // After a response; renewals bring one every second.
constexpr Millis fleetListPause { 1'000 }; // Max time between two lists of instances.

} // namespace

Resources WorkerRecord::free() const
{
    Resources free = entry.capacity;
    free -= reservations.used();
    return free;
}

std::uint32_t WorkerRecord::tasksOf(const std::string& job, const StepId& step) const
{
    return static_cast<std::uint32_t>(std::count_if(reservations.begin(), reservations.end(), [&](const auto& reserved) {
        const Attempt& attempt = reserved.first;
        return attempt.job == job && attempt.task.occurrence == step.occurrence && attempt.task.step == step.step;
    }));
}

bool WorkerRecord::isEntryOfIncarnation() const
{
    const std::int64_t startedAt = session->incarnation().startedAt;
    return entry.startedAt == 0 || startedAt == 0 || entry.startedAt == startedAt;
}

bool WorkerRecord::isOpen(MonotonicInstant now) const
{
    return listed && !entry.draining && !evacuating && isHallOpen() && session && session->hasAnswered() && !session->isUnresponsive() && !session->hasIncarnationEnded() && isEntryOfIncarnation() && now >= closedUntil
        && !health.isEjected(now) && startsLeft(now) > 0;
}

std::uint32_t WorkerRecord::startsLeft(MonotonicInstant now) const
{
    const std::uint32_t left = starts.startsLeft(now);
    if (!health.isProbing(now))
        return left;
    const bool isProbed = probingAttempt && reservations.contains(*probingAttempt);
    return std::min(left, isProbed ? 0U : 1U);
}

MonotonicInstant WorkerRecord::establishedAt() const
{
    return knownSince + maxFleetListLag + fleetListPause;
}

bool WorkerRecord::isVerifiedUp(MonotonicInstant now) const
{
    return session->answeredSince(now - minProbation);
}

bool WorkerRecord::isProbablyUp(MonotonicInstant now) const
{
    return session->answeredSince(now - probablyUpFor);
}

bool WorkerRecord::acceptsRecordedStart(MonotonicInstant now) const
{
    return !health.isEjected(now) && listed && !entry.draining && !evacuating && isHallOpen() && !session->isUnresponsive() && !session->hasIncarnationEnded() && isEntryOfIncarnation() && entry.capacity.covers(reservations.used());
}

void WorkerRecord::checkLiveness(MonotonicInstant now, Millis overdueAfter)
{
    if (now < nextLivenessCheckAt)
        return;
    livenessCheckDueAt = now + overdueAfter;
    nextLivenessCheckAt = now + std::max(livenessCheckPause, overdueAfter);
    session->probe();
}

bool WorkerRecord::noteAnswer() noexcept
{
    nextLivenessCheckAt = {};
    return std::exchange(livenessCheckDueAt, MonotonicInstant {}) != MonotonicInstant {};
}

PlacementSite WorkerRecord::site(MonotonicInstant now) const
{
    PlacementSite site { .worker = &entry, .free = free(), .open = isOpen(now) };
    if (now < reservedUntil)
        site.reservedForLabel = reservedForLabel;
    site.hasRecentStarts = now < probationUntil;
    site.distrusted = starts.isDistrusted(now);
    site.probing = health.isProbing(now);
    site.startsLeft = startsLeft(now);
    site.servingTasks = reservations.servingTasks();
    site.bestEffortTasks = reservations.bestEffortTasks();
    for (const auto& [attempt, suspectedCrashes] : reservations.suspects())
        site.suspects.push_back({ quarantineKey(attempt, reservations.at(attempt).step->longRunning), suspectedCrashes });
    return site;
}

} // namespace lanemoor::jobs
