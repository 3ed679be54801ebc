#pragma once
/// \file
/// Starts the project's programs as separate processes on loopback, and plays callers and the platform's operator.

#include <chrono>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lanemoor::review {

using Json = nlohmann::json;
using Millis = std::chrono::milliseconds;

/// Results of a case, as exit codes.
enum class Verdict : std::uint8_t {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// The answer to an HTTP call; status 0: none.
struct Answer {
    int status = 0;
    std::string body;
};

/// An address on loopback.
struct Endpoint {
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const { return ip + ':' + std::to_string(port); }
};

/// \brief Writes `record.txt`: one line for each thing that was sent, answered or run.
class Record {
public:
    explicit Record(const std::string& file);

    void line(const std::string& text);

private:
    std::chrono::steady_clock::time_point m_start;
    std::mutex m_mutex;
    std::ofstream m_out;
};

/// \brief A process that this program started. It is killed at the latest with this object.
class Child {
public:
    Child(const std::vector<std::string>& command, const std::string& logFile);
    ~Child();
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;

    /// \returns Whether the process still runs.
    [[nodiscard]] bool isRunning();

    /// \returns Resident memory in MB; 0 if it has ended.
    [[nodiscard]] double residentMb() const;

    void kill();

private:
    pid_t m_pid = -1;
    bool m_hasEnded = false;
};

/// What a case starts.
struct ClusterOptions {
    std::string folder; ///< Temporary, for settings and logs.
    std::string programs; ///< Folder of the stand-ins.
    std::string daemon; ///< The program of the deploy file.
    unsigned processes = 3;
    unsigned instances = 12;
    unsigned reserve = 0;
    std::uint64_t memoryMb = 260; ///< A process above it is killed, as the platform does.
};

/// \brief The project's entry processes, and the platform that its own stand-in plays.
class Cluster {
public:
    Cluster(ClusterOptions options, Record& record);

    /// Calls of the platform's fleet interface go to this address instead of the stand-in.
    std::optional<Endpoint> fleetProxy;

    /// \returns Address of the stand-in's fleet interface.
    [[nodiscard]] Endpoint fleet() const { return m_fleet; }

    /// \brief Writes the configuration, starts the workers and all entry processes, and waits until each is ready.
    /// \returns False if one is not ready in time.
    bool start(const Json& configuration);

    /// \brief Acts as an operator: writes a key of the store.
    void put(const std::string& key, const Json& value);

    /// \brief Removes a key of the store, as the platform does with the entry of a silent worker.
    void remove(const std::string& key);

    /// \returns The value of a key of the store; null if there is none.
    [[nodiscard]] Json value(const std::string& key) const;

    /// \brief Crashes the worker of a machine for good.
    void crash(const std::string& machine);

    Answer submit(unsigned entry, const std::string& queue, const std::string& id, const Json& job);
    Answer look(unsigned entry, const std::string& queue, const std::string& id);

    /// \returns The state of a job, as the first entry that answers shows it; empty: none answers.
    std::string stateOf(const std::string& queue, const std::string& id);

    /// \returns The stand-in's events so far: starts and ends of runs, workers, and acts on instances.
    [[nodiscard]] std::vector<Json> events() const;

    /// \returns The machines, as the fleet interface lists them.
    [[nodiscard]] Json machines() const;

    /// \brief Acts as the platform: kills processes above their memory, and starts again those that have ended.
    void tend();

    /// \returns How often the process of each entry has ended.
    [[nodiscard]] std::vector<unsigned> ends() const;

    [[nodiscard]] unsigned processes() const { return m_options.processes; }

private:
    struct Entry {
        Endpoint front;
        Endpoint readiness;
        std::string settings;
        std::string log;
        std::unique_ptr<Child> process;
        unsigned ends = 0;
        std::chrono::steady_clock::time_point startAgainAt;
    };

    bool startStandin();
    void writeSettings(unsigned index);
    void startEntry(Entry& entry);
    [[nodiscard]] bool awaitReady();

    ClusterOptions m_options;
    Record& m_record;
    std::unique_ptr<Child> m_standin;
    Endpoint m_store;
    Endpoint m_fleet;
    Endpoint m_control;
    Json m_advisors;
    std::vector<Entry> m_entries;
};

/// \returns The answer to an HTTP call.
[[nodiscard]] Answer call(const Endpoint& to, const std::string& method, const std::string& path, const std::string& body, const std::string& host, Millis timeout);

/// \returns A free port at `ip`.
[[nodiscard]] std::uint16_t freePort(const std::string& ip);

/// \returns A configuration with the queues `qa` and `qb` of the services `alpha` and `beta`; `extra` is merged into each queue.
[[nodiscard]] Json configurationOf(std::uint64_t version, bool hasHeadroom);

/// \returns A job with one step.
[[nodiscard]] Json jobOf(const Json& payload, const Json& step);

/// \returns An id of 16 hex digits.
[[nodiscard]] std::string idOf(std::uint64_t number);

void pause(Millis time);

} // namespace lanemoor::review
