/// Evacuation of a data hall.
///
/// Seen: nothing read the operators' requests, so that tasks went on starting in data halls that were to be empty.

#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

const std::string evacuated = "hall-a";

/// Eight instances in the pool and four beside it, of two data halls in turn, with a long-running job and quick ones.
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
        playWithQuickJobs(Millis(3'000));
    }

    /// Plays on and submits a job each 100 ms.
    void playWithQuickJobs(Millis time)
    {
        const MonotonicInstant until = clock.now() + time;
        while (clock.now() < until) {
            submit(quick % entries(), "work", jobId(100 + quick), job({ step(6) }));
            ++quick;
            clock.runFor(Millis(100));
        }
    }

    /// \returns Attempts that run in a data hall.
    std::size_t runningIn(const std::string& hall)
    {
        std::size_t running = 0;
        for (const auto& [id, worker] : workers.workers())
            running += worker.alive && worker.entry.dataHall == hall ? worker.running.size() : 0;
        return running;
    }

    inline static const std::string longRunning = jobId(1);
    std::uint64_t quick = 0;
};

} // namespace

TEST_CASE("Nothing starts in an evacuated data hall, what runs there moves, and the hall serves again afterwards")
{
    TwoHalls cluster;
    REQUIRE(cluster.runningIn(evacuated) > 0);
    cluster.evacuate(evacuated);
    cluster.playWithQuickJobs(Millis(10'000));
    CHECK(cluster.runningIn(evacuated) == 0);
    CHECK(cluster.runningIn("hall-b") > 0);
    CHECK(cluster.witness.breaches().empty());
    cluster.evacuate(evacuated, false);
    cluster.evacuate("hall-b");
    cluster.playWithQuickJobs(Millis(10'000));
    CHECK(cluster.runningIn(evacuated) > 0);
    CHECK(cluster.runningIn("hall-b") == 0);
    CHECK(cluster.witness.breaches().empty());
    CHECK(cluster.status(0, TwoHalls::longRunning) == JobStatus::Running);
}

TEST_CASE("An evacuation holds over a change of owner, also one during which it is requested")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        TwoHalls cluster(seed);
        const std::size_t owner = *cluster.owner();
        if (seed % 2 == 0)
            cluster.kill(owner);
        cluster.evacuate(evacuated);
        cluster.playWithQuickJobs(Millis(6'000));
        if (seed % 2 != 0)
            cluster.kill(owner);
        cluster.start(owner);
        cluster.playWithQuickJobs(Millis(8'000));
        CHECK(cluster.runningIn(evacuated) == 0);
        CHECK(cluster.witness.breaches().empty());
    }
}

TEST_CASE("A pool gets no instances of an evacuated data hall")
{
    TwoHalls cluster;
    cluster.evacuate(evacuated);
    cluster.playWithQuickJobs(Millis(10'000));
    for (const std::string id : { "m-8", "m-10" })
        CHECK(cluster.workers.instances().at(id).pool == "off");
}

/// Guards against starts by an old set of data halls while the store answers the owner's other calls.
TEST_CASE("Nothing starts while the store confirms no set of evacuated data halls, and starts go on when it does")
{
    TwoHalls cluster(1, Millis(5'000));
    cluster.store.trouble.refusedRanges = cluster.documents.evacuationPrefix();
    cluster.clock.runFor(Millis(500));
    cluster.evacuate(evacuated);
    cluster.playWithQuickJobs(Millis(8'000));
    CHECK(cluster.witness.breaches().empty());
    const std::uint64_t starts = cluster.witness.starts();
    cluster.playWithQuickJobs(Millis(1'000));
    CHECK(cluster.witness.starts() == starts);
    cluster.store.trouble.refusedRanges.clear();
    cluster.playWithQuickJobs(Millis(8'000));
    CHECK(cluster.witness.starts() > starts);
    CHECK(cluster.runningIn(evacuated) == 0);
    CHECK(cluster.witness.breaches().empty());
}

/// Guards against a deployment without evacuations that stands still when ranges are refused.
TEST_CASE("Without a bound on evacuations tasks start by the last set that is known")
{
    TwoHalls cluster;
    cluster.store.trouble.refusedRanges = cluster.documents.evacuationPrefix();
    cluster.clock.runFor(Millis(8'000));
    const std::uint64_t starts = cluster.witness.starts();
    cluster.playWithQuickJobs(Millis(2'000));
    CHECK(cluster.witness.starts() > starts);
}

/// Guards against a bound that refused answers of one read use up.
TEST_CASE("Single refused reads of the evacuations delay no start")
{
    TwoHalls cluster(1, Millis(5'000));
    for (int i = 0; i < 4; ++i) {
        cluster.store.trouble.refusedRanges = cluster.documents.evacuationPrefix();
        cluster.playWithQuickJobs(Millis(2'500));
        cluster.store.trouble.refusedRanges.clear();
        const std::uint64_t starts = cluster.witness.starts();
        cluster.playWithQuickJobs(Millis(1'000));
        CHECK(cluster.witness.starts() >= starts + 40);
    }
}
