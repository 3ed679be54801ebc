#include "lanemoor/jobs/policy/reachability.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// A worker that did not answer over more paths than this has probably crashed: in a partition between two of three data halls at
/// least the third path answers.
constexpr std::size_t maxPathsOfEvidence = 3;
constexpr std::uint32_t maxDoublings = 4; // Of the pause between retries.

} // namespace

std::string_view nameOf(PathState state) noexcept
{
    switch (state) {
    case PathState::Unknown:
        return "unknown";
    case PathState::Reachable:
        return "reachable";
    case PathState::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

bool Reachability::isUnreachable(std::string_view dataHall) const
{
    bool isBlocked = false;
    for (const HallPath& path : paths) {
        if (path.dataHall != dataHall)
            continue;
        if (path.state == PathState::Reachable)
            return false;
        isBlocked = isBlocked || path.state == PathState::Unreachable;
    }
    return isBlocked;
}

ReachabilityTable::ReachabilityTable(ReachabilityOptions options)
    : m_options(options)
{
}

std::size_t ReachabilityTable::hallOf(const std::string& name)
{
    const auto [place, isNew] = m_hallNumbers.try_emplace(name, m_halls.size());
    if (isNew)
        m_halls.push_back({ .name = name, .unreachableFrom = {} });
    return place->second;
}

void ReachabilityTable::setPath(const std::string& path, const std::string& dataHall)
{
    removePath(path);
    m_paths[path].hall = hallOf(dataHall);
}

void ReachabilityTable::removePath(const std::string& path)
{
    const auto found = m_paths.find(path);
    if (found == m_paths.end())
        return;
    const std::vector<Cell>& cells = found->second.cells;
    for (std::size_t hall = 0; hall < cells.size(); ++hall) {
        if (cells[hall].state == PathState::Unreachable)
            removeUnreachable(found->second.hall, hall);
    }
    m_paths.erase(found);
}

const std::string& ReachabilityTable::hallOfPath(const std::string& path) const
{
    const auto found = m_paths.find(path);
    return m_halls[found == m_paths.end() ? 0 : found->second.hall].name;
}

ReachabilityTable::Cell* ReachabilityTable::cellOf(const std::string& path, std::size_t hall)
{
    const auto found = m_paths.find(path);
    if (hall == 0 || found == m_paths.end())
        return nullptr;
    std::vector<Cell>& cells = found->second.cells;
    if (cells.size() <= hall)
        cells.resize(m_halls.size());
    return &cells[hall];
}

std::optional<PathChange> ReachabilityTable::noteAnswered(const std::string& path, std::size_t hall, const std::string& worker, MonotonicInstant now)
{
    if (!m_unansweredOver.empty())
        m_unansweredOver.erase(worker);
    Cell* cell = cellOf(path, hall);
    if (!cell)
        return std::nullopt;
    cell->answeredAt = now;
    cell->unanswered = 0;
    if (!cell->evidence.empty())
        cell->evidence.clear();
    const PathState before = cell->state;
    if (before == PathState::Reachable)
        return std::nullopt;
    const MonotonicInstant since = std::exchange(cell->since, now);
    cell->state = PathState::Reachable;
    if (before != PathState::Unreachable)
        return std::nullopt;
    ++m_changes;
    const std::size_t from = m_paths.at(path).hall;
    removeUnreachable(from, hall);
    resetSiblings(from, hall, now);
    return PathChange { .path = path, .dataHall = m_halls[hall].name, .to = PathState::Reachable, .evidence = {}, .evidenceSince = since };
}

std::optional<PathChange> ReachabilityTable::noteUnanswered(const std::string& path, std::size_t hall, const std::string& worker, MonotonicInstant expectedAt, MonotonicInstant now)
{
    Cell* cell = cellOf(path, hall);
    if (!cell || (cell->answeredAt && *cell->answeredAt >= expectedAt) || !isEvidence(worker, path))
        return std::nullopt;
    ++cell->unanswered;
    if (cell->state == PathState::Unreachable)
        return std::nullopt;
    if (cell->evidence.empty() || now - cell->evidenceSince > m_options.evidenceLasts) {
        cell->evidence.clear();
        cell->evidenceSince = expectedAt;
    }
    cell->evidence.insert(worker);
    if (cell->evidence.size() < m_options.unansweredWorkersThreshold)
        return std::nullopt;
    ++m_changes;
    cell->state = PathState::Unreachable;
    cell->since = now;
    PathChange change { .path = path, .dataHall = m_halls[hall].name, .to = PathState::Unreachable, .evidence = { cell->evidence.begin(), cell->evidence.end() }, .evidenceSince = cell->evidenceSince };
    cell->evidence.clear();
    addUnreachable(m_paths.at(path).hall, hall, now);
    return change;
}

bool ReachabilityTable::isEvidence(const std::string& worker, const std::string& path)
{
    std::set<std::string>& paths = m_unansweredOver[worker];
    if (paths.contains(path))
        return true;
    if (paths.size() >= maxPathsOfEvidence)
        return false;
    paths.insert(path);
    return true;
}

void ReachabilityTable::addUnreachable(std::size_t from, std::size_t hall, MonotonicInstant now)
{
    ++m_halls[hall].unreachable;
    Unreachable& origin = m_halls[hall].unreachableFrom[from];
    if (origin.paths++ == 0)
        origin.retryAt = now + m_options.firstRetry;
}

void ReachabilityTable::removeUnreachable(std::size_t from, std::size_t hall)
{
    --m_halls[hall].unreachable;
    const auto origin = m_halls[hall].unreachableFrom.find(from);
    if (--origin->second.paths == 0)
        m_halls[hall].unreachableFrom.erase(origin);
}

/// A restored path shows that the data halls reach each other again: the other paths from there need no retries one by one.
void ReachabilityTable::resetSiblings(std::size_t from, std::size_t hall, MonotonicInstant now)
{
    for (auto& [name, path] : m_paths) {
        if (path.hall != from || path.cells.size() <= hall || path.cells[hall].state != PathState::Unreachable)
            continue;
        path.cells[hall].state = PathState::Unknown;
        path.cells[hall].since = now;
        removeUnreachable(from, hall);
    }
}

PathState ReachabilityTable::stateOf(const Cell& cell, MonotonicInstant now) const
{
    const bool isOld = cell.state == PathState::Reachable && now - cell.answeredAt.value_or(MonotonicInstant {}) > m_options.answerLasts;
    return isOld ? PathState::Unknown : cell.state;
}

PathRank ReachabilityTable::rank(const std::string& path, std::size_t hall, MonotonicInstant now) const
{
    const auto found = m_paths.find(path);
    if (found == m_paths.end() || hall == 0 || hall >= m_halls.size())
        return PathRank::MayReach;
    const std::vector<Cell>& cells = found->second.cells;
    switch (hall < cells.size() ? stateOf(cells[hall], now) : PathState::Unknown) {
    case PathState::Reachable:
        return PathRank::Reachable;
    case PathState::Unreachable:
        return PathRank::Unreachable;
    case PathState::Unknown:
        break;
    }
    const bool isLikelyUnreachable = found->second.hall != hall && found->second.hall != 0 && m_halls[hall].unreachableFrom.contains(found->second.hall);
    return isLikelyUnreachable ? PathRank::LikelyUnreachable : PathRank::MayReach;
}

std::optional<std::string> ReachabilityTable::takeRetry(std::size_t hall, MonotonicInstant now)
{
    if (!hasUnreachablePath(hall))
        return std::nullopt;
    for (auto& [from, origin] : m_halls[hall].unreachableFrom) {
        if (now < origin.retryAt)
            continue;
        std::pair<const std::string, Path>* oldest = nullptr;
        for (auto& path : m_paths) {
            const bool isBlocked = path.second.hall == from && path.second.cells.size() > hall && path.second.cells[hall].state == PathState::Unreachable;
            if (isBlocked && (!oldest || path.second.cells[hall].retriedAt < oldest->second.cells[hall].retriedAt))
                oldest = &path;
        }
        origin.retryAt = now + std::min(m_options.firstRetry * (1U << std::min(origin.retries++, maxDoublings)), m_options.maxRetryDelay);
        if (!oldest)
            continue;
        oldest->second.cells[hall].retriedAt = now;
        return oldest->first;
    }
    return std::nullopt;
}

Reachability ReachabilityTable::snapshot(MonotonicInstant now) const
{
    Reachability snapshot { .asOf = now, .paths = {} };
    for (const auto& [name, path] : m_paths) {
        for (std::size_t hall = 0; hall < path.cells.size(); ++hall) {
            const Cell& cell = path.cells[hall];
            if (cell.state == PathState::Unknown && cell.unanswered == 0 && !cell.answeredAt)
                continue;
            snapshot.paths.push_back({ .path = name, .pathHall = m_halls[path.hall].name, .dataHall = m_halls[hall].name, .state = stateOf(cell, now), .since = cell.since, .answeredAt = cell.answeredAt, .unanswered = cell.unanswered });
        }
    }
    return snapshot;
}

} // namespace lanemoor::jobs
