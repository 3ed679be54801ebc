#pragma once
/// \file
/// What a caller asks for, read from its request's headers.

#include "lanemoor/decisions/request.h"
#include "lanemoor/net/http_message.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lanemoor {

/// \name Headers of lanemoor's own
/// Documented for callers in docs/CALLERS.md.
///@{
inline constexpr std::string_view classHeader = "Lanemoor-Class";
inline constexpr std::string_view teamHeader = "Lanemoor-Team";
inline constexpr std::string_view deadlineHeader = "Lanemoor-Deadline";
inline constexpr std::string_view repeatableHeader = "Lanemoor-Repeatable";
inline constexpr std::string_view outcomeHeader = "Lanemoor-Outcome";
inline constexpr std::string_view entryHeader = "Lanemoor-Entry";
inline constexpr std::string_view idempotencyHeader = "Idempotency-Key";
///@}

/// A caller's request as it is decided on. Lives for one request.
struct RequestContext {
    std::string pool;
    std::string endpointTarget; ///< Path and query at the endpoint.
    RequestClass requestClass = RequestClass::Check;
    std::string team;
    Instant arrivedAt;
    Instant deadline;
    bool repeatable = false;
    std::string idempotencyKey; ///< Empty: none.
};

/// A request that can't be read.
struct BadRequestHeader {
    std::string_view header; ///< Which one.
};

/// \brief Reads a request's context.
///
/// The first part of the path names the pool; the rest is the endpoint's. GET and HEAD
/// are repeatable; other methods if the caller says so. An Idempotency-Key makes the
/// request an order.
/// \param defaultDeadline For requests that name none, but listeners and batch.
[[nodiscard]] std::variant<RequestContext, BadRequestHeader> readContext(const HttpRequest& request, Instant now, Millis defaultDeadline);

/// \returns The request to send to the endpoint: hop-by-hop headers left out.
[[nodiscard]] HttpRequest requestForEndpoint(const HttpRequest& request, const RequestContext& context);

/// \returns Whether a header of this name belongs to one connection only.
[[nodiscard]] bool isHopByHop(std::string_view name) noexcept;

} // namespace lanemoor
