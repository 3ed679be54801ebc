#pragma once
/// \file
/// Links between entry instances over TCP.

#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/jobs/relay/peer_transport.h"
#include "lanemoor/net/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lanemoor::aio {

/// Why an accepted link was closed in favour of others.
enum class PeerEviction {
    Links, ///< Another link needed its place.
    UnfinishedFrames, ///< All links together have received too much of incomplete frames.
    UnreadFrames, ///< Too much is queued for all peers together.
};

/// \returns A short English name for `reason`.
[[nodiscard]] const char* nameOf(PeerEviction reason) noexcept;

/// Address, limits and timeouts of the links.
struct PeerSocketsOptions {
    HttpAddress address; ///< Where others reach this process; port 0: chosen by the kernel.
    Millis connectTimeout { 1'000 }; ///< A path that drops packets reports no error.
    std::uint32_t maxFrameBytes = 8'388'608; ///< On links that this process opens. A frame batches the messages of some ms, usually a few kB.
    std::uint32_t maxAcceptedFrameBytes = 1'048'576; ///< On accepted links: reports of all workers of a relay at once.
    std::size_t maxReceivedBytes = 8'388'608; ///< Of incomplete frames on all accepted links; above, the link that holds most is closed.
    std::size_t maxAllQueuedBytes = 16'777'216; ///< For the peers of all accepted links; above, the link with most is closed.
    /// Bytes queued for a peer that does not read; above this limit the link is closed. Heartbeats detect such a
    /// peer within a second, in which a loaded owner sends some 100 kB.
    std::size_t maxQueuedBytes = 4'194'304;
    /// Accepted links. A further one takes the place of one that has delivered no frame, or whose last frame is the oldest.
    std::uint32_t maxLinks = 512;
    std::function<void(PeerEviction)> evicted {}; ///< Observer of links closed in favour of others.
};

/// \brief TCP connections that carry frames: four bytes of length in network byte order, then the
/// frame. Traffic is neither encrypted nor authenticated: it stays on the platform's own network, like
/// the calls to workers and to the store.
class PeerSockets final : public jobs::PeerTransport {
public:
    /// \throws std::runtime_error if the address can't be listened on.
    PeerSockets(AsioEventLoop& loop, PeerSocketsOptions options);
    ~PeerSockets() override;
    PeerSockets(const PeerSockets&) = delete;
    PeerSockets& operator=(const PeerSockets&) = delete;

    void accept(std::function<void(std::shared_ptr<jobs::PeerLink>)> accepted) override;
    [[nodiscard]] std::shared_ptr<jobs::PeerLink> connect(const std::string& address) override;

    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::aio
