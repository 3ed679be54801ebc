/// \file
/// Stand-in for the platform of the job service: store, fleet interface, placement advisor and workers over HTTP on loopback.
/// Usage: job_platform_standin [--seed N] [--instances N] [--reserve N] [--halls N] [--callers N]
///
/// The first line of output has the ports. Workers start at the control call `/begin`. SIGTERM ends the process.

#include "control_service.h"
#include "lanemoor/aio/asio_event_loop.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>

using namespace lanemoor;
using namespace lanemoor::standin;

namespace {

constexpr unsigned racksPerHall = 2;
const std::string reservePool = "reserve";

/// Command-line options.
struct Options {
    std::uint64_t seed = 1;
    unsigned instances = 12;
    unsigned reserve = 4;
    unsigned halls = 3;
    unsigned callers = 1; ///< Processes that call the advisor.
};

Options readOptions(int count, char** arguments)
{
    std::map<std::string, std::uint64_t> values;
    for (int i = 1; i + 1 < count; i += 2)
        values[arguments[i]] = std::strtoull(arguments[i + 1], nullptr, 10);
    const auto value = [&values](const char* name, std::uint64_t fallback) { return values.contains(name) ? values[name] : fallback; };
    Options options;
    options.seed = value("--seed", options.seed);
    options.instances = static_cast<unsigned>(value("--instances", options.instances));
    options.reserve = static_cast<unsigned>(value("--reserve", options.reserve));
    options.callers = static_cast<unsigned>(std::max<std::uint64_t>(value("--callers", options.callers), 1));
    options.halls = static_cast<unsigned>(std::max<std::uint64_t>(value("--halls", options.halls), 1));
    return options;
}

/// Adds instances alternately to the pools `alpha` and `beta`, then to the reserve, spread evenly over data halls and racks.
void addInstances(Fleet& fleet, const Options& options)
{
    fleet.addReserve(reservePool);
    for (unsigned i = 0; i < options.instances + options.reserve; ++i) {
        const std::string hall = "hall-" + std::to_string(i / 2 % options.halls);
        const std::string rack = hall + "-rack-" + std::to_string(i / 2 / options.halls % racksPerHall);
        const std::string pool = i >= options.instances ? reservePool : i % 2 == 0 ? "alpha"
                                                                                   : "beta";
        fleet.add({ .id = "m-" + std::to_string(i), .pool = pool, .dataHall = hall, .rack = rack });
    }
}

int serve(const Options& options)
{
    aio::AsioEventLoop loop;
    EventWriter events;
    StoreService store(loop, options.seed);
    Advisor advisor(loop, options.callers);
    Fleet fleet(loop, store, events, advisor);
    advisor.find = [&fleet](const std::string& worker) { return fleet.workerOf(worker); };
    addInstances(fleet, options);
    const ControlService control(loop, store, fleet, advisor);
    loop.onSignals({ SIGTERM, SIGINT }, [&loop](int) { loop.stop(); });
    events.write("ready", { { "store", store.port() }, { "fleet", fleet.port() }, { "control", control.port() }, { "workers", fleet.workerPorts() }, { "advisors", advisor.ports() } });
    loop.run();
    return 0;
}

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return serve(readOptions(count, arguments));
    } catch (const std::exception& error) {
        std::cerr << error.what() << std::endl;
        return 1;
    }
}
