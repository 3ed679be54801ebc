/// A worker that is back under its id carries out delayed calls that were sent to its previous incarnation: the platform does not distinguish
/// them.

#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

/// Worker i-1, whose calls are delayed, and further workers.
struct DelayedCallCluster : SmallCluster {
    explicit DelayedCallCluster(std::size_t instances, Millis runTime)
        : SmallCluster(1, 1, instances, 0)
    {
        workers.runTimes = [runTime](const Attempt&) { return runTime; };
    }

    [[nodiscard]] model::WorkerModel& worker(const std::string& id) { return *workers.find(id); }

    void delayCommands(Millis lateBy)
    {
        worker("i-1").faults.lateCommands = lateBy > Millis(0) ? 1 : 0;
        worker("i-1").faults.lateBy = lateBy;
    }

    /// Delays the next renewal of i-1, which a response to the pending one brings about.
    void delayNextRenewal(Millis lateBy)
    {
        worker("i-1").faults.lateRenewals = 1;
        worker("i-1").faults.lateBy = lateBy;
        clock.runFor(longPoll + Millis(20));
        worker("i-1").faults.lateRenewals = 0;
    }

    /// Submits a job of one task, of which i-2 accepts nothing.
    void submitToFirst(const std::string& id)
    {
        worker("i-2").faults.refusing = true;
        submit(0, "work", id, job({ step(1) }));
        clock.runFor(Millis(300));
        worker("i-2").faults.refusing = false;
    }

    /// \returns The worker that runs the task of a job of one task; empty: none.
    [[nodiscard]] std::string workerOfTask(const std::string& id) const { return checker.workerOf(id, { 0, 0, 0 }); }

    void checkGuarantees() const
    {
        for (const model::Breach& breach : checker.breaches())
            FAIL_CHECK(breach.rule << ' ' << breach.detail);
    }

    static constexpr Millis longPoll { 1'000 };
};

} // namespace

