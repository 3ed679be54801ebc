#include "lanemoor/serve/request/problem.h"

#include "lanemoor/serve/request/request_context.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lanemoor {

namespace {

bool canRetrySucceed(RequestRefusal refusal, RequestOutcome outcome) noexcept
{
    if (outcome != RequestOutcome::NotRun)
        return false;
    return refusal != RequestRefusal::UnknownPool && refusal != RequestRefusal::BadHeader;
}

std::string secondsUntil(Instant instant)
{
    const auto left = std::chrono::ceil<std::chrono::seconds>(instant - currentInstant()).count();
    return std::to_string(std::max<std::int64_t>(1, left));
}

} // namespace

unsigned statusOf(RequestRefusal refusal, RequestOutcome outcome) noexcept
{
    switch (refusal) {
    case RequestRefusal::UnknownPool:
        return 404;
    case RequestRefusal::BadHeader:
        return 400;
    case RequestRefusal::TeamOverQuota:
        return 429;
    case RequestRefusal::AlreadyAccepted:
        return 409;
    case RequestRefusal::EndpointFailed:
    case RequestRefusal::AnswerCut:
        return outcome == RequestOutcome::NotRun ? 503 : 502;
    case RequestRefusal::DeadlinePassed:
        return 504;
    case RequestRefusal::QueueFull:
    case RequestRefusal::NoEndpoint:
    case RequestRefusal::EntryStopping:
    case RequestRefusal::EntryNotReady:
    case RequestRefusal::StoreUnavailable:
        break;
    }
    return 503;
}

HttpResponse problemOf(const Problem& problem)
{
    HttpResponse response;
    response.status = statusOf(problem.refusal, problem.outcome);
    response.headers.add("Content-Type", "application/problem+json");
    response.headers.add(std::string(outcomeHeader), std::string(nameOf(problem.outcome)));
    response.headers.add(std::string(entryHeader), problem.entry);
    if (canRetrySucceed(problem.refusal, problem.outcome))
        response.headers.add("Retry-After", secondsUntil(problem.retryAt));
    nlohmann::json body {
        { "type", "/problems/" + std::string(nameOf(problem.refusal)) },
        { "title", describe(problem.refusal) },
        { "status", response.status },
        { "outcome", nameOf(problem.outcome) },
    };
    if (!problem.detail.empty())
        body["detail"] = problem.detail;
    if (problem.endpointStatus != 0)
        body["endpointStatus"] = problem.endpointStatus;
    response.body = body.dump();
    return response;
}

} // namespace lanemoor
