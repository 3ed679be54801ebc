/// The response to a maintenance request does not identify the request that was carried out: this one, or an earlier one without a response.

#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

struct MaintainedCluster : SmallCluster {
    explicit MaintainedCluster(std::size_t entries, std::size_t instances)
        : SmallCluster(1, entries, instances, 0)
    {
        workers.runTimes = [](const Attempt&) { return Millis(200); };
    }

    void requestMaintenance()
    {
        requestWave({ .number = 1, .instances = { "m-0" }, .duration = Millis(30'000), .maxConcurrent = 1 });
        REQUIRE(waitFor(Millis(10'000), [this] { return workers.wasMaintained("m-0", 1); }));
    }

    bool awaitWave()
    {
        return waitFor(Millis(30'000), [this] {
            const StoreItem* status = store.find("status/wave/1");
            return status && status->value == "finished";
        });
    }

    /// \returns Whether a job that needs the rack starts within the time in which a task may wait beside idle workers.
    bool runsOnRack(const std::string& rack)
    {
        submit(owner().value(), "work", jobId(1), job({ labelled(step(1), rack) }));
        return waitFor(Millis(3'000), [&] { return !checker.workerOf(jobId(1), {}).empty(); });
    }
};

} // namespace

/// Guards against a living worker that is written off: a repeated maintenance request is answered as done, for the worker's predecessor.
TEST_CASE("A worker whose predecessor was maintained without a response gets tasks")
{
    for (const Millis maintenanceTime : { Millis(300), Millis(1'000), Millis(2'000) }) {
        CAPTURE(maintenanceTime.count());
        MaintainedCluster cluster(1, 1);
        cluster.workers.maintenanceTime = maintenanceTime;
        cluster.workers.fleetFaults.lostAnswers = 1;
        cluster.requestMaintenance();
        cluster.clock.runFor(Millis(50));
        cluster.workers.fleetFaults.lostAnswers = 0;
        REQUIRE(cluster.awaitWave());
        cluster.clock.runFor(Millis(4'000));
        CHECK(cluster.entry(0).schedulerCounts().reopenedWorkers == 0);
        CHECK(cluster.runsOnRack("r-0"));
        CHECK(cluster.checker.breaches().empty());
    }
}

/// Guards against the same after a change of owner, if the previous owner failed before it stored the wave's progress.
TEST_CASE("A worker whose predecessor was maintained by a previous owner gets tasks")
{
    MaintainedCluster cluster(2, 1);
    cluster.workers.fleetFaults.lostAnswers = 1;
    cluster.requestMaintenance();
    cluster.workers.fleetFaults.lostAnswers = 0;
    const std::size_t first = cluster.owner().value();
    cluster.kill(first);
    REQUIRE(cluster.waitFor(Millis(10'000), [&] { return cluster.owner() == 1 - first; }));
    REQUIRE(cluster.awaitWave());
    cluster.clock.runFor(Millis(4'000));
    CHECK(cluster.runsOnRack("r-0"));
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against a worker that gets no tasks for the rest of the term: its incarnation was wrongly taken for ended.
TEST_CASE("A worker that the list and the store show is reopened after a wrong proof of its end")
{
    // m-4 is the only instance of its rack.
    MaintainedCluster cluster(1, 5);
    cluster.workers.misnamed["m-4"] = "i-another";
    cluster.clock.runFor(Millis(5'000));
    cluster.workers.misnamed.clear();
    cluster.clock.runFor(Millis(5'000));
    CHECK(cluster.entry(0).schedulerCounts().reopenedWorkers == 1);
    CHECK(cluster.runsOnRack("r-1"));
    CHECK(cluster.checker.breaches().empty());
}
