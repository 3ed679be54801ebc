#include "lanemoor/aio/http_listener.h"

#include "asio_event_loop_impl.h"
#include "listen.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace lanemoor::aio {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;

constexpr unsigned badRequest = 400;
constexpr unsigned tooLarge = 413;
constexpr Millis acceptPause { 50 }; // After a failed accept, for example without free file descriptors.

HttpRequest makeRequest(http::request<http::string_body>& from)
{
    HttpRequest request;
    request.method = std::string(from.method_string());
    request.target = std::string(from.target());
    for (const auto& field : from)
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    request.body = std::move(from.body());
    return request;
}

/// State shared by all connections of a listener.
struct ListenerState {
    AsioEventLoop& loop;
    HttpListenerOptions options;
    HttpHandler handler;
    std::size_t inFlight = 0;
    std::size_t connections = 0;
    bool draining = false;
};

/// One connection, kept alive by its callbacks.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(Tcp::socket socket, std::shared_ptr<ListenerState> state)
        : m_stream(std::move(socket))
        , m_state(std::move(state))
        , m_buffer(m_state->options.maxHeaderBytes + readSize)
    {
        ++m_state->connections;
    }

    ~Session() { --m_state->connections; }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void start()
    {
        boost::system::error_code ignored;
        m_stream.socket().set_option(Tcp::no_delay(true), ignored);
        waitForRequest();
    }

private:
    void waitForRequest()
    {
        if (m_buffer.size() > 0) {
            readRequest();
            return;
        }
        m_stream.expires_after(m_state->options.idleTimeout);
        m_stream.async_read_some(m_buffer.prepare(readSize), [self = shared_from_this()](const beast::error_code& error, std::size_t bytes) {
            if (error)
                return;
            self->m_buffer.commit(bytes);
            self->readRequest();
        });
    }

    void readRequest()
    {
        m_parser.emplace();
        m_parser->header_limit(m_state->options.maxHeaderBytes);
        m_parser->body_limit(m_state->options.maxBodyBytes);
        m_stream.expires_after(m_state->options.requestTimeout);
        http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](const beast::error_code& error, std::size_t) {
            if (error) {
                self->refuse(error);
                return;
            }
            self->handle();
        });
    }

    void refuse(const beast::error_code& error)
    {
        if (error == http::error::end_of_stream || error.category() != beast::error_code(http::error::bad_method).category())
            return;
        m_keepAlive = false;
        HttpResponse response;
        response.status = error == http::error::body_limit ? tooLarge : badRequest;
        write(std::move(response));
    }

    void handle()
    {
        http::request<http::string_body> message = m_parser->release();
        m_keepAlive = message.keep_alive();
        m_stream.expires_never();
        const HttpRequest request = makeRequest(message);
        ++m_state->inFlight;
        m_state->handler(request, [self = shared_from_this(), answered = false](HttpResponse response) mutable {
            if (answered)
                return;
            answered = true;
            --self->m_state->inFlight;
            self->write(std::move(response));
        });
    }

    void write(HttpResponse from)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(from.status);
        for (const HttpHeader& header : from.headers.all())
            m_response.set(header.name, header.value);
        m_response.body() = std::move(from.body);
        m_response.keep_alive(m_keepAlive && !m_state->draining);
        m_response.prepare_payload();
        m_stream.expires_after(m_state->options.requestTimeout);
        http::async_write(m_stream, m_response, [self = shared_from_this()](const beast::error_code& error, std::size_t) {
            if (error)
                return;
            if (!self->m_response.keep_alive()) {
                beast::error_code ignored;
                self->m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
                return;
            }
            self->waitForRequest();
        });
    }

    static constexpr std::size_t readSize = 4'096;

    beast::tcp_stream m_stream;
    std::shared_ptr<ListenerState> m_state;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    bool m_keepAlive = true;
};

} // namespace

class HttpListener::Impl : public std::enable_shared_from_this<HttpListener::Impl> {
public:
    Impl(AsioEventLoop& loop, HttpListenerOptions options, HttpHandler handler)
        : m_acceptor(loop.impl().context)
        , m_state(std::make_shared<ListenerState>(ListenerState { loop, std::move(options), std::move(handler) }))
    {
        listenOn(m_acceptor, m_state->options.address);
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const boost::system::error_code& error, Tcp::socket socket) {
            if (!self->m_acceptor.is_open())
                return;
            if (error) {
                self->m_state->loop.callAt(self->m_state->loop.now() + acceptPause, [self] { self->accept(); });
                return;
            }
            if (self->m_state->connections < self->m_state->options.maxConnections)
                std::make_shared<Session>(std::move(socket), self->m_state)->start();
            self->accept();
        });
    }

    void closeAfterAnswers() { m_state->draining = true; }

    void drain()
    {
        m_state->draining = true;
        close();
    }

    void close()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    [[nodiscard]] std::size_t inFlight() const { return m_state->inFlight; }

private:
    Tcp::acceptor m_acceptor;
    std::shared_ptr<ListenerState> m_state;
};

HttpListener::HttpListener(AsioEventLoop& loop, HttpListenerOptions options, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(loop, std::move(options), std::move(handler)))
{
    m_impl->accept();
}

HttpListener::~HttpListener()
{
    m_impl->close();
}

void HttpListener::drain()
{
    m_impl->drain();
}

void HttpListener::closeAfterAnswers()
{
    m_impl->closeAfterAnswers();
}

std::uint16_t HttpListener::port() const noexcept
{
    return m_impl->port();
}

std::size_t HttpListener::inFlight() const noexcept
{
    return m_impl->inFlight();
}

} // namespace lanemoor::aio
