#pragma once
/// \file
/// Unanswered calls to workers, by worker.

#include "lanemoor/decisions/time.h"
#include "lanemoor/jobs/model/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lanemoor::jobs {

/// A call in flight.
struct OutstandingCall {
    std::string path; ///< The relay's name; empty: a direct call of the owner.
    std::string worker;
    std::string dataHall; ///< Of the worker.
    MonotonicInstant expectedAt; ///< When the answer was due: the time of sending, plus the time that the worker may wait before it answers.
    bool isOverdue = false;
};

/// \brief Tracks the unanswered calls to each worker, and the paths on which calls are overdue.
class OutstandingCalls {
public:
    void add(std::uint64_t call, OutstandingCall outstanding);

    /// \brief Removes a call that ended. \returns The call, or nothing if it is unknown.
    std::optional<OutstandingCall> take(std::uint64_t call);

    /// \brief Removes all calls to a worker whose incarnation ended: their outcomes are no evidence on paths.
    void removeCallsTo(const std::string& worker);

    /// \brief Marks the overdue calls to a worker.
    /// \returns The calls that were not marked before.
    std::vector<OutstandingCall> markOverdue(const std::string& worker, MonotonicInstant now);

    /// \returns Paths with overdue calls to the worker.
    [[nodiscard]] std::set<std::string> overduePaths(const std::string& worker) const;

    void clear();

private:
    struct WorkerCalls {
        std::vector<std::uint64_t> calls;
        std::size_t overdue = 0; ///< Number of these calls that are overdue.
    };

    std::map<std::uint64_t, OutstandingCall> m_calls;
    std::unordered_map<std::string, WorkerCalls> m_byWorker;
};

} // namespace lanemoor::jobs
