#pragma once
/// \file
/// An HTTP client for many calls at once on one thread.

#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/net/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lanemoor::aio {

/// How far a call came.
enum class Delivery {
    NotSent, ///< No byte of it left: there was no connection.
    Unanswered, ///< It may have been read; no whole answer came in time.
    Abandoned, ///< The answer began to arrive, and the caller did not want the rest.
    Answered,
};

/// A call.
struct HttpCall {
    HttpRequest request;
    jobs::MonotonicInstant deadline; ///< For the answer to begin, and for all of it if no later `transferDeadline` is given.
    /// For the whole of an answer whose body has begun by `deadline`, while no pause in it is longer than
    /// `HttpClientOptions::stallTime`.
    std::optional<jobs::MonotonicInstant> transferDeadline {};
    /// Called at most once, when the answer's body begins to arrive, unless all of it has come. \returns Whether the rest is wanted;
    /// otherwise the connection is closed. May be null.
    std::function<bool()> begun {};
};

/// What came of a call.
struct HttpReply {
    Delivery delivery = Delivery::Unanswered;
    HttpResponse response; ///< If answered.
};

/// Bounds of a client.
struct HttpClientOptions {
    std::uint32_t mostConnections = 8; ///< To one address; further calls wait.
    Millis connectTime { 1'000 }; ///< A path that drops packets says nothing; the kernel would try for minutes.
    std::uint64_t mostResponseBytes = 8'388'608; ///< Above eight times the store's largest page.
    Millis stallTime { 1'000 }; ///< An answer of which nothing more has come for so long is lost.
    Millis idleTime { 20'000 }; ///< A connection unused for so long is closed.
};

/// Counts since the start.
struct HttpClientCounts {
    std::uint64_t calls = 0;
    std::uint64_t connections = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t notSent = 0;
};

/// \brief Sends calls over kept connections. A call is sent once: it is never repeated by
/// the client, also not if a kept connection turns out to be closed.
class HttpClient {
public:
    HttpClient(AsioEventLoop& loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// \brief Sends `call`; `done` is called exactly once, never from within.
    void send(const HttpAddress& address, HttpCall call, std::function<void(HttpReply)> done);

    /// \brief Closes the idle connections to `address`.
    void forget(const HttpAddress& address);

    [[nodiscard]] const HttpClientCounts& counts() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::aio
