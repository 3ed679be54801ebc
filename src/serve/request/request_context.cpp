#include "lanemoor/serve/request/request_context.h"

#include "lanemoor/state/time_text.h"

#include <algorithm>
#include <array>

namespace lanemoor {

namespace {

constexpr Millis listenerDeadline = std::chrono::hours(24);
constexpr Millis batchDeadline = std::chrono::hours(1);
constexpr std::size_t maxKeyBytes = 255;

constexpr std::array<std::string_view, 10> hopByHopHeaders {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Expect",
};

std::optional<RequestClass> classNamed(std::string_view text) noexcept
{
    for (const RequestClass one : { RequestClass::Check, RequestClass::Listener, RequestClass::Batch, RequestClass::Order }) {
        if (nameOf(one) == text)
            return one;
    }
    return std::nullopt;
}

Millis deadlineOf(RequestClass requestClass, Millis defaultDeadline) noexcept
{
    if (requestClass == RequestClass::Listener)
        return listenerDeadline;
    if (requestClass == RequestClass::Batch)
        return batchDeadline;
    return defaultDeadline;
}

/// Splits `/pool/rest?query` into the pool and `/rest?query`.
void splitTarget(std::string_view target, RequestContext& context)
{
    const std::string_view path = pathOf(target);
    const std::size_t begin = path.empty() || path.front() != '/' ? 0 : 1;
    const std::size_t end = std::min(path.find('/', begin), path.size());
    context.pool = path.substr(begin, end - begin);
    const std::string_view rest = target.substr(end);
    context.endpointTarget = rest.empty() || rest.front() != '/' ? "/" + std::string(rest) : std::string(rest);
}

} // namespace

std::variant<RequestContext, BadRequestHeader> readContext(const HttpRequest& request, Instant now, Millis defaultDeadline)
{
    RequestContext context;
    splitTarget(request.target, context);
    context.arrivedAt = now;
    context.team = std::string(request.headers.find(teamHeader).value_or(std::string_view()));

    const std::optional<std::string_view> key = request.headers.find(idempotencyHeader);
    if (key && (key->empty() || key->size() > maxKeyBytes || request.headers.count(idempotencyHeader) > 1))
        return BadRequestHeader { idempotencyHeader };
    context.idempotencyKey = std::string(key.value_or(std::string_view()));

    const bool safeMethod = request.method == "GET" || request.method == "HEAD";
    const std::optional<std::string_view> repeatable = request.headers.find(repeatableHeader);
    if (repeatable && *repeatable != "true" && *repeatable != "false")
        return BadRequestHeader { repeatableHeader };
    context.repeatable = !key && (repeatable ? *repeatable == "true" : safeMethod);

    const std::optional<std::string_view> className = request.headers.find(classHeader);
    const std::optional<RequestClass> named = className ? classNamed(*className) : std::nullopt;
    if (className && !named)
        return BadRequestHeader { classHeader };
    context.requestClass = key ? RequestClass::Order : named.value_or(RequestClass::Check);

    const std::optional<std::string_view> deadline = request.headers.find(deadlineHeader);
    const std::optional<Instant> instant = deadline ? parseInstant(*deadline) : std::nullopt;
    if (deadline && !instant)
        return BadRequestHeader { deadlineHeader };
    context.deadline = instant.value_or(now + deadlineOf(context.requestClass, defaultDeadline));
    return context;
}

bool isHopByHop(std::string_view name) noexcept
{
    return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), [&](std::string_view hop) { return equalsIgnoringCase(hop, name); });
}

HttpRequest requestForEndpoint(const HttpRequest& request, const RequestContext& context)
{
    HttpRequest forwarded;
    forwarded.method = request.method;
    forwarded.target = context.endpointTarget;
    forwarded.body = request.body;
    for (const HttpHeader& header : request.headers.all()) {
        const bool replaced = equalsIgnoringCase(header.name, "Content-Length") || equalsIgnoringCase(header.name, "Host") || equalsIgnoringCase(header.name, deadlineHeader);
        if (!isHopByHop(header.name) && !replaced)
            forwarded.headers.add(header.name, header.value);
    }
    forwarded.headers.add(std::string(deadlineHeader), formatInstant(context.deadline));
    return forwarded;
}

} // namespace lanemoor
