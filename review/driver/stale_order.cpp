#include "cases.h"
#include "proxies.h"

#include <algorithm>
#include <map>

namespace review {

namespace {

using nlohmann::json;

constexpr Size size { .instances = 12, .reserve = 4, .halls = 3 };
constexpr unsigned entries = 6; ///< So that the cut meets a share of 0.17.
constexpr unsigned owner = 0; ///< Starts first.
constexpr Millis cutTime { 5'400 }; ///< node_cut: for_s = 5.5.
constexpr Millis longestWait { 20'000 };
constexpr Millis watchTime { 6'000 };
const json machines { "m-12", "m-13" };

/// \returns Whether no machine got an order with a lower fencing token after one with a higher token.
bool areFencesInOrder(const std::vector<FleetOrder>& orders, const Run& run)
{
    bool held = true;
    std::map<std::string, std::int64_t> highest; // By machine.
    for (const FleetOrder& order : orders) {
        std::int64_t& known = highest[order.machine];
        const bool isStale = order.fence < known;
        run.record.write({ { "order", order.path }, { "machine", order.machine }, { "holder", order.holder }, { "fencing token", order.fence }, { "arrived", order.at }, { "lower than an earlier one", isStale } });
        known = std::max(known, order.fence);
        held = held && !isStale;
    }
    return held;
}

} // namespace

bool staleOrder(const Run& run)
{
    Deployment deployment(run.folders, run.record, size);
    const FleetProxy orders(deployment.fleetAddress());
    CutProxy fleet(orders.address(), "POST /api/machine-upkeep");
    CutProxy store(deployment.storeAddress(), fleet);
    deployment.beginWorkers(json::object());
    deployment.startEntry(owner, store.address(), fleet.address());
    pause(Millis(2'000));
    for (unsigned entry = owner + 1; entry < entries; ++entry)
        deployment.startEntry(entry, deployment.storeAddress(), orders.address());
    pause(Millis(8'000));
    if (run.hasTrouble)
        fleet.arm();
    deployment.operate("op/wave/1", { { "wave", 1 }, { "machines", machines }, { "duration_s", 26 }, { "max_items", 2 } });
    const auto deadline = Clock::now() + longestWait;
    while (run.hasTrouble && !fleet.isCut() && Clock::now() < deadline)
        pause(Millis(1));
    run.record.write({ { "trouble", run.hasTrouble ? "the owner is cut off from the store and from the fleet interface" : "none" } });
    pause(cutTime);
    fleet.setCut(false);
    run.record.write({ { "trouble", "the cut is over" } });
    pause(watchTime);
    run.record.write({ { "status of the wave", deployment.operatorReads("status/wave/1") } });
    deployment.events();
    return areFencesInOrder(orders.orders(), run);
}

} // namespace review
