#pragma once
/// \file
/// Calls to workers that are not answered yet, by worker.

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

/// A call under way.
struct OpenCall {
    std::string path; ///< The relay's name; empty: the owner's own call.
    std::string worker;
    std::string dataHall; ///< Of the worker.
    MonotonicInstant expectedAt; ///< When it was sent, or when its wait for an end is over.
    bool isOverdue = false;
};

/// \brief Knows which calls to a worker are open, and over which paths calls to it are overdue.
class OpenCalls {
public:
    void add(std::uint64_t call, OpenCall open);

    /// \brief A call ended. \returns It, or nothing if it is not known.
    std::optional<OpenCall> take(std::uint64_t call);

    /// \brief The worker's incarnation is over: its calls say nothing of their paths any more.
    void forget(const std::string& worker);

    /// \brief Marks the worker's calls whose answer should be there by now.
    /// \returns Those that were not marked before.
    std::vector<OpenCall> markOverdue(const std::string& worker, MonotonicInstant now);

    /// \returns Paths over which calls to the worker are overdue.
    [[nodiscard]] std::set<std::string> overduePaths(const std::string& worker) const;

    void clear();

private:
    struct WorkerCalls {
        std::vector<std::uint64_t> calls;
        std::size_t overdue = 0; ///< Of them.
    };

    std::map<std::uint64_t, OpenCall> m_calls;
    std::unordered_map<std::string, WorkerCalls> m_byWorker;
};

} // namespace lanemoor::jobs
