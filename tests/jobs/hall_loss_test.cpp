/// Loss and return of data halls.
///
/// Guards against slow handling of a power loss: 5 s without power in one data hall cost a third of a day's result. The loss of its
/// workers was noticed one by one, pools requested replacements one by one, and on its return the empty data hall got all tasks.

#include "lanemoor/jobs/policy/failure_domains.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr MonotonicInstant start { Millis(1'000'000) };

/// A detector with answers from two data halls of eight workers each, `a-0` to `b-7`.
struct KnownHalls {
    explicit KnownHalls(const FailureDomainOptions& options = {})
        : detector(options)
    {
        for (int i = 0; i < 8; ++i) {
            detector.noteAnswer("a", name("a", i), start);
            detector.noteAnswer("b", name("b", i), start);
        }
    }

    static std::string name(const std::string& hall, int number) { return hall + '-' + std::to_string(number); }

    void stop(const std::string& hall, int from, int to, MonotonicInstant at, bool hasEnded = false)
    {
        for (int i = from; i < to; ++i)
            detector.noteStop(name(hall, i), hasEnded, at);
    }

    void answer(const std::string& hall, int from, int to, MonotonicInstant at)
    {
        for (int i = from; i < to; ++i)
            detector.noteAnswer(hall, name(hall, i), at);
    }

    HallLossDetector detector;
};

} // namespace

TEST_CASE("A data hall is lost once more than half of its workers stop answering within a second while another one answers")
{
    KnownHalls halls;
    halls.stop("a", 0, 4, start + Millis(100));
    halls.answer("b", 0, 1, start + Millis(150));
    CHECK(halls.detector.update(start + Millis(200)) == HallFindings {});
    CHECK(halls.detector.admits("a-7"));
    halls.stop("a", 4, 5, start + Millis(300));
    const HallFindings found = halls.detector.update(start + Millis(300));
    REQUIRE(found.changes.size() == 1);
    CHECK(found.changes.front() == HallChange { .dataHall = "a", .isLost = true, .workers = 8, .stopped = 5 });
    CHECK_FALSE(halls.detector.admits("a-7"));
    CHECK(halls.detector.admits("b-0"));
    const FailureDomainStatus status = halls.detector.status(start + Millis(300));
    CHECK(status.find("a")->state == FailureDomainState::Lost);
    CHECK(status.find("a")->unresponsive == 5);
    CHECK(status.serves("b"));
}

TEST_CASE("Workers that stop one by one, few workers, and planned ends do not count as the loss of a data hall")
{
    KnownHalls halls;
    for (int i = 0; i < 8; ++i) {
        const MonotonicInstant at = start + Millis(400 * i);
        halls.stop("a", i, i + 1, at);
        halls.answer("b", 0, 1, at + Millis(10));
        CHECK(halls.detector.update(at + Millis(20)).changes.empty());
    }
    KnownHalls planned;
    for (int i = 0; i < 8; ++i)
        planned.detector.removeWorker(KnownHalls::name("a", i));
    planned.answer("b", 0, 1, start + Millis(10));
    CHECK(planned.detector.update(start + Millis(20)).changes.empty());
    HallLossDetector small;
    for (const char* worker : { "x", "y", "z" })
        small.noteAnswer("c", worker, start);
    small.noteAnswer("d", "w", start);
    for (const char* worker : { "x", "y", "z" })
        small.noteStop(worker, true, start + Millis(10));
    small.noteAnswer("d", "w", start + Millis(20));
    CHECK(small.update(start + Millis(30)).changes.empty());
}

