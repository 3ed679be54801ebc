/// Guards against two unacknowledged starts of one step that block each other: the tasks of a long-running job did not run again for
/// more than 40 s after their workers failed, although there was room.
///
/// Two tasks of one step were started again while workers left commands unanswered. Neither start was confirmed and neither task was
/// reported, so each was stopped in case its start arrived late. Both stops stayed unanswered and were never repeated: a stop was
/// repeated only within the step's disruption budget, and each unconfirmed task counted as unavailable for the other. Stopping an
/// unconfirmed start disrupts nothing, so it needs no budget.

#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

/// A running long-running job of five tasks, one per worker. Its disruption budget is one task.
struct LongRunningCluster : SmallCluster {
    LongRunningCluster()
        : SmallCluster(1, 3, 8, 0)
    {
        submit(0, "work", id, job({ longStep(tasks) }));
        clock.runFor(Millis(3'000));
    }

    void loseCommands(double share)
    {
        for (auto& [worker, model] : workers.workers())
            model.faults.lostCommands = share;
    }

    void crashTwo()
    {
        for (std::uint32_t index : { 0U, 1U })
            workers.crash(checker.workerOf(id, { 0, 0, index }), Millis(60'000));
    }

    [[nodiscard]] std::uint32_t running()
    {
        std::uint32_t count = 0;
        for (std::uint32_t index = 0; index < tasks; ++index)
            count += checker.workerOf(id, { 0, 0, index }).empty() ? 0 : 1;
        return count;
    }

    static constexpr std::uint32_t tasks = 5;
    const std::string id = jobId(1);
};

} // namespace

TEST_CASE("Tasks whose starts and stops were left unanswered run again")
{
    LongRunningCluster cluster;
    REQUIRE(cluster.running() == LongRunningCluster::tasks);
    cluster.loseCommands(1);
    cluster.crashTwo();
    cluster.clock.runFor(Millis(9'000));
    CHECK(cluster.running() == LongRunningCluster::tasks - 2);
    cluster.loseCommands(0);
    cluster.clock.runFor(Millis(3'000));
    CHECK(cluster.running() == LongRunningCluster::tasks);
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("Tasks whose starts and stops were left unanswered run again under the next owner")
{
    LongRunningCluster cluster;
    cluster.loseCommands(1);
    cluster.crashTwo();
    cluster.clock.runFor(Millis(9'000));
    cluster.kill(*cluster.owner());
    cluster.clock.runFor(Millis(500));
    cluster.loseCommands(0);
    cluster.clock.runFor(Millis(10'000));
    CHECK(cluster.running() == LongRunningCluster::tasks);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against stalled tasks that block each other in the same way: each counts as unavailable for the other.
TEST_CASE("Tasks that stall on two workers at once are started again, and become ready once the workers resume")
{
    LongRunningCluster cluster;
    const auto setStalled = [&](bool stalled) {
        for (auto& [worker, model] : cluster.workers.workers())
            model.faults.stalled = stalled && (worker == "i-6" || worker == "i-7");
    };
    setStalled(true);
    cluster.crashTwo();
    cluster.clock.runFor(Millis(5'000));
    const std::uint64_t starts = cluster.checker.starts();
    cluster.clock.runFor(Millis(12'000));
    CHECK(cluster.checker.starts() >= starts + 2);
    setStalled(false);
    cluster.clock.runFor(Millis(15'000));
    CHECK(cluster.running() == LongRunningCluster::tasks);
    CHECK(cluster.checker.breaches().empty());
}

namespace {

/// Runs one job after another on six workers, three of which have the given faults.
struct UnansweredCluster : SmallCluster {
    explicit UnansweredCluster(const model::WorkerFaults& faults)
        : SmallCluster(1, 3, 6, 2)
    {
        workers.runTimes = [](const Attempt&) { return Millis(300); };
        for (std::uint64_t number = 1; number <= jobs; ++number) {
            for (auto& [id, worker] : workers.workers())
                worker.faults = worker.instance < "m-3" ? faults : model::WorkerFaults {};
            submit(0, "work", jobId(number), job({ step(6) }));
            const MonotonicInstant begin = clock.now();
            waitFor(Millis(20'000), [&] { return checker.hasSucceeded(jobId(number)) && shows(jobId(number), JobStatus::Succeeded); });
            m_times.push_back(std::chrono::duration_cast<Millis>(clock.now() - begin));
        }
        std::sort(m_times.begin(), m_times.end());
    }

    /// \returns The time within which a share of the jobs succeeded.
    [[nodiscard]] Millis time(double share) const { return m_times[static_cast<std::size_t>(share * static_cast<double>(jobs - 1))]; }

    static constexpr std::uint64_t jobs = 60;

private:
    std::vector<Millis> m_times;
};

} // namespace

/// Guards against waiting for three calls to time out in a row before a task starts elsewhere.
TEST_CASE("A start that is left unanswered costs its job tenths of a second")
{
    const UnansweredCluster cluster({ .lateCommands = 0.3 });
    CHECK(cluster.time(0.5) <= Millis(700));
    CHECK(cluster.time(0.9) <= Millis(1'500));
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against reading the ends at a worker only after a renewal has timed out, and against starting nothing there meanwhile.
TEST_CASE("A renewal that is left unanswered hides the ends at its worker for tenths of a second")
{
    const UnansweredCluster cluster({ .lostRenewals = 0.3 });
    CHECK(cluster.time(0.5) <= Millis(600));
    CHECK(cluster.time(0.9) <= Millis(1'500));
    CHECK(cluster.checker.breaches().empty());
}
