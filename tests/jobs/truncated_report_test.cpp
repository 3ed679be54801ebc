/// Guards against tasks that run again although they succeeded: a status report lists at most 500 ends, and attempts whose ends were
/// left out were taken for vanished. With a slow store the owner acknowledged the listed ends late, so that more than 500 accumulated
/// at a worker with many short tasks.

#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr Millis runTime { 2'500 };
constexpr Millis slowAnswer { 240 };

/// One worker with many short tasks, which all end at about the same time.
struct ManyEndsCluster : SmallCluster {
    explicit ManyEndsCluster(std::uint64_t count, double workersPerCore = 0)
        : SmallCluster(1, 3, 1, 0, workersPerCore)
        , jobs(count)
    {
        workers.runTimes = [](const Attempt&) { return runTime; };
    }

    /// Starts all tasks. \param last Submitted after the others, so that the ends of its tasks are listed last.
    void startAll(const std::optional<JobSpec>& last = std::nullopt)
    {
        for (std::uint64_t number = 1; number <= jobs; ++number)
            submit(0, "work", jobId(number), job({ shortStep(tasksPerJob) }));
        std::uint64_t started = jobs * tasksPerJob;
        REQUIRE(waitFor(Millis(2'000), [&] { return checker.starts() == started; }));
        if (!last)
            return;
        submit(0, "work", lastJob(), *last);
        started += last->steps.front().count;
        REQUIRE(waitFor(Millis(500), [&] { return checker.starts() == started; }));
    }

    /// Makes the store slow while the tasks end.
    void endDuringSlowStore()
    {
        store.faults.answerTime = slowAnswer;
        clock.runFor(Millis(6'000));
        store.faults.answerTime = Millis(4);
    }

    [[nodiscard]] bool areAllShownSucceeded()
    {
        for (std::uint64_t number = 1; number <= jobs; ++number) {
            if (!shows(jobId(number), JobStatus::Succeeded, anyUp()))
                return false;
        }
        return true;
    }

    [[nodiscard]] std::size_t anyUp() const { return isUp(0) ? 0 : 1; }

    [[nodiscard]] std::string lastJob() const { return jobId(jobs + 1); }

    [[nodiscard]] static StepSpec shortStep(std::uint32_t count)
    {
        StepSpec spec = step(count);
        spec.needs = { .milliCpu = 4, .memoryMb = 8 };
        return spec;
    }

    static constexpr std::uint32_t tasksPerJob = 40;
    const std::uint64_t jobs;
};

} // namespace

TEST_CASE("Tasks whose ends exceed one status report do not run again")
{
    ManyEndsCluster cluster(16);
    cluster.startAll();
    cluster.endDuringSlowStore();
    CHECK(cluster.waitFor(Millis(10'000), [&] { return cluster.areAllShownSucceeded(); }));
    CHECK(cluster.checker.starts() == 16 * ManyEndsCluster::tasksPerJob);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against a completeness mark that relays drop.
TEST_CASE("Tasks whose ends exceed one status report do not run again when the report arrives through a relay")
{
    ManyEndsCluster cluster(16, 1);
    cluster.startAll();
    cluster.endDuringSlowStore();
    CHECK(cluster.waitFor(Millis(10'000), [&] { return cluster.areAllShownSucceeded(); }));
    CHECK(cluster.checker.starts() == 16 * ManyEndsCluster::tasksPerJob);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against a conclusion from the second of several truncated reports in a row.
TEST_CASE("Tasks do not run again while several status reports in a row are truncated")
{
    ManyEndsCluster cluster(40);
    cluster.startAll();
    cluster.endDuringSlowStore();
    CHECK(cluster.waitFor(Millis(10'000), [&] { return cluster.areAllShownSucceeded(); }));
    CHECK(cluster.checker.starts() == 40 * ManyEndsCluster::tasksPerJob);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against a new owner that starts inherited tasks before it has read all ends of a worker.
TEST_CASE("A new owner reads all ends of a worker before inherited tasks run again")
{
    const bool isStoreSlow = GENERATE(false, true);
    ManyEndsCluster cluster(40);
    cluster.startAll();
    cluster.clock.runFor(Millis(1'000));
    cluster.kill(cluster.owner().value());
    cluster.store.faults.answerTime = isStoreSlow ? slowAnswer : Millis(4);
    cluster.clock.runFor(Millis(6'000));
    cluster.store.faults.answerTime = Millis(4);
    CHECK(cluster.waitFor(Millis(15'000), [&] { return cluster.areAllShownSucceeded(); }));
    CHECK(cluster.checker.starts() == 40 * ManyEndsCluster::tasksPerJob);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against failures that are not counted: their tasks would exceed the limit on attempts.
TEST_CASE("Failures whose ends exceed one status report count against the limit on attempts")
{
    ManyEndsCluster cluster(16);
    cluster.workers.workers().begin()->second.faults.failing = 1;
    cluster.startAll();
    cluster.store.faults.answerTime = slowAnswer;
    cluster.clock.runFor(Millis(20'000));
    cluster.store.faults.answerTime = Millis(4);
    cluster.clock.runFor(Millis(5'000));
    for (std::uint64_t number = 1; number <= cluster.jobs; ++number)
        CHECK(cluster.shows(jobId(number), JobStatus::Failed));
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against members of a gang, and long-running tasks, that start again while their last ends are not listed.
TEST_CASE("Gangs and long-running tasks whose ends are not listed yet do not run twice")
{
    const bool isGang = GENERATE(true, false);
    ManyEndsCluster cluster(16);
    if (!isGang)
        cluster.workers.workers().begin()->second.faults.failing = 1; // Long-running tasks only end by failure.
    JobSpec last = job({ ManyEndsCluster::shortStep(8) });
    last.steps.front().gang = isGang;
    last.steps.front().longRunning = !isGang;
    cluster.startAll(last);
    cluster.workers.workers().begin()->second.faults.failing = 0;
    cluster.endDuringSlowStore();
    cluster.clock.runFor(Millis(5'000));
    CHECK(cluster.shows(cluster.lastJob(), isGang ? JobStatus::Succeeded : JobStatus::Running));
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against waiting for the next renewal interval before the rest of a truncated report is read.
TEST_CASE("The rest of a truncated status report is read at once")
{
    ManyEndsCluster cluster(40);
    cluster.startAll();
    const auto allSucceeded = [&] {
        for (std::uint64_t number = 1; number <= cluster.jobs; ++number) {
            if (!cluster.checker.hasSucceeded(jobId(number)))
                return false;
        }
        return true;
    };
    REQUIRE(cluster.waitFor(Millis(5'000), allSucceeded));
    const MonotonicInstant ended = cluster.clock.now();
    CHECK(cluster.waitFor(Millis(5'000), [&] { return cluster.areAllShownSucceeded(); }));
    CHECK(cluster.clock.now() - ended <= Millis(500));
}
