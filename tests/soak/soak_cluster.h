#pragma once
/// \file
/// The processes of a soak run and the network paths between them.

#include "child.h"
#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/aio/http_client.h"
#include "log_tail.h"
#include "tcp_proxy.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lanemoor::soak {

/// Size and layout of a cluster.
struct ClusterOptions {
    std::string programs; ///< Folder of `lanemoor` and `job_platform_standin`.
    std::string folder; ///< Existing folder for settings and logs.
    std::uint64_t seed = 1;
    unsigned processes = 4;
    unsigned instances = 12;
    unsigned reserve = 4;
    unsigned halls = 3;
    bool relays = false; ///< Owners have calls to workers relayed by other processes.
};

/// Host name of the queues, and the store keys that operators write.
namespace names {
constexpr const char* host = "soak.test";
constexpr const char* configurationKey = "op/config";
constexpr const char* evacuationPrefix = "op/evacuate/";
} // namespace names

/// A queue of the cluster.
struct SoakQueue {
    const char* name;
    const char* pool;
    std::uint32_t maxAttempts;
    bool needsAdvice = false;
    bool isRemovable = false; ///< Missing in some versions of the configuration.
};

/// All queues; each version of the configuration gives the first one another priority.
inline constexpr std::array<SoakQueue, 4> soakQueues { {
    { .name = "alpha", .pool = "alpha", .maxAttempts = 3 },
    { .name = "beta", .pool = "beta", .maxAttempts = 3 },
    { .name = "advised", .pool = "alpha", .maxAttempts = 3, .needsAdvice = true },
    { .name = "removable", .pool = "beta", .maxAttempts = 5, .isRemovable = true },
} };

/// \returns The name of data hall number `hall`.
[[nodiscard]] std::string hallName(unsigned hall);

/// \brief The stand-in, the `lanemoor serve` processes, and a proxy in front of the store, the fleet interface and each worker.
///
/// Callers connect to the processes without a proxy, and so do the processes to each other.
class SoakCluster {
public:
    /// One `lanemoor serve` process and the paths from it.
    struct Entry {
        std::string name;
        std::string ip; ///< Loopback address that no other process listens on.
        std::string settings;
        std::string log;
        std::string advisor; ///< Address of the advisor for this process.
        std::unique_ptr<Child> process; ///< Null if not running.
        std::unique_ptr<LogTail> tail;
        unsigned incarnation = 0;
        bool isReady = false; ///< According to the last readiness response.
        bool isKilled = false; ///< This incarnation was killed.
        bool isStopping = false; ///< This incarnation was asked to stop.
        std::shared_ptr<Path> toStore;
        std::shared_ptr<Path> toFleet;
        std::vector<std::shared_ptr<Path>> toHalls;
        std::unique_ptr<TcpProxy> storeProxy;
        std::unique_ptr<TcpProxy> fleetProxy;

        [[nodiscard]] HttpAddress front() const;
        [[nodiscard]] HttpAddress readiness() const;
    };

    /// \brief Starts the stand-in. \throws std::runtime_error if it does not start.
    SoakCluster(aio::AsioEventLoop& loop, ClusterOptions options);

    /// \brief Starts process number `index`.
    void startEntry(unsigned index);

    [[nodiscard]] std::vector<Entry>& entries() noexcept { return m_entries; }
    [[nodiscard]] const ClusterOptions& options() const noexcept { return m_options; }

    /// \brief Sends a call to the stand-in's control service. \param done Called with the time of the response, Unix ms.
    void control(const std::string& path, const nlohmann::json& body, std::function<void(std::int64_t)> done = {});

    /// \brief Writes the configuration with the next version.
    void configure();
    /// \brief Writes another configuration if the latest one lacks a queue.
    void restoreQueues();
    [[nodiscard]] std::uint64_t configurationVersion() const noexcept { return m_version; }

    /// \returns The id of instance `index`, modulo the number of instances that have a worker from the start.
    [[nodiscard]] std::string instance(unsigned index) const;

    /// \returns The stand-in's events since the previous call.
    [[nodiscard]] std::vector<nlohmann::json> events() { return m_events.read(); }

    /// \returns The paths of all log files.
    [[nodiscard]] std::vector<std::string> logs() const;

private:
    void awaitStandin();
    void addEntry(unsigned index, const nlohmann::json& ports);
    void proxyWorkers(const nlohmann::json& ports);
    [[nodiscard]] std::shared_ptr<Path> pathToHall(unsigned hall, std::uint16_t localPort, std::uint16_t remotePort);

    aio::AsioEventLoop& m_loop;
    ClusterOptions m_options;
    aio::HttpClient m_client;
    std::unique_ptr<Child> m_standin;
    LogTail m_events;
    HttpAddress m_control;
    std::vector<Entry> m_entries;
    std::vector<std::unique_ptr<TcpProxy>> m_workerProxies;
    std::uint64_t m_version = 0;
};

} // namespace lanemoor::soak
