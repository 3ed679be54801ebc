#pragma once
/// \file
/// Carries out a plan of faults on a cluster.

#include "fault_plan.h"
#include "lanemoor/aio/asio_event_loop.h"
#include "promises.h"
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

/// \brief Begins and ends faults at their times, and tells the checks when something is in trouble.
class FaultRunner {
public:
    /// \param owner Tells which process owns by its log; beyond the last one: none is known.
    /// \param beforeStop Called with a process just before it is asked to stop.
    /// \param record Gets a line for each fault.
    FaultRunner(aio::AsioEventLoop& loop, SoakCluster& cluster, Promises& promises, std::function<unsigned()> owner, std::function<void(unsigned)> beforeStop, std::ostream& record);

    /// \brief Carries out `plan` from now on.
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
    void evacuate(const PlannedFault& fault);
    void pause(unsigned process, Millis time);
    void kill(unsigned process, Millis time);
    void stop(unsigned process, Millis time);
    void awaitStop(unsigned process, jobs::MonotonicInstant restartAt, jobs::MonotonicInstant limit);
    void restart(unsigned process);
    void cut(const std::shared_ptr<Path>& path, const PathFaults& faults, Millis time);
    void after(Millis time, std::function<void()> callback);
    [[nodiscard]] unsigned processOf(const PlannedFault& fault) const;
    void tell(std::string_view fault, const nlohmann::json& fields);

    aio::AsioEventLoop& m_loop;
    SoakCluster& m_cluster;
    Promises& m_promises;
    std::function<unsigned()> m_owner;
    std::function<void(unsigned)> m_beforeStop;
    std::ostream& m_record;
    std::set<unsigned> m_disturbed; ///< Processes that are paused, or don't run.
    std::size_t m_pending = 0; ///< Beginnings and ends of faults that are still to come.
    std::uint64_t m_faults = 0;
};

} // namespace lanemoor::soak
