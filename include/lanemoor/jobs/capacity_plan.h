#pragma once
/// \file
/// Decides how many instances each pool has, by the load of its jobs. Pure.

#include "lanemoor/jobs/event_loop.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// An instance that could be moved now: up, and with nothing running.
struct IdleInstance {
    std::string instance;
    std::string kind; ///< Pools take instances of some kinds only.
    MonotonicInstant idleSince;

    [[nodiscard]] bool operator==(const IdleInstance&) const = default;
};

/// A pool as capacity planning sees it.
struct PoolLoad {
    std::string pool;
    bool reserve = false; ///< Its instances are off.
    std::uint32_t instances = 0; ///< Up, on their way, or back soon from maintenance.
    std::int64_t instanceMilliCpu = 0; ///< Capacity of one instance.
    std::int64_t demandMilliCpu = 0; ///< What runs and what waits.
    bool hasArrivals = false; ///< Whether jobs that end by themselves arrive.
    bool hasWaiting = false; ///< Whether tasks wait that could start if there were room.
    std::uint32_t leastInstances = 0; ///< Sound ones that its jobs need, whatever their load.
    std::uint32_t unsound = 0; ///< Of the instances, those that take no work.
    std::vector<IdleInstance> idle;
};

/// An instance that is to change pool.
struct CapacityMove {
    std::string instance;
    std::string from;
    std::string to;

    [[nodiscard]] bool operator==(const CapacityMove&) const = default;
};

/// Weights of capacity planning.
struct CapacityOptions {
    /// Demand is met with this much to spare: a move takes longer than a short task may wait,
    /// and an instance that serves earns some 20 times what it costs.
    double margin = 1.3;
    /// Of an instance's processor time that tasks of some cores can be packed into.
    double packing = 0.85;
    Millis demandMemory { 2'000 }; ///< Before an instance is switched off, the highest demand of this long counts.
    /// Nothing is switched off before load was watched for so long: more than the demand's memory.
    Millis observation { 3'000 };
    Millis mostIdleStart { 60'000 }; ///< Without any load, pools keep what they began with for so long.
    Millis idleBeforeOff { 1'200 }; ///< A move costs what an instance costs in about this time.
    std::uint32_t leastInstances = 2; ///< Of a pool with queues, so that one may fail.
};

/// \brief Follows load: instances come from the reserve or from pools that have idle ones to
/// spare, and go back once they were idle for a while.
class CapacityPlan {
public:
    explicit CapacityPlan(CapacityOptions options = {});

    /// \returns Moves to begin now, at most one for each instance.
    [[nodiscard]] std::vector<CapacityMove> next(const std::vector<PoolLoad>& pools, MonotonicInstant now);

    /// \returns Instances that `pool` needs for its demand now.
    [[nodiscard]] std::uint32_t target(const PoolLoad& pool) const;

    /// \returns Instances that `pool` keeps switched on, by the demand of late.
    [[nodiscard]] std::uint32_t keeps(const PoolLoad& pool, MonotonicInstant now) const;

    /// \returns Whether a pool had fewer instances than its target when moves were last chosen.
    [[nodiscard]] bool isShort() const noexcept { return m_short; }

    /// \brief Remembers that `pool` does not take instances of `kind`.
    void noteRefused(const std::string& kind, const std::string& pool);

private:
    struct Sample {
        MonotonicInstant at;
        std::int64_t milliCpu = 0;
    };

    [[nodiscard]] bool mayPowerOff(MonotonicInstant now) const;
    void note(const PoolLoad& pool, MonotonicInstant now);
    [[nodiscard]] std::uint32_t instancesFor(std::int64_t milliCpu, const PoolLoad& pool) const;
    [[nodiscard]] bool takes(const std::string& pool, const std::string& kind) const;

    CapacityOptions m_options;
    std::optional<MonotonicInstant> m_firstSeen;
    std::optional<MonotonicInstant> m_firstArrival;
    bool m_short = false;
    std::map<std::string, std::deque<Sample>> m_samples; ///< By pool; falling in value.
    std::map<std::string, std::vector<std::string>> m_refusedKinds; ///< By pool.
};

} // namespace lanemoor::jobs
