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

constexpr double assumedCores = 1.0;
constexpr double minCapacity = 1.0; // Every relay can serve one worker.
/// Max ratio of a relay's workers to its fair share; beyond it workers are reassigned. Relays join one after the other, and
/// without this the first ones would keep all workers.
constexpr double maxShareRatio = 1.25;
/// Consecutive unanswered calls that suspend a relay. A failed rack has about 12 workers, but their calls are spread over relays
/// and mixed with calls to other workers.
constexpr std::uint32_t unansweredToSuspend = 8;
constexpr Millis initialSuspension { 5'000 };
constexpr std::uint32_t maxSuspensionDoublings = 3; // Of consecutive suspensions, while no worker answers.
/// The plan is recomputed when the number of workers has changed by one in this many. Each move of an instance removes a worker and
/// adds one: a shift of load moves 600 of 1,100 instances in a second, and recomputing for each of them sorted 146 relays twice.
constexpr std::size_t replanDivisor = 100;
/// Max workers of a relay as a multiple of its capacity, while other relays do not reach a data hall.
constexpr double maxOvercommit = 2.0;
/// Max age of the ranking of paths; a state change of a path invalidates it earlier.
constexpr Millis rankingValidity { 100 };
/// Smaller differences in utilisation don't move a worker.
constexpr double minUtilisationGap = 0.1;

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
    return std::max((cores > 0 ? cores : assumedCores) * m_options.workersPerCore, minCapacity);
}

void RelayPlan::addRelay(const std::string& name, double cores, const std::string& dataHall)
{
    m_relays[name].fullCapacity = capacityOf(cores);
    m_reachability.setPath(name, dataHall);
    replan();
}

void RelayPlan::removeRelay(const std::string& name)
{
    m_reachability.removePath(name);
    if (m_relays.erase(name) == 0)
        return;
    for (auto& [worker, assignment] : m_assignments) {
        if (assignment.relay == name)
            assignment.relay.clear();
    }
    replan();
}

std::optional<PathChange> RelayPlan::noteAnswered(const std::string& relay, const std::string& worker, MonotonicInstant now, const std::string& dataHall)
{
    const auto found = m_relays.find(relay);
    if (found != m_relays.end()) {
        found->second.unanswered = 0;
        found->second.suspensions = 0;
        if (std::exchange(found->second.onProbation, false))
            replan();
    }
    m_now = std::max(m_now, now);
    std::optional<PathChange> change = m_reachability.noteAnswered(relay, m_reachability.hallOf(dataHall), worker, now);
    if (change)
        replan();
    return change;
}

std::optional<PathChange> RelayPlan::noteEvidence(const std::string& relay, const std::string& worker, const std::string& dataHall, MonotonicInstant expectedAt, MonotonicInstant now)
{
    m_now = std::max(m_now, now);
    std::optional<PathChange> change = m_reachability.noteUnanswered(relay, m_reachability.hallOf(dataHall), worker, expectedAt, now);
    if (change) {
        change->workers = workersOnPath(relay, dataHall);
        replan();
    }
    return change;
}

void RelayPlan::noteUnanswered(const std::string& relay, const std::string& worker, MonotonicInstant now)
{
    m_now = now;
    const auto assignment = m_assignments.find(worker);
    const auto found = m_relays.find(relay);
    if (found == m_relays.end() || assignment == m_assignments.end() || assignment->second.relay != relay)
        return;
    if (found->second.onProbation || ++found->second.unanswered >= unansweredToSuspend) {
        found->second.unanswered = 0;
        found->second.onProbation = true;
        found->second.suspendedUntil = now + initialSuspension * (1U << std::min(found->second.suspensions++, maxSuspensionDoublings));
        for (auto& [id, each] : m_assignments) {
            if (each.relay == relay)
                each.relay.clear();
        }
        found->second.workers = 0;
        found->second.workersByHall.clear();
        replan();
        return;
    }
    // Takes the first other relay in use that has at most one worker more.
    for (auto& [name, other] : m_relays) {
        if (name == relay || !other.inUse || other.workers > found->second.workers + 1)
            continue;
        if (m_reachability.hasUnreachablePath(assignment->second.hall) && !mayReach(name, assignment->second.hall))
            continue;
        moveTo(assignment->second, name);
        return;
    }
}

