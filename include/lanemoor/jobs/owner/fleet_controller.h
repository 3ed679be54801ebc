#pragma once
/// \file
/// Moves and maintains instances while this process owns the fleet.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"
#include "lanemoor/jobs/model/service_configuration.h"
#include "lanemoor/jobs/owner/evacuation_reason.h"
#include "lanemoor/jobs/owner/ownership_manager.h"
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

/// Dependencies and settings of a fleet controller. All referenced objects outlive the controller.
struct FleetControllerOptions {
    EventLoop* loop = nullptr;
    KeyValueStore* store = nullptr;
    FleetControl* fleet = nullptr;
    JobScheduler* scheduler = nullptr;
    OwnershipManager* ownership = nullptr;
    const HallEvacuations* evacuations = nullptr;
    const PlatformDocuments* documents = nullptr;
    EventLog* log = nullptr;
    WorkMeter* meter = nullptr; ///< Null: work is not measured.
    std::function<std::shared_ptr<const ServiceConfiguration>()> configuration;
    std::string holder; ///< Identifies this owner in calls to the platform.
    /// Minimum time between calls of two owners for one instance: the platform must not receive calls of two
    /// holders in succession within its lease time.
    Millis handover { 3'000 };
    Millis maintenanceTime { 2'000 }; ///< Duration of the maintenance of one instance, as the platform specifies it.
    Millis moveTime { 1'500 }; ///< Duration of the move of one instance between pools.
    double callsPerSecond = 0; ///< Rate limit of the platform for all instances together; 0: no limit.
    CapacityOptions capacity;
    bool movesEvacuatedInstances = true; ///< Whether empty instances of evacuated data halls move to the reserve pool.
    Millis planEvery { 100 }; ///< Max delay before the plan covers a pool that lacks instances.
    Millis listEvery { 1'000 };
    Millis listEveryWithPendingChanges { 300 }; ///< Interval while waves or moves are in progress; the list lags by about 800 ms.
};

/// Counters since the start of the process.
struct FleetCounts {
    std::uint64_t maintained = 0;
    std::uint64_t moved = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0; ///< Calls without a usable response.
    std::uint64_t wavesFinished = 0;
};

/// \brief Lists the instances, carries out maintenance waves and sizes the pools by load.
class FleetController {
public:
    explicit FleetController(FleetControllerOptions options);
    ~FleetController();
    FleetController(const FleetController&) = delete;
    FleetController& operator=(const FleetController&) = delete;

    void activate(const Ownership& ownership);
    void deactivate();

    /// \brief Adds a wave that operators request; a known wave is ignored.
    void onWave(const WaveRequest& wave);

    /// \brief Repeats pending store calls at once. To be called when the store is available again.
    void retryStore();

    /// \brief Notes the end of a store outage that was long enough to hide the load: idle times restart, and no instance is
    /// powered off before the load has been observed again.
    void noteOutageOver();

    [[nodiscard]] const FleetCounts& counts() const noexcept;

    /// \returns The evacuations of the current term as of the last plan; none without a term.
    [[nodiscard]] const EvacuationReading& evacuations() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
