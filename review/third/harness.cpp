#include "harness.h"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lanemoor::review {

namespace {

constexpr Millis startTimeout { 15'000 };
constexpr Millis callTimeout { 3'000 }; // The callers' deadline.
constexpr Millis restartPause { 300 };
constexpr double bytesPerMb = 1'048'576;

sockaddr_in addressOf(const Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
    return address;
}

/// \returns A loopback address for an entry that parallel runs don't share.
std::string entryIp(unsigned index)
{
    constexpr unsigned perByte = 256;
    constexpr unsigned half = 127;
    constexpr unsigned first = 10;
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + pid / perByte % half) + '.' + std::to_string(pid % perByte) + '.' + std::to_string(first + index);
}

/// \returns The position after the header's end, or npos.
std::size_t bodyStart(const std::string& text)
{
    const std::size_t end = text.find("\r\n\r\n");
    return end == std::string::npos ? end : end + 4;
}

std::size_t contentLength(const std::string& header)
{
    for (const char* name : { "Content-Length: ", "content-length: " }) {
        const std::size_t found = header.find(name);
        if (found != std::string::npos)
            return std::strtoull(header.c_str() + found + std::string(name).size(), nullptr, 10);
    }
    return 0;
}

bool isComplete(const std::string& text)
{
    const std::size_t start = bodyStart(text);
    return start != std::string::npos && text.size() >= start + contentLength(text.substr(0, start));
}

std::string requestText(const std::string& method, const std::string& path, const std::string& body, const std::string& host)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Decodes base64 text.
std::string fromBase64(const std::string& text)
{
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr unsigned bitsPerDigit = 6;
    constexpr unsigned bitsPerByte = 8;
    std::string bytes;
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (const char c : text) {
        const std::size_t digit = digits.find(c);
        if (digit == std::string::npos)
            break;
        bits = (bits << bitsPerDigit) | static_cast<std::uint32_t>(digit);
        count += bitsPerDigit;
        if (count < bitsPerByte)
            continue;
        count -= bitsPerByte;
        bytes += static_cast<char>((bits >> count) & 0xFFU);
    }
    return bytes;
}

} // namespace

Record::Record(const std::string& file)
    : m_start(std::chrono::steady_clock::now())
    , m_out(file)
{
}

void Record::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    const auto passed = std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - m_start);
    m_out << passed.count() << " ms  " << text << std::endl;
}

Child::Child(const std::vector<std::string>& command, const std::string& logFile)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No process outlives this program.
    constexpr mode_t mode = 0644;
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
}

Child::~Child()
{
    kill();
}

bool Child::isRunning()
{
    if (m_pid <= 0 || m_hasEnded)
        return false;
    int status = 0;
    m_hasEnded = ::waitpid(m_pid, &status, WNOHANG) != 0;
    return !m_hasEnded;
}

double Child::residentMb() const
{
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/statm");
    std::uint64_t all = 0;
    std::uint64_t resident = 0;
    in >> all >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / bytesPerMb;
}

void Child::kill()
{
    if (m_pid <= 0 || m_hasEnded)
        return;
    ::kill(m_pid, SIGKILL);
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_hasEnded = true;
}

