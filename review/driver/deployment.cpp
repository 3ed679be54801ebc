#include "deployment.h"

#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr Millis pollInterval { 10 };
constexpr Millis startTime { 20'000 };
constexpr Millis controlPatience { 5'000 };
const std::string host = "review.example";

/// Standard base64 with padding.
std::string fromBase64(const std::string& text)
{
    const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr unsigned bitsOfDigit = 6;
    constexpr unsigned bitsOfByte = 8;
    std::string bytes;
    unsigned value = 0;
    unsigned bits = 0;
    for (const char c : text) {
        const std::size_t digit = digits.find(c);
        if (digit == std::string::npos)
            break;
        value = (value << bitsOfDigit) | static_cast<unsigned>(digit);
        bits += bitsOfDigit;
        if (bits < bitsOfByte)
            continue;
        bits -= bitsOfByte;
        bytes += static_cast<char>((value >> bits) & 0xFFU);
    }
    return bytes;
}

json queue(const std::string& name)
{
    return { { "name", name }, { "host", host }, { "path_prefix", '/' + name + '/' }, { "service", name }, { "priority", 0 }, { "max_attempts", 3 }, { "stretch", 3.0 }, { "target_latency_ms", 600 }, { "public", true } };
}

json configuration()
{
    const json pools { { { "name", "alpha" }, { "rejects_overload", true }, { "max_conns", 64 } }, { { "name", "beta" }, { "rejects_overload", true }, { "max_conns", 64 } }, { { "name", "reserve" }, { "headroom", true } } };
    return { { "version", 3 }, { "routes", { queue("alpha"), queue("beta") } }, { "services", pools } };
}

} // namespace

void pause(Millis time)
{
    std::this_thread::sleep_for(time);
}

void Record::write(json line)
{
    if (!line.contains("at"))
        line["at"] = timeOfDay();
    const std::lock_guard lock(m_mutex);
    m_out << line.dump() << std::endl;
}

Deployment::Deployment(Folders folders, Record& record, const Size& size)
    : m_folders(std::move(folders))
    , m_record(record)
{
    const std::vector<std::string> arguments { "--instances", std::to_string(size.instances), "--reserve", std::to_string(size.reserve), "--halls", std::to_string(size.halls) };
    m_children.push_back(std::make_unique<lanemoor::soak::Child>(m_folders.standins + "/job_platform_standin", arguments, m_folders.scratch + "/standin.log"));
    const auto deadline = Clock::now() + startTime;
    while (events().empty()) {
        if (Clock::now() > deadline)
            throw std::runtime_error("the stand-in of the platform doesn't start");
        pause(pollInterval);
    }
    m_ports = m_events.front();
    control("/put", { { "key", "op/config" }, { "value", configuration().dump() } });
}

void Deployment::beginWorkers(const json& addresses)
{
    control("/begin", { { "addresses", addresses } });
}

std::string Deployment::ipOf(unsigned entry)
{
    // Apart from those of other runs.
    constexpr unsigned perByte = 256;
    constexpr unsigned half = 127;
    constexpr unsigned first = 10;
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + pid / perByte % half) + '.' + std::to_string(pid % perByte) + '.' + std::to_string(first + entry);
}

