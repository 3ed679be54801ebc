#include "cases.h"
#include "observation.h"

#include <algorithm>
#include <numeric>

namespace lanemoor::review {

namespace {

constexpr unsigned soundJobs = 20;
constexpr unsigned machinesToFault = 2; // "a tenth of the machines in use (two at least)"
constexpr unsigned endsToFault = 3;
constexpr std::chrono::seconds observed { 40 };
constexpr std::uint64_t mostCount = 4'294'967'295;
constexpr std::uint64_t manyTimes = 2'147'483'648;

[[nodiscard]] bool hasFault(const Cluster& cluster)
{
    const std::vector<unsigned> ends = cluster.ends();
    return std::count_if(ends.begin(), ends.end(), [](unsigned count) { return count >= endsToFault; }) >= machinesToFault;
}

/// 2^33 tasks, 2^31 times. A job with 20,001 tasks gets 400.
Json countlessJob()
{
    Json job = jobOf({ { "ms", 200 } }, { { "count", mostCount }, { "cpu", 500 } });
    job["steps"].push_back({ { "count", mostCount }, { "cpu", 500 } });
    job["steps"].push_back({ { "count", 2 }, { "cpu", 500 } });
    job["times"] = manyTimes;
    return job;
}

} // namespace

Verdict playCountlessTasks(const CaseInput& input)
{
    Cluster cluster(input.options, input.record);
    if (!cluster.start(configurationOf(5, true)) || !runSoundJobs(cluster, soundJobs))
        return Verdict::NotRun;
    cluster.submit(0, "qa", idOf(0xf0), jobOf({ { "ms", 200 } }, { { "count", 20'001 }, { "cpu", 500 } }));
    // Within 3 s with the job below, so that its share is below 0.05 in that span too.
    if (!submitSoundJobs(cluster, 0x2000, soundJobs, Millis(50)))
        return Verdict::NotRun;
    if (input.hasTrouble)
        cluster.submit(1, "qa", idOf(0xf1), countlessJob());
    cluster.submit(2, "qa", idOf(0xa1), soundJob());
    const auto until = std::chrono::steady_clock::now() + observed;
    while (std::chrono::steady_clock::now() < until) {
        pause(Millis(20));
        cluster.tend();
    }
    const std::vector<unsigned> ends = cluster.ends();
    const std::vector<Json> events = cluster.events();
    Observation::write(events, input.record);
    input.record.line("ends of processes, with no disruption there: " + std::to_string(std::accumulate(ends.begin(), ends.end(), 0U)));
    input.record.line("job " + idOf(0xa1) + ": shown as '" + cluster.stateOf("qa", idOf(0xa1)) + "', starts " + std::to_string(Observation(events).startsOf(idOf(0xa1))));
    return hasFault(cluster) ? Verdict::Broken : Verdict::Held;
}

} // namespace lanemoor::review
