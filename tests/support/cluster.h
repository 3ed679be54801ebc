#pragma once
/// \file
/// A whole cluster of real processes on loopback: platform, workers, entry instances.

#include "lanemoor/net/http_connection.h"
#include "support/process.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::test {

/// An answer and how the exchange went.
struct Answer {
    ExchangeResult result;
    HttpResponse response;

    /// \returns The outcome that lanemoor told, or an empty text.
    [[nodiscard]] std::string outcome() const;
};

/// \brief Sends one request and waits for its whole answer.
[[nodiscard]] Answer ask(const HttpAddress& address, const HttpRequest& request, std::chrono::milliseconds limit = std::chrono::seconds(20));

/// \returns A request with headers given as pairs of name and value.
[[nodiscard]] HttpRequest requestOf(const std::string& method, const std::string& target, const std::vector<HttpHeader>& headers = {}, const std::string& body = {});

/// \brief Waits until `condition` holds. \returns False if it does not within `limit`.
[[nodiscard]] bool eventually(const std::function<bool()>& condition, std::chrono::seconds limit = std::chrono::seconds(30));

/// Where the programs are, and how the cluster behaves.
struct ClusterOptions {
    std::string buildFolder;
    unsigned listLagMs = 100;
    unsigned rebootMs = 300;
    unsigned seats = 3;
    unsigned leaseMs = 1500;
    bool secure = false; ///< Keys on the peer link.
};

/// A worker as the cluster registers it.
struct WorkerSpec {
    std::string id;
    std::string dataHall;
    std::string rack;
    std::string service; ///< Value of its label `service`.
};

/// A running entry instance.
struct Entry {
    std::unique_ptr<ChildProcess> process;
    HttpAddress front;
    HttpAddress operators;
    std::uint16_t peerPort = 0;
};

/// \brief Starts and stops the processes. Everything is ended at destruction.
class Cluster {
public:
    explicit Cluster(ClusterOptions options);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    void addWorker(const WorkerSpec& spec);
    /// \param morePeers Ports of peers beside the entries of this cluster.
    void addEntry(const std::string& name, const std::vector<std::uint16_t>& morePeers = {});

    /// \brief Writes the first configuration through entry `name`.
    /// \returns Whether it was accepted.
    [[nodiscard]] bool configure(const std::string& name, const std::string& text);

    /// \returns Whether every pool has `members` instances in service, as each entry sees it.
    [[nodiscard]] bool poolHas(const std::string& pool, unsigned members);

    /// \brief Sets the platform's faults; `{}` mends all.
    void setFaults(const std::string& json);

    [[nodiscard]] Entry& entry(const std::string& name) { return m_entries.at(name); }
    [[nodiscard]] std::map<std::string, Entry>& entries() noexcept { return m_entries; }
    [[nodiscard]] ChildProcess& worker(const std::string& id) { return *m_workers.at(id).process; }
    [[nodiscard]] const HttpAddress& workerAddress(const std::string& id) const { return m_workers.at(id).address; }
    [[nodiscard]] const HttpAddress& platform() const noexcept { return m_platformAddress; }

    /// \brief Kills an entry and forgets it.
    void killEntry(const std::string& name);

    /// \returns How often order `key` has run, over all workers that are up.
    [[nodiscard]] int runsOf(const std::string& key) const;

    /// \returns A count that worker `id` tells: served, refused or mostInFlight.
    [[nodiscard]] int countAt(const std::string& id, const std::string& name) const;

    /// \returns The revision in force at entry `name`.
    [[nodiscard]] std::uint64_t revisionAt(const std::string& name);

    /// \returns The file with the peer link's keys, if the cluster is secure.
    [[nodiscard]] std::string keyFile() const { return m_folder + "/peer.keys"; }

    /// \returns A command of the binary, its output and exit code.
    struct CommandResult {
        int code = -1;
        std::string output;
    };
    [[nodiscard]] CommandResult command(const std::vector<std::string>& arguments) const;

    /// \returns The folder for files of this cluster, removed at destruction.
    [[nodiscard]] const std::string& folder() const noexcept { return m_folder; }

private:
    struct Worker {
        std::unique_ptr<ChildProcess> process;
        HttpAddress address;
    };

    [[nodiscard]] std::string settingsOf(const std::string& name, const std::vector<std::uint16_t>& morePeers) const;

    ClusterOptions m_options;
    std::string m_folder;
    std::unique_ptr<ChildProcess> m_platform;
    HttpAddress m_platformAddress;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, Entry> m_entries;
};

} // namespace lanemoor::test
