#include "lanemoor/net/http_server.h"

#include "body_budget.h"
#include "port_reservation.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>
#include <exception>
#include <istream>
#include <optional>
#include <ostream>
#include <thread>

namespace lanemoor {

namespace {

using SteadyClock = std::chrono::steady_clock;

/// A request refused before it reaches the handler.
class RefusedRequest : public std::exception {
public:
    RefusedRequest(unsigned status, const char* reason) noexcept
        : m_status(status)
        , m_reason(reason)
    {
    }

    [[nodiscard]] unsigned status() const noexcept { return m_status; }
    [[nodiscard]] const char* what() const noexcept override { return m_reason; }

private:
    unsigned m_status;
    const char* m_reason;
};

/// Validates the framing of a request. \returns The length of its body in bytes.
std::size_t checkFraming(const cxxtools::http::RequestHeader& header, std::size_t maxBytes)
{
    std::optional<std::uint64_t> length;
    for (const auto& field : header) {
        if (equalsIgnoringCase(field.first, "Transfer-Encoding"))
            throw RefusedRequest(411, "a body needs a Content-Length");
        if (!equalsIgnoringCase(field.first, "Content-Length"))
            continue;
        if (length)
            throw RefusedRequest(400, "more than one Content-Length");
        length = parseDecimal(field.second);
        if (!length)
            throw RefusedRequest(400, "Content-Length is not a number");
    }
    if (length.value_or(0) > maxBytes)
        throw RefusedRequest(413, "the body is too large");
    return static_cast<std::size_t>(length.value_or(0));
}

void writeAll(cxxtools::net::TcpSocket& socket, std::string_view bytes)
{
    while (!bytes.empty())
        bytes.remove_prefix(socket.write(bytes.data(), bytes.size()));
}

std::string serializeHead(const HttpResponseHead& head)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ' + reasonPhrase(head.status) + "\r\n";
    for (const HttpHeader& header : head.headers.all())
        text += header.name + ": " + header.value + "\r\n";
    return text + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
}

std::string chunkOf(std::string_view part)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    std::string chunk(size);
    chunk.append(part.data(), part.size());
    return chunk + "\r\n";
}

/// The exchange passed to the handler, on top of a cxxtools reply.
class Exchange final : public HttpExchange {
public:
    Exchange(HttpRequest request, cxxtools::net::TcpSocket& socket, std::ostream& out, cxxtools::http::Reply& reply)
        : m_request(std::move(request))
        , m_socket(socket)
        , m_out(out)
        , m_reply(reply)
    {
    }

    [[nodiscard]] const HttpRequest& request() const noexcept override { return m_request; }
    [[nodiscard]] int descriptor() const noexcept override { return m_socket.getFd(); }

    void respond(const HttpResponse& response) override
    {
        m_reply.httpReturn(response.status, reasonPhrase(response.status));
        for (const HttpHeader& header : response.headers.all())
            m_reply.setHeader(header.name.c_str(), header.value.c_str());
        m_out.write(response.body.data(), static_cast<std::streamsize>(response.body.size()));
        m_answered = true;
    }

    [[nodiscard]] bool beginStream(const HttpResponseHead& head) override
    {
        m_streaming = true;
        m_answered = true;
        return send(serializeHead(head));
    }

    [[nodiscard]] bool writeStream(std::string_view part) override
    {
        return part.empty() || send(chunkOf(part));
    }

    void abort() override
    {
        m_streaming = true;
        m_answered = true;
    }

    void endStream() override
    {
        static_cast<void>(send("0\r\n\r\n"));
    }

    /// Closes the connection of a streamed answer so that the library appends nothing to it.
    void finish()
    {
        if (m_streaming)
            m_socket.close();
        else if (!m_answered)
            respond({ 500, {}, {} });
    }

private:
    [[nodiscard]] bool send(std::string_view bytes)
    {
        try {
            writeAll(m_socket, bytes);
        } catch (const std::exception&) {
            return false;
        }
        return true;
    }

    HttpRequest m_request;
    cxxtools::net::TcpSocket& m_socket;
    std::ostream& m_out;
    cxxtools::http::Reply& m_reply;
    bool m_streaming = false;
    bool m_answered = false;
};

class Responder final : public cxxtools::http::Responder {
public:
    Responder(cxxtools::http::Service& service, const HttpServerOptions& options, BodyBudget& budget, HttpHandler& handler)
        : cxxtools::http::Responder(service)
        , m_options(options)
        , m_handler(handler)
        , m_reservation(budget)
    {
    }

    void beginRequest(cxxtools::net::TcpSocket& socket, std::istream&, cxxtools::http::Request& request) override
    {
        m_socket = &socket;
        releaseBody();
        m_deadline = SteadyClock::now() + m_options.readTimeout;
        m_remaining = checkFraming(request.header(), m_options.maxBodyBytes);
    }

