/// \file
/// Stand-in process for the platform: store, instance list and worker control.
/// Usage: platform_standin [LIST-LAG-MS [PORT]]. Prints "listening PORT" and runs until the end
/// of standard input.

#include "fleet_standin.h"
#include "store_standin.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

using namespace lanemoor;
using namespace lanemoor::standins;

namespace {

constexpr unsigned maxThreads = 200;

class PlatformHandler final : public HttpHandler {
public:
    explicit PlatformHandler(std::chrono::milliseconds lag)
        : m_fleet(lag)
    {
    }

    void handle(HttpExchange& exchange) override
    {
        const std::string path(pathOf(exchange.request().target));
        if (path.rfind("/v1/instances", 0) == 0)
            m_fleet.handle(exchange);
        else if (path == "/faults")
            setFaults(exchange);
        else if (path == "/calls")
            exchange.respond({ 200, {}, std::to_string(m_store.calls()) });
        else
            m_store.handle(exchange);
    }

private:
    /// Sets the faults in a body such as `{"storeAway":true,"answersToLose":1,"delayMs":50,"listAway":true}`.
    void setFaults(HttpExchange& exchange)
    {
        const nlohmann::json json = nlohmann::json::parse(exchange.request().body, nullptr, false);
        if (!json.is_object()) {
            exchange.respond({ 400, {}, {} });
            return;
        }
        m_store.setFaults({ json.value("storeAway", false), json.value("answersToLose", 0), std::chrono::milliseconds(json.value("delayMs", 0)) });
        m_fleet.setListUnavailable(json.value("listAway", false));
        exchange.respond({ 204, {}, {} });
    }

    StoreStandin m_store;
    FleetStandin m_fleet;
};

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    PlatformHandler handler(std::chrono::milliseconds(count > 1 ? std::atoi(arguments[1]) : 0));
    HttpServerOptions options;
    options.port = static_cast<std::uint16_t>(count > 2 ? std::atoi(arguments[2]) : 0);
    options.maxThreads = maxThreads;
    options.maxBodyBytes = 2 * 1024 * 1024;
    const HttpServer server(options, handler);
    std::cout << "listening " << server.port() << std::endl;
    std::cin.ignore(std::numeric_limits<std::streamsize>::max());
    return 0;
}
