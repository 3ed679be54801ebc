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
constexpr unsigned unavailable = 503;
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
    bool draining = false;

    void noteRefused(RefusalReason reason) const
    {
        if (options.onRefused)
            options.onRefused(reason);
    }
};

/// One connection, kept alive by its callbacks.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(Tcp::socket socket, std::shared_ptr<ListenerState> state)
        : m_stream(std::move(socket))
        , m_state(std::move(state))
        , m_buffer(m_state->options.maxHeaderBytes + readSize)
    {
    }

    ~Session() { budget().remove(m_id); }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void start()
    {
        const std::optional<ConnectionBudget::Id> id = budget().open(m_state->loop.now(), [weak = weak_from_this()](RefusalReason reason) {
            if (const std::shared_ptr<Session> self = weak.lock())
                self->evict(reason);
        });
        if (!id) {
            m_state->noteRefused(RefusalReason::Connections);
            return;
        }
        m_id = *id;
        boost::system::error_code ignored;
        m_stream.socket().set_option(Tcp::no_delay(true), ignored);
        waitForRequest();
    }

private:
    [[nodiscard]] ConnectionBudget& budget() const { return *m_state->options.budget; }

    void enter(ConnectionPhase phase) { budget().enter(m_id, phase, m_state->loop.now()); }

    /// \returns The memory of this connection with `bytes` beyond its buffer.
    [[nodiscard]] std::uint64_t memoryWith(std::uint64_t bytes) const { return connectionBytes + m_buffer.capacity() + bytes; }

    [[nodiscard]] bool reserve(std::uint64_t bytes) { return budget().reserve(m_id, memoryWith(bytes)); }

    void evict(RefusalReason reason)
    {
        m_state->noteRefused(reason);
        m_stream.close();
        // The cancelled read ends later, in a turn of its own; the memory is needed now.
        if (m_parser)
            std::string().swap(m_parser->get().body());
    }

    void waitForRequest()
    {
        enter(ConnectionPhase::Idle);
        if (m_buffer.size() > 0) {
            readRequest();
            return;
        }
        m_stream.expires_after(m_state->options.idleTimeout);
        m_buffer.shrink_to_fit();
        if (!reserve(readSize)) {
            m_state->noteRefused(RefusalReason::Memory);
            return;
        }
        m_stream.async_read_some(m_buffer.prepare(readSize), [self = shared_from_this()](const beast::error_code& error, std::size_t bytes) {
            if (error)
                return;
            self->m_buffer.commit(bytes);
            self->readRequest();
        });
    }

    void readRequest()
    {
        enter(ConnectionPhase::Reading);
        m_parser.emplace();
        m_parser->header_limit(m_state->options.maxHeaderBytes);
        m_parser->body_limit(m_state->options.maxBodyBytes);
        m_stream.expires_after(m_state->options.requestTimeout);
        http::async_read_header(m_stream, m_buffer, *m_parser, [self = shared_from_this()](const beast::error_code& error, std::size_t) {
            const auto& fields = self->m_parser->get().base();
            self->m_fieldBytes = static_cast<std::uint64_t>(std::distance(fields.begin(), fields.end())) * bytesPerField;
            self->m_parser->eager(true);
            self->continueReading(error);
        });
    }

    void continueReading(const beast::error_code& error)
    {
        if (error) {
            refuse(error);
            return;
        }
        if (m_parser->is_done()) {
            handle();
            return;
        }
        if (!reserve(bodyBytes())) {
            refuse(unavailable, RefusalReason::Memory);
            return;
        }
        http::async_read_some(m_stream, m_buffer, *m_parser, [self = shared_from_this()](const beast::error_code& bad, std::size_t) { self->continueReading(bad); });
    }

    /// \returns The memory that header and body need after the next read: an unknown length doubles the memory when it is used up.
    [[nodiscard]] std::uint64_t bodyBytes() const
    {
        const std::uint64_t bytes = m_parser->get().body().size() + m_buffer.capacity();
        return m_fieldBytes + (m_parser->content_length() ? bytes : 2 * bytes);
    }

    void refuse(const beast::error_code& error)
    {
        if (error == http::error::end_of_stream || error.category() != beast::error_code(http::error::bad_method).category())
            return;
        if (error == http::error::body_limit)
            refuse(tooLarge, RefusalReason::Body);
        else if (error == http::error::header_limit || error == http::error::buffer_overflow)
            refuse(badRequest, RefusalReason::Header);
        else
            refuse(badRequest, RefusalReason::Malformed);
    }

    /// Answers a request that was not passed on, and closes the connection.
    void refuse(unsigned status, RefusalReason reason)
    {
        m_state->noteRefused(reason);
        m_keepAlive = false;
        m_isRefused = true;
        m_parser.reset();
        HttpResponse response;
        response.status = status;
        if (status == unavailable)
            response.headers.add("Retry-After", "1");
        write(std::move(response));
    }

    void handle()
    {
        http::request<http::string_body> message = m_parser->release();
        m_keepAlive = message.keep_alive();
        m_stream.expires_never();
        const HttpRequest request = makeRequest(message);
        const std::uint64_t handlingBytes = m_state->options.handlingBytes ? m_state->options.handlingBytes(request) : 0;
        const std::uint64_t bytes = request.body.capacity() + handlingBytes;
        if (memoryWith(bytes) > budget().maxBytes()) {
            refuse(tooLarge, RefusalReason::Body); // A retry would not succeed either.
            return;
        }
        enter(ConnectionPhase::Handling); // From here on memory is taken from others.
        if (!reserve(bytes)) {
            refuse(unavailable, RefusalReason::Memory);
            return;
        }
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
        enter(ConnectionPhase::Writing);
        if (!reserve(from.body.size())) {
            m_state->noteRefused(RefusalReason::Memory);
            m_stream.close();
            return;
        }
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
            const bool keepAlive = self->m_response.keep_alive();
            self->m_response = {};
            if (keepAlive) {
                self->waitForRequest();
                return;
            }
            beast::error_code ignored;
            self->m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
            if (self->m_isRefused)
                self->discardInput(maxDiscardedBytes);
        });
    }

    /// Reads what a refused client still sends: a close with unread input resets the connection, and the client would lose the response.
    void discardInput(std::size_t bytesLeft)
    {
        enter(ConnectionPhase::Closing);
        m_stream.expires_after(maxDiscardTime);
        m_buffer.clear();
        m_stream.async_read_some(m_buffer.prepare(readSize), [self = shared_from_this(), bytesLeft](const beast::error_code& error, std::size_t bytes) {
            if (!error && bytes < bytesLeft)
                self->discardInput(bytesLeft - bytes);
        });
    }

    static constexpr std::size_t readSize = 4'096;
    static constexpr std::uint64_t connectionBytes = 4'096; ///< Of a session without its buffer and messages.
    static constexpr std::uint64_t bytesPerField = 128; ///< Of a parsed header field beyond its text.
    static constexpr std::size_t maxDiscardedBytes = 1'048'576;
    static constexpr Millis maxDiscardTime { 1'000 }; ///< For each read.

    beast::tcp_stream m_stream;
    std::shared_ptr<ListenerState> m_state;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    std::uint64_t m_fieldBytes = 0; ///< Of the parsed header.
    ConnectionBudget::Id m_id = 0;
    bool m_keepAlive = true;
    bool m_isRefused = false;
};

} // namespace

class HttpListener::Impl : public std::enable_shared_from_this<HttpListener::Impl> {
public:
    Impl(AsioEventLoop& loop, HttpListenerOptions options, HttpHandler handler)
        : m_acceptor(loop.impl().context)
        , m_state(std::make_shared<ListenerState>(ListenerState { loop, std::move(options), std::move(handler) }))
    {
        if (!m_state->options.budget)
            m_state->options.budget = std::make_shared<ConnectionBudget>(ConnectionBudgetOptions {});
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
