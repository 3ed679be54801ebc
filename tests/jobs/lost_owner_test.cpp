/// How soon a crashed owner is succeeded.

#include "lanemoor/jobs/owner/ownership_manager.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

/// Entry instances offer to relay the owner's calls, so that each has a link to the owner.
struct LinkedCluster : SmallCluster {
    LinkedCluster()
        : SmallCluster(1, 3, 4, 2, 1)
    {
    }
};

/// \returns Milliseconds until another entry instance than `previous` is the owner.
std::int64_t untilSucceeded(SmallCluster& cluster, std::size_t previous)
{
    const MonotonicInstant from = cluster.clock.now();
    REQUIRE(cluster.waitFor(Millis(5'000), [&] { return cluster.owner().has_value() && cluster.owner() != previous; }));
    return std::chrono::duration_cast<Millis>(cluster.clock.now() - from).count();
}

} // namespace

TEST_CASE("An owner whose process exits is succeeded at once: its links break, and its address refuses connections")
{
    LinkedCluster cluster;
    cluster.submit(0, "work", jobId(1), job({ step(4) }));
    cluster.clock.runFor(Millis(2'000));
    const std::size_t owner = cluster.owner().value();
    cluster.kill(owner);
    CHECK(untilSucceeded(cluster, owner) <= 300);
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("An unresponsive owner is only succeeded once its lease has expired")
{
    LinkedCluster cluster;
    cluster.clock.runFor(Millis(2'000));
    const std::size_t owner = cluster.owner().value();
    cluster.kill(owner, true);
    CHECK(untilSucceeded(cluster, owner) >= 500);
}

TEST_CASE("An owner whose links break keeps the ownership while it answers new ones")
{
    LinkedCluster cluster;
    cluster.clock.runFor(Millis(2'000));
    const std::size_t owner = cluster.owner().value();
    const std::uint64_t term = cluster.entry(owner).shards().front().term;
    for (int i = 0; i < 5; ++i) {
        cluster.peers.resetAll();
        cluster.clock.runFor(Millis(400));
    }
    CHECK(cluster.owner() == owner);
    CHECK(cluster.entry(owner).shards().front().term == term);
}

TEST_CASE("A process that finds its instance's previous process as the owner does not wait for its lease")
{
    SmallCluster cluster(1, 1);
    cluster.clock.runFor(Millis(2'000));
    REQUIRE(cluster.owner() == 0);
    cluster.kill(0, true);
    cluster.clock.runFor(Millis(100));
    cluster.start(0);
    CHECK(cluster.waitFor(Millis(400), [&] { return cluster.entry(0).shards().front().ownedHere; }));
}

TEST_CASE("A successor that has observed the workers does not wait for incarnations that ended before its term")
{
    LinkedCluster cluster;
    cluster.workers.runTimes = [](const Attempt&) { return Millis(400); };
    cluster.clock.runFor(Millis(2'000));
    cluster.submit(0, "work", jobId(1), job({ step(1), step(1, { 0 }) }));
    REQUIRE(cluster.waitFor(Millis(1'000), [&] { return cluster.checker.starts() == 1; }));
    const std::string busy = cluster.checker.workerOf(jobId(1), {});
    // The entry of the crashed worker remains for some seconds.
    for (const auto& [id, worker] : cluster.workers.workers()) {
        if (worker.alive && id != busy) {
            cluster.workers.crash(id, Millis(600'000));
            break;
        }
    }
    cluster.kill(cluster.owner().value());
    CHECK(cluster.waitFor(Millis(1'000), [&] { return cluster.checker.starts() == 2; }));
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("A holder is named after its instance and its start time, and is not confused with other instances")
{
    const Instant start { Millis(1'700) };
    CHECK(holderOf("front-a-1", start) == "front-a-1-1700");
    CHECK(holderOf("front-a-1", start) != holderOf("front-a", Instant { Millis(11'700) }));
}

TEST_CASE("A process that wrongly takes an owner for crashed revokes no second lease for a while")
{
    LinkedCluster cluster;
    cluster.clock.runFor(Millis(2'000));
    std::set<std::size_t> owners;
    for (int i = 0; i < 8; ++i) {
        const std::size_t owner = cluster.owner().value();
        owners.insert(owner);
        cluster.kill(owner);
        cluster.clock.runFor(Millis(500));
        cluster.start(owner);
        cluster.clock.runFor(Millis(1'500));
    }
    CHECK(cluster.owner().has_value());
    CHECK(cluster.checker.breaches().empty());
}