    std::size_t readBody(std::istream& in) override
    {
        if (SteadyClock::now() >= m_deadline)
            throw RefusedRequest(408, "the body came too slowly");
        const std::streamsize available = in.rdbuf()->in_avail();
        const auto wanted = static_cast<std::size_t>(std::max<std::streamsize>(available, 0));
        const std::size_t bytes = std::min(wanted, m_remaining);
        const std::size_t before = m_body.size();
        makeRoom(before + bytes);
        m_body.resize(before + bytes);
        in.read(m_body.data() + before, static_cast<std::streamsize>(bytes));
        m_remaining -= bytes;
        return bytes;
    }

    void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override
    {
        Exchange exchange(convert(request), *m_socket, out, reply);
        m_handler.handle(exchange);
        exchange.finish();
        m_reservation.clear();
    }

    void replyError(std::ostream& out, cxxtools::http::Request&, cxxtools::http::Reply& reply, const std::exception& error) override
    {
        constexpr unsigned unavailable = 503;
        const auto* refused = dynamic_cast<const RefusedRequest*>(&error);
        const unsigned status = refused ? refused->status() : 400;
        releaseBody();
        if (m_options.onRefused)
            m_options.onRefused(status);
        if (status == unavailable)
            reply.setHeader("Retry-After", "1");
        reply.httpReturn(status, reasonPhrase(status));
        reply.setHeader("Content-Type", "application/problem+json");
        reply.setHeader("Connection", "close");
        out << R"({"type":"/problems/bad-request","status":)" << status << R"(,"title":")" << (refused ? refused->what() : "the request is malformed") << "\"}";
    }

private:
    void releaseBody()
    {
        std::string().swap(m_body);
        m_reservation.clear();
    }

    /// Doubles the memory of the body up to its announced length, within the budget of all bodies.
    void makeRoom(std::size_t bytes)
    {
        if (bytes <= m_body.capacity())
            return;
        const std::size_t capacity = std::min(std::max(bytes, 2 * m_body.capacity()), m_body.size() + m_remaining);
        if (!m_reservation.growTo(capacity))
            throw RefusedRequest(503, "too many bodies are being read");
        m_body.reserve(capacity);
    }

    HttpRequest convert(const cxxtools::http::Request& request)
    {
        HttpRequest converted;
        converted.method = request.method();
        converted.target = request.header().query();
        for (const auto& field : request.header())
            converted.headers.add(field.first, field.second);
        converted.body = std::move(m_body);
        return converted;
    }

    const HttpServerOptions& m_options;
    HttpHandler& m_handler;
    cxxtools::net::TcpSocket* m_socket = nullptr;
    std::string m_body;
    BodyReservation m_reservation;
    std::size_t m_remaining = 0;
    SteadyClock::time_point m_deadline;
};

class ResponderService final : public cxxtools::http::Service {
public:
    ResponderService(const HttpServerOptions& options, HttpHandler& handler)
        : m_options(options)
        , m_handler(handler)
        , m_budget(options.maxAllBodyBytes)
    {
    }

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override
    {
        return new Responder(*this, m_options, m_budget, m_handler);
    }

    void releaseResponder(cxxtools::http::Responder* responder) override
    {
        delete responder;
    }

private:
    const HttpServerOptions& m_options;
    HttpHandler& m_handler;
    BodyBudget m_budget;
};

} // namespace

class HttpServer::Impl {
public:
    Impl(const HttpServerOptions& options, HttpHandler& handler)
        : m_options(options)
        , m_service(m_options, handler)
        , m_server(m_loop)
    {
        m_server.readTimeout(cxxtools::Milliseconds(static_cast<double>(m_options.readTimeout.count())));
        m_server.keepAliveTimeout(cxxtools::Milliseconds(static_cast<double>(m_options.idleTimeout.count())));
        m_server.maxThreads(m_options.maxThreads);
        m_server.addService(cxxtools::Regex(".*"), m_service);
        listen();
        m_thread = std::thread([this] { m_loop.run(); });
    }

    ~Impl()
    {
        m_loop.exit();
        m_thread.join();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }

private:
    void listen()
    {
        std::optional<PortReservation> reservation;
        if (m_options.port == 0)
            reservation.emplace(m_options.ip);
        m_port = reservation ? reservation->port() : m_options.port;
        m_server.listen(m_options.ip, m_port, m_options.certificateFile, m_options.keyFile);
    }

    HttpServerOptions m_options;
    ResponderService m_service;
    cxxtools::EventLoop m_loop;
    cxxtools::http::Server m_server;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

HttpServer::HttpServer(const HttpServerOptions& options, HttpHandler& handler)
    : m_impl(std::make_unique<Impl>(options, handler))
{
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const noexcept
{
    return m_impl->port();
}

} // namespace lanemoor
