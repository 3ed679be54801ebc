#pragma once
/// \file
/// Availability of the store as observed by a process.

#include "lanemoor/jobs/model/event_loop.h"

#include <cstdint>
#include <string_view>

namespace lanemoor::jobs {

/// Whether the store answers the calls of this process.
enum class StoreState : std::uint8_t {
    Writing, ///< Reads and writes are answered, or no fault was observed.
    ReadingOnly, ///< Reads are answered, writes are not.
    Refused, ///< No call is answered; the last one was certainly not carried out.
    Unresponsive, ///< No call is answered; calls may have been carried out.
};

constexpr std::size_t storeStateCount = 4;

/// \returns A short name of `state` for logs and metrics.
[[nodiscard]] std::string_view nameOf(StoreState state) noexcept;

/// \returns Whether no call is answered.
[[nodiscard]] constexpr bool isOutage(StoreState state) noexcept { return state == StoreState::Refused || state == StoreState::Unresponsive; }

/// The observed state of the store with its start time.
struct StoreCondition {
    StoreState state = StoreState::Writing;
    MonotonicInstant since; ///< When the first call whose result shows this state was sent.

    [[nodiscard]] bool operator==(const StoreCondition&) const = default;
};

} // namespace lanemoor::jobs
