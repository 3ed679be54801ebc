#include "lanemoor/aio/peer_sockets.h"

#include "asio_event_loop_impl.h"
#include "listen.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace lanemoor::aio {

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t readChunkBytes = 16'384; // Per link; an owner has 146 links on the largest known deployment.
constexpr unsigned bitsPerByte = 8;
constexpr Millis acceptRetryPause { 100 };

std::string addLengthPrefix(const std::string& frame)
{
    std::string text(lengthBytes, '\0');
    for (std::size_t i = 0; i < lengthBytes; ++i)
        text[i] = static_cast<char>(frame.size() >> (bitsPerByte * (lengthBytes - 1 - i)));
    return text + frame;
}

std::size_t readLengthPrefix(const std::string& text, std::size_t at)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        length = (length << bitsPerByte) | static_cast<unsigned char>(text[at + i]);
    return length;
}

class PeerSocket;

/// The accepted links, and the bounds that hold for all of them together.
class AcceptedLinks {
public:
    explicit AcceptedLinks(const PeerSocketsOptions& options)
        : m_options(options)
    {
    }

    /// Closes links until there is room for `link`, and adds it.
    void add(const std::shared_ptr<PeerSocket>& link);

    /// Counts a change of the bytes that a link has received of an incomplete frame, and closes the link that holds most
    /// while all together hold too much.
    void countReceived(std::size_t before, std::size_t after);

    /// Counts a change of the bytes that are queued for a link, and closes the link with most while there are too many.
    void countQueued(std::size_t before, std::size_t after);

private:
    /// \returns The link for which `isBefore` places no other one before it; null if there is none.
    template <typename Order>
    [[nodiscard]] std::shared_ptr<PeerSocket> first(Order isBefore) const;
    [[nodiscard]] std::size_t prune();
    void evict(PeerSocket& link, PeerEviction reason);

    PeerSocketsOptions m_options;
    std::vector<std::weak_ptr<PeerSocket>> m_links;
    std::size_t m_receivedBytes = 0;
    std::size_t m_queuedBytes = 0;
};

/// One connection.
class PeerSocket final : public jobs::PeerLink, public std::enable_shared_from_this<PeerSocket> {
public:
    /// \param acceptedLinks The other accepted links; null if this process opens the link.
    PeerSocket(boost::asio::io_context& context, PeerSocketsOptions options, std::shared_ptr<AcceptedLinks> acceptedLinks)
        : m_context(context)
        , m_socket(context)
        , m_timer(context)
        , m_options(std::move(options))
        , m_maxFrameBytes(acceptedLinks ? m_options.maxAcceptedFrameBytes : m_options.maxFrameBytes)
        , m_acceptedLinks(std::move(acceptedLinks))
        , m_lastFrameAt(std::chrono::steady_clock::now())
    {
    }

    [[nodiscard]] bool isClosed() const noexcept { return m_closed; }
    [[nodiscard]] std::size_t receivedBytes() const noexcept { return m_received.size(); }
    [[nodiscard]] std::size_t queuedBytes() const noexcept { return m_queuedBytes; }

    /// Orders links by what they have delivered: none before any, and the oldest last frame first.
    [[nodiscard]] std::pair<bool, std::chrono::steady_clock::time_point> delivery() const noexcept { return { m_hasDelivered, m_lastFrameAt }; }

    [[nodiscard]] Tcp::socket& socket() { return m_socket; }

    void connect(const Tcp::endpoint& endpoint)
    {
        m_timer.expires_after(m_options.connectTimeout);
        m_timer.async_wait([self = shared_from_this()](const ErrorCode& error) {
            if (!error && !self->m_connected)
                self->closeAndNotify();
        });
        m_socket.async_connect(endpoint, [self = shared_from_this()](const ErrorCode& error) {
            self->m_refused = error == boost::asio::error::connection_refused;
            if (error)
                self->closeAndNotify();
            else
                self->onConnected();
        });
    }

    void onConnected()
    {
        if (m_closed)
            return;
        m_connected = true;
        m_timer.cancel();
        ErrorCode ignored;
        m_socket.set_option(Tcp::no_delay(true), ignored);
        read();
        write();
    }

    /// Closes the link and notifies the observer later.
    void closeAndNotify()
    {
        if (std::exchange(m_closed, true))
            return;
        closeSocket();
        boost::asio::post(m_context, [self = shared_from_this()] {
            const jobs::PeerLinkObserver observer = std::exchange(self->m_observer, {});
            if (observer.closed)
                observer.closed();
        });
    }

    void observe(jobs::PeerLinkObserver observer) override { m_observer = std::move(observer); }

