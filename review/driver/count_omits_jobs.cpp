#include "cases.h"
#include "proxies.h"

#include <stdexcept>

namespace review {

namespace {

using nlohmann::json;

constexpr unsigned instances = 48;
constexpr unsigned halls = 24;
constexpr unsigned entries = 3;
constexpr int jobs = 10;
const std::string instance = "m-0"; ///< The only one of its pool in its rack.
const std::string neighbour = "m-1"; ///< The other one in that rack, of the other pool, which may be moved.
const std::string rack = "hall-0-rack-0";

constexpr Millis refusalTime { 6'500 }; ///< srv_grey: share = 0.1 (2 of 48 workers), x = 1.0, for_s = 6.5.
constexpr Millis visibleTime { 3'000 }; ///< visible_ms
constexpr Millis countAge { 2'000 }; ///< The rule: `visible_ms` + 2 s.
constexpr Millis margin { 300 };

std::string bodyOf(int millis)
{
    return json({ { "spec", json({ { "ms", millis } }).dump() }, { "steps", { { { "count", 1 }, { "cpu", 100 }, { "mem_mb", 64 }, { "est_ms", millis }, { "constraints", rack } } } } }).dump();
}

std::string idOf(int number)
{
    return "00000000000000b" + std::to_string(number);
}

/// \returns How many of the jobs have begun.
int begun(Deployment& deployment)
{
    int count = 0;
    for (int i = 0; i < jobs; ++i)
        count += deployment.eventsOf(idOf(i), "start").empty() ? 0 : 1;
    return count;
}

/// \returns Whether the count at an entry instance keeps the rule. A count that no answer gives is not judged.
bool isCountSound(Deployment& deployment, unsigned entry, const Run& run)
{
    const Answer answer = deployment.client(entry, "GET", "/alpha/");
    const int waiting = jobs - begun(deployment);
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !body.is_object())
        return true;
    const int pending = body.value("pending", 0);
    run.record.write({ { "entry", entry }, { "pending", pending }, { "accepted more than 5 s before and not begun", waiting } });
    return 2 * pending >= waiting;
}

} // namespace

bool countOmitsJobs(const Run& run)
{
    Deployment deployment(run.folders, run.record, { .instances = instances, .reserve = 0, .halls = halls });
    WorkerProxy worker(deployment.workerAddress(instance));
    WorkerProxy other(deployment.workerAddress(neighbour));
    deployment.beginWorkers({ { instance, worker.address() }, { neighbour, other.address() } });
    for (unsigned entry = 0; entry < entries; ++entry)
        deployment.startEntry(entry, deployment.storeAddress());
    pause(Millis(2'000));
    // Its instance stays in the pool meanwhile.
    const std::string keeper = "00000000000000c0";
    deployment.client(0, "POST", "/alpha/" + keeper, bodyOf(25'000));
    const auto deadline = Clock::now() + Millis(10'000);
    while (deployment.eventsOf(keeper, "start").empty() && Clock::now() < deadline)
        pause(Millis(20));
    if (deployment.eventsOf(keeper, "start").empty())
        throw std::runtime_error("the rack's worker runs nothing");

    worker.setUnhealthy(run.hasTrouble);
    other.setUnhealthy(run.hasTrouble);
    run.record.write({ { "trouble", run.hasTrouble ? "the two workers of a rack answer each start with 503" : "none" }, { "rack", rack } });
    const auto beginAt = Clock::now();
    bool allAccepted = true;
    for (int i = 0; i < jobs; ++i)
        allAccepted = deployment.client(static_cast<unsigned>(i) % entries, "POST", "/alpha/" + idOf(i), bodyOf(500)).status == 200 && allAccepted;
    pause(visibleTime + countAge + margin);
    bool held = true;
    for (unsigned entry = 0; entry < entries; ++entry)
        held = isCountSound(deployment, entry, run) && held;
    const auto refusedFor = std::chrono::duration_cast<Millis>(Clock::now() - beginAt);
    worker.setUnhealthy(false);
    other.setUnhealthy(false);
    run.record.write({ { "trouble", "the workers are healthy again" }, { "after_ms", refusedFor.count() }, { "starts refused", worker.refused() + other.refused() } });
    pause(Millis(4'000));
    begun(deployment);
    if (!allAccepted || refusedFor > refusalTime)
        throw std::runtime_error("the case took too long, or a job was not accepted");
    return held;
}

} // namespace review
