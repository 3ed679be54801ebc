#pragma once
/// \file
/// A cluster of real processes on loopback: platform, workers and entry instances.

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

/// An answer and the result of its exchange.
struct Answer {
    ExchangeResult result;
    HttpResponse response;

    /// \returns The outcome header of the answer, or an empty string.
    [[nodiscard]] std::string outcome() const;
};

/// \brief Sends one request and waits for its complete answer.
[[nodiscard]] Answer ask(const HttpAddress& address, const HttpRequest& request, std::chrono::milliseconds limit = std::chrono::seconds(20));

/// \returns A request with the given header fields.
[[nodiscard]] HttpRequest requestOf(const std::string& method, const std::string& target, const std::vector<HttpHeader>& headers = {}, const std::string& body = {});

/// \brief Polls until `condition` holds. \returns False if it doesn't hold within `limit`.
[[nodiscard]] bool eventually(const std::function<bool()>& condition, std::chrono::seconds limit = std::chrono::seconds(30));

/// Location of the binaries, and options of the cluster.
struct ClusterOptions {
    std::string buildFolder;
    unsigned listLagMs = 100;
    unsigned rebootMs = 300;
    unsigned shardCount = 3;
    unsigned leaseMs = 1500;
    unsigned maxThreads = 128; ///< Requests handled at the same time by an entry instance.
    unsigned maxListeners = 64; ///< Fewer than `maxThreads`.
    bool secure = false; ///< Whether the peer link uses keys.
};

/// Registration data of a worker.
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

/// \brief Starts and stops the processes. The destructor ends all of them.
class Cluster {
public:
    explicit Cluster(ClusterOptions options);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    void addWorker(const WorkerSpec& spec);
    /// \brief Registers a worker that listens at `address` already.
    /// \param isObserved Whether the platform asks the worker for its state; otherwise it is listed as live.
    void registerWorker(const WorkerSpec& spec, const HttpAddress& address, bool isObserved);
    /// \param morePeers Peer ports in addition to the entries of this cluster.
    void addEntry(const std::string& name, const std::vector<std::uint16_t>& morePeers = {});

    /// \brief Writes the first configuration through entry `name`.
    /// \returns Whether it was accepted.
    [[nodiscard]] bool configure(const std::string& name, const std::string& text);

    /// \returns Whether every entry is ready and reports `members` instances of `pool` in service.
    [[nodiscard]] bool poolHas(const std::string& pool, unsigned members);

    /// \brief Sets the faults that the stand-in of the platform injects; `{}` clears them.
    void setFaults(const std::string& json);

    [[nodiscard]] Entry& entry(const std::string& name) { return m_entries.at(name); }
    [[nodiscard]] std::map<std::string, Entry>& entries() noexcept { return m_entries; }
    [[nodiscard]] ChildProcess& worker(const std::string& id) { return *m_workers.at(id).process; }
    [[nodiscard]] const HttpAddress& workerAddress(const std::string& id) const { return m_workers.at(id).address; }
    [[nodiscard]] const HttpAddress& platform() const noexcept { return m_platformAddress; }

    /// \brief Kills an entry and removes it.
    void killEntry(const std::string& name);

    /// \returns The number of runs of order `key` on all running workers.
    [[nodiscard]] int runsOf(const std::string& key) const;

    /// \returns A counter of worker `id`: served, refused or mostInFlight.
    [[nodiscard]] int countAt(const std::string& id, const std::string& name) const;

    /// \returns The revision in force at entry `name`.
    [[nodiscard]] std::uint64_t revisionAt(const std::string& name);

    /// \returns The file with the peer link's keys, if the cluster is secure.
    [[nodiscard]] std::string keyFile() const { return m_folder + "/peer.keys"; }

    /// The exit code and output of a command.
    struct CommandResult {
        int code = -1;
        std::string output;
    };
    /// \brief Runs the lanemoor binary with `arguments` until it ends.
    [[nodiscard]] CommandResult command(const std::vector<std::string>& arguments) const;

    /// \returns The directory for files of this cluster. The destructor removes it.
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
