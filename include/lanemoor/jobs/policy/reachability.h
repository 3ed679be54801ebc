#pragma once
/// \file
/// Tracks which data halls are reachable over which paths. Pure: time is passed in.

#include "lanemoor/decisions/time.h"
#include "lanemoor/jobs/model/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lanemoor::jobs {

/// Settings of reachability tracking.
struct ReachabilityOptions {
    bool enabled = true; ///< False: data halls have no effect on the routes of calls.
    /// Unanswered calls to this many different workers make a path unreachable for their data hall. A single worker that does not
    /// answer may have crashed.
    std::uint32_t unansweredWorkersThreshold = 2;
    Millis evidenceLasts { 3'000 }; ///< Lifetime of the evidence of an unanswered call.
    Millis answerLasts { 5'000 }; ///< A reachable path becomes unknown after this time without an answer.
    Millis firstRetry { 250 }; ///< From the change of state to the first retry, and to the second one; the pause then doubles with each retry.
    Millis maxRetryDelay { 1'000 }; ///< Max pause between two retries.

    [[nodiscard]] bool operator==(const ReachabilityOptions&) const = default;
};

/// State of one path to one data hall.
enum class PathState {
    Unknown,
    Reachable,
    Unreachable,
};

/// \returns A short name of `state` for logs and metrics.
[[nodiscard]] std::string_view nameOf(PathState state) noexcept;

/// Suitability of a path for calls to a data hall, best first.
enum class PathRank {
    Reachable,
    MayReach, ///< There is no evidence against it.
    LikelyUnreachable, ///< Its own state is unknown, and another path from the same data hall is unreachable.
    Unreachable,
};

/// One path to one data hall.
struct HallPath {
    std::string path; ///< Name of a relay; empty: direct calls of the owner.
    std::string pathHall; ///< Data hall of the relay, or of the owner.
    std::string dataHall; ///< Of the workers.
    PathState state = PathState::Unknown;
    MonotonicInstant since; ///< Start of the state.
    std::optional<MonotonicInstant> answeredAt; ///< Time of the last answer; empty: none.
    std::uint32_t unanswered = 0; ///< Consecutive unanswered calls.

    [[nodiscard]] bool operator==(const HallPath&) const = default;
};

/// \brief Reachability of data halls as of one time. Immutable once published.
struct Reachability {
    MonotonicInstant asOf;
    std::vector<HallPath> paths; ///< Paths with at least one call.

    /// \returns Whether some path to the data hall is unreachable and none is known to be reachable.
    [[nodiscard]] bool isUnreachable(std::string_view dataHall) const;

    [[nodiscard]] bool operator==(const Reachability&) const = default;
};

/// A path that became unreachable or reachable again for a data hall.
struct PathChange {
    std::string path;
    std::string dataHall;
    PathState to = PathState::Unknown;
    std::vector<std::string> evidence; ///< Workers that did not answer.
    std::size_t workers = 0; ///< Workers of the data hall with calls over the path.
    MonotonicInstant evidenceSince; ///< Due time of the first missing answer; for a restored path, the time at which it became unreachable.

    [[nodiscard]] bool operator==(const PathChange&) const = default;
};

/// \brief Tracks the state of each path to each data hall from the outcomes of calls.
///
/// An answered call makes a path reachable for the worker's data hall. Unanswered calls to at least two workers of the data hall
/// make it unreachable, unless an answer has come over the path since the first of theirs was due. A worker that does not answer over
/// several paths is no evidence, since it may have crashed. Unreachable paths are retried one at a time for each pair of data
/// halls.
///
/// \code
/// ReachabilityTable table(options);
/// table.setPath("entry-4", "hall-b");
/// const std::size_t hall = table.hallOf("hall-a");
/// if (const auto change = table.noteUnanswered("entry-4", hall, "worker-17", expectedAt, now))
///     log(*change);
/// \endcode
class ReachabilityTable {
public:
    explicit ReachabilityTable(ReachabilityOptions options);

    /// \returns The index of a data hall; 0 for the empty name, for which no state is kept.
    [[nodiscard]] std::size_t hallOf(const std::string& name);

    [[nodiscard]] const std::string& nameOfHall(std::size_t hall) const { return m_halls.at(hall).name; }

    /// \brief Adds a path that starts in `dataHall`; drops the state of an earlier path with the same name.
    void setPath(const std::string& path, const std::string& dataHall);

    void removePath(const std::string& path);

    /// \returns The data hall in which a path starts; empty: unknown.
    [[nodiscard]] const std::string& hallOfPath(const std::string& path) const;

    /// \brief Drops the evidence from a worker.
    void removeWorker(const std::string& worker) { m_unansweredOver.erase(worker); }

    /// \brief Records a call that the worker answered. \returns The change, if the path was unreachable.
    std::optional<PathChange> noteAnswered(const std::string& path, std::size_t hall, const std::string& worker, MonotonicInstant now);

    /// \brief Records a call that is overdue or has timed out. \param expectedAt When its answer was due.
    /// \returns The change, if this makes the path unreachable.
    std::optional<PathChange> noteUnanswered(const std::string& path, std::size_t hall, const std::string& worker, MonotonicInstant expectedAt, MonotonicInstant now);

    /// \returns Whether some path is unreachable for the data hall.
    [[nodiscard]] bool hasUnreachablePath(std::size_t hall) const { return hall < m_halls.size() && m_halls[hall].unreachable > 0; }

    /// \returns Suitability of the path for the data hall.
    [[nodiscard]] PathRank rank(const std::string& path, std::size_t hall, MonotonicInstant now) const;

    /// \returns An unreachable path over which the next call to a worker of the data hall is a retry; empty: none is due. Counts
    /// as a retry.
    [[nodiscard]] std::optional<std::string> takeRetry(std::size_t hall, MonotonicInstant now);

    /// \returns Number of changes between unreachable and reachable.
    [[nodiscard]] std::uint64_t changes() const noexcept { return m_changes; }

    [[nodiscard]] Reachability snapshot(MonotonicInstant now) const;

private:
    struct Cell {
        PathState state = PathState::Unknown;
        MonotonicInstant since;
        std::optional<MonotonicInstant> answeredAt;
        std::uint32_t unanswered = 0;
        std::set<std::string> evidence; ///< Workers.
        MonotonicInstant evidenceSince;
        MonotonicInstant retriedAt;
    };

    struct Path {
        std::size_t hall = 0;
        std::vector<Cell> cells; ///< By data hall.
    };

    /// Paths that start in one data hall and are unreachable for another.
    struct Unreachable {
        std::size_t paths = 0;
        MonotonicInstant retryAt;
        std::uint32_t retries = 0;
    };

    struct Hall {
        std::string name;
        std::size_t unreachable = 0; ///< Number of paths.
        std::map<std::size_t, Unreachable> unreachableFrom; ///< By the data hall in which the paths start.
    };

    [[nodiscard]] Cell* cellOf(const std::string& path, std::size_t hall);
    [[nodiscard]] PathState stateOf(const Cell& cell, MonotonicInstant now) const;
    [[nodiscard]] bool isEvidence(const std::string& worker, const std::string& path);
    void addUnreachable(std::size_t from, std::size_t hall, MonotonicInstant now);
    void removeUnreachable(std::size_t from, std::size_t hall);
    void resetSiblings(std::size_t from, std::size_t hall, MonotonicInstant now);

    ReachabilityOptions m_options;
    std::vector<Hall> m_halls { Hall {} };
    std::map<std::string, std::size_t> m_hallNumbers { { std::string(), 0 } };
    std::map<std::string, Path> m_paths;
    std::unordered_map<std::string, std::set<std::string>> m_unansweredOver; ///< By worker: paths over which it left a call unanswered since its last answer.
    std::uint64_t m_changes = 0;
};

} // namespace lanemoor::jobs
