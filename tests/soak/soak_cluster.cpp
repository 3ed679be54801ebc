#include "soak_cluster.h"

#include "connection_source.h"
#include "lanemoor/decisions/time.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace lanemoor::soak {

namespace {

using nlohmann::json;

constexpr std::uint16_t frontPort = 8'080;
constexpr std::uint16_t readinessPort = 8'081;
constexpr std::uint16_t metricsPort = 9'464;
constexpr std::uint16_t peersPort = 7'000;
constexpr Millis controlTimeout { 10'000 };
constexpr std::chrono::seconds standinStartTimeout { 30 };
constexpr std::chrono::milliseconds standinPollInterval { 10 };
constexpr double machineCores = 1;
constexpr double relayedWorkersPerCore = 4; // Fewer than the workers of a pool, so that calls are relayed.
constexpr unsigned priorityCount = 3; // Number of priorities; successive configurations differ in the priority of one queue.
constexpr std::uint64_t removalInterval = 3; // The versions divisible by this lack the removable queue.

/// \returns A loopback address derived from this program's process id and `index`, so that parallel runs don't collide.
std::string addressOf(unsigned index)
{
    constexpr unsigned perByte = 256;
    constexpr unsigned halfByte = 127;
    constexpr unsigned first = 10;
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + pid / perByte % halfByte) + '.' + std::to_string(pid % perByte) + '.' + std::to_string(first + index);
}

std::string join(const std::string& ip, std::uint16_t port)
{
    return ip + ':' + std::to_string(port);
}

json settingsOf(const SoakCluster::Entry& entry, unsigned hall, bool relays)
{
    const json times { { "handoverMs", 3'000 }, { "configurationApplyMs", 3'000 }, { "maintenanceSeconds", 2 }, { "moveSeconds", 1.5 }, { "stopGraceSeconds", 6 }, { "statusSeconds", 1'800 } };
    json service { { "front", join(entry.ip, frontPort) }, { "readiness", join(entry.ip, readinessPort) }, { "metrics", join(entry.ip, metricsPort) }, { "peers", join(entry.ip, peersPort) }, { "store", entry.storeProxy->address() },
        { "fleet", entry.fleetProxy->address() }, { "advisor", entry.advisor }, { "machineCores", machineCores }, { "times", times } };
    service["policies"]["relay"]["workersPerCore"] = relays ? relayedWorkersPerCore : 0;
    return { { "name", entry.name }, { "dataHall", hallName(hall) }, { "jobService", service } };
}

json queueSettings(const SoakQueue& queue, std::uint64_t priority)
{
    json settings { { "name", queue.name }, { "host", names::host }, { "path_prefix", std::string("/") + queue.name + '/' }, { "service", queue.pool }, { "priority", priority }, { "max_attempts", queue.maxAttempts }, { "stretch", 3.0 }, { "target_latency_ms", 600 }, { "public", true } };
    if (queue.needsAdvice)
        settings["advice"] = { { "decide_ms", 20 }, { "each_ms", 5 }, { "valid_ms", 1'500 } };
    return settings;
}

json configurationText(std::uint64_t version)
{
    const json pools { { { "name", "alpha" }, { "max_conns", 64 } }, { { "name", "beta" }, { "max_conns", 64 } }, { { "name", "reserve" }, { "headroom", true } } };
    json routes = json::array();
    for (const SoakQueue& queue : soakQueues) {
        if (!queue.isRemovable || version % removalInterval != 0)
            routes.push_back(queueSettings(queue, routes.empty() ? version % priorityCount : 1));
    }
    return { { "version", version }, { "routes", routes }, { "services", pools }, { "tenants", json::array() } };
}

} // namespace

std::string hallName(unsigned hall)
{
    return "hall-" + std::to_string(hall);
}

HttpAddress SoakCluster::Entry::front() const
{
    return { ip, frontPort };
}

HttpAddress SoakCluster::Entry::readiness() const
{
    return { ip, readinessPort };
}

SoakCluster::SoakCluster(aio::AsioEventLoop& loop, ClusterOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_client(loop, {})
    , m_events(m_options.folder + "/standin.log")
{
    const std::vector<std::string> arguments { "--seed", std::to_string(m_options.seed), "--instances", std::to_string(m_options.instances), "--reserve", std::to_string(m_options.reserve), "--halls", std::to_string(m_options.halls), "--callers", std::to_string(m_options.processes) };
    m_standin = std::make_unique<Child>(m_options.programs + "/job_platform_standin", arguments, m_options.folder + "/standin.log");
    awaitStandin();
}

void SoakCluster::awaitStandin()
{
    const auto deadline = std::chrono::steady_clock::now() + standinStartTimeout;
    std::vector<json> lines;
    while (lines.empty() && !m_standin->exitCode() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(standinPollInterval);
        lines = m_events.read();
    }
    if (lines.empty())
        throw std::runtime_error("the stand-in of the platform does not start");
    const json& ports = lines.front();
    m_control = { "127.0.0.1", ports.at("control").get<std::uint16_t>() };
    m_entries.resize(m_options.processes);
    for (unsigned index = 0; index < m_options.processes; ++index)
        addEntry(index, ports);
    configure();
    proxyWorkers(ports.at("workers"));
}

void SoakCluster::addEntry(unsigned index, const json& ports)
{
    Entry& entry = m_entries[index];
    entry.name = "entry-" + std::to_string(index);
    entry.ip = addressOf(index);
    entry.settings = m_options.folder + '/' + entry.name + ".json";
    entry.log = m_options.folder + '/' + entry.name + ".log";
    entry.tail = std::make_unique<LogTail>(entry.log);
    entry.toStore = std::make_shared<Path>();
    entry.toFleet = std::make_shared<Path>();
    for (unsigned hall = 0; hall < m_options.halls; ++hall)
        entry.toHalls.push_back(std::make_shared<Path>());
    const auto proxy = [&](const char* service, const std::shared_ptr<Path>& path) {
        return std::make_unique<TcpProxy>(m_loop, HttpAddress { "127.0.0.1", ports.at(service).get<std::uint16_t>() }, [path](std::uint16_t, std::uint16_t) { return path; });
    };
    entry.storeProxy = proxy("store", entry.toStore);
    entry.fleetProxy = proxy("fleet", entry.toFleet);
    entry.advisor = join("127.0.0.1", ports.at("advisors").at(index).get<std::uint16_t>());
    std::ofstream(entry.settings) << settingsOf(entry, index % m_options.halls, m_options.relays).dump(2);
}

void SoakCluster::proxyWorkers(const json& ports)
{
    json addresses = json::object();
    for (const auto& [instance, port] : ports.items()) {
        // Matches the stand-in's placement: pairs of instances, round-robin over the data halls.
        const auto number = static_cast<unsigned>(std::stoul(instance.substr(instance.find('-') + 1)));
        const unsigned hall = number / 2 % m_options.halls;
        m_workerProxies.push_back(std::make_unique<TcpProxy>(m_loop, HttpAddress { "127.0.0.1", port.get<std::uint16_t>() }, [this, hall](std::uint16_t localPort, std::uint16_t remotePort) { return pathToHall(hall, localPort, remotePort); }));
        addresses[instance] = m_workerProxies.back()->address();
    }
    control("/begin", { { "addresses", addresses } });
}

std::shared_ptr<Path> SoakCluster::pathToHall(unsigned hall, std::uint16_t localPort, std::uint16_t remotePort)
{
    std::vector<pid_t> processes;
    for (const Entry& entry : m_entries) {
        if (entry.process)
            processes.push_back(entry.process->id());
    }
    const pid_t source = connectingProcess(localPort, remotePort, processes);
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [source](const Entry& entry) { return entry.process && entry.process->id() == source; });
    return found == m_entries.end() ? nullptr : found->toHalls[hall];
}

void SoakCluster::startEntry(unsigned index)
{
    Entry& entry = m_entries[index];
    entry.process = std::make_unique<Child>(m_options.programs + "/lanemoor", std::vector<std::string> { "serve", "--settings", entry.settings }, entry.log);
    ++entry.incarnation;
    entry.isReady = false;
    entry.isKilled = false;
    entry.isStopping = false;
}

void SoakCluster::control(const std::string& path, const json& body, std::function<void(std::int64_t)> done)
{
    HttpRequest request { .method = "POST", .target = path, .headers = {}, .body = body.dump() };
    m_client.send(m_control, { .request = std::move(request), .deadline = m_loop.now() + controlTimeout }, [done = std::move(done)](const aio::HttpReply& reply) {
        if (done && reply.delivery == aio::Delivery::Answered)
            done(currentInstant().time_since_epoch().count());
    });
}

void SoakCluster::configure()
{
    ++m_version;
    control("/put", { { "key", names::configurationKey }, { "value", configurationText(m_version).dump() } });
}

void SoakCluster::restoreQueues()
{
    if (m_version % removalInterval == 0)
        configure();
}

std::string SoakCluster::instance(unsigned index) const
{
    return "m-" + std::to_string(index % m_options.instances);
}

std::vector<std::string> SoakCluster::logs() const
{
    std::vector<std::string> files { m_options.folder + "/standin.log" };
    for (const Entry& entry : m_entries)
        files.push_back(entry.log);
    return files;
}

} // namespace lanemoor::soak
