#pragma once
/// \file
/// Plans how many instances each pool has, from the load of its jobs. Pure.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/pool_load.h"
#include "lanemoor/jobs/policy/peak_reservation.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

/// A move of an instance to another pool.
struct CapacityMove {
    std::string instance;
    std::string from;
    std::string to;

    [[nodiscard]] bool operator==(const CapacityMove&) const = default;
};

/// A drain of an instance, so that a pool with less capacity can get it.
struct CapacityDrain {
    std::string instance;
    std::string worker;
    std::string from;
    std::string to;

    [[nodiscard]] bool operator==(const CapacityDrain&) const = default;
};

/// Actions to take now.
struct CapacityStep {
    std::vector<CapacityMove> moves; ///< At most one for each instance.
    std::vector<CapacityDrain> drains; ///< Each instance moves once its worker is empty.
    std::vector<std::string> undrains; ///< Instances whose drain no pool needs any longer.

    [[nodiscard]] bool operator==(const CapacityStep&) const = default;
};

/// Settings of capacity planning.
struct CapacityOptions {
    /// Capacity target as a multiple of demand: a move takes longer than a short task may wait, and an instance that serves earns
    /// some 20 times its cost.
    double margin = 1.3;
    /// Share of an instance's processor time that tasks of several cores can be packed into.
    double packing = 0.85;
    Millis demandMemory { 2'000 }; ///< No instance is powered off that the highest demand within this time needs.
    /// Min observation of load before any instance is powered off; longer than `demandMemory`.
    Millis observation { 3'000 };
    Millis maxIdleStart { 60'000 }; ///< Without any load, pools keep their initial instances for this time.
    /// A rise of demand counts as sustained after this. Until then a pool of a fleet with ample room serves it from idle
    /// instances: a momentary forecast may be several times the mean.
    Millis sustainTime { 500 };
    double idleShareOfRoom = 0.25; ///< A pool has room if this share of its healthy instances is idle and no task waits.
    Millis idleBeforeOff { 1'200 }; ///< Min idle time before power-off. A move costs about as much as an instance does in this time.
    std::uint32_t minInstances = 2; ///< Min size of a pool with queues, so that one instance may fail.
    bool sharesFairly = true; ///< Whether a pool with more capacity drains instances for one with less.
    /// Min lead of a pool over the one it drains for, in multiples of the instance's processor time. A drain and a move waste some
    /// 2.5 s of the instance. A gap of 2 lowers the score of a run by 0.020 on modified deployments, and makes no
    /// difference on the others.
    double fairnessGap = 5.0;
    bool separatesBacklog = true; ///< Whether jobs that end late in any case only get capacity that no other job asks for.
    bool extrapolatesRises = true; ///< Whether the newest arrivals weigh more and a rise is extrapolated.
    PeakReservationOptions peaks;
    bool servesLeastCapacityFirst = true; ///< Whether the pool with the least capacity is served first; otherwise the one with the largest relative shortage.

    [[nodiscard]] bool operator==(const CapacityOptions&) const = default;
};

/// Processor time and instances that a requirement class needs in its pool.
struct CapacityNeed {
    double milliCpu = 0;
    std::uint32_t instances = 0;

    [[nodiscard]] bool operator==(const CapacityNeed&) const = default;
};

/// \brief Follows load: instances come from the reserve or from pools with spare idle ones, and return to the reserve after some
/// idle time.
///
/// Demand is computed per requirement class. A pool is short of a class if the healthy instances with its label do not cover it,
/// and a pool keeps every instance that one of its classes needs. If there are too few instances for all pools, shares are
/// max-min fair: the pool with the least capacity gets the next instance, and a pool with more capacity drains instances for it.
class CapacityPlan {
public:
    explicit CapacityPlan(CapacityOptions options = {});

    /// \param maxActions Max sum of moves and drains. Pools that are short come first. Power-offs use at most half of the remainder,
    /// so that a rise of load does not meet an exhausted budget.
    /// \returns Actions to take now.
    [[nodiscard]] CapacityStep next(const std::vector<PoolLoad>& pools, MonotonicInstant now, std::size_t maxActions = std::numeric_limits<std::size_t>::max());

    /// \returns Instances that `pool` needs for its current demand, plus its unhealthy ones.
    [[nodiscard]] std::uint32_t target(const PoolLoad& pool) const;

    /// \returns Whether the last call of `next` found a pool short of instances that its tasks require.
    [[nodiscard]] bool isShort() const noexcept { return m_short; }

    /// \returns Instance inspections of the last call of `next`: a cost that does not depend on the machine.
    [[nodiscard]] std::uint64_t inspected() const noexcept { return m_inspected; }

    /// \brief Restarts the observation of load: no instance is powered off before load was observed again. Called at the end of
    /// an outage in which no job could arrive.
    void restartObservation(MonotonicInstant now);

    /// \brief Records that `pool` does not accept instances of `kind`.
    void noteRefused(const std::string& kind, const std::string& pool);

private:
    /// Demand of a class within a sliding window.
    struct DemandHistory {
        SlidingExtreme<std::int64_t, std::less_equal<>> highest;
        SlidingExtreme<std::int64_t, std::greater_equal<>> lowest;
    };

    struct ClassBalance;
    struct Balance;
    struct IdleGroup;

    [[nodiscard]] bool hasIdleRoom(const PoolLoad& pool) const;
    [[nodiscard]] Balance balanceOf(const PoolLoad& pool, MonotonicInstant now);
    [[nodiscard]] CapacityNeed needOf(const Requirement& requirement, const RequirementLoad& load, std::int64_t milliCpu, std::uint32_t present) const;
    void undrain(std::vector<Balance>& pools, std::vector<std::string>& undrains) const;
    [[nodiscard]] static std::vector<IdleGroup> groupIdle(std::vector<Balance>& pools);
    [[nodiscard]] const PoolInstance* nextDrainable(const Balance& pool, std::size_t& next, const Balance& receiver, const ClassBalance& lacking) const;
    void reservePeaks(std::vector<Balance>& pools, MonotonicInstant now);
    void fillShortages(std::vector<Balance>& pools, std::vector<CapacityMove>& moves, std::size_t maxMoves) const;
    void addBacklog(std::vector<Balance>& pools) const;
    void planDrains(std::vector<Balance>& pools, std::vector<CapacityDrain>& drains, std::size_t maxDrains) const;
    void powerOff(std::vector<Balance>& pools, std::vector<CapacityMove>& moves, std::size_t maxMoves, MonotonicInstant now) const;
    [[nodiscard]] bool mayPowerOff(MonotonicInstant now) const;
    [[nodiscard]] bool acceptsKind(const std::string& pool, const std::string& kind) const;

    CapacityOptions m_options;
    std::optional<MonotonicInstant> m_firstSeen;
    std::optional<MonotonicInstant> m_firstArrival;
    bool m_short = false;
    std::uint64_t m_inspected = 0;
    std::map<std::pair<std::string, Requirement>, DemandHistory> m_demands; ///< By pool and class.
    std::map<std::string, std::vector<std::string>> m_refusedKinds; ///< By pool.
    PeakReservation m_peaks;
};

} // namespace lanemoor::jobs
