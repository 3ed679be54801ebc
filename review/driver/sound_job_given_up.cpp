#include "cases.h"

#include <stdexcept>

namespace review {

namespace {

using nlohmann::json;

constexpr unsigned instances = 16; ///< Eight of them in the pool of the job.
constexpr unsigned entries = 3;
constexpr std::size_t crashes = 3;
const std::string job = "4d1c9be07f3a2865";

constexpr Millis downTime { 4'500 }; ///< srv_crash: share = 0.14 of a service's workers, for_s = 4.5.
constexpr Millis runUntilCrash { 300 };
constexpr Millis longestWait { 60'000 };
constexpr Millis afterLastCrash { 15'000 };

std::string bodyOf()
{
    return json({ { "spec", json({ { "ms", 1'500 } }).dump() }, { "steps", { { { "count", 1 }, { "cpu", 1'000 }, { "mem_mb", 64 }, { "est_ms", 1'500 } } } } }).dump();
}

std::string stateOf(Deployment& deployment)
{
    const json body = json::parse(deployment.client(1, "GET", "/alpha/" + job).body, nullptr, false);
    return body.is_object() ? body.value("state", "") : "";
}

/// Crashes the worker of each of the first starts.
void crashWorkers(Deployment& deployment)
{
    const auto deadline = Clock::now() + longestWait;
    for (std::size_t crashed = 0; crashed < crashes && Clock::now() < deadline;) {
        const std::vector<json> starts = deployment.eventsOf(job, "start");
        if (starts.size() <= crashed) {
            pause(Millis(10));
            continue;
        }
        pause(runUntilCrash);
        deployment.control("/kill", { { "instance", starts.back().at("instance") }, { "back_ms", downTime.count() } });
        ++crashed;
    }
}

} // namespace

bool soundJobGivenUp(const Run& run)
{
    Deployment deployment(run.folders, run.record, { .instances = instances });
    deployment.beginWorkers(json::object());
    for (unsigned entry = 0; entry < entries; ++entry)
        deployment.startEntry(entry, deployment.storeAddress());
    pause(Millis(8'000));
    if (deployment.client(0, "POST", "/alpha/" + job, bodyOf()).status != 200)
        throw std::runtime_error("the job was not accepted");
    if (run.hasTrouble)
        crashWorkers(deployment);
    const auto deadline = Clock::now() + afterLastCrash;
    std::string state = stateOf(deployment);
    while (state != "succeeded" && state != "failed" && Clock::now() < deadline) {
        pause(Millis(500));
        state = stateOf(deployment);
    }
    // `failed` needs ends `failed`, of which there is none.
    return state != "failed" || !deployment.eventsOf(job, "failed").empty();
}

} // namespace review
