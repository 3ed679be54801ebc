#pragma once
/// \file
/// Log events on the reachability of data halls over paths.

#include "lanemoor/jobs/policy/reachability.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace lanemoor {
class EventLog;
} // namespace lanemoor

namespace lanemoor::jobs {

/// \brief Logs each state change of a path, and when a data hall becomes unreachable over all paths or reachable again.
class ReachabilityLog {
public:
    explicit ReachabilityLog(EventLog& log)
        : m_log(&log)
    {
    }

    /// \param next Path that calls to the data hall take now; nothing: there is no other path, or none is needed.
    /// \param after Reachability after the change.
    void logChange(const PathChange& change, const std::optional<std::string>& next, const Reachability& after);

    /// \brief Resets the unreachable data halls at the end of a term.
    void reset() { m_unreachable.clear(); }

    /// \returns Number of path changes since the start of the process.
    [[nodiscard]] std::uint64_t pathChanges() const noexcept { return m_pathChanges; }

private:
    void logHallChange(const PathChange& change, const Reachability& after, std::int64_t ageMillis);

    EventLog* m_log;
    std::set<std::string> m_unreachable; ///< Data halls.
    std::uint64_t m_pathChanges = 0;
};

} // namespace lanemoor::jobs
