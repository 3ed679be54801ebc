/// Plans, calls to the platform and links at thousands of instances, where assumptions about a small fleet fail.

#include "lanemoor/jobs/policy/call_budget.h"
#include "lanemoor/jobs/policy/capacity_plan.h"
#include "lanemoor/jobs/policy/peak_reservation.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr MonotonicInstant begin { std::chrono::seconds(100) };
constexpr std::int64_t coresOfInstance = 32;

PoolLoad idlePool(const std::string& name, std::size_t instances, std::int64_t demandCores)
{
    PoolLoad load { .pool = name, .hasArrivals = true, .requirements = { { Requirement {}, { .demandMilliCpu = demandCores * 1'000 } } }, .instances = {} };
    for (std::size_t i = 0; i < instances; ++i)
        load.instances.push_back({ .instance = name + std::to_string(i), .kind = "a", .rack = "r", .capacity = { .milliCpu = coresOfInstance * 1'000, .memoryMb = 131'072 }, .idleSince = begin - Millis(10'000) });
    return load;
}

/// Two pools of a thousand idle instances with alternating peaks, and a reserve.
std::vector<PoolLoad> ampleFleet(std::int64_t firstCores, std::int64_t secondCores)
{
    std::vector<PoolLoad> pools { idlePool("first", 1'000, firstCores), idlePool("second", 1'000, secondCores), idlePool("off", 1'000, 0) };
    pools.back().reserve = true;
    return pools;
}

std::size_t movesFrom(const CapacityStep& step, const std::string& pool)
{
    return static_cast<std::size_t>(std::count_if(step.moves.begin(), step.moves.end(), [&](const CapacityMove& move) { return move.from == pool; }));
}

} // namespace

// Guards against a plan that powers off thousands of idle instances at once, seconds before the peak of their pool.
TEST_CASE("A pool of an ample fleet keeps room for a peak that only another pool has had")
{
    CapacityPlan plan;
    static_cast<void>(plan.next(ampleFleet(6'000, 100), begin));
    const CapacityStep step = plan.next(ampleFleet(6'000, 100), begin + Millis(3'500));
    const std::size_t kept = 6'000 / coresOfInstance;
    CHECK(movesFrom(step, "first") > 0);
    CHECK(1'000 - movesFrom(step, "first") >= kept);
    CHECK(1'000 - movesFrom(step, "second") >= kept);
}

// Guards against hundreds of moves for a burst of a few dozen arrivals, while 940 instances of the pool are idle.
TEST_CASE("A forecast of one instant moves no instances to a pool with idle room")
{
    CapacityPlan plan;
    static_cast<void>(plan.next(ampleFleet(4'000, 100), begin));
    CHECK(plan.next(ampleFleet(29'000, 100), begin + Millis(100)).moves.empty());
    CHECK(plan.next(ampleFleet(4'000, 100), begin + Millis(200)).moves.empty());
    std::vector<CapacityMove> moves;
    for (int i = 3; i < 12; ++i)
        moves = plan.next(ampleFleet(29'000, 100), begin + i * Millis(100)).moves;
    // With the margin the pool needs more than it has.
    CHECK(moves.size() > 100);
}

TEST_CASE("A peak is kept until it is older than a cycle of load")
{
    PeakReservation peaks({ .memory = Millis(30'000), .maxFleetShare = 0.5 });
    peaks.update({ { .pool = "a", .needed = 300, .size = 1'000 } }, 1'000, begin, begin - Millis(60'000));
    peaks.update({ { .pool = "a", .needed = 10, .size = 1'000 } }, 1'000, begin + Millis(20'000), begin - Millis(60'000));
    CHECK(peaks.reservedFor("a") == Approx(300));
    peaks.update({ { .pool = "a", .needed = 10, .size = 1'000 } }, 1'000, begin + Millis(31'000), begin - Millis(60'000));
    CHECK(peaks.reservedFor("a") == Approx(10));
}

// Guards against a pool that is emptied before its first peak, after the peaks of the others.
TEST_CASE("Pools whose instances are still starting do not make room scarce")
{
    PeakReservation peaks({ .memory = Millis(30'000), .maxFleetShare = 0.5 });
    peaks.update({ { .pool = "a", .needed = 10, .size = 0 }, { .pool = "b", .needed = 10, .size = 1 } }, 2'000, begin, std::nullopt);
    peaks.update({ { .pool = "a", .needed = 300, .size = 1'000 }, { .pool = "b", .needed = 10, .size = 1'000 } }, 2'000, begin + Millis(10'000), begin - Millis(60'000));
    CHECK(peaks.reservedFor("a") == Approx(300));
    CHECK(peaks.reservedFor("b") == Approx(300));
}

TEST_CASE("A pool shrinks no faster than its load is observed")
{
    PeakReservation peaks({ .memory = Millis(30'000), .maxFleetShare = 0.5 });
    peaks.update({ { .pool = "a", .needed = 10, .size = 1'000 } }, 1'000, begin, std::nullopt);
    CHECK(peaks.reservedFor("a") == Approx(1'000));
    peaks.update({ { .pool = "a", .needed = 10, .size = 1'000 } }, 1'000, begin + Millis(15'000), begin);
    CHECK(peaks.reservedFor("a") == Approx(500));
    peaks.update({ { .pool = "a", .needed = 10, .size = 500 } }, 1'000, begin + Millis(30'000), begin);
    CHECK(peaks.reservedFor("a") == Approx(10));
}

TEST_CASE("Pools whose peaks do not fit together share instances over time")
{
    PeakReservation peaks({ .memory = Millis(30'000), .maxFleetShare = 0.5 });
    peaks.update({ { .pool = "a", .needed = 300, .size = 500 }, { .pool = "b", .needed = 10, .size = 500 } }, 1'000, begin, begin - Millis(60'000));
    CHECK(peaks.reservedFor("a") == 0);
    CHECK(peaks.reservedFor("b") == 0);
}

TEST_CASE("A fleet that stays without load is powered off")
{
    CapacityPlan plan;
    const auto idleFleet = [] {
        std::vector<PoolLoad> pools = ampleFleet(0, 0);
        for (PoolLoad& pool : pools)
            pool.hasArrivals = false;
        return pools;
    };
    CHECK(plan.next(idleFleet(), begin).moves.empty());
    CHECK(plan.next(idleFleet(), begin + Millis(59'000)).moves.empty());
    CHECK(plan.next(idleFleet(), begin + Millis(61'000)).moves.size() > 1'900);
}
// Guards against thousands of calls that the platform refuses, each after its instance was emptied.
TEST_CASE("A plan has no more moves and drains than the platform accepts, those for short pools first")
{
    CapacityPlan plan;
    static_cast<void>(plan.next(ampleFleet(100, 100), begin));
    std::vector<PoolLoad> pools = ampleFleet(100, 100);
    pools.push_back(idlePool("short", 2, 2'000));
    const CapacityStep step = plan.next(pools, begin + Millis(3'500), 100);
    CHECK(step.moves.size() + step.drains.size() <= 100);
    const auto forShort = static_cast<std::size_t>(std::count_if(step.moves.begin(), step.moves.end(), [](const CapacityMove& move) { return move.to == "short"; }));
    CHECK(forShort >= 2'000 / coresOfInstance);
    CHECK(step.moves.front().to == "short");
    CHECK(movesFrom(step, "first") <= (100 - forShort) / 2);
    CHECK(movesFrom(step, "first") + 1 >= movesFrom(step, "second"));
}

TEST_CASE("A call budget refills at its rate and holds one second of it")
{
    CallBudget budget(100, begin);
    CHECK(budget.available(begin) == 100);
    budget.drain();
    CHECK(budget.available(begin) == 0);
    CHECK(budget.available(begin + Millis(500)) == 50);
    CHECK(budget.available(begin + Millis(10'000)) == 100);
    budget.consume(100);
    CHECK(budget.available(begin + Millis(10'000)) == 0);
    CHECK(CallBudget().available(begin) > 1'000'000);
}
