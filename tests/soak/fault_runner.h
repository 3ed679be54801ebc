#pragma once
/// \file
/// Executes a fault plan on a cluster.

#include "fault_plan.h"
#include "guarantee_monitor.h"
#include "lanemoor/aio/asio_event_loop.h"
#include "soak_cluster.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <vector>

namespace lanemoor::soak {

/// \brief Begins and ends faults at their planned times, and reports them to the guarantee checks.
class FaultRunner {
public:
    /// \param owner Returns the index of the owner according to the logs; an index past the last process if unknown.
    /// \param beforeStop Called with the index of a process just before SIGTERM.
    /// \param record Receives one JSON line per fault.
    FaultRunner(aio::AsioEventLoop& loop, SoakCluster& cluster, GuaranteeMonitor& guarantees, std::function<unsigned()> owner, std::function<void(unsigned)> beforeStop, std::ostream& record);

    /// \brief Schedules `plan` relative to the current time.
    void run(const std::vector<PlannedFault>& plan);

    /// \returns Whether every fault is over and every process runs again.
    [[nodiscard]] bool isOver() const;

    [[nodiscard]] std::uint64_t faults() const noexcept { return m_faults; }

private:
    void begin(const PlannedFault& fault);
    void beginOnProcess(const PlannedFault& fault);
    void beginOnStore(const PlannedFault& fault);
    void beginOnPath(const PlannedFault& fault);
    void beginOnWorker(const PlannedFault& fault);
    void refuseStarts(const PlannedFault& fault);
    void hangAdvisor(const PlannedFault& fault);
    void evacuate(const PlannedFault& fault);
    void pause(unsigned process, Millis time);
    void kill(unsigned process, Millis time);
    void stop(unsigned process, Millis time);
    void awaitStop(unsigned process, jobs::MonotonicInstant restartAt, jobs::MonotonicInstant limit);
    void restart(unsigned process);
    void cut(const std::shared_ptr<Path>& path, const PathFaults& faults, Millis time);
    void after(Millis time, std::function<void()> callback);
    [[nodiscard]] unsigned processOf(const PlannedFault& fault) const;
    void logFault(std::string_view fault, const nlohmann::json& fields);

    aio::AsioEventLoop& m_loop;
    SoakCluster& m_cluster;
    GuaranteeMonitor& m_guarantees;
    std::function<unsigned()> m_owner;
    std::function<void(unsigned)> m_beforeStop;
    std::ostream& m_record;
    std::set<unsigned> m_disturbed; ///< Processes that are paused, stopping or not running.
    std::size_t m_pending = 0; ///< Scheduled callbacks that have not run yet.
    std::uint64_t m_faults = 0;
};

} // namespace lanemoor::soak
