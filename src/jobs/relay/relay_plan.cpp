#include "lanemoor/jobs/relay/relay_plan.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

namespace {

constexpr double unknownCores = 1.0;
constexpr double leastCapacity = 1.0; // A relay carries one worker at least.
/// A relay gives workers away once it has so many more than its share. Relays come one after the
/// other, and the first ones would keep all workers.
constexpr double unevenness = 1.25;

} // namespace

RelayPlan::RelayPlan(RelayOptions options, double ownCores)
    : m_options(options)
    , m_ownCapacity(capacityOf(ownCores))
{
}

double RelayPlan::capacityOf(double cores) const
{
    return std::max((cores > 0 ? cores : unknownCores) * m_options.workersPerCore, leastCapacity);
}

void RelayPlan::addRelay(const std::string& name, double cores)
{
    m_relays[name].capacity = capacityOf(cores);
    resize();
}

void RelayPlan::removeRelay(const std::string& name)
{
    if (m_relays.erase(name) == 0)
        return;
    for (auto& [worker, relay] : m_relayByWorker) {
        if (relay == name)
            relay.clear();
    }
    resize();
}

std::string RelayPlan::relayOf(const std::string& worker)
{
    const auto [place, isNew] = m_relayByWorker.try_emplace(worker);
    if (isNew)
        resize();
    if (m_inUse > 0 && (place->second.empty() || isOverloaded(place->second)))
        choose(place->second);
    return place->second;
}

bool RelayPlan::isOverloaded(const std::string& relay) const
{
    const Relay& used = m_relays.at(relay);
    return static_cast<double>(used.workers) > 1 + unevenness * m_fairShare * used.capacity;
}

void RelayPlan::forget(const std::string& worker)
{
    const auto found = m_relayByWorker.find(worker);
    if (found == m_relayByWorker.end())
        return;
    const auto relay = m_relays.find(found->second);
    if (relay != m_relays.end())
        --relay->second.workers;
    m_relayByWorker.erase(found);
    resize();
}

/// Takes as many relays into use as the workers need, and lets those go that are far too many.
void RelayPlan::resize()
{
    const auto needed = static_cast<double>(m_relayByWorker.size());
    const bool relays = m_options.workersPerCore > 0 && needed > (m_inUse > 0 ? m_ownCapacity / m_options.shrinkAt : m_ownCapacity);
    std::vector<std::pair<const std::string, Relay>*> largestFirst;
    for (auto& relay : m_relays)
        largestFirst.push_back(&relay);
    std::stable_sort(largestFirst.begin(), largestFirst.end(), [](const auto* a, const auto* b) { return a->second.capacity > b->second.capacity; });
    double capacity = 0;
    double capacityInUse = 0;
    m_inUse = 0;
    for (auto* relay : largestFirst) {
        const double enough = relay->second.inUse ? needed * m_options.shrinkAt : needed;
        const bool isUsed = relays && capacity < enough;
        capacity += relay->second.capacity;
        m_inUse += isUsed ? 1 : 0;
        capacityInUse += isUsed ? relay->second.capacity : 0;
        if (std::exchange(relay->second.inUse, isUsed) == isUsed || isUsed)
            continue;
        relay->second.workers = 0;
        for (auto& [worker, name] : m_relayByWorker) {
            if (name == relay->first)
                name.clear();
        }
    }
    m_fairShare = capacityInUse > 0 ? needed / capacityInUse : 0;
}

/// Gives a worker to the relay in use with the smallest share of its capacity taken.
void RelayPlan::choose(std::string& relay)
{
    std::pair<const std::string, Relay>* best = nullptr;
    const auto share = [](const Relay& each) { return static_cast<double>(each.workers) / each.capacity; };
    for (auto& each : m_relays) {
        if (each.second.inUse && (!best || share(each.second) < share(best->second)))
            best = &each;
    }
    if (!best || best->first == relay)
        return;
    if (const auto former = m_relays.find(relay); former != m_relays.end())
        --former->second.workers;
    ++best->second.workers;
    relay = best->first;
}

} // namespace lanemoor::jobs