void RelayPlan::release(const Assignment& assignment)
{
    const auto found = m_relays.find(assignment.relay);
    if (found == m_relays.end())
        return;
    --found->second.workers;
    if (assignment.hall != 0)
        --found->second.workersByHall[assignment.hall];
}

void RelayPlan::moveTo(Assignment& assignment, const std::string& relay)
{
    release(assignment);
    assignment.relay = relay;
    const auto found = m_relays.find(relay);
    if (found == m_relays.end())
        return;
    ++found->second.workers;
    if (assignment.hall != 0)
        ++found->second.workersByHall[assignment.hall];
}

RelayPlan::Assignment& RelayPlan::assignmentOf(const std::string& worker, const std::string& dataHall)
{
    const auto [found, isNew] = m_assignments.try_emplace(worker);
    Assignment& assignment = found->second;
    const std::size_t hall = m_reachability.hallOf(dataHall);
    if (assignment.hall != hall) {
        release(assignment);
        assignment.relay.clear();
        if (assignment.hall != 0)
            --m_workersByHall[assignment.hall];
        assignment.hall = hall;
        ++m_workersByHall[hall];
    }
    if (isNew)
        replanIfNeeded();
    return assignment;
}

std::string RelayPlan::relayOf(const std::string& worker, MonotonicInstant now, const std::string& dataHall)
{
    m_now = now;
    Assignment& assignment = assignmentOf(worker, dataHall);
    if (m_nextSuspensionEnd && now >= *m_nextSuspensionEnd)
        replan();
    if (needsReassignment(assignment))
        reassign(assignment);
    return assignment.relay;
}

bool RelayPlan::needsReassignment(const Assignment& assignment) const
{
    if (m_inUse == 0)
        return false;
    const bool hasUnreachablePath = m_reachability.hasUnreachablePath(assignment.hall) && !m_hallsWithoutPath.contains(assignment.hall);
    if (!m_usesRelaysForLoad)
        return hasUnreachablePath ? !mayReach(assignment.relay, assignment.hall) : !assignment.relay.empty();
    return assignment.relay.empty() || isOverloaded(assignment.relay) || m_awaitsProbe || (hasUnreachablePath && !mayReach(assignment.relay, assignment.hall));
}

bool RelayPlan::isOverloaded(const std::string& relay) const
{
    const Relay& used = m_relays.at(relay);
    return static_cast<double>(used.workers) > 1 + maxShareRatio * m_fairShare * used.capacity();
}

std::string RelayPlan::removeWorker(const std::string& worker)
{
    const auto found = m_assignments.find(worker);
    if (found == m_assignments.end())
        return {};
    const Assignment assignment = std::move(found->second);
    release(assignment);
    m_assignments.erase(found);
    if (assignment.hall != 0)
        --m_workersByHall[assignment.hall];
    m_reachability.removeWorker(worker);
    replanIfNeeded();
    return assignment.relay;
}

std::size_t RelayPlan::workersOnPath(const std::string& path, const std::string& dataHall) const
{
    std::size_t onPath = 0;
    std::size_t all = 0;
    for (const auto& [hall, workers] : m_workersByHall)
        all += hall != 0 && m_reachability.nameOfHall(hall) == dataHall ? workers : 0;
    for (const auto& [name, relay] : m_relays) {
        for (const auto& [hall, workers] : relay.workersByHall) {
            const bool isOfHall = m_reachability.nameOfHall(hall) == dataHall;
            onPath += isOfHall && name == path ? workers : 0;
            all -= isOfHall ? workers : 0;
        }
    }
    return path.empty() ? all : onPath;
}

void RelayPlan::replanIfNeeded()
{
    const std::size_t now = m_assignments.size();
    const std::size_t change = now > m_plannedWorkers ? now - m_plannedWorkers : m_plannedWorkers - now;
    if (change * replanDivisor >= std::max(now, m_plannedWorkers))
        replan();
}

/// Selects the relays that the workers need, and releases surplus ones.
void RelayPlan::replan()
{
    m_plannedWorkers = m_assignments.size();
    m_hallsWithoutPath.clear();
    m_rankings.clear();
    std::vector<std::pair<const std::string, Relay>*> largestFirst;
    for (auto& relay : m_relays) {
        relay.second.isSelected = false;
        largestFirst.push_back(&relay);
    }
    std::stable_sort(largestFirst.begin(), largestFirst.end(), [](const auto* a, const auto* b) { return a->second.fullCapacity > b->second.fullCapacity; });
    selectByLoad(largestFirst);
    selectForUnreachedHalls(largestFirst);
    applySelection();
}

