#pragma once
/// \file
/// One HTTP/1.1 connection to an endpoint, or to the platform.

#include "lanemoor/net/http_message.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace lanemoor {

/// How an exchange ended short of a whole answer.
enum class ExchangeFault {
    None, ///< The whole answer came.
    ConnectFailed, ///< No connection; nothing was sent.
    SendFailed, ///< The connection broke while sending.
    ClosedBeforeAnswer, ///< The peer closed before its answer began.
    AnswerCut, ///< The peer closed within its answer.
    AnswerMalformed, ///< What came is not an HTTP answer that can be framed.
    DeadlinePassed,
    Abandoned, ///< The watched descriptor closed, or the sink refused.
};

/// \returns A short English text for `fault`.
[[nodiscard]] const char* describe(ExchangeFault fault) noexcept;

/// How an exchange went.
struct ExchangeResult {
    ExchangeFault fault = ExchangeFault::None;
    bool anySent = false; ///< Whether a byte of the request may have left.
    bool headSeen = false; ///< Whether the answer's head was handed to the sink.
};

/// \brief Takes an answer as it comes.
class AnswerSink {
public:
    virtual ~AnswerSink() = default;

    /// \returns False to give the exchange up.
    [[nodiscard]] virtual bool begin(const HttpResponseHead& head) = 0;

    /// \returns False to give the exchange up.
    [[nodiscard]] virtual bool write(std::string_view part) = 0;
};

/// \brief Keeps a whole answer, up to a bound.
class BufferSink final : public AnswerSink {
public:
    explicit BufferSink(std::size_t mostBytes);

    [[nodiscard]] bool begin(const HttpResponseHead& head) override;
    [[nodiscard]] bool write(std::string_view part) override;

    [[nodiscard]] const HttpResponse& response() const noexcept { return m_response; }

private:
    HttpResponse m_response;
    std::size_t m_mostBytes;
};

/// \returns Whether the peer of socket `descriptor` has closed it.
[[nodiscard]] bool isClosedByPeer(int descriptor) noexcept;

/// What binds one exchange.
struct ExchangeOptions {
    std::chrono::system_clock::time_point deadline; ///< For the whole exchange.
    int watchedDescriptor = -1; ///< Give up when this socket's peer closes it; -1: none.
};

/// \brief A connection on which a request is sent exactly once.
///
/// The client of cxxtools sends a request again by itself when a connection that it
/// has used or opened before is closed on it (measured; see docs/DESIGN.md), so this
/// one stands on `cxxtools::net::TcpSocket`. It never opens a second connection.
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

    /// \brief Connects if need be, sends `request` once and hands the answer to `sink`.
    [[nodiscard]] ExchangeResult exchange(const HttpRequest& request, AnswerSink& sink, const ExchangeOptions& options);

    /// \returns Whether another request may be sent on this connection.
    [[nodiscard]] bool isReusable() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
