/// Time from an evacuation request to the last start in the data hall and until the hall is empty, on simulated store and workers.
/// Usage: bench_evacuations [RUNS [FIRST-SEED [DAY]]]

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
constexpr Millis betweenJobs { 50 };
constexpr Millis warmUp { 5'000 };
constexpr Millis longestWatch { 15'000 };
constexpr Millis evacuationBound { 5'000 };
const std::string evacuated = "hall-a";

struct Day {
    const char* name;
    Millis answerTime { 4 }; ///< Response time of the store.
    bool losesOwner = false; ///< The owner crashes at the request.
    Millis cutFor { 0 }; ///< Time for which the data hall is partitioned from the request on.
    Millis refusesFor { 0 }; ///< Time for which the store refuses to list evacuation requests, from the request on.
};

/// Result of one run, in times from the request.
struct Measured {
    double lastStart = 0; ///< ms; 0: none started.
    double emptyAfter = 0; ///< ms.
    std::size_t breaches = 0;
};

class Run {
public:
    Run(const Day& day, std::uint64_t seed)
        : m_day(day)
        , m_cluster(seed, 3)
    {
        m_cluster.setEvacuationTime(evacuationBound);
        m_cluster.workers.addReserve("off");
        m_cluster.workers.saves = true;
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

    Measured play()
    {
        playUntil(m_cluster.clock.now() + warmUp, [] {});
        // Operators' requests arrive at a random time between two polls of the owner.
        m_cluster.clock.runFor(Millis(std::uniform_int_distribution<int>(0, 1'000)(m_cluster.random)));
        const MonotonicInstant begin = m_cluster.clock.now();
        disturb();
        m_cluster.evacuate(evacuated);
        Measured measured;
        MonotonicInstant lastStart = begin;
        MonotonicInstant busyUntil = begin;
        playUntil(begin + longestWatch, [&] {
            const std::optional<MonotonicInstant> start = latestStart();
            if (!start)
                return;
            lastStart = std::max(lastStart, *start);
            busyUntil = m_cluster.clock.now();
        });
        measured.lastStart = passed(begin, lastStart);
        measured.emptyAfter = passed(begin, busyUntil);
        measured.breaches = m_cluster.witness.breaches().size();
        return measured;
    }

private:
    static double passed(MonotonicInstant from, MonotonicInstant to) { return static_cast<double>(std::chrono::duration_cast<Millis>(to - from).count()); }

    template <typename Observe>
    void playUntil(MonotonicInstant end, const Observe& observe)
    {
        while (m_cluster.clock.now() < end) {
            observe();
            if (m_cluster.clock.now() >= m_nextJobAt) {
                m_nextJobAt = m_cluster.clock.now() + betweenJobs;
                ++m_jobs;
                m_cluster.submit(m_jobs % m_cluster.entries(), "work", jobId(m_jobs), job({ step(4) }));
            }
            m_cluster.clock.runFor(tick);
        }
    }

    void disturb()
    {
        m_cluster.store.trouble.answerTime = m_day.answerTime;
        if (m_day.losesOwner)
            m_cluster.kill(*m_cluster.owner(), true);
        if (m_day.cutFor.count() > 0) {
            cut(true);
            m_cluster.clock.after(m_day.cutFor, [this] { cut(false); });
        }
        if (m_day.refusesFor.count() > 0) {
            m_cluster.store.trouble.refusedRanges = m_cluster.documents.evacuationPrefix();
            m_cluster.clock.after(m_day.refusesFor, [this] { m_cluster.store.trouble.refusedRanges.clear(); });
        }
    }

    void cut(bool isCut)
    {
        for (auto& [id, worker] : m_cluster.workers.workers())
            worker.trouble.cutOff = isCut && worker.entry.dataHall == evacuated;
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

    const Day& m_day;
    model::JobCluster m_cluster;
    MonotonicInstant m_nextJobAt;
    std::uint64_t m_jobs = 0;
};

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(std::floor(share * static_cast<double>(values.size() - 1)))];
}

void report(bench::Report& table, const Day& day, std::uint64_t first, std::uint64_t runs)
{
    std::vector<double> lastStarts;
    std::vector<double> empties;
    std::size_t breaches = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const Measured measured = Run(day, seed).play();
        lastStarts.push_back(measured.lastStart);
        empties.push_back(measured.emptyAfter);
        breaches += measured.breaches;
    }
    const std::string name = day.name;
    table.told(name + ": last start, p50 ms", percentile(lastStarts, 0.5));
    table.told(name + ": last start, p99 ms", percentile(lastStarts, 0.99));
    table.bounded(name + ": last start, latest ms", percentile(lastStarts, 1), static_cast<double>(evacuationBound.count()));
    table.told(name + ": empty, p50 ms", percentile(empties, 0.5));
    table.told(name + ": empty, p99 ms", percentile(empties, 0.99));
    table.bounded(name + ": promises broken", static_cast<double>(breaches), 0);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    const auto number = [&](int index, std::uint64_t otherwise) { return argumentCount > index ? std::strtoull(arguments[index], nullptr, 10) : otherwise; };
    const std::uint64_t runs = number(1, 20);
    const std::uint64_t first = number(2, 1);
    bench::Report table("From the request to evacuate a data hall to its last start, and until it is empty");
    const std::string only = argumentCount > 3 ? arguments[3] : "";
    for (const Day& day : { Day { .name = "quiet" }, Day { .name = "store slow", .answerTime = Millis(240) }, Day { .name = "owner lost", .losesOwner = true }, Day { .name = "hall cut off for 3 s", .cutFor = Millis(3'000) },
             Day { .name = "lists refused for 8 s", .refusesFor = Millis(8'000) } }) {
        if (only.empty() || only == day.name)
            report(table, day, first, runs);
    }
    return table.missed() > 0 ? 1 : 0;
}
