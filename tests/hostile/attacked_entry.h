#pragma once
/// \file
/// A `lanemoor serve` process of the job service beside the stand-in of its platform, for tests with hostile peers.

#include "soak/soak_cluster.h"
#include "support/hostile_crowd.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace lanemoor::test {

/// \name Limits of the attacked process
///@{
constexpr unsigned entryConnections = 100;
constexpr std::size_t entryHeaderBytes = 8'192;
constexpr std::size_t entryBodyBytes = 1'048'576;
/// The smallest entry has 160 MB, of which the copy of the store and the fleet may take 64 MB.
constexpr std::uint64_t maxMemoryMb = 96;
/// Beyond the connections of clients: files, listeners, and connections to the store, the fleet interface, the advisor and the workers.
constexpr std::size_t maxOtherDescriptors = 120;
///@}

/// \returns Whether the memory of `process` has stayed within the bound; true if there is no such process.
[[nodiscard]] bool isWithinMemory(pid_t process);

/// \brief One process with its platform. All addresses are on loopback.
class AttackedEntry {
public:
    /// \param changes Merged into the `jobService` object of the settings.
    explicit AttackedEntry(const nlohmann::json& changes = nlohmann::json::object());
    ~AttackedEntry();
    AttackedEntry(const AttackedEntry&) = delete;
    AttackedEntry& operator=(const AttackedEntry&) = delete;

    /// \returns The addresses that clients can connect to: front, readiness and metrics.
    [[nodiscard]] std::array<HttpAddress, 3> addresses() const;

    [[nodiscard]] pid_t process() const { return m_entry.process->id(); }

    /// \brief Submits one job, again after each broken connection or 503, on a new connection each time.
    /// \returns Whether the job was accepted within a bounded number of attempts.
    [[nodiscard]] bool acceptsJob(const std::string& queue = "alpha");

    /// \returns The status of the response to `GET target`, after a bounded number of attempts; 0 if none was answered.
    [[nodiscard]] unsigned statusOf(const HttpAddress& address, const std::string& target) const;

    /// \returns Whether each of `addresses` answers an ordinary request.
    [[nodiscard]] bool servesAll();

    /// \brief Writes an item to the platform's store.
    void put(const std::string& key, const nlohmann::json& value);

    /// \brief Checks that the process lives and that its memory and descriptors are within their bounds, and prints what it used.
    void check(const std::string& when);

private:
    aio::AsioEventLoop m_loop;
    std::string m_folder;
    soak::SoakCluster m_cluster;
    soak::SoakCluster::Entry& m_entry;
    std::thread m_thread; ///< Runs the loop, on which the cluster's proxies are.
    unsigned m_jobs = 0;
};

} // namespace lanemoor::test
