#include "lanemoor/jobs/maintenance_plan.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Workers emptied ahead of those that may go down now, so that none of the slots stays idle.
constexpr std::uint32_t evacuateAhead = 2;
/// Of a pool's workers, at most one in this many is emptied or down at once.
constexpr std::uint32_t poolShare = 4;

} // namespace

MaintenancePlan::MaintenancePlan(WaveRequest wave, std::set<std::string> done)
    : m_wave(std::move(wave))
    , m_done(std::move(done))
{
}

std::uint32_t MaintenancePlan::down(MonotonicInstant now) const
{
    const auto isDown = [&](const auto& entry) { return entry.second > now; };
    return static_cast<std::uint32_t>(m_ordered.size()) + static_cast<std::uint32_t>(std::count_if(m_backBy.begin(), m_backBy.end(), isDown));
}

MaintenanceStep MaintenancePlan::next(const std::vector<MaintenanceCandidate>& fleet, MonotonicInstant now)
{
    MaintenanceStep step;
    std::map<std::string, std::uint32_t> sizes; // By pool.
    std::map<std::string, std::uint32_t> taken;
    std::vector<const MaintenanceCandidate*> due;
    for (const MaintenanceCandidate& candidate : fleet) {
        ++sizes[candidate.pool];
        const bool wanted = std::find(m_wave.instances.begin(), m_wave.instances.end(), candidate.instance) != m_wave.instances.end();
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
    std::uint32_t slots = m_wave.mostAtOnce > downNow ? m_wave.mostAtOnce - downNow : 0;
    std::uint32_t evacuations = m_wave.mostAtOnce + evacuateAhead;
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
        if (evacuations == 0)
            continue;
        --evacuations;
        if (candidate->evacuating)
            continue;
        const std::uint32_t most = std::max(sizes[candidate->pool] / poolShare, 1U);
        if (taken[candidate->pool] >= most)
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
