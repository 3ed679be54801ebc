/// The sort order of sites and the cache of requests without room do not change any choice.

#include "lanemoor/jobs/policy/placement.h"
#include "support.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <tuple>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr std::int64_t unit = 400; // Granularity of processor time in milli-cores and of memory in MB, for tasks and sites.

int anyOf(int below)
{
    return *rc::gen::inRange(0, below);
}

std::string name(const char* prefix, int number)
{
    return prefix + std::to_string(number);
}

/// Workers of one pool and their free capacity.
struct Pool {
    std::vector<WorkerEntry> workers;
    std::vector<PlacementSite> sites;
};

Pool anyPool()
{
    Pool pool;
    const int count = 1 + anyOf(12);
    for (int i = 0; i < count; ++i) {
        const std::string rack = name("r", anyOf(3));
        pool.workers.push_back({ .id = name("w", i), .address = {}, .pool = "main", .dataHall = name("h", anyOf(3)), .capacity = {}, .labels = { name("k", anyOf(2)), rack }, .rack = rack, .draining = anyOf(8) == 0 });
    }
    for (const WorkerEntry& worker : pool.workers) {
        pool.sites.push_back({ .worker = &worker, .free = { .milliCpu = (anyOf(12) - 1) * unit, .memoryMb = anyOf(6) * unit }, .servingTasks = anyOf(3) == 0 ? 1U : 0U, .open = anyOf(8) != 0, .preferred = anyOf(8) != 0, .reservedForLabel = anyOf(8) == 0 ? "k0" : "", .labelDemand = static_cast<std::uint32_t>(anyOf(3)), .distrusted = anyOf(5) == 0 });
        if (anyOf(6) == 0)
            pool.sites.back().startsLeft = static_cast<std::uint32_t>(anyOf(3));
    }
    return pool;
}

StepSpec anyStep()
{
    StepSpec step { .count = 1, .needs = { .milliCpu = anyOf(5) * unit, .memoryMb = anyOf(4) * unit } };
    if (anyOf(3) == 0)
        step.requiredLabel = anyOf(2) == 0 ? "k0" : "r1";
    if (anyOf(3) == 0)
        step.preferredRack = name("r", anyOf(3));
    step.bestEffort = anyOf(4) == 0;
    step.latencyTarget = Millis(anyOf(4) == 0 ? 50 : 0);
    step.maxPerInstance = anyOf(4) == 0 ? 1 : 0;
    return step;
}

PlacementQuery anyQuery(std::size_t sites)
{
    PlacementQuery query;
    query.avoidWorker = anyOf(3) == 0 ? name("w", anyOf(static_cast<int>(sites))) : "";
    query.rack = anyOf(5) == 0 ? name("r", anyOf(3)) : "";
    query.nearOnly = anyOf(4) == 0;
    query.tasksOfStep = [](std::size_t index) { return index % 3 == 0 ? 1U : 0U; };
    if (anyOf(5) == 0)
        query.admits = [](std::size_t index) { return index % 2 == 0; };
    return query;
}

/// \returns The site that an exhaustive search finds.
std::optional<std::size_t> bestOfAll(const std::vector<PlacementSite>& sites, const StepSpec& step, const PlacementQuery& query)
{
    using Rank = std::tuple<bool, bool, bool, bool, bool, std::uint32_t, std::pair<std::uint32_t, std::string>, std::int64_t, std::size_t>;
    const auto hallRank = [&](const std::string& hall) {
        if (!query.tasksByHall)
            return std::pair(0U, std::string());
        const auto tasks = query.tasksByHall->find(hall);
        return std::pair(tasks == query.tasksByHall->end() ? 0U : tasks->second, hall);
    };
    std::optional<Rank> best;
    for (std::size_t i = 0; i < sites.size(); ++i) {
        const PlacementSite& site = sites[i];
        const bool isFar = !step.preferredRack.empty() && !hasLabel(*site.worker, step.preferredRack);
        const bool fits = site.open && site.startsLeft > 0 && !site.worker->draining && site.free.covers(footprint(step)) && (step.requiredLabel.empty() || hasLabel(*site.worker, step.requiredLabel)) && (site.reservedForLabel.empty() || site.reservedForLabel == step.requiredLabel);
        const bool admitted = (query.rack.empty() || site.worker->rack == query.rack) && !(query.nearOnly && isFar) && (!query.admits || query.admits(i)) && (step.maxPerInstance == 0 || query.tasksOfStep(i) < step.maxPerInstance);
        if (!fits || !admitted)
            continue;
        const bool mixes = (step.bestEffort && site.servingTasks > 0) || (step.latencyTarget.count() > 0 && site.bestEffortTasks > 0);
        // Tasks are not spread over the data halls of distrusted sites.
        const Rank rank { site.distrusted, site.worker->id == query.avoidWorker, !site.preferred, isFar, mixes, step.requiredLabel.empty() ? site.labelDemand : 0, site.distrusted ? std::pair(0U, std::string()) : hallRank(site.worker->dataHall), step.bestEffort ? std::int64_t { site.bestEffortTasks } : site.free.milliCpu, i };
        if (!best || rank < *best)
            best = rank;
    }
    return best ? std::optional(std::get<std::size_t>(*best)) : std::nullopt;
}

} // namespace

