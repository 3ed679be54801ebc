#pragma once
/// \file
/// A single-threaded HTTP server for concurrent connections.

#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/aio/connection_budget.h"
#include "lanemoor/net/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lanemoor::aio {

/// Sends the response to a request, at once or later. Calls after the first are ignored.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest&, HttpResponder)>;

/// Address, limits and timeouts of a listener.
struct HttpListenerOptions {
    HttpAddress address; ///< Port 0: chosen by the kernel.
    std::shared_ptr<ConnectionBudget> budget {}; ///< Shared by the listeners of a process; null: one of its own with the default limits.
    std::uint32_t maxHeaderBytes = 16'384; ///< Of a header; a chunk header or trailer may have 4 KB more.
    std::uint64_t maxBodyBytes = 1'048'576;
    Millis requestTimeout { 10'000 }; ///< From the first byte of a request to its last.
    Millis idleTimeout { 75'000 }; ///< Between requests; longer than the pauses of the balancer's clients.
    /// Estimates the memory that the handler needs for a request until it responds, in bytes; null: none.
    std::function<std::uint64_t(const HttpRequest&)> handlingBytes {};
    /// Called for each connection that is closed early and each request that is refused; may be null.
    std::function<void(RefusalReason)> onRefused {};
};

/// \brief Reads requests, passes them to a handler and writes the responses, in order on each
/// connection. A malformed request is answered with 400, an oversized body with 413, and one for which there is no memory with 503;
/// the handler sees none of these. A connection that the budget closes has no response.
class HttpListener {
public:
    /// \throws std::runtime_error if the address can't be listened on.
    HttpListener(AsioEventLoop& loop, HttpListenerOptions options, HttpHandler handler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /// \brief Stops accepting connections, and closes the open ones after their next response.
    void drain();

    /// \brief Keeps accepting connections, and closes each after its next response.
    void closeAfterAnswers();

    [[nodiscard]] std::uint16_t port() const noexcept;

    /// \returns The number of requests that were passed to the handler and are not answered yet.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::aio
