#include "cases.h"
#include "proxies.h"

#include <stdexcept>

namespace review {

namespace {

using nlohmann::json;

constexpr Size size { .instances = 12, .reserve = 4, .halls = 3 };
constexpr unsigned entries = 3;
const std::string added = "m-15"; ///< Comes to the reserve later.
const json machines { "m-12", "m-13", "m-14", "m-15" };
constexpr int waveSeconds = 26;
constexpr Millis untilAdded { 100 }; ///< After a list that the owner has read.
constexpr Millis untilWave { 300 }; ///< After the machine has come.
constexpr Millis longestWait { 30'000 };

/// \returns Whether the upkeep of the machine has begun.
bool hasBegun(Deployment& deployment)
{
    for (const json& line : deployment.events()) {
        if (line.value("event", "") == "act" && line.value("instance", "") == added && line.value("state", "") == "upkeep")
            return true;
    }
    return false;
}

void awaitList(const FleetProxy& fleet)
{
    const unsigned before = fleet.lists();
    const auto deadline = Clock::now() + longestWait;
    while (fleet.lists() == before) {
        if (Clock::now() > deadline)
            throw std::runtime_error("no instance reads the list");
        pause(Millis(2));
    }
}

} // namespace

bool waveWithoutMachine(const Run& run)
{
    Deployment deployment(run.folders, run.record, size);
    FleetProxy fleet(deployment.fleetAddress(), added);
    fleet.setThere(!run.hasTrouble);
    deployment.beginWorkers(json::object());
    for (unsigned entry = 0; entry < entries; ++entry)
        deployment.startEntry(entry, deployment.storeAddress(), fleet.address());
    pause(Millis(12'000));
    awaitList(fleet);
    pause(untilAdded);
    fleet.setThere(true);
    run.record.write({ { "trouble", run.hasTrouble ? "a machine is added to the reserve" : "none" }, { "machine", added } });
    pause(untilWave);
    deployment.operate("op/wave/1", { { "wave", 1 }, { "machines", machines }, { "duration_s", waveSeconds }, { "max_items", 2 } });
    const auto deadline = Clock::now() + longestWait;
    json status = json::object();
    while (Clock::now() < deadline && status.value("state", "") != "succeeded") {
        pause(Millis(100));
        status = deployment.operatorReads("status/wave/1");
        status = status.is_object() ? status : json::object();
    }
    const bool begun = hasBegun(deployment);
    run.record.write({ { "status of the wave", status }, { "machine", added }, { "its upkeep has begun", begun } });
    return status.value("state", "") != "succeeded" || begun;
}

} // namespace review
