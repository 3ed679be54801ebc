#pragma once
/// \file
/// Moves and maintains instances while this instance owns the fleet.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"
#include "lanemoor/jobs/model/service_configuration.h"
#include "lanemoor/jobs/owner/ownership_keeper.h"
#include "lanemoor/jobs/policy/capacity_plan.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lanemoor {
class EventLog;
} // namespace lanemoor

namespace lanemoor::jobs {

class HallEvacuations;
class WorkMeter;

/// What a fleet keeper works with. All of it outlives the keeper.
struct FleetKeeperOptions {
    EventLoop* loop = nullptr;
    KeyValueStore* store = nullptr;
    FleetControl* fleet = nullptr;
    JobScheduler* scheduler = nullptr;
    OwnershipKeeper* ownership = nullptr;
    const HallEvacuations* evacuations = nullptr;
    const PlatformDocuments* documents = nullptr;
    EventLog* log = nullptr;
    WorkMeter* meter = nullptr; ///< Null: work is not measured.
    std::function<std::shared_ptr<const ServiceConfiguration>()> configuration;
    std::string holder; ///< Name that acts carry.
    /// Least time between acts of two owners on one instance: the platform must not see two
    /// holders in turn within its lease time.
    Millis handover { 3'000 };
    Millis maintenanceTime { 2'000 }; ///< Of one instance, as the platform says.
    Millis moveTime { 1'500 }; ///< Of one instance between pools.
    double actsPerSecond = 0; ///< That the platform takes from all instances together; 0: no limit.
    CapacityOptions capacity;
    bool movesEvacuated = true; ///< Whether empty instances of evacuated data halls go to the reserve.
    Millis planEvery { 100 }; ///< A pool that is short waits at most this long for the plan.
    Millis listEvery { 1'000 };
    Millis listEveryWhileActing { 300 }; ///< Also while waves or moves are under way; the list lags by some 800 ms.
};

/// Counts of one process since its start.
struct FleetCounts {
    std::uint64_t maintained = 0;
    std::uint64_t moved = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0; ///< Acts without a usable answer.
    std::uint64_t wavesFinished = 0;
};

/// \brief Lists the instances, takes waves through the fleet and sizes the pools by load.
class FleetKeeper {
public:
    explicit FleetKeeper(FleetKeeperOptions options);
    ~FleetKeeper();
    FleetKeeper(const FleetKeeper&) = delete;
    FleetKeeper& operator=(const FleetKeeper&) = delete;

    void activate(const Ownership& ownership);
    void deactivate();

    /// \brief Takes in a wave that operators ask for; one that is known changes nothing.
    void onWave(const WaveRequest& wave);

    /// \brief Sends the calls to the store that wait for their retry. For the moment at which the store answers again.
    void retryStore();

    /// \brief Notes that the store was out for long enough to hide the load: idle times restart, and nothing is powered off before
    /// load was observed again.
    void noteOutageOver();

    [[nodiscard]] const FleetCounts& counts() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
