#pragma once
/// \file
/// A client connection for HTTP/1.1.

#include "lanemoor/net/http_message.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace lanemoor {

/// Why an exchange ended without a complete answer.
enum class ExchangeFault {
    None, ///< The answer is complete.
    ConnectFailed, ///< No connection was established; nothing was sent.
    SendFailed, ///< The connection broke while sending.
    ClosedBeforeAnswer, ///< The connection ended before the head of the answer was complete.
    AnswerCut, ///< The connection ended after the head but before the end of the answer.
    AnswerMalformed, ///< The received bytes are not a valid HTTP answer.
    DeadlinePassed,
    Abandoned, ///< The watched socket was closed, or the sink stopped the exchange.
};

/// \returns A short English text for `fault`.
[[nodiscard]] const char* describe(ExchangeFault fault) noexcept;

/// The result of an exchange.
struct ExchangeResult {
    ExchangeFault fault = ExchangeFault::None;
    bool anySent = false; ///< Whether any byte of the request may have been sent.
    bool headSeen = false; ///< Whether the sink received the head of the answer.
};

/// \brief Receives an answer incrementally.
class AnswerSink {
public:
    virtual ~AnswerSink() = default;

    /// \returns False to abandon the exchange.
    [[nodiscard]] virtual bool begin(const HttpResponseHead& head) = 0;

    /// \returns False to abandon the exchange.
    [[nodiscard]] virtual bool write(std::string_view part) = 0;
};

/// \brief Buffers an answer; a body above the size limit abandons the exchange.
class BufferSink final : public AnswerSink {
public:
    explicit BufferSink(std::size_t maxBytes);

    [[nodiscard]] bool begin(const HttpResponseHead& head) override;
    [[nodiscard]] bool write(std::string_view part) override;

    [[nodiscard]] const HttpResponse& response() const noexcept { return m_response; }

private:
    HttpResponse m_response;
    std::size_t m_maxBytes;
};

/// \returns Whether the peer has closed the connection of socket `descriptor`.
[[nodiscard]] bool isClosedByPeer(int descriptor) noexcept;

/// Limits of one exchange.
struct ExchangeOptions {
    std::chrono::system_clock::time_point deadline; ///< Applies to the whole exchange.
    int watchedDescriptor = -1; ///< Abandons the exchange when this socket's peer closes it; -1 for none.
};

/// \brief A connection that sends each request exactly once.
///
/// The HTTP client of cxxtools silently resends a request when a connection that it opened or
/// used before is closed by the peer (see docs/DESIGN.md). This class therefore uses
/// `cxxtools::net::TcpSocket` directly and never opens a second connection.
///
/// \code
/// HttpConnection connection({ "127.0.0.1", 8080 });
/// BufferSink sink(65536);
/// ExchangeResult result = connection.exchange(request, sink, { deadline });
/// \endcode
class HttpConnection {
public:
    explicit HttpConnection(HttpAddress address);
    ~HttpConnection();
    HttpConnection(HttpConnection&&) noexcept;
    HttpConnection& operator=(HttpConnection&&) noexcept;

    /// \brief Connects if necessary, sends `request` once and passes the answer to `sink`.
    [[nodiscard]] ExchangeResult exchange(const HttpRequest& request, AnswerSink& sink, const ExchangeOptions& options);

    /// \returns Whether another request may be sent on this connection.
    [[nodiscard]] bool isReusable() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
