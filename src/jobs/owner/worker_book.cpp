#include "lanemoor/jobs/owner/worker_book.h"

#include "lanemoor/jobs/model/fleet_control.h"
#include "lanemoor/jobs/policy/crash_attribution.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// A sound worker fails some 0.2% of batch and 3% of long-running attempts in a row only by
/// rare luck: three failures of two jobs, with no success between, speak against the worker.
constexpr std::uint32_t failuresToQuarantine = 3;
constexpr std::size_t jobsToQuarantine = 2;
constexpr Millis firstQuarantine { 2'000 };
constexpr std::uint32_t mostDoublings = 3;

/// Between two liveness checks without an answer. A worker that is gone is known to be silent by then.
constexpr Millis livenessCheckPause { 2'000 };
constexpr Millis probablyUpFor { 500 }; // After an answer; renewals bring one each second.
constexpr Millis fleetListPause { 1'000 }; // Between two lists of instances, at most.

} // namespace

void WorkerHealth::noteSuccess(MonotonicInstant)
{
    m_failedJobs.clear();
    m_failures = 0;
    m_quarantines = 0;
    m_onProbation = false;
}

void WorkerHealth::noteFailure(const std::string& job, MonotonicInstant now)
{
    m_failedJobs.insert(job);
    ++m_failures;
    const bool strikes = m_onProbation || (m_failures >= failuresToQuarantine && m_failedJobs.size() >= jobsToQuarantine);
    if (!strikes || isQuarantined(now))
        return;
    m_quarantinedUntil = now + firstQuarantine * (1U << std::min(m_quarantines, mostDoublings));
    ++m_quarantines;
    m_onProbation = true;
}

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
        && !health.isQuarantined(now) && (!health.isOnProbation() || bookings.empty());
}

MonotonicInstant WorkerBook::establishedAt() const
{
    return knownSince + fleetListLag + fleetListPause;
}

bool WorkerBook::isVerifiedUp(MonotonicInstant now) const
{
    return session->answeredSince(now - minProbation);
}

bool WorkerBook::isProbablyUp(MonotonicInstant now) const
{
    return session->answeredSince(now - probablyUpFor);
}

bool WorkerBook::takesRecordedStart() const
{
    return listed && !entry.draining && !evacuating && isHallOpen() && !session->isSilent() && !session->isLifeOver() && isEntryOfLife() && entry.capacity.covers(bookings.used());
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
    site.servingTasks = bookings.servingTasks();
    site.bestEffortTasks = bookings.bestEffortTasks();
    for (const auto& [attempt, suspicion] : bookings.suspects())
        site.suspects.push_back({ quarantineKey(attempt, bookings.at(attempt).step->longRunning), suspicion });
    return site;
}

} // namespace lanemoor::jobs
