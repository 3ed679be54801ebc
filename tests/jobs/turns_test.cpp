/// Decisions for alternating load, tested mostly without a network: a queue asks for five times its mean for some seconds, which is
/// more than its pool has, and for a twentieth of the mean in between.

#include "lanemoor/jobs/policy/capacity_plan.h"
#include "lanemoor/jobs/policy/load_forecast.h"
#include "lanemoor/jobs/policy/maintenance_plan.h"
#include "support.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr MonotonicInstant start { std::chrono::seconds(100) };
constexpr std::int64_t instanceMilliCpu = 10'000;

/// A pool of busy instances, except for `idle` ones that have been idle since `idleSince`.
PoolLoad busyPool(const std::string& name, std::size_t instances, RequirementLoad load, std::size_t idle = 0, MonotonicInstant idleSince = start - Millis(5'000))
{
    PoolLoad pool { .pool = name, .requirements = { { Requirement {}, load } }, .instances = {} };
    for (std::size_t i = 0; i < instances; ++i) {
        PoolInstance instance { .instance = name + std::to_string(i), .kind = "a", .rack = "r", .capacity = { .milliCpu = instanceMilliCpu, .memoryMb = 1'000 }, .idleSince = std::nullopt };
        if (i < idle) {
            instance.idleSince = idleSince;
        } else {
            instance.drainableWorker = "worker-" + instance.instance;
            instance.expectedEmptyAt = start + Millis(100 * static_cast<std::int64_t>(i));
        }
        pool.instances.push_back(std::move(instance));
    }
    return pool;
}

CapacityOptions exact()
{
    return { .margin = 1.0, .packing = 1.0, .observation = Millis(0), .maxIdleStart = Millis(0) };
}

/// Jobs of four tasks, each of one core and half a second, arrive evenly.
void addArrivals(LoadForecast& forecast, std::size_t jobs, MonotonicInstant from, Millis over)
{
    for (std::size_t i = 0; i < jobs; ++i)
        forecast.noteArrival("work", job({ step(4) }), from + std::chrono::duration_cast<std::chrono::microseconds>(over) * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(jobs));
}

} // namespace

TEST_CASE("A rise of many arrivals is seen within a fifth of a second")
{
    LoadForecast forecast;
    addArrivals(forecast, 10, start, Millis(500)); // 20 per second,
    addArrivals(forecast, 40, start + Millis(500), Millis(200)); // then 200 per second: 400 cores.
    CHECK(forecast.milliCpu("work", start + Millis(700)) >= 400'000);
}

TEST_CASE("A rise is extrapolated while instances are moving, within bounds")
{
    LoadForecast forecast;
    addArrivals(forecast, 20, start, Millis(350));
    addArrivals(forecast, 40, start + Millis(350), Millis(350));
    const std::int64_t rate = 40 * 2'000 * 1'000 / 350; // Thousandths of a core that the newest arrivals keep busy.
    CHECK(forecast.milliCpu("work", start + Millis(700)) > 3 * rate / 2);
    CHECK(forecast.milliCpu("work", start + Millis(700)) < 3 * rate);
}

TEST_CASE("An even load, and one of few arrivals, is not treated as a rise")
{
    LoadForecast even;
    addArrivals(even, 140, start, Millis(700));
    CHECK(even.milliCpu("work", start + Millis(699)) < 500'000); // 200 per second: 400 cores.
    LoadForecast few;
    addArrivals(few, 2, start, Millis(350));
    addArrivals(few, 6, start + Millis(350), Millis(350));
    CHECK(few.milliCpu("work", start + Millis(700)) <= 8 * 2'000 * 1'000 / 700);
}

TEST_CASE("A backlog that ends late in any case keeps no instances from jobs that can end in time")
{
    CapacityPlan plan(exact());
    const RequirementLoad late { .demandMilliCpu = 20'000, .backlogMilliCpu = 900'000, .backlogWaits = true };
    const RequirementLoad timely { .demandMilliCpu = 60'000, .hasWaiting = true };
    const CapacityStep step = plan.next({ busyPool("late", 10, late), busyPool("timely", 4, timely) }, start);
    // Two more are needed for processor time; one of them would be needed for the waiting tasks alone.
    CHECK(step.drains.size() == 2);
    REQUIRE_FALSE(step.drains.empty());
    CHECK(step.drains.front().to == "timely");
    // The instance that is empty soonest goes first.
    CHECK(step.drains.front().instance == "late0");
}

TEST_CASE("A backlog gets instances that no other job asks for, once they have been idle for a while")
{
    CapacityPlan plan(exact());
    const RequirementLoad late { .demandMilliCpu = 20'000, .backlogMilliCpu = 50'000, .backlogWaits = true };
    const RequirementLoad quiet { .demandMilliCpu = 20'000 };
    const std::vector<CapacityMove> moves = plan.next({ busyPool("late", 2, late), busyPool("quiet", 8, quiet, 6) }, start).moves;
    CHECK(moves.size() == 5);
    CHECK(std::all_of(moves.begin(), moves.end(), [](const CapacityMove& move) { return move.to == "late"; }));
    CapacityPlan sooner(exact());
    CHECK(sooner.next({ busyPool("late", 2, late), busyPool("quiet", 8, quiet, 6, start - Millis(100)) }, start).moves.empty());
}

TEST_CASE("A pool whose waiting jobs end late in any case does not slow a wave down")
{
    CapacityPlan plan(exact());
    static_cast<void>(plan.next({ busyPool("late", 4, { .demandMilliCpu = 20'000, .backlogMilliCpu = 900'000, .backlogWaits = true }) }, start));
    CHECK_FALSE(plan.isShort());
}

TEST_CASE("While a pool is short, instances being emptied count with those that are down")
{
    WaveRequest wave { .number = 1, .instances = {}, .duration = Millis(26'000), .maxConcurrent = 28 };
    std::vector<MaintenanceCandidate> fleet;
    for (int i = 0; i < 132; ++i) {
        const std::string id = "m" + std::to_string(i);
        if (i < 72)
            wave.instances.push_back(id);
        fleet.push_back({ .instance = id, .pool = "p" + std::to_string(i % 4), .worker = "w" + id, .up = true, .attempts = 3 });
    }
    MaintenancePlan plan(wave, {}, start);
    for (int i = 0; i < 20; ++i)
        plan.noteAccepted("m" + std::to_string(i), start + Millis(2'150));
    // 52 left in 15.6 s at 5 s each: 17 at once, and 20 are down.
    CHECK(plan.next(fleet, true, start).evacuate.size() == 1);
}

TEST_CASE("A job that has not started and cannot end in time comes after one that can; one that has started goes on")
{
    SmallCluster cluster(3, 1, 1, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(3'000); };
    // Eight cores: the first job takes them for 3 s, half a second more than its objective.
    cluster.submit(0, "work", jobId(1), job({ step(8), step(2, { 0 }) }));
    cluster.clock.runFor(Millis(500));
    cluster.submit(0, "work", jobId(2), job({ step(8) }));
    cluster.clock.runFor(Millis(2'400));
    cluster.submit(0, "work", jobId(3), job({ step(6) }));
    cluster.clock.runFor(Millis(600));
    CHECK_FALSE(cluster.checker.workerOf(jobId(1), { 0, 1, 0 }).empty());
    CHECK(cluster.checker.workerOf(jobId(2), { 0, 0, 0 }).empty());
    CHECK_FALSE(cluster.checker.workerOf(jobId(3), { 0, 0, 0 }).empty());
    CHECK(cluster.waitFor(Millis(9'000), [&] { return cluster.shows(jobId(2), JobStatus::Succeeded); }));
}
