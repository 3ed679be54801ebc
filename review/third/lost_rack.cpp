#include "cases.h"
#include "observation.h"

namespace lanemoor::review {

namespace {

constexpr Millis calmTime { 10'000 }; // Above the time until the lost workers' entries go, `contact_ms`, and the 4 s before a span of LOST.
constexpr std::int64_t taskMs = 20'000;

} // namespace

Verdict playLostRack(const CaseInput& input)
{
    Cluster cluster(input.options, input.record);
    if (!cluster.start(configurationOf(5, false)))
        return Verdict::NotRun;
    if (input.hasTrouble) {
        for (const char* machine : { "m-0", "m-1" }) // All workers of one rack, 2 of 12; they don't come back.
            cluster.crash(machine);
    }
    pause(calmTime);
    const std::string id = idOf(0xa1);
    if (cluster.submit(1, "qa", id, jobOf({ { "ms", taskMs } }, { { "count", 1 }, { "cpu", 500 }, { "est_ms", taskMs }, { "affinity", "hall-0-rack-0" } })).status != 200)
        return Verdict::NotRun;
    const std::vector<Json> events = cluster.events();
    const bool isLost = isForgotten(cluster, input.record, "qa", id, Observation(events).upIn("alpha"));
    return isLost ? Verdict::Broken : Verdict::Held;
}

} // namespace lanemoor::review
