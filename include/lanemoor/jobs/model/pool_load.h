#pragma once
/// \file
/// Input of capacity planning: the instances of a pool and the demand of its jobs.

#include "lanemoor/decisions/time.h"
#include "lanemoor/jobs/model/requirement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// An instance that is in a pool, moving to it or in maintenance.
struct PoolInstance {
    std::string instance;
    std::string kind; ///< A pool accepts instances of certain kinds only.
    std::string rack;
    Resources capacity;
    bool healthy = true; ///< Accepts work now, or will once it has arrived.
    bool arriving = false; ///< Moving to the pool or in maintenance; accepts no work yet.
    std::optional<MonotonicInstant> idleSince; ///< Set if the instance is up, has no running tasks and may be moved.
    std::string drainableWorker; ///< Id of its worker, if that is busy and may be drained; else empty.
    MonotonicInstant expectedEmptyAt; ///< Expected end of its attempts, without long-running ones.
    std::uint32_t longRunning = 0; ///< Number of its long-running attempts.
    std::string drainingFrom; ///< The pool in which it is drained in order to move to this one; empty: none.

    /// \returns Whether tasks that require `label` may run on the instance.
    [[nodiscard]] bool has(std::string_view label) const noexcept { return label.empty() || label == kind || label == rack; }

    [[nodiscard]] bool operator==(const PoolInstance&) const = default;
};

/// Load of one requirement class on a pool.
struct RequirementLoad {
    std::int64_t demandMilliCpu = 0; ///< Running and waiting tasks, or the capacity that arriving jobs will keep busy.
    /// Running and waiting tasks of jobs that will miss their objective anyway; served with otherwise unused capacity.
    std::int64_t backlogMilliCpu = 0;
    bool backlogWaits = false; ///< Whether a part of the backlog found no capacity.
    std::uint32_t minInstances = 0; ///< Minimum number of healthy instances that its jobs need, regardless of load.
    bool hasWaiting = false; ///< Whether tasks wait only for capacity.
    Resources largestWaiting; ///< The largest need of each resource among the waiting tasks.

    [[nodiscard]] bool operator==(const RequirementLoad&) const = default;
};

/// A pool with its load.
struct PoolLoad {
    std::string pool;
    bool reserve = false; ///< Its instances are switched off.
    bool hasArrivals = false; ///< Whether jobs arrive that are not long-running.
    std::map<Requirement, RequirementLoad> requirements;
    std::vector<PoolInstance> instances;
};

} // namespace lanemoor::jobs
