/// Crash accounting of poison tasks: orders of events that crash_accounting_test.cpp does not force.

#include "lanemoor/jobs/model/job_state.h"
#include "lanemoor/jobs/policy/crash_attribution.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr std::uint32_t maxCrashesAllowed = 5; // The platform's rule, independent of the product's own limits.
constexpr Millis beforeAnswer { 0 };
constexpr Millis afterAnswer { 10 };
constexpr Millis soonAfterStart { 4 }; // The answer has arrived by then.

struct PoisonCluster : SmallCluster {
    explicit PoisonCluster(StepSpec poisonStep = step(1), std::size_t instances = 8, std::uint64_t seed = 1)
        : SmallCluster(seed, 3, instances, 2, 1)
    {
        workers.crashesWorker = [this](const Attempt& attempt) {
            if (attempt.job != poison || attempt.task != task)
                return false;
            ++starts;
            worker = checker.workerOf(poison, task);
            workers.crashesWorkerAfter = crashesAfter ? crashesAfter() : afterAnswer;
            return !onStarted || onStarted();
        };
        workers.runTimes = [](const Attempt& attempt) { return Millis(attempt.job == poison ? 60'000 : 500); };
        submit(owner().value(), "work", poison, job({ std::move(poisonStep) }));
    }

    void replaceOwner()
    {
        const std::optional<std::size_t> index = owner();
        if (!index)
            return;
        kill(*index);
        clock.after(Millis(1'000), [this, index = *index] { start(index); });
    }

    [[nodiscard]] std::uint32_t crashes() const { return checker.workersCrashedBy(poison, task); }

    void checkGuarantee()
    {
        CHECK(checker.breaches().empty());
        CHECK(crashes() <= maxCrashesAllowed);
    }

    inline static const std::string poison = jobId(1);
    inline static const TaskId task { 0, 0, 0 };
    std::uint32_t starts = 0;
    std::string worker; ///< Where the task started last.
    std::function<Millis()> crashesAfter;
    std::function<bool()> onStarted; ///< \returns Whether the model crashes the worker.
};

} // namespace

// Guards against a liveness check that is outdated once the start is stored, so that no crash before the answer is confirmed.
TEST_CASE("A poison task that crashes workers before the answer fails in time though the store answers slowly")
{
    for (const Millis answerTime : { Millis(20), Millis(45), Millis(60), Millis(120) }) {
        CAPTURE(answerTime.count());
        PoisonCluster cluster;
        cluster.store.faults.answerTime = answerTime;
        cluster.crashesAfter = [] { return beforeAnswer; };
        cluster.clock.runFor(Millis(60'000));
        cluster.checkGuarantee();
    }
}

// Guards against an expired lease of an old attempt that clears the crashes recorded by the previous owner.
TEST_CASE("The end of an attempt that is older than the recorded crashes does not clear them after a change of owner")
{
    PoisonCluster cluster;
    std::string partitioned;
    cluster.onStarted = [&cluster, &partitioned] {
        if (cluster.starts > 1)
            return true;
        partitioned = cluster.worker;
        cluster.clock.after(soonAfterStart, [&cluster, worker = partitioned] { cluster.workers.find(worker)->faults.partitioned = true; });
        return false;
    };
    const std::uint32_t recorded = GENERATE(2U, 3U);
    const Millis pause = GENERATE(Millis(100), Millis(1'000), Millis(1'700));
    CAPTURE(recorded, pause.count());
    REQUIRE(cluster.waitFor(Millis(40'000), [&] { return cluster.crashes() >= recorded; }));
    // The crash is attributed and stored by now.
    cluster.clock.runFor(pause);
    cluster.replaceOwner();
    cluster.clock.runFor(Millis(100));
    cluster.workers.find(partitioned)->faults.partitioned = false;
    cluster.clock.runFor(Millis(60'000));
    cluster.checkGuarantee();
}

// Guards against a new owner that treats unrecorded starts within their probation as survived.
TEST_CASE("A poison task fails in time though several owners are lost between a start and its crash")
{
    for (const std::set<std::uint32_t>& lost : { std::set<std::uint32_t> { 1, 2 }, std::set<std::uint32_t> { 1, 2, 3 }, std::set<std::uint32_t> { 1, 3 } }) {
        CAPTURE(lost.size(), *lost.rbegin());
        // Large enough to keep the probation at its maximum despite a crash.
        PoisonCluster cluster(step(1), 48);
        cluster.crashesAfter = [] { return Millis(700); };
        cluster.onStarted = [&cluster, &lost] {
            if (lost.contains(cluster.starts))
                cluster.clock.after(soonAfterStart, [&cluster] { cluster.replaceOwner(); });
            return true;
        };
        cluster.clock.runFor(Millis(90'000));
        cluster.checkGuarantee();
    }
}

// Guards against a gang whose poison member never has a confirmed crash.
TEST_CASE("A gang with a poison member fails in time")
{
    for (const Millis delay : { afterAnswer, beforeAnswer }) {
        CAPTURE(delay.count());
        StepSpec gang = step(3);
        gang.gang = true;
        gang.maxPerInstance = 1;
        PoisonCluster cluster(gang);
        cluster.crashesAfter = [delay] { return delay; };
        cluster.clock.runFor(Millis(90'000));
        CHECK(cluster.starts > 0);
        cluster.checkGuarantee();
    }
}

// Guards against an announced end that hides a crash before the answer.
TEST_CASE("A crash before the answer counts though its worker has just announced its end")
{
    for (const std::uint32_t announced : { 1U, 2U, 3U, 6U }) {
        CAPTURE(announced);
        PoisonCluster cluster;
        cluster.crashesAfter = [] { return beforeAnswer; };
        cluster.onStarted = [&cluster, announced] {
            if (cluster.starts <= announced)
                cluster.workers.leave(cluster.worker, true, Millis(5'000));
            return true;
        };
        cluster.clock.runFor(Millis(60'000));
        cluster.checkGuarantee();
    }
}

// Guards against declaring a live worker ended because one instance list omitted its instance.
TEST_CASE("A partitioned worker whose instance a list omits runs its task alone until its lease ends")
{
    SmallCluster cluster;
    const std::string id = jobId(1);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(60'000); };
    cluster.submit(0, "work", id, job({ step(1) }));
    cluster.clock.runFor(Millis(4'000));
    const std::string worker = cluster.checker.workerOf(id, { 0, 0, 0 });
    REQUIRE(!worker.empty());
    cluster.workers.hidden.insert(cluster.workers.find(worker)->instance);
    cluster.clock.runFor(Millis(1'500));
    cluster.workers.find(worker)->faults.partitioned = true;
    cluster.clock.runFor(Millis(10'000));
    for (const auto& breach : cluster.checker.breaches())
        UNSCOPED_INFO(breach.rule + ' ' + breach.detail);
    CHECK(cluster.checker.breaches().empty());
}

// Guards against first starts of an inherited job that keep a suspect away from every worker.
TEST_CASE("A suspect finds a worker beside a large job, whether or not that job was inherited")
{
    for (const bool inherited : { false, true }) {
        CAPTURE(inherited);
        PoisonCluster cluster;
        StepSpec many = step(2'000);
        many.maxPerInstance = 3;
        cluster.submit(cluster.owner().value(), "work", jobId(2), job({ many }));
        MonotonicInstant survivedAt {};
        cluster.onStarted = [&cluster, &survivedAt] {
            if (cluster.starts <= 2)
                return true;
            survivedAt = cluster.clock.now();
            return false;
        };
        REQUIRE(cluster.waitFor(Millis(20'000), [&] { return cluster.crashes() == 2; }));
        // The crash is attributed and stored by now.
        cluster.clock.runFor(Millis(1'000));
        if (inherited)
            cluster.replaceOwner();
        // The platform counts a task as lost if it has no running attempt for three seconds while there is room.
        CHECK(cluster.waitFor(Millis(10'000), [&] { return survivedAt != MonotonicInstant {}; }));
        CHECK(cluster.checker.breaches().empty());
    }
}

// Guards against an old attempt's end that clears later crashes, since the record does not show which attempts crashed.
TEST_CASE("A record of crashes shows a new owner that an older attempt's end does not clear them")
{
    const std::string id = jobId(1);
    const TaskId task { 0, 0, 0 };
    const auto record = std::make_shared<JobRecord>();
    record->spec = job({ step(1) });
    JobState former(id, record, {}, 0);
    former.openOccurrences({});
    for (std::uint64_t number = 1; number <= 3; ++number) {
        former.begin(task, number, "w-" + std::to_string(number), {});
        if (number > 1)
            former.noteCrash({ id, task, number }, true);
        former.drop({ id, task, number }, {});
    }
    JobState next(id, record, former.progress(), 4'096);
    next.openOccurrences({});
    REQUIRE(next.find(task)->crashes.total() == 2);
    next.noteAttemptSurvived({ id, task, 1 });
    CHECK(next.find(task)->crashes.total() == 2);
}
