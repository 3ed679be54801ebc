/// Time until tasks run again after a worker failure, for a worker that restarts under its id and for one under a new id, on a
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
constexpr Millis jobInterval { 100 };
constexpr Millis failureInterval { 1'000 };
constexpr Millis minAbsence { 50 };
constexpr Millis maxAbsence { 2'500 };
constexpr Millis loadTime { 40'000 };
constexpr Millis drainTime { 20'000 }; // Time after the load in which all submitted jobs should end.

/// The id under which a failed worker restarts.
enum class Return {
    SameId,
    NewId,
};

struct Scenario {
    const char* name;
    Return returnMode = Return::SameId;
    Millis takeoverInterval { 0 }; ///< 0: no owner crashes.
};

/// A task that was running on a worker when the worker failed.
struct InterruptedTask {
    std::string job;
    TaskId task;
    std::string instance;
    std::uint64_t incarnation = 0; ///< Incarnation of the failed worker.
    std::optional<MonotonicInstant> backAt; ///< Time from which the instance's next worker is up, taken as its first report.
    std::optional<MonotonicInstant> restartedAt;
};

class Run {
public:
    Run(const Scenario& scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_cluster(seed, 3, instances, 4)
    {
        m_cluster.workers.runTimes = [](const Attempt&) { return Millis(3'000); };
    }

    /// \returns Milliseconds from the first report of each failed worker's successor to the restart of each task; 0 if the task
    /// had already started elsewhere.
    std::vector<double> simulate()
    {
        const MonotonicInstant begin = m_cluster.clock.now();
        while (m_cluster.clock.now() < begin + loadTime + drainTime) {
            const auto passed = std::chrono::duration_cast<Millis>(m_cluster.clock.now() - begin);
            if (passed < loadTime)
                injectDueEvents(passed);
            observe();
            m_cluster.clock.runFor(tick);
        }
        std::vector<double> times;
        for (const InterruptedTask& interrupted : m_interrupted) {
            if (interrupted.backAt && interrupted.restartedAt)
                times.push_back(std::max(0.0, static_cast<double>(std::chrono::duration_cast<Millis>(*interrupted.restartedAt - *interrupted.backAt).count())));
        }
        m_unsettled = m_interrupted.size() - times.size();
        return times;
    }

    [[nodiscard]] std::size_t breaches() const { return m_cluster.checker.breaches().size(); }
    [[nodiscard]] std::size_t unsettled() const noexcept { return m_unsettled; }

private:
    static bool isDue(Millis passed, Millis every) { return every.count() > 0 && passed.count() > 0 && passed.count() % every.count() < tick.count(); }

    void injectDueEvents(Millis passed)
    {
        if (isDue(passed, jobInterval)) {
            ++m_jobs;
            m_cluster.submit(m_jobs % m_cluster.entries(), "work", jobId(m_jobs), job({ step(3) }));
        }
        if (isDue(passed, failureInterval))
            failWorker();
        if (isDue(passed, m_scenario.takeoverInterval)) {
            if (const std::optional<std::size_t> owner = m_cluster.owner()) {
                m_cluster.kill(*owner);
                m_cluster.clock.after(Millis(1'500), [this, index = *owner] { m_cluster.start(index); });
            }
        }
    }

    void failWorker()
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
            m_interrupted.push_back({ .job = attempt.job, .task = attempt.task, .instance = worker.instance, .incarnation = worker.incarnation, .backAt = std::nullopt, .restartedAt = std::nullopt });
        const Millis absence(std::uniform_int_distribution<Millis::rep>(minAbsence.count(), maxAbsence.count())(m_cluster.random));
        const std::string id = worker.entry.id;
        if (m_scenario.returnMode == Return::SameId)
            m_cluster.workers.restart(id, absence);
        else
            m_cluster.workers.crash(id, absence);
    }

    void observe()
    {
        for (InterruptedTask& interrupted : m_interrupted) {
            if (!interrupted.backAt) {
                const model::WorkerModel* worker = m_cluster.workers.workerOn(interrupted.instance);
                if (worker && worker->alive && worker->incarnation != interrupted.incarnation)
                    interrupted.backAt = m_cluster.clock.now();
            }
            if (!interrupted.restartedAt && !m_cluster.checker.workerOf(interrupted.job, interrupted.task).empty())
                interrupted.restartedAt = m_cluster.clock.now();
        }
    }

    const Scenario& m_scenario;
    SmallCluster m_cluster;
    std::vector<InterruptedTask> m_interrupted;
    std::uint64_t m_jobs = 0;
    std::size_t m_unsettled = 0;
};

double percentile(const std::vector<double>& sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(std::floor(share * static_cast<double>(sorted.size() - 1)))];
}

/// \returns The 99th percentile.
double report(bench::Report& table, const Scenario& scenario, std::uint64_t first, std::uint64_t runs)
{
    std::vector<double> times;
    std::size_t breaches = 0;
    std::size_t unsettled = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        Run run(scenario, seed);
        const std::vector<double> one = run.simulate();
        times.insert(times.end(), one.begin(), one.end());
        breaches += run.breaches();
        unsettled += run.unsettled();
    }
    std::sort(times.begin(), times.end());
    const std::string name = scenario.name;
    table.unbounded(name + ": tasks lost", static_cast<double>(times.size()));
    table.unbounded(name + ": p50 ms", percentile(times, 0.5));
    table.unbounded(name + ": p99 ms", percentile(times, 0.99));
    table.bounded(name + ": tasks that never ran again", static_cast<double>(unsettled), 0);
    table.bounded(name + ": promises broken", static_cast<double>(breaches), 0);
    return percentile(times, 0.99);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    const auto number = [&](int index, std::uint64_t fallback) { return argumentCount > index ? std::strtoull(arguments[index], nullptr, 10) : fallback; };
    const std::uint64_t runs = number(1, 20);
    const std::uint64_t first = number(2, 1);
    bench::Report table("From the first report of a worker that is back to the restart of what was lost with it");
    const double sameId = report(table, { .name = "same id", .returnMode = Return::SameId }, first, runs);
    const double newId = report(table, { .name = "new id", .returnMode = Return::NewId }, first, runs);
    const double sameIdTakeovers = report(table, { .name = "same id, owners lost", .returnMode = Return::SameId, .takeoverInterval = Millis(3'700) }, first, runs);
    const double newIdTakeovers = report(table, { .name = "new id, owners lost", .returnMode = Return::NewId, .takeoverInterval = Millis(3'700) }, first, runs);
    table.bounded("p99 of the same id, ms", sameId, newId);
    table.bounded("p99 of the same id, owners lost, ms", sameIdTakeovers, newIdTakeovers);
    return table.missed() > 0 ? 1 : 0;
}
