#pragma once
/// \file
/// Computes when a caller should retry a refused submission. Pure: time and randomness are passed in.

#include "lanemoor/jobs/model/event_loop.h"

#include <cstdint>
#include <random>

namespace lanemoor::jobs {

/// State of the refusals while the store refuses submissions.
struct RefusalSituation {
    std::uint64_t refused = 0; ///< Submissions refused since refusals began.
    std::uint64_t waiting = 0; ///< Refused submissions that were not retried yet.
    Millis lasted { 0 }; ///< Since refusals began.
    Millis useful { 0 }; ///< Time for which the caller has use for its job.

    [[nodiscard]] bool operator==(const RefusalSituation&) const = default;
};

constexpr Millis minRetryAfter { 1'000 };
constexpr Millis maxRetryAfter { 3'000 };

/// \returns The time in which the waiting callers return at the rate at which they came: the pools serve about that rate, so a
/// faster return finds no room.
[[nodiscard]] Millis expectedDrain(const RefusalSituation& situation) noexcept;

/// \returns Whole seconds from `minRetryAfter` to `maxRetryAfter`, spread at random over the expected drain so that callers do
/// not return together. Within the time for which the caller has use for its job, but at least `minRetryAfter`.
[[nodiscard]] Millis adviseRetry(const RefusalSituation& situation, std::minstd_rand& random);

} // namespace lanemoor::jobs
