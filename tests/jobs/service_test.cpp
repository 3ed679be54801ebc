/// The whole job service, run on the models of store, workers and instances.

#include "support.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

void requireNoBreach(const model::JobCluster& cluster)
{
    for (const model::Breach& breach : cluster.checker.breaches())
        FAIL_CHECK(breach.rule << ' ' << breach.detail);
}

} // namespace

TEST_CASE("A job of two steps runs to its last task and is shown as succeeded everywhere")
{
    SmallCluster cluster;
    cluster.submit(0, "work", jobId(1), job({ step(4), step(2, { 0 }) }));
    REQUIRE(cluster.waitFor(Millis(5'000), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded, 2); }));
    CHECK(cluster.checker.hasSucceeded(jobId(1)));
    CHECK(cluster.checker.starts() == 6);
    requireNoBreach(cluster);
}

TEST_CASE("A job submitted twice, at two entries, stays one job")
{
    SmallCluster cluster;
    cluster.submit(0, "work", jobId(1), job({ step(2) }));
    cluster.submit(1, "work", jobId(1), job({ step(2) }));
    REQUIRE(cluster.waitFor(Millis(5'000), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded); }));
    cluster.submit(2, "work", jobId(1), job({ step(2) }));
    cluster.clock.runFor(Millis(3'000));
    CHECK(cluster.checker.starts() == 2);
    requireNoBreach(cluster);
}

TEST_CASE("A task that fails is tried again, and its job fails with its last attempt")
{
    SmallCluster cluster;
    for (auto& [id, worker] : cluster.workers.workers())
        worker.faults.failing = 1.0;
    cluster.submit(0, "work", jobId(1), job({ step(1) }));
    REQUIRE(cluster.waitFor(Millis(20'000), [&] { return cluster.shows(jobId(1), JobStatus::Failed); }));
    CHECK(cluster.checker.starts() == 3);
    requireNoBreach(cluster);
}

TEST_CASE("A cancelled job stops and is shown as cancelled")
{
    SmallCluster cluster;
    cluster.submit(0, "work", jobId(1), job({ longStep(2) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 2; }));
    cluster.cancel(1, jobId(1));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.workerOf(jobId(1), {}).empty(); }));
    CHECK(cluster.waitFor(Millis(2'000), [&] { return cluster.shows(jobId(1), JobStatus::Cancelled, 2); }));
    requireNoBreach(cluster);
}

TEST_CASE("Tasks of a killed owner are adopted by the next one and run once")
{
    SmallCluster cluster;
    cluster.workers.runTimes = [](const Attempt&) { return Millis(4'000); };
    cluster.submit(0, "work", jobId(1), job({ step(6) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 6; }));
    const std::size_t owner = cluster.owner().value();
    cluster.kill(owner);
    const std::size_t other = (owner + 1) % cluster.entries();
    REQUIRE(cluster.waitFor(Millis(10'000), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded, other); }));
    CHECK(cluster.checker.starts() == 6);
    requireNoBreach(cluster);
}

TEST_CASE("All entries killed right after an accept: the job is kept and runs")
{
    SmallCluster cluster;
    cluster.submit(0, "work", jobId(1), job({ step(3) }));
    REQUIRE(cluster.waitFor(Millis(1'000), [&] { return cluster.accepted().contains(jobId(1)); }));
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        cluster.kill(i);
    cluster.clock.runFor(Millis(800));
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        cluster.start(i);
    REQUIRE(cluster.waitFor(Millis(12'000), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded); }));
    requireNoBreach(cluster);
}

TEST_CASE("Tasks of an unresponsive worker start elsewhere once its lease has expired")
{
    // Seen on prc-montevideo trouble-2: unanswered renewals extended the assumed lease again and again,
    // so the tasks did not start elsewhere until the owner changed.
    SmallCluster cluster;
    cluster.submit(0, "work", jobId(1), job({ longStep(3) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 3; }));
    cluster.clock.runFor(Millis(2'000));
    const std::string lost = cluster.checker.workerOf(jobId(1), { 0, 0, 0 });
    cluster.workers.crash(lost, Millis(60'000));
    CHECK(cluster.waitFor(Millis(9'000), [&] { return !cluster.checker.workerOf(jobId(1), { 0, 0, 0 }).empty(); }));
    requireNoBreach(cluster);
}

TEST_CASE("A partitioned worker that keeps running keeps its tasks until its lease has expired")
{
    SmallCluster cluster;
    cluster.workers.runTimes = [](const Attempt&) { return Millis(30'000); };
    cluster.submit(0, "work", jobId(1), job({ step(2) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 2; }));
    const std::string lost = cluster.checker.workerOf(jobId(1), {});
    cluster.workers.find(lost)->faults.partitioned = true;
    cluster.store.remove(cluster.documents.workerPrefix() + lost);
    cluster.clock.runFor(Millis(20'000));
    CHECK(cluster.checker.workerOf(jobId(1), {}) != lost);
    CHECK_FALSE(cluster.checker.workerOf(jobId(1), {}).empty());
    requireNoBreach(cluster);
}

TEST_CASE("A wave stops no task while another task of its step is missing")
{
    // Seen on prc-montevideo trouble-2: tasks on an unresponsive worker counted as running.
    SmallCluster cluster(1, 3, 6, 0);
    cluster.submit(0, "work", jobId(1), job({ longStep(4) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 4; }));
    cluster.clock.runFor(Millis(2'000));
    const std::string lost = cluster.checker.workerOf(jobId(1), { 0, 0, 0 });
    cluster.workers.crash(lost, Millis(600'000));
    cluster.clock.runFor(Millis(4'400));
    WaveRequest wave { .number = 1, .instances = {}, .duration = Millis(20'000), .maxConcurrent = 3 };
    for (const auto& [id, instance] : cluster.workers.instances())
        wave.instances.push_back(id);
    cluster.requestWave(wave);
    cluster.clock.runFor(Millis(8'000));
    requireNoBreach(cluster);
}

TEST_CASE("A wave passes through the whole fleet in time, within the disruption budgets of steps")
{
    SmallCluster cluster(1, 3, 6, 2);
    cluster.submit(0, "work", jobId(1), job({ longStep(4) }));
    cluster.submit(1, "work", jobId(2), job({ longStep(3) }));
    cluster.clock.runFor(Millis(2'000));
    WaveRequest wave { .number = 1, .instances = {}, .duration = Millis(40'000), .maxConcurrent = 2 };
    for (const auto& [id, instance] : cluster.workers.instances())
        wave.instances.push_back(id);
    cluster.requestWave(wave);
    CHECK(cluster.waitFor(Millis(40'000), [&] {
        const StoreItem* status = cluster.store.find(cluster.documents.waveStatusKey(1));
        return status && status->value == "finished";
    }));
    requireNoBreach(cluster);
}

/// Guards against a wave that ends without an instance which joined the fleet just before: the list that lacked it was older than the wave.
TEST_CASE("A wave waits for an instance that joined shortly before it")
{
    SmallCluster cluster;
    cluster.clock.runFor(Millis(3'000));
    cluster.workers.addInstance("m-new", "off", "r-new", { .milliCpu = 8'000, .memoryMb = 16'000 });
    cluster.workers.hidden.insert("m-new"); // The platform's list lags.
    cluster.clock.runFor(Millis(300));
    cluster.requestWave({ .number = 1, .instances = { "m-0", "m-new" }, .duration = Millis(20'000), .maxConcurrent = 2 });
    cluster.clock.runFor(Millis(700));
    cluster.workers.hidden.clear();
    const auto isFinished = [&] {
        const StoreItem* status = cluster.store.find(cluster.documents.waveStatusKey(1));
        return status && status->value == "finished";
    };
    REQUIRE(cluster.waitFor(Millis(20'000), isFinished));
    CHECK(cluster.workers.wasMaintained("m-new", 1));
    CHECK(cluster.workers.wasMaintained("m-0", 1));
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("A wave ends without an instance that has left the fleet")
{
    SmallCluster cluster;
    cluster.workers.hidden.insert("m-5");
    cluster.clock.runFor(Millis(2'000));
    cluster.requestWave({ .number = 1, .instances = { "m-0", "m-5", "never-there" }, .duration = Millis(20'000), .maxConcurrent = 2 });
    CHECK(cluster.waitFor(Millis(10'000), [&] {
        const StoreItem* status = cluster.store.find(cluster.documents.waveStatusKey(1));
        return status && status->value == "finished";
    }));
    CHECK(cluster.workers.wasMaintained("m-0", 1));
    CHECK_FALSE(cluster.workers.wasMaintained("m-5", 1));
}

TEST_CASE("A wave continues after its owner was killed in the middle")
{
    SmallCluster cluster(1, 3, 6, 0);
    cluster.submit(0, "work", jobId(1), job({ longStep(4) }));
    cluster.clock.runFor(Millis(2'000));
    WaveRequest wave { .number = 1, .instances = {}, .duration = Millis(60'000), .maxConcurrent = 2 };
    for (const auto& [id, instance] : cluster.workers.instances())
        wave.instances.push_back(id);
    cluster.requestWave(wave);
    cluster.clock.runFor(Millis(4'000));
    cluster.kill(cluster.owner().value());
    CHECK(cluster.waitFor(Millis(60'000), [&] {
        const StoreItem* status = cluster.store.find(cluster.documents.waveStatusKey(1));
        return status && status->value == "finished";
    }));
    requireNoBreach(cluster);
}

TEST_CASE("A new owner takes no instance whose worker has not reported to it")
{
    // Seen in random run 244: a worker that was partitioned when the owner changed had no reservations,
    // so its instance looked empty and was put into maintenance.
    SmallCluster cluster(1, 3, 4, 0);
    cluster.submit(0, "work", jobId(1), job({ longStep(3) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 3; }));
    cluster.clock.runFor(Millis(2'000));
    const std::string hidden = cluster.checker.workerOf(jobId(1), {});
    cluster.workers.find(hidden)->faults.partitioned = true;
    cluster.kill(cluster.owner().value());
    cluster.clock.runFor(Millis(2'000));
    cluster.requestWave({ .number = 1, .instances = { cluster.workers.find(hidden)->instance }, .duration = Millis(10'000), .maxConcurrent = 1 });
    cluster.clock.runFor(Millis(1'500));
    CHECK(cluster.workers.find(hidden)->alive);
    requireNoBreach(cluster);
}

TEST_CASE("Successive owners act on one instance only with a minimum interval, also a third owner")
{
    // Seen in random runs 218 and 244: the second owner's record omitted the instances that the first had
    // acted on, and the third owner acted on them at once.
    SmallCluster cluster(1, 4, 2, 6);
    const auto submitJob = [&](std::uint64_t number) { cluster.submit(0, "work", jobId(number), job({ step(30) })); };
    submitJob(1);
    for (std::uint64_t number = 2; number < 5; ++number) {
        cluster.clock.runFor(Millis(300));
        if (cluster.owner().value_or(0) != 0)
            cluster.kill(*cluster.owner());
        submitJob(number);
        cluster.clock.runFor(Millis(1'900));
    }
    requireNoBreach(cluster);
}

TEST_CASE("A pool grows for tasks that wait for memory, also while a wave evacuates its instances")
{
    // Seen on tellelag-drift quiet-1, seed 31676: tasks waited 23 s with one full instance and one being
    // evacuated, since demand was counted in processor time only.
    SmallCluster cluster(1, 3, 2, 6);
    StepSpec large = longStep(6);
    large.needs = { .milliCpu = 500, .memoryMb = 9'000 };
    large.maxPerInstance = 0;
    cluster.submit(0, "work", jobId(1), job({ large }));
    CHECK(cluster.waitFor(Millis(6'000), [&] { return cluster.checker.starts() == 6; }));
    requireNoBreach(cluster);
}

TEST_CASE("A pool keeps enough instances for tasks that must not share one")
{
    // Seen on tellelag-drift scale-1: idle instances of a pool were switched off below the number that a
    // step with one task per instance needs, and its task never ran again.
    SmallCluster cluster(1, 3, 8, 1);
    cluster.submit(0, "work", jobId(1), job({ longStep(5) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 5; }));
    // After load was observed and has ended, idle instances are switched off.
    cluster.submit(0, "work", jobId(2), job({ step(1) }));
    cluster.clock.runFor(Millis(25'000));
    const std::string lost = cluster.checker.workerOf(jobId(1), { 0, 0, 0 });
    cluster.workers.crash(lost, Millis(600'000));
    CHECK(cluster.waitFor(Millis(12'000), [&] { return !cluster.checker.workerOf(jobId(1), { 0, 0, 0 }).empty(); }));
    requireNoBreach(cluster);
}

TEST_CASE("A new owner starts no inherited tasks while a worker that may run them is missing")
{
    // Seen on tellelag-drift trouble-3: a worker's entry was missing from the store when the owner
    // changed, and its tasks were started a second time.
    SmallCluster cluster(1, 3, 3, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(20'000); };
    cluster.submit(0, "work", jobId(1), job({ step(3) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 3; }));
    const std::string hidden = cluster.checker.workerOf(jobId(1), {});
    // As after an outage in which entries expired: the list names no incarnation on the instance either.
    if (GENERATE(false, true))
        cluster.workers.unlisted.insert(hidden);
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        cluster.kill(i);
    cluster.store.remove(cluster.documents.workerPrefix() + hidden);
    cluster.clock.runFor(Millis(1'000));
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        cluster.start(i);
    cluster.clock.runFor(Millis(2'500));
    cluster.store.put(cluster.documents.workerPrefix() + hidden, hidden);
    cluster.workers.unlisted.clear();
    cluster.clock.runFor(Millis(4'000));
    CHECK(cluster.checker.workerOf(jobId(1), {}) == hidden);
    requireNoBreach(cluster);
}

TEST_CASE("A new owner counts the instances that the previous one took down")
{
    // Seen on tellelag-drift trouble-3, seed 446303655478: an owner had taken down as many instances as
    // the wave allows, and its successor took down two more.
    SmallCluster cluster(1, 3, 4, 4);
    WaveRequest wave { .number = 1, .instances = {}, .duration = Millis(60'000), .maxConcurrent = 2 };
    for (const auto& [id, instance] : cluster.workers.instances())
        wave.instances.push_back(id);
    cluster.requestWave(wave);
    const auto isDown = [](const auto& entry) { return entry.second.state == FleetState::InMaintenance; };
    const auto down = [&] { return std::count_if(cluster.workers.instances().begin(), cluster.workers.instances().end(), isDown); };
    REQUIRE(cluster.waitFor(Millis(4'000), [&] { return down() == 2; }));
    cluster.workers.maintenanceTime = Millis(2'000);
    cluster.store.revokeLeases();
    cluster.kill(cluster.owner().value_or(0));
    cluster.clock.runFor(Millis(6'000));
    requireNoBreach(cluster);
}

TEST_CASE("Maintenance without an answer counts as begun until the instance must be back")
{
    // At most one instance of the wave may be down at a time. The actions are executed, but their answers are lost.
    SmallCluster cluster(1, 3, 4, 4);
    cluster.workers.fleetFaults.lostAnswers = 1;
    WaveRequest wave { .number = 1, .instances = {}, .duration = Millis(60'000), .maxConcurrent = 1 };
    for (const auto& [id, instance] : cluster.workers.instances())
        wave.instances.push_back(id);
    cluster.requestWave(wave);
    cluster.clock.runFor(Millis(8'000));
    requireNoBreach(cluster);
    cluster.workers.fleetFaults = {};
    CHECK(cluster.waitFor(Millis(40'000), [&] {
        const StoreItem* status = cluster.store.find(cluster.documents.waveStatusKey(1));
        return status && status->value == "finished";
    }));
    requireNoBreach(cluster);
}

TEST_CASE("A worker gets work again if the move of its instance is never carried out")
{
    // The pool shrinks, every action is lost, and then tasks arrive that need all workers.
    SmallCluster cluster(1, 3, 4, 0);
    cluster.workers.fleetFaults.dropped = 1;
    cluster.submit(0, "work", jobId(2), job({ step(1) }));
    REQUIRE(cluster.waitFor(Millis(12'000), [&] { return cluster.workers.dropped() > 0; }));
    cluster.clock.runFor(Millis(2'000));
    cluster.workers.fleetFaults = {};
    StepSpec spread = step(4);
    spread.maxPerInstance = 1;
    cluster.workers.runTimes = [](const Attempt&) { return Millis(3'000); };
    cluster.submit(0, "work", jobId(1), job({ spread }));
    CHECK(cluster.waitFor(Millis(5'500), [&] { return cluster.checker.starts() == 5; }));
    requireNoBreach(cluster);
}

TEST_CASE("A new owner queries a worker whose entry reappears late before it starts inherited tasks")
{
    // Seen in random run 20243: the entry reappeared between the takeover and the first list, its worker
    // did not answer yet, and its tasks were started a second time.
    SmallCluster cluster(1, 3, 3, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(20'000); };
    cluster.submit(0, "work", jobId(1), job({ step(3) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 3; }));
    const std::string hidden = cluster.checker.workerOf(jobId(1), {});
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        cluster.kill(i);
    cluster.store.remove(cluster.documents.workerPrefix() + hidden);
    cluster.workers.find(hidden)->faults.partitioned = true;
    cluster.clock.runFor(Millis(1'000));
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        cluster.start(i);
    cluster.clock.runFor(Millis(1'200));
    cluster.store.put(cluster.documents.workerPrefix() + hidden, hidden);
    cluster.clock.runFor(Millis(2'000));
    requireNoBreach(cluster);
}

TEST_CASE("An owner without store updates starts nothing more and releases the ownership")
{
    // Seen on tellelag-drift-grown trouble-3: an owner with a replica 11 s old started tasks of a job that
    // had been cancelled 7 s earlier.
    SmallCluster cluster(1, 3, 4, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(3'500); };
    const std::size_t first = cluster.owner().value();
    const std::size_t other = (first + 1) % cluster.entries();
    cluster.submit(other, "work", jobId(1), job({ step(2), step(2, { 0 }) }));
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return cluster.checker.starts() == 2; }));
    cluster.cutWatches(first, true);
    cluster.cancel(other, jobId(1));
    cluster.submit(other, "work", jobId(2), job({ step(1) }));
    CHECK(cluster.waitFor(Millis(15'000), [&] { return cluster.checker.hasSucceeded(jobId(2)); }));
    CHECK(cluster.owner() != first);
    requireNoBreach(cluster);
}

TEST_CASE("A small machine becomes owner only while no larger one can")
{
    SmallCluster cluster(1, 3, 2, 0);
    for (std::size_t i = 0; i < cluster.entries(); ++i) {
        cluster.kill(i);
        cluster.setCores(i, i == 2 ? 0.5 : 0.12);
    }
    cluster.clock.runFor(Millis(2'000));
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        cluster.start(i);
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return cluster.owner().has_value(); }));
    CHECK(cluster.owner() == 2U);
    cluster.kill(2);
    CHECK(cluster.waitFor(Millis(4'000), [&] { return cluster.owner().has_value() && cluster.owner() != 2U; }));
}

TEST_CASE("A new owner does not wait for incarnations that ended before it took over")
{
    // Seen on tellelag-drift-grown trouble-3: 250 incarnations that had ended with a move of their
    // instance delayed all inherited tasks for the maximum lease time, 6.6 s.
    SmallCluster cluster(1, 3, 4, 0);
    cluster.submit(0, "work", jobId(1), job({ step(1), step(1, { 0 }) }));
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return cluster.checker.starts() == 1; }));
    const std::string busy = cluster.checker.workerOf(jobId(1), {});
    cluster.workers.crash(busy == "i-1" ? "i-2" : "i-1", Millis(600'000));
    cluster.kill(cluster.owner().value());
    CHECK(cluster.waitFor(Millis(4'500), [&] { return cluster.checker.hasSucceeded(jobId(1)); }));
    requireNoBreach(cluster);
}

TEST_CASE("A draining worker's task stays while the stop of another task of its step is unacknowledged")
{
    // Seen in random run 32582: the drain stopped a second task, and then the unanswered stop of the first
    // one was sent again.
    SmallCluster cluster(1, 3, 5, 0);
    cluster.submit(0, "work", jobId(1), job({ longStep(3) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 3; }));
    cluster.clock.runFor(Millis(2'000));
    const std::string maintained = cluster.checker.workerOf(jobId(1), { 0, 0, 0 });
    const std::string draining = cluster.checker.workerOf(jobId(1), { 0, 0, 1 });
    cluster.workers.find(maintained)->faults.lateCommands = 1;
    cluster.requestWave({ .number = 1, .instances = { cluster.workers.find(maintained)->instance }, .duration = Millis(20'000), .maxConcurrent = 1 });
    cluster.clock.runFor(Millis(700));
    cluster.workers.leave(draining, true, Millis(6'000));
    cluster.clock.runFor(Millis(100));
    cluster.workers.find(maintained)->faults.lateCommands = 0;
    cluster.clock.runFor(Millis(8'000));
    requireNoBreach(cluster);
}

TEST_CASE("An owner resumes its term when the store is available again and its lease is still valid")
{
    // Seen on prc-montevideo trouble-3: after an outage that suspends leases, there was no owner until the
    // previous owner's lease had expired, and then all attempts were adopted again.
    SmallCluster cluster(1, 3, 4, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(3'500); };
    const std::size_t first = cluster.owner().value();
    const std::size_t other = (first + 1) % cluster.entries();
    cluster.submit(other, "work", jobId(1), job({ step(2), step(2, { 0 }) }));
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return cluster.checker.starts() == 2; }));
    cluster.store.faults.unresponsive = true;
    cluster.store.faults.leasesPaused = true;
    cluster.clock.runFor(Millis(4'000));
    cluster.store.faults = {};
    CHECK(cluster.waitFor(Millis(1'500), [&] { return cluster.checker.starts() == 4; }));
    CHECK(cluster.owner() == first);
    requireNoBreach(cluster);
}

TEST_CASE("A stop that becomes due while the store is unavailable is sent once the store is available again")
{
    // Seen in random run 40104: unanswered stops became due for repetition while the owner waited for the
    // store. They were never sent, and the tasks never started elsewhere.
    SmallCluster cluster(1, 3, 2, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(30'000); };
    cluster.submit(0, "work", jobId(1), job({ step(1) }));
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return cluster.checker.starts() == 1; }));
    for (auto& [id, worker] : cluster.workers.workers())
        worker.faults.lateCommands = 1;
    cluster.cancel(0, jobId(1));
    cluster.clock.runFor(Millis(100));
    cluster.store.faults.unresponsive = true;
    cluster.store.faults.leasesPaused = true;
    cluster.clock.runFor(Millis(2'900));
    for (auto& [id, worker] : cluster.workers.workers())
        worker.faults = {};
    cluster.store.faults = {};
    CHECK(cluster.waitFor(Millis(1'800), [&] { return cluster.checker.workerOf(jobId(1), {}).empty(); }));
    requireNoBreach(cluster);
}

TEST_CASE("A finished job is shown for its time and then leaves the store")
{
    SmallCluster cluster(1, 3, 2, 0);
    cluster.submit(0, "work", jobId(1), job({ step(1) }));
    cluster.submit(0, "work", jobId(2), job({ longStep(1) }));
    REQUIRE(cluster.waitFor(Millis(4'000), [&] { return cluster.accepted().contains(jobId(1)) && cluster.checker.hasSucceeded(jobId(1)); }));
    cluster.clock.runFor(Millis(60'000));
    cluster.kill(cluster.owner().value());
    cluster.clock.runFor(Millis(58'000));
    const std::size_t any = cluster.owner().value();
    CHECK(cluster.shows(jobId(1), JobStatus::Succeeded, any));
    cluster.clock.runFor(Millis(12'000));
    CHECK(cluster.store.find(jobKey(jobId(1))) == nullptr);
    CHECK(cluster.store.find(progressKey(jobId(1))) == nullptr);
    CHECK_FALSE(cluster.status(any, jobId(1)).has_value());
    CHECK(cluster.shows(jobId(2), JobStatus::Running, any));
    requireNoBreach(cluster);
}

TEST_CASE("A new owner spares an instance only while the last action on it is recent")
{
    // Seen in an incident on prc-montevideo: a pool stayed short for 4.5 s after a takeover, since the new
    // owner did not use any instance that the previous one had moved in its last seconds.
    SmallCluster cluster(1, 3, 2, 4);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(400); };
    cluster.submit(0, "work", jobId(1), job({ step(40) }));
    REQUIRE(cluster.waitFor(Millis(6'000), [&] { return cluster.checker.hasSucceeded(jobId(1)); }));
    const auto isOff = [](const auto& entry) { return entry.second.pool == "off" && entry.second.state == FleetState::Up; };
    const auto off = [&] { return std::count_if(cluster.workers.instances().begin(), cluster.workers.instances().end(), isOff); };
    REQUIRE(cluster.waitFor(Millis(20'000), [&] { return off() == 4; }));
    cluster.clock.runFor(Millis(1'000));
    const std::size_t owner = cluster.owner().value();
    cluster.kill(owner);
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.owner().has_value() && cluster.owner() != owner; }));
    cluster.workers.runTimes = [](const Attempt&) { return Millis(60'000); };
    cluster.submit((owner + 1) % 3, "work", jobId(2), job({ step(48) }));
    CHECK(cluster.waitFor(Millis(4'000), [&] { return cluster.checker.starts() == 88; }));
    requireNoBreach(cluster);
}

TEST_CASE("A worker that answers is not treated as ended although its instance has left the list")
{
    // Guards against applying to all workers of a term the rule that incarnations which no list names have ended.
    SmallCluster cluster(1, 3, 3, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(30'000); };
    cluster.kill(cluster.owner().value());
    // Restarts the workers after the last lease of the previous owner has expired.
    cluster.clock.runFor(Millis(9'000));
    for (const char* instance : { "m-0", "m-1", "m-2" })
        cluster.workers.crash(cluster.workers.workerOn(instance)->entry.id, Millis(200));
    cluster.clock.runFor(Millis(1'000));
    const std::size_t owner = cluster.owner().value();
    cluster.submit(owner, "work", jobId(1), job({ step(3) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 3; }));
    cluster.clock.runFor(Millis(1'000));
    const std::string leaving = cluster.checker.workerOf(jobId(1), {});
    cluster.workers.hidden.insert(cluster.workers.find(leaving)->instance);
    cluster.store.remove(cluster.documents.workerPrefix() + leaving);
    cluster.clock.runFor(Millis(4'000));
    CHECK(cluster.checker.workerOf(jobId(1), {}) == leaving);
    requireNoBreach(cluster);
}

TEST_CASE("An instance without store updates still shows a job's end")
{
    // Callers measure a job until they see its end: a replica that is up to half a second old added a quarter
    // of a second per job on average, and more while the store was slow.
    SmallCluster cluster;
    const std::size_t partitioned = cluster.owner() == 0U ? 1 : 0;
    cluster.submit(partitioned, "work", jobId(1), job({ step(1) }));
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return cluster.accepted().contains(jobId(1)); }));
    cluster.cutWatches(partitioned, true);
    REQUIRE(cluster.waitFor(Millis(5'000), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded, *cluster.owner()); }));
    CHECK(cluster.waitFor(Millis(150), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded, partitioned); }));
    requireNoBreach(cluster);
}
