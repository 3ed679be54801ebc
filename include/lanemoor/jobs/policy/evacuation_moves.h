#pragma once
/// \file
/// Chooses empty instances of evacuated data halls to move from their pools to the reserve. Pure.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/policy/capacity_plan.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// An instance of an evacuated data hall that is up and has no attempts.
struct EmptiedInstance {
    std::string instance;
    std::string pool;

    [[nodiscard]] bool operator==(const EmptiedInstance&) const = default;
};

/// Settings of the moves.
struct EvacuationMovesOptions {
    /// Min empty time before a move: a request that is withdrawn at once should cost no moves. An idle instance costs about as
    /// much as a move in this time.
    Millis minEmptyTime { 1'200 };
    Millis retryPause { 5'000 }; ///< Between a failed move and the next one of the same instance.

    [[nodiscard]] bool operator==(const EvacuationMovesOptions&) const = default;
};

/// \brief Tracks how long instances are empty, and powers them off with the calls that capacity planning leaves.
class EvacuationMoves {
public:
    explicit EvacuationMoves(EvacuationMovesOptions options = {});

    /// \param emptied All instances that are empty and not being moved now.
    /// \param reserve The pool of instances that are off.
    /// \param maxMoves Moves that the platform accepts in addition to those that bring in replacements.
    [[nodiscard]] std::vector<CapacityMove> next(const std::vector<EmptiedInstance>& emptied, const std::string& reserve, std::size_t maxMoves, MonotonicInstant now);

private:
    struct MoveSchedule {
        MonotonicInstant moveAt; ///< Earliest time of the move.
        bool wasMoved = false;
    };

    EvacuationMovesOptions m_options;
    std::map<std::string, MoveSchedule> m_schedules; ///< By instance.
};

} // namespace lanemoor::jobs