/// As deploy/settings.json, filled with the bounds of prc-montevideo.
json Deployment::settingsOf(unsigned index, const std::string& store, const std::string& fleet) const
{
    const std::string ip = ipOf(index);
    const json off { { "enabled", false } };
    const json policies { { "reachability", off }, { "storeOutages", off }, { "failureDomains", off }, { "workerHealth", off } };
    const json times { { "leastLeaseMs", 1'000 }, { "configurationApplyMs", 2'000 }, { "restoreMs", 250 }, { "handoverMs", 3'000 }, { "configurationTrustMs", 0 }, { "maintenanceSeconds", 2 }, { "moveSeconds", 1.5 }, { "stopGraceSeconds", 6 }, { "statusSeconds", 120 } };
    const json service { { "front", ip + ":8624" }, { "readiness", ip + ":8622" }, { "metrics", ip + ":9464" }, { "peers", ip + ":7060" }, { "store", store }, { "fleet", fleet.empty() ? portOf("fleet") : fleet }, { "advisor", "" }, { "fleetActsPerSecond", 64 }, { "machineCores", 0.25 }, { "farFactor", 2 }, { "policies", policies }, { "times", times } };
    return { { "name", "front-hall-" + std::to_string(index) + "-1" }, { "dataHall", "hall-" + std::to_string(index) }, { "jobService", service } };
}

void Deployment::startEntry(unsigned index, const std::string& store, const std::string& fleet)
{
    const std::string base = m_folders.scratch + "/entry-" + std::to_string(index);
    std::ofstream(base + ".json") << settingsOf(index, store, fleet).dump(2);
    m_children.push_back(std::make_unique<lanemoor::soak::Child>(m_folders.lanemoor, std::vector<std::string> { "serve", "--settings", base + ".json" }, base + ".log"));
    const auto deadline = Clock::now() + startTime;
    while (call(ipOf(index) + ":8622", { .method = "GET", .path = "/api/ready", .host = host, .body = {} }, controlPatience).status != 200) {
        if (Clock::now() > deadline)
            throw std::runtime_error("an entry instance doesn't become ready");
        pause(pollInterval);
    }
    m_record.write({ { "event", "entry-ready" }, { "entry", index } });
}

Answer Deployment::client(unsigned entry, const std::string& method, const std::string& path, const std::string& body, Millis patience)
{
    m_record.write({ { "client", method + ' ' + path }, { "entry", entry }, { "body", body } });
    Answer answer = call(ipOf(entry) + ":8624", { .method = method, .path = path, .host = host, .body = body }, patience);
    m_record.write({ { "answer to", method + ' ' + path }, { "entry", entry }, { "status", answer.status == 0 ? json("none") : json(answer.status) }, { "body", answer.body } });
    return answer;
}

void Deployment::control(const std::string& path, const json& body)
{
    if (call(portOf("control"), { .method = "POST", .path = path, .host = host, .body = body.dump() }, controlPatience).status != 200)
        throw std::runtime_error("the stand-in refuses " + path);
    if (path != "/put")
        m_record.write({ { "trouble", path }, { "body", body } });
}

void Deployment::operate(const std::string& key, const json& value)
{
    m_record.write({ { "operator writes", key }, { "value", value } });
    control("/put", { { "key", key }, { "value", value.dump() } });
}

json Deployment::operatorReads(const std::string& key) const
{
    const Answer answer = call(storeAddress(), { .method = "GET", .path = "/api/kv-key?key=" + key, .host = host, .body = {} }, controlPatience);
    const json item = json::parse(answer.body, nullptr, false);
    return answer.status == 200 && item.is_object() ? json::parse(fromBase64(item.value("value", "")), nullptr, false) : json();
}

const std::vector<json>& Deployment::events()
{
    std::ifstream in(m_folders.scratch + "/standin.log", std::ios::binary);
    in.seekg(static_cast<std::streamoff>(m_readUpTo));
    std::ostringstream content;
    content << in.rdbuf();
    const std::string text = content.str();
    std::size_t begin = 0;
    for (std::size_t end = 0; (end = text.find('\n', begin)) != std::string::npos; begin = end + 1) {
        json line = json::parse(text.substr(begin, end - begin), nullptr, false);
        if (!line.is_object())
            continue;
        m_record.write(line);
        m_events.push_back(std::move(line));
    }
    m_readUpTo += begin;
    return m_events;
}

std::vector<json> Deployment::eventsOf(const std::string& job, const std::string& event)
{
    std::vector<json> found;
    for (const json& line : events()) {
        if (line.value("event", "") == event && line.value("task", "").starts_with(job + '.'))
            found.push_back(line);
    }
    return found;
}

} // namespace review