Answer call(const Endpoint& to, const std::string& method, const std::string& path, const std::string& body, const std::string& host, Millis timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(to);
    std::string received;
    const std::string request = requestText(method, path, body, host);
    bool isSent = ::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    for (std::size_t sent = 0; isSent && sent < request.size();) {
        const ssize_t count = ::send(connection, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        isSent = count > 0;
        sent += isSent ? static_cast<std::size_t>(count) : 0;
    }
    std::array<char, 65'536> buffer {};
    while (isSent && !isComplete(received)) {
        const auto left = std::chrono::duration_cast<Millis>(deadline - std::chrono::steady_clock::now()).count();
        pollfd waiting { connection, POLLIN, 0 };
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
            break;
        const ssize_t count = ::recv(connection, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            break;
        received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    ::close(connection);
    const std::size_t start = bodyStart(received);
    constexpr std::size_t statusAt = 9; // After "HTTP/1.1 ".
    if (start == std::string::npos || !isComplete(received))
        return {};
    return { .status = static_cast<int>(std::strtol(received.c_str() + statusAt, nullptr, 10)), .body = received.substr(start) };
}

std::uint16_t freePort(const std::string& ip)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf({ ip, 0 });
    socklen_t size = sizeof(address);
    static_cast<void>(::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(listener);
    return ntohs(address.sin_port);
}

Json configurationOf(std::uint64_t version, bool hasHeadroom)
{
    const auto queue = [](const char* name, const char* service, unsigned priority) {
        return Json { { "name", name }, { "host", "front.example" }, { "path_prefix", std::string("/") + name + '/' }, { "service", service }, { "priority", priority }, { "max_attempts", 3 }, { "stretch", 1.6 }, { "target_latency_ms", 600 } };
    };
    Json services = Json::array();
    for (const char* name : { "alpha", "beta" })
        services.push_back({ { "name", name }, { "rejects_overload", true }, { "max_conns", 64 } });
    if (hasHeadroom)
        services.push_back({ { "name", "reserve" }, { "headroom", true } });
    return { { "version", version }, { "routes", { queue("qa", "alpha", 0), queue("qb", "beta", 1) } }, { "services", services }, { "limits", { { "max_body_bytes", 262'144 } } } };
}

Json jobOf(const Json& payload, const Json& step)
{
    return { { "spec", payload.dump() }, { "steps", Json::array({ step }) } };
}

std::string idOf(std::uint64_t number)
{
    std::ostringstream text;
    text.width(16);
    text.fill('0');
    text << std::hex << number;
    return text.str();
}

void pause(Millis time)
{
    std::this_thread::sleep_for(time);
}

Cluster::Cluster(ClusterOptions options, Record& record)
    : m_options(std::move(options))
    , m_record(record)
    , m_entries(m_options.processes)
{
    if (!startStandin())
        m_standin.reset();
}

bool Cluster::startStandin()
{
    const std::vector<std::string> command { m_options.programs + "/job_platform_standin", "--seed", "1", "--instances", std::to_string(m_options.instances), "--reserve", std::to_string(m_options.reserve), "--halls", "3", "--callers", std::to_string(m_options.processes) };
    m_standin = std::make_unique<Child>(command, m_options.folder + "/standin.log");
    const auto deadline = std::chrono::steady_clock::now() + startTimeout;
    std::vector<Json> lines;
    while (lines.empty() && m_standin->isRunning() && std::chrono::steady_clock::now() < deadline) {
        pause(Millis(20));
        lines = events();
    }
    if (lines.empty())
        return false;
    const auto portOf = [&](const char* name) { return Endpoint { "127.0.0.1", lines.front().at(name).get<std::uint16_t>() }; };
    m_store = portOf("store");
    m_fleet = portOf("fleet");
    m_control = portOf("control");
    m_advisors = lines.front().at("advisors");
    return true;
}

/// The settings that deploy/settings.json gives with the figures of a deployment of six machines.
void Cluster::writeSettings(unsigned index)
{
    Entry& entry = m_entries[index];
    const std::string ip = entryIp(index);
    entry.front = { ip, freePort(ip) };
    entry.readiness = { ip, freePort(ip) };
    entry.settings = m_options.folder + "/settings-" + std::to_string(index) + ".json";
    entry.log = m_options.folder + "/entry-" + std::to_string(index) + ".log";
    const Json disabled { { "enabled", false } };
    const Json times { { "leastLeaseMs", 1'000 }, { "configurationApplyMs", 2'000 }, { "restoreMs", 250 }, { "handoverMs", 3'000 }, { "configurationTrustMs", 0 }, { "maintenanceSeconds", 2 }, { "moveSeconds", 1.5 }, { "stopGraceSeconds", 6 }, { "statusSeconds", 120 } };
    const Json service { { "front", entry.front.text() }, { "readiness", entry.readiness.text() }, { "metrics", Endpoint { ip, freePort(ip) }.text() }, { "peers", Endpoint { ip, freePort(ip) }.text() }, { "store", m_store.text() }, { "fleet", fleetProxy.value_or(m_fleet).text() },
        { "advisor", Endpoint { "127.0.0.1", m_advisors.at(index).get<std::uint16_t>() }.text() }, { "fleetActsPerSecond", 64 }, { "machineCores", 0.25 }, { "farFactor", 2 },
        { "policies", { { "reachability", disabled }, { "storeOutages", disabled }, { "failureDomains", disabled }, { "workerHealth", disabled } } }, { "times", times } };
    std::ofstream(entry.settings) << Json { { "name", "front-" + std::to_string(index) }, { "dataHall", "hall-" + std::to_string(index) }, { "jobService", service } }.dump(2);
}

void Cluster::startEntry(Entry& entry)
{
    entry.process = std::make_unique<Child>(std::vector<std::string> { m_options.daemon, "serve", "--settings", entry.settings }, entry.log);
}

bool Cluster::awaitReady()
{
    const auto deadline = std::chrono::steady_clock::now() + startTimeout;
    for (const Entry& entry : m_entries) {
        while (call(entry.readiness, "GET", "/api/ready", {}, "ready", callTimeout).status != 200) {
            if (std::chrono::steady_clock::now() >= deadline)
                return false;
            pause(Millis(50));
        }
    }
    return true;
}

bool Cluster::start(const Json& configuration)
{
    if (!m_standin)
        return false;
    put("op/config", configuration);
    static_cast<void>(call(m_control, "POST", "/begin", "{}", "control", startTimeout));
    for (unsigned i = 0; i < m_options.processes; ++i) {
        writeSettings(i);
        startEntry(m_entries[i]);
    }
    if (!awaitReady())
        return false;
    pause(Millis(1'500)); // Until there is an owner that has met the workers.
    m_record.line("started " + std::to_string(m_options.processes) + " processes; all are ready");
    return true;
}

void Cluster::put(const std::string& key, const Json& value)
{
    const Json body { { "key", key }, { "value", value.dump() } };
    const Answer answer = call(m_control, "POST", "/put", body.dump(), "control", startTimeout);
    m_record.line("operator writes " + key + " " + value.dump() + " -> " + std::to_string(answer.status));
}

void Cluster::remove(const std::string& key)
{
    const Answer answer = call(m_control, "POST", "/remove", Json { { "key", key } }.dump(), "control", startTimeout);
    m_record.line("the store drops " + key + " -> " + std::to_string(answer.status));
}

void Cluster::crash(const std::string& machine)
{
    constexpr unsigned forGood = 3'600'000;
    const Json body { { "instance", machine }, { "back_ms", forGood } };
    const Answer answer = call(m_control, "POST", "/kill", body.dump(), "control", startTimeout);
    m_record.line("the worker on " + machine + " crashes and does not come back -> " + std::to_string(answer.status));
}

Json Cluster::value(const std::string& key) const
{
    const Answer answer = call(m_store, "GET", "/api/kv-key?key=" + key, {}, "store", callTimeout);
    const Json item = Json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !item.is_object())
        return nullptr;
    return Json::parse(fromBase64(item.value("value", "")), nullptr, false);
}

Answer Cluster::submit(unsigned entry, const std::string& queue, const std::string& id, const Json& job)
{
    Answer answer = call(m_entries.at(entry).front, "POST", '/' + queue + '/' + id, job.dump(), "front.example", callTimeout);
    m_record.line("POST /" + queue + '/' + id + " at front-" + std::to_string(entry) + ' ' + job.dump().substr(0, 300) + " -> " + std::to_string(answer.status));
    return answer;
}

Answer Cluster::look(unsigned entry, const std::string& queue, const std::string& id)
{
    return call(m_entries.at(entry).front, "GET", '/' + queue + '/' + id, {}, "front.example", callTimeout);
}

std::string Cluster::stateOf(const std::string& queue, const std::string& id)
{
    for (unsigned i = 0; i < m_options.processes; ++i) {
        const Answer answer = look(i, queue, id);
        const Json body = Json::parse(answer.body, nullptr, false);
        if (answer.status == 410)
            return "410";
        if (answer.status == 200 && body.is_object())
            return body.value("state", "");
    }
    return {};
}

std::vector<Json> Cluster::events() const
{
    std::vector<Json> lines;
    std::ifstream in(m_options.folder + "/standin.log");
    for (std::string line; std::getline(in, line);) {
        Json event = Json::parse(line, nullptr, false);
        if (event.is_object())
            lines.push_back(std::move(event));
    }
    return lines;
}

Json Cluster::machines() const
{
    const Answer answer = call(m_fleet, "GET", "/api/machines", {}, "fleet", callTimeout);
    const Json body = Json::parse(answer.body, nullptr, false);
    return body.is_object() ? body.value("machines", Json::array()) : Json::array();
}

void Cluster::tend()
{
    const auto now = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < m_entries.size(); ++i) {
        Entry& entry = m_entries[i];
        if (entry.process && entry.process->isRunning()) {
            const double memory = entry.process->residentMb();
            if (memory <= static_cast<double>(m_options.memoryMb))
                continue;
            m_record.line("front-" + std::to_string(i) + " has " + std::to_string(static_cast<int>(memory)) + " MB, over its limit of " + std::to_string(m_options.memoryMb) + " MB: killed");
            entry.process->kill();
        }
        if (entry.process) {
            entry.process.reset();
            ++entry.ends;
            entry.startAgainAt = now + restartPause;
            m_record.line("the process of front-" + std::to_string(i) + " has ended, time " + std::to_string(entry.ends));
        }
        if (now >= entry.startAgainAt)
            startEntry(entry);
    }
}

std::vector<unsigned> Cluster::ends() const
{
    std::vector<unsigned> counts;
    counts.reserve(m_entries.size());
    for (const Entry& entry : m_entries)
        counts.push_back(entry.ends);
    return counts;
}

} // namespace lanemoor::review
