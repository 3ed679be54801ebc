/// Whole job service on the models of store, workers and instances.

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

TEST_CASE("A job handed in twice, at two entries, stays one job")
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

TEST_CASE("Tasks of a worker that went silent start elsewhere once its lease is over")
{
    // Found on prc-montevideo trouble-2: renewals sent into the silence moved the end of the
    // lease on and on, so that the tasks were away until the owner changed.
    SmallCluster cluster;
    cluster.submit(0, "work", jobId(1), job({ longStep(3) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 3; }));
    cluster.clock.runFor(Millis(2'000));
    const std::string lost = cluster.checker.workerOf(jobId(1), { 0, 0, 0 });
    cluster.workers.crash(lost, Millis(60'000));
    CHECK(cluster.waitFor(Millis(9'000), [&] { return !cluster.checker.workerOf(jobId(1), { 0, 0, 0 }).empty(); }));
    requireNoBreach(cluster);
}

TEST_CASE("A worker that is cut off and runs on keeps its tasks until its lease is over")
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

TEST_CASE("A wave takes no task away while another of its step is missing")
{
    // Found on prc-montevideo trouble-2: tasks on a silent worker counted as at work.
    SmallCluster cluster(1, 3, 6, 0);
    cluster.submit(0, "work", jobId(1), job({ longStep(4) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 4; }));
    cluster.clock.runFor(Millis(2'000));
    const std::string lost = cluster.checker.workerOf(jobId(1), { 0, 0, 0 });
    cluster.workers.crash(lost, Millis(600'000));
    cluster.clock.runFor(Millis(4'400));
    WaveRequest wave { .number = 1, .instances = {}, .duration = Millis(20'000), .mostAtOnce = 3 };
    for (const auto& [id, instance] : cluster.workers.instances())
        wave.instances.push_back(id);
    cluster.requestWave(wave);
    cluster.clock.runFor(Millis(8'000));
    requireNoBreach(cluster);
}

TEST_CASE("A wave is taken through the whole fleet in time, within the budgets of steps")
{
    SmallCluster cluster(1, 3, 6, 2);
    cluster.submit(0, "work", jobId(1), job({ longStep(4) }));
    cluster.submit(1, "work", jobId(2), job({ longStep(3) }));
    cluster.clock.runFor(Millis(2'000));
    WaveRequest wave { .number = 1, .instances = {}, .duration = Millis(40'000), .mostAtOnce = 2 };
    for (const auto& [id, instance] : cluster.workers.instances())
        wave.instances.push_back(id);
    cluster.requestWave(wave);
    CHECK(cluster.waitFor(Millis(40'000), [&] {
        const StoreItem* status = cluster.store.find(cluster.documents.waveStatusKey(1));
        return status && status->value == "finished";
    }));
    requireNoBreach(cluster);
}

TEST_CASE("A wave goes on after its owner was killed in the middle")
{
    SmallCluster cluster(1, 3, 6, 0);
    cluster.submit(0, "work", jobId(1), job({ longStep(4) }));
    cluster.clock.runFor(Millis(2'000));
    WaveRequest wave { .number = 1, .instances = {}, .duration = Millis(60'000), .mostAtOnce = 2 };
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

TEST_CASE("A new owner takes no instance whose worker it has not met")
{
    // Found by random run 244: no attempt was booked at a worker that was cut off when the
    // owner changed, so its instance looked empty and was maintained.
    SmallCluster cluster(1, 3, 4, 0);
    cluster.submit(0, "work", jobId(1), job({ longStep(3) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 3; }));
    cluster.clock.runFor(Millis(2'000));
    const std::string hidden = cluster.checker.workerOf(jobId(1), {});
    cluster.workers.find(hidden)->faults.partitioned = true;
    cluster.kill(cluster.owner().value());
    cluster.clock.runFor(Millis(2'000));
    cluster.requestWave({ .number = 1, .instances = { cluster.workers.find(hidden)->instance }, .duration = Millis(10'000), .mostAtOnce = 1 });
    cluster.clock.runFor(Millis(1'500));
    CHECK(cluster.workers.find(hidden)->alive);
    requireNoBreach(cluster);
}

TEST_CASE("Two owners in turn act on one instance only a while apart, a third one too")
{
    // Found by random runs 218 and 244: the second owner's record left out what the first had
    // acted on, and the third acted on it at once.
    SmallCluster cluster(1, 4, 2, 6);
    const auto handIn = [&](std::uint64_t number) { cluster.submit(0, "work", jobId(number), job({ step(30) })); };
    handIn(1);
    for (std::uint64_t number = 2; number < 5; ++number) {
        cluster.clock.runFor(Millis(300));
        if (cluster.owner().value_or(0) != 0)
            cluster.kill(*cluster.owner());
        handIn(number);
        cluster.clock.runFor(Millis(1'900));
    }
    requireNoBreach(cluster);
}

TEST_CASE("A pool grows for tasks that wait for memory, also while a wave empties its instances")
{
    // Found on tellelag-drift quiet-1, seed 31676: tasks waited 23 s on a full instance beside one
    // that was being emptied, since demand was counted in processor time only.
    SmallCluster cluster(1, 3, 2, 6);
    StepSpec large = longStep(6);
    large.needs = { .milliCpu = 500, .memoryMb = 9'000 };
    large.mostPerInstance = 0;
    cluster.submit(0, "work", jobId(1), job({ large }));
    CHECK(cluster.waitFor(Millis(6'000), [&] { return cluster.checker.starts() == 6; }));
    requireNoBreach(cluster);
}

TEST_CASE("A pool keeps enough instances for tasks that must not share one")
{
    // Found on tellelag-drift scale-1: a pool of idle instances was switched off below the
    // number that a step with one task an instance needs, and its task never ran again.
    SmallCluster cluster(1, 3, 8, 1);
    cluster.submit(0, "work", jobId(1), job({ longStep(5) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 5; }));
    // Load that is seen and over: from then on idle instances are switched off.
    cluster.submit(0, "work", jobId(2), job({ step(1) }));
    cluster.clock.runFor(Millis(25'000));
    const std::string lost = cluster.checker.workerOf(jobId(1), { 0, 0, 0 });
    cluster.workers.crash(lost, Millis(600'000));
    CHECK(cluster.waitFor(Millis(12'000), [&] { return !cluster.checker.workerOf(jobId(1), { 0, 0, 0 }).empty(); }));
    requireNoBreach(cluster);
}

TEST_CASE("A new owner leaves old tasks alone while a worker that may run them is not found")
{
    // Found on tellelag-drift trouble-3: a worker's entry was missing from the store when the
    // owner changed, and its tasks were started a second time.
    SmallCluster cluster(1, 3, 3, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(20'000); };
    cluster.submit(0, "work", jobId(1), job({ step(3) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 3; }));
    const std::string hidden = cluster.checker.workerOf(jobId(1), {});
    // As after an outage in which entries lapsed: the list names no life on the instance either.
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

TEST_CASE("A new owner counts the instances that the former one took down")
{
    // Found on tellelag-drift trouble-3, seed 446303655478: the successor of an owner that had
    // taken down as many as the wave allows took two more.
    SmallCluster cluster(1, 3, 4, 4);
    WaveRequest wave { .number = 1, .instances = {}, .duration = Millis(60'000), .mostAtOnce = 2 };
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
    // Every instance of the wave but one at a time may stay; answers are lost, acts are not.
    SmallCluster cluster(1, 3, 4, 4);
    cluster.workers.fleetFaults.lostAnswers = 1;
    WaveRequest wave { .number = 1, .instances = {}, .duration = Millis(60'000), .mostAtOnce = 1 };
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
    // The pool shrinks, every act is lost, and then work comes that needs all workers.
    SmallCluster cluster(1, 3, 4, 0);
    cluster.workers.fleetFaults.dropped = 1;
    cluster.submit(0, "work", jobId(2), job({ step(1) }));
    REQUIRE(cluster.waitFor(Millis(12'000), [&] { return cluster.workers.dropped() > 0; }));
    cluster.clock.runFor(Millis(2'000));
    cluster.workers.fleetFaults = {};
    StepSpec spread = step(4);
    spread.mostPerInstance = 1;
    cluster.workers.runTimes = [](const Attempt&) { return Millis(3'000); };
    cluster.submit(0, "work", jobId(1), job({ spread }));
    CHECK(cluster.waitFor(Millis(5'500), [&] { return cluster.checker.starts() == 5; }));
    requireNoBreach(cluster);
}

TEST_CASE("A new owner asks a worker whose entry comes back late before it starts old tasks")
{
    // Found by random run 20243: the entry came back between the takeover and the first list, its
    // worker did not answer yet, and its tasks were started a second time.
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

TEST_CASE("An owner that hears nothing of the store starts nothing more and makes room for another")
{
    // Found on tellelag-drift-grown trouble-3: an owner whose copy was 11 s old started tasks of a
    // job that had been cancelled 7 s before.
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

TEST_CASE("A small machine owns only while no larger one can")
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

TEST_CASE("A new owner does not wait for lives that ended before it came")
{
    // Found on tellelag-drift-grown trouble-3: 250 lives that had ended with a move of their instance
    // kept all inherited tasks waiting for the longest lease, 6.6 s.
    SmallCluster cluster(1, 3, 4, 0);
    cluster.submit(0, "work", jobId(1), job({ step(1), step(1, { 0 }) }));
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return cluster.checker.starts() == 1; }));
    const std::string busy = cluster.checker.workerOf(jobId(1), {});
    cluster.workers.crash(busy == "i-1" ? "i-2" : "i-1", Millis(600'000));
    cluster.kill(cluster.owner().value());
    CHECK(cluster.waitFor(Millis(4'500), [&] { return cluster.checker.hasSucceeded(jobId(1)); }));
    requireNoBreach(cluster);
}

TEST_CASE("A draining worker's task stays while the stop of another of its step is in doubt")
{
    // Found by random run 32582: the drain took a second task away, and then the first one's stop,
    // which had got no answer, was sent again.
    SmallCluster cluster(1, 3, 5, 0);
    cluster.submit(0, "work", jobId(1), job({ longStep(3) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 3; }));
    cluster.clock.runFor(Millis(2'000));
    const std::string maintained = cluster.checker.workerOf(jobId(1), { 0, 0, 0 });
    const std::string draining = cluster.checker.workerOf(jobId(1), { 0, 0, 1 });
    cluster.workers.find(maintained)->faults.lateCommands = 1;
    cluster.requestWave({ .number = 1, .instances = { cluster.workers.find(maintained)->instance }, .duration = Millis(20'000), .mostAtOnce = 1 });
    cluster.clock.runFor(Millis(700));
    cluster.workers.leave(draining, true, Millis(6'000));
    cluster.clock.runFor(Millis(100));
    cluster.workers.find(maintained)->faults.lateCommands = 0;
    cluster.clock.runFor(Millis(8'000));
    requireNoBreach(cluster);
}

TEST_CASE("An owner goes on where it was when the store comes back and its lease still stands")
{
    // Found on prc-montevideo trouble-3: after an outage in which leases wait, nobody owned until
    // the former owner's lease was over, and then all was adopted anew.
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

TEST_CASE("A stop that falls due while the store is away is sent when it is back")
{
    // Found by random run 40104: stops without an answer were to be sent again while the owner
    // waited for the store; they never were, and the tasks never started elsewhere.
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

TEST_CASE("A new owner leaves an instance alone for as long as the act on it is young")
{
    // Found by an incident on prc-montevideo: a pool stayed short for 4.5 s after a takeover, since
    // all instances that the former owner had moved in its last seconds were left alone.
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

TEST_CASE("A worker that answers is not taken as over, though its instance has left the list")
{
    // Found by reading: the rule for lives that no list names went over all workers of the term.
    SmallCluster cluster(1, 3, 3, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(30'000); };
    cluster.kill(cluster.owner().value());
    // Lives that begin after the last lease of the former owner is over.
    cluster.clock.runFor(Millis(9'000));
    for (const char* instance : { "m-0", "m-1", "m-2" })
        cluster.workers.crash(cluster.workers.on(instance)->entry.id, Millis(200));
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

TEST_CASE("An instance that hears no changes shows a job's end all the same")
{
    // Callers count until they are shown the end: a copy half a second old cost a quarter of a second
    // a job on average, and more while the store was slow.
    SmallCluster cluster;
    const std::size_t deaf = cluster.owner() == 0U ? 1 : 0;
    cluster.submit(deaf, "work", jobId(1), job({ step(1) }));
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return cluster.accepted().contains(jobId(1)); }));
    cluster.cutWatches(deaf, true);
    REQUIRE(cluster.waitFor(Millis(5'000), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded, *cluster.owner()); }));
    CHECK(cluster.waitFor(Millis(150), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded, deaf); }));
    requireNoBreach(cluster);
}
