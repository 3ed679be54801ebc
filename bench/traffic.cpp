/// \file
/// Benchmark of one entry instance with real processes: added latency and throughput relative
/// to direct calls of the endpoint, the cost of an open listener, and the cost of the control
/// role on an idle entry. Usage: bench_traffic BUILD-FOLDER

#include "support/cluster.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::test;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int sequentialCalls = 1'500;
constexpr int callers = 8;
constexpr std::chrono::seconds throughputTime { 4 };
constexpr std::chrono::seconds idleTime { 10 };

/// Sends requests sequentially on one keep-alive connection.
class Caller {
public:
    explicit Caller(HttpAddress address)
        : m_address(std::move(address))
        , m_connection(m_address)
    {
    }

    bool call(const HttpRequest& request)
    {
        if (!m_connection.isReusable())
            m_connection = HttpConnection(m_address);
        BufferSink sink(65536);
        const ExchangeResult result = m_connection.exchange(request, sink, { std::chrono::system_clock::now() + std::chrono::seconds(10) });
        return result.fault == ExchangeFault::None && sink.response().status == 200;
    }

private:
    HttpAddress m_address;
    HttpConnection m_connection;
};

double medianMicroseconds(const HttpAddress& address, const HttpRequest& request)
{
    Caller caller(address);
    std::vector<double> times;
    for (int i = 0; i < sequentialCalls; ++i) {
        const auto start = Clock::now();
        if (!caller.call(request))
            std::printf("  a call failed\n");
        times.push_back(std::chrono::duration<double, std::micro>(Clock::now() - start).count());
    }
    std::nth_element(times.begin(), times.begin() + sequentialCalls / 2, times.end());
    return times[sequentialCalls / 2];
}

