#include "lanemoor/jobs/policy/placement.h"

#include "lanemoor/jobs/policy/crash_attribution.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr std::uint32_t unlimitedStarts = std::numeric_limits<std::uint32_t>::max();

bool isFar(const PlacementSite& site, const StepSpec& step)
{
    return !step.preferredRack.empty() && !hasLabel(*site.worker, step.preferredRack);
}

/// \param site A site that accepts tasks.
bool fits(const PlacementSite& site, const StepSpec& step, const Resources& needs)
{
    return site.free.covers(needs)
        && (step.requiredLabel.empty() || hasLabel(*site.worker, step.requiredLabel)) && (site.reservedForLabel.empty() || site.reservedForLabel == step.requiredLabel);
}

/// \returns Whether serving and best-effort tasks would share the site.
bool wouldMix(const PlacementSite& site, const StepSpec& step)
{
    return (step.bestEffort && site.servingTasks > 0) || (step.latencyTarget.count() > 0 && site.bestEffortTasks > 0);
}

/// \returns Whether a site has a suspect to be separated from the task, with at least this many crashes.
bool hasSuspect(const PlacementSite& site, const PlacementQuery& query, std::uint32_t suspectedCrashes)
{
    return std::any_of(site.suspects.begin(), site.suspects.end(), [&](const SiteSuspect& suspect) { return suspect.quarantineKey != query.quarantineKey && suspect.suspectedCrashes >= suspectedCrashes; });
}

/// \returns Whether the task must not share the site, because it or a task there may have caused too many crashes.
bool isIsolated(const PlacementSite& site, const PlacementQuery& query)
{
    return !site.suspects.empty() && hasSuspect(site, query, query.suspectedCrashes >= crashesToIsolate ? 1 : crashesToIsolate);
}

/// Drawbacks of a site in the order of their priority; smaller is better.
using Drawbacks = std::tuple<bool, bool, bool, bool, bool, bool, bool, std::uint32_t>;
/// By drawbacks, then the fullest site, then the lowest index.
using Rank = std::tuple<Drawbacks, std::int64_t, std::size_t>;

Drawbacks drawbacksOf(const PlacementSite& site, const StepSpec& step, const PlacementQuery& query)
{
    const bool avoided = !query.avoidWorker.empty() && site.worker->id == query.avoidWorker;
    const bool besideSuspect = !site.suspects.empty() && hasSuspect(site, query, 1);
    const bool besideRecent = query.suspectedCrashes >= crashesToIsolate && site.hasRecentStarts;
    // A crash caused by a suspect, or a failure of a step at fault, shows nothing about the worker's health.
    const bool isUselessProbe = (query.suspectedCrashes > 0 || query.isStepAtFault) && site.probing;
    return { avoided, isUselessProbe, besideSuspect, besideRecent, !site.preferred, isFar(site, step), wouldMix(site, step), step.requiredLabel.empty() ? site.labelDemand : 0 };
}

std::int64_t fullnessOf(const PlacementSite& site, const StepSpec& step, const PlacementQuery& query)
{
    if (query.suspectedCrashes > 0)
        return -site.free.milliCpu;
    // Best-effort tasks take no processor time, so the site with the fewest of them comes first.
    return step.bestEffort ? std::int64_t { site.bestEffortTasks } : site.free.milliCpu;
}