/// Guards against a task that runs twice: its worker was proved to have ended, and a delayed start began it again under the same id.
TEST_CASE("A delayed start does not begin at a later incarnation of a worker that was proved to have ended")
{
    DelayedCallCluster cluster(2, Millis(9'000));
    cluster.delayCommands(Millis(5'000));
    cluster.submitToFirst(jobId(1));
    cluster.workers.restart("i-1", Millis(3'000));
    cluster.clock.runFor(Millis(3'000));
    REQUIRE(cluster.workerOfTask(jobId(1)) == "i-2");
    cluster.clock.runFor(Millis(3'000));
    CHECK(cluster.worker("i-1").running.empty());
    cluster.clock.runFor(Millis(9'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Succeeded));
    CHECK(cluster.checker.starts() == 1);
    cluster.checkGuarantees();
}

/// Guards against a task that runs twice: the stop of an unacknowledged start was carried out by one incarnation, and the start by the next one.
TEST_CASE("A delayed start does not begin at the incarnation after the one that was ordered to stop it")
{
    DelayedCallCluster cluster(2, Millis(9'000));
    cluster.delayCommands(Millis(5'500));
    cluster.submitToFirst(jobId(1));
    cluster.workers.restart("i-1", Millis(50));
    cluster.clock.runFor(Millis(1'500));
    REQUIRE(cluster.checker.starts() == 1);
    const std::string second = cluster.workerOfTask(jobId(1));
    REQUIRE(!second.empty());
    cluster.workers.restart("i-1", Millis(50));
    cluster.clock.runFor(Millis(16'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Succeeded));
    CHECK(cluster.checker.starts() == (second == "i-1" ? 2 : 1));
    cluster.checkGuarantees();
}

/// Guards against ends that are lost unread, so that their tasks run again.
TEST_CASE("A delayed renewal does not discard unread ends of a later incarnation")
{
    DelayedCallCluster cluster(1, Millis(200));
    for (std::uint64_t i = 1; i <= 5; ++i) {
        cluster.submit(0, "work", jobId(i), job({ step(8) }));
        cluster.clock.runFor(Millis(500));
    }
    REQUIRE(cluster.shows(jobId(5), JobStatus::Succeeded));
    cluster.delayNextRenewal(Millis(4'000));
    cluster.workers.restart("i-1", Millis(50));
    cluster.clock.runFor(Millis(1'000));
    const std::uint64_t startsBefore = cluster.checker.starts();
    cluster.workers.runTimes = [](const Attempt&) { return Millis(1'600); };
    cluster.submit(0, "work", jobId(6), job({ step(8) }));
    cluster.clock.runFor(Millis(500));
    REQUIRE(cluster.checker.starts() - startsBefore == 8);
    // The tasks end before the delayed renewal is carried out, and no report arrives in between.
    cluster.worker("i-1").faults.lostRenewals = 1;
    cluster.clock.runFor(Millis(2'500));
    cluster.worker("i-1").faults = {};
    cluster.clock.runFor(Millis(4'000));
    CHECK(cluster.shows(jobId(6), JobStatus::Succeeded));
    CHECK(cluster.checker.starts() - startsBefore == 8);
    cluster.checkGuarantees();
}

/// Guards against a lease of a later incarnation that outlasts its expiry as known to the owner.
TEST_CASE("A delayed renewal with a time on the previous clock lets no task run twice")
{
    DelayedCallCluster cluster(2, Millis(20'000));
    cluster.delayNextRenewal(Millis(4'900));
    cluster.workers.restart("i-1", Millis(50));
    cluster.clock.runFor(Millis(1'000));
    cluster.submitToFirst(jobId(1));
    REQUIRE(cluster.workerOfTask(jobId(1)) == "i-1");
    cluster.clock.runFor(Millis(2'000));
    cluster.worker("i-1").faults.partitioned = true;
    cluster.clock.runFor(Millis(45'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Succeeded));
    cluster.checkGuarantees();
}

/// Guards against a delayed stop that settles or stops a later attempt of its task.
TEST_CASE("Delayed stops do not affect later attempts of their tasks at the next incarnation")
{
    DelayedCallCluster cluster(1, Millis(8'000));
    cluster.delayCommands(Millis(5'000));
    cluster.submit(0, "work", jobId(1), job({ step(4) }));
    cluster.clock.runFor(Millis(1'000));
    cluster.workers.restart("i-1", Millis(50));
    cluster.clock.runFor(Millis(2'000));
    REQUIRE(cluster.checker.starts() == 4);
    cluster.clock.runFor(Millis(10'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Succeeded));
    CHECK(cluster.checker.starts() == 4);
    cluster.checkGuarantees();
}

/// Guards against a lease on the clock of the previous incarnation that is compared with the clock of the next one: the tasks of an
/// unresponsive worker counted as running for a quarter of an hour.
TEST_CASE("Tasks of a restarted worker start elsewhere if it is partitioned before its incarnation is known")
{
    DelayedCallCluster cluster(2, Millis(6'000));
    cluster.submitToFirst(jobId(1));
    REQUIRE(cluster.workerOfTask(jobId(1)) == "i-1");
    cluster.workers.onEntry = [](const model::WorkerModel&) {};
    cluster.worker("i-1").faults.lostRenewals = 1;
    cluster.workers.restart("i-1", Millis(10));
    cluster.clock.runFor(Millis(20));
    cluster.worker("i-1").faults.lostRenewals = 1;
    cluster.submitToFirst(jobId(2));
    REQUIRE(cluster.workerOfTask(jobId(2)) == "i-1");
    cluster.worker("i-1").faults = { .partitioned = true };
    cluster.clock.runFor(Millis(30'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Succeeded));
    CHECK(cluster.shows(jobId(2), JobStatus::Succeeded));
    cluster.checkGuarantees();
}

/// Guards against a lease that the next incarnation applies to its own clock and that the owner takes for expired too early.
TEST_CASE("A start with a time on the previous clock lets no task run twice if the worker is partitioned before its incarnation is known")
{
    DelayedCallCluster cluster(2, Millis(20'000));
    cluster.workers.onEntry = [](const model::WorkerModel&) {};
    cluster.workers.restart("i-1", Millis(10));
    cluster.clock.runFor(Millis(20));
    cluster.worker("i-1").faults = { .lostAnswers = 1, .lostRenewals = 1 };
    cluster.submitToFirst(jobId(1));
    REQUIRE(cluster.workerOfTask(jobId(1)) == "i-1");
    cluster.clock.runFor(Millis(60'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Succeeded));
    cluster.checkGuarantees();
}

/// Guards against a lost worker whose tasks all wait for the longest lease of another incarnation.
TEST_CASE("At a worker that stops responding only unconfirmed starts wait for the longest lease of a later incarnation")
{
    DelayedCallCluster cluster(2, Millis(30'000));
    cluster.submitToFirst(jobId(1));
    REQUIRE(cluster.workerOfTask(jobId(1)) == "i-1");
    cluster.clock.runFor(Millis(1'500));
    cluster.worker("i-1").faults = { .lostAnswers = 1, .lostRenewals = 1 };
    cluster.submitToFirst(jobId(2));
    REQUIRE(cluster.workerOfTask(jobId(2)) == "i-1");
    cluster.worker("i-1").faults = { .partitioned = true };
    CHECK(cluster.waitFor(Millis(7'000), [&] { return cluster.workerOfTask(jobId(1)) == "i-2"; }));
    CHECK(cluster.waitFor(Millis(14'000), [&] { return cluster.workerOfTask(jobId(2)) == "i-2"; }));
    cluster.checkGuarantees();
}

/// Guards against an attempt that stays reserved without end: its start was never carried out, and no incarnation answers its stop.
TEST_CASE("A task whose start and stop stay unanswered over a restart runs elsewhere")
{
    for (const bool isStartAnswered : { false, true }) {
        CAPTURE(isStartAnswered);
        DelayedCallCluster cluster(2, Millis(1'000));
        cluster.worker("i-1").faults.lostCommands = isStartAnswered ? 0 : 1;
        cluster.worker("i-2").faults.refusing = true;
        cluster.submit(0, "work", jobId(1), job({ step(1) }));
        REQUIRE(cluster.waitFor(Millis(500), [&] { return !isStartAnswered || cluster.workerOfTask(jobId(1)) == "i-1"; }));
        cluster.clock.runFor(Millis(isStartAnswered ? 5 : 300));
        cluster.worker("i-2").faults.refusing = false;
        cluster.workers.onEntry = [&cluster, write = cluster.workers.onEntry](const model::WorkerModel& restarted) {
            cluster.worker(restarted.entry.id).faults.lostCommands = 1;
            cluster.worker(restarted.entry.id).clockBehind = Millis(0);
            write(restarted);
        };
        cluster.workers.restart("i-1", Millis(50));
        cluster.clock.runFor(Millis(20'000)); // Two starts at i-1, each of which can take effect for 7 s.
        CHECK(cluster.shows(jobId(1), JobStatus::Succeeded));
        cluster.checkGuarantees();
    }
}
