/// Capacity planning and Retry-After after an outage of the store.
///
/// Guards against pools that are powered off after an outage: no load arrives at the plan meanwhile, but all refused callers
/// retry afterwards.

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/intake/demand_report.h"
#include "lanemoor/jobs/intake/refused_submissions.h"
#include "lanemoor/jobs/policy/capacity_plan.h"
#include "lanemoor/jobs/policy/load_forecast.h"
#include "lanemoor/jobs/policy/retry_advice.h"
#include "lanemoor/jobs/relay/command_relay.h"
#include "lanemoor/jobs/relay/relayed_workers.h"
#include "support.h"

#include <array>
#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;
using namespace lanemoor::model;

namespace {

constexpr MonotonicInstant start { std::chrono::seconds(100) };
constexpr Millis observation { 3'000 };

/// \returns A pool of idle instances, and a reserve pool.
std::vector<PoolLoad> idlePools(bool hasArrivals)
{
    PoolLoad pool { .pool = "main", .requirements = { { Requirement {}, {} } }, .instances = {} };
    for (int i = 0; i < 6; ++i)
        pool.instances.push_back({ .instance = "m-" + std::to_string(i), .kind = "a", .rack = "r", .capacity = { .milliCpu = 8'000, .memoryMb = 1'000 }, .idleSince = start });
    pool.hasArrivals = hasArrivals;
    return { pool, { .pool = "off", .reserve = true, .requirements = { { Requirement {}, {} } }, .instances = {} } };
}

} // namespace

TEST_CASE("After an outage nothing is powered off before load was observed again")
{
    CapacityPlan plan({ .observation = observation });
    static_cast<void>(plan.next(idlePools(true), start));
    REQUIRE(!plan.next(idlePools(true), start + observation).moves.empty());
    const MonotonicInstant availableAt = start + Millis(8'000);
    plan.restartObservation(availableAt);
    CHECK(plan.next(idlePools(false), availableAt + Millis(10'000)).moves.empty());
    CHECK(plan.next(idlePools(true), availableAt + Millis(11'000)).moves.empty());
    CHECK(plan.next(idlePools(true), availableAt + Millis(11'000) + observation - Millis(1)).moves.empty());
    CHECK(!plan.next(idlePools(true), availableAt + Millis(11'000) + observation).moves.empty());
}

TEST_CASE("Refused submissions count like arrivals of the same work")
{
    const JobSpec spec = job({ step(8), step(4, { 0 }) });
    LoadForecast arrivals;
    LoadForecast refusals;
    for (int i = 0; i < 30; ++i) {
        const MonotonicInstant now = start + Millis(20 * i);
        arrivals.noteArrival("work", spec, now);
        refusals.noteRefused("work", 1, declaredWorkMillis(spec), now);
    }
    const MonotonicInstant now = start + Millis(600);
    REQUIRE(arrivals.milliCpu("work", now) > 0);
    CHECK(refusals.milliCpu("work", now) == arrivals.milliCpu("work", now));
    CHECK(refusals.milliCpu("work", now + Millis(1'000)) == 0);
}

TEST_CASE("A report of demand sums by queue and organisation, and is bounded")
{
    DemandReport report;
    CHECK(report.isEmpty());
    const JobSpec spec = job({ step(2), longStep(3) });
    report.noteRefused("work", "north", spec);
    report.noteAdmitted("work", "north", spec);
    report.noteRefused("work", "south", spec);
    const std::vector<EntryDemand> expected { { .queue = "work", .organisation = "north", .admitted = 1, .refused = 1, .workMillis = 2'000 }, { .queue = "work", .organisation = "south", .admitted = 0, .refused = 1, .workMillis = 1'000 } };
    CHECK(report.take() == expected);
    CHECK(report.isEmpty());
    for (std::size_t i = 0; i < 2 * DemandReport::maxEntries; ++i)
        report.noteRefused("work", std::to_string(i), spec);
    const std::vector<EntryDemand> all = report.take();
    CHECK(all.size() <= DemandReport::maxEntries + 1);
    std::uint32_t refused = 0;
    for (const EntryDemand& demand : all)
        refused += demand.refused;
    CHECK(refused == 2 * DemandReport::maxEntries);
}

// Guards against one frame for each refusal, since an instance refuses hundreds of submissions a second in an outage.
TEST_CASE("An entry instance reports refusals to the owner at most once in 250 ms, and nothing without any")
{
    SimClock clock;
    std::mt19937_64 random(1);
    SimProcess ownerProcess(clock);
    SimProcess entryProcess(clock);
    PeersModel peers(clock, random);
    PeerPort ownerPort(peers, ownerProcess, "owner");
    PeerPort entryPort(peers, entryProcess, "entry");
    EventLog log({ .discard = true });
    WorkersModel workers(clock, random);
    WorkerClient ownerWorkers(workers, ownerProcess);
    WorkerClient entryWorkers(workers, entryProcess);
    DemandReport report;
    std::vector<EntryDemand> reports;
    RelayedWorkers owner({ .loop = &ownerProcess, .peers = &ownerPort, .direct = &ownerWorkers, .log = &log, .demandReported = [&](const EntryDemand& demand) { reports.push_back(demand); } }, { .workersPerCore = 10 }, 1);
    CommandRelay entry({ .loop = &entryProcess, .peers = &entryPort, .workers = &entryWorkers, .log = &log, .takeDemand = [&] { return report.take(); } }, "entry", 1);
    owner.activate();
    entry.setOwner("owner");
    clock.runFor(Millis(1'000));
    CHECK(reports.empty());
    const JobSpec spec = job({ step(2) });
    for (int i = 0; i < 100; ++i) {
        report.noteRefused("work", "north", spec);
        entry.reportDemand();
        clock.runFor(Millis(10));
    }
    clock.runFor(Millis(500));
    CHECK(reports.size() >= 4);
    CHECK(reports.size() <= 6);
    EntryDemand sum { .queue = "work", .organisation = "north" };
    for (const EntryDemand& demand : reports) {
        CHECK(demand.organisation == "north");
        sum.refused += demand.refused;
        sum.workMillis += demand.workMillis;
    }
    CHECK(sum.refused == 100);
    CHECK(sum.workMillis == 100 * declaredWorkMillis(spec));
}

TEST_CASE("Retry-After spreads returns over the expected drain, within the caller's useful time")
{
    std::minstd_rand random(7);
    const auto countsOf = [&](const RefusalSituation& situation) {
        std::array<int, 4> counts {};
        for (int i = 0; i < 900; ++i)
            ++counts.at(static_cast<std::size_t>(adviseRetry(situation, random) / Millis(1'000)));
        return counts;
    };
    // The outage has just begun: the store may soon be available again.
    CHECK(countsOf({ .refused = 5, .waiting = 5, .lasted = Millis(200), .useful = Millis(20'000) })[1] == 900);
    const std::array<int, 4> spread = countsOf({ .refused = 400, .waiting = 400, .lasted = Millis(4'000), .useful = Millis(20'000) });
    CHECK(spread[0] == 0);
    for (const std::size_t seconds : { 1U, 2U, 3U })
        CHECK(std::abs(spread.at(seconds) - 300) < 80);
    // Most callers have retried: the others drain within a second.
    CHECK(countsOf({ .refused = 400, .waiting = 80, .lasted = Millis(4'000), .useful = Millis(20'000) })[1] == 900);
    CHECK(countsOf({ .refused = 400, .waiting = 400, .lasted = Millis(4'000), .useful = Millis(2'100) })[3] == 0);
    CHECK(countsOf({ .refused = 400, .waiting = 400, .lasted = Millis(4'000), .useful = Millis(-100) })[1] == 900);
}

TEST_CASE("Refused submissions count as waiting until they are settled or no longer useful")
{
    RefusedSubmissions refusals;
    const MonotonicInstant useful = start + Millis(5'000);
    refusals.noteRefused("a", useful, start);
    refusals.noteRefused("b", useful, start + Millis(500));
    refusals.noteRefused("a", useful + Millis(9'000), start + Millis(1'000));
    const RefusalSituation expected { .refused = 2, .waiting = 2, .lasted = Millis(2'000), .useful = Millis(3'000) };
    CHECK(refusals.situationOf("a", start + Millis(2'000)) == expected);
    refusals.noteSettled("a");
    CHECK(refusals.situationOf("a", start + Millis(2'000)) == RefusalSituation {});
    CHECK(refusals.situationOf("b", start + Millis(2'000)).waiting == 1);
    // No caller is waiting any more: the next refusal begins a new outage.
    refusals.noteRefused("c", useful, start + Millis(20'000));
    CHECK(refusals.waiting() == 1);
    CHECK(refusals.situationOf("c", start + Millis(20'000)).refused == 1);
}

// Guards against pools that are powered off after an outage, since the owner saw no arrivals meanwhile.
TEST_CASE("A pool keeps its instances after an outage")
{
    const auto minInstancesAfterOutage = [](bool isEnabled) {
        SmallCluster cluster(21, 3, 6, 2, 1);
        Policies policies;
        policies.storeOutages.enabled = isEnabled;
        cluster.setPolicies(policies);
        for (std::size_t i = 0; i < cluster.entries(); ++i)
            cluster.kill(i);
        for (std::size_t i = 0; i < cluster.entries(); ++i)
            cluster.start(i);
        std::uint64_t number = 0;
        const auto minInstancesDuring = [&](Millis time, bool hasLoad) {
            std::size_t minInstances = cluster.workers.instances().size();
            for (Millis elapsed(0); elapsed < time; elapsed += Millis(50)) {
                if (hasLoad)
                    cluster.submit(++number % 3, "work", jobId(number), job({ step(3) }));
                cluster.clock.runFor(Millis(50));
                const auto on = std::count_if(cluster.workers.instances().begin(), cluster.workers.instances().end(), [](const auto& entry) { return entry.second.pool == "main"; });
                minInstances = std::min(minInstances, static_cast<std::size_t>(on));
            }
            return minInstances;
        };
        minInstancesDuring(Millis(8'000), true);
        cluster.store.faults = { .leasesPaused = true, .refusing = true };
        minInstancesDuring(Millis(4'000), false);
        cluster.store.faults = {};
        // Callers retry within 3 s.
        const std::size_t minInstances = minInstancesDuring(Millis(2'500), false);
        CHECK(cluster.checker.breaches().empty());
        return minInstances;
    };
    const std::size_t without = minInstancesAfterOutage(false);
    const std::size_t with = minInstancesAfterOutage(true);
    INFO("least instances in 2.5 s after the outage, without this part " << without << ", with it " << with);
    CHECK(with > without);
}
