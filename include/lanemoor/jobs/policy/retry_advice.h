#pragma once
/// \file
/// When a caller whose submission was refused should come back. Pure: time and randomness are passed in.

#include "lanemoor/jobs/model/event_loop.h"

#include <cstdint>
#include <random>

namespace lanemoor::jobs {

/// What is known when a submission is refused because of the store.
struct RefusalSituation {
    std::uint64_t refused = 0; ///< Submissions refused since refusals began.
    std::uint64_t waiting = 0; ///< Of them, those that have not come back yet.
    Millis lasted { 0 }; ///< Since refusals began.
    Millis useful { 0 }; ///< After this the caller has no use for its job any more.

    [[nodiscard]] bool operator==(const RefusalSituation&) const = default;
};

constexpr Millis leastRetryAfter { 1'000 };
constexpr Millis mostRetryAfter { 3'000 };

/// \returns The time in which those that wait come back at the rate at which they came: the pools serve about that rate, so a
/// faster return would meet no room.
[[nodiscard]] Millis expectedDrain(const RefusalSituation& situation) noexcept;

/// \returns Whole seconds from `leastRetryAfter` to `mostRetryAfter`, spread at random over the expected drain so that callers do
/// not return together; never later than the caller has use for its job, but for the least.
[[nodiscard]] Millis adviseRetry(const RefusalSituation& situation, std::minstd_rand& random);

} // namespace lanemoor::jobs