TEST_CASE("Placement chooses as an inspection of each site would, regardless of earlier reservations and releases")
{
    constexpr int choices = 30;
    REQUIRE(rc::check([] {
        const Pool pool = anyPool();
        Placer placer(pool.sites);
        std::vector<std::pair<std::size_t, StepSpec>> reserved;
        for (int i = 0; i < choices; ++i) {
            const StepSpec step = anyStep();
            PlacementQuery query = anyQuery(pool.sites.size());
            const std::map<std::string, std::uint32_t> byHall { { "h0", static_cast<std::uint32_t>(anyOf(3)) }, { "h1", static_cast<std::uint32_t>(anyOf(3)) } };
            if (anyOf(2) == 0)
                query.tasksByHall = &byHall;
            const std::optional<std::size_t> expected = bestOfAll(placer.sites(), step, query);
            RC_ASSERT(placer.choose(step, query) == expected);
            if (expected) {
                placer.reserve(*expected, step);
                reserved.emplace_back(*expected, step);
            }
            if (!reserved.empty() && anyOf(5) == 0) {
                placer.release(reserved.back().first, reserved.back().second);
                reserved.pop_back();
            }
        }
    }));
}

/// Guards against inspecting, for each task that is placed elsewhere, the empty sites of workers that do not answer.
TEST_CASE("Distrusted sites come last, are not inspected while others have room, and take only as many tasks as allowed")
{
    constexpr std::size_t count = 100;
    std::vector<WorkerEntry> workers(count + 1);
    std::vector<PlacementSite> sites;
    for (std::size_t i = 0; i <= count; ++i)
        sites.push_back({ .worker = &workers[i], .free = { .milliCpu = i < count ? 2'000 : 4'000, .memoryMb = 8'000 }, .distrusted = i < count, .startsLeft = i < count ? 2U : std::numeric_limits<std::uint32_t>::max() });
    Placer placer(sites);
    for (int i = 0; i < 4; ++i) {
        REQUIRE(placer.choose(step(1), {}) == count);
        placer.reserve(count, step(1));
    }
    CHECK(placer.inspected() == 4);
    StepSpec small = step(1);
    small.needs.milliCpu = 100;
    for (std::size_t expected : { 0U, 0U, 1U }) {
        REQUIRE(placer.choose(small, {}) == expected);
        placer.reserve(expected, small);
    }
    placer.release(0, small);
    CHECK(placer.choose(small, {}) == 0U);
}

TEST_CASE("A task that found no room causes no further site inspection until a site has more room")
{
    const WorkerEntry worker { .id = "w", .address = {}, .pool = "main", .dataHall = {}, .capacity = {}, .labels = {}, .rack = {} };
    Placer placer({ { .worker = &worker, .free = { .milliCpu = 1'000, .memoryMb = 100 } } });
    StepSpec large = step(1);
    large.needs.memoryMb = 200;
    REQUIRE_FALSE(placer.choose(large, {}).has_value());
    const std::uint64_t inspections = placer.inspected();
    CHECK_FALSE(placer.choose(large, {}).has_value());
    CHECK(placer.inspected() == inspections);
    CHECK(placer.choose(step(1), {}) == 0U);
    StepSpec freed = step(1);
    freed.needs = { .milliCpu = 0, .memoryMb = 100 };
    placer.release(0, freed);
    CHECK(placer.choose(large, {}) == 0U);
}

namespace {

/// A pool of `instances` workers, assigned to three data halls in turn.
struct HallPool {
    explicit HallPool(std::size_t instances)
    {
        for (std::size_t i = 0; i < instances; ++i)
            workers.push_back({ .id = "w" + std::to_string(i), .address = {}, .pool = "main", .dataHall = name("h", static_cast<int>(i % 3)), .capacity = {}, .labels = {}, .rack = {} });
        for (const WorkerEntry& worker : workers)
            sites.push_back({ .worker = &worker, .free = { .milliCpu = 8'000, .memoryMb = 16'000 } });
    }

    std::vector<WorkerEntry> workers;
    std::vector<PlacementSite> sites;
};

} // namespace

TEST_CASE("Tasks of a step are spread over data halls as far as there is room, and none waits for it")
{
    const HallPool pool(9);
    Placer placer(pool.sites);
    std::map<std::string, std::uint32_t> byHall;
    const auto placeOne = [&] {
        const std::optional<std::size_t> site = placer.choose(longStep(1), { .tasksByHall = &byHall });
        if (!site)
            return false;
        placer.reserve(*site, longStep(1));
        ++byHall[pool.workers[*site].dataHall];
        return true;
    };
    for (int i = 0; i < 9; ++i)
        REQUIRE(placeOne());
    CHECK(byHall == std::map<std::string, std::uint32_t> { { "h0", 3 }, { "h1", 3 }, { "h2", 3 } });
    StepSpec whole = step(1);
    whole.needs = { .milliCpu = 4'000, .memoryMb = 100 };
    // If the other data halls have no room left, one takes all tasks.
    for (std::size_t i = 0; i < pool.sites.size(); ++i) {
        while (pool.workers[i].dataHall != "h1" && placer.sites()[i].free.milliCpu >= 1'000)
            placer.reserve(i, step(1));
    }
    for (int i = 0; i < 6; ++i)
        REQUIRE(placeOne());
    CHECK(byHall.at("h1") == 9);
}

/// Guards against a spread that inspects each worker.
TEST_CASE("Spreading a step over data halls costs as many inspections on a large fleet as on a small one")
{
    const auto inspectionsFor = [](std::size_t instances) {
        const HallPool pool(instances);
        Placer placer(pool.sites);
        std::map<std::string, std::uint32_t> byHall;
        for (int i = 0; i < 24; ++i) {
            const std::size_t site = placer.choose(longStep(1), { .tasksOfStep = [](std::size_t) { return 0U; }, .tasksByHall = &byHall }).value();
            placer.reserve(site, longStep(1));
            ++byHall[pool.workers[site].dataHall];
        }
        return placer.inspected();
    };
    CHECK(inspectionsFor(900) == inspectionsFor(60));
    CHECK(inspectionsFor(900) <= 24 * 3);
}
