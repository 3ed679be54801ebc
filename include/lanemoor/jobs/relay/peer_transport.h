#pragma once
/// \file
/// Connections between entry instances. An interface, so that tests can use a simulated network.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace lanemoor::jobs {

/// Callbacks of a link.
struct PeerLinkObserver {
    std::function<void(const std::string& frame)> received;
    std::function<void()> closed; ///< Called at most once, and never after `close`.
};

/// \brief A connection to the process of another instance. Frames arrive complete and in order, or not at all.
///
/// A link does not detect an unresponsive peer: its user sends heartbeats.
class PeerLink {
public:
    virtual ~PeerLink() = default;

    /// \brief Sets the callbacks. None is called before.
    virtual void observe(PeerLinkObserver observer) = 0;

    /// \brief Sends `frame`, unless the link is closed. Never blocks.
    virtual void send(std::string frame) = 0;

    /// \returns Whether the other machine refused the connection, so that no process listens at the address.
    /// False if the machine did not answer at all.
    [[nodiscard]] virtual bool wasRefused() const noexcept = 0;

    /// \brief Closes the link and discards unsent frames.
    virtual void close() = 0;
};

/// \brief Creates links. Callbacks are never called synchronously.
class PeerTransport {
public:
    virtual ~PeerTransport() = default;

    /// \brief Sets the callback for incoming links, and replaces an earlier one.
    virtual void accept(std::function<void(std::shared_ptr<PeerLink>)> accepted) = 0;

    /// \param address Peer address that the other instance publishes.
    /// \returns A link that is being established; `closed` is called if that fails.
    [[nodiscard]] virtual std::shared_ptr<PeerLink> connect(const std::string& address) = 0;
};

} // namespace lanemoor::jobs
