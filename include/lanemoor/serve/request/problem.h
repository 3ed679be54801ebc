#pragma once
/// \file
/// Error answers for callers as problem details (RFC 9457).

#include "lanemoor/decisions/request.h"
#include "lanemoor/net/http_message.h"

#include <string>

namespace lanemoor {

/// Why a request has no answer from an endpoint, and whether it ran.
struct Problem {
    RequestRefusal refusal = RequestRefusal::EndpointFailed;
    RequestOutcome outcome = RequestOutcome::NotRun;
    std::string entry; ///< Name of this entry instance.
    std::string detail;
    Instant retryAt; ///< Time for a retry; ignored if a retry can't succeed.
    unsigned endpointStatus = 0; ///< Status of the order accepted earlier; 0 if unknown.
};

/// \returns The HTTP status for `refusal` with `outcome`.
[[nodiscard]] unsigned statusOf(RequestRefusal refusal, RequestOutcome outcome) noexcept;

/// \returns The answer for `problem`, with Retry-After if a retry can succeed.
[[nodiscard]] HttpResponse problemOf(const Problem& problem);

} // namespace lanemoor
