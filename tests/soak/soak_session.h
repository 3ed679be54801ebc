#pragma once
/// \file
/// A cluster with its callers and checks, and the loop that all of them run on.

#include "callers.h"
#include "lanemoor/aio/asio_event_loop.h"
#include "promises.h"
#include "soak_cluster.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace lanemoor::soak {

/// \returns The time of day, Unix ms.
[[nodiscard]] std::int64_t unixNow();

/// \brief Makes a folder for settings and logs. \param keep Its name; empty: a new one for temporary files.
/// \throws std::runtime_error if it can't be made or is not empty.
[[nodiscard]] std::string makeFolder(const std::string& keep);

/// \brief Runs a cluster: reads its logs, feeds the checks, and waits for conditions.
class SoakSession {
public:
    explicit SoakSession(const ClusterOptions& options);

    [[nodiscard]] aio::AsioEventLoop& loop() noexcept { return m_loop; }
    [[nodiscard]] SoakCluster& cluster() noexcept { return m_cluster; }
    [[nodiscard]] Callers& callers() noexcept { return m_callers; }
    [[nodiscard]] Promises& promises() noexcept { return m_promises; }

    /// \returns The process that took the ownership last, by the logs.
    [[nodiscard]] unsigned owner() const noexcept { return m_owner; }

    /// \returns How late a timer of the loop has fired at most. The proxies delay calls by as much.
    [[nodiscard]] Millis mostLateness() const noexcept { return m_mostLateness; }

    /// \brief Starts all processes and waits until they serve.
    /// \throws std::runtime_error if they don't.
    void start();

    /// \brief Asks for the status of accepted jobs from now on, until each has ended.
    void watchJobs();

    /// \brief Runs the loop until `holds` or until `limit` has passed. \returns Whether it held.
    bool waitFor(Millis limit, const std::function<bool()>& holds);

    [[nodiscard]] bool areAllReady();

    /// \returns The version in force at a process by its log; 0: none since it started.
    [[nodiscard]] std::uint64_t configurationAt(unsigned process);

    /// \returns Whether the last version written is in force everywhere.
    [[nodiscard]] bool haveLastConfiguration();

    /// \brief Asks all processes to stop and notes those that do not.
    void stopAll();

private:
    void watchLogs(jobs::MonotonicInstant due);
    void drainLogs();
    void noteLine(unsigned index, const nlohmann::json& line);

    aio::AsioEventLoop m_loop;
    Promises m_promises;
    SoakCluster m_cluster;
    Callers m_callers;
    unsigned m_owner = 0;
    Millis m_mostLateness { 0 };
    std::map<unsigned, std::uint64_t> m_versions; ///< In force by the logs, by process.
};

} // namespace lanemoor::soak
