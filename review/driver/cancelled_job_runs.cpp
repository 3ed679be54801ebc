#include "cases.h"
#include "proxies.h"

#include <set>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

using nlohmann::json;

constexpr unsigned instances = 12;
constexpr unsigned cutEntry = 2; ///< Starts last, so that another one is the owner.
constexpr unsigned otherEntry = 0;
constexpr unsigned warmUpJobs = 6;
const std::string job = "7a3e5c0d1f2b4968";

// The bounds of prc-montevideo, and the limits of the disruptions.
constexpr Millis cutTime { 5'400 }; ///< core_cut: for_s = 5.5, count = 1.
constexpr Millis cancelTime { 3'000 }; ///< cancel_ms
constexpr Millis stopTime { 900 }; ///< stop_ms

constexpr Millis clientPatience { 300 }; ///< give_up: within half the objective.
constexpr Millis watchTime { 6'000 }; ///< After the cut.

std::string bodyOf(int tasks, int millis)
{
    return json({ { "spec", json({ { "ms", millis } }).dump() }, { "steps", { { { "count", tasks }, { "cpu", 200 }, { "mem_mb", 64 }, { "est_ms", millis } } } } }).dump();
}

/// Some usual traffic at one entry instance: several jobs at once, so that it has some open connections to the store.
void submitUsualJobs(Deployment& deployment)
{
    std::vector<std::thread> clients;
    for (unsigned i = 0; i < warmUpJobs; ++i) {
        const std::string id = "00000000000000a" + std::to_string(i);
        clients.emplace_back([&deployment, id] { deployment.client(cutEntry, "POST", "/alpha/" + id, bodyOf(1, 100)); });
        pause(Millis(1));
    }
    for (std::thread& client : clients)
        client.join();
}

/// \returns Whether one owner, which was there before the cut, gave all orders.
bool isStarterUndisturbed(Deployment& deployment)
{
    std::set<std::int64_t> fences;
    for (const json& line : deployment.events()) {
        if (line.value("event", "") == "start")
            fences.insert(line.value("fence", std::int64_t { 0 }));
    }
    return fences.size() <= 1;
}

} // namespace

bool cancelledJobRuns(const Run& run)
{
    Deployment deployment(run.folders, run.record, { .instances = instances });
    CutProxy path(deployment.storeAddress());
    deployment.beginWorkers(json::object());
    for (unsigned entry = 0; entry < cutEntry; ++entry)
        deployment.startEntry(entry, deployment.storeAddress());
    deployment.startEntry(cutEntry, path.address());
    pause(Millis(2'000));
    submitUsualJobs(deployment);
    pause(Millis(1'000));
    submitUsualJobs(deployment);
    pause(Millis(100));

    if (run.hasTrouble)
        path.setCut(true);
    run.record.write({ { "trouble", run.hasTrouble ? "an entry instance is cut off from the store" : "none" }, { "entry", cutEntry } });
    const auto cutAt = Clock::now();
    deployment.client(cutEntry, "POST", "/alpha/" + job, bodyOf(2, 4'000), clientPatience);
    const Answer cancelled = deployment.client(otherEntry, "DELETE", "/alpha/" + job);
    const std::int64_t cancelledAt = timeOfDay();
    deployment.client(otherEntry, "GET", "/alpha/" + job);
    std::this_thread::sleep_until(cutAt + cutTime);
    path.setCut(false);
    run.record.write({ { "trouble", "the cut is over" } });
    pause(watchTime);
    deployment.client(otherEntry, "GET", "/alpha/" + job);
    if (cancelled.status != 200 && cancelled.status != 410)
        throw std::runtime_error("the cancelling was not acknowledged");
    if (!isStarterUndisturbed(deployment))
        throw std::runtime_error("the owner has changed, so its machine may not be in touch");

    bool held = true;
    for (const json& start : deployment.eventsOf(job, "start")) {
        const std::int64_t after = start.at("at").get<std::int64_t>() - cancelledAt;
        run.record.write({ { "task", start.at("task") }, { "started after the acknowledgement of its cancelling, ms", after } });
        held = held && after <= cancelTime.count();
    }
    for (const char* end : { "done", "failed" }) {
        for (const json& line : deployment.eventsOf(job, end))
            held = held && line.at("at").get<std::int64_t>() - cancelledAt <= (cancelTime + stopTime).count();
    }
    return held;
}

} // namespace review
