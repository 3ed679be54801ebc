#include "lanemoor/jobs/policy/maintenance_plan.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Workers evacuated beyond the current limit, so that no maintenance slot stays idle.
constexpr std::uint32_t evacuateAhead = 2;
/// At most one in this many of a pool's workers is evacuated or down at once.
constexpr std::uint32_t poolShare = 4;
/// A paced wave is planned to end after this share of its time; the rest is slack for faults.
constexpr double pacedShare = 0.6;
/// Max time to evacuate a worker whose tasks need its kind, since they may find no room elsewhere: another instance may be on its
/// way, which takes 1.5 s, and tasks move one after the other.
constexpr Millis maxEvacuationTime { 8'000 };
/// The worker gets tasks again for this long afterwards.
constexpr Millis evacuationInterval { 4'000 };
/// Time for one instance's maintenance, including its evacuation.
constexpr Millis timePerInstance { 5'000 };

} // namespace

MaintenancePlan::MaintenancePlan(WaveRequest wave, std::set<std::string> done, MonotonicInstant now)
    : m_wave(std::move(wave))
    , m_requestedBy(now)
    , m_paceDeadline(now + std::chrono::duration_cast<Millis>(m_wave.duration * pacedShare))
    , m_done(std::move(done))
{
}

std::uint32_t MaintenancePlan::down(MonotonicInstant now) const
{
    const auto isDown = [&](const auto& entry) { return entry.second > now && !m_requested.contains(entry.first); };
    return static_cast<std::uint32_t>(m_requested.size()) + static_cast<std::uint32_t>(std::count_if(m_backBy.begin(), m_backBy.end(), isDown));
}

/// \returns Number of instances that must be in progress at once for the wave to end in time.
std::uint32_t MaintenancePlan::requiredConcurrency(MonotonicInstant now) const
{
    const std::size_t left = m_wave.instances.size() - std::min(m_done.size(), m_wave.instances.size());
    if (now >= m_paceDeadline)
        return m_wave.maxConcurrent;
    const double needed = static_cast<double>(left) * std::chrono::duration<double>(timePerInstance) / std::chrono::duration<double>(m_paceDeadline - now);
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
        dropIfReplaced(candidate);
        if (candidate.evacuating || mayBeDown(candidate.instance, now))
            ++taken[candidate.pool];
        if (isDue(candidate, now))
            due.push_back(&candidate);
    }
    std::sort(due.begin(), due.end(), [](const auto* a, const auto* b) {
        return std::tuple(!a->reserve, !a->evacuating, a->attempts, a->instance) < std::tuple(!b->reserve, !b->evacuating, b->attempts, b->instance);
    });
    const std::uint32_t downNow = down(now);
    const std::uint32_t maxDown = hasShortage ? requiredConcurrency(now) : m_wave.maxConcurrent;
    std::uint32_t slots = maxDown > downNow ? maxDown - downNow : 0;
    // While a pool is short, evacuations and instances that are down share one limit.
    std::uint32_t evacuations = hasShortage ? std::max(slots, 1U) : maxDown + evacuateAhead;
    for (const MaintenanceCandidate* candidate : due) {
        const auto retry = m_retryAt.find(candidate->instance);
        if (retry != m_retryAt.end() && retry->second > now)
            continue;
        // A request that was carried out without a response is confirmed before there is a worker that its repetition could affect.
        if (candidate->inMaintenance) {
            step.maintain.push_back(candidate->instance);
            continue;
        }
        const bool isEmpty = candidate->reserve || candidate->worker.empty() || (candidate->evacuating && candidate->attempts == 0);
        if (isEmpty) {
            if (slots == 0)
                continue;
            step.maintain.push_back(candidate->instance);
            if (!candidate->worker.empty())
                m_workersToEvacuate[candidate->instance] = candidate->worker;
            --slots;
            continue;
        }
        if (candidate->evacuating && candidate->pinned && now - candidate->evacuatingSince > maxEvacuationTime) {
            m_retryAt[candidate->instance] = now + evacuationInterval;
            step.release.push_back(candidate->worker);
            m_workersToEvacuate.erase(candidate->instance);
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
        m_workersToEvacuate[candidate->instance] = candidate->worker;
    }
    return step;
}

bool MaintenancePlan::mayBeDown(const std::string& instance, MonotonicInstant now) const
{
    const auto back = m_backBy.find(instance);
    return back != m_backBy.end() && back->second > now;
}

/// \returns Whether the instance's maintenance is to be requested, or requested again.
bool MaintenancePlan::isDue(const MaintenanceCandidate& candidate, MonotonicInstant now) const
{
    const std::string& instance = candidate.instance;
    if (!m_wave.contains(instance) || m_done.contains(instance) || m_requested.contains(instance))
        return false;
    // A repeated request needs no slot while the instance occupies that of the earlier one.
    return candidate.up || (candidate.inMaintenance && mayBeMaintained(instance) && mayBeDown(instance, now));
}

/// An evacuation ends with the incarnation that it was decided for. An instance without a worker may be in the maintenance that a call without
/// a response has begun.
void MaintenancePlan::dropIfReplaced(const MaintenanceCandidate& candidate)
{
    const auto evacuated = m_workersToEvacuate.find(candidate.instance);
    if (evacuated != m_workersToEvacuate.end() && !candidate.worker.empty() && evacuated->second != candidate.worker)
        m_workersToEvacuate.erase(evacuated);
}

void MaintenancePlan::noteRequested(const std::string& instance)
{
    m_requested.insert(instance);
}

void MaintenancePlan::noteAccepted(const std::string& instance, MonotonicInstant backBy)
{
    noteRemoved(instance);
    m_backBy[instance] = backBy;
}

void MaintenancePlan::noteMayBeDown(const std::string& instance, MonotonicInstant backBy)
{
    m_backBy[instance] = std::max(m_backBy[instance], backBy);
    m_mayBeMaintained.insert(instance);
}

void MaintenancePlan::noteMayBeMaintained()
{
    m_mayBeMaintained.insert(m_wave.instances.begin(), m_wave.instances.end());
}

void MaintenancePlan::noteRefused(const std::string& instance, MonotonicInstant retryAt)
{
    m_requested.erase(instance);
    m_retryAt[instance] = retryAt;
}

void MaintenancePlan::noteRemoved(const std::string& instance)
{
    m_requested.erase(instance);
    m_workersToEvacuate.erase(instance);
    m_done.insert(instance);
}

std::vector<std::string> MaintenancePlan::noteList(const std::set<std::string>& listed, MonotonicInstant requestedAt)
{
    std::vector<std::string> removed;
    if (requestedAt < m_requestedBy)
        return removed;
    for (const std::string& instance : m_wave.instances) {
        if (listed.contains(instance)) {
            m_unlistedSince.erase(instance);
            continue;
        }
        const MonotonicInstant since = m_unlistedSince.emplace(instance, requestedAt).first->second;
        if (requestedAt - since >= maxFleetListLag && !m_done.contains(instance) && !m_requested.contains(instance))
            removed.push_back(instance);
    }
    for (const std::string& instance : removed)
        noteRemoved(instance);
    return removed;
}

bool MaintenancePlan::isFinished() const noexcept
{
    return std::all_of(m_wave.instances.begin(), m_wave.instances.end(), [&](const std::string& instance) { return m_done.contains(instance); });
}

} // namespace lanemoor::jobs
