#include "driver.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int frontPort = 8'624;
constexpr int readyPort = 8'622;
constexpr int metricsPort = 9'464;
constexpr int peersPort = 7'060;
constexpr int ok = 200;
constexpr Millis retryPause { 300 };
constexpr unsigned entryCount = 3;

/// \returns A loopback address of this run, so that runs beside each other do not collide.
std::string ipOf(unsigned index)
{
    constexpr int perByte = 254;
    const int id = ::getpid();
    return "127." + std::to_string(1 + id / perByte % perByte) + '.' + std::to_string(1 + id % perByte) + '.' + std::to_string(10 + index);
}

std::string join(const std::string& ip, int port)
{
    return ip + ':' + std::to_string(port);
}

/// deploy/settings.json, filled with the figures of the site.
json settingsOf(const std::string& name, const std::string& ip, const Platform& platform, const Site& site)
{
    const json off { { "enabled", false } };
    const json times { { "leastLeaseMs", 1'000 }, { "configurationApplyMs", site.configurationApplyMs }, { "restoreMs", site.restoreMs }, { "handoverMs", 3'000 }, { "configurationTrustMs", 0 }, { "maintenanceSeconds", 2 }, { "moveSeconds", 1.5 }, { "stopGraceSeconds", 6 }, { "statusSeconds", 120 } };
    const json parts { { "front", join(ip, frontPort) }, { "readiness", join(ip, readyPort) }, { "metrics", join(ip, metricsPort) }, { "peers", join(ip, peersPort) }, { "store", platform.storeAddress() }, { "fleet", platform.cloudAddress() }, { "advisor", platform.adviceAddress() },
        { "fleetActsPerSecond", 64 }, { "machineCores", site.machineCores }, { "farFactor", 2 }, { "policies", { { "reachability", off }, { "storeOutages", off }, { "failureDomains", off }, { "workerHealth", off } } }, { "times", times } };
    return { { "name", name }, { "dataHall", "sala-a" }, { "jobService", parts } };
}

pid_t spawnEntry(const Environment& environment, const std::string& settings, const std::string& log)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, S_IRUSR | S_IWUSR);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<std::string> words { environment.program, "serve", "--settings", settings };
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    pid_t process = 0;
    const int error = ::posix_spawn(&process, environment.program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + environment.program);
    return process;
}

} // namespace

Entries::Entries(const Environment& environment, const Platform& platform, Record& record, const Site& site)
    : m_record(record)
{
    for (unsigned i = 0; i < entryCount; ++i) {
        const std::string name = "front-sala-a-" + std::to_string(i + 1);
        const std::string file = environment.scratch + '/' + name + ".json";
        std::ofstream(file) << settingsOf(name, ipOf(i), platform, site).dump(2);
        m_entries.push_back({ ipOf(i), spawnEntry(environment, file, environment.scratch + '/' + name + ".log") });
        record.write("entry-started", { { "name", name }, { "address", ipOf(i) } });
    }
}

Entries::~Entries()
{
    for (const Entry& entry : m_entries)
        ::kill(entry.process, SIGKILL);
    for (const Entry& entry : m_entries)
        ::waitpid(entry.process, nullptr, 0);
}

bool Entries::awaitReady(Millis timeout) const
{
    return waitUntil(timeout, [&] {
        return std::all_of(m_entries.begin(), m_entries.end(), [](const Entry& entry) {
            return send({ .address = join(entry.ip, readyPort), .method = "GET", .target = "/api/ready", .host = host, .body = {}, .timeoutMs = 500 }).status == ok;
        });
    });
}

Reply Entries::call(const std::string& method, const std::string& path, const std::string& body, unsigned tries)
{
    constexpr int badGateway = 502;
    constexpr int unavailable = 503;
    constexpr int timedOut = 504;
    Reply reply;
    for (unsigned i = 0; i < tries; ++i) {
        const Entry& entry = m_entries[m_next++ % m_entries.size()];
        reply = send({ .address = join(entry.ip, frontPort), .method = method, .target = path, .host = host, .body = body });
        m_record.write("call", { { "entry", entry.ip }, { "method", method }, { "path", path }, { "status", reply.status }, { "answer", reply.body }, { "body", body } });
        if (reply.status != 0 && reply.status != badGateway && reply.status != unavailable && reply.status != timedOut)
            break;
        std::this_thread::sleep_for(retryPause);
    }
    return reply;
}

json route(const std::string& name, const std::string& service, unsigned maxAttempts)
{
    return { { "name", name }, { "host", host }, { "path_prefix", '/' + name + '/' }, { "route_type", "unsafe" }, { "timeout_ms", 3'000 }, { "target_latency_ms", 600 }, { "priority", 0 }, { "service", service }, { "max_attempts", maxAttempts }, { "stretch", 2.2 } };
}

json service(const std::string& name)
{
    return { { "name", name }, { "health_path", "/health" }, { "max_conns", 64 }, { "protocol", "h1" }, { "tls", false }, { "rejects_overload", true }, { "headroom", false } };
}

json configuration(std::uint64_t version, const json& routes, const json& services)
{
    return { { "version", version }, { "routes", routes }, { "services", services }, { "limits", { { "max_header_bytes", 16'384 }, { "max_body_bytes", 262'144 }, { "header_timeout_ms", 3'000 }, { "idle_timeout_ms", 15'000 } } } };
}

bool waitUntil(Millis timeout, const std::function<bool()>& condition)
{
    const Clock::time_point deadline = Clock::now() + timeout;
    while (!condition()) {
        if (Clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(poll);
    }
    return true;
}

std::size_t countOf(Platform& platform, const std::string& task, const std::string& what)
{
    const std::vector<RunEvent> events = platform.events();
    return static_cast<std::size_t>(std::count_if(events.begin(), events.end(), [&](const RunEvent& event) { return event.task == task && event.what == what; }));
}

} // namespace review
