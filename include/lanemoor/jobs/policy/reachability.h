#pragma once
/// \file
/// Which data halls are reached over which paths. Pure: time is passed in.

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

/// Settings of the evidence that calls give.
struct ReachabilityOptions {
    bool enabled = true; ///< False: calls take no notice of data halls.
    /// Calls of so many different workers without an answer make a path unreachable for their data hall. One worker that does not
    /// answer may have crashed.
    std::uint32_t workersToDoubt = 2;
    Millis evidenceLasts { 3'000 }; ///< An unanswered call is no evidence after this.
    Millis answerLasts { 5'000 }; ///< A path over which nothing was answered for so long is unknown.
    Millis firstRetry { 250 }; ///< From the change of state to the first retry. The pause doubles with each retry.
    Millis longestRetry { 1'000 }; ///< Between two retries.

    [[nodiscard]] bool operator==(const ReachabilityOptions&) const = default;
};

/// What is known of one path to one data hall.
enum class PathState {
    Unknown,
    Reachable,
    Unreachable,
};

/// \returns A short name of `state` for logs and metrics.
[[nodiscard]] std::string_view nameOf(PathState state) noexcept;

/// How well a path is suited for calls to a data hall; the best comes first.
enum class PathRank {
    Reaches,
    MayReach, ///< Nothing is known against it.
    LikelyCut, ///< Nothing is known of it, and another path from the same data hall is unreachable.
    Cut,
};

/// One path to one data hall.
struct HallPath {
    std::string path; ///< A relay's name; empty: the owner's own calls.
    std::string pathHall; ///< Data hall of the relay, or of the owner.
    std::string dataHall; ///< Of the workers.
    PathState state = PathState::Unknown;
    MonotonicInstant since; ///< Of the state.
    std::optional<MonotonicInstant> answeredAt; ///< When a call was last answered; nothing: none was.
    std::uint32_t unanswered = 0; ///< Calls in a row.

    [[nodiscard]] bool operator==(const HallPath&) const = default;
};

/// \brief Reachability of data halls as of one time. Immutable once published.
struct Reachability {
    MonotonicInstant asOf;
    std::vector<HallPath> paths; ///< Over which something was called.

    /// \returns Whether some path to the data hall is unreachable and none is known to reach it.
    [[nodiscard]] bool isUnreachable(std::string_view dataHall) const;

    [[nodiscard]] bool operator==(const Reachability&) const = default;
};

/// A path that became unreachable for a data hall, or reachable again.
struct PathChange {
    std::string path;
    std::string dataHall;
    PathState to = PathState::Unknown;
    std::vector<std::string> evidence; ///< Workers that did not answer.
    std::size_t workers = 0; ///< Of the data hall whose calls took the path.
    MonotonicInstant evidenceSince; ///< When the first of their answers was expected, or since when the path was unreachable.

    [[nodiscard]] bool operator==(const PathChange&) const = default;
};

/// \brief Holds paths times data halls, from the outcome of calls.
///
/// An answered call makes a path reachable for the worker's data hall. Calls of at least two workers of the data hall without an
/// answer make it unreachable, if no call that should have been answered after the first of them was answered. A worker that does
/// not answer over several paths is no evidence, since it may have crashed. Unreachable paths are retried one at a time for
/// each pair of data halls.
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

    /// \returns The number of a data hall; 0 for the empty name, of which nothing is noted.
    [[nodiscard]] std::size_t hallOf(const std::string& name);

    [[nodiscard]] const std::string& nameOfHall(std::size_t hall) const { return m_halls.at(hall).name; }

    /// \brief Adds a path that starts in `dataHall`; what was known of an earlier one of the name is dropped.
    void setPath(const std::string& path, const std::string& dataHall);

    /// \brief Drops a path.
    void forgetPath(const std::string& path);

    /// \returns The data hall that a path starts in; empty: not known.
    [[nodiscard]] const std::string& hallOfPath(const std::string& path) const;

    /// \brief Drops what is known of a worker.
    void forgetWorker(const std::string& worker) { m_unansweredOver.erase(worker); }

    /// \brief A call was answered by the worker. \returns The change, if the path was unreachable.
    std::optional<PathChange> noteAnswered(const std::string& path, std::size_t hall, const std::string& worker, MonotonicInstant now);

    /// \brief A call is overdue or was given up. \param expectedAt When its answer was due.
    /// \returns The change, if the path is unreachable by this.
    std::optional<PathChange> noteUnanswered(const std::string& path, std::size_t hall, const std::string& worker, MonotonicInstant expectedAt, MonotonicInstant now);

    /// \returns Whether some path is unreachable for the data hall.
    [[nodiscard]] bool hasCut(std::size_t hall) const { return hall < m_halls.size() && m_halls[hall].unreachable > 0; }

    /// \returns How well the path is suited for the data hall.
    [[nodiscard]] PathRank rank(const std::string& path, std::size_t hall, MonotonicInstant now) const;

    /// \returns An unreachable path that one call to a worker of the data hall should retry now; nothing: none. It counts as
    /// retried.
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
    struct Cut {
        std::size_t paths = 0;
        MonotonicInstant retryAt;
        std::uint32_t retries = 0;
    };

    struct Hall {
        std::string name;
        std::size_t unreachable = 0; ///< Paths.
        std::map<std::size_t, Cut> cuts; ///< By data hall of the paths.
    };

    [[nodiscard]] Cell* cellOf(const std::string& path, std::size_t hall);
    [[nodiscard]] PathState stateOf(const Cell& cell, MonotonicInstant now) const;
    [[nodiscard]] bool isEvidence(const std::string& worker, const std::string& path);
    void addCut(std::size_t from, std::size_t hall, MonotonicInstant now);
    void removeCut(std::size_t from, std::size_t hall);
    void doubtSiblings(std::size_t from, std::size_t hall, MonotonicInstant now);

    ReachabilityOptions m_options;
    std::vector<Hall> m_halls { Hall {} };
    std::map<std::string, std::size_t> m_hallNumbers { { std::string(), 0 } };
    std::map<std::string, Path> m_paths;
    std::unordered_map<std::string, std::set<std::string>> m_unansweredOver; ///< Paths, by worker that answered over none since.
    std::uint64_t m_changes = 0;
};

} // namespace lanemoor::jobs