    void send(std::string frame) override
    {
        if (m_closed)
            return;
        const std::size_t queuedBytes = m_queuedBytes + frame.size() + lengthBytes;
        if (queuedBytes > m_options.maxQueuedBytes) {
            closeAndNotify();
            return;
        }
        m_queued.push_back(addLengthPrefix(frame));
        setQueuedBytes(queuedBytes);
        write();
    }

    [[nodiscard]] bool wasRefused() const noexcept override { return m_refused; }

    void close() override
    {
        m_observer = {};
        if (std::exchange(m_closed, true))
            return;
        closeSocket();
    }

private:
    void closeSocket()
    {
        m_timer.cancel();
        ErrorCode ignored;
        m_socket.close(ignored);
        m_queued.clear();
        setQueuedBytes(0);
        countReceived(0);
    }

    void countReceived(std::size_t bytes)
    {
        const std::size_t before = std::exchange(m_countedBytes, bytes);
        if (m_acceptedLinks)
            m_acceptedLinks->countReceived(before, bytes);
    }

    void setQueuedBytes(std::size_t bytes)
    {
        const std::size_t before = std::exchange(m_queuedBytes, bytes);
        if (m_acceptedLinks)
            m_acceptedLinks->countQueued(before, bytes);
    }

    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_readBuffer), [self = shared_from_this()](const ErrorCode& error, std::size_t count) {
            if (self->m_closed)
                return;
            if (error) {
                self->closeAndNotify();
                return;
            }
            self->m_received.append(self->m_readBuffer.data(), count);
            self->deliver();
            if (!self->m_closed)
                self->countReceived(self->m_received.size());
            if (!self->m_closed)
                self->read();
        });
    }

    /// Passes complete frames to the observer.
    void deliver()
    {
        std::size_t at = 0;
        while (!m_closed && m_received.size() - at >= lengthBytes) {
            const std::size_t length = readLengthPrefix(m_received, at);
            if (length > m_maxFrameBytes) {
                closeAndNotify();
                return;
            }
            if (m_received.size() - at - lengthBytes < length)
                break;
            const std::string frame = m_received.substr(at + lengthBytes, length);
            at += lengthBytes + length;
            m_hasDelivered = true;
            m_lastFrameAt = std::chrono::steady_clock::now();
            if (m_observer.received)
                m_observer.received(frame);
        }
        m_received.erase(0, at);
    }

    /// Writes all queued frames in one call.
    void write()
    {
        if (!m_connected || m_writing || m_queued.empty() || m_closed)
            return;
        m_writing = true;
        m_sending.clear();
        for (const std::string& frame : m_queued)
            m_sending += frame;
        m_queued.clear();
        boost::asio::async_write(m_socket, boost::asio::buffer(m_sending), [self = shared_from_this()](const ErrorCode& error, std::size_t count) {
            self->m_writing = false;
            if (self->m_closed)
                return;
            if (error) {
                self->closeAndNotify();
                return;
            }
            self->setQueuedBytes(self->m_queuedBytes - count);
            self->write();
        });
    }

    boost::asio::io_context& m_context;
    Tcp::socket m_socket;
    boost::asio::steady_timer m_timer; ///< Limits the time to connect.
    PeerSocketsOptions m_options;
    std::uint32_t m_maxFrameBytes;
    std::shared_ptr<AcceptedLinks> m_acceptedLinks;
    std::chrono::steady_clock::time_point m_lastFrameAt; ///< Time of connection before the first frame.
    bool m_hasDelivered = false; ///< Whether a complete frame has arrived.
    jobs::PeerLinkObserver m_observer;
    bool m_connected = false;
    bool m_refused = false;
    bool m_closed = false;
    bool m_writing = false;
    std::array<char, readChunkBytes> m_readBuffer {};
    std::string m_received; ///< Received bytes that are not a complete frame yet.
    std::size_t m_countedBytes = 0; ///< The part of them that the accepted links count.
    std::string m_sending;
    std::deque<std::string> m_queued;
    std::size_t m_queuedBytes = 0; ///< Including the frames being sent.
};

template <typename Order>
std::shared_ptr<PeerSocket> AcceptedLinks::first(Order isBefore) const
{
    std::shared_ptr<PeerSocket> found;
    for (const std::weak_ptr<PeerSocket>& known : m_links) {
        std::shared_ptr<PeerSocket> link = known.lock();
        if (link && !link->isClosed() && (!found || isBefore(*link, *found)))
            found = std::move(link);
    }
    return found;
}

std::size_t AcceptedLinks::prune()
{
    std::erase_if(m_links, [](const std::weak_ptr<PeerSocket>& known) {
        const std::shared_ptr<PeerSocket> link = known.lock();
        return !link || link->isClosed();
    });
    return m_links.size();
}

void AcceptedLinks::evict(PeerSocket& link, PeerEviction reason)
{
    if (m_options.evicted)
        m_options.evicted(reason);
    link.closeAndNotify();
}

