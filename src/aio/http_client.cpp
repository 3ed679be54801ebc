#include "lanemoor/aio/http_client.h"

#include "asio_event_loop_impl.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace lanemoor::aio {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;

/// Max bytes of one read. Each read takes a turn of the event loop, so a busy loop delays a response by a turn per piece.
constexpr std::size_t maxReadBytes = 65'536;

/// Max bytes of a response that are read and not parsed yet: bounds each chunk header and trailer.
constexpr std::size_t maxBufferBytes = 2 * maxReadBytes;

/// A call that is queued or in progress.
struct PendingCall {
    HttpCall call;
    std::function<void(HttpReply)> done;
};

/// One connection, with the state of its current call.
struct Connection {
    explicit Connection(boost::asio::io_context& context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxBufferBytes };
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    PendingCall pending;
    jobs::MonotonicInstant idleSince;
    std::optional<ConnectionBudget::Id> budgetId; ///< While a call is in progress.
    bool isEvicted = false; ///< Closed by the budget; the response is incomplete.
};

using ConnectionPointer = std::shared_ptr<Connection>;

/// The connections and queued calls of one address.
struct Peer {
    HttpAddress address;
    std::deque<ConnectionPointer> idle;
    std::deque<PendingCall> queued;
    std::uint32_t connections = 0; ///< Including idle ones.
};

http::request<http::string_body> makeRequest(const HttpAddress& address, HttpRequest& from)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(from.method);
    request.target(from.target);
    request.set(http::field::host, address.ip + ':' + std::to_string(address.port));
    for (const HttpHeader& header : from.headers.all())
        request.set(header.name, header.value);
    request.body() = std::move(from.body);
    request.prepare_payload();
    return request;
}

HttpResponse makeResponse(http::response<http::string_body>& from)
{
    HttpResponse response;
    response.status = from.result_int();
    for (const auto& field : from)
        response.headers.add(std::string(field.name_string()), std::string(field.value()));
    response.body = std::move(from.body());
    return response;
}

/// \returns Whether a kept connection is still open and has no unexpected data to read.
bool isUsable(Connection& connection)
{
    char byte = 0;
    const ssize_t got = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Makes room for the rest of a body. Beast reads as many bytes as the buffer has room for, and only 512 if nothing is reserved.
void reserveForBody(Connection& connection)
{
    if (connection.parser->is_header_done())
        connection.buffer.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(connection.parser->content_length_remaining().value_or(maxReadBytes), maxReadBytes)));
}

