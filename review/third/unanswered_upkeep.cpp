#include "answer_loss.h"
#include "cases.h"
#include "observation.h"

namespace lanemoor::review {

namespace {

constexpr std::chrono::seconds waveTime { 26 };
constexpr Millis calmTime { 5'000 }; // Above `contact_ms`, and the 4 s before a span of LOST.
const std::string rack = "hall-0-rack-0";

/// Needs the rack, and an eighth of one of its machines.
Json jobNearRack()
{
    return jobOf({ { "ms", 200 } }, { { "count", 1 }, { "cpu", 500 }, { "est_ms", 200 }, { "constraints", rack } });
}

bool awaitWave(Cluster& cluster)
{
    const auto deadline = std::chrono::steady_clock::now() + waveTime;
    while (std::chrono::steady_clock::now() < deadline) {
        const Json status = cluster.value("status/wave/1");
        if (status.is_object() && status.value("state", "") == "succeeded")
            return true;
        pause(Millis(200));
    }
    return false;
}

} // namespace

Verdict playUnansweredUpkeep(const CaseInput& input)
{
    Cluster cluster(input.options, input.record);
    AnswerLoss& proxy = *new AnswerLoss(cluster.fleet(), input.hasTrouble, input.record); // Its threads end with this program.
    cluster.fleetProxy = proxy.endpoint();
    if (!cluster.start(configurationOf(5, false)))
        return Verdict::NotRun;
    const std::string before = idOf(0xa0);
    cluster.submit(0, "qa", before, jobNearRack());
    pause(Millis(2'000));
    if (cluster.stateOf("qa", before) != "succeeded")
        return Verdict::NotRun;
    // The wave takes a whole rack: one machine of each service, 2 of 12.
    const std::set<std::string> machines { "m-0", "m-1" };
    cluster.put("op/wave/1", { { "wave", 1 }, { "machines", machines }, { "duration_s", waveTime.count() }, { "max_items", 1 } });
    if (!awaitWave(cluster))
        input.record.line("the wave is not shown as succeeded");
    pause(calmTime);
    const std::string last = idOf(0xa1);
    if (cluster.submit(1, "qa", last, jobNearRack()).status != 200)
        return Verdict::NotRun;
    const bool isLost = isForgotten(cluster, input.record, "qa", last, machines);
    input.record.line("machines: " + cluster.machines().dump());
    return isLost ? Verdict::Broken : Verdict::Held;
}

} // namespace lanemoor::review