void AcceptedLinks::add(const std::shared_ptr<PeerSocket>& link)
{
    while (prune() >= std::max<std::size_t>(m_options.maxLinks, 1))
        evict(*first([](const PeerSocket& a, const PeerSocket& b) { return a.delivery() < b.delivery(); }), PeerEviction::Links);
    m_links.push_back(link);
}

void AcceptedLinks::countReceived(std::size_t before, std::size_t after)
{
    m_receivedBytes += after - before;
    while (m_receivedBytes > m_options.maxReceivedBytes) {
        const std::shared_ptr<PeerSocket> link = first([](const PeerSocket& a, const PeerSocket& b) { return a.receivedBytes() > b.receivedBytes(); });
        if (!link)
            return;
        evict(*link, PeerEviction::UnfinishedFrames);
    }
}

void AcceptedLinks::countQueued(std::size_t before, std::size_t after)
{
    m_queuedBytes += after - before;
    while (m_queuedBytes > m_options.maxAllQueuedBytes) {
        const std::shared_ptr<PeerSocket> link = first([](const PeerSocket& a, const PeerSocket& b) { return a.queuedBytes() > b.queuedBytes(); });
        if (!link)
            return;
        evict(*link, PeerEviction::UnreadFrames);
    }
}

} // namespace

const char* nameOf(PeerEviction reason) noexcept
{
    switch (reason) {
    case PeerEviction::Links:
        return "links";
    case PeerEviction::UnfinishedFrames:
        return "unfinished-frames";
    case PeerEviction::UnreadFrames:
        return "unread-frames";
    }
    return "unknown";
}

class PeerSockets::Impl : public std::enable_shared_from_this<PeerSockets::Impl> {
public:
    Impl(AsioEventLoop& loop, PeerSocketsOptions options)
        : m_context(loop.impl().context)
        , m_acceptor(m_context)
        , m_retryTimer(m_context)
        , m_options(std::move(options))
        , m_accepted(std::make_shared<AcceptedLinks>(m_options))
    {
        listenOn(m_acceptor, m_options.address);
    }

    void acceptNext()
    {
        const auto link = std::make_shared<PeerSocket>(m_context, m_options, m_accepted);
        m_acceptor.async_accept(link->socket(), [self = weak_from_this(), link](const ErrorCode& error) {
            const auto impl = self.lock();
            if (!impl || error == boost::asio::error::operation_aborted)
                return;
            if (error) {
                impl->acceptLater();
                return;
            }
            impl->accepted(link);
            impl->acceptNext();
        });
    }

    void stop()
    {
        ErrorCode ignored;
        m_acceptor.close(ignored);
        m_retryTimer.cancel();
    }

    [[nodiscard]] std::shared_ptr<jobs::PeerLink> connect(const std::string& address)
    {
        const auto link = std::make_shared<PeerSocket>(m_context, m_options, nullptr);
        const std::optional<HttpAddress> peer = parseAddress(address);
        ErrorCode error;
        const auto ip = boost::asio::ip::make_address_v4(peer ? peer->ip : std::string(), error);
        if (!peer || error)
            link->closeAndNotify();
        else
            link->connect({ ip, peer->port });
        return link;
    }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    std::function<void(std::shared_ptr<jobs::PeerLink>)> onAccepted;

private:
    /// Accepts again after a pause: as long as no descriptor is free, each attempt fails at once.
    void acceptLater()
    {
        m_retryTimer.expires_after(acceptRetryPause);
        m_retryTimer.async_wait([self = weak_from_this()](const ErrorCode& error) {
            const auto impl = self.lock();
            if (impl && !error)
                impl->acceptNext();
        });
    }

    void accepted(const std::shared_ptr<PeerSocket>& link)
    {
        if (!onAccepted) {
            link->close();
            return;
        }
        m_accepted->add(link);
        onAccepted(link);
        link->onConnected();
    }

    boost::asio::io_context& m_context;
    Tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    PeerSocketsOptions m_options;
    std::shared_ptr<AcceptedLinks> m_accepted;
};

PeerSockets::PeerSockets(AsioEventLoop& loop, PeerSocketsOptions options)
    : m_impl(std::make_shared<Impl>(loop, std::move(options)))
{
    m_impl->acceptNext();
}

PeerSockets::~PeerSockets()
{
    m_impl->stop();
}

void PeerSockets::accept(std::function<void(std::shared_ptr<jobs::PeerLink>)> accepted)
{
    m_impl->onAccepted = std::move(accepted);
}

std::shared_ptr<jobs::PeerLink> PeerSockets::connect(const std::string& address)
{
    return m_impl->connect(address);
}

std::uint16_t PeerSockets::port() const noexcept
{
    return m_impl->port();
}

} // namespace lanemoor::aio
