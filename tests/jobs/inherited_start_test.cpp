/// Cost of first starts under a new owner. Guards against recording each of them in the store before it is sent, in case the previous
/// owner failed before it recorded a crash: if the store takes some hundred milliseconds, free capacity stays idle meanwhile.

#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr std::size_t instances = 40;
constexpr std::uint64_t waitingJobs = 80;
constexpr std::size_t startsBefore = instances + waitingJobs;
constexpr std::size_t startsAfter = startsBefore + waitingJobs;
constexpr Millis slowAnswer { 200 };
constexpr Millis blockedTime { 6'000 };
/// A process that has observed the workers for this time has evidence of all crashes.
constexpr Millis observationTime { 13'000 };
const std::string firstJob = jobId(1);

enum class KilledRole { Owner,
    OtherEntry };

StepSpec ofCores(std::uint32_t count, std::int64_t milliCpu)
{
    StepSpec spec = step(count);
    spec.needs = { .milliCpu = milliCpu, .memoryMb = 100 };
    return spec;
}

/// Cost of starting the waiting tasks, from the time when there is room for them.
struct Cost {
    Millis untilSent { 0 };
    std::uint64_t storeCalls = 0;
};

/// Each job runs one task, and its second one waits for room that another job occupies. An entry is killed before the room becomes free.
struct WaitingCluster : SmallCluster {
    explicit WaitingCluster(KilledRole killed)
        : SmallCluster(1, 3, instances, 0, 1)
    {
        workers.runTimes = [](const Attempt& attempt) { return attempt.job == firstJob ? blockedTime : Millis(60'000); };
        clock.runFor(observationTime);
        StepSpec wide = ofCores(instances, 6'000);
        wide.maxPerInstance = 1;
        submit(owner().value(), "work", firstJob, job({ wide }));
        REQUIRE(waitFor(Millis(1'000), [this] { return checker.starts() == instances; }));
        const MonotonicInstant freeFrom = clock.now() + blockedTime - Millis(200);
        for (std::uint64_t i = 0; i < waitingJobs; ++i)
            submit(owner().value(), "work", jobId(2 + i), job({ ofCores(1, 500), ofCores(1, 3'000) }));
        REQUIRE(waitFor(Millis(2'000), [this] { return checker.starts() == startsBefore; }));
        clock.runFor(Millis(500));
        const std::size_t index = owner().value();
        kill(killed == KilledRole::Owner ? index : (index + 1) % entries());
        store.faults.answerTime = slowAnswer;
        if (onKill)
            onKill();
        clock.runFor(std::chrono::duration_cast<Millis>(freeFrom - clock.now()));
        REQUIRE(checker.starts() == startsBefore);
    }

    Cost measureCost()
    {
        Cost cost;
        const MonotonicInstant from = clock.now();
        const std::uint64_t calls = store.calls();
        REQUIRE(waitFor(Millis(10'000), [this] { return checker.starts() == startsAfter; }));
        cost.untilSent = std::chrono::duration_cast<Millis>(clock.now() - from);
        clock.runFor(Millis(4'000) - cost.untilSent);
        cost.storeCalls = store.calls() - calls;
        CHECK(checker.breaches().empty());
        return cost;
    }

    std::function<void()> onKill;
};

} // namespace

// Guards against store calls and delays for tasks without attributed crashes that cannot have crashed a worker.
TEST_CASE("First starts under a new owner cost as much as under the one before")
{
    const Cost underSameOwner = WaitingCluster(KilledRole::OtherEntry).measureCost();
    const Cost underNewOwner = WaitingCluster(KilledRole::Owner).measureCost();
    CAPTURE(underSameOwner.untilSent.count(), underNewOwner.untilSent.count(), underSameOwner.storeCalls, underNewOwner.storeCalls);
    CHECK(underNewOwner.untilSent <= underSameOwner.untilSent + Millis(50));
    CHECK(underNewOwner.storeCalls <= underSameOwner.storeCalls + 3);
}

// Guards against a new owner that misses evidence of worker crashes: its first start of a poison task would be unrecorded again.
TEST_CASE("A poison task fails in time under owners that have observed the workers for long")
{
    const std::set<std::uint32_t> killingStarts = GENERATE(values<std::set<std::uint32_t>>({ { 1, 2 }, { 1, 2, 3 }, { 2, 3 }, { 1, 3 } }));
    for (const bool restartsUnderId : { false, true }) {
        for (Millis offset(0); offset <= Millis(1'500); offset += Millis(300)) {
            CAPTURE(killingStarts.size(), *killingStarts.begin(), restartsUnderId, offset.count());
            // A restarted owner would have observed nothing, so a process that has been running takes over after each kill.
            SmallCluster cluster(1, 6, 8, 2, 1);
            cluster.clock.runFor(observationTime);
            std::uint32_t starts = 0;
            cluster.workers.crashesWorkerAfter = Millis(10);
            cluster.workers.crashesWorker = [&](const Attempt&) {
                if (killingStarts.contains(++starts))
                    cluster.clock.after(Millis(10) + offset, [&cluster] {
                        if (const std::optional<std::size_t> owner = cluster.owner())
                            cluster.kill(*owner);
                    });
                if (!restartsUnderId)
                    return true;
                cluster.clock.after(Millis(10), [&cluster, worker = cluster.checker.workerOf(firstJob, {})] {
                    cluster.checker.onWorkerCrashed(worker, { firstJob, {}, 0 });
                    cluster.workers.restart(worker, Millis(300));
                });
                return false;
            };
            cluster.submit(cluster.owner().value(), "work", firstJob, job({ step(1) }));
            cluster.clock.runFor(Millis(50'000));
            CHECK(starts >= 3);
            CHECK(cluster.checker.breaches().empty());
            CHECK(cluster.checker.workersCrashedBy(firstJob, {}) <= 5);
        }
    }
}

TEST_CASE("A successor restores the speed of a best-effort task that its predecessor throttled")
{
    // Guards against a task that stays throttled because the owner that would restore its speed is gone.
    SmallCluster cluster(1, 3, 2, 0);
    StepSpec spec = step(1);
    spec.bestEffort = true;
    spec.longRunning = true;
    cluster.submit(0, "work", jobId(1), job({ spec }));
    cluster.clock.runFor(Millis(2'000));
    const std::string id = cluster.checker.workerOf(jobId(1), {});
    REQUIRE(!id.empty());
    model::WorkerModel& worker = *cluster.workers.find(id);
    REQUIRE(worker.running.size() == 1);
    worker.running.begin()->second.percentAllowed = 0;
    cluster.kill(*cluster.owner());
    cluster.clock.runFor(Millis(30'000));
    REQUIRE(cluster.owner());
    REQUIRE(cluster.checker.workerOf(jobId(1), {}) == id);
    CHECK(worker.running.begin()->second.percentAllowed == 100);
}
