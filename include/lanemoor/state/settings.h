#pragma once
/// \file
/// Settings of one entry instance: its addresses, peers, limits and key files.

#include "lanemoor/decisions/time.h"
#include "lanemoor/state/json_document.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// Where a port listens, and its keys.
struct ListenSettings {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: chosen by the kernel and told in the log.
    std::string certificateFile; ///< PEM; empty: no TLS.
    std::string keyFile;

    [[nodiscard]] bool operator==(const ListenSettings&) const = default;
};

/// Where the peer link listens, and the key pair that all entry instances share.
struct PeerListenSettings {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: chosen by the kernel.
    std::string keyFile; ///< As `lanemoor keygen` writes it; empty: no encryption.

    [[nodiscard]] bool operator==(const PeerListenSettings&) const = default;
};

/// An address to connect to.
struct PeerAddress {
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] bool operator==(const PeerAddress&) const = default;
};

/// Settings of one process. They are read once, at its start.
struct Settings {
    std::string name; ///< Of this entry instance, unique among its peers.
    std::string dataHall;
    ListenSettings front; ///< For callers.
    ListenSettings operators; ///< For operators, metrics and health.
    std::string operatorToken; ///< Needed beyond loopback; sent as a bearer token.
    PeerListenSettings peer; ///< For the other entry instances.
    std::vector<PeerAddress> peers; ///< Peers to begin with.
    PeerAddress platform;
    std::uint32_t seats = 6; ///< Entry instances at most; the same on all of them.
    std::uint32_t mostListeners = 128; ///< Standing answers held at once.
    std::uint32_t mostThreads = 256; ///< Requests handled at once, listeners included.
    std::uint32_t mostWaiting = 256; ///< Requests waiting for one pool.
    std::uint32_t claimsPerSecond = 7; ///< Orders claimed in the store, of this entry instance.
    Millis defaultDeadline { 10'000 }; ///< For requests without one.
    Millis unreadyBeforeStop { 2'000 }; ///< Time for the balancer to see that it stops.
    Millis leaseTime { 6'000 }; ///< Of the control role and of the seat.
    bool logAsJson = true;

    [[nodiscard]] bool operator==(const Settings&) const = default;
};

/// \brief Reads settings and checks them whole.
class SettingsReader {
public:
    /// \returns The settings, or nothing if there is any fault at all.
    [[nodiscard]] std::optional<Settings> read(std::string_view text);

    /// \returns All faults of the last `read`.
    [[nodiscard]] const std::vector<DocumentFault>& faults() const noexcept { return m_faults; }

private:
    std::vector<DocumentFault> m_faults;
};

} // namespace lanemoor
