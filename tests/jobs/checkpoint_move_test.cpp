/// Batch tasks with a checkpoint in an evacuated data hall.
///
/// Guards against a data hall that stays occupied until its longest batch task has ended.

#include "lanemoor/jobs/policy/checkpoint_move.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

TEST_CASE("A task moves if what is left takes longer than the restore and the move")
{
    const CheckpointMoveCost cost { .restore = Millis(600), .stopAndStart = Millis(2'000) };
    CHECK(isWorthMoving({ .elapsed = Millis(1'000), .percent = 25 }, cost));
    CHECK_FALSE(isWorthMoving({ .elapsed = Millis(1'000), .percent = 30 }, cost));
    CHECK_FALSE(isWorthMoving({ .elapsed = Millis(1'000), .percent = 100 }, cost));
    // The attempt's own progress takes precedence over its declared time.
    CHECK_FALSE(isWorthMoving({ .elapsed = Millis(1'000), .percent = 90, .declaredLeft = Millis(60'000) }, cost));
    CHECK(isWorthMoving({ .elapsed = Millis(100), .percent = 0, .declaredLeft = Millis(2'601) }, cost));
    CHECK_FALSE(isWorthMoving({ .elapsed = Millis(9'000), .percent = 0, .declaredLeft = Millis(-500) }, cost));
}

namespace {

/// Two data halls of one instance each, and a batch job that takes 20 s on the first of them.
struct LongBatch : model::JobCluster {
    explicit LongBatch(bool savesCheckpoints)
        : model::JobCluster(1, 1)
    {
        workers.addReserve("off");
        workers.addInstance("m-0", "main", "r-0", { .milliCpu = 8'000, .memoryMb = 16'000 }, "a", "hall-a");
        workers.runTimes = [](const Attempt&) { return Millis(20'000); };
        workers.savesCheckpoints = savesCheckpoints;
        configure(smallConfiguration());
        start(0);
        clock.runFor(Millis(1'000));
        submit(0, "work", id, job({ step(2) }));
        clock.runFor(Millis(4'000));
        workers.addInstance("m-1", "main", "r-1", { .milliCpu = 8'000, .memoryMb = 16'000 }, "a", "hall-b");
        clock.runFor(Millis(2'000));
        evacuate("hall-a");
    }

    [[nodiscard]] std::size_t runningOn(const std::string& instance)
    {
        const model::WorkerModel* worker = workers.workerOn(instance);
        return worker ? worker->running.size() : 0;
    }

    inline static const std::string id = jobId(1);
};

} // namespace

TEST_CASE("Batch tasks with a checkpoint leave an evacuated data hall and go on from there")
{
    LongBatch cluster(true);
    REQUIRE(cluster.runningOn("m-0") == 2);
    CHECK(cluster.waitFor(Millis(3'000), [&] { return cluster.runningOn("m-0") == 0 && cluster.runningOn("m-1") == 2; }));
    // Restarted from the beginning, they would take 20 s.
    CHECK(cluster.waitFor(Millis(16'000), [&] { return cluster.status(0, LongBatch::id) == JobStatus::Succeeded; }));
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("Batch tasks without a checkpoint end where they run")
{
    LongBatch cluster(false);
    cluster.clock.runFor(Millis(8'000));
    CHECK(cluster.runningOn("m-0") == 2);
    CHECK(cluster.checker.starts() == 2);
}
