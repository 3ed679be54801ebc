#pragma once
/// \file
/// A TCP proxy that disturbs the connections which pass through it.

#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/net/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace lanemoor::soak {

class Link;

/// Disturbances of a path from now on.
struct PathFaults {
    Millis delay { 0 }; ///< Of each piece of data, in each direction.
    bool refusing = false; ///< New connections are reset.
    bool cutForward = false; ///< Nothing gets from the client to the server; it arrives once the cut is over.
    bool cutBackward = false; ///< Nothing gets from the server to the client; it arrives once the cut is over.

    [[nodiscard]] bool operator==(const PathFaults&) const = default;
};

/// \brief The connections from one process, or one group, to another.
class Path {
public:
    PathFaults faults;

    /// \brief Resets the open connections.
    void reset();

    /// \brief Lets nothing through the open connections any more, in either direction, and leaves them open.
    void silence();

private:
    friend class Link;
    friend class TcpProxy;

    std::vector<std::weak_ptr<Link>> m_links;
};

/// \brief Listens on a port that the kernel chooses and passes connections on.
class TcpProxy {
public:
    /// Chooses the path of a new connection by its ports on the proxy's and on the client's side; null: it is reset.
    using PathChoice = std::function<std::shared_ptr<Path>(std::uint16_t localPort, std::uint16_t remotePort)>;

    TcpProxy(aio::AsioEventLoop& loop, const HttpAddress& target, PathChoice choose);
    ~TcpProxy();
    TcpProxy(const TcpProxy&) = delete;
    TcpProxy& operator=(const TcpProxy&) = delete;

    [[nodiscard]] std::uint16_t port() const;

    /// \returns The address on which it listens, such as `127.0.0.1:8080`.
    [[nodiscard]] std::string address() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::soak
