#pragma once
/// \file
/// A cluster with its callers and guarantee checks, all on one event loop.

#include "callers.h"
#include "guarantee_monitor.h"
#include "lanemoor/aio/asio_event_loop.h"
#include "soak_cluster.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace lanemoor::soak {

/// \returns The time of day, Unix ms.
[[nodiscard]] std::int64_t unixNow();

/// \brief Creates a folder for settings and logs. \param keep Path of the folder; empty for a new temporary one.
/// \throws std::runtime_error if the folder can't be created or is not empty.
[[nodiscard]] std::string makeFolder(const std::string& keep);

/// \brief Runs a cluster: reads its logs, feeds the checks, and waits for conditions.
class SoakSession {
public:
    explicit SoakSession(const ClusterOptions& options);

    [[nodiscard]] aio::AsioEventLoop& loop() noexcept { return m_loop; }
    [[nodiscard]] SoakCluster& cluster() noexcept { return m_cluster; }
    [[nodiscard]] Callers& callers() noexcept { return m_callers; }
    [[nodiscard]] GuaranteeMonitor& guarantees() noexcept { return m_guarantees; }

    /// \returns The index of the process that took the ownership last, according to the logs.
    [[nodiscard]] unsigned owner() const noexcept { return m_owner; }
    /// \returns The number of workers that the owner last reported as closed to new tasks; unset before its first report.
    [[nodiscard]] std::optional<std::int64_t> evacuatingWorkers() const noexcept { return m_evacuatingWorkers; }

    /// \returns The longest delay of a timer on the loop. The proxies delay calls by up to this much.
    [[nodiscard]] Millis maxLateness() const noexcept { return m_maxLateness; }

    /// \brief Starts all processes and waits until they serve.
    /// \throws std::runtime_error if they don't.
    void start();

    /// \brief Polls the status of accepted jobs until each has ended.
    void watchJobs();

    /// \brief Runs the loop until `condition` returns true or `limit` has passed. \returns Whether the condition became true.
    bool waitFor(Millis limit, const std::function<bool()>& condition);

    [[nodiscard]] bool areAllReady();

    /// \returns The configuration version in force at a process according to its log; 0 if none since its start.
    [[nodiscard]] std::uint64_t configurationAt(unsigned process);

    /// \returns Whether the latest configuration version is in force at every process.
    [[nodiscard]] bool haveLastConfiguration();

    /// \brief Stops all processes and reports those that keep running.
    void stopAll();

private:
    void watchLogs(jobs::MonotonicInstant due);
    void drainLogs();
    void noteLine(unsigned index, const nlohmann::json& line);

    aio::AsioEventLoop m_loop;
    GuaranteeMonitor m_guarantees;
    SoakCluster m_cluster;
    Callers m_callers;
    unsigned m_owner = 0;
    std::optional<std::int64_t> m_evacuatingWorkers; ///< As reported by the current owner.
    Millis m_maxLateness { 0 };
    std::map<unsigned, std::uint64_t> m_versions; ///< Configuration version in force according to the logs, by process.
};

} // namespace lanemoor::soak
