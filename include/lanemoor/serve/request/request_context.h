#pragma once
/// \file
/// Parameters of a caller's request, read from its target and headers.

#include "lanemoor/decisions/request.h"
#include "lanemoor/net/http_message.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lanemoor {

/// \name Header names specific to lanemoor
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

/// The parameters of one request.
struct RequestContext {
    std::string pool;
    std::string endpointTarget; ///< Path and query at the endpoint.
    RequestClass requestClass = RequestClass::Check;
    std::string team;
    Instant arrivedAt;
    Instant deadline;
    bool repeatable = false;
    std::string idempotencyKey; ///< Empty if the request is not an order.
};

/// A request with an invalid header.
struct BadRequestHeader {
    std::string_view header; ///< Name of the invalid header.
};

/// \brief Reads a request's context.
///
/// The first path segment names the pool; the rest is the target at the endpoint. GET and HEAD
/// are repeatable by default; a header overrides this. An Idempotency-Key makes the request an
/// order, which is never repeatable.
/// \param defaultDeadline For requests without a deadline, except listeners and batch requests.
[[nodiscard]] std::variant<RequestContext, BadRequestHeader> readContext(const HttpRequest& request, Instant now, Millis defaultDeadline);

/// \returns The request to send to the endpoint, without hop-by-hop headers.
[[nodiscard]] HttpRequest requestForEndpoint(const HttpRequest& request, const RequestContext& context);

/// \returns Whether header `name` applies to a single connection only.
[[nodiscard]] bool isHopByHop(std::string_view name) noexcept;

} // namespace lanemoor