/// Makes every close of the socket a reset, including that of `tcp_stream` when a deadline passes. After an orderly close, a partitioned
/// network would still deliver the request seconds after its call has timed out.
void resetOnClose(Connection& connection)
{
    boost::system::error_code ignored;
    connection.stream.socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

void closeByReset(Connection& connection)
{
    boost::system::error_code ignored;
    connection.stream.socket().close(ignored);
}

/// \returns The memory of the response after the next read: an unknown length doubles the memory when it is used up.
std::uint64_t responseBytes(const Connection& connection)
{
    const std::uint64_t bytes = connection.parser->get().body().size() + connection.buffer.capacity();
    return connection.parser->is_header_done() && connection.parser->content_length() ? bytes : 2 * bytes;
}

/// Closes a connection on which no request is pending.
void closeOrderly(Connection& connection)
{
    boost::system::error_code ignored;
    connection.stream.socket().set_option(boost::asio::socket_base::linger(false, 0), ignored);
    connection.stream.socket().close(ignored);
}

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
public:
    Impl(AsioEventLoop& loop, HttpClientOptions options)
        : m_loop(loop)
        , m_context(loop.impl().context)
        , m_options(std::move(options))
    {
    }

    void send(const HttpAddress& address, PendingCall pending)
    {
        ++counts.calls;
        Peer& peer = m_peers[address.ip + ':' + std::to_string(address.port)];
        peer.address = address;
        peer.queued.push_back(std::move(pending));
        sendQueued(peer);
    }

    void closeIdleConnections(const HttpAddress& address)
    {
        const auto found = m_peers.find(address.ip + ':' + std::to_string(address.port));
        if (found == m_peers.end())
            return;
        Peer& peer = found->second;
        peer.connections -= static_cast<std::uint32_t>(peer.idle.size());
        for (const ConnectionPointer& connection : peer.idle)
            closeOrderly(*connection);
        peer.idle.clear();
    }

    HttpClientCounts counts;

private:
    /// Assigns queued calls to idle or new connections.
    void sendQueued(Peer& peer)
    {
        while (!peer.queued.empty()) {
            ConnectionPointer connection = takeIdle(peer);
            if (!connection && peer.connections >= m_options.maxConnections)
                return;
            PendingCall pending = std::move(peer.queued.front());
            peer.queued.pop_front();
            if (connection) {
                connection->pending = std::move(pending);
                write(peer, connection);
                continue;
            }
            connection = std::make_shared<Connection>(m_context);
            connection->pending = std::move(pending);
            connect(peer, connection);
        }
    }

    ConnectionPointer takeIdle(Peer& peer)
    {
        while (!peer.idle.empty()) {
            ConnectionPointer connection = peer.idle.back();
            peer.idle.pop_back();
            if (m_loop.now() - connection->idleSince < m_options.idleTimeout && isUsable(*connection))
                return connection;
            closeOrderly(*connection);
            --peer.connections;
        }
        return nullptr;
    }

    void connect(Peer& peer, const ConnectionPointer& connection)
    {
        ++peer.connections;
        ++counts.connections;
        boost::system::error_code bad;
        const auto ip = boost::asio::ip::make_address_v4(peer.address.ip, bad);
        if (bad) {
            boost::asio::post(m_context, [self = shared_from_this(), &peer, connection] { self->finish(peer, connection, { .delivery = Delivery::NotSent }, false); });
            return;
        }
        connection->stream.expires_at(m_loop.impl().toTimerClock(std::min(connection->pending.call.deadline, m_loop.now() + m_options.connectTimeout)));
        connection->stream.async_connect(Tcp::endpoint(ip, peer.address.port), [self = shared_from_this(), &peer, connection](const beast::error_code& error) {
            if (error) {
                self->finish(peer, connection, { .delivery = Delivery::NotSent }, false);
                return;
            }
            boost::system::error_code ignored;
            connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
            resetOnClose(*connection);
            self->write(peer, connection);
        });
    }

    /// A call whose deadline passed while it waited for a connection or for a busy event loop is not sent.
    void write(Peer& peer, const ConnectionPointer& connection)
    {
        if (m_loop.now() >= connection->pending.call.deadline) {
            boost::asio::post(m_context, [self = shared_from_this(), &peer, connection] { self->finish(peer, connection, { .delivery = Delivery::NotSent }, false); });
            return;
        }
        connection->request = makeRequest(peer.address, connection->pending.call.request);
        connection->parser.emplace();
        connection->parser->body_limit(m_options.maxResponseBytes);
        connection->stream.expires_at(m_loop.impl().toTimerClock(connection->pending.call.deadline));
        openBudget(connection);
        http::async_write(connection->stream, connection->request, [self = shared_from_this(), &peer, connection](const beast::error_code& error, std::size_t) {
            if (error) {
                self->finish(peer, connection, {}, false);
                return;
            }
            self->read(peer, connection);
        });
    }

    void openBudget(const ConnectionPointer& connection)
    {
        if (!m_options.budget)
            return;
        connection->budgetId = m_options.budget->open(m_loop.now(), [weak = std::weak_ptr(connection)](RefusalReason) {
            const ConnectionPointer evicted = weak.lock();
            if (!evicted)
                return;
            evicted->isEvicted = true;
            closeByReset(*evicted); // The cancelled operation ends the call later; the memory is needed now.
            std::string().swap(evicted->parser->get().body());
        });
        if (connection->budgetId)
            m_options.budget->enter(*connection->budgetId, ConnectionPhase::Reading, m_loop.now());
    }

    /// \returns Whether there is memory for the next part of the response.
    [[nodiscard]] bool reserve(const Connection& connection) const
    {
        return !m_options.budget || (connection.budgetId && m_options.budget->reserve(*connection.budgetId, responseBytes(connection)));
    }

    /// Reads the response in chunks: each one shows that the transfer progresses.
    void read(Peer& peer, const ConnectionPointer& connection)
    {
        reserveForBody(*connection);
        if (!reserve(*connection)) {
            finish(peer, connection, {}, false);
            return;
        }
        http::async_read_some(connection->stream, connection->buffer, *connection->parser, [self = shared_from_this(), &peer, connection](const beast::error_code& error, std::size_t) {
            ++self->counts.reads;
            if (error || connection->isEvicted) {
                self->finish(peer, connection, {}, false);
                return;
            }
            if (!connection->parser->is_done()) {
                if (self->wantsRest(*connection))
                    self->read(peer, connection);
                else
                    self->finish(peer, connection, { .delivery = Delivery::Abandoned }, false);
                return;
            }
            http::response<http::string_body> response = connection->parser->release();
            const bool keep = response.keep_alive() && connection->buffer.size() == 0;
            self->finish(peer, connection, { .delivery = Delivery::Answered, .response = makeResponse(response) }, keep);
        });
    }

    /// Extends the deadline of a response whose body is arriving. \returns Whether the caller wants the rest of it.
    bool wantsRest(Connection& connection)
    {
        if (!connection.parser->is_header_done() || connection.parser->get().body().empty())
            return true;
        HttpCall& call = connection.pending.call;
        if (call.transferDeadline)
            connection.stream.expires_at(m_loop.impl().toTimerClock(std::min(m_loop.now() + m_options.stallTimeout, *call.transferDeadline)));
        const std::function<bool()> onBodyStart = std::exchange(call.onBodyStart, nullptr);
        return !onBodyStart || onBodyStart();
    }

    void finish(Peer& peer, const ConnectionPointer& connection, HttpReply reply, bool keep)
    {
        counts.notSent += reply.delivery == Delivery::NotSent ? 1 : 0;
        counts.unanswered += reply.delivery == Delivery::Unanswered ? 1 : 0;
        const std::function<void(HttpReply)> done = std::move(connection->pending.done);
        if (const auto id = std::exchange(connection->budgetId, std::nullopt))
            m_options.budget->remove(*id);
        if (keep) {
            connection->stream.expires_never();
            connection->buffer.shrink_to_fit();
            connection->idleSince = m_loop.now();
            peer.idle.push_back(connection);
        } else {
            if (reply.delivery == Delivery::Answered)
                closeOrderly(*connection);
            else
                closeByReset(*connection);
            --peer.connections;
        }
        sendQueued(peer);
        done(std::move(reply));
    }

    AsioEventLoop& m_loop;
    boost::asio::io_context& m_context;
    HttpClientOptions m_options;
    std::map<std::string, Peer> m_peers; ///< By IP:port; peers are never erased, so references to them stay valid.
};

HttpClient::HttpClient(AsioEventLoop& loop, HttpClientOptions options)
    : m_impl(std::make_shared<Impl>(loop, std::move(options)))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(const HttpAddress& address, HttpCall call, std::function<void(HttpReply)> done)
{
    m_impl->send(address, { std::move(call), std::move(done) });
}

void HttpClient::closeIdleConnections(const HttpAddress& address)
{
    m_impl->closeIdleConnections(address);
}

const HttpClientCounts& HttpClient::counts() const noexcept
{
    return m_impl->counts;
}

} // namespace lanemoor::aio
