/// Time from an evacuation request to the last start in the data hall and until the hall is empty, on simulated store and workers.
/// Usage: bench_evacuations [RUNS [FIRST-SEED [SCENARIO]]]

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

constexpr std::size_t instances = 18; // Spread over three data halls round-robin.
constexpr std::size_t reserve = 6; // Instances of the reserve pool.
constexpr Millis tick { 5 };
constexpr Millis jobInterval { 50 };
constexpr Millis warmUp { 5'000 };
constexpr Millis observationTime { 15'000 };
constexpr Millis evacuationBound { 5'000 };
const std::string evacuated = "hall-a";

struct Scenario {
    const char* name;
    Millis answerTime { 4 }; ///< Response time of the store.
    bool crashesOwner = false; ///< The owner crashes at the request.
    Millis partitionTime { 0 }; ///< Time for which the data hall is partitioned from the request on.
    Millis refusalTime { 0 }; ///< Time for which the store refuses to list evacuation requests, from the request on.
};

/// Result of one run, in times from the request.
struct RunResult {
    double lastStart = 0; ///< ms; 0: none started.
    double emptyAfter = 0; ///< ms.
    std::size_t breaches = 0;
};

class Run {
public:
    Run(const Scenario& scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_cluster(seed, 3)
    {
        m_cluster.setEvacuationTime(evacuationBound);
        m_cluster.workers.addReserve("off");
        m_cluster.workers.savesCheckpoints = true;
        for (std::size_t i = 0; i < instances + reserve; ++i)
            m_cluster.workers.addInstance("m-" + std::to_string(i), i < instances ? "main" : "off", "r-" + std::to_string(i % 3), { .milliCpu = 8'000, .memoryMb = 16'000 }, "a", std::string("hall-") + static_cast<char>('a' + i % 3));
        m_cluster.workers.runTimes = [this](const Attempt&) { return Millis(std::uniform_int_distribution<int>(200, 2'500)(m_cluster.random)); };
        m_cluster.configure(smallConfiguration());
        for (std::size_t i = 0; i < m_cluster.entries(); ++i)
            m_cluster.start(i);
        m_cluster.clock.runFor(Millis(1'000));
        for (int i = 0; i < 2; ++i)
            m_cluster.submit(0, "work", jobId(++m_jobs), job({ longStep(6) }));
    }

    RunResult simulate()
    {
        simulateUntil(m_cluster.clock.now() + warmUp, [] {});
        // Operators' requests arrive at a random time between two polls of the owner.
        m_cluster.clock.runFor(Millis(std::uniform_int_distribution<int>(0, 1'000)(m_cluster.random)));
        const MonotonicInstant begin = m_cluster.clock.now();
        injectFaults();
        m_cluster.evacuate(evacuated);
        RunResult result;
        MonotonicInstant lastStart = begin;
        MonotonicInstant busyUntil = begin;
        simulateUntil(begin + observationTime, [&] {
            const std::optional<MonotonicInstant> start = latestStart();
            if (!start)
                return;
            lastStart = std::max(lastStart, *start);
            busyUntil = m_cluster.clock.now();
        });
        result.lastStart = passed(begin, lastStart);
        result.emptyAfter = passed(begin, busyUntil);
        result.breaches = m_cluster.checker.breaches().size();
        return result;
    }

private:
    static double passed(MonotonicInstant from, MonotonicInstant to) { return static_cast<double>(std::chrono::duration_cast<Millis>(to - from).count()); }

    template <typename Observe>
    void simulateUntil(MonotonicInstant end, const Observe& observe)
    {
        while (m_cluster.clock.now() < end) {
            observe();
            if (m_cluster.clock.now() >= m_nextJobAt) {
                m_nextJobAt = m_cluster.clock.now() + jobInterval;
                ++m_jobs;
                m_cluster.submit(m_jobs % m_cluster.entries(), "work", jobId(m_jobs), job({ step(4) }));
            }
            m_cluster.clock.runFor(tick);
        }
    }

    void injectFaults()
    {
        m_cluster.store.faults.answerTime = m_scenario.answerTime;
        if (m_scenario.crashesOwner)
            m_cluster.kill(*m_cluster.owner(), true);
        if (m_scenario.partitionTime.count() > 0) {
            cut(true);
            m_cluster.clock.after(m_scenario.partitionTime, [this] { cut(false); });
        }
        if (m_scenario.refusalTime.count() > 0) {
            m_cluster.store.faults.refusedRanges = m_cluster.documents.evacuationPrefix();
            m_cluster.clock.after(m_scenario.refusalTime, [this] { m_cluster.store.faults.refusedRanges.clear(); });
        }
    }

    void cut(bool isCut)
    {
        for (auto& [id, worker] : m_cluster.workers.workers())
            worker.faults.partitioned = isCut && worker.entry.dataHall == evacuated;
    }

    /// \returns The latest start of an attempt running in the data hall; nullopt if none runs.
    std::optional<MonotonicInstant> latestStart()
    {
        std::optional<MonotonicInstant> latest;
        for (const auto& [id, worker] : m_cluster.workers.workers()) {
            if (!worker.alive || worker.entry.dataHall != evacuated)
                continue;
            for (const auto& [attempt, run] : worker.running)
                latest = std::max(latest.value_or(run.startedAt), run.startedAt);
        }
        return latest;
    }

    const Scenario& m_scenario;
    model::JobCluster m_cluster;
    MonotonicInstant m_nextJobAt;
    std::uint64_t m_jobs = 0;
};

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(std::floor(share * static_cast<double>(values.size() - 1)))];
}

void report(bench::Report& table, const Scenario& scenario, std::uint64_t first, std::uint64_t runs)
{
    std::vector<double> lastStarts;
    std::vector<double> empties;
    std::size_t breaches = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const RunResult result = Run(scenario, seed).simulate();
        lastStarts.push_back(result.lastStart);
        empties.push_back(result.emptyAfter);
        breaches += result.breaches;
    }
    const std::string name = scenario.name;
    table.unbounded(name + ": last start, p50 ms", percentile(lastStarts, 0.5));
    table.unbounded(name + ": last start, p99 ms", percentile(lastStarts, 0.99));
    table.bounded(name + ": last start, latest ms", percentile(lastStarts, 1), static_cast<double>(evacuationBound.count()));
    table.unbounded(name + ": empty, p50 ms", percentile(empties, 0.5));
    table.unbounded(name + ": empty, p99 ms", percentile(empties, 0.99));
    table.bounded(name + ": promises broken", static_cast<double>(breaches), 0);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    const auto number = [&](int index, std::uint64_t fallback) { return argumentCount > index ? std::strtoull(arguments[index], nullptr, 10) : fallback; };
    const std::uint64_t runs = number(1, 20);
    const std::uint64_t first = number(2, 1);
    bench::Report table("From the request to evacuate a data hall to its last start, and until it is empty");
    const std::string only = argumentCount > 3 ? arguments[3] : "";
    for (const Scenario& scenario : { Scenario { .name = "quiet" }, Scenario { .name = "store slow", .answerTime = Millis(240) }, Scenario { .name = "owner lost", .crashesOwner = true }, Scenario { .name = "hall cut off for 3 s", .partitionTime = Millis(3'000) },
             Scenario { .name = "lists refused for 8 s", .refusalTime = Millis(8'000) } }) {
        if (only.empty() || only == scenario.name)
            report(table, scenario, first, runs);
    }
    return table.missed() > 0 ? 1 : 0;
}
