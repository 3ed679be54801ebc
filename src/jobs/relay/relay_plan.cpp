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
/// Calls in a row without an answer of a worker. A lost rack has some 12 workers, whose calls are spread over relays and
/// mixed with those of others.
constexpr std::uint32_t unansweredToRest = 8;
constexpr Millis rest { 5'000 };
constexpr std::uint32_t mostDoublings = 3; // Of the rest, if it is in vain.
/// The plan is made anew when the number of workers has changed by one in so many. Each move of an instance ends a life and
/// begins another: at a turn of load 600 of 1,100 in a second, each of which sorted 146 relays twice.
constexpr std::size_t planSteps = 100;

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
    m_relays[name].fullCapacity = capacityOf(cores);
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

void RelayPlan::noteAnswered(const std::string& relay)
{
    const auto found = m_relays.find(relay);
    if (found == m_relays.end())
        return;
    found->second.unanswered = 0;
    found->second.rests = 0;
    if (std::exchange(found->second.onProbation, false))
        resize();
}

void RelayPlan::noteUnanswered(const std::string& relay, const std::string& worker, MonotonicInstant now)
{
    m_now = now;
    const auto place = m_relayByWorker.find(worker);
    const auto found = m_relays.find(relay);
    if (found == m_relays.end() || place == m_relayByWorker.end() || place->second != relay)
        return;
    if (found->second.onProbation || ++found->second.unanswered >= unansweredToRest) {
        found->second.unanswered = 0;
        found->second.onProbation = true;
        found->second.restsUntil = now + rest * (1U << std::min(found->second.rests++, mostDoublings));
        for (auto& [id, name] : m_relayByWorker) {
            if (name == relay)
                name.clear();
        }
        found->second.workers = 0;
        resize();
        return;
    }
    // Any other one in use.
    for (auto& [name, other] : m_relays) {
        if (name == relay || !other.inUse || other.workers > found->second.workers + 1)
            continue;
        release(relay);
        ++other.workers;
        place->second = name;
        return;
    }
}

void RelayPlan::release(const std::string& relay)
{
    const auto found = m_relays.find(relay);
    if (found != m_relays.end())
        --found->second.workers;
}

std::string RelayPlan::relayOf(const std::string& worker, MonotonicInstant now)
{
    m_now = now;
    const auto [place, isNew] = m_relayByWorker.try_emplace(worker);
    if (m_restEndsAt && now >= *m_restEndsAt)
        resize();
    else if (isNew)
        noteSize();
    if (m_inUse > 0 && (place->second.empty() || isOverloaded(place->second) || m_awaitsProbe))
        choose(place->second);
    return place->second;
}

bool RelayPlan::isOverloaded(const std::string& relay) const
{
    const Relay& used = m_relays.at(relay);
    return static_cast<double>(used.workers) > 1 + unevenness * m_fairShare * used.capacity();
}

std::string RelayPlan::forget(const std::string& worker)
{
    const auto found = m_relayByWorker.find(worker);
    if (found == m_relayByWorker.end())
        return {};
    std::string relay = std::move(found->second);
    release(relay);
    m_relayByWorker.erase(found);
    noteSize();
    return relay;
}

void RelayPlan::noteSize()
{
    const std::size_t now = m_relayByWorker.size();
    const std::size_t change = now > m_plannedFor ? now - m_plannedFor : m_plannedFor - now;
    if (change * planSteps >= std::max(now, m_plannedFor))
        resize();
}

/// Takes as many relays into use as the workers need, and lets those go that are far too many.
void RelayPlan::resize()
{
    m_plannedFor = m_relayByWorker.size();
    const auto needed = static_cast<double>(m_plannedFor);
    const bool relays = m_options.workersPerCore > 0 && needed > (m_inUse > 0 ? m_ownCapacity / m_options.shrinkAt : m_ownCapacity);
    std::vector<std::pair<const std::string, Relay>*> largestFirst;
    for (auto& relay : m_relays)
        largestFirst.push_back(&relay);
    std::stable_sort(largestFirst.begin(), largestFirst.end(), [](const auto* a, const auto* b) { return a->second.fullCapacity > b->second.fullCapacity; });
    double capacity = 0;
    double capacityInUse = 0;
    m_inUse = 0;
    m_restEndsAt.reset();
    m_awaitsProbe = false;
    for (auto* relay : largestFirst) {
        const double enough = relay->second.inUse ? needed * m_options.shrinkAt : needed;
        const bool rests = relay->second.restsUntil > m_now;
        if (rests)
            m_restEndsAt = std::min(m_restEndsAt.value_or(relay->second.restsUntil), relay->second.restsUntil);
        const bool isUsed = relays && capacity < enough && !rests;
        capacity += isUsed ? relay->second.capacity() : 0;
        m_inUse += isUsed ? 1 : 0;
        m_awaitsProbe = m_awaitsProbe || (isUsed && relay->second.onProbation && relay->second.workers == 0);
        capacityInUse += isUsed ? relay->second.capacity() : 0;
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
    const auto share = [](const Relay& each) { return static_cast<double>(each.workers) / each.capacity(); };
    for (auto& each : m_relays) {
        if (each.second.inUse && (!best || share(each.second) < share(best->second)))
            best = &each;
    }
    m_awaitsProbe = false;
    if (!best || best->first == relay)
        return;
    release(relay);
    ++best->second.workers;
    relay = best->first;
}

} // namespace lanemoor::jobs
