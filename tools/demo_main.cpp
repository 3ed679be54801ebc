/// \file
/// Demonstration of the request service: exercises its main functions on a cluster of real processes
/// on loopback and prints a table of results. Exits non-zero on any violation.

#include "support/cluster.h"

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

using namespace lanemoor;
using namespace lanemoor::test;

namespace {

constexpr unsigned workersPerService = 4;
const std::vector<std::string> services { "counter", "misc", "orders", "quoting", "settlement" };
const std::vector<std::string> entryNames { "entry-1", "entry-2", "entry-3" };

/// Prints results as table rows and counts violations.
class Table {
public:
    void add(const std::string& what, const std::string& seen, bool good)
    {
        std::cout << (good ? "  ok    " : "  WRONG ") << std::left << std::setw(58) << what << seen << std::endl;
        m_violations += good ? 0 : 1;
    }

    [[nodiscard]] int violations() const noexcept { return m_violations; }

private:
    int m_violations = 0;
};

std::string configurationText(unsigned countersMinimum)
{
    nlohmann::json pools = nlohmann::json::array();
    for (const std::string& service : services) {
        const unsigned minimum = service == "counter" ? countersMinimum : 2;
        pools.push_back({ { "name", service }, { "selector", "service in (" + service + ",any)" }, { "wanted", workersPerService }, { "budget", { { "minimum", minimum }, { "survives", "rack" } } } });
    }
    return nlohmann::json({ { "pools", pools }, { "teams", { { { "name", "shops" }, { "quota", 60 } } } }, { "weights", { { "moves", 10 }, { "rollOut", 1 } } } }).dump();
}

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

std::string inMilliseconds(double seconds)
{
    return std::to_string(static_cast<int>(seconds * 1000)) + " ms";
}

nlohmann::json report(Cluster& cluster, const std::string& entry, const std::string& path)
{
    return nlohmann::json::parse(ask(cluster.entry(entry).operators, requestOf("GET", path)).response.body, nullptr, false);
}

bool everyPoolHas(Cluster& cluster, unsigned members)
{
    return std::all_of(services.begin(), services.end(), [&](const std::string& service) { return cluster.poolHas(service, members); });
}

void startCluster(Cluster& cluster, Table& table)
{
    unsigned number = 0;
    for (const std::string& service : services) {
        for (unsigned i = 0; i < workersPerService; ++i, ++number)
            cluster.addWorker({ .id = service + '-' + std::to_string(i), .dataHall = "hall-" + std::to_string(i % 4), .rack = "rack-" + std::to_string(i), .service = service });
    }
    for (const char* spare : { "spare-0", "spare-1" })
        cluster.addWorker({ .id = spare, .dataHall = "hall-0", .rack = std::string("rack-") + spare, .service = "any" });
    for (const std::string& name : entryNames)
        cluster.addEntry(name);
    const bool configured = cluster.configure(entryNames.front(), configurationText(2));
    const bool served = configured && eventually([&] { return everyPoolHas(cluster, workersPerService); });
    table.add("three entries, 22 workers, five pools in service", served ? "yes" : "no", served);
}

void showRequests(Cluster& cluster, Table& table)
{
    int good = 0;
    for (int i = 0; i < 60; ++i) {
        const std::string body = "check " + std::to_string(i);
        const Answer answer = ask(cluster.entry(entryNames[static_cast<std::size_t>(i) % 3]).front, requestOf("POST", "/" + services[static_cast<std::size_t>(i) % 5] + "/check", { { "Lanemoor-Team", "shops" } }, body));
        good += answer.outcome() == "ran" && answer.response.body.find(body) != std::string::npos ? 1 : 0;
    }
    table.add("60 checks through three entries, each its own answer", std::to_string(good) + " of 60", good == 60);

    const Answer batch = ask(cluster.entry("entry-2").front, requestOf("POST", "/settlement/batch?ms=300", { { "Lanemoor-Class", "batch" } }, "reconcile"));
    table.add("a batch request", batch.outcome(), batch.outcome() == "ran");

    Answer first;
    const std::vector<HttpHeader> key { { "Idempotency-Key", "port-099123456" } };
    std::thread parallelCaller([&] { first = ask(cluster.entry("entry-1").front, requestOf("POST", "/orders/order", key, "port")); });
    const Answer second = ask(cluster.entry("entry-3").front, requestOf("POST", "/orders/order", key, "port"));
    parallelCaller.join();
    const int runs = cluster.runsOf("port-099123456");
    table.add("one order sent through two entries at once", std::to_string(runs) + " run, answers " + std::to_string(first.response.status) + " and " + std::to_string(second.response.status), runs == 1);
}

void showChange(Cluster& cluster, Table& table)
{
    const auto start = std::chrono::steady_clock::now();
    const std::string address = "127.0.0.1:" + std::to_string(cluster.entry("entry-2").operators.port);
    const auto drained = cluster.command({ "drain", "--entry", address, "counter-0" });
    const auto inForce = [&] {
        return std::all_of(entryNames.begin(), entryNames.end(), [&](const std::string& name) { return cluster.revisionAt(name) == 2; });
    };
    const bool everywhere = drained.code == 0 && eventually(inForce, std::chrono::seconds(5));
    table.add("an operator's change in force on every entry within 5 s", inMilliseconds(secondsSince(start)), everywhere);
}

/// Drains an instance that has requests and listeners in flight.
void showDrain(Cluster& cluster, Table& table)
{
    std::vector<Answer> held(8);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < held.size(); ++i) {
        const bool listener = i % 2 == 0;
        callers.emplace_back([&cluster, &held, i, listener] {
            const std::string target = listener ? "/counter/listen?events=10&gapMs=150" : "/counter/check?ms=1500";
            held[i] = ask(cluster.entry(entryNames[i % 3]).front, requestOf("GET", target, { { "Lanemoor-Class", listener ? "listener" : "check" } }));
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    showChange(cluster, table);
    const auto isOut = [&](const std::string& entry) { return !report(cluster, entry, "/v1/instances/counter-0").value("inService", true); };
    const bool out = eventually([&] { return std::all_of(entryNames.begin(), entryNames.end(), isOut); });
    for (std::thread& caller : callers)
        caller.join();
    const auto whole = std::count_if(held.begin(), held.end(), [](const Answer& answer) { return answer.result.fault == ExchangeFault::None && answer.response.status == 200; });
    table.add("requests and listeners in flight during the drain, uncut", std::to_string(whole) + " of 8", out && whole == 8);
}

void showFailures(Cluster& cluster, Table& table)
{
    cluster.killEntry("entry-1");
    cluster.worker("quoting-1").signal(SIGKILL);
    int good = 0;
    int notRun = 0;
    for (int i = 0; i < 40; ++i) {
        const Answer answer = ask(cluster.entry(i % 2 == 0 ? "entry-2" : "entry-3").front, requestOf("GET", "/quoting/check"));
        good += answer.outcome() == "ran" ? 1 : 0;
        notRun += answer.outcome() == "not-run" ? 1 : 0;
    }
    table.add("40 checks after one entry and one worker were killed", std::to_string(good) + " ran, " + std::to_string(notRun) + " not run", good + notRun == 40 && good >= 38);
}

void showWave(Cluster& cluster, Table& table)
{
    const auto start = std::chrono::steady_clock::now();
    const std::string address = "127.0.0.1:" + std::to_string(cluster.entry("entry-2").operators.port);
    static_cast<void>(cluster.command({ "undrain", "--entry", address, "counter-0" }));
    const auto started = cluster.command({ "waves", "--entry", address, "start" });
    bool held = true;
    int refused = 0;
    const bool done = started.code == 0 && eventually([&] {
        refused += ask(cluster.entry("entry-3").front, requestOf("GET", "/settlement/check")).outcome() == "ran" ? 0 : 1;
        const nlohmann::json pools = report(cluster, "entry-2", "/v1/pools");
        for (const nlohmann::json& pool : pools["pools"])
            held = held && pool["inService"].get<int>() >= pool["minimum"].get<int>();
        const nlohmann::json wave = report(cluster, "entry-2", "/v1/waves");
        return wave["due"] == 0;
    },
                          std::chrono::seconds(60));
    table.add("a maintenance wave through the fleet", "roll-out " + inMilliseconds(secondsSince(start)), done);
    table.add("availability budgets during it, as read all along", held ? "held" : "broken", held);
    table.add("checks refused during it", std::to_string(refused), refused == 0);
    const std::string metrics = ask(cluster.entry("entry-2").operators, requestOf("GET", "/metrics")).response.body + ask(cluster.entry("entry-3").operators, requestOf("GET", "/metrics")).response.body;
    table.add("invariants counted as broken by the daemons", metrics.find("lanemoor_invariant_breaches_total{") == std::string::npos ? "0" : "some", metrics.find("lanemoor_invariant_breaches_total{") == std::string::npos);
    const nlohmann::json pools = report(cluster, "entry-2", "/v1/pools");
    int buffer = 0;
    for (const nlohmann::json& pool : pools["pools"])
        buffer += pool["target"].get<int>() - pool["minimum"].get<int>();
    std::cout << "        buffer held for the budgets: " << buffer << " instances, spare: " << pools["spare"] << std::endl;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 2) {
        std::cerr << "usage: demo BUILD-FOLDER\n";
        return 2;
    }
    Table table;
    std::cout << "lanemoor demonstration\n";
    {
        Cluster cluster({ .buildFolder = arguments[1] });
        startCluster(cluster, table);
        showRequests(cluster, table);
        showDrain(cluster, table);
        showFailures(cluster, table);
        showWave(cluster, table);
    }
    std::cout << (table.violations() == 0 ? "no violation\n" : "VIOLATIONS: " + std::to_string(table.violations()) + '\n');
    return table.violations() == 0 ? 0 : 1;
}