void RelayPlan::selectByLoad(const std::vector<std::pair<const std::string, Relay>*>& largestFirst)
{
    const auto needed = static_cast<double>(m_plannedWorkers);
    m_usesRelaysForLoad = m_options.workersPerCore > 0 && needed > (m_usesRelaysForLoad ? m_ownCapacity / m_options.shrinkAt : m_ownCapacity);
    double capacity = 0;
    for (auto* relay : largestFirst) {
        const double enough = relay->second.inUse && !relay->second.servesUnreachedHallsOnly ? needed * m_options.shrinkAt : needed;
        relay->second.isSelected = m_usesRelaysForLoad && capacity < enough && relay->second.suspendedUntil <= m_now;
        relay->second.servesUnreachedHallsOnly = false;
        capacity += relay->second.isSelected ? relay->second.capacity() : 0;
    }
    m_usesRelaysForLoad = capacity > 0;
}

/// Selects further relays for data halls that the selected ones do not reach.
void RelayPlan::selectForUnreachedHalls(const std::vector<std::pair<const std::string, Relay>*>& largestFirst)
{
    for (const auto& [hall, workers] : m_workersByHall) {
        if (workers == 0 || !m_reachability.hasUnreachablePath(hall))
            continue;
        double reachableCapacity = !m_usesRelaysForLoad && mayReach({}, hall) ? std::numeric_limits<double>::max() : 0;
        for (const auto* relay : largestFirst)
            reachableCapacity += relay->second.isSelected && mayReach(relay->first, hall) ? relay->second.capacity() : 0;
        std::vector<std::tuple<PathRank, bool, std::pair<const std::string, Relay>*>> others;
        for (auto* relay : largestFirst) {
            if (!relay->second.isSelected && relay->second.suspendedUntil <= m_now && mayReach(relay->first, hall))
                others.emplace_back(m_reachability.rank(relay->first, hall, m_now), !relay->second.inUse, relay);
        }
        std::stable_sort(others.begin(), others.end(), [](const auto& a, const auto& b) { return std::tie(std::get<0>(a), std::get<1>(a)) < std::tie(std::get<0>(b), std::get<1>(b)); });
        for (const auto& [rank, isNew, relay] : others) {
            if (reachableCapacity >= static_cast<double>(workers))
                break;
            relay->second.isSelected = true;
            relay->second.servesUnreachedHallsOnly = true;
            reachableCapacity += relay->second.capacity();
        }
    }
}