double callsPerSecond(const HttpAddress& address, const HttpRequest& request)
{
    std::atomic<int> done { 0 };
    const auto end = Clock::now() + throughputTime;
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
            Caller caller(address);
            while (Clock::now() < end) {
                if (caller.call(request))
                    ++done;
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    return done / std::chrono::duration<double>(throughputTime).count();
}

/// Resource usage of a process, from /proc.
struct ProcessCost {
    double cpuSeconds = 0;
    double residentMegabytes = 0;
    int threads = 0;
};

ProcessCost costOf(pid_t process)
{
    ProcessCost cost;
    std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> all;
    for (std::string field; fields >> field;)
        all.push_back(field);
    constexpr std::size_t userTime = 11;
    constexpr std::size_t systemTime = 12;
    constexpr std::size_t threadCount = 17;
    constexpr std::size_t residentPages = 21;
    constexpr double ticksPerSecond = 100;
    constexpr double pagesPerMegabyte = 256;
    cost.cpuSeconds = (std::stod(all.at(userTime)) + std::stod(all.at(systemTime))) / ticksPerSecond;
    cost.threads = std::stoi(all.at(threadCount));
    cost.residentMegabytes = std::stod(all.at(residentPages)) / pagesPerMegabyte;
    return cost;
}

double metricOf(const Entry& entry, const std::string& name)
{
    const std::string text = ask(entry.operators, requestOf("GET", "/metrics")).response.body;
    const std::size_t at = text.find('\n' + name + ' ');
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
}

double callsAtPlatform(const Cluster& cluster)
{
    return std::stod(ask(cluster.platform(), requestOf("GET", "/calls")).response.body);
}

void start(Cluster& cluster, unsigned workers, unsigned entries)
{
    for (unsigned i = 0; i < workers; ++i)
        cluster.addWorker({ .id = "w" + std::to_string(i), .dataHall = "hall0", .rack = "rack" + std::to_string(i), .service = "counter" });
    for (unsigned i = 0; i < entries; ++i)
        cluster.addEntry("entry-" + std::to_string(i));
    const bool ready = cluster.configure("entry-0", R"({"pools":[{"name":"counter","selector":"service=counter","wanted":1000,"budget":{"minimum":1}}]})")
        && eventually([&] { return cluster.poolHas("counter", workers); });
    if (!ready)
        std::printf("  the cluster did not become ready\n");
}

void measureTraffic(const std::string& folder)
{
    Cluster cluster({ .buildFolder = folder, .shardCount = 1 });
    start(cluster, 3, 1);
    const HttpAddress& direct = cluster.workerAddress("w0");
    const HttpAddress& entry = cluster.entry("entry-0").front;
    const HttpRequest repeatable = requestOf("GET", "/counter/check");
    const HttpRequest once = requestOf("POST", "/counter/check", {}, "x");
    const double directTime = medianMicroseconds(direct, requestOf("GET", "/check"));
    std::printf("\nOne entry instance, against the endpoint asked directly\n");
    std::printf("  %-52s %8.2f (%.0f us / %.0f us)\n", "median time of a repeatable request, ratio", medianMicroseconds(entry, repeatable) / directTime, medianMicroseconds(entry, repeatable), directTime);
    std::printf("  %-52s %8.2f\n", "median time of a request sent on a fresh connection", medianMicroseconds(entry, once) / directTime);
    const double directRate = callsPerSecond(direct, requestOf("GET", "/check"));
    const ProcessCost before = costOf(cluster.entry("entry-0").process->id());
    const double rate = callsPerSecond(entry, repeatable);
    const ProcessCost after = costOf(cluster.entry("entry-0").process->id());
    std::printf("  %-52s %8.2f (%.0f/s of %.0f/s)\n", "throughput of 8 callers, ratio", rate / directRate, rate, directRate);
    std::printf("  %-52s %8.0f us\n", "processor time of a request in the entry", (after.cpuSeconds - before.cpuSeconds) / (rate * std::chrono::duration<double>(throughputTime).count()) * 1e6);
}

void measureListeners(const std::string& folder)
{
    Cluster cluster({ .buildFolder = folder, .shardCount = 1 });
    start(cluster, 2, 1);
    std::printf("\nStanding listeners held by one entry instance\n");
    std::vector<std::thread> held;
    ProcessCost before = costOf(cluster.entry("entry-0").process->id());
    for (const int target : { 15, 30, 60 }) {
        while (static_cast<int>(held.size()) < target) {
            held.emplace_back([&] {
                static_cast<void>(ask(cluster.entry("entry-0").front, requestOf("GET", "/counter/listen?events=60&gapMs=100", { { "Lanemoor-Class", "listener" } })));
            });
        }
        static_cast<void>(eventually([&] { return metricOf(cluster.entry("entry-0"), "lanemoor_listeners") >= target; }));
        const ProcessCost now = costOf(cluster.entry("entry-0").process->id());
        std::printf("  %3d held: %3d threads, %6.1f MB resident, %5.0f KB and %.2f threads each\n", target, now.threads, now.residentMegabytes, (now.residentMegabytes - before.residentMegabytes) * 1024 / target, static_cast<double>(now.threads - before.threads) / target);
    }
    for (std::thread& thread : held)
        thread.join();
}

void measureControl(const std::string& folder)
{
    std::printf("\nControl of idle entries: processor time, memory, messages, store calls\n");
    for (const auto& [workers, entries] : { std::pair(6U, 2U), std::pair(6U, 4U), std::pair(6U, 6U), std::pair(24U, 6U), std::pair(48U, 6U) }) {
        Cluster cluster({ .buildFolder = folder, .shardCount = 6, .leaseMs = 6000 });
        start(cluster, workers, entries);
        std::vector<ProcessCost> before;
        const double callsBefore = callsAtPlatform(cluster);
        double bytesBefore = 0;
        for (auto& [name, entry] : cluster.entries()) {
            before.push_back(costOf(entry.process->id()));
            bytesBefore += metricOf(entry, "lanemoor_peer_bytes_sent_total");
        }
        std::this_thread::sleep_for(idleTime);
        const double seconds = std::chrono::duration<double>(idleTime).count();
        double highest = 0;
        double lowest = 100;
        double resident = 0;
        double bytes = 0;
        std::size_t number = 0;
        for (auto& [name, entry] : cluster.entries()) {
            const ProcessCost now = costOf(entry.process->id());
            const double percent = (now.cpuSeconds - before[number++].cpuSeconds) / seconds * 100;
            highest = std::max(highest, percent);
            lowest = std::min(lowest, percent);
            resident = std::max(resident, now.residentMegabytes);
            bytes += metricOf(entry, "lanemoor_peer_bytes_sent_total");
        }
        std::printf("  %2u workers, %u entries: %.1f%% of a core with the control role or most, %.1f%% least, %.1f MB, %.0f B/s of peer messages an entry, %.1f store calls/s in all\n",
            workers, entries, highest, lowest, resident, (bytes - bytesBefore) / seconds / entries, (callsAtPlatform(cluster) - callsBefore) / seconds);
    }
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 2) {
        std::fprintf(stderr, "usage: bench_traffic BUILD-FOLDER\n");
        return 2;
    }
    measureTraffic(arguments[1]);
    measureListeners(arguments[1]);
    measureControl(arguments[1]);
    return 0;
}
