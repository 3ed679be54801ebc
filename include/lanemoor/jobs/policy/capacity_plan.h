#pragma once
/// \file
/// Decides how many instances each pool has, by the load of its jobs. Pure.

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

/// An instance that is to change pool.
struct CapacityMove {
    std::string instance;
    std::string from;
    std::string to;

    [[nodiscard]] bool operator==(const CapacityMove&) const = default;
};

/// An instance that is to be emptied, so that a pool that has less can get it.
struct CapacityDrain {
    std::string instance;
    std::string worker;
    std::string from;
    std::string to;

    [[nodiscard]] bool operator==(const CapacityDrain&) const = default;
};

/// What to do now.
struct CapacityStep {
    std::vector<CapacityMove> moves; ///< At most one for each instance.
    std::vector<CapacityDrain> drains; ///< Each is to be moved once its worker is empty.
    std::vector<std::string> undrains; ///< Instances whose drain no pool needs any more.

    [[nodiscard]] bool operator==(const CapacityStep&) const = default;
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
    /// A rise counts as lasting after this; until then a pool of a fleet with ample room meets it by what is idle there. The forecast
    /// of one instant may be several times the mean.
    Millis sustainTime { 500 };
    double idleShareOfRoom = 0.25; ///< Of a pool's sound instances: with so many idle and no task waiting, the pool has room.
    Millis idleBeforeOff { 1'200 }; ///< A move costs what an instance costs in about this time.
    std::uint32_t minInstances = 2; ///< Of a pool with queues, so that one may fail.
    bool sharesFairly = true; ///< Whether a pool that has more than another empties instances for it.
    /// By how many of an instance's processor time a pool must have more than another to do so: a
    /// drain and a move waste some 2.5 s of the instance. 5 measured 0.020 better than 2 on changed
    /// deployments, and the same on the others.
    double fairnessGap = 5.0;
    bool backlogApart = true; ///< Whether jobs that end late whatever is done get only what nobody else asks for.
    bool seesRises = true; ///< Whether the newest arrivals count more, and a rise is taken to go on.
    PeakReservationOptions peaks;
    bool leastFirst = true; ///< Whether the pool that has least is relieved first, or else the one that lacks the largest share.

    [[nodiscard]] bool operator==(const CapacityOptions&) const = default;
};

/// Processor time and instances that a requirement class needs of its pool.
struct CapacityNeed {
    double milliCpu = 0;
    std::uint32_t instances = 0;

    [[nodiscard]] bool operator==(const CapacityNeed&) const = default;
};

/// \brief Follows load: instances come from the reserve or from pools that have idle ones to
/// spare, and go back once they were idle for a while.
///
/// Demand is reckoned by requirement class. A pool is short of a class if the sound instances
/// with its label do not cover it; it gives no instance away that one of its classes needs.
/// While there are too few for all, shares are max-min fair: the pool that has least gets the
/// next instance, and one that has more empties instances for it.
class CapacityPlan {
public:
    explicit CapacityPlan(CapacityOptions options = {});

    /// \param maxActs Moves and drains together. Pools that are short come first; instances are powered off with half of what
    /// is left, so that a rise of load meets a budget that is not used up.
    /// \returns What to do now.
    [[nodiscard]] CapacityStep next(const std::vector<PoolLoad>& pools, MonotonicInstant now, std::size_t maxActs = std::numeric_limits<std::size_t>::max());

    /// \returns Instances that `pool` needs for its demand now; unsound ones come on top.
    [[nodiscard]] std::uint32_t target(const PoolLoad& pool) const;

    /// \returns Whether a pool lacked instances that its tasks can't do without when moves were
    /// last chosen.
    [[nodiscard]] bool isShort() const noexcept { return m_short; }

    /// \returns How many times an instance was looked at when moves were last chosen: what a plan costs,
    /// whatever the machine.
    [[nodiscard]] std::uint64_t inspected() const noexcept { return m_inspected; }

    /// \brief Takes load as not seen yet: nothing is powered off before it was observed again. For the end of an outage in which
    /// nothing could arrive.
    void observeAnew(MonotonicInstant now);

    /// \brief Remembers that `pool` does not take instances of `kind`.
    void noteRefused(const std::string& kind, const std::string& pool);

private:
    /// Demand of a class within the last seconds.
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
    [[nodiscard]] const PoolInstance* nextDrainable(const Balance& pool, std::size_t& next, const Balance& needy, const ClassBalance& lacking) const;
    void reservePeaks(std::vector<Balance>& pools, MonotonicInstant now);
    void relieve(std::vector<Balance>& pools, std::vector<CapacityMove>& moves, std::size_t maxMoves) const;
    void addBacklog(std::vector<Balance>& pools) const;
    void share(std::vector<Balance>& pools, std::vector<CapacityDrain>& drains, std::size_t maxDrains) const;
    void powerOff(std::vector<Balance>& pools, std::vector<CapacityMove>& moves, std::size_t maxMoves, MonotonicInstant now) const;
    [[nodiscard]] bool mayPowerOff(MonotonicInstant now) const;
    [[nodiscard]] bool takes(const std::string& pool, const std::string& kind) const;

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
