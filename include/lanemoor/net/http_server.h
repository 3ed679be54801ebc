#pragma once
/// \file
/// An HTTP server based on cxxtools. It rejects malformed framing that the library would accept.

#include "lanemoor/net/http_message.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lanemoor {

/// \brief One request and its answer. Valid only while the request is handled.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest& request() const noexcept = 0;

    /// \returns The caller's socket, used to detect a disconnected caller.
    [[nodiscard]] virtual int descriptor() const noexcept = 0;

    /// \brief Sends a complete answer. Called at most once, and never after `beginStream`.
    virtual void respond(const HttpResponse& response) = 0;

    /// \brief Begins a streamed answer with chunked encoding.
    /// \returns False if the caller has disconnected.
    [[nodiscard]] virtual bool beginStream(const HttpResponseHead& head) = 0;

    /// \returns False if the caller has disconnected.
    [[nodiscard]] virtual bool writeStream(std::string_view part) = 0;

    /// \brief Closes the connection without any further answer.
    virtual void abort() = 0;

    /// \brief Ends the stream. Without this call the caller detects a truncated answer.
    virtual void endStream() = 0;
};

/// \brief Handles requests. Called by several threads concurrently.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    virtual void handle(HttpExchange& exchange) = 0;
};

/// Options of a server.
struct HttpServerOptions {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 lets the kernel choose.
    std::string certificateFile; ///< PEM; empty disables TLS.
    std::string keyFile;
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxAllBodyBytes = 24 * 1024 * 1024; ///< Of all requests that are being read or handled; above it, 503.
    unsigned maxThreads = 64; ///< Requests handled concurrently; further ones wait.
    std::chrono::milliseconds readTimeout { 5'000 }; ///< For one complete body.
    std::chrono::milliseconds idleTimeout { 30'000 }; ///< For a connection between requests.
    /// Called with the status of each request that is refused before it is handled, by several threads concurrently; may be null.
    std::function<void(unsigned status)> onRefused;
};

/// \brief A server that listens from construction to destruction.
///
/// Requests with a chunked body, with a repeated, negative or conflicting length, or with a body
/// above the limit get a 4xx answer and their connection is closed.
class HttpServer {
public:
    /// \throws std::runtime_error if it can't listen.
    HttpServer(const HttpServerOptions& options, HttpHandler& handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// \returns The port it listens on.
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
