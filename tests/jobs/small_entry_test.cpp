/// Entry instances on machines that are too small to claim a free ownership at once; they keep no replica of the jobs.
///
/// Guards against replication to all entry instances: with 588 of them each change of a job was read 588 times, which saturated the
/// store's link, and writes that accept a job took 300 to 870 ms instead of 13 ms.

#include "lanemoor/jobs/model/job_record.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr double smallMachineCores = 0.12;
constexpr double largeMachineCores = 1.0;

/// One large machine, and small ones as entries 1 to 3.
struct MixedCluster : model::JobCluster {
    explicit MixedCluster(std::uint64_t seed = 1)
        : model::JobCluster(seed, 4)
    {
        workers.addReserve("off");
        for (std::size_t i = 0; i < 6; ++i)
            workers.addInstance("m-" + std::to_string(i), i < 4 ? "main" : "off", "r", { .milliCpu = 8'000, .memoryMb = 16'000 });
        configure(smallConfiguration());
        for (std::size_t i = 0; i < entries(); ++i) {
            setCores(i, i == 0 ? largeMachineCores : smallMachineCores);
            start(i);
        }
        clock.runFor(Millis(2'000));
    }
};

} // namespace

TEST_CASE("Keys that only owners read are outside the replicated prefix")
{
    for (const std::string& key : { std::string(actionsKey), std::string(queueCountsKey), waveKey(1) })
        CHECK(key.compare(0, jobServicePrefix.size(), jobServicePrefix) != 0);
}

TEST_CASE("A small entry instance accepts, shows and cancels jobs without a replica")
{
    MixedCluster cluster;
    REQUIRE(cluster.owner() == 0U);
    const std::string quick = jobId(1);
    const std::string cancelled = jobId(2);
    cluster.submit(1, "work", quick, job({ step(2) }));
    cluster.submit(2, "work", cancelled, job({ longStep(2) }));
    cluster.clock.runFor(Millis(3'000));
    for (std::size_t i = 0; i < cluster.entries(); ++i) {
        CAPTURE(i);
        CHECK(cluster.status(i, quick) == JobStatus::Succeeded);
        CHECK(cluster.status(i, cancelled) == JobStatus::Running);
    }
    cluster.cancel(3, cancelled);
    cluster.clock.runFor(Millis(2'000));
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        CHECK(cluster.status(i, cancelled) == JobStatus::Cancelled);
    CHECK(cluster.entry(3).jobs(std::nullopt, 10).size() <= 2);
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("A small entry instance reads only jobs that it is asked for")
{
    MixedCluster cluster;
    for (std::uint64_t i = 1; i <= 20; ++i)
        cluster.submit(0, "work", jobId(i), job({ step(1) }));
    cluster.clock.runFor(Millis(3'000));
    CHECK(cluster.entry(0).jobs(std::nullopt, 100).size() == 20);
    CHECK(cluster.entry(1).jobs(std::nullopt, 100).empty());
}

TEST_CASE("A small entry instance shows the owner's counts of waiting jobs")
{
    MixedCluster cluster;
    StepSpec tooLarge = step(1);
    tooLarge.needs.milliCpu = 9'000;
    for (std::uint64_t i = 1; i <= 5; ++i)
        cluster.submit(i % cluster.entries(), "work", jobId(i), job({ tooLarge }));
    cluster.clock.runFor(Millis(3'000));
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        CHECK(cluster.pending(i, "work") == 5U);
    // Without an owner the last count exceeds its maximum age.
    cluster.kill(0);
    for (std::size_t i = 1; i < cluster.entries(); ++i)
        cluster.cutFromStore(i, true);
    cluster.clock.runFor(Millis(2'500));
    CHECK_FALSE(cluster.pending(1, "work"));
}

/// Guards against counts that are missing for seconds while nothing changes: each was due at a moment when the owner's replica was
/// slightly too old.
TEST_CASE("A small entry instance has a count at all times while the store is idle")
{
    MixedCluster cluster;
    cluster.clock.runFor(Millis(5'000));
    for (int i = 0; i < 200; ++i) {
        cluster.clock.runFor(Millis(130));
        CHECK(cluster.pending(1, "work") == 0U);
    }
}

TEST_CASE("Small entry instances take ownership when no large one is left, and return it")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        MixedCluster cluster(seed);
        cluster.submit(1, "work", jobId(1), job({ longStep(2) }));
        cluster.clock.runFor(Millis(2'000));
        cluster.kill(0);
        for (std::uint64_t i = 2; i <= 20; ++i) {
            cluster.submit(1 + i % 3, "work", jobId(i), job({ step(2) }));
            cluster.clock.runFor(Millis(200));
        }
        cluster.clock.runFor(Millis(6'000));
        REQUIRE(cluster.owner());
        const std::size_t small = *cluster.owner();
        CHECK(small != 0);
        for (std::uint64_t i = 2; i <= 20; ++i)
            CHECK(cluster.status(1 + i % 3, jobId(i)) == JobStatus::Succeeded);
        cluster.start(0);
        cluster.clock.runFor(Millis(2'000));
        cluster.kill(small);
        cluster.submit(1 + small % 3, "work", jobId(30), job({ step(2) }));
        cluster.clock.runFor(Millis(6'000));
        CHECK(cluster.owner() == 0U);
        CHECK(cluster.status(1 + small % 3, jobId(30)) == JobStatus::Succeeded);
        CHECK(cluster.status(1 + small % 3, jobId(1)) == JobStatus::Running);
        CHECK(cluster.checker.breaches().empty());
    }
}

TEST_CASE("A wave requested before a small entry instance takes ownership is carried out")
{
    MixedCluster cluster;
    cluster.requestWave({ .number = 1, .instances = { "m-0", "m-1", "m-2" }, .duration = Millis(20'000), .maxConcurrent = 1 });
    cluster.kill(0);
    cluster.clock.runFor(Millis(25'000));
    const StoreItem* status = cluster.store.find(cluster.documents.waveStatusKey(1));
    REQUIRE(status);
    CHECK(status->value == "finished");
    CHECK(cluster.checker.breaches().empty());
}

// Guards against rejections until the next read of the configuration after a single lost answer.
TEST_CASE("A small entry instance accepts jobs again as soon as the store has answered")
{
    MixedCluster cluster;
    cluster.store.faults.lostAnswers = 1;
    cluster.submit(1, "work", jobId(1), job({ step(1) }));
    cluster.clock.runFor(Millis(100));
    cluster.store.faults.lostAnswers = 0;
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.accepted().contains(jobId(1)); }));
    cluster.submit(1, "work", jobId(2), job({ step(1) }));
    CHECK(cluster.waitFor(Millis(50), [&] { return cluster.accepted().contains(jobId(2)); }));
}