/// \returns Whether only the label and the needs decide which sites are allowed.
bool needsOnlyCapacity(const StepSpec& step, const PlacementQuery& query)
{
    const bool isNear = query.nearOnly && !step.preferredRack.empty();
    return query.rack.empty() && !isNear && !query.admits && step.maxPerInstance == 0;
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

std::uint32_t labelDemandLevel(std::int64_t demandMilliCpu, std::int64_t supplyMilliCpu) noexcept
{
    constexpr std::int64_t levels = 8;
    constexpr std::int64_t maxLevel = 16;
    if (demandMilliCpu <= 0)
        return 0;
    return static_cast<std::uint32_t>(std::min(1 + demandMilliCpu * levels / std::max<std::int64_t>(supplyMilliCpu, 1), maxLevel));
}

std::int64_t asMilliCpu(const Resources& used, const Resources& capacity) noexcept
{
    const auto scaled = [&](std::int64_t part, std::int64_t whole) { return whole > 0 ? part * capacity.milliCpu / whole : 0; };
    return std::max({ used.milliCpu, scaled(used.memoryMb, capacity.memoryMb), scaled(used.accelerators, capacity.accelerators) });
}

Placer::Placer(std::vector<PlacementSite> sites)
    : m_sites(std::move(sites))
{
    m_byFree.reserve(m_sites.size());
    for (std::size_t i = 0; i < m_sites.size(); ++i) {
        if (m_sites[i].open && !m_sites[i].worker->draining)
            placesOf(i).emplace_back(m_sites[i].free.milliCpu, i);
    }
    std::sort(m_byFree.begin(), m_byFree.end());
    std::sort(m_distrusted.begin(), m_distrusted.end());
}

bool Placer::isKnownFull(const StepSpec& step, const Resources& needs) const
{
    return std::any_of(m_noRoom.begin(), m_noRoom.end(), [&](const NoRoom& full) { return full.label == step.requiredLabel && needs.covers(full.needs); });
}

bool Placer::isKnownFull(const StepSpec& step) const
{
    return isKnownFull(step, footprint(step));
}

/// Best site of a range.
struct Placer::Choice {
    std::optional<Rank> best;
    bool isKeptApart = false; ///< A site that may have room was skipped because of a suspect.

    [[nodiscard]] bool hasNoDrawbacks() const { return best && std::get<Drawbacks>(*best) == Drawbacks {}; }

    void merge(const Choice& other)
    {
        isKeptApart = isKeptApart || other.isKeptApart;
        // On equal drawbacks the first data hall wins: a fuller site in another one is no better.
        if (other.best && (!best || std::get<Drawbacks>(*other.best) < std::get<Drawbacks>(*best)))
            best = other.best;
    }
};

std::optional<std::size_t> Placer::choose(const StepSpec& step, const PlacementQuery& query) const
{
    const Resources needs = footprint(step);
    if (isKnownFull(step, needs))
        return std::nullopt;
    Choice choice = query.tasksByHall ? chooseSpread(step, query) : chooseFrom(m_byFree, step, query);
    if (!choice.best && !m_distrusted.empty()) {
        const Choice last = chooseFrom(m_distrusted, step, query);
        choice = { .best = last.best, .isKeptApart = choice.isKeptApart || last.isKeptApart };
    }
    if (choice.best)
        return std::get<std::size_t>(*choice.best);
    if (needsOnlyCapacity(step, query) && !choice.isKeptApart)
        m_noRoom.push_back({ .label = step.requiredLabel, .needs = needs });
    return std::nullopt;
}

Placer::Choice Placer::chooseFrom(const Places& places, const StepSpec& step, const PlacementQuery& query) const
{
    const Resources needs = footprint(step);
    Choice choice;
    for (auto place = std::lower_bound(places.begin(), places.end(), Place { needs.milliCpu, 0 }); place != places.end(); ++place) {
        ++m_inspected;
        const std::size_t index = place->second;
        const PlacementSite& site = m_sites[index];
        if (site.startsLeft == 0 || !fits(site, step, needs) || (!query.rack.empty() && site.worker->rack != query.rack))
            continue;
        if (query.nearOnly && isFar(site, step))
            continue;
        if (isIsolated(site, query)) {
            choice.isKeptApart = true;
            continue;
        }
        if (query.admits && !query.admits(index))
            continue;
        if (step.maxPerInstance > 0 && query.tasksOfStep && query.tasksOfStep(index) >= step.maxPerInstance)
            continue;
        const Rank rank { drawbacksOf(site, step, query), fullnessOf(site, step, query), index };
        if (!choice.best || rank < *choice.best)
            choice.best = rank;
        // No emptier site can be better.
        if (!step.bestEffort && query.suspectedCrashes == 0 && choice.hasNoDrawbacks())
            break;
    }
    return choice;
}

/// Stops at the first data hall whose best site has no drawbacks, so that most choices inspect one data hall.
Placer::Choice Placer::chooseSpread(const StepSpec& step, const PlacementQuery& query) const
{
    sortByHall();
    const auto tasksIn = [&](const std::string& hall) {
        const auto found = query.tasksByHall->find(hall);
        return found == query.tasksByHall->end() ? 0U : found->second;
    };
    std::vector<std::pair<std::uint32_t, const Places*>> halls;
    for (const auto& [hall, places] : m_byHall)
        halls.emplace_back(tasksIn(hall), &places);
    std::stable_sort(halls.begin(), halls.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    Choice choice;
    for (const auto& [tasks, places] : halls) {
        choice.merge(chooseFrom(*places, step, query));
        if (choice.hasNoDrawbacks())
            break;
    }
    return choice;
}

void Placer::sortByHall() const
{
    if (!m_byHall.empty())
        return;
    for (const Place& place : m_byFree)
        m_byHall[m_sites[place.second].worker->dataHall].push_back(place);
}

/// Moves a site to its new position after its free capacity has changed.
void Placer::move(std::size_t index, const Resources& before)
{
    const Place from { before.milliCpu, index };
    const Place now { m_sites[index].free.milliCpu, index };
    if (from == now)
        return;
    move(placesOf(index), from, now);
    if (const auto hall = m_byHall.find(m_sites[index].worker->dataHall); hall != m_byHall.end())
        move(hall->second, from, now);
}

void Placer::move(Places& places, const Place& before, const Place& now)
{
    const auto from = std::lower_bound(places.begin(), places.end(), before);
    if (from == places.end() || *from != before)
        return;
    const auto to = std::lower_bound(places.begin(), places.end(), now);
    *from = now;
    if (to <= from)
        std::rotate(to, from, from + 1);
    else
        std::rotate(from, from + 1, to);
}

void Placer::reserve(std::size_t index, const StepSpec& step)
{
    PlacementSite& site = m_sites[index];
    const Resources before = site.free;
    site.free -= footprint(step);
    site.hasRecentStarts = true;
    site.startsLeft -= site.startsLeft == unlimitedStarts ? 0 : 1;
    move(index, before);
    site.servingTasks += step.latencyTarget.count() > 0 ? 1 : 0;
    site.bestEffortTasks += step.bestEffort ? 1 : 0;
}

void Placer::noteSuspect(std::size_t index, const std::string& quarantineKey, std::uint32_t suspectedCrashes)
{
    m_sites[index].suspects.push_back({ quarantineKey, suspectedCrashes });
}

void Placer::release(std::size_t index, const StepSpec& step)
{
    PlacementSite& site = m_sites[index];
    const Resources before = site.free;
    site.free += footprint(step);
    site.startsLeft += site.startsLeft == unlimitedStarts ? 0 : 1;
    move(index, before);
    m_noRoom.clear();
    site.servingTasks -= step.latencyTarget.count() > 0 ? 1 : 0;
    site.bestEffortTasks -= step.bestEffort ? 1 : 0;
}

} // namespace lanemoor::jobs
