/// Time until tasks run again after a worker failure, for a worker that restarts under its id against one under a new id, on
/// simulated store and workers. Usage: bench_restarted_workers [RUNS [FIRST-SEED]]

#include "../tests/jobs/support.h"
#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr std::size_t instances = 24;
constexpr Millis tick { 5 };
constexpr Millis betweenJobs { 100 };
constexpr Millis betweenLosses { 1'000 };
constexpr Millis minAbsence { 50 };
constexpr Millis maxAbsence { 2'500 };
constexpr Millis dayLength { 40'000 };
constexpr Millis dayEnd { 20'000 }; // Time after the load in which all submitted jobs should end.

/// The id under which a failed worker restarts.
enum class Return {
    SameId,
    NewId,
};

struct Day {
    const char* name;
    Return lostWorkers = Return::SameId;
    Millis betweenTakeovers { 0 }; ///< 0: no owner crashes.
};

/// A task that was running on a worker when the worker failed.
struct LostTask {
    std::string job;
    TaskId task;
    std::string instance;
    std::uint64_t life = 0; ///< Incarnation of the failed worker.
    std::optional<MonotonicInstant> backAt; ///< Time of the first report of the instance's next worker.
    std::optional<MonotonicInstant> restartedAt;
};

class Run {
public:
    Run(const Day& day, std::uint64_t seed)
        : m_day(day)
        , m_cluster(seed, 3, instances, 4)
    {
        m_cluster.workers.runTimes = [](const Attempt&) { return Millis(3'000); };
    }

    /// \returns Milliseconds from the first report of each failed worker's successor to the restart of each task; 0 if the task
    /// had already started elsewhere.
    std::vector<double> play()
    {
        const MonotonicInstant begin = m_cluster.clock.now();
        while (m_cluster.clock.now() < begin + dayLength + dayEnd) {
            const auto passed = std::chrono::duration_cast<Millis>(m_cluster.clock.now() - begin);
            if (passed < dayLength)
                act(passed);
            observe();
            m_cluster.clock.runFor(tick);
        }
        std::vector<double> times;
        for (const LostTask& lost : m_lost) {
            if (lost.backAt && lost.restartedAt)
                times.push_back(std::max(0.0, static_cast<double>(std::chrono::duration_cast<Millis>(*lost.restartedAt - *lost.backAt).count())));
        }
        m_unsettled = m_lost.size() - times.size();
        return times;
    }

    [[nodiscard]] std::size_t breaches() const { return m_cluster.witness.breaches().size(); }
    [[nodiscard]] std::size_t unsettled() const noexcept { return m_unsettled; }

private:
    static bool isDue(Millis passed, Millis every) { return every.count() > 0 && passed.count() > 0 && passed.count() % every.count() < tick.count(); }

    void act(Millis passed)
    {
        if (isDue(passed, betweenJobs)) {
            ++m_jobs;
            m_cluster.submit(m_jobs % m_cluster.entries(), "work", jobId(m_jobs), job({ step(3) }));
        }
        if (isDue(passed, betweenLosses))
            loseWorker();
        if (isDue(passed, m_day.betweenTakeovers)) {
            if (const std::optional<std::size_t> owner = m_cluster.owner()) {
                m_cluster.kill(*owner);
                m_cluster.clock.after(Millis(1'500), [this, index = *owner] { m_cluster.start(index); });
            }
        }
    }

    void loseWorker()
    {
        std::vector<const model::WorkerModel*> busy;
        for (const auto& [id, worker] : m_cluster.workers.workers()) {
            if (worker.alive && !worker.running.empty())
                busy.push_back(&worker);
        }
        if (busy.empty())
            return;
        const model::WorkerModel& worker = *busy[std::uniform_int_distribution<std::size_t>(0, busy.size() - 1)(m_cluster.random)];
        for (const auto& [attempt, run] : worker.running)
            m_lost.push_back({ .job = attempt.job, .task = attempt.task, .instance = worker.instance, .life = worker.life, .backAt = std::nullopt, .restartedAt = std::nullopt });
        const Millis absence(std::uniform_int_distribution<Millis::rep>(minAbsence.count(), maxAbsence.count())(m_cluster.random));
        const std::string id = worker.entry.id;
        if (m_day.lostWorkers == Return::SameId)
            m_cluster.workers.restart(id, absence);
        else
            m_cluster.workers.crash(id, absence);
    }

    void observe()
    {
        for (LostTask& lost : m_lost) {
            if (!lost.backAt) {
                const model::WorkerModel* worker = m_cluster.workers.on(lost.instance);
                if (worker && worker->alive && worker->life != lost.life)
                    lost.backAt = m_cluster.clock.now();
            }
            if (!lost.restartedAt && !m_cluster.witness.workerOf(lost.job, lost.task).empty())
                lost.restartedAt = m_cluster.clock.now();
        }
    }

    const Day& m_day;
    SmallCluster m_cluster;
    std::vector<LostTask> m_lost;
    std::uint64_t m_jobs = 0;
    std::size_t m_unsettled = 0;
};

double percentile(const std::vector<double>& sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(std::floor(share * static_cast<double>(sorted.size() - 1)))];
}

/// \returns The 99th percentile.
double report(bench::Report& table, const Day& day, std::uint64_t first, std::uint64_t runs)
{
    std::vector<double> times;
    std::size_t breaches = 0;
    std::size_t unsettled = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        Run run(day, seed);
        const std::vector<double> one = run.play();
        times.insert(times.end(), one.begin(), one.end());
        breaches += run.breaches();
        unsettled += run.unsettled();
    }
    std::sort(times.begin(), times.end());
    const std::string name = day.name;
    table.told(name + ": tasks lost", static_cast<double>(times.size()));
    table.told(name + ": p50 ms", percentile(times, 0.5));
    table.told(name + ": p99 ms", percentile(times, 0.99));
    table.bounded(name + ": tasks that never ran again", static_cast<double>(unsettled), 0);
    table.bounded(name + ": promises broken", static_cast<double>(breaches), 0);
    return percentile(times, 0.99);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    const auto number = [&](int index, std::uint64_t otherwise) { return argumentCount > index ? std::strtoull(arguments[index], nullptr, 10) : otherwise; };
    const std::uint64_t runs = number(1, 20);
    const std::uint64_t first = number(2, 1);
    bench::Report table("From the first report of a worker that is back to the restart of what was lost with it");
    const double sameId = report(table, { .name = "same id", .lostWorkers = Return::SameId }, first, runs);
    const double newId = report(table, { .name = "new id", .lostWorkers = Return::NewId }, first, runs);
    const double sameIdLost = report(table, { .name = "same id, owners lost", .lostWorkers = Return::SameId, .betweenTakeovers = Millis(3'700) }, first, runs);
    const double newIdLost = report(table, { .name = "new id, owners lost", .lostWorkers = Return::NewId, .betweenTakeovers = Millis(3'700) }, first, runs);
    table.bounded("p99 of the same id, ms", sameId, newId);
    table.bounded("p99 of the same id, owners lost, ms", sameIdLost, newIdLost);
    return table.missed() > 0 ? 1 : 0;
}
