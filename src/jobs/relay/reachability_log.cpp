#include "reachability_log.h"

#include "lanemoor/adapters/event_log.h"

#include <chrono>

namespace lanemoor::jobs {

namespace {

std::string textOf(const std::string& path)
{
    return path.empty() ? "direct" : path;
}

std::string textOf(const std::vector<std::string>& workers)
{
    std::string text;
    for (const std::string& worker : workers)
        text += (text.empty() ? "" : ", ") + worker;
    return text;
}

} // namespace

void ReachabilityLog::logChange(const PathChange& change, const std::optional<std::string>& next, const Reachability& after)
{
    ++m_pathChanges;
    const std::int64_t age = std::chrono::duration_cast<Millis>(after.asOf - change.evidenceSince).count();
    if (change.to == PathState::Unreachable)
        m_log->decision("path-changed", { { "data_hall", change.dataHall }, { "from", textOf(change.path) }, { "to", next ? textOf(*next) : std::string() }, { "workers", static_cast<std::int64_t>(change.workers) }, { "evidence", textOf(change.evidence) }, { "age_ms", age } });
    else
        m_log->decision("path-restored", { { "data_hall", change.dataHall }, { "path", textOf(change.path) }, { "unreachable_ms", age } });
    logHallChange(change, after, age);
}

void ReachabilityLog::logHallChange(const PathChange& change, const Reachability& after, std::int64_t ageMillis)
{
    const bool isUnreachable = after.isUnreachable(change.dataHall);
    if (isUnreachable && m_unreachable.insert(change.dataHall).second)
        m_log->change("hall-unreachable", { { "data_hall", change.dataHall }, { "path", textOf(change.path) }, { "evidence", textOf(change.evidence) }, { "age_ms", ageMillis } });
    if (!isUnreachable && m_unreachable.erase(change.dataHall) > 0)
        m_log->change("hall-reachable", { { "data_hall", change.dataHall }, { "path", textOf(change.path) }, { "age_ms", ageMillis } });
}

} // namespace lanemoor::jobs
