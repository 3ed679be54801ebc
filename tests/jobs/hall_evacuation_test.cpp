/// Evacuation of data halls. Guards against ignored requests, with tasks that keep starting in data halls to
/// be emptied.

#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

const std::string evacuated = "hall-a";

/// Eight instances in the pool and four in the reserve, alternating between two data halls, with a long-running job and short jobs.
struct TwoHalls : model::JobCluster {
    explicit TwoHalls(std::uint64_t seed = 1, Millis bound = Millis(0))
        : model::JobCluster(seed, 3)
    {
        setEvacuationTime(bound);
        workers.addReserve("off");
        for (std::size_t i = 0; i < 12; ++i)
            workers.addInstance("m-" + std::to_string(i), i < 8 ? "main" : "off", "r-" + std::to_string(i / 4), { .milliCpu = 8'000, .memoryMb = 16'000 }, "a", i % 2 == 0 ? evacuated : "hall-b");
        configure(smallConfiguration());
        for (std::size_t i = 0; i < entries(); ++i)
            start(i);
        clock.runFor(Millis(1'000));
        submit(0, "work", longRunning, job({ longStep(3) }));
        runWithShortJobs(Millis(3'000));
    }

    /// Runs for `time` and submits a job every 100 ms.
    void runWithShortJobs(Millis time)
    {
        const MonotonicInstant until = clock.now() + time;
        while (clock.now() < until) {
            submit(shortJobs % entries(), "work", jobId(100 + shortJobs), job({ step(6) }));
            ++shortJobs;
            clock.runFor(Millis(100));
        }
    }

    /// \returns The number of attempts that run in a data hall.
    std::size_t runningIn(const std::string& hall)
    {
        std::size_t running = 0;
        for (const auto& [id, worker] : workers.workers())
            running += worker.alive && worker.entry.dataHall == hall ? worker.running.size() : 0;
        return running;
    }

    inline static const std::string longRunning = jobId(1);
    std::uint64_t shortJobs = 0;
};

} // namespace

TEST_CASE("Nothing starts in an evacuated data hall, what runs there moves, and the hall serves again afterwards")
{
    TwoHalls cluster;
    REQUIRE(cluster.runningIn(evacuated) > 0);
    cluster.evacuate(evacuated);
    cluster.runWithShortJobs(Millis(10'000));
    CHECK(cluster.runningIn(evacuated) == 0);
    CHECK(cluster.runningIn("hall-b") > 0);
    CHECK(cluster.checker.breaches().empty());
    cluster.evacuate(evacuated, false);
    cluster.evacuate("hall-b");
    cluster.runWithShortJobs(Millis(10'000));
    CHECK(cluster.runningIn(evacuated) > 0);
    CHECK(cluster.runningIn("hall-b") == 0);
    CHECK(cluster.checker.breaches().empty());
    CHECK(cluster.status(0, TwoHalls::longRunning) == JobStatus::Running);
}

TEST_CASE("An evacuation persists across a change of owner, also if requested during the change")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        TwoHalls cluster(seed);
        const std::size_t owner = *cluster.owner();
        if (seed % 2 == 0)
            cluster.kill(owner);
        cluster.evacuate(evacuated);
        cluster.runWithShortJobs(Millis(6'000));
        if (seed % 2 != 0)
            cluster.kill(owner);
        cluster.start(owner);
        cluster.runWithShortJobs(Millis(8'000));
        CHECK(cluster.runningIn(evacuated) == 0);
        CHECK(cluster.checker.breaches().empty());
    }
}

TEST_CASE("A pool gets no instances of an evacuated data hall")
{
    TwoHalls cluster;
    cluster.evacuate(evacuated);
    cluster.runWithShortJobs(Millis(10'000));
    for (const std::string id : { "m-8", "m-10" })
        CHECK(cluster.workers.instances().at(id).pool == "off");
}

/// Guards against starts based on an outdated set of data halls while the store answers the owner's other calls.
TEST_CASE("Nothing starts while the set of evacuated data halls is unconfirmed, and starts resume once it is confirmed")
{
    TwoHalls cluster(1, Millis(5'000));
    cluster.store.faults.refusedRanges = cluster.documents.evacuationPrefix();
    cluster.clock.runFor(Millis(500));
    cluster.evacuate(evacuated);
    cluster.runWithShortJobs(Millis(8'000));
    CHECK(cluster.checker.breaches().empty());
    const std::uint64_t starts = cluster.checker.starts();
    cluster.runWithShortJobs(Millis(1'000));
    CHECK(cluster.checker.starts() == starts);
    cluster.store.faults.refusedRanges.clear();
    cluster.runWithShortJobs(Millis(8'000));
    CHECK(cluster.checker.starts() > starts);
    CHECK(cluster.runningIn(evacuated) == 0);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against a deployment without evacuations that stalls when range reads are refused.
TEST_CASE("Without a bound on evacuations tasks start according to the last known set")
{
    TwoHalls cluster;
    cluster.store.faults.refusedRanges = cluster.documents.evacuationPrefix();
    cluster.clock.runFor(Millis(8'000));
    const std::uint64_t starts = cluster.checker.starts();
    cluster.runWithShortJobs(Millis(2'000));
    CHECK(cluster.checker.starts() > starts);
}

/// Guards against a bound that a single refused read exhausts.
TEST_CASE("Single refused reads of the evacuations delay no start")
{
    TwoHalls cluster(1, Millis(5'000));
    for (int i = 0; i < 4; ++i) {
        cluster.store.faults.refusedRanges = cluster.documents.evacuationPrefix();
        cluster.runWithShortJobs(Millis(2'500));
        cluster.store.faults.refusedRanges.clear();
        const std::uint64_t starts = cluster.checker.starts();
        cluster.runWithShortJobs(Millis(1'000));
        CHECK(cluster.checker.starts() >= starts + 40);
    }
}

/// Guards against instances that stay idle in the pools until a request is withdrawn.
TEST_CASE("Empty instances of an evacuated data hall are powered off and replaced, and the hall serves again afterwards")
{
    TwoHalls cluster;
    cluster.evacuate(evacuated);
    cluster.runWithShortJobs(Millis(12'000));
    for (const auto& [id, instance] : cluster.workers.instances()) {
        CAPTURE(id);
        CHECK((instance.dataHall != evacuated || instance.pool == "off"));
    }
    CHECK(cluster.workers.instances().at("m-9").pool == "main");
    cluster.evacuate(evacuated, false);
    cluster.evacuate("hall-b");
    cluster.runWithShortJobs(Millis(12'000));
    CHECK(cluster.runningIn(evacuated) > 0);
    CHECK(cluster.runningIn("hall-b") == 0);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against moves for a request that is withdrawn at once, and against a hall that stays closed.
TEST_CASE("A request that is withdrawn before the hall is empty moves no instance, and its data hall serves again")
{
    TwoHalls cluster;
    const auto poolsOf = [&] {
        std::size_t main = 0;
        for (const auto& [id, instance] : cluster.workers.instances())
            main += instance.dataHall == evacuated && instance.pool == "main" ? 1 : 0;
        return main;
    };
    const std::size_t before = poolsOf();
    cluster.evacuate(evacuated);
    cluster.runWithShortJobs(Millis(1'200));
    CHECK(poolsOf() == before);
    cluster.evacuate(evacuated, false);
    cluster.runWithShortJobs(Millis(1'000));
    cluster.evacuate("hall-b");
    cluster.runWithShortJobs(Millis(8'000));
    CHECK(cluster.runningIn(evacuated) > 0);
    CHECK(cluster.runningIn("hall-b") == 0);
    CHECK(cluster.status(0, TwoHalls::longRunning) == JobStatus::Running);
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("Two data halls are evacuated at once: nothing starts, budgets hold, and all resumes after one is withdrawn")
{
    TwoHalls cluster(1, Millis(5'000));
    cluster.evacuate(evacuated);
    cluster.evacuate("hall-b");
    cluster.runWithShortJobs(Millis(8'000));
    const std::uint64_t starts = cluster.checker.starts();
    cluster.runWithShortJobs(Millis(1'000));
    CHECK(cluster.checker.starts() == starts);
    cluster.evacuate("hall-b", false);
    cluster.runWithShortJobs(Millis(8'000));
    CHECK(cluster.checker.starts() > starts);
    CHECK(cluster.runningIn(evacuated) == 0);
    CHECK(cluster.status(0, TwoHalls::longRunning) == JobStatus::Running);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against an evacuation during a network partition: the hall's workers are not notified, and must get no starts after it heals.
TEST_CASE("A data hall that is evacuated while it is partitioned gets no starts when it is reachable again")
{
    TwoHalls cluster(1, Millis(5'000));
    const auto setPartitioned = [&](bool isPartitioned) {
        for (auto& [id, worker] : cluster.workers.workers())
            worker.faults.partitioned = isPartitioned && worker.entry.dataHall == evacuated;
    };
    setPartitioned(true);
    cluster.runWithShortJobs(Millis(1'000));
    cluster.evacuate(evacuated);
    cluster.runWithShortJobs(Millis(5'500));
    setPartitioned(false);
    cluster.runWithShortJobs(Millis(8'000));
    CHECK(cluster.runningIn(evacuated) == 0);
    CHECK(cluster.status(0, TwoHalls::longRunning) == JobStatus::Running);
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("An evacuation is in force in time while the store is slow")
{
    TwoHalls cluster(1, Millis(5'000));
    cluster.store.faults.answerTime = Millis(300);
    cluster.runWithShortJobs(Millis(1'000));
    cluster.evacuate(evacuated);
    cluster.runWithShortJobs(Millis(10'000));
    CHECK(cluster.checker.breaches().empty());
    CHECK(cluster.runningIn(evacuated) == 0);
}
