/// Workers whose capacity shrinks and grows at run time.

#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr Resources whole { .milliCpu = 8'000, .memoryMb = 16'000 };
constexpr Resources quarter { .milliCpu = 2'000, .memoryMb = 4'000 };

/// A cluster of workers that accept starts beyond their capacity.
struct ResizedCluster : SmallCluster {
    explicit ResizedCluster(std::uint64_t seed = 1, std::size_t instances = 4)
        : SmallCluster(seed, 3, instances, 0)
    {
        workers.enforcesCapacity = false;
        workers.runTimes = [](const Attempt&) { return Millis(1'500); };
    }

    void resizeAll(const Resources& capacity)
    {
        for (auto& [id, worker] : workers.workers()) {
            if (worker.alive)
                workers.resize(id, capacity);
        }
    }

    /// Runs for `time` and submits more jobs than fit.
    void runWithJobs(Millis time)
    {
        const MonotonicInstant until = clock.now() + time;
        while (clock.now() < until) {
            submit(jobs % entries(), "work", jobId(1 + jobs), job({ step(8) }));
            ++jobs;
            clock.runFor(Millis(300));
        }
    }

    std::size_t running()
    {
        std::size_t count = 0;
        for (const auto& [id, worker] : workers.workers())
            count += worker.running.size();
        return count;
    }

    std::uint64_t jobs = 0;
};

} // namespace

TEST_CASE("A worker whose capacity shrinks is not overcommitted")
{
    ResizedCluster cluster;
    cluster.runWithJobs(Millis(4'000));
    CHECK(cluster.running() == 32);
    cluster.resizeAll(quarter);
    cluster.runWithJobs(Millis(12'000));
    CHECK(cluster.checker.breaches().empty());
    CHECK(cluster.running() <= 8);
}

TEST_CASE("A worker whose capacity grows again is used at once")
{
    ResizedCluster cluster;
    cluster.resizeAll(quarter);
    cluster.runWithJobs(Millis(8'000));
    CHECK(cluster.running() == 8);
    cluster.resizeAll(whole);
    cluster.runWithJobs(Millis(1'000));
    CHECK(cluster.running() == 32);
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("Reduced capacity is respected across a change of owner")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        ResizedCluster cluster(seed);
        cluster.runWithJobs(Millis(4'000));
        cluster.resizeAll(quarter);
        const std::size_t owner = *cluster.owner();
        cluster.clock.runFor(Millis(200));
        cluster.kill(owner);
        cluster.runWithJobs(Millis(8'000));
        cluster.start(owner);
        cluster.runWithJobs(Millis(6'000));
        CHECK(cluster.checker.breaches().empty());
        CHECK(cluster.running() <= 8);
        CHECK(cluster.running() >= 6);
    }
}

TEST_CASE("A pool whose workers shrink gets more workers")
{
    SmallCluster cluster(1, 3, 2, 6);
    cluster.workers.enforcesCapacity = false;
    cluster.workers.runTimes = [](const Attempt&) { return Millis(900); };
    std::uint64_t number = 0;
    const auto submitJobs = [&](int rounds) {
        for (int i = 0; i < rounds; ++i) {
            cluster.submit(0, "work", jobId(++number), job({ step(4) }));
            cluster.clock.runFor(Millis(400));
        }
    };
    const auto inPool = [&] {
        return std::count_if(cluster.workers.instances().begin(), cluster.workers.instances().end(), [](const auto& instance) { return instance.second.pool == "main"; });
    };
    submitJobs(20);
    const auto before = inPool();
    for (auto& [id, worker] : cluster.workers.workers()) {
        if (worker.alive)
            cluster.workers.resize(id, quarter);
    }
    submitJobs(30);
    CHECK(inPool() > before);
    cluster.clock.runFor(Millis(10'000));
    for (std::uint64_t i = 1; i <= number; ++i) {
        CAPTURE(i);
        CHECK(cluster.shows(jobId(i), JobStatus::Succeeded));
    }
    CHECK(cluster.checker.breaches().empty());
}
