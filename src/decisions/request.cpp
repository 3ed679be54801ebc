#include "lanemoor/decisions/request.h"

namespace lanemoor {

std::string_view nameOf(RequestClass requestClass) noexcept
{
    switch (requestClass) {
    case RequestClass::Check:
        return "check";
    case RequestClass::Listener:
        return "listener";
    case RequestClass::Batch:
        return "batch";
    case RequestClass::Order:
        return "order";
    }
    return "unknown";
}

std::string_view nameOf(RequestOutcome outcome) noexcept
{
    switch (outcome) {
    case RequestOutcome::Ran:
        return "ran";
    case RequestOutcome::NotRun:
        return "not-run";
    case RequestOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view nameOf(RequestRefusal refusal) noexcept
{
    switch (refusal) {
    case RequestRefusal::UnknownPool:
        return "unknown-pool";
    case RequestRefusal::BadHeader:
        return "bad-header";
    case RequestRefusal::DeadlinePassed:
        return "deadline-passed";
    case RequestRefusal::QueueFull:
        return "queue-full";
    case RequestRefusal::TeamOverQuota:
        return "team-over-quota";
    case RequestRefusal::NoEndpoint:
        return "no-endpoint";
    case RequestRefusal::EntryStopping:
        return "entry-stopping";
    case RequestRefusal::EntryNotReady:
        return "entry-not-ready";
    case RequestRefusal::StoreUnavailable:
        return "store-away";
    case RequestRefusal::AlreadyAccepted:
        return "already-accepted";
    case RequestRefusal::EndpointFailed:
        return "endpoint-failed";
    case RequestRefusal::AnswerCut:
        return "answer-cut";
    }
    return "unknown";
}

std::string_view describe(RequestRefusal refusal) noexcept
{
    switch (refusal) {
    case RequestRefusal::UnknownPool:
        return "no pool of this name is configured";
    case RequestRefusal::BadHeader:
        return "a request header can't be read";
    case RequestRefusal::DeadlinePassed:
        return "the deadline has passed or can't be met";
    case RequestRefusal::QueueFull:
        return "too many requests wait already";
    case RequestRefusal::TeamOverQuota:
        return "the team has as many requests in flight as its quota permits";
    case RequestRefusal::NoEndpoint:
        return "no instance of the pool is in service";
    case RequestRefusal::EntryStopping:
        return "this entry instance is being stopped";
    case RequestRefusal::EntryNotReady:
        return "this entry instance is not ready";
    case RequestRefusal::StoreUnavailable:
        return "the configuration store is away, so the order can't be claimed";
    case RequestRefusal::AlreadyAccepted:
        return "an order with this idempotency key was accepted before";
    case RequestRefusal::EndpointFailed:
        return "the endpoint failed";
    case RequestRefusal::AnswerCut:
        return "the endpoint's answer was cut";
    }
    return "unknown refusal";
}

} // namespace lanemoor
