#pragma once
/// \file
/// A single-threaded HTTP client for concurrent calls.

#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/aio/connection_budget.h"
#include "lanemoor/net/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lanemoor::aio {

/// How far a call got.
enum class Delivery {
    NotSent, ///< No byte was sent: there was no usable connection in time.
    Unanswered, ///< The server may have read the request; no complete response arrived in time.
    Abandoned, ///< The response began to arrive, and the caller declined the rest.
    Answered,
};

/// A request with its deadlines.
struct HttpCall {
    HttpRequest request;
    jobs::MonotonicInstant deadline; ///< For the response to begin, and to be complete unless `transferDeadline` is set.
    /// For the complete response if its body has begun by `deadline` and no pause in it exceeds
    /// `HttpClientOptions::stallTimeout`.
    std::optional<jobs::MonotonicInstant> transferDeadline {};
    /// Called at most once, when the body begins to arrive, unless the response is already complete. \returns Whether to read the
    /// rest; otherwise the connection is closed. May be null.
    std::function<bool()> onBodyStart {};
};

/// Result of a call.
struct HttpReply {
    Delivery delivery = Delivery::Unanswered;
    HttpResponse response; ///< Set if `delivery` is `Answered`.
};

/// Limits and timeouts of a client.
struct HttpClientOptions {
    std::uint32_t maxConnections = 8; ///< Per address; further calls wait.
    Millis connectTimeout { 1'000 }; ///< A path that drops packets reports no error, and the kernel retries for minutes.
    std::uint64_t maxResponseBytes = 8'388'608; ///< Of a body; more than eight times the store's largest page.
    /// Bounds the memory of the responses that are being read, and may be shared by clients. If it is used up, the calls that were sent
    /// first are unanswered. Null: no bound.
    std::shared_ptr<ConnectionBudget> budget {};
    Millis stallTimeout { 1'000 }; ///< A response of which nothing more arrives for this time is lost.
    Millis idleTimeout { 20'000 }; ///< A connection unused for this time is closed.
};

/// Counts since the start.
struct HttpClientCounts {
    std::uint64_t calls = 0;
    std::uint64_t connections = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t notSent = 0;
    std::uint64_t reads = 0; ///< Reads from connections; each takes a turn of the event loop.
};

/// \brief Sends calls over persistent connections. The client never retries a call, even if a
/// kept connection turns out to be closed. The connection of an unanswered call is reset.
class HttpClient {
public:
    HttpClient(AsioEventLoop& loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// \brief Sends `call`. `done` is called exactly once, never from within `send`.
    void send(const HttpAddress& address, HttpCall call, std::function<void(HttpReply)> done);

    /// \brief Closes the idle connections to `address`.
    void closeIdleConnections(const HttpAddress& address);

    [[nodiscard]] const HttpClientCounts& counts() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::aio
