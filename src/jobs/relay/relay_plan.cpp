#include "lanemoor/jobs/relay/relay_plan.h"

#include <algorithm>
#include <limits>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

namespace {

constexpr double unknownCores = 1.0;
constexpr double leastCapacity = 1.0; // Every relay can serve one worker.
/// Max ratio of a relay's workers to its fair share; beyond it workers are reassigned. Relays join one after the other, and
/// without this the first ones would keep all workers.
constexpr double unevenness = 1.25;
/// Consecutive unanswered calls that suspend a relay. A failed rack has about 12 workers, but their calls are spread over relays
/// and mixed with calls to other workers.
constexpr std::uint32_t unansweredToRest = 8;
constexpr Millis rest { 5'000 };
constexpr std::uint32_t mostDoublings = 3; // Of the suspension, while no worker answers after it.
/// The plan is recomputed when the number of workers has changed by one in this many. Each move of an instance removes a worker and
/// adds one: a shift of load moves 600 of 1,100 instances in a second, and recomputing for each of them sorted 146 relays twice.
constexpr std::size_t planSteps = 100;
/// Max workers of a relay as a multiple of its capacity, while other relays do not reach a data hall.
constexpr double mostOverCapacity = 2.0;
/// Max age of the ranking of paths; a state change of a path invalidates it earlier.
constexpr Millis detoursLast { 100 };
/// Smaller differences in utilisation don't move a worker.
constexpr double leastGap = 0.1;

} // namespace

RelayPlan::RelayPlan(RelayOptions options, double ownCores, ReachabilityOptions reachability, const std::string& ownHall)
    : m_options(options)
    , m_ownCapacity(capacityOf(ownCores))
    , m_reachability(reachability)
{
    m_reachability.setPath({}, ownHall);
}

double RelayPlan::capacityOf(double cores) const
{
    return std::max((cores > 0 ? cores : unknownCores) * m_options.workersPerCore, leastCapacity);
}

void RelayPlan::addRelay(const std::string& name, double cores, const std::string& dataHall)
{
    m_relays[name].fullCapacity = capacityOf(cores);
    m_reachability.setPath(name, dataHall);
    resize();
}

void RelayPlan::removeRelay(const std::string& name)
{
    m_reachability.forgetPath(name);
    if (m_relays.erase(name) == 0)
        return;
    for (auto& [worker, place] : m_places) {
        if (place.relay == name)
            place.relay.clear();
    }
    resize();
}

std::optional<PathChange> RelayPlan::noteAnswered(const std::string& relay, const std::string& worker, MonotonicInstant now, const std::string& dataHall)
{
    const auto found = m_relays.find(relay);
    if (found != m_relays.end()) {
        found->second.unanswered = 0;
        found->second.rests = 0;
        if (std::exchange(found->second.onProbation, false))
            resize();
    }
    m_now = std::max(m_now, now);
    std::optional<PathChange> change = m_reachability.noteAnswered(relay, m_reachability.hallOf(dataHall), worker, now);
    if (change)
        resize();
    return change;
}

std::optional<PathChange> RelayPlan::noteEvidence(const std::string& relay, const std::string& worker, const std::string& dataHall, MonotonicInstant expectedAt, MonotonicInstant now)
{
    m_now = std::max(m_now, now);
    std::optional<PathChange> change = m_reachability.noteUnanswered(relay, m_reachability.hallOf(dataHall), worker, expectedAt, now);
    if (change) {
        change->workers = workersOver(relay, dataHall);
        resize();
    }
    return change;
}

void RelayPlan::noteUnanswered(const std::string& relay, const std::string& worker, MonotonicInstant now)
{
    m_now = now;
    const auto place = m_places.find(worker);
    const auto found = m_relays.find(relay);
    if (found == m_relays.end() || place == m_places.end() || place->second.relay != relay)
        return;
    if (found->second.onProbation || ++found->second.unanswered >= unansweredToRest) {
        found->second.unanswered = 0;
        found->second.onProbation = true;
        found->second.restsUntil = now + rest * (1U << std::min(found->second.rests++, mostDoublings));
        for (auto& [id, each] : m_places) {
            if (each.relay == relay)
                each.relay.clear();
        }
        found->second.workers = 0;
        found->second.workersByHall.clear();
        resize();
        return;
    }
    // Takes the first other relay in use that is no more loaded.
    for (auto& [name, other] : m_relays) {
        if (name == relay || !other.inUse || other.workers > found->second.workers + 1)
            continue;
        if (m_reachability.hasCut(place->second.hall) && !mayReach(name, place->second.hall))
            continue;
        moveTo(place->second, name);
        return;
    }
}

void RelayPlan::release(const Place& place)
{
    const auto found = m_relays.find(place.relay);
    if (found == m_relays.end())
        return;
    --found->second.workers;
    if (place.hall != 0)
        --found->second.workersByHall[place.hall];
}

void RelayPlan::moveTo(Place& place, const std::string& relay)
{
    release(place);
    place.relay = relay;
    const auto found = m_relays.find(relay);
    if (found == m_relays.end())
        return;
    ++found->second.workers;
    if (place.hall != 0)
        ++found->second.workersByHall[place.hall];
}

RelayPlan::Place& RelayPlan::placeOf(const std::string& worker, const std::string& dataHall)
{
    const auto [found, isNew] = m_places.try_emplace(worker);
    Place& place = found->second;
    const std::size_t hall = m_reachability.hallOf(dataHall);
    if (place.hall != hall) {
        release(place);
        place.relay.clear();
        if (place.hall != 0)
            --m_workersByHall[place.hall];
        place.hall = hall;
        ++m_workersByHall[hall];
    }
    if (isNew)
        noteSize();
    return place;
}

std::string RelayPlan::relayOf(const std::string& worker, MonotonicInstant now, const std::string& dataHall)
{
    m_now = now;
    Place& place = placeOf(worker, dataHall);
    if (m_restEndsAt && now >= *m_restEndsAt)
        resize();
    if (needsChoice(place))
        choose(place);
    return place.relay;
}

bool RelayPlan::needsChoice(const Place& place) const
{
    if (m_inUse == 0)
        return false;
    const bool hasCut = m_reachability.hasCut(place.hall) && !m_hallsWithoutPath.contains(place.hall);
    if (!m_isByLoad)
        return hasCut ? !mayReach(place.relay, place.hall) : !place.relay.empty();
    return place.relay.empty() || isOverloaded(place.relay) || m_awaitsProbe || (hasCut && !mayReach(place.relay, place.hall));
}

bool RelayPlan::isOverloaded(const std::string& relay) const
{
    const Relay& used = m_relays.at(relay);
    return static_cast<double>(used.workers) > 1 + unevenness * m_fairShare * used.capacity();
}

std::string RelayPlan::forget(const std::string& worker)
{
    const auto found = m_places.find(worker);
    if (found == m_places.end())
        return {};
    const Place place = std::move(found->second);
    release(place);
    m_places.erase(found);
    if (place.hall != 0)
        --m_workersByHall[place.hall];
    m_reachability.forgetWorker(worker);
    noteSize();
    return place.relay;
}

std::size_t RelayPlan::workersOver(const std::string& path, const std::string& dataHall) const
{
    std::size_t over = 0;
    std::size_t all = 0;
    for (const auto& [hall, workers] : m_workersByHall)
        all += hall != 0 && m_reachability.nameOfHall(hall) == dataHall ? workers : 0;
    for (const auto& [name, relay] : m_relays) {
        for (const auto& [hall, workers] : relay.workersByHall) {
            const bool isOfHall = m_reachability.nameOfHall(hall) == dataHall;
            over += isOfHall && name == path ? workers : 0;
            all -= isOfHall ? workers : 0;
        }
    }
    return path.empty() ? all : over;
}

void RelayPlan::noteSize()
{
    const std::size_t now = m_places.size();
    const std::size_t change = now > m_plannedFor ? now - m_plannedFor : m_plannedFor - now;
    if (change * planSteps >= std::max(now, m_plannedFor))
        resize();
}

/// Selects the relays that the workers need, and releases surplus ones.
void RelayPlan::resize()
{
    m_plannedFor = m_places.size();
    m_hallsWithoutPath.clear();
    m_detours.clear();
    std::vector<std::pair<const std::string, Relay>*> largestFirst;
    for (auto& relay : m_relays) {
        relay.second.isWanted = false;
        largestFirst.push_back(&relay);
    }
    std::stable_sort(largestFirst.begin(), largestFirst.end(), [](const auto* a, const auto* b) { return a->second.fullCapacity > b->second.fullCapacity; });
    useByLoad(largestFirst);
    useDetours(largestFirst);
    applyUse();
}

void RelayPlan::useByLoad(const std::vector<std::pair<const std::string, Relay>*>& largestFirst)
{
    const auto needed = static_cast<double>(m_plannedFor);
    m_isByLoad = m_options.workersPerCore > 0 && needed > (m_isByLoad ? m_ownCapacity / m_options.shrinkAt : m_ownCapacity);
    double capacity = 0;
    for (auto* relay : largestFirst) {
        const double enough = relay->second.inUse && !relay->second.isDetour ? needed * m_options.shrinkAt : needed;
        relay->second.isWanted = m_isByLoad && capacity < enough && relay->second.restsUntil <= m_now;
        relay->second.isDetour = false;
        capacity += relay->second.isWanted ? relay->second.capacity() : 0;
    }
    m_isByLoad = capacity > 0;
}

/// Selects further relays for data halls that the selected ones do not reach.
void RelayPlan::useDetours(const std::vector<std::pair<const std::string, Relay>*>& largestFirst)
{
    for (const auto& [hall, workers] : m_workersByHall) {
        if (workers == 0 || !m_reachability.hasCut(hall))
            continue;
        double room = !m_isByLoad && mayReach({}, hall) ? std::numeric_limits<double>::max() : 0;
        for (const auto* relay : largestFirst)
            room += relay->second.isWanted && mayReach(relay->first, hall) ? relay->second.capacity() : 0;
        std::vector<std::tuple<PathRank, bool, std::pair<const std::string, Relay>*>> others;
        for (auto* relay : largestFirst) {
            if (!relay->second.isWanted && relay->second.restsUntil <= m_now && mayReach(relay->first, hall))
                others.emplace_back(m_reachability.rank(relay->first, hall, m_now), !relay->second.inUse, relay);
        }
        std::stable_sort(others.begin(), others.end(), [](const auto& a, const auto& b) { return std::tie(std::get<0>(a), std::get<1>(a)) < std::tie(std::get<0>(b), std::get<1>(b)); });
        for (const auto& [rank, isNew, relay] : others) {
            if (room >= static_cast<double>(workers))
                break;
            relay->second.isWanted = true;
            relay->second.isDetour = true;
            room += relay->second.capacity();
        }
    }
}

void RelayPlan::applyUse()
{
    double capacityInUse = 0;
    m_inUse = 0;
    m_restEndsAt.reset();
    m_awaitsProbe = false;
    std::set<std::string_view> leaving;
    for (auto& [name, relay] : m_relays) {
        if (relay.restsUntil > m_now)
            m_restEndsAt = std::min(m_restEndsAt.value_or(relay.restsUntil), relay.restsUntil);
        const bool wasInUse = std::exchange(relay.inUse, relay.isWanted);
        if (relay.inUse) {
            ++m_inUse;
            m_awaitsProbe = m_awaitsProbe || (m_isByLoad && relay.onProbation && relay.workers == 0);
            capacityInUse += relay.capacity();
            continue;
        }
        if (!wasInUse)
            continue;
        relay.workers = 0;
        relay.workersByHall.clear();
        leaving.insert(name);
    }
    if (!leaving.empty()) {
        for (auto& [worker, place] : m_places) {
            if (leaving.contains(place.relay))
                place.relay.clear();
        }
    }
    m_fairShare = capacityInUse > 0 ? static_cast<double>(m_plannedFor) / capacityInUse : 0;
}

/// \returns Whether the owner has capacity to call further workers directly whose data hall no relay reaches.
bool RelayPlan::hasDirectRoom() const
{
    std::size_t relayed = 0;
    for (const auto& [name, relay] : m_relays)
        relayed += relay.workers;
    return !m_isByLoad || static_cast<double>(m_places.size() - relayed) <= mostOverCapacity * m_ownCapacity;
}

/// Assigns a worker to the relay in use with the lowest utilisation, or, if some path does not reach the worker's data hall, to the
/// relay of the best rank for it.
void RelayPlan::choose(Place& place)
{
    m_awaitsProbe = false;
    const bool hasCut = m_reachability.hasCut(place.hall);
    if (!m_isByLoad && (!hasCut || mayReach({}, place.hall))) {
        moveTo(place, {});
        return;
    }
    const std::string* best = nullptr;
    std::pair<PathRank, double> bestBy { PathRank::Cut, 0 };
    std::pair<PathRank, double> usedBy { PathRank::Cut, 0 };
    for (const auto& [name, relay] : m_relays) {
        if (!relay.inUse)
            continue;
        const double share = static_cast<double>(relay.workers) / relay.capacity();
        const bool isFull = name != place.relay && share >= mostOverCapacity;
        const std::pair<PathRank, double> by { hasCut ? m_reachability.rank(name, place.hall, m_now) : PathRank::Reaches, share };
        if (name == place.relay)
            usedBy = by;
        if (by.first == PathRank::Cut || (hasCut && isFull) || (best && by >= bestBy))
            continue;
        best = &name;
        bestBy = by;
    }
    if (hasCut && bestBy.first >= PathRank::LikelyCut && mayReach({}, place.hall) && hasDirectRoom()) {
        moveTo(place, {});
        return;
    }
    // If few relays reach a data hall, all of them exceed the fair share: workers stay unless the utilisation differs much.
    const bool isEven = hasCut && usedBy.first <= bestBy.first && usedBy.second <= unevenness * bestBy.second + leastGap;
    if (best && *best != place.relay && !isEven)
        moveTo(place, *best);
    if (hasCut && !best)
        m_hallsWithoutPath.insert(place.hall);
}

/// \returns All paths to a data hall with their ranks. The ranking is cached, since a partitioned data hall has hundreds of overdue
/// calls.
std::vector<RelayPlan::Detour>& RelayPlan::detoursTo(std::size_t hall, MonotonicInstant now)
{
    Detours& detours = m_detours[hall];
    if (now < detours.validUntil)
        return detours.paths;
    detours.validUntil = now + detoursLast;
    detours.paths.clear();
    const std::string& dataHall = m_reachability.nameOfHall(hall);
    const auto add = [&](const std::string& path, double share) {
        const std::string& from = m_reachability.hallOfPath(path);
        detours.paths.push_back({ .path = path, .from = from, .rank = m_reachability.rank(path, hall, now), .isElsewhere = from != dataHall, .share = share });
    };
    for (const auto& [name, relay] : m_relays) {
        if (relay.restsUntil <= now)
            add(name, static_cast<double>(relay.workers) / relay.capacity());
    }
    add({}, 1.0);
    return detours.paths;
}

std::optional<std::string> RelayPlan::otherPath(const std::string& dataHall, const std::set<std::string>& avoided, MonotonicInstant now)
{
    const std::size_t hall = m_reachability.hallOf(dataHall);
    if (hall == 0)
        return std::nullopt;
    std::set<std::string> avoidedHalls;
    for (const std::string& path : avoided)
        avoidedHalls.insert(m_reachability.hallOfPath(path));
    Detour* best = nullptr;
    // Calls since the ranking come before utilisation: otherwise one relay would get the overdue calls of a whole data hall.
    const auto order = [&](const Detour& detour) { return std::tuple { detour.rank, avoidedHalls.contains(detour.from), detour.isElsewhere, detour.taken, detour.share }; };
    for (Detour& detour : detoursTo(hall, now)) {
        if (!avoided.contains(detour.path) && (!best || order(detour) < order(*best)))
            best = &detour;
    }
    if (!best)
        return std::nullopt;
    ++best->taken;
    return best->path;
}

std::optional<std::string> RelayPlan::takeRetry(const std::string& dataHall, MonotonicInstant now)
{
    return m_reachability.takeRetry(m_reachability.hallOf(dataHall), now);
}

} // namespace lanemoor::jobs
