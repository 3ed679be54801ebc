/// Guards against workers with unreported faults that attract tasks: an unresponsive worker appears empty, and starts sent to it wait
/// until their leases expire, 5 s and more.

#include "standins/model/job_cluster.h"
#include "support.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

/// Twenty instances in five racks, and a job of 24 short tasks every 100 ms, so that half of the pool is busy.
struct BusyPool : model::JobCluster {
    explicit BusyPool(bool isHealthEnabled = true)
        : model::JobCluster(1, entryCount)
    {
        Policies policies;
        policies.workerHealth.enabled = isHealthEnabled;
        setPolicies(policies);
        for (int i = 0; i < 20; ++i)
            workers.addInstance("m-" + std::to_string(i), "main", "r-" + std::to_string(i / 4), { .milliCpu = 8'000, .memoryMb = 16'000 });
        workers.runTimes = [this](const Attempt&) { return Millis(std::uniform_int_distribution<int>(200, 500)(random)); };
        ServiceConfiguration configuration = smallConfiguration();
        configuration.pools = { { .name = "main" } };
        configure(configuration);
        for (std::size_t i = 0; i < entryCount; ++i)
            start(i);
        clock.runFor(Millis(1'000));
        runWithJobs(Millis(2'000));
        m_times.clear();
    }

    /// Sets the faults of one in `each` workers, and clears those of the others.
    void setFaults(const model::WorkerFaults& faults, int each = 5)
    {
        int number = 0;
        for (auto& [id, worker] : workers.workers())
            worker.faults = number++ % each == 0 ? faults : model::WorkerFaults {};
    }

    void runWithJobs(Millis time)
    {
        const MonotonicInstant end = clock.now() + time;
        while (clock.now() < end) {
            const MonotonicInstant next = clock.now() + Millis(100);
            m_unfinished.emplace(jobId(++m_jobs), clock.now());
            submit(1, "work", jobId(m_jobs), job({ step(tasks) }));
            while (clock.now() < next)
                clock.runFor(Millis(5));
            noteFinishedJobs();
        }
    }

    /// Waits for the running jobs.
    void awaitJobs(Millis time)
    {
        const MonotonicInstant end = clock.now() + time;
        while (clock.now() < end && !m_unfinished.empty()) {
            clock.runFor(Millis(100));
            noteFinishedJobs();
        }
        std::sort(m_times.begin(), m_times.end());
    }

    /// \returns The quantile `share` of the jobs' durations.
    [[nodiscard]] Millis durationQuantile(double share) const { return m_times.at(static_cast<std::size_t>(share * static_cast<double>(m_times.size() - 1))); }

    /// \returns The number of jobs that took longer than `time`.
    [[nodiscard]] std::size_t jobsSlowerThan(Millis time) const
    {
        return static_cast<std::size_t>(std::count_if(m_times.begin(), m_times.end(), [&](Millis each) { return each > time; }));
    }

    [[nodiscard]] std::size_t unfinished() const { return m_unfinished.size(); }

    static constexpr std::size_t entryCount = 3;
    std::uint32_t tasks = 24;

private:
    void noteFinishedJobs()
    {
        std::erase_if(m_unfinished, [&](const auto& open) {
            if (status(1, open.first) != JobStatus::Succeeded)
                return false;
            m_times.push_back(std::chrono::duration_cast<Millis>(clock.now() - open.second));
            return true;
        });
    }

    std::uint64_t m_jobs = 0;
    std::map<std::string, MonotonicInstant> m_unfinished;
    std::vector<Millis> m_times;
};

/// \returns The number of workers that the owner has ejected or is probing.
std::size_t ejectedAt(model::JobCluster& cluster)
{
    const std::vector<WorkerReport> workers = cluster.entry(cluster.owner().value()).workers().workers;
    return static_cast<std::size_t>(std::count_if(workers.begin(), workers.end(), [](const WorkerReport& worker) { return worker.health.ejected || worker.health.probing; }));
}

std::uint64_t ejections(model::JobCluster& cluster)
{
    return cluster.entry(cluster.owner().value()).schedulerCounts().ejections;
}

} // namespace

TEST_CASE("No worker is ejected or distrusted while all are healthy")
{
    BusyPool pool;
    pool.runWithJobs(Millis(10'000));
    pool.awaitJobs(Millis(5'000));
    CHECK(ejections(pool) == 0);
    CHECK(pool.durationQuantile(1) <= Millis(800));
}

/// Guards against sending tasks to an unresponsive worker until its renewal times out.
TEST_CASE("Unresponsive workers delay the jobs that ran there and hardly any other")
{
    for (const model::WorkerFaults& faults : { model::WorkerFaults { .partitioned = true }, model::WorkerFaults { .lostAnswers = 1, .lostRenewals = 1 }, model::WorkerFaults { .lostCommands = 1 } }) {
        BusyPool pool;
        // A start is overdue after 100 ms at the earliest: two jobs are submitted by then.
        const std::size_t affected = pool.unfinished() + 2;
        pool.setFaults(faults);
        pool.runWithJobs(Millis(6'000));
        pool.setFaults({});
        pool.runWithJobs(Millis(4'000));
        pool.awaitJobs(Millis(20'000));
        CHECK(pool.unfinished() == 0);
        CHECK(pool.jobsSlowerThan(Millis(1'500)) <= affected);
        CHECK(pool.checker.breaches().empty());
    }
}

/// Guards against a burst that fills idle workers that have not answered for a second.
TEST_CASE("A burst avoids idle workers that have stopped answering")
{
    BusyPool pool;
    pool.awaitJobs(Millis(3'000));
    pool.clock.runFor(Millis(2'000));
    pool.setFaults({ .partitioned = true });
    pool.clock.runFor(Millis(1'300));
    pool.runWithJobs(Millis(4'000));
    pool.awaitJobs(Millis(4'000));
    CHECK(pool.jobsSlowerThan(Millis(1'500)) == 0);
    CHECK(pool.unfinished() == 0);
}

/// Guards against waiting without limit for the response to a stop.
TEST_CASE("A start that never arrived is abandoned at a worker that answers renewals and never a command")
{
    BusyPool pool;
    pool.setFaults({ .lostCommands = 1 });
    pool.runWithJobs(Millis(1'000));
    pool.awaitJobs(Millis(12'000));
    CHECK(pool.unfinished() == 0);
    CHECK(pool.checker.breaches().empty());
}

/// Guards against ejecting most of a pool of which many workers appear unhealthy.
TEST_CASE("If a third of a pool fails all its tasks, a fifth of the pool is ejected")
{
    BusyPool pool;
    pool.setFaults({ .failing = 1 }, 3);
    for (int i = 0; i < 20; ++i) {
        pool.runWithJobs(Millis(200));
        CHECK(ejectedAt(pool) <= 4);
    }
    CHECK(ejectedAt(pool) == 4);
    pool.setFaults({});
    pool.awaitJobs(Millis(20'000));
    pool.runWithJobs(Millis(20'000));
    CHECK(ejectedAt(pool) == 0);
    CHECK(pool.checker.breaches().empty());
}

TEST_CASE("A worker that is 8 times slower is ejected and its peers are not")
{
    BusyPool pool;
    pool.setFaults({ .slowdown = 8 }, 20);
    pool.runWithJobs(Millis(8'000));
    const std::vector<WorkerReport> workers = pool.entry(pool.owner().value()).workers().workers;
    for (const WorkerReport& worker : workers) {
        INFO(worker.worker);
        CHECK((worker.health.ejected || worker.health.probing) == (pool.workers.find(worker.worker)->faults.slowdown > 1));
    }
    CHECK(pool.checker.breaches().empty());
}

TEST_CASE("A new owner ejects failing workers again after a crash of the previous one, and no guarantee is violated")
{
    BusyPool pool;
    pool.setFaults({ .lostCommands = 1 });
    pool.runWithJobs(Millis(2'000));
    REQUIRE(ejectedAt(pool) > 0);
    const std::size_t lost = pool.owner().value();
    pool.kill(lost);
    pool.clock.runFor(Millis(3'000));
    pool.start(lost);
    pool.runWithJobs(Millis(3'000));
    CHECK(ejections(pool) > 0);
    pool.setFaults({});
    pool.awaitJobs(Millis(20'000));
    CHECK(pool.unfinished() == 0);
    CHECK(pool.checker.breaches().empty());
}

/// Guards against ejecting the workers that a poison task crashes, and against no longer counting the task's crashes because its
/// workers were ejected.
TEST_CASE("A poison task ejects no worker, and fails after as many crashes with failing workers in the pool")
{
    for (const bool hasFailingWorkers : { false, true }) {
        BusyPool pool;
        if (hasFailingWorkers)
            pool.setFaults({ .lostCommands = 1 }, 7);
        const std::string poison = jobId(9'999);
        int crashes = 0;
        pool.workers.crashesWorker = [&](const Attempt& attempt) {
            crashes += attempt.job == poison ? 1 : 0;
            return attempt.job == poison;
        };
        pool.submit(1, "work", poison, job({ step(1) }));
        pool.runWithJobs(Millis(15'000));
        // Its first start may be lost at a failing worker, where its lease expires after 7 s.
        pool.awaitJobs(Millis(20'000));
        CHECK(pool.waitFor(Millis(10'000), [&] { return pool.status(1, poison) == JobStatus::Failed; }));
        CHECK(crashes == 3);
        if (!hasFailingWorkers)
            CHECK(ejections(pool) == 0);
        pool.setFaults({});
        pool.awaitJobs(Millis(20'000));
        CHECK(pool.unfinished() == 0);
        CHECK(pool.checker.breaches().empty());
    }
}

namespace {

constexpr std::uint64_t firstHopelessJob = 9'000;

/// Submits a job of which each task fails on every worker. Large enough for several of its tasks on each worker.
std::string submitHopelessJob(BusyPool& pool, std::uint64_t number)
{
    std::string id = jobId(firstHopelessJob + number);
    pool.workers.failsEverywhere = [](const Attempt& attempt) { return attempt.job >= jobId(firstHopelessJob); };
    pool.submit(1, "work", id, job({ step(80) }));
    return id;
}

/// \returns How long it takes until the worker is ejected.
Millis timeToEjection(BusyPool& pool, const std::string& worker, bool hasHopelessJobs)
{
    const MonotonicInstant begin = pool.clock.now();
    std::uint64_t hopelessJobs = 0;
    const auto isEjected = [&] {
        const std::vector<WorkerReport> workers = pool.entry(pool.owner().value()).workers().workers;
        return std::any_of(workers.begin(), workers.end(), [&](const WorkerReport& report) { return report.worker == worker && (report.health.ejected || report.health.probing); });
    };
    while (!isEjected() && pool.clock.now() - begin < Millis(10'000)) {
        if (hasHopelessJobs)
            submitHopelessJob(pool, hopelessJobs++);
        pool.runWithJobs(Millis(100));
    }
    return std::chrono::duration_cast<Millis>(pool.clock.now() - begin);
}

} // namespace

/// Guards against a pool without a worker in service: the failures of hopeless jobs counted against every worker that they ran on, and each
/// probe was a task of such a job.
TEST_CASE("Jobs that fail everywhere keep no worker out of service, and a sound job starts at once")
{
    for (const bool isHealthEnabled : { false, true }) {
        CAPTURE(isHealthEnabled);
        BusyPool pool(isHealthEnabled);
        pool.awaitJobs(Millis(5'000));
        std::vector<std::string> hopeless;
        std::size_t maxEjected = 0;
        for (std::uint64_t i = 0; i < 60; ++i) {
            if (i % 15 == 0) {
                hopeless.push_back(submitHopelessJob(pool, 2 * i));
                hopeless.push_back(submitHopelessJob(pool, 2 * i + 1));
            }
            pool.clock.runFor(Millis(100));
            maxEjected = std::max(maxEjected, ejectedAt(pool));
        }
        CHECK(maxEjected <= 4);
        CHECK(ejectedAt(pool) == 0);
        const std::string sound = jobId(1'000);
        pool.submit(1, "work", sound, job({ step(1) }));
        CHECK(pool.waitFor(Millis(3'000), [&] { return !pool.checker.workerOf(sound, {}).empty(); }));
        pool.clock.runFor(Millis(1'000));
        CHECK(pool.status(1, sound) == JobStatus::Succeeded);
        CHECK(std::all_of(hopeless.begin(), hopeless.end(), [&](const std::string& id) { return pool.status(1, id) == JobStatus::Failed; }));
        CHECK(pool.checker.breaches().empty());
    }
}

/// Guards against hopeless jobs that hide a faulty worker.
TEST_CASE("A worker that fails all its tasks is ejected as fast beside jobs that fail everywhere")
{
    for (const bool isHealthEnabled : { false, true }) {
        CAPTURE(isHealthEnabled);
        std::array<Millis, 2> times {};
        for (const bool hasHopelessJobs : { false, true }) {
            BusyPool pool(isHealthEnabled);
            const std::string faulty = pool.workers.workers().begin()->first;
            pool.workers.find(faulty)->faults = { .failing = 1 };
            times.at(hasHopelessJobs ? 1 : 0) = timeToEjection(pool, faulty, hasHopelessJobs);
        }
        CHECK(times[0] <= Millis(2'000));
        CHECK(times[1] <= times[0]);
    }
}

/// Guards against a pool without a worker in service where health scores are off.
TEST_CASE("Ejections are limited while only task failures are scored")
{
    BusyPool pool(false);
    pool.setFaults({ .failing = 1 }, 3);
    for (int i = 0; i < 20; ++i) {
        pool.runWithJobs(Millis(200));
        CHECK(ejectedAt(pool) <= 4);
    }
    CHECK(ejectedAt(pool) > 0);
}
