/// \file
/// Bytes and processor time of the state at 0.25 to 2 times the planned size, for
/// docs/CAPACITY.md. Bytes don't depend on the machine. Exits non-zero if a bound is missed.

#include "report.h"

#include "lanemoor/decisions/controller.h"
#include "lanemoor/state/configuration_document.h"
#include "lanemoor/state/ledger_codec.h"
#include "support/control_loop.h"
#include "support/fleets.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>

using namespace lanemoor;
using namespace lanemoor::test;
using namespace lanemoor::bench;

namespace {

constexpr int repeats = 20;
constexpr double secondsPerDay = 86'400;
constexpr double changesPerDay = 1'100;
/// Instances per day that fail, are restarted or replaced, and are maintained, at the planned size.
constexpr double instanceEventsPerDay = 5 + 84 + 710.0 / 49;
/// Ledger writes and list changes per instance event: grant, drain, reboot, return.
constexpr double changesPerEvent = 4;
constexpr double instanceBytesInList = 230; ///< Size of an instance in the stand-in's list.

double millisecondsOf(const std::function<void()>& work)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < repeats; ++i)
        work();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count() / repeats;
}

double residentMegabytes()
{
    std::ifstream status("/proc/self/statm");
    double pages = 0;
    status >> pages >> pages;
    constexpr double pagesPerMegabyte = 256;
    return pages / pagesPerMegabyte;
}

void measureSize(double scale, Report& report)
{
    const double before = residentMegabytes();
    const FleetCase fleetCase = plannedFleet(scale);
    FakeFleet fleet(fleetCase.instances, {});
    FakeLedgerStore store;
    FakeHolder holder(1, std::make_unique<StickyMembershipPlanner>());
    holder.decide(store, fleetCase.configuration, fleet);
    holder.commit(store, fleetCase.configuration, fleet);
    fleet.advance();
    const Ledger ledger = store.truth();
    const std::string ledgerBytes = encodeLedger(ledger);
    const std::string configurationBytes = formatConfiguration(fleetCase.configuration);
    const Controller controller(std::make_unique<StickyMembershipPlanner>());
    const FleetView view { .configuration = fleetCase.configuration, .ledger = ledger, .instances = fleet.truth(), .now = fleet.now() };
    const double quiet = millisecondsOf([&] { static_cast<void>(controller.step(view, 1)); });
    const double reading = millisecondsOf([&] {
        ConfigurationReader reader;
        static_cast<void>(reader.read(configurationBytes, 1));
    });
    const double decoding = millisecondsOf([&] { static_cast<void>(decodeLedger(ledgerBytes, 1)); });
    const double instances = static_cast<double>(fleetCase.instances.size());
    const double listBytes = instances * instanceBytesInList;
    const double perSecond = (static_cast<double>(configurationBytes.size()) * changesPerDay * scale + (static_cast<double>(ledgerBytes.size()) + listBytes) * instanceEventsPerDay * changesPerEvent * scale) / secondsPerDay;
    char name[32];
    std::snprintf(name, sizeof name, "%.2f: ", scale);
    report.unbounded(std::string(name) + "instances", instances);
    report.unbounded(std::string(name) + "ledger, bytes", static_cast<double>(ledgerBytes.size()));
    report.unbounded(std::string(name) + "ledger, bytes an instance", static_cast<double>(ledgerBytes.size()) / instances);
    report.unbounded(std::string(name) + "configuration, bytes", static_cast<double>(configurationBytes.size()));
    report.unbounded(std::string(name) + "a quiet control step, ms", quiet);
    report.unbounded(std::string(name) + "reading a configuration, ms", reading);
    report.unbounded(std::string(name) + "decoding a ledger, ms", decoding);
    report.unbounded(std::string(name) + "resident memory added by it all, MB", residentMegabytes() - before);
    if (scale == 1) {
        report.bounded("planned size: documents read by a node, B/s", perSecond, 11'000);
        report.bounded("planned size: ledger, bytes", static_cast<double>(ledgerBytes.size()), 40'000);
    }
}

} // namespace

int main()
{
    Report report("State at 0.25, 0.5, 1 and 2 times the planned size");
    for (const double scale : { 0.25, 0.5, 1.0, 2.0 })
        measureSize(scale, report);
    return report.missed() == 0 ? 0 : 1;
}
