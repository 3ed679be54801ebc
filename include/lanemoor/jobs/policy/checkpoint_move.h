#pragma once
/// \file
/// Whether a batch task with a checkpoint is moved out of a data hall that is to be empty. Pure.

#include "lanemoor/decisions/time.h"

#include <cstdint>

namespace lanemoor::jobs {

/// What the move of a task costs.
struct CheckpointMoveCost {
    Millis restore { 600 }; ///< Of the checkpoint where the task goes on; the platform says it.
    /// A stop takes up to 0.9 s at the worker, a start elsewhere follows it, and up to a second of work is not in the checkpoint.
    Millis stopAndStart { 2'000 };

    [[nodiscard]] bool operator==(const CheckpointMoveCost&) const = default;
};

/// An attempt as far as its workers' reports go.
struct CheckpointedAttempt {
    Millis elapsed { 0 }; ///< Since its start.
    std::uint32_t percent = 0; ///< Of its work.
    Millis declaredLeft { 0 }; ///< By its declared time and what is observed of others; may be negative.

    [[nodiscard]] bool operator==(const CheckpointedAttempt&) const = default;
};

/// \returns The time that the attempt still takes where it runs.
[[nodiscard]] Millis timeLeft(const CheckpointedAttempt& attempt) noexcept;

/// \returns Whether the rest of the attempt takes longer than the move.
[[nodiscard]] bool isWorthMoving(const CheckpointedAttempt& attempt, const CheckpointMoveCost& cost) noexcept;

} // namespace lanemoor::jobs
