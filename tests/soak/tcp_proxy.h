#pragma once
/// \file
/// A TCP proxy that injects faults into the connections that it forwards.

#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/net/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace lanemoor::soak {

class Link;

/// Faults currently injected on a path.
struct PathFaults {
    Millis delay { 0 }; ///< Added to each chunk of data, in each direction.
    bool refusing = false; ///< New connections are reset.
    bool cutForward = false; ///< Data from the client to the server is held back until the cut is over.
    bool cutBackward = false; ///< Data from the server to the client is held back until the cut is over.

    [[nodiscard]] bool operator==(const PathFaults&) const = default;
};

/// \brief The connections from one process to another, or to the workers of one data hall.
class Path {
public:
    PathFaults faults;

    /// \brief Resets the open connections.
    void reset();

    /// \brief Stops all data on the open connections in both directions, for good, and leaves them open.
    void stall();

private:
    friend class Link;
    friend class TcpProxy;

    std::vector<std::weak_ptr<Link>> m_links;
};

/// \brief Listens on an ephemeral port and forwards connections to a target.
class TcpProxy {
public:
    /// Chooses the path of a new connection by its local port (the proxy's) and remote port (the client's); null resets it.
    using PathChoice = std::function<std::shared_ptr<Path>(std::uint16_t localPort, std::uint16_t remotePort)>;

    TcpProxy(aio::AsioEventLoop& loop, const HttpAddress& target, PathChoice choose);
    ~TcpProxy();
    TcpProxy(const TcpProxy&) = delete;
    TcpProxy& operator=(const TcpProxy&) = delete;

    [[nodiscard]] std::uint16_t port() const;

    /// \returns The listening address, such as `127.0.0.1:8080`.
    [[nodiscard]] std::string address() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::soak
