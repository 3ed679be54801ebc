#pragma once
/// \file
/// An HTTP server for many connections on one thread.

#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/net/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lanemoor::aio {

/// Answers a request once, now or later.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest&, HttpResponder)>;

/// Bounds of a listener.
struct HttpListenerOptions {
    HttpAddress address; ///< Port 0: chosen by the kernel.
    std::uint32_t mostConnections = 1'500; ///< Further ones are closed at once; well below an entry's descriptors.
    std::uint32_t mostHeaderBytes = 16'384;
    std::uint64_t mostBodyBytes = 1'048'576;
    Millis requestTime { 10'000 }; ///< From the first byte of a request to its last.
    Millis idleTime { 75'000 }; ///< Between requests; longer than the balancer's clients pause.
};

/// \brief Reads requests, hands them to a handler and writes the answers, in order on each
/// connection. A request that can't be read is answered with 400 or 413.
class HttpListener {
public:
    /// \throws std::runtime_error if the address can't be listened on.
    HttpListener(AsioEventLoop& loop, HttpListenerOptions options, HttpHandler handler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /// \brief Accepts no more connections; the open ones end with their next answer.
    void drain();

    /// \brief Goes on accepting connections, and closes each after its next answer.
    void closeAfterAnswers();

    [[nodiscard]] std::uint16_t port() const noexcept;

    /// \returns Requests that were handed over and are not answered yet.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::aio
