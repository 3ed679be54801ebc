#pragma once
/// \file
/// Decides whether a batch task with a checkpoint moves out of an evacuated data hall. Pure.

#include "lanemoor/decisions/time.h"

#include <cstdint>

namespace lanemoor::jobs {

/// Cost of moving a task.
struct CheckpointMoveCost {
    Millis restore { 600 }; ///< Time to restore the checkpoint at the new worker; set by the platform.
    /// A stop takes up to 0.9 s at the worker, the start elsewhere follows it, and up to 1 s of work is not in the checkpoint.
    Millis stopAndStart { 2'000 };

    [[nodiscard]] bool operator==(const CheckpointMoveCost&) const = default;
};

/// Progress of an attempt, from its worker's reports.
struct CheckpointedAttempt {
    Millis elapsed { 0 }; ///< Since its start.
    std::uint32_t percent = 0; ///< Share of its work that is done.
    Millis declaredLeft { 0 }; ///< Remaining time from the declared time, corrected by run times of other tasks; may be negative.

    [[nodiscard]] bool operator==(const CheckpointedAttempt&) const = default;
};

/// \returns Remaining run time of the attempt at its current worker.
[[nodiscard]] Millis timeLeft(const CheckpointedAttempt& attempt) noexcept;

/// \returns Whether the remaining run time exceeds the cost of the move.
[[nodiscard]] bool isWorthMoving(const CheckpointedAttempt& attempt, const CheckpointMoveCost& cost) noexcept;

} // namespace lanemoor::jobs
