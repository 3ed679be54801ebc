#pragma once
/// \file
/// Classes, outcomes and refusals of callers' requests.

#include "lanemoor/decisions/time.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lanemoor {

/// Class of a request, which determines its priority and the resource it uses.
enum class RequestClass {
    Check, ///< Short; worthless after its deadline.
    Listener, ///< Held open for hours; uses a connection, not a slot.
    Batch, ///< Long-running; must finish by its deadline and must not starve.
    Order, ///< Must not be repeated.
};

inline constexpr std::size_t requestClassCount = 4;

/// \returns The name of `requestClass` in headers and metrics.
[[nodiscard]] std::string_view nameOf(RequestClass requestClass) noexcept;

/// What is known about the execution of a request.
enum class RequestOutcome {
    Ran, ///< The endpoint answered.
    NotRun, ///< Certain not to have run on any endpoint.
    Unknown, ///< Sent, but no complete response arrived.
};

/// \returns The name of `outcome` in headers and metrics.
[[nodiscard]] std::string_view nameOf(RequestOutcome outcome) noexcept;

/// Why a request was not answered by an endpoint.
enum class RequestRefusal {
    UnknownPool,
    BadHeader, ///< A `Lanemoor-` header is malformed.
    DeadlinePassed, ///< Passed, or can't be met by the expected run time.
    QueueFull,
    TeamOverQuota,
    NoEndpoint, ///< No instance of the pool is in service.
    EntryStopping, ///< This entry instance is shutting down.
    EntryNotReady, ///< No configuration, no shard, or partitioned from the other entry instances.
    StoreUnavailable, ///< An order can't be claimed while the store is unavailable.
    AlreadyAccepted, ///< The idempotency key was used before.
    EndpointFailed, ///< Every attempt failed.
    AnswerCut,
};

/// \returns The last part of the problem type of `refusal`, such as `queue-full`.
[[nodiscard]] std::string_view nameOf(RequestRefusal refusal) noexcept;

/// \returns A short English text for `refusal`.
[[nodiscard]] std::string_view describe(RequestRefusal refusal) noexcept;

} // namespace lanemoor
