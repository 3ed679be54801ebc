#include "tcp_proxy.h"

#include "aio/asio_event_loop_impl.h"
#include "aio/listen.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace lanemoor::soak {

namespace {

using Tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;

constexpr Millis cutPollInterval { 10 }; // Interval at which data held back by a cut is retried.
constexpr std::size_t chunkBytes = 65'536;

} // namespace

/// A client connection and its upstream connection to the server. Pending callbacks keep the link alive.
class Link : public std::enable_shared_from_this<Link> {
public:
    Link(aio::AsioEventLoop& loop, Tcp::socket client, std::shared_ptr<Path> path)
        : m_loop(loop)
        , m_path(std::move(path))
        , m_forward { std::move(client), {}, false }
        , m_backward { Tcp::socket(loop.impl().context), {}, false }
    {
    }

    void start(const Tcp::endpoint& server)
    {
        std::erase_if(m_path->m_links, [](const std::weak_ptr<Link>& link) { return link.expired(); });
        m_path->m_links.push_back(weak_from_this());
        connect(server);
    }

    /// Closes both ends so that their peers see a reset.
    void reset()
    {
        for (Direction* direction : { &m_forward, &m_backward }) {
            Error ignored;
            direction->from.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            direction->from.close(ignored);
        }
    }

    void stall() { m_isStalled = true; }

private:
    /// The data flow from one end to the other.
    struct Direction {
        Tcp::socket from;
        std::array<char, chunkBytes> chunk;
        bool isOver = false;
    };

    void connect(const Tcp::endpoint& server)
    {
        if (isCut(m_forward)) {
            later(cutPollInterval, [self = shared_from_this(), server] { self->connect(server); });
            return;
        }
        m_backward.from.async_connect(server, [self = shared_from_this()](const Error& error) {
            if (error) {
                self->reset();
                return;
            }
            Error ignored;
            self->m_forward.from.set_option(Tcp::no_delay(true), ignored);
            self->m_backward.from.set_option(Tcp::no_delay(true), ignored);
            self->read(self->m_forward);
            self->read(self->m_backward);
        });
    }

    void read(Direction& direction)
    {
        direction.from.async_read_some(boost::asio::buffer(direction.chunk), [self = shared_from_this(), &direction](const Error& error, std::size_t bytes) {
            if (error && error != boost::asio::error::eof) {
                self->reset();
                return;
            }
            self->later(self->m_path->faults.delay, [self, &direction, bytes] { self->forward(direction, bytes); });
        });
    }

    /// \param bytes 0 at the end of the stream in this direction.
    void forward(Direction& direction, std::size_t bytes)
    {
        if (isCut(direction)) {
            later(cutPollInterval, [self = shared_from_this(), &direction, bytes] { self->forward(direction, bytes); });
            return;
        }
        if (bytes == 0) {
            end(direction);
            return;
        }
        boost::asio::async_write(other(direction).from, boost::asio::buffer(direction.chunk, bytes), [self = shared_from_this(), &direction](const Error& error, std::size_t) {
            if (error)
                self->reset();
            else
                self->read(direction);
        });
    }

    void end(Direction& direction)
    {
        Error ignored;
        direction.isOver = true;
        other(direction).from.shutdown(Tcp::socket::shutdown_send, ignored);
        if (!other(direction).isOver)
            return;
        m_forward.from.close(ignored);
        m_backward.from.close(ignored);
    }

    [[nodiscard]] Direction& other(const Direction& direction) { return &direction == &m_forward ? m_backward : m_forward; }

    [[nodiscard]] bool isCut(const Direction& direction) const
    {
        if (!m_forward.from.is_open())
            return false;
        return m_isStalled || (&direction == &m_forward ? m_path->faults.cutForward : m_path->faults.cutBackward);
    }

    void later(Millis time, std::function<void()> callback) { m_loop.callAt(m_loop.now() + time, std::move(callback)); }

    aio::AsioEventLoop& m_loop;
    std::shared_ptr<Path> m_path;
    Direction m_forward;
    Direction m_backward;
    bool m_isStalled = false;
};

void Path::reset()
{
    for (const std::weak_ptr<Link>& link : std::exchange(m_links, {})) {
        if (const std::shared_ptr<Link> open = link.lock())
            open->reset();
    }
}

void Path::stall()
{
    for (const std::weak_ptr<Link>& link : m_links) {
        if (const std::shared_ptr<Link> open = link.lock())
            open->stall();
    }
}

class TcpProxy::Impl : public std::enable_shared_from_this<TcpProxy::Impl> {
public:
    Impl(aio::AsioEventLoop& loop, const HttpAddress& target, PathChoice choose)
        : m_loop(loop)
        , m_acceptor(loop.impl().context)
        , m_target(boost::asio::ip::make_address_v4(target.ip), target.port)
        , m_choose(std::move(choose))
    {
        aio::listenOn(m_acceptor, { "127.0.0.1", 0 });
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const Error& error, Tcp::socket client) {
            if (!self->m_acceptor.is_open())
                return;
            if (!error)
                self->handleConnection(std::move(client));
            self->accept();
        });
    }

    void close()
    {
        Error ignored;
        m_acceptor.close(ignored);
    }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void handleConnection(Tcp::socket client)
    {
        Error error;
        const Tcp::endpoint remote = client.remote_endpoint(error);
        const std::shared_ptr<Path> path = error ? nullptr : m_choose(port(), remote.port());
        const bool isForwarded = path && !path->faults.refusing;
        const auto link = std::make_shared<Link>(m_loop, std::move(client), path);
        if (isForwarded)
            link->start(m_target);
        else
            link->reset();
    }

    aio::AsioEventLoop& m_loop;
    Tcp::acceptor m_acceptor;
    Tcp::endpoint m_target;
    PathChoice m_choose;
};

TcpProxy::TcpProxy(aio::AsioEventLoop& loop, const HttpAddress& target, PathChoice choose)
    : m_impl(std::make_shared<Impl>(loop, target, std::move(choose)))
{
    m_impl->accept();
}

TcpProxy::~TcpProxy()
{
    m_impl->close();
}

std::uint16_t TcpProxy::port() const
{
    return m_impl->port();
}

std::string TcpProxy::address() const
{
    return "127.0.0.1:" + std::to_string(port());
}

} // namespace lanemoor::soak
