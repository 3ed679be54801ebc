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

/// Address and TLS files of a listening port.
struct ListenSettings {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: assigned by the kernel and logged.
    std::string certificateFile; ///< PEM; no TLS if empty.
    std::string keyFile;

    [[nodiscard]] bool operator==(const ListenSettings&) const = default;
};

/// Address of the peer link and the key pair shared by all entry instances.
struct PeerListenSettings {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: assigned by the kernel.
    std::string keyFile; ///< Written by `lanemoor keygen`; no encryption if empty.

    [[nodiscard]] bool operator==(const PeerListenSettings&) const = default;
};

/// An address to connect to.
struct PeerAddress {
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] bool operator==(const PeerAddress&) const = default;
};

/// Settings of one process, read once at startup.
struct Settings {
    std::string name; ///< Name of this entry instance, unique among its peers.
    std::string dataHall;
    ListenSettings front; ///< For callers.
    ListenSettings operators; ///< For operators, metrics and health.
    std::string operatorToken; ///< Bearer token; required unless the port listens on loopback only.
    PeerListenSettings peer; ///< For the other entry instances.
    std::vector<PeerAddress> peers; ///< Initial peers.
    PeerAddress platform;
    std::uint32_t shardCount = 6; ///< Max number of entry instances; must be the same on all of them.
    std::uint32_t maxListeners = 128; ///< Max number of open listener requests.
    std::uint32_t maxThreads = 256; ///< Max number of concurrent requests, including listeners.
    std::uint32_t maxWaiting = 256; ///< Max number of requests waiting for one pool.
    std::uint32_t claimsPerSecond = 7; ///< Max rate at which this entry instance claims orders in the store.
    Millis defaultDeadline { 10'000 }; ///< For requests without a deadline.
    Millis unreadyBeforeStop { 2'000 }; ///< Delay between reporting not ready and stopping, so that load balancers notice.
    Millis leaseTime { 6'000 }; ///< For the control role and the entry shard.
    bool logAsJson = true;

    [[nodiscard]] bool operator==(const Settings&) const = default;
};

/// \brief Reads settings and reports all faults, not only the first.
class SettingsReader {
public:
    /// \returns The settings, or nothing if the document has any fault.
    [[nodiscard]] std::optional<Settings> read(std::string_view text);

    /// \returns All faults of the last `read`.
    [[nodiscard]] const std::vector<DocumentFault>& faults() const noexcept { return m_faults; }

private:
    std::vector<DocumentFault> m_faults;
};

} // namespace lanemoor
