#include "lanemoor/serve/request/answer_relay.h"

#include "lanemoor/serve/request/request_context.h"

#include <utility>

namespace lanemoor {

namespace {

/// Answers up to this size are buffered and sent as a whole.
constexpr std::uint64_t maxBufferedBytes = 64 * 1024;

HttpHeaders headersForCaller(const HttpHeaders& headers, const std::string& entry)
{
    HttpHeaders passed;
    for (const HttpHeader& header : headers.all()) {
        const bool framing = equalsIgnoringCase(header.name, "Content-Length");
        if (!isHopByHop(header.name) && !framing)
            passed.add(header.name, header.value);
    }
    passed.set(outcomeHeader, std::string(nameOf(RequestOutcome::Ran)));
    passed.set(entryHeader, entry);
    return passed;
}

} // namespace

AnswerRelay::AnswerRelay(HttpExchange& exchange, std::string entry)
    : m_exchange(exchange)
    , m_entry(std::move(entry))
{
}

bool AnswerRelay::begin(const HttpResponseHead& head)
{
    m_response.status = head.status;
    const std::optional<std::string_view> outcome = head.headers.find(outcomeHeader);
    m_notRun = outcome && *outcome == nameOf(RequestOutcome::NotRun);
    m_response.headers = headersForCaller(head.headers, m_entry);
    const std::optional<std::string_view> length = head.headers.find("Content-Length");
    const std::optional<std::uint64_t> bytes = length ? parseDecimal(*length) : std::nullopt;
    const bool isBuffered = m_notRun || head.status == 204 || head.status == 304 || (bytes && *bytes <= maxBufferedBytes);
    if (isBuffered)
        return true;
    m_streaming = true;
    return m_exchange.beginStream({ m_response.status, m_response.headers });
}

bool AnswerRelay::write(std::string_view part)
{
    if (m_streaming)
        return m_exchange.writeStream(part);
    if (m_notRun)
        return true;
    m_response.body.append(part);
    return true;
}

void AnswerRelay::complete()
{
    if (m_streaming)
        m_exchange.endStream();
    else
        m_exchange.respond(m_response);
}

} // namespace lanemoor
