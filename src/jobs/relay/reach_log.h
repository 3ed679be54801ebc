#pragma once
/// \file
/// Log lines on paths and the data halls that they reach.

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

/// \brief Writes one line for each path that changes, and one when the last path to a data hall is lost or the first is back.
class ReachLog {
public:
    explicit ReachLog(EventLog& log)
        : m_log(&log)
    {
    }

    /// \param next Where calls to the data hall go now; nothing: there is no other path, or none is needed.
    /// \param workers That were called over the path. \param after What is known after the change.
    void note(const PathChange& change, const std::optional<std::string>& next, const Reachability& after);

    /// \brief A term ended: its data halls are not known any more.
    void forget() { m_unreachable.clear(); }

    /// \returns Changes noted since the start of the process.
    [[nodiscard]] std::uint64_t pathChanges() const noexcept { return m_pathChanges; }

private:
    void noteHall(const PathChange& change, const Reachability& after, std::int64_t ageMillis);

    EventLog* m_log;
    std::set<std::string> m_unreachable; ///< Data halls that no path reaches.
    std::uint64_t m_pathChanges = 0;
};

} // namespace lanemoor::jobs
