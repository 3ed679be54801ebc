#pragma once
/// \file
/// What a process knows of the state of the store.

#include "lanemoor/jobs/model/event_loop.h"

#include <cstdint>
#include <string_view>

namespace lanemoor::jobs {

/// How the store deals with the calls of this process.
enum class StoreState : std::uint8_t {
    Writing, ///< It answers, or nothing shows that it does not.
    ReadingOnly, ///< Reads are answered, writes are not.
    Refused, ///< No call is answered; the last one was certainly not carried out.
    Silent, ///< No call is answered; whether they were carried out is not known.
};

constexpr std::size_t storeStates = 4;

/// \returns A short name of `state` for logs and metrics.
[[nodiscard]] std::string_view nameOf(StoreState state) noexcept;

/// \returns Whether no call is answered.
[[nodiscard]] constexpr bool isOutage(StoreState state) noexcept { return state == StoreState::Refused || state == StoreState::Silent; }

/// The state of the store as this process observes it.
struct StoreCondition {
    StoreState state = StoreState::Writing;
    MonotonicInstant since; ///< When the first call was sent whose end shows the state.

    [[nodiscard]] bool operator==(const StoreCondition&) const = default;
};

} // namespace lanemoor::jobs
