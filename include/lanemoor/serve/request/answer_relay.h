#pragma once
/// \file
/// Passes an endpoint's answer on to the caller.

#include "lanemoor/net/http_connection.h"
#include "lanemoor/net/http_server.h"

#include <cstddef>
#include <string>

namespace lanemoor {

/// \brief Takes an endpoint's answer and gives it to the caller of one request.
///
/// A small answer of known length is kept and sent whole, so that one that is cut can
/// still be replaced by an error. Any other answer is passed on as it comes.
class AnswerRelay final : public AnswerSink {
public:
    /// \param entry Name of this entry instance, told in a header.
    AnswerRelay(HttpExchange& exchange, std::string entry);

    [[nodiscard]] bool begin(const HttpResponseHead& head) override;
    [[nodiscard]] bool write(std::string_view part) override;

    /// \brief Ends the answer after a whole exchange.
    void complete();

    /// \returns Whether anything of the answer has been sent to the caller.
    [[nodiscard]] bool isStreaming() const noexcept { return m_streaming; }

    /// \returns Whether the endpoint said that it did not run the request.
    [[nodiscard]] bool saysNotRun() const noexcept { return m_notRun; }

    [[nodiscard]] unsigned status() const noexcept { return m_response.status; }

private:
    HttpExchange& m_exchange;
    std::string m_entry;
    HttpResponse m_response;
    bool m_streaming = false;
    bool m_notRun = false;
};

} // namespace lanemoor
