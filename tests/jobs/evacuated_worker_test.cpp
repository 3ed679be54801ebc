/// A worker is closed to new tasks only while a drain, a call or a maintenance wave needs it empty.
///
/// Guards against workers that stay closed after the drain that closed them was dropped: tasks waited until the end of the day
/// while a pool's workers were empty (docs/incidents/workers-closed-after-a-restart.md).

#include "support.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr std::size_t instanceCount = 12;
constexpr Millis settleTime { 30'000 }; ///< Longer than all tasks, drains, moves and timeouts of these tests together.

/// Pools `main`, which has all instances at first, and `side`; the reserve is empty.
struct TwoPoolCluster : SmallCluster {
    explicit TwoPoolCluster(std::uint64_t seed = 1)
        : SmallCluster(seed, 1, instanceCount, 0)
    {
        workers.runTimes = [](const Attempt&) { return Millis(3'000); };
        configure(twoPools());
        clock.runFor(Millis(2'000));
    }

    /// \returns The workers that the owner keeps empty.
    [[nodiscard]] double evacuating()
    {
        double total = 0;
        std::istringstream lines(entry(*owner()).metrics());
        for (std::string line; std::getline(lines, line);) {
            if (line.rfind("lanemoor_workers_evacuating{", 0) == 0)
                total += std::stod(line.substr(line.rfind(' ')));
        }
        return total;
    }

    /// \returns The workers that answer and get no new tasks.
    [[nodiscard]] std::size_t closed()
    {
        std::size_t count = 0;
        for (const WorkerReport& worker : entry(*owner()).workers().workers)
            count += !worker.open && !worker.unresponsive ? 1 : 0;
        return count;
    }

    /// Fills `main`, so that `side` can only get instances that are drained first.
    void drainForSide()
    {
        for (std::uint64_t i = 1; i <= instanceCount; ++i)
            submit(0, "work", jobId(i), job({ step(8) }));
        clock.runFor(Millis(300));
        submit(0, "other", jobId(sideJob), job({ step(64) }));
        REQUIRE(waitFor(Millis(3'000), [this] { return evacuating() > 0; }));
    }

    void restartAll(Millis returnsAfter)
    {
        for (std::size_t i = 1; i <= instanceCount; ++i)
            workers.restart("i-" + std::to_string(i), returnsAfter);
    }

    void checkNoneStaysClosed()
    {
        clock.runFor(settleTime);
        CHECK(evacuating() == 0);
        CHECK(closed() == 0);
        CHECK(checker.breaches().empty());
    }

    static constexpr std::uint64_t sideJob = 100;
};

} // namespace

TEST_CASE("A worker that restarts under its id while its instance is drained gets tasks again")
{
    TwoPoolCluster cluster;
    cluster.drainForSide();
    cluster.restartAll(Millis(600));
    cluster.checkNoneStaysClosed();
    CHECK(cluster.shows(jobId(TwoPoolCluster::sideJob), JobStatus::Succeeded));
}

TEST_CASE("A worker that restarts under its id while a call to move its instance has no response gets tasks again")
{
    TwoPoolCluster cluster;
    cluster.workers.fleetFaults.dropped = 1;
    cluster.submit(0, "other", jobId(TwoPoolCluster::sideJob), job({ step(64) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.evacuating() > 0; }));
    cluster.clock.runFor(Millis(2'000));
    cluster.restartAll(Millis(4'000));
    cluster.clock.runFor(Millis(5'000));
    cluster.workers.fleetFaults.dropped = 0;
    cluster.checkNoneStaysClosed();
    CHECK(cluster.shows(jobId(TwoPoolCluster::sideJob), JobStatus::Succeeded));
}

TEST_CASE("A worker whose instance leaves a maintenance wave unserved gets tasks again")
{
    // The list lacks the instance for a while, so that the wave goes on without it.
    TwoPoolCluster cluster;
    cluster.submit(0, "work", jobId(1), job({ longStep(3) }));
    cluster.clock.runFor(Millis(2'000));
    std::vector<std::string> instances;
    for (const auto& [id, instance] : cluster.workers.instances())
        instances.push_back(id);
    for (std::uint64_t i = 2; i <= instanceCount; ++i)
        cluster.submit(0, "work", jobId(i), job({ step(8) }));
    cluster.clock.runFor(Millis(200));
    cluster.requestWave({ .number = 1, .instances = instances, .duration = Millis(60'000), .maxConcurrent = 2 });
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.evacuating() > 0; }));
    for (const std::string& instance : instances)
        cluster.workers.hidden.insert(instance);
    cluster.clock.runFor(Millis(10'000));
    cluster.workers.hidden.clear();
    cluster.checkNoneStaysClosed();
}

TEST_CASE("No worker stays closed to tasks in random runs where load alternates between pools while workers restart")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        TwoPoolCluster cluster(seed);
        const auto pick = [&](std::uint64_t max) { return std::uniform_int_distribution<std::uint64_t>(0, max)(cluster.random); };
        cluster.requestWave({ .number = 1, .instances = { "m-0", "m-3", "m-6" }, .duration = Millis(20'000), .maxConcurrent = 2 });
        for (std::uint64_t round = 1; round <= 20; ++round) {
            const bool isSideBusy = round / 4 % 2 == 1;
            for (std::uint64_t number = 0; number < 3; ++number)
                cluster.submit(0, isSideBusy ? "other" : "work", jobId(round * 10 + number), job({ step(24) }));
            cluster.clock.runFor(Millis(500 + pick(1'000)));
            const std::string instance = "m-" + std::to_string(pick(instanceCount - 1));
            if (model::WorkerModel* worker = cluster.workers.workerOn(instance))
                cluster.workers.restart(std::string(worker->entry.id), Millis(100 + pick(3'000)));
            cluster.workers.fleetFaults.dropped = pick(3) == 0 ? 1 : 0;
            if (pick(3) == 0)
                cluster.workers.hidden.insert(instance);
            else
                cluster.workers.hidden.clear();
        }
        cluster.workers.fleetFaults = {};
        cluster.workers.hidden.clear();
        cluster.clock.runFor(settleTime);
        cluster.checkNoneStaysClosed();
    }
}

TEST_CASE("A worker that restarts twice under its id during a wave gets tasks again")
{
    TwoPoolCluster cluster;
    std::vector<std::string> instances;
    for (const auto& [id, instance] : cluster.workers.instances())
        instances.push_back(id);
    for (std::uint64_t i = 1; i <= instanceCount; ++i)
        cluster.submit(0, "work", jobId(i), job({ step(8) }));
    cluster.clock.runFor(Millis(200));
    cluster.requestWave({ .number = 1, .instances = instances, .duration = Millis(60'000), .maxConcurrent = 2 });
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.evacuating() > 0; }));
    for (const Millis down : { Millis(600), Millis(4'000) }) {
        cluster.restartAll(down);
        cluster.clock.runFor(down + Millis(1'500));
    }
    cluster.checkNoneStaysClosed();
}

TEST_CASE("A worker that restarts while the owner changes and a move has no response gets tasks again")
{
    TwoPoolCluster cluster;
    cluster.workers.fleetFaults.dropped = 1;
    cluster.submit(0, "other", jobId(TwoPoolCluster::sideJob), job({ step(64) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.evacuating() > 0; }));
    const std::size_t owner = *cluster.owner();
    cluster.kill(owner);
    cluster.restartAll(Millis(600));
    cluster.clock.runFor(Millis(500));
    cluster.start(owner);
    cluster.clock.runFor(Millis(3'000));
    cluster.workers.fleetFaults.dropped = 0;
    cluster.checkNoneStaysClosed();
}

TEST_CASE("A worker stays closed to tasks while a call to maintain its instance has no response")
{
    // Guards against starts on a worker that the call has taken down: the list shows the maintenance before the call times out.
    TwoPoolCluster cluster;
    std::vector<std::string> instances;
    for (const auto& [id, instance] : cluster.workers.instances())
        instances.push_back(id);
    for (std::uint64_t i = 1; i <= 10 * instanceCount; ++i)
        cluster.submit(0, "work", jobId(i), job({ step(8) }));
    cluster.clock.runFor(Millis(200));
    cluster.workers.fleetFaults.lostAnswers = 1;
    cluster.requestWave({ .number = 1, .instances = instances, .duration = Millis(60'000), .maxConcurrent = 2 });
    // Entries are removed after some heartbeats of silence.
    cluster.workers.onGone = [&cluster](const std::string& id) {
        cluster.clock.after(Millis(4'500), [&cluster, id] { cluster.store.remove(cluster.documents.workerPrefix() + id); });
    };
    std::size_t openThoughDown = 0;
    for (int i = 0; i < 2'000; ++i) {
        cluster.clock.runFor(Millis(10));
        for (const WorkerReport& worker : cluster.entry(*cluster.owner()).workers().workers) {
            const model::WorkerModel* model = cluster.workers.find(worker.worker);
            openThoughDown += worker.open && model && !model->alive ? 1 : 0;
        }
    }
    CHECK(openThoughDown == 0);
}
