#include "lanemoor/client/operator_client.h"

#include "lanemoor/decisions/time.h"
#include "lanemoor/net/http_connection.h"

#include <utility>

namespace lanemoor {

namespace {

constexpr Millis callTimeout { 10'000 };
constexpr std::size_t maxAnswerBytes = 64 * 1024 * 1024;

} // namespace

OperatorClient::OperatorClient(OperatorClientOptions options)
    : m_options(std::move(options))
{
}

std::optional<HttpResponse> OperatorClient::call(std::string_view method, std::string_view target, std::string_view body, std::string_view condition)
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    if (condition == "*")
        request.headers.add("If-None-Match", "*");
    else if (!condition.empty())
        request.headers.add("If-Match", std::string(condition));
    if (!m_options.token.empty())
        request.headers.add("Authorization", "Bearer " + m_options.token);
    HttpConnection connection(m_options.address);
    BufferSink sink(maxAnswerBytes);
    const ExchangeResult result = connection.exchange(request, sink, { .deadline = currentInstant() + callTimeout });
    if (result.fault == ExchangeFault::None)
        return sink.response();
    m_lastReason = m_options.address.ip + ':' + std::to_string(m_options.address.port) + ": " + describe(result.fault);
    return std::nullopt;
}

} // namespace lanemoor
