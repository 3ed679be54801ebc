#pragma once
/// \file
/// Failures as callers see them: problem details of RFC 9457.

#include "lanemoor/decisions/request.h"
#include "lanemoor/net/http_message.h"

#include <string>

namespace lanemoor {

/// Why a request got no endpoint's answer, and what is known of its execution.
struct Problem {
    RequestRefusal refusal = RequestRefusal::EndpointFailed;
    RequestOutcome outcome = RequestOutcome::NotRun;
    std::string entry; ///< Name of this entry instance.
    std::string detail;
    Instant retryAt; ///< When asking again makes sense; ignored where it doesn't.
    unsigned endpointStatus = 0; ///< Of the order that was accepted before; 0: not known.
};

/// \returns The HTTP status told for `refusal` with `outcome`.
[[nodiscard]] unsigned statusOf(RequestRefusal refusal, RequestOutcome outcome) noexcept;

/// \returns The answer for `problem`, with Retry-After where coming back makes sense.
[[nodiscard]] HttpResponse problemOf(const Problem& problem);

} // namespace lanemoor
