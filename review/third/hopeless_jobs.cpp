#include "cases.h"
#include "observation.h"

namespace lanemoor::review {

namespace {

constexpr unsigned soundJobs = 40; // Beside each two hopeless ones, within the same 3 s: a share of 0.048.
constexpr Millis gap { 25 };
constexpr Millis untilProbed { 3'000 }; // The workers are back on probation 2 s after the first ejection.
constexpr Millis calmTime { 4'500 }; // Above `contact_ms` and the 4 s before a span of LOST.

/// Each run of its tasks fails, so the job fails once a task has failed `max_attempts` times.
Json hopelessJob()
{
    return jobOf({ { "ms", 100 }, { "fails", true } }, { { "count", 24 }, { "cpu", 2'000 }, { "est_ms", 200 } });
}

/// One service with eight workers, and no spare machines.
Json oneService()
{
    Json configuration = configurationOf(5, false);
    configuration["routes"].erase(1);
    configuration["services"].erase(1);
    return configuration;
}

} // namespace

Verdict playHopelessJobs(const CaseInput& input)
{
    ClusterOptions options = input.options;
    options.instances = 16; // Eight of the service, eight that the configuration does not name.
    Cluster cluster(options, input.record);
    if (!cluster.start(oneService()) || !submitSoundJobs(cluster, 0x1000, soundJobs, gap))
        return Verdict::NotRun;
    if (input.hasTrouble) {
        cluster.submit(0, "qa", idOf(0xf1), hopelessJob());
        cluster.submit(1, "qa", idOf(0xf2), hopelessJob());
    }
    pause(untilProbed);
    if (input.hasTrouble) {
        cluster.submit(2, "qa", idOf(0xf3), hopelessJob());
        cluster.submit(0, "qa", idOf(0xf4), hopelessJob());
    }
    if (!submitSoundJobs(cluster, 0x2000, soundJobs, gap))
        return Verdict::NotRun;
    pause(calmTime);
    const std::string last = idOf(0xa1);
    if (cluster.submit(2, "qa", last, soundJob()).status != 200)
        return Verdict::NotRun;
    const std::vector<Json> events = cluster.events();
    const bool isLost = isForgotten(cluster, input.record, "qa", last, Observation(events).upIn("alpha"));
    for (const std::uint64_t id : { 0xf1, 0xf2, 0xf3, 0xf4 })
        input.record.line("job " + idOf(id) + ": " + cluster.stateOf("qa", idOf(id)));
    return isLost ? Verdict::Broken : Verdict::Held;
}

} // namespace lanemoor::review
