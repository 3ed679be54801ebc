/// Placement, capacity, maintenance, throttling and forecast as pure functions.

#include "lanemoor/jobs/policy/capacity_plan.h"
#include "lanemoor/jobs/policy/load_forecast.h"
#include "lanemoor/jobs/policy/maintenance_plan.h"
#include "lanemoor/jobs/policy/placement.h"
#include "lanemoor/jobs/policy/throttle.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr MonotonicInstant start { std::chrono::seconds(100) };

WorkerEntry worker(const std::string& id, const std::string& rack = "r")
{
    return { .id = id, .address = "10.0.0.1:1", .pool = "main", .dataHall = "hall", .capacity = { .milliCpu = 4'000, .memoryMb = 1'000 }, .labels = { "a", rack }, .rack = rack };
}

PlacementSite site(const WorkerEntry& worker, std::int64_t freeMilliCpu)
{
    return { .worker = &worker, .free = { .milliCpu = freeMilliCpu, .memoryMb = 1'000 } };
}

PoolInstance instance(const std::string& id, const std::string& kind = "a", const std::string& rack = "r")
{
    return { .instance = id, .kind = kind, .rack = rack, .capacity = { .milliCpu = 10'000, .memoryMb = 1'000 }, .idleSince = std::nullopt };
}

/// The first `idle` instances of the pool are idle, so they move away first.
PoolLoad pool(const std::string& name, std::uint32_t instances, std::int64_t demandCores, std::size_t idle)
{
    PoolLoad load { .pool = name, .requirements = { { Requirement {}, { .demandMilliCpu = demandCores * 1'000 } } }, .instances = {} };
    for (std::size_t i = 0; i < instances; ++i) {
        load.instances.push_back(instance(name + std::to_string(i)));
        if (i < idle)
            load.instances.back().idleSince = start - Millis(10'000);
    }
    return load;
}

PoolLoad reserve(std::size_t instances)
{
    PoolLoad load = pool("off", static_cast<std::uint32_t>(instances), 0, instances);
    load.reserve = true;
    return load;
}

CapacityOptions exact()
{
    return { .margin = 1.0, .packing = 1.0, .observation = Millis(0), .maxIdleStart = Millis(0) };
}

std::size_t movesTo(const std::vector<CapacityMove>& moves, const std::string& pool)
{
    return static_cast<std::size_t>(std::count_if(moves.begin(), moves.end(), [&](const CapacityMove& move) { return move.to == pool; }));
}

} // namespace

TEST_CASE("Placement fills the fullest site that fits")
{
    const WorkerEntry a = worker("a");
    const WorkerEntry b = worker("b");
    Placer placer({ site(a, 4'000), site(b, 1'500) });
    CHECK(placer.choose(step(1), {}) == 1U);
    placer.reserve(1, step(1));
    CHECK(placer.choose(step(1), {}) == 0U);
}

TEST_CASE("Placement keeps to labels, racks, spread, drains and what it should avoid")
{
    WorkerEntry a = worker("a", "r1");
    WorkerEntry b = worker("b", "r2");
    StepSpec wanted = step(1);
    wanted.requiredLabel = "r2";
    CHECK(Placer({ site(a, 1'000), site(b, 4'000) }).choose(wanted, {}) == 1U);
    wanted = step(1);
    wanted.preferredRack = "r2";
    CHECK(Placer({ site(a, 1'000), site(b, 4'000) }).choose(wanted, {}) == 1U);
    wanted = step(1);
    wanted.maxPerInstance = 1;
    const PlacementQuery spread { .avoidWorker = {}, .rack = {}, .tasksOfStep = [](std::size_t index) { return index == 0 ? 1U : 0U; }, .admits = {} };
    CHECK(Placer({ site(a, 1'000), site(b, 4'000) }).choose(wanted, spread) == 1U);
    CHECK(Placer({ site(a, 1'000), site(b, 4'000) }).choose(step(1), { .avoidWorker = "a", .rack = {}, .tasksOfStep = {}, .admits = {} }) == 1U);
    CHECK(Placer({ site(a, 1'000) }).choose(step(1), { .avoidWorker = "a", .rack = {}, .tasksOfStep = {}, .admits = {} }) == 0U);
    a.draining = true;
    CHECK(Placer({ site(a, 1'000), site(b, 4'000) }).choose(step(1), {}) == 1U);
    CHECK_FALSE(Placer({ site(b, 999) }).choose(step(1), {}).has_value());
}

TEST_CASE("Best-effort tasks take no processor time and keep away from serving ones")
{
    const WorkerEntry a = worker("a");
    const WorkerEntry b = worker("b");
    StepSpec filling = step(1);
    filling.bestEffort = true;
    PlacementSite serving = site(a, 100);
    serving.servingTasks = 1;
    CHECK(Placer({ serving, site(b, 100) }).choose(filling, {}) == 1U);
    CHECK(footprint(filling).milliCpu == 0);
}

TEST_CASE("A short pool gets instances from the reserve first, then from idle ones elsewhere")
{
    CapacityPlan plan(exact());
    const auto moves = plan.next({ pool("a", 2, 60, 0), pool("b", 8, 0, 8), reserve(2) }, start).moves;
    CHECK(movesTo(moves, "a") == 4);
    CHECK(std::count_if(moves.begin(), moves.end(), [](const CapacityMove& move) { return move.from == "off"; }) == 2);
    CHECK(plan.isShort());
}

TEST_CASE("Idle instances are powered off after a while, but not below the spread requirement")
{
    CapacityPlan plan(exact());
    PoolLoad spread = pool("a", 8, 0, 8);
    spread.requirements[{}].minInstances = 5;
    CHECK(plan.next({ spread, reserve(0) }, start).moves.size() == 2);
    PoolLoad fresh = pool("a", 8, 0, 8);
    for (PoolInstance& idle : fresh.instances)
        idle.idleSince = start;
    CHECK(plan.next({ fresh, reserve(0) }, start + Millis(500)).moves.empty());
}

TEST_CASE("A pool without instances has a target, and one observed too briefly keeps its instances")
{
    // Guards against a pool that was emptied and never gets an instance again (seen on prc-montevideo quiet-1).
    CapacityPlan plan(exact());
    CHECK(movesTo(plan.next({ pool("a", 0, 30, 0), reserve(9) }, start).moves, "a") == 3);
    CapacityPlan quietPlan(CapacityOptions {});
    PoolLoad quiet = pool("a", 8, 0, 8);
    CHECK(quietPlan.next({ quiet, reserve(0) }, start).moves.empty());
    // Guards against pools that are powered off before the first job arrives (seen on tellelag-drift-grown quiet-1).
    CHECK(quietPlan.next({ quiet, reserve(0) }, start + Millis(14'000)).moves.empty());
    PoolLoad busy = quiet;
    busy.hasArrivals = true;
    CHECK(quietPlan.next({ busy, reserve(0) }, start + Millis(14'000)).moves.empty());
    CHECK(quietPlan.next({ quiet, reserve(0) }, start + Millis(16'900)).moves.empty());
    CHECK_FALSE(quietPlan.next({ quiet, reserve(0) }, start + Millis(17'000)).moves.empty());
    CapacityPlan idle(CapacityOptions {});
    CHECK(idle.next({ quiet, reserve(0) }, start).moves.empty());
    CHECK_FALSE(idle.next({ quiet, reserve(0) }, start + Millis(60'000)).moves.empty());
}

TEST_CASE("An instance whose kind a pool refused is not offered to it again")
{
    CapacityPlan plan(exact());
    plan.noteRefused("a", "needy");
    CHECK(plan.next({ pool("needy", 1, 50, 0), reserve(3) }, start).moves.empty());
}

TEST_CASE("Maintenance takes instances that are off first, then the emptiest, and never exceeds the limit of instances down")
{
    MaintenancePlan plan({ .number = 1, .instances = { "a", "b", "c", "d" }, .duration = Millis(60'000), .maxConcurrent = 2 }, {}, start);
    const std::vector<MaintenanceCandidate> fleet {
        { .instance = "a", .pool = "main", .worker = "wa", .attempts = 3 },
        { .instance = "b", .pool = "main", .worker = "wb", .evacuating = true },
        { .instance = "c", .pool = "off", .worker = {}, .reserve = true },
        { .instance = "d", .pool = "off", .worker = {}, .reserve = true },
    };
    const MaintenanceStep first = plan.next(fleet, false, start);
    CHECK(first.maintain == std::vector<std::string> { "c", "d" });
    plan.noteRequested("c");
    plan.noteRequested("d");
    CHECK(plan.next(fleet, false, start).maintain.empty());
    plan.noteAccepted("c", start + Millis(2'000));
    plan.noteRefused("d", start + Millis(500));
    CHECK(plan.next(fleet, false, start).maintain == std::vector<std::string> { "b" });
    plan.noteAccepted("b", start + Millis(2'000));
    CHECK(plan.next(fleet, false, start + Millis(1'000)).maintain.empty());
    CHECK(plan.next(fleet, false, start + Millis(2'000)).maintain == std::vector<std::string> { "d" });
    plan.noteAccepted("d", start);
    CHECK_FALSE(plan.isFinished());
    plan.noteRemoved("a");
    CHECK(plan.isFinished());
}

TEST_CASE("A worker that can't be emptied because of its kind has work again for a while")
{
    // Guards against an instance that stays half empty to the end of the day because the other one of its kind is full, while
    // tasks wait for that kind (seen on a changed deployment).
    MaintenancePlan plan({ .number = 1, .instances = { "a" }, .duration = Millis(60'000), .maxConcurrent = 2 }, {}, start);
    MaintenanceCandidate candidate { .instance = "a", .pool = "main", .worker = "wa", .attempts = 2, .pinned = true };
    CHECK(plan.next({ candidate }, false, start).evacuate == std::vector<std::string> { "wa" });
    candidate.evacuating = true;
    candidate.evacuatingSince = start;
    CHECK(plan.next({ candidate }, false, start + Millis(5'000)).release.empty());
    CHECK(plan.next({ candidate }, false, start + Millis(8'001)).release == std::vector<std::string> { "wa" });
    candidate.evacuating = false;
    CHECK(plan.next({ candidate }, false, start + Millis(9'000)).evacuate.empty());
    CHECK(plan.next({ candidate }, false, start + Millis(13'000)).evacuate == std::vector<std::string> { "wa" });
    candidate.lastOfKind = true;
    CHECK(plan.next({ candidate }, false, start + Millis(13'000)).evacuate.empty());
}

TEST_CASE("A wave keeps a worker empty only until its instance is maintained or put off or has another worker")
{
    // Guards against a worker that stays closed to tasks although the wave no longer needs it empty.
    using Evacuated = std::map<std::string, std::string>;
    MaintenancePlan plan({ .number = 1, .instances = { "a", "b" }, .duration = Millis(60'000), .maxConcurrent = 2 }, {}, start);
    std::vector<MaintenanceCandidate> fleet {
        { .instance = "a", .pool = "main", .worker = "wa", .attempts = 2 },
        { .instance = "b", .pool = "side", .worker = "wb", .attempts = 2, .pinned = true },
    };
    (void)plan.next(fleet, false, start);
    REQUIRE(plan.workersToEvacuate() == Evacuated { { "a", "wa" }, { "b", "wb" } });
    for (MaintenanceCandidate& candidate : fleet) {
        candidate.evacuating = true;
        candidate.evacuatingSince = start;
    }
    (void)plan.next(fleet, false, start + Millis(8'001));
    CHECK(plan.workersToEvacuate() == Evacuated { { "a", "wa" } });
    fleet.front().worker = "wa-2";
    fleet.front().up = false;
    (void)plan.next(fleet, false, start + Millis(8'002));
    CHECK(plan.workersToEvacuate().empty());
    fleet.front().up = true;
    fleet.front().attempts = 0;
    CHECK(plan.next(fleet, false, start + Millis(8'003)).maintain == std::vector<std::string> { "a" });
    CHECK(plan.workersToEvacuate() == Evacuated { { "a", "wa-2" } });
    plan.noteAccepted("a", start + Millis(10'000));
    CHECK(plan.workersToEvacuate().empty());
}

TEST_CASE("A wave keeps a worker empty while its maintenance call is unanswered")
{
    // Guards against starts on a worker that a call in flight takes down.
    using Evacuated = std::map<std::string, std::string>;
    MaintenancePlan plan({ .number = 1, .instances = { "a" }, .duration = Millis(60'000), .maxConcurrent = 2 }, {}, start);
    std::vector<MaintenanceCandidate> fleet { { .instance = "a", .pool = "main", .worker = "wa", .attempts = 1 } };
    (void)plan.next(fleet, false, start);
    fleet.front().evacuating = true;
    fleet.front().evacuatingSince = start;
    fleet.front().attempts = 0;
    REQUIRE(plan.next(fleet, false, start + Millis(500)).maintain == std::vector<std::string> { "a" });
    plan.noteRequested("a");
    // The list shows the maintenance before the call is answered: an instance without a worker.
    fleet.front().worker.clear();
    fleet.front().up = false;
    (void)plan.next(fleet, false, start + Millis(600));
    CHECK(plan.workersToEvacuate() == Evacuated { { "a", "wa" } });
}

TEST_CASE("A wave is paced while a pool is short, and hurries when its time runs out")
{
    std::vector<std::string> instances;
    std::vector<MaintenanceCandidate> fleet;
    for (int i = 0; i < 8; ++i) {
        instances.push_back("m" + std::to_string(i));
        fleet.push_back({ .instance = instances.back(), .pool = "off", .worker = {}, .reserve = true });
    }
    MaintenancePlan plan({ .number = 1, .instances = instances, .duration = Millis(100'000), .maxConcurrent = 4 }, {}, start);
    CHECK(plan.next(fleet, true, start).maintain.size() == 1);
    CHECK(plan.next(fleet, false, start).maintain.size() == 4);
    CHECK(plan.next(fleet, true, start + Millis(60'000)).maintain.size() == 4);
}

TEST_CASE("Best-effort tasks are throttled soon and restored slowly")
{
    Throttle throttle;
    CHECK(throttle.update(0.5, start) == 100);
    CHECK(throttle.update(0.9, start + Millis(100)) == 50);
    CHECK(throttle.update(1.2, start + Millis(200)) == 50);
    CHECK(throttle.update(1.2, start + Millis(800)) == 0);
    CHECK(throttle.update(0.3, start + Millis(900)) == 0);
    CHECK(throttle.update(0.3, start + Millis(2'900)) == 20);
    CHECK(throttle.update(0.7, start + Millis(5'000)) == 20);
}

TEST_CASE("The forecast follows arrivals and observed run times")
{
    LoadForecast forecast;
    forecast.noteArrival("work", job({ step(4) }), start);
    CHECK(forecast.milliCpu("work", start) == 2'857);
    CHECK(forecast.milliCpu("work", start + Millis(800)) == 0);
    for (int i = 0; i < 200; ++i)
        forecast.noteRunTime("work", Millis(500), Millis(1'000));
    CHECK(forecast.ratio("work") == Approx(2.0).epsilon(0.01));
    CHECK(forecast.ratio("other") == 1.0);
}
