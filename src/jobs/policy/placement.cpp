#include "lanemoor/jobs/policy/placement.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lanemoor::jobs {

namespace {

bool isFar(const PlacementSite& site, const StepSpec& step)
{
    return !step.preferredRack.empty() && !hasLabel(*site.worker, step.preferredRack);
}

bool fits(const PlacementSite& site, const StepSpec& step)
{
    return site.open && !site.worker->draining && site.free.covers(footprint(step))
        && (step.requiredLabel.empty() || hasLabel(*site.worker, step.requiredLabel)) && (site.keptFor.empty() || site.keptFor == step.requiredLabel);
}

/// \returns Whether serving and best-effort tasks would share the site.
bool wouldMix(const PlacementSite& site, const StepSpec& step)
{
    return (step.bestEffort && site.servingTasks > 0) || (step.latencyTarget.count() > 0 && site.bestEffortTasks > 0);
}

/// Smaller is better; the fields in the order in which they decide.
using Rank = std::tuple<bool, bool, bool, bool, std::uint32_t, std::int64_t>;

Rank rankOf(const PlacementSite& site, const StepSpec& step, const PlacementQuery& query)
{
    const bool avoided = site.worker->id == query.avoidWorker;
    // Best-effort tasks take no processor time of their own: fewest of them on a site first.
    const std::int64_t fullness = step.bestEffort ? std::int64_t { site.bestEffortTasks } : site.free.milliCpu;
    return { avoided, !site.preferred, isFar(site, step), wouldMix(site, step), step.requiredLabel.empty() ? site.wanted : 0, fullness };
}

} // namespace

bool hasLabel(const WorkerEntry& worker, std::string_view label) noexcept
{
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

Resources footprint(const StepSpec& step) noexcept
{
    Resources needs = step.needs;
    if (step.bestEffort)
        needs.milliCpu = 0;
    return needs;
}

std::uint32_t wantedLevel(std::int64_t demandMilliCpu, std::int64_t supplyMilliCpu) noexcept
{
    constexpr std::int64_t levels = 8;
    constexpr std::int64_t highest = 16;
    if (demandMilliCpu <= 0)
        return 0;
    return static_cast<std::uint32_t>(std::min(1 + demandMilliCpu * levels / std::max<std::int64_t>(supplyMilliCpu, 1), highest));
}

std::int64_t asMilliCpu(const Resources& used, const Resources& capacity) noexcept
{
    const auto scaled = [&](std::int64_t part, std::int64_t whole) { return whole > 0 ? part * capacity.milliCpu / whole : 0; };
    return std::max({ used.milliCpu, scaled(used.memoryMb, capacity.memoryMb), scaled(used.accelerators, capacity.accelerators) });
}

Placer::Placer(std::vector<PlacementSite> sites)
    : m_sites(std::move(sites))
{
}

std::optional<std::size_t> Placer::choose(const StepSpec& step, const PlacementQuery& query) const
{
    std::optional<std::size_t> best;
    Rank bestRank;
    m_inspected += m_sites.size();
    for (std::size_t i = 0; i < m_sites.size(); ++i) {
        const PlacementSite& site = m_sites[i];
        if (!fits(site, step) || (!query.rack.empty() && site.worker->rack != query.rack))
            continue;
        if (query.nearOnly && isFar(site, step))
            continue;
        if (query.admits && !query.admits(i))
            continue;
        if (step.mostPerInstance > 0 && query.tasksOfStep && query.tasksOfStep(i) >= step.mostPerInstance)
            continue;
        const Rank rank = rankOf(site, step, query);
        if (!best || rank < bestRank) {
            best = i;
            bestRank = rank;
        }
    }
    return best;
}

void Placer::book(std::size_t index, const StepSpec& step)
{
    PlacementSite& site = m_sites[index];
    site.free -= footprint(step);
    site.servingTasks += step.latencyTarget.count() > 0 ? 1 : 0;
    site.bestEffortTasks += step.bestEffort ? 1 : 0;
}

void Placer::release(std::size_t index, const StepSpec& step)
{
    PlacementSite& site = m_sites[index];
    site.free += footprint(step);
    site.servingTasks -= step.latencyTarget.count() > 0 ? 1 : 0;
    site.bestEffortTasks -= step.bestEffort ? 1 : 0;
}

} // namespace lanemoor::jobs
