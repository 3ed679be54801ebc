/// Cost of poison tasks to all other tasks, by the handling of worker crashes, on simulated store and workers.
/// Usage: bench_lost_workers [RUNS [FIRST-SEED [SCENARIO]]]

#include "../tests/jobs/support.h"
#include "report.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr std::size_t instances = 24;
constexpr std::uint64_t longJobs = 4;
constexpr std::uint32_t longTasks = 5;
constexpr std::uint64_t firstLong = 500'000;
constexpr std::uint64_t firstPoisonJob = 700'000;
constexpr Millis tick { 20 };
constexpr Millis jobInterval { 100 };
constexpr Millis loadTime { 30'000 };
constexpr Millis drainTime { 15'000 }; // Time after the load in which all submitted jobs should end.

/// Faults of a scenario, beside its load.
struct Scenario {
    const char* name;
    Millis poisonInterval { 0 }; ///< Interval between jobs with a poison task; 0 for none.
    Millis takeoverInterval { 0 };
    Millis crashInterval { 0 }; ///< Interval between independent worker crashes.
};

/// A policy for poison tasks.
struct CrashPolicy {
    const char* name;
    CrashOptions options;
};

struct Outcome {
    double workersCrashed = 0; ///< Workers crashed per poison task.
    double innocentFailed = 0; ///< Jobs without a poison task that failed.
    double latency = 0; ///< Mean of the short jobs, ms; jobs that don't end count with the rest of the run.
    double latencyWorst = 0; ///< Mean of the worst twentieth, ms.
    double longTaskDowntime = 0; ///< Seconds of long-running tasks without a worker.
    double breaches = 0;
};

class Run {
public:
    Run(const Scenario& scenario, const CrashPolicy& policy, std::uint64_t seed)
        : m_scenario(scenario)
        , m_cluster(seed, 3, 0, 0)
    {
        Policies policies;
        policies.crashes = policy.options;
        for (std::size_t i = 0; i < m_cluster.entries(); ++i)
            m_cluster.kill(i);
        m_cluster.setPolicies(policies);
        for (std::size_t i = 0; i < instances + 4; ++i)
            m_cluster.workers.addInstance("m-" + std::to_string(i), i < instances ? "main" : "off", "r-" + std::to_string(i / 4), { .milliCpu = 8'000, .memoryMb = 16'000 });
        m_cluster.workers.runTimes = [](const Attempt&) { return Millis(600); };
        m_cluster.workers.crashesWorker = [](const Attempt& attempt) { return attempt.job >= jobId(firstPoisonJob) && attempt.task == TaskId { 0, 0, 0 }; };
        for (std::size_t i = 0; i < m_cluster.entries(); ++i)
            m_cluster.start(i);
        m_cluster.clock.runFor(Millis(2'000));
        StepSpec lasting = longStep(longTasks);
        lasting.maxPerInstance = 0;
        for (std::uint64_t i = 0; i < longJobs; ++i)
            m_cluster.submit(0, "work", jobId(firstLong + i), job({ lasting }));
        m_cluster.clock.runFor(Millis(2'000));
    }

    Outcome simulate()
    {
        const MonotonicInstant begin = m_cluster.clock.now();
        while (m_cluster.clock.now() < begin + loadTime + drainTime) {
            const auto passed = std::chrono::duration_cast<Millis>(m_cluster.clock.now() - begin);
            if (passed < loadTime)
                applyLoad(passed);
            observe(passed);
            m_cluster.clock.runFor(tick);
        }
        return outcome(std::chrono::duration_cast<Millis>(m_cluster.clock.now() - begin));
    }

private:
    static bool isDue(Millis passed, Millis every) { return every.count() > 0 && passed.count() > 0 && passed.count() % every.count() < tick.count(); }

    std::size_t anyEntry() { return std::uniform_int_distribution<std::size_t>(0, m_cluster.entries() - 1)(m_cluster.random); }

    void applyLoad(Millis passed)
    {
        if (isDue(passed, jobInterval)) {
            m_open.emplace_back(++m_quick, passed);
            m_cluster.submit(anyEntry(), "work", jobId(m_quick), job({ step(4), step(4, { 0 }) }));
        }
        if (isDue(passed, m_scenario.poisonInterval))
            m_cluster.submit(anyEntry(), "work", jobId(firstPoisonJob + m_poisonJobs++), job({ step(3) }));
        if (isDue(passed, m_scenario.takeoverInterval)) {
            if (const std::optional<std::size_t> owner = m_cluster.owner()) {
                m_cluster.kill(*owner);
                m_cluster.clock.after(Millis(1'500), [this, index = *owner] { m_cluster.start(index); });
            }
        }
        if (isDue(passed, m_scenario.crashInterval))
            crash();
    }

    void crash()
    {
        std::vector<std::string> alive;
        for (const auto& [id, worker] : m_cluster.workers.workers()) {
            if (worker.alive)
                alive.push_back(id);
        }
        if (!alive.empty())
            m_cluster.workers.crash(alive[std::uniform_int_distribution<std::size_t>(0, alive.size() - 1)(m_cluster.random)], Millis(2'500));
    }

    void observe(Millis passed)
    {
        std::erase_if(m_open, [&](const auto& job) {
            if (!m_cluster.accepted().contains(jobId(job.first)) || !m_cluster.checker.hasSucceeded(jobId(job.first)))
                return false;
            m_latencies.push_back(static_cast<double>((passed - job.second).count()));
            return true;
        });
        for (std::uint64_t i = 0; i < longJobs; ++i) {
            for (std::uint32_t task = 0; task < longTasks; ++task)
                m_downtime += m_cluster.checker.workerOf(jobId(firstLong + i), { 0, 0, task }).empty() ? tick : Millis(0);
        }
    }

    Outcome outcome(Millis length)
    {
        Outcome result;
        for (std::uint64_t i = 0; i < m_poisonJobs; ++i)
            result.workersCrashed += m_cluster.checker.workersCrashedBy(jobId(firstPoisonJob + i), { 0, 0, 0 }) / static_cast<double>(m_poisonJobs);
        for (const std::string& id : m_cluster.accepted())
            result.innocentFailed += id < jobId(firstPoisonJob) && m_cluster.status(0, id) == JobStatus::Failed ? 1 : 0;
        for (const auto& [number, at] : m_open)
            m_latencies.push_back(static_cast<double>((length - at).count()));
        std::sort(m_latencies.begin(), m_latencies.end());
        const std::size_t worst = m_latencies.size() - m_latencies.size() / 20;
        for (std::size_t i = 0; i < m_latencies.size(); ++i) {
            result.latency += m_latencies[i] / static_cast<double>(m_latencies.size());
            if (i >= worst)
                result.latencyWorst += m_latencies[i] / static_cast<double>(m_latencies.size() - worst);
        }
        result.longTaskDowntime = std::chrono::duration<double>(m_downtime).count();
        result.breaches = static_cast<double>(m_cluster.checker.breaches().size());
        return result;
    }

    const Scenario& m_scenario;
    SmallCluster m_cluster;
    std::vector<std::pair<std::uint64_t, Millis>> m_open; ///< Short jobs that have not ended, with their submission times.
    std::vector<double> m_latencies;
    std::uint64_t m_quick = 0;
    std::uint64_t m_poisonJobs = 0;
    Millis m_downtime { 0 };
};

Outcome mean(const Scenario& scenario, const CrashPolicy& policy, std::uint64_t first, std::uint64_t runs)
{
    Outcome sum;
    const auto share = [runs](double figure) { return figure / static_cast<double>(runs); };
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const Outcome one = Run(scenario, policy, seed).simulate();
        sum.workersCrashed += share(one.workersCrashed);
        sum.innocentFailed += one.innocentFailed;
        sum.latency += share(one.latency);
        sum.latencyWorst += share(one.latencyWorst);
        sum.longTaskDowntime += share(one.longTaskDowntime);
        sum.breaches += one.breaches;
    }
    return sum;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    const auto number = [&](int index, std::uint64_t fallback) { return argumentCount > index ? std::strtoull(arguments[index], nullptr, 10) : fallback; };
    const std::uint64_t runs = number(1, 20);
    const std::uint64_t first = number(2, 1);
    const std::vector<Scenario> scenarios {
        { .name = "calm" },
        { .name = "ending tasks", .poisonInterval = Millis(6'000) },
        { .name = "ending tasks, owners lost", .poisonInterval = Millis(6'000), .takeoverInterval = Millis(3'700) },
        { .name = "many ending tasks", .poisonInterval = Millis(1'500) },
        { .name = "workers that end by themselves", .crashInterval = Millis(400) },
        { .name = "both", .poisonInterval = Millis(6'000), .crashInterval = Millis(400) },
        { .name = "both, owners lost", .poisonInterval = Millis(6'000), .takeoverInterval = Millis(3'700), .crashInterval = Millis(700) },
    };
    const std::vector<CrashPolicy> crashPolicies {
        { "counted only, after 2", { .isolatesSuspects = false, .crashesToFail = 2 } },
        { "counted only, after 3", { .isolatesSuspects = false, .crashesToFail = 3 } },
        { "kept apart, after 2", { .isolatesSuspects = true, .crashesToFail = 2 } },
        { "kept apart, after 3", {} },
    };
    bench::Report report("Tasks that end their workers");
    for (const Scenario& scenario : scenarios) {
        if (argumentCount > 3 && std::string(arguments[3]) != scenario.name)
            continue;
        std::printf("\n%-32s %10s %10s %10s %10s %10s %10s\n", scenario.name, "ended", "innocent", "mean ms", "worst ms", "away s", "breaches");
        for (const CrashPolicy& policy : crashPolicies) {
            const Outcome outcome = mean(scenario, policy, first, runs);
            std::printf("  %-30s %10.2f %10.0f %10.0f %10.0f %10.1f %10.0f\n", policy.name, outcome.workersCrashed, outcome.innocentFailed, outcome.latency, outcome.latencyWorst, outcome.longTaskDowntime, outcome.breaches);
            if (&policy != &crashPolicies.back())
                continue;
            report.bounded(std::string(scenario.name) + ": promises broken", outcome.breaches, 0);
            report.bounded(std::string(scenario.name) + ": innocent jobs given up", outcome.innocentFailed, 0);
            report.bounded(std::string(scenario.name) + ": workers ended by each such task", outcome.workersCrashed, maxCrashes + 1e-9);
        }
    }
    return report.missed() > 0 ? 1 : 0;
}