void RelayPlan::applySelection()
{
    double capacityInUse = 0;
    m_inUse = 0;
    m_nextSuspensionEnd.reset();
    m_awaitsProbe = false;
    std::set<std::string_view> leaving;
    for (auto& [name, relay] : m_relays) {
        if (relay.suspendedUntil > m_now)
            m_nextSuspensionEnd = std::min(m_nextSuspensionEnd.value_or(relay.suspendedUntil), relay.suspendedUntil);
        const bool wasInUse = std::exchange(relay.inUse, relay.isSelected);
        if (relay.inUse) {
            ++m_inUse;
            m_awaitsProbe = m_awaitsProbe || (m_usesRelaysForLoad && relay.onProbation && relay.workers == 0);
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
        for (auto& [worker, assignment] : m_assignments) {
            if (leaving.contains(assignment.relay))
                assignment.relay.clear();
        }
    }
    m_fairShare = capacityInUse > 0 ? static_cast<double>(m_plannedWorkers) / capacityInUse : 0;
}

/// \returns Whether the owner can directly call further workers, in data halls that no relay reaches.
bool RelayPlan::hasDirectCapacity() const
{
    std::size_t relayed = 0;
    for (const auto& [name, relay] : m_relays)
        relayed += relay.workers;
    return !m_usesRelaysForLoad || static_cast<double>(m_assignments.size() - relayed) <= maxOvercommit * m_ownCapacity;
}

/// Assigns a worker to the relay in use with the lowest utilisation, or, if some path does not reach the worker's data hall, to the
/// relay of the best rank for it.
void RelayPlan::reassign(Assignment& assignment)
{
    m_awaitsProbe = false;
    const bool hasUnreachablePath = m_reachability.hasUnreachablePath(assignment.hall);
    if (!m_usesRelaysForLoad && (!hasUnreachablePath || mayReach({}, assignment.hall))) {
        moveTo(assignment, {});
        return;
    }
    const std::string* best = nullptr;
    std::pair<PathRank, double> bestKey { PathRank::Unreachable, 0 };
    std::pair<PathRank, double> currentKey { PathRank::Unreachable, 0 };
    for (const auto& [name, relay] : m_relays) {
        if (!relay.inUse)
            continue;
        const double utilisation = static_cast<double>(relay.workers) / relay.capacity();
        const bool isFull = name != assignment.relay && utilisation >= maxOvercommit;
        const std::pair<PathRank, double> key { hasUnreachablePath ? m_reachability.rank(name, assignment.hall, m_now) : PathRank::Reachable, utilisation };
        if (name == assignment.relay)
            currentKey = key;
        if (key.first == PathRank::Unreachable || (hasUnreachablePath && isFull) || (best && key >= bestKey))
            continue;
        best = &name;
        bestKey = key;
    }
    if (hasUnreachablePath && bestKey.first >= PathRank::LikelyUnreachable && mayReach({}, assignment.hall) && hasDirectCapacity()) {
        moveTo(assignment, {});
        return;
    }
    // If few relays reach a data hall, all of them exceed the fair share: workers stay unless the utilisation differs much.
    const bool isEven = hasUnreachablePath && currentKey.first <= bestKey.first && currentKey.second <= maxShareRatio * bestKey.second + minUtilisationGap;
    if (best && *best != assignment.relay && !isEven)
        moveTo(assignment, *best);
    if (hasUnreachablePath && !best)
        m_hallsWithoutPath.insert(assignment.hall);
}

/// \returns All paths to a data hall with their ranks. The ranking is cached, since a partitioned data hall has hundreds of overdue
/// calls.
std::vector<RelayPlan::RankedPath>& RelayPlan::rankedPathsTo(std::size_t hall, MonotonicInstant now)
{
    PathRanking& ranking = m_rankings[hall];
    if (now < ranking.validUntil)
        return ranking.paths;
    ranking.validUntil = now + rankingValidity;
    ranking.paths.clear();
    const std::string& dataHall = m_reachability.nameOfHall(hall);
    const auto add = [&](const std::string& path, double utilisation) {
        const std::string& from = m_reachability.hallOfPath(path);
        ranking.paths.push_back({ .path = path, .from = from, .rank = m_reachability.rank(path, hall, now), .startsInOtherHall = from != dataHall, .utilisation = utilisation });
    };
    for (const auto& [name, relay] : m_relays) {
        if (relay.suspendedUntil <= now)
            add(name, static_cast<double>(relay.workers) / relay.capacity());
    }
    add({}, 1.0);
    return ranking.paths;
}

std::optional<std::string> RelayPlan::alternativePath(const std::string& dataHall, const std::set<std::string>& avoided, MonotonicInstant now)
{
    const std::size_t hall = m_reachability.hallOf(dataHall);
    if (hall == 0)
        return std::nullopt;
    std::set<std::string> avoidedHalls;
    for (const std::string& path : avoided)
        avoidedHalls.insert(m_reachability.hallOfPath(path));
    RankedPath* best = nullptr;
    // Calls since the ranking come before utilisation: otherwise one relay would get the overdue calls of a whole data hall.
    const auto rankKey = [&](const RankedPath& candidate) { return std::tuple { candidate.rank, avoidedHalls.contains(candidate.from), candidate.startsInOtherHall, candidate.callsSinceRanking, candidate.utilisation }; };
    for (RankedPath& candidate : rankedPathsTo(hall, now)) {
        if (!avoided.contains(candidate.path) && (!best || rankKey(candidate) < rankKey(*best)))
            best = &candidate;
    }
    if (!best)
        return std::nullopt;
    ++best->callsSinceRanking;
    return best->path;
}

std::optional<std::string> RelayPlan::takeRetry(const std::string& dataHall, MonotonicInstant now)
{
    return m_reachability.takeRetry(m_reachability.hallOf(dataHall), now);
}

} // namespace lanemoor::jobs
