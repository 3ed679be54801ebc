#include "cases.h"
#include "observation.h"

namespace lanemoor::review {

namespace {

constexpr unsigned soundJobs = 40; // The two long ones are a twentieth of all.
constexpr std::int64_t longMs = 600'000;
constexpr std::int64_t shortMs = 600;
constexpr Millis finishTime { 14'000 }; // `finish_s`
constexpr Millis observed { 40'000 };
constexpr Millis forgotten { 3'000 };

} // namespace

Verdict playLongTasks(const CaseInput& input)
{
    Cluster cluster(input.options, input.record);
    if (!cluster.start(configurationOf(5, false)))
        return Verdict::NotRun;
    if (!runSoundJobs(cluster, soundJobs))
        return Verdict::NotRun;
    const std::int64_t time = input.hasTrouble ? longMs : shortMs;
    const Json job = jobOf({ { "ms", time } }, { { "count", 12 }, { "cpu", 500 }, { "est_ms", time } });
    const std::vector<std::string> jobs { idOf(0xa1), idOf(0xa2) };
    for (unsigned i = 0; i < jobs.size(); ++i) {
        if (cluster.submit(i, "qa", jobs[i], job).status != 200)
            return Verdict::NotRun;
    }
    // No other traffic and no other disruption. Jobs are asked for `finish_s` after the end of the traffic.
    pause(finishTime);
    const std::int64_t from = nowMs();
    pause(observed);
    const std::int64_t until = nowMs();
    const std::vector<Json> events = cluster.events();
    Observation::write(events, input.record);
    const Observation seen(events);
    // A run takes half a core of a worker's four: so many runs use well under half of the service's capacity.
    const std::size_t fewRuns = seen.upIn("alpha").size();
    bool isLost = false;
    for (const std::string& id : jobs) {
        const std::string state = cluster.stateOf("qa", id);
        const Millis idle = state == "succeeded" ? Millis(0) : seen.longestIdle(id, from, until, fewRuns);
        input.record.line("job " + id + ": shown as " + state + "; starts " + std::to_string(seen.startsOf(id)) + "; longest time with nothing running " + std::to_string(idle.count()) + " ms, with " + std::to_string(fewRuns) + " workers up");
        isLost = isLost || idle >= forgotten;
    }
    return isLost ? Verdict::Broken : Verdict::Held;
}

} // namespace lanemoor::review
