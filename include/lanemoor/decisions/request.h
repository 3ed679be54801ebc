#pragma once
/// \file
/// What is decided on of a caller's request.

#include "lanemoor/decisions/time.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lanemoor {

/// The classes of requests.
enum class RequestClass {
    Check, ///< Quick; late is lost.
    Listener, ///< Held open for hours; takes a connection, not a slot.
    Batch, ///< Long; must finish by its deadline and must not starve.
    Order, ///< May not be repeated.
};

inline constexpr std::size_t requestClassCount = 4;

/// \returns The name of `requestClass` in headers and metrics.
[[nodiscard]] std::string_view nameOf(RequestClass requestClass) noexcept;

/// What is known of a request's execution.
enum class RequestOutcome {
    Ran, ///< The endpoint answered.
    NotRun, ///< No endpoint has run it, for certain.
    Unknown, ///< It was sent and no whole answer came.
};

/// \returns The name of `outcome` in headers and metrics.
[[nodiscard]] std::string_view nameOf(RequestOutcome outcome) noexcept;

/// Why a request got no endpoint's answer.
enum class RequestRefusal {
    UnknownPool,
    BadHeader, ///< A header of lanemoor's own can't be read.
    DeadlinePassed, ///< It passed, or can't be met by what was observed.
    QueueFull,
    TeamOverQuota,
    NoEndpoint, ///< No instance of the pool is in service.
    EntryStopping, ///< This entry instance is being stopped.
    EntryNotReady, ///< No configuration, no seat, or cut off from the others.
    StoreAway, ///< An order can't be claimed while the store is away.
    AlreadyAccepted, ///< The idempotency key was used before.
    EndpointFailed, ///< Every attempt failed.
    AnswerCut,
};

/// \returns The last part of the problem type of `refusal`, such as `queue-full`.
[[nodiscard]] std::string_view nameOf(RequestRefusal refusal) noexcept;

/// \returns A short English text for `refusal`.
[[nodiscard]] std::string_view describe(RequestRefusal refusal) noexcept;

} // namespace lanemoor
