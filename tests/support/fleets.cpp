#include "support/fleets.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace lanemoor::test {

namespace {

constexpr std::uint32_t workersPerRack = 4;
constexpr std::uint32_t poolGroups = 3;

std::string numbered(const char* prefix, std::uint32_t number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%s%03u", prefix, number);
    return text;
}

Instances workers(std::uint32_t count, std::uint32_t dataHalls)
{
    Instances instances;
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::uint32_t rack = i / workersPerRack;
        Instance worker;
        worker.id = numbered("w", i);
        worker.rack = numbered("rack", rack);
        worker.dataHall = numbered("hall", rack % dataHalls);
        worker.bootId = 1;
        worker.labels = LabelSet({ { "role", "worker" }, { "group", numbered("g", i % poolGroups) } });
        instances.push_back(std::move(worker));
    }
    return instances;
}

Pool pool(std::string name, const std::string& selector, std::uint32_t minimum)
{
    return { .name = std::move(name), .selector = selectorOf(selector), .budget = { .minimum = minimum, .survives = FailureDomain::Rack } };
}

void sortByName(std::vector<Pool>& pools)
{
    std::sort(pools.begin(), pools.end(), [](const Pool& a, const Pool& b) { return a.name < b.name; });
}

} // namespace

Selector selectorOf(const std::string& text)
{
    SelectorParser parser;
    return parser.parse(text).value();
}

FleetCase montevideoFleet()
{
    FleetCase fleet { .name = "montevideo", .instances = workers(50, 4) };
    fleet.configuration.pools = {
        pool("counter", "role=worker", 10),
        pool("orders", "role=worker", 9),
        pool("quoting", "role=worker", 8),
        pool("settlement", "role=worker", 8),
        pool("misc", "role=worker", 7),
    };
    sortByName(fleet.configuration.pools);
    fleet.configuration.weights = { .moves = 10, .rollOut = 1 };
    fleet.configuration.revision = 1;
    return fleet;
}

FleetCase vestlandFleet()
{
    FleetCase fleet { .name = "vestland", .instances = workers(50, 3) };
    fleet.configuration.pools = {
        pool("intake", "role=worker", 10),
        pool("households", "role=worker", 9),
        pool("addresses", "role=worker", 8),
        pool("tallies", "role=worker", 8),
        pool("portal", "role=worker", 7),
    };
    sortByName(fleet.configuration.pools);
    fleet.configuration.weights = { .moves = 1, .rollOut = 10 };
    fleet.configuration.revision = 1;
    return fleet;
}

FleetCase plannedFleet(double scale)
{
    const auto scaled = [&](double size) { return static_cast<std::uint32_t>(std::lround(size * scale)); };
    FleetCase fleet { .name = "planned", .instances = workers(scaled(710), 5) };
    for (std::uint32_t i = 0; i < scaled(120); ++i) {
        const std::string selector = i % 2 == 0 ? "role=worker" : "role=worker,group=" + numbered("g", i % poolGroups);
        fleet.configuration.pools.push_back(pool(numbered("pool", i), selector, 3 + i % 3));
    }
    for (std::uint32_t i = 0; i < scaled(180); ++i)
        fleet.configuration.teams.push_back({ .name = numbered("team", i), .quota = 4 + i % 8 });
    fleet.configuration.weights = { .moves = 1, .rollOut = 1 };
    fleet.configuration.revision = 1;
    return fleet;
}

} // namespace lanemoor::test
