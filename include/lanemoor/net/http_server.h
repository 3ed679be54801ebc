#pragma once
/// \file
/// An HTTP server on cxxtools, with guards against what its library lets through.

#include "lanemoor/net/http_message.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace lanemoor {

/// \brief One request and the way to answer it. Lives while the request does.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest& request() const noexcept = 0;

    /// \returns The caller's socket, to see whether the caller has gone.
    [[nodiscard]] virtual int descriptor() const noexcept = 0;

    /// \brief Answers with a whole answer. Called at most once, and not with `beginStream`.
    virtual void respond(const HttpResponse& response) = 0;

    /// \brief Begins an answer that is sent as it comes, in chunks.
    /// \returns False if the caller has gone.
    [[nodiscard]] virtual bool beginStream(const HttpResponseHead& head) = 0;

    /// \returns False if the caller has gone.
    [[nodiscard]] virtual bool writeStream(std::string_view part) = 0;

    /// \brief Closes the connection with no further answer.
    virtual void abort() = 0;

    /// \brief Ends the stream. Without it the caller sees that the answer was cut.
    virtual void endStream() = 0;
};

/// \brief Answers requests, on several threads at once.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    virtual void handle(HttpExchange& exchange) = 0;
};

/// Options of a server.
struct HttpServerOptions {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: chosen by the kernel.
    std::string certificateFile; ///< PEM; empty: no TLS.
    std::string keyFile;
    std::size_t mostBodyBytes = 1024 * 1024;
    unsigned mostThreads = 64; ///< Requests handled at once; more wait.
    std::chrono::milliseconds readLimit { 5'000 }; ///< For one body as a whole.
    std::chrono::milliseconds idleLimit { 30'000 }; ///< For a connection between requests.
};

/// \brief A server that listens from construction to destruction.
///
/// Requests with a chunked body, with a doubled, negative or conflicting length, or
/// larger than the bound are answered with a 4xx and their connection is closed.
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
