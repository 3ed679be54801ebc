#include "lanemoor/jobs/policy/maintenance_plan.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Workers emptied ahead of those that may go down now, so that none of the slots stays idle.
constexpr std::uint32_t evacuateAhead = 2;
/// Of a pool's workers, at most one in this many is emptied or down at once.
constexpr std::uint32_t poolShare = 4;
/// A wave that is paced ends after this share of its time; the rest is for what goes wrong.
constexpr double pacedShare = 0.6;
/// A worker with tasks that need its kind is emptied for so long at a time, since they may find no room
/// elsewhere: another may be on its way, which takes 1.5 s, and tasks go one after the other.
constexpr Millis patience { 8'000 };
/// Then it has work again for so long.
constexpr Millis putOff { 4'000 };
/// Of one instance's maintenance, with the time to empty it.
constexpr Millis timeOfOne { 5'000 };

} // namespace

MaintenancePlan::MaintenancePlan(WaveRequest wave, std::set<std::string> done, MonotonicInstant now)
    : m_wave(std::move(wave))
    , m_paceBy(now + std::chrono::duration_cast<Millis>(m_wave.duration * pacedShare))
    , m_done(std::move(done))
{
}

std::uint32_t MaintenancePlan::down(MonotonicInstant now) const
{
    const auto isDown = [&](const auto& entry) { return entry.second > now && !m_ordered.contains(entry.first); };
    return static_cast<std::uint32_t>(m_ordered.size()) + static_cast<std::uint32_t>(std::count_if(m_backBy.begin(), m_backBy.end(), isDown));
}

/// \returns Instances that must be under way at once so that the wave ends in time.
std::uint32_t MaintenancePlan::pace(MonotonicInstant now) const
{
    const std::size_t left = m_wave.instances.size() - std::min(m_done.size(), m_wave.instances.size());
    if (now >= m_paceBy)
        return m_wave.maxConcurrent;
    const double needed = static_cast<double>(left) * std::chrono::duration<double>(timeOfOne) / std::chrono::duration<double>(m_paceBy - now);
    return std::min(m_wave.maxConcurrent, static_cast<std::uint32_t>(std::ceil(needed)));
}

MaintenanceStep MaintenancePlan::next(const std::vector<MaintenanceCandidate>& fleet, bool hasShortage, MonotonicInstant now)
{
    MaintenanceStep step;
    std::map<std::string, std::uint32_t> sizes; // By pool.
    std::map<std::string, std::uint32_t> taken;
    std::vector<const MaintenanceCandidate*> due;
    for (const MaintenanceCandidate& candidate : fleet) {
        ++sizes[candidate.pool];
        const bool wanted = m_wave.contains(candidate.instance);
        const auto back = m_backBy.find(candidate.instance);
        if (candidate.evacuating || (back != m_backBy.end() && back->second > now))
            ++taken[candidate.pool];
        if (wanted && candidate.up && !m_done.contains(candidate.instance) && !m_ordered.contains(candidate.instance))
            due.push_back(&candidate);
    }
    std::sort(due.begin(), due.end(), [](const auto* a, const auto* b) {
        return std::tuple(!a->reserve, !a->evacuating, a->attempts, a->instance) < std::tuple(!b->reserve, !b->evacuating, b->attempts, b->instance);
    });
    const std::uint32_t downNow = down(now);
    const std::uint32_t most = hasShortage ? pace(now) : m_wave.maxConcurrent;
    std::uint32_t slots = most > downNow ? most - downNow : 0;
    // While a pool is short, those being emptied and those that are down are paced together.
    std::uint32_t evacuations = hasShortage ? std::max(slots, 1U) : most + evacuateAhead;
    for (const MaintenanceCandidate* candidate : due) {
        const auto retry = m_retryAt.find(candidate->instance);
        if (retry != m_retryAt.end() && retry->second > now)
            continue;
        const bool isEmpty = candidate->reserve || candidate->worker.empty() || (candidate->evacuating && candidate->attempts == 0);
        if (isEmpty) {
            if (slots == 0)
                continue;
            step.maintain.push_back(candidate->instance);
            --slots;
            continue;
        }
        if (candidate->evacuating && candidate->pinned && now - candidate->evacuatingSince > patience) {
            m_retryAt[candidate->instance] = now + putOff;
            step.release.push_back(candidate->worker);
            continue;
        }
        if (evacuations == 0 || (candidate->pinned && candidate->lastOfKind && !candidate->evacuating))
            continue;
        --evacuations;
        if (candidate->evacuating)
            continue;
        if (taken[candidate->pool] >= std::max(sizes[candidate->pool] / poolShare, 1U))
            continue;
        ++taken[candidate->pool];
        step.evacuate.push_back(candidate->worker);
    }
    return step;
}

void MaintenancePlan::noteOrdered(const std::string& instance)
{
    m_ordered.insert(instance);
}

void MaintenancePlan::noteBegun(const std::string& instance, MonotonicInstant backBy)
{
    m_ordered.erase(instance);
    m_done.insert(instance);
    m_backBy[instance] = backBy;
}

void MaintenancePlan::noteMayBeDown(const std::string& instance, MonotonicInstant backBy)
{
    m_backBy[instance] = std::max(m_backBy[instance], backBy);
}

void MaintenancePlan::noteRefused(const std::string& instance, MonotonicInstant retryAt)
{
    m_ordered.erase(instance);
    m_retryAt[instance] = retryAt;
}

void MaintenancePlan::noteGone(const std::string& instance)
{
    m_ordered.erase(instance);
    m_done.insert(instance);
}

bool MaintenancePlan::isFinished() const noexcept
{
    return std::all_of(m_wave.instances.begin(), m_wave.instances.end(), [&](const std::string& instance) { return m_done.contains(instance); });
}

} // namespace lanemoor::jobs
