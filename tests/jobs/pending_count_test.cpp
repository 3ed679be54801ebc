/// Guards against waiting jobs that are missing from the count of a queue: a job counted as begun from the first start that was tried,
/// although its worker had refused the start, and a caller saw no backlog while no job could begin.

#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr std::uint64_t jobCount = 10;
constexpr Millis visibleAfter { 5'300 }; // A count may be 2 s old, and reads a job's status up to 3 s late.

/// Jobs on workers with a fault.
struct WaitingCluster : SmallCluster {
    explicit WaitingCluster(const model::WorkerFaults& faults)
        : SmallCluster(1, 4)
    {
        setCores(3, 0.12); // Keeps no replica of the jobs.
        kill(3);
        start(3);
        clock.runFor(Millis(1'000));
        workers.onEntry = [this, write = workers.onEntry](const model::WorkerModel& worker) {
            workers.find(worker.entry.id)->faults = m_faults;
            write(worker);
        };
        setFaults(faults);
        for (std::uint64_t number = 1; number <= jobCount; ++number)
            submit(number % 3, "work", jobId(number), job({ step(1) }));
    }

    /// Also of workers that start later.
    void setFaults(const model::WorkerFaults& faults)
    {
        m_faults = faults;
        for (auto& [id, worker] : workers.workers())
            worker.faults = faults;
    }

    /// Checks that all instances agree on the number of waiting jobs, and on their status.
    void checkWaiting(std::uint64_t expected)
    {
        for (std::size_t i = 0; i < entries(); ++i) {
            if (!isUp(i))
                continue;
            CHECK(pending(i, "work") == expected);
            for (std::uint64_t number = 1; number <= jobCount; ++number)
                CHECK(shows(jobId(number), expected == jobCount ? JobStatus::Queued : JobStatus::Succeeded, i));
        }
    }

private:
    model::WorkerFaults m_faults;
};

} // namespace

TEST_CASE("Jobs whose starts are refused count as waiting at every instance")
{
    WaitingCluster cluster({ .refusing = true });
    cluster.clock.runFor(visibleAfter);
    CHECK(cluster.checker.starts() == 0);
    cluster.checkWaiting(jobCount);
    cluster.setFaults({});
    cluster.clock.runFor(visibleAfter);
    cluster.checkWaiting(0);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against starts whose outcome is unknown being taken for begun.
TEST_CASE("Jobs whose starts are left unanswered and not executed count as waiting")
{
    WaitingCluster cluster({ .lostCommands = 1 });
    cluster.clock.runFor(visibleAfter);
    CHECK(cluster.checker.starts() == 0);
    cluster.checkWaiting(jobCount);
}

/// Guards against a new owner that takes planned starts for begun ones.
TEST_CASE("Jobs whose starts are refused still count as waiting after a change of owner")
{
    WaitingCluster cluster({ .refusing = true });
    cluster.clock.runFor(Millis(2'000));
    cluster.kill(cluster.owner().value());
    cluster.clock.runFor(Millis(15'000));
    CHECK(cluster.owner().has_value());
    cluster.checkWaiting(jobCount);
}

/// Guards against jobs that count as waiting although the worker that began them left the start unanswered.
TEST_CASE("Jobs whose starts are executed without an answer do not count as waiting")
{
    WaitingCluster cluster({ .lostAnswers = 1 });
    cluster.workers.runTimes = [](const Attempt&) { return Millis(60'000); };
    cluster.clock.runFor(visibleAfter);
    CHECK(cluster.checker.starts() == jobCount);
    for (std::size_t i = 0; i < cluster.entries(); ++i) {
        CHECK(cluster.pending(i, "work") == 0U);
        CHECK(cluster.shows(jobId(1), JobStatus::Running, i));
    }
}

/// Guards against the cost of a second record: the confirmation of a start joins the next write, and adds none of its own to most jobs.
TEST_CASE("A job that runs takes few writes of its progress")
{
    SmallCluster cluster;
    cluster.workers.runTimes = [](const Attempt&) { return Millis(400); };
    std::uint64_t writes = 0;
    for (std::uint64_t number = 1; number <= jobCount; ++number) {
        cluster.submit(0, "work", jobId(number), job({ step(1) }));
        std::uint64_t revision = 0;
        for (int i = 0; i < 1'500; ++i) {
            cluster.clock.runFor(Millis(1));
            const StoreItem* progress = cluster.store.find(progressKey(jobId(number)));
            writes += progress && progress->revision != revision ? 1 : 0;
            revision = progress ? progress->revision : 0;
        }
        CHECK(cluster.shows(jobId(number), JobStatus::Succeeded));
    }
    CHECK(writes <= 2 * jobCount);
}
