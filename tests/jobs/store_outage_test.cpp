/// Store outages during each step of a job and of the fleet: each accepted job runs once and ends, and
/// no guarantee is violated, regardless of the store's handling of the pending writes.

#include "support.h"

#include <catch2/catch.hpp>
#include <string>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;
using namespace lanemoor::model;

namespace {

struct Outage {
    std::string name;
    StoreFaults faults;
};

const std::vector<Outage>& outages()
{
    static const std::vector<Outage> all {
        { "refusing", { .leasesPaused = true, .refusing = true } },
        { "silent", { .leasesPaused = true, .unresponsive = true } },
        { "silent, leases end", { .unresponsive = true } },
        { "answers lost", { .leasesPaused = true, .lostAnswers = 1 } },
        { "a third of the answers lost, a third of the writes late", { .lostAnswers = 0.33, .lateWrites = 0.33 } },
    };
    return all;
}

constexpr Millis outageTime { 4'000 };
constexpr Millis settleTime { 20'000 }; // Calls, leases and late writes of an outage have ended by then.

/// A cluster that has run a job, so that the owner has sessions with its workers.
struct OutageCluster : SmallCluster {
    explicit OutageCluster(std::uint64_t seed)
        : SmallCluster(seed)
    {
        submit(0, "work", jobId(1), job({ step(2) }));
        REQUIRE(waitFor(Millis(5'000), [&] { return shows(jobId(1), JobStatus::Succeeded); }));
    }

    void beginOutage(const StoreFaults& faults)
    {
        store.faults = faults;
        checker.noteFaults(clock.now() + outageTime + settleTime);
    }

    /// Ends the outage, and checks that every accepted job ends as required.
    void endOutage()
    {
        store.faults = {};
        CHECK(waitFor(settleTime, [&] {
            return std::all_of(accepted().begin(), accepted().end(), [&](const std::string& id) { return checker.hasSucceeded(id) && shows(id, JobStatus::Succeeded, anyUp()); });
        }));
        clock.runFor(Millis(8'000));
        for (const Breach& breach : checker.breaches())
            FAIL_CHECK(breach.rule << ' ' << breach.detail);
    }

    [[nodiscard]] std::size_t anyUp() const { return isUp(0) ? 0 : 1; }
};

} // namespace

TEST_CASE("An outage during a submission keeps the accepted jobs")
{
    for (const Outage& outage : outages()) {
        DYNAMIC_SECTION(outage.name)
        {
            OutageCluster cluster(11);
            cluster.submit(1, "work", jobId(2), job({ step(2) }));
            cluster.clock.runFor(Millis(1));
            cluster.beginOutage(outage.faults);
            cluster.submit(2, "work", jobId(3), job({ step(2) }));
            cluster.clock.runFor(outageTime);
            cluster.endOutage();
            CHECK(cluster.waitFor(settleTime, [&] { return cluster.accepted().size() == 3; }));
        }
    }
}

TEST_CASE("An outage during a start or an end runs each task once")
{
    for (const Outage& outage : outages()) {
        for (const int begin : { 8, 30, 520 }) {
            DYNAMIC_SECTION(outage.name << " after " << begin << " ms")
            {
                OutageCluster cluster(12);
                cluster.submit(1, "work", jobId(2), job({ step(6), step(6, { 0 }) }));
                cluster.clock.runFor(Millis(begin));
                cluster.beginOutage(outage.faults);
                cluster.clock.runFor(outageTime);
                cluster.endOutage();
            }
        }
    }
}

TEST_CASE("An outage during a move and a handover violates no guarantee")
{
    for (const Outage& outage : outages()) {
        DYNAMIC_SECTION(outage.name)
        {
            OutageCluster cluster(13);
            // More jobs than fit into the pool, so that instances come from the reserve.
            for (std::uint64_t i = 2; i < 12; ++i)
                cluster.submit(i % 3, "work", jobId(i), job({ step(8) }));
            cluster.clock.runFor(Millis(150));
            cluster.beginOutage(outage.faults);
            cluster.clock.runFor(outageTime / 2);
            if (const std::optional<std::size_t> owner = cluster.owner())
                cluster.kill(*owner);
            cluster.clock.runFor(outageTime / 2);
            cluster.endOutage();
        }
    }
}

TEST_CASE("Two outages 2 s apart violate no guarantee")
{
    for (const Outage& outage : outages()) {
        DYNAMIC_SECTION(outage.name)
        {
            OutageCluster cluster(14);
            for (std::uint64_t i = 2; i < 8; ++i)
                cluster.submit(i % 3, "work", jobId(i), job({ step(4), step(4, { 0 }) }));
            cluster.clock.runFor(Millis(100));
            cluster.beginOutage(outage.faults);
            cluster.clock.runFor(outageTime);
            cluster.store.faults = {};
            cluster.submit(0, "work", jobId(8), job({ step(4) }));
            cluster.clock.runFor(Millis(2'000));
            cluster.beginOutage(outage.faults);
            cluster.clock.runFor(outageTime);
            cluster.endOutage();
        }
    }
}

TEST_CASE("An outage that ends for some entry instances first violates no guarantee")
{
    OutageCluster cluster(15);
    const std::size_t owner = cluster.owner().value();
    for (std::uint64_t i = 2; i < 8; ++i)
        cluster.submit(i % 3, "work", jobId(i), job({ step(4), step(4, { 0 }) }));
    cluster.clock.runFor(Millis(100));
    cluster.beginOutage({ .unresponsive = true });
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        cluster.cutFromStore(i, true);
    cluster.clock.runFor(outageTime / 2);
    cluster.store.faults = {};
    SECTION("for the owner last")
    {
        for (std::size_t i = 0; i < cluster.entries(); ++i)
            cluster.cutFromStore(i, i == owner);
    }
    SECTION("for the owner first")
    {
        cluster.cutFromStore(owner, false);
    }
    cluster.clock.runFor(outageTime / 2);
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        cluster.cutFromStore(i, false);
    cluster.endOutage();
}

// Guards against watches and renewals that wait for their own timers: a replica lagged up to 2 s behind a store that was available again.
TEST_CASE("When an unresponsive store is back, the owner renews and its replica is fresh within 300 ms")
{
    SmallCluster cluster(3);
    const std::size_t owner = cluster.owner().value();
    cluster.store.faults = { .leasesPaused = true, .unresponsive = true };
    cluster.clock.runFor(Millis(4'300));
    CHECK(!cluster.entry(owner).shards().front().ownedHere);
    cluster.store.faults = {};
    cluster.clock.runFor(Millis(300));
    CHECK(cluster.entry(owner).shards().front().ownedHere);
    CHECK(cluster.entry(owner).shards().front().replicaAgeMillis <= 300);
}

// Guards against hedging calls that are answered in time: all entry instances share the store's rate limits.
TEST_CASE("Without faults the store gets as many calls as with outage handling disabled")
{
    std::vector<std::uint64_t> calls;
    for (const bool isEnabled : { false, true }) {
        SmallCluster cluster(16);
        Policies policies;
        policies.storeOutages.enabled = isEnabled;
        cluster.setPolicies(policies);
        for (std::size_t i = 0; i < cluster.entries(); ++i)
            cluster.kill(i);
        for (std::size_t i = 0; i < cluster.entries(); ++i)
            cluster.start(i);
        const std::uint64_t before = cluster.store.calls();
        for (std::uint64_t i = 1; i < 40; ++i) {
            cluster.submit(i % 3, "work", jobId(i), job({ step(3), step(2, { 0 }) }));
            cluster.clock.runFor(Millis(200));
        }
        cluster.clock.runFor(Millis(10'000));
        CHECK(cluster.accepted().size() == 39);
        calls.push_back(cluster.store.calls() - before);
    }
    CHECK(calls[0] == calls[1]);
}

// Covers the metrics that lead from a refused id to the outage: the state of the store and the unsaved changes.
TEST_CASE("Metrics show the state of the store and the unsaved changes")
{
    SmallCluster cluster(17);
    const std::size_t owner = cluster.owner().value();
    const auto shows = [&](const std::string& line) { return cluster.entry(owner).metrics().find(line + '\n') != std::string::npos; };
    CHECK(shows("lanemoor_store_condition{state=\"writing\"} 1"));
    CHECK(shows("lanemoor_unsaved_changes 0"));
    cluster.submit(owner, "work", jobId(1), job({ step(2) }));
    cluster.clock.runFor(Millis(300));
    cluster.store.faults = { .leasesPaused = true, .refusing = true };
    cluster.clock.runFor(Millis(1'500));
    CHECK(shows("lanemoor_store_condition{state=\"refused\"} 1"));
    CHECK(shows("lanemoor_store_condition{state=\"writing\"} 0"));
    CHECK(shows("lanemoor_unsaved_changes 1"));
    cluster.store.faults = { .leasesPaused = true, .lostAnswers = 1 };
    cluster.clock.runFor(Millis(1'500));
    CHECK(shows("lanemoor_store_condition{state=\"reading-only\"} 1"));
    cluster.store.faults = {};
    cluster.clock.runFor(Millis(1'500));
    CHECK(shows("lanemoor_store_condition{state=\"writing\"} 1"));
    CHECK(shows("lanemoor_unsaved_changes 0"));
}

// Guards against writes that wait for their time-out of 1 s while the responses to all writes are lost.
TEST_CASE("A job is accepted within 400 ms though the answers to all writes are lost")
{
    SmallCluster cluster(18);
    cluster.store.faults = { .leasesPaused = true, .lostAnswers = 1 };
    cluster.submit(0, "work", jobId(1), job({ step(2) }));
    CHECK(cluster.waitFor(Millis(1'700), [&] { return cluster.accepted().contains(jobId(1)); }));
    // The response times are known by now: the first calls may wait 800 ms.
    cluster.store.faults = {};
    cluster.submit(0, "work", jobId(2), job({ step(2) }));
    cluster.clock.runFor(Millis(1'000));
    cluster.store.faults = { .leasesPaused = true, .lostAnswers = 1 };
    cluster.submit(0, "work", jobId(3), job({ step(2) }));
    CHECK(cluster.waitFor(Millis(400), [&] { return cluster.accepted().contains(jobId(3)); }));
    CHECK(cluster.entry(0).metrics().find("lanemoor_store_hedges_total{outcome=\"confirmed\"} 0") == std::string::npos);
}
