#pragma once
/// \file
/// Connections between entry instances, behind an interface so that tests run on a model.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace lanemoor::jobs {

/// Hears what comes over a link.
struct PeerLinkObserver {
    std::function<void(const std::string& frame)> received;
    std::function<void()> closed; ///< Told at most once, and not after `close`.
};

/// \brief One connection to another process of ours. A frame arrives whole and in order, or not at all.
///
/// A link that goes silent is not noticed here: whoever uses it sends heartbeats.
class PeerLink {
public:
    virtual ~PeerLink() = default;

    /// \brief Sets who hears of frames and of the end. Nothing is told before.
    virtual void observe(PeerLinkObserver observer) = 0;

    /// \brief Sends `frame`, unless the link is closed. Never blocks.
    virtual void send(std::string frame) = 0;

    /// \returns Whether the other machine answered that nobody listens at the address: no process of ours
    /// is there. Silence does not tell that.
    [[nodiscard]] virtual bool wasRefused() const noexcept = 0;

    /// \brief Ends the link; what waits to be sent is lost.
    virtual void close() = 0;
};

/// \brief Makes links. Callbacks are never called from within a call.
class PeerTransport {
public:
    virtual ~PeerTransport() = default;

    /// \brief Sets who gets the links that others make to this process; it is replaced by a later call.
    virtual void accept(std::function<void(std::shared_ptr<PeerLink>)> accepted) = 0;

    /// \param address As another instance names itself.
    /// \returns A link on its way; `closed` tells if nobody answers there.
    [[nodiscard]] virtual std::shared_ptr<PeerLink> connect(const std::string& address) = 0;
};

} // namespace lanemoor::jobs
