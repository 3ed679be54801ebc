#pragma once
/// \file
/// A single-threaded HTTP server for concurrent connections.

#include "lanemoor/aio/asio_event_loop.h"
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
    std::uint32_t maxConnections = 1'500; ///< Further ones are closed at once; well below an entry's limit of file descriptors.
    std::uint32_t maxHeaderBytes = 16'384; ///< Of a header; a chunk header or trailer may have 4 KB more.
    std::uint64_t maxBodyBytes = 1'048'576;
    Millis requestTimeout { 10'000 }; ///< From the first byte of a request to its last.
    Millis idleTimeout { 75'000 }; ///< Between requests; longer than the pauses of the balancer's clients.
};

/// \brief Reads requests, passes them to a handler and writes the responses, in order on each
/// connection. A malformed request is answered with 400, an oversized body with 413.
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