/// Guards against an owner that was frozen or partitioned itself and declares all data halls lost.
TEST_CASE("No data hall is lost while no other one answers")
{
    KnownHalls halls;
    halls.stop("a", 0, 8, start + Millis(2'000));
    CHECK(halls.detector.update(start + Millis(2'000)).changes.empty());
    halls.stop("b", 0, 8, start + Millis(2'000));
    CHECK(halls.detector.update(start + Millis(2'000)).changes.empty());
    CHECK(halls.detector.status(start + Millis(2'000)).serves("a"));
}

TEST_CASE("A lost data hall is readmitted in quarters while its workers answer, and then whole")
{
    KnownHalls halls;
    halls.stop("a", 0, 8, start + Millis(100), true);
    halls.answer("b", 0, 1, start + Millis(110));
    REQUIRE(halls.detector.update(start + Millis(120)).changes.size() == 1);
    MonotonicInstant now = start + Millis(2'000);
    CHECK(halls.detector.update(now) == HallFindings {});
    for (int i = 0; i < 8; ++i)
        CHECK_FALSE(halls.detector.noteAnswer("a", KnownHalls::name("new", i), now));
    CHECK(halls.detector.update(now).admitted.size() == 2);
    CHECK(halls.detector.update(now + Millis(200)).admitted.empty());
    CHECK(halls.detector.update(now + Millis(250)).admitted.size() == 2);
    CHECK(halls.detector.update(now + Millis(500)).admitted.size() == 2);
    const HallFindings last = halls.detector.update(now + Millis(750));
    CHECK(last.admitted.size() == 2);
    REQUIRE(last.changes.size() == 1);
    CHECK(last.changes.front() == HallChange { .dataHall = "a", .isLost = false, .workers = 8, .lasted = Millis(2'630) });
    CHECK(halls.detector.noteAnswer("a", "one-more", now + Millis(800)));
}

/// Guards against a data hall that stays lost because its only remaining instances are off and none returns.
TEST_CASE("A data hall of which no worker returns counts as back after a while")
{
    KnownHalls halls;
    halls.stop("a", 0, 8, start + Millis(100), true);
    halls.answer("b", 0, 1, start + Millis(110));
    REQUIRE(halls.detector.update(start + Millis(120)).changes.size() == 1);
    CHECK(halls.detector.update(start + Millis(30'000)).changes.empty());
    CHECK_FALSE(halls.detector.status(start + Millis(30'000)).serves("a"));
    CHECK(halls.detector.update(start + Millis(30'200)).changes.size() == 1);
    CHECK(halls.detector.noteAnswer("a", "new", start + Millis(40'000)));
}

/// Guards against workers whose missing answers are not noticed yet when their data hall is declared lost.
TEST_CASE("Workers of a lost data hall that seem to answer are readmitted only after the missing answers of all others were noticed")
{
    KnownHalls halls;
    halls.stop("a", 0, 5, start + Millis(100));
    halls.answer("b", 0, 1, start + Millis(110));
    REQUIRE(halls.detector.update(start + Millis(120)).changes.size() == 1);
    CHECK(halls.detector.update(start + Millis(1'000)).admitted.empty());
    halls.stop("a", 5, 7, start + Millis(1'000));
    CHECK(halls.detector.update(start + Millis(1'200)).admitted == std::vector<std::string> { "a-7" });
    // Most of the data hall is still gone; it counts as back if no more workers return.
    CHECK(halls.detector.update(start + Millis(1'500)).changes.empty());
    CHECK(halls.detector.update(start + Millis(6'300)).changes.size() == 1);
}

TEST_CASE("A data hall that is lost again during its readmission starts over")
{
    KnownHalls halls;
    halls.stop("a", 0, 8, start + Millis(100));
    halls.answer("b", 0, 1, start + Millis(110));
    REQUIRE(halls.detector.update(start + Millis(120)).changes.size() == 1);
    const MonotonicInstant now = start + Millis(3'000);
    halls.answer("a", 0, 8, now);
    CHECK(halls.detector.update(now).admitted.size() == 2);
    halls.stop("a", 0, 8, now + Millis(100));
    CHECK(halls.detector.update(now + Millis(250)) == HallFindings {});
    halls.answer("a", 0, 8, now + Millis(2'000));
    CHECK(halls.detector.update(now + Millis(2'000)).admitted.size() == 2);
}

TEST_CASE("Without the policy no data hall is lost")
{
    KnownHalls halls({ .enabled = false });
    halls.stop("a", 0, 8, start + Millis(100));
    halls.answer("b", 0, 1, start + Millis(110));
    CHECK(halls.detector.update(start + Millis(120)).changes.empty());
    CHECK(halls.detector.admits("a-0"));
}

TEST_CASE("Evacuations are shown beside what the detector found")
{
    FailureDomainStatus status { .asOf = start, .halls = { { .dataHall = "a", .state = FailureDomainState::Lost, .since = start }, { .dataHall = "b", .workers = 3 } } };
    noteEvacuations(status, { { "a", start + Millis(1) }, { "b", start + Millis(2) }, { "c", start + Millis(3) } });
    CHECK(status.find("a")->state == FailureDomainState::Lost);
    CHECK(*status.find("b") == FailureDomain { .dataHall = "b", .state = FailureDomainState::Evacuating, .since = start + Millis(2), .workers = 3 });
    CHECK(status.find("c")->since == start + Millis(3));
    CHECK_FALSE(status.serves("c"));
    CHECK(status.serves("elsewhere"));
}

namespace {

/// Three data halls of eight instances each, two of the eight in the reserve, with a long-running job and short jobs.
struct ThreeHalls : model::JobCluster {
    explicit ThreeHalls(std::uint64_t seed, bool spreads = false)
        : model::JobCluster(seed, 3)
    {
        Policies policies;
        policies.placement.spreadsOverHalls = spreads;
        setPolicies(policies);
        workers.addReserve("off");
        for (std::size_t i = 0; i < 24; ++i)
            workers.addInstance("m-" + std::to_string(i), i < 18 ? "main" : "off", "r-" + std::to_string(i % 3), { .milliCpu = 8'000, .memoryMb = 16'000 }, "a", std::string("hall-") + static_cast<char>('a' + i % 3));
        configure(smallConfiguration());
        for (std::size_t i = 0; i < entries(); ++i)
            start(i);
        clock.runFor(Millis(1'000));
        submit(0, "work", jobId(1), job({ longStep(6) }));
        runWithShortJobs(Millis(3'000));
    }

    /// Runs the cluster and submits a job every 50 ms.
    void runWithShortJobs(Millis time)
    {
        const MonotonicInstant until = clock.now() + time;
        while (clock.now() < until) {
            submit(submitted % entries(), "work", jobId(100 + submitted), job({ step(4) }));
            ++submitted;
            clock.runFor(Millis(50));
        }
    }

    std::size_t runningIn(const std::string& hall)
    {
        std::size_t running = 0;
        for (const auto& [id, worker] : workers.workers())
            running += worker.alive && worker.entry.dataHall == hall ? worker.running.size() : 0;
        return running;
    }

    /// \returns Whether all jobs but the first have succeeded.
    bool allSucceeded()
    {
        for (std::uint64_t i = 0; i < submitted; ++i) {
            if (status(0, jobId(100 + i)) != JobStatus::Succeeded)
                return false;
        }
        return true;
    }

    std::uint64_t submitted = 0;
};

} // namespace

TEST_CASE("A data hall loses its power and returns: every job ends, and no guarantee is broken")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        ThreeHalls cluster(seed);
        const std::size_t owner = *cluster.owner();
        cluster.workers.losePower("hall-a", Millis(seed % 2 == 0 ? 5'000 : 1'500));
        // The owner may be in the same data hall.
        if (seed > 2)
            cluster.kill(owner, true);
        cluster.runWithShortJobs(Millis(8'000));
        cluster.start(owner);
        cluster.clock.runFor(Millis(15'000));
        CHECK(cluster.allSucceeded());
        CHECK(cluster.status(0, jobId(1)) == JobStatus::Running);
        CHECK(cluster.checker.breaches().empty());
    }
}

/// Guards against an empty data hall that attracts all tasks on its return and loses them again.
TEST_CASE("A data hall with unstable power gets its tasks back in batches")
{
    ThreeHalls cluster(1);
    cluster.workers.losePower("hall-a", Millis(5'000));
    cluster.runWithShortJobs(Millis(4'900));
    REQUIRE(cluster.runningIn("hall-a") == 0);
    // More work than the other data halls have room for.
    cluster.workers.runTimes = [](const Attempt&) { return Millis(2'000); };
    for (std::uint64_t i = 0; i < 5; ++i)
        cluster.submit(0, "work", jobId(10 + i), job({ step(50) }));
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.runningIn("hall-a") > 0; }));
    cluster.clock.runFor(Millis(200));
    std::size_t busy = 0;
    for (const auto& [id, worker] : cluster.workers.workers())
        busy += worker.alive && worker.entry.dataHall == "hall-a" && !worker.running.empty() ? 1 : 0;
    // A quarter of its six instances.
    CHECK(busy <= 2);
    cluster.workers.losePower("hall-a", Millis(1'500));
    cluster.runWithShortJobs(Millis(6'000));
    cluster.clock.runFor(Millis(15'000));
    CHECK(cluster.allSucceeded());
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against a long-running step with all its tasks in one data hall.
TEST_CASE("Tasks of a long-running step are spread over data halls where the loss of one must be survived")
{
    ThreeHalls cluster(1, true);
    std::map<std::string, int> tasks;
    for (std::uint32_t i = 0; i < 6; ++i)
        ++tasks[cluster.workers.find(cluster.checker.workerOf(jobId(1), { 0, 0, i }))->entry.dataHall];
    CHECK(tasks == std::map<std::string, int> { { "hall-a", 2 }, { "hall-b", 2 }, { "hall-c", 2 } });
}
