#pragma once
/// \file
/// Forwards an endpoint's answer to the caller.

#include "lanemoor/net/http_connection.h"
#include "lanemoor/net/http_server.h"

#include <cstddef>
#include <string>

namespace lanemoor {

/// \brief Forwards an endpoint's answer to the caller of one request.
///
/// A small answer of known length is buffered and sent as a whole, so that a truncated one can
/// still be replaced by an error. Any other answer is streamed.
class AnswerRelay final : public AnswerSink {
public:
    /// \param entry Name of this entry instance, sent in a header.
    AnswerRelay(HttpExchange& exchange, std::string entry);

    [[nodiscard]] bool begin(const HttpResponseHead& head) override;
    [[nodiscard]] bool write(std::string_view part) override;

    /// \brief Ends the answer after a complete exchange.
    void complete();

    /// \returns Whether the caller has already received a part of the answer.
    [[nodiscard]] bool isStreaming() const noexcept { return m_streaming; }

    /// \returns Whether the endpoint reported that it did not run the request.
    [[nodiscard]] bool reportsNotRun() const noexcept { return m_notRun; }

    [[nodiscard]] unsigned status() const noexcept { return m_response.status; }

private:
    HttpExchange& m_exchange;
    std::string m_entry;
    HttpResponse m_response;
    bool m_streaming = false;
    bool m_notRun = false;
};

} // namespace lanemoor
