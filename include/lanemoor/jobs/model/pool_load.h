#pragma once
/// \file
/// A pool as capacity planning sees it: its instances and what its jobs ask of them.

#include "lanemoor/decisions/time.h"
#include "lanemoor/jobs/model/requirement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// An instance of a pool, on its way there, or back soon from maintenance.
struct PoolInstance {
    std::string instance;
    std::string kind; ///< Pools take instances of some kinds only.
    std::string rack;
    Resources capacity;
    bool sound = true; ///< Takes work now, or will when it is there.
    bool coming = false; ///< On its way to the pool, or not back from maintenance: it takes no work yet.
    std::optional<MonotonicInstant> idleSince; ///< It is up, has nothing to run, and could be moved now.
    std::string drainable; ///< The worker, if it is busy and could be emptied; else empty.
    MonotonicInstant emptyBy; ///< When the attempts there that end by themselves should have ended.
    std::uint32_t longRunning = 0; ///< Attempts there that don't end by themselves.
    std::string drainingFrom; ///< The pool that it is being emptied in for this one; empty: none.

    /// \returns Whether tasks that ask for `label` may run there.
    [[nodiscard]] bool has(std::string_view label) const noexcept { return label.empty() || label == kind || label == rack; }

    [[nodiscard]] bool operator==(const PoolInstance&) const = default;
};

/// What the tasks of one requirement class ask of their pool.
struct RequirementLoad {
    std::int64_t demandMilliCpu = 0; ///< What runs and what waits, or what arrivals will keep busy.
    /// What runs and waits of jobs that end late whatever is done: it gets what nobody else asks for.
    std::int64_t backlogMilliCpu = 0;
    bool backlogWaits = false; ///< Whether some of it found no room.
    std::uint32_t leastInstances = 0; ///< Sound ones that its jobs need, whatever their load.
    bool hasWaiting = false; ///< Whether tasks wait that could start if there were room.
    Resources largestWaiting; ///< Of the tasks that wait, the largest need of each resource.

    [[nodiscard]] bool operator==(const RequirementLoad&) const = default;
};

/// A pool with its load.
struct PoolLoad {
    std::string pool;
    bool reserve = false; ///< Its instances are off.
    bool hasArrivals = false; ///< Whether jobs that end by themselves arrive.
    std::map<Requirement, RequirementLoad> requirements;
    std::vector<PoolInstance> instances;
};

} // namespace lanemoor::jobs
