#include "support/cluster.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace lanemoor::test {

namespace {

constexpr std::chrono::milliseconds conditionCheckInterval { 20 };
constexpr std::size_t maxAnswerBytes = 64 * 1024 * 1024;
const std::string loopback = "127.0.0.1";

/// Reads the port of a stand-in from its output line `listening PORT`.
std::uint16_t portOf(ChildProcess& process)
{
    const std::string prefix = "listening ";
    const std::optional<std::string> line = process.waitForLine([&](const std::string& text) { return text.rfind(prefix, 0) == 0; });
    if (!line)
        throw std::runtime_error("a stand-in did not start");
    return static_cast<std::uint16_t>(std::stoi(line->substr(prefix.size())));
}

} // namespace

std::string Answer::outcome() const
{
    return std::string(response.headers.find("Lanemoor-Outcome").value_or(std::string_view()));
}

Answer ask(const HttpAddress& address, const HttpRequest& request, std::chrono::milliseconds limit)
{
    HttpConnection connection(address);
    BufferSink sink(maxAnswerBytes);
    Answer answer;
    answer.result = connection.exchange(request, sink, { std::chrono::system_clock::now() + limit });
    answer.response = sink.response();
    return answer;
}

HttpRequest requestOf(const std::string& method, const std::string& target, const std::vector<HttpHeader>& headers, const std::string& body)
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.headers = HttpHeaders(headers);
    request.body = body;
    return request;
}

bool eventually(const std::function<bool()>& condition, std::chrono::seconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(conditionCheckInterval);
    }
    return true;
}

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "lanemoor-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("cannot create a temporary directory");
    m_folder = pattern;
    if (m_options.secure && command({ "keygen", keyFile() }).code != 0)
        throw std::runtime_error("keygen failed");
    m_platform = std::make_unique<ChildProcess>(m_options.buildFolder + "/platform_standin", std::vector<std::string> { std::to_string(m_options.listLagMs) });
    m_platformAddress = { loopback, portOf(*m_platform) };
}

Cluster::~Cluster()
{
    m_entries.clear();
    m_workers.clear();
    m_platform.reset();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void Cluster::addWorker(const WorkerSpec& spec)
{
    Worker worker;
    worker.process = std::make_unique<ChildProcess>(m_options.buildFolder + "/endpoint_standin", std::vector<std::string> { spec.id, std::to_string(m_options.rebootMs) });
    worker.address = { loopback, portOf(*worker.process) };
    registerWorker(spec, worker.address, true);
    m_workers[spec.id] = std::move(worker);
}

void Cluster::registerWorker(const WorkerSpec& spec, const HttpAddress& address, bool isObserved)
{
    const nlohmann::json description {
        { "id", spec.id },
        { "ip", loopback },
        { "port", address.port },
        { "dataHall", spec.dataHall },
        { "rack", spec.rack },
        { "labels", { { "service", spec.service } } },
        { "state", "live" },
        { "observed", isObserved },
    };
    static_cast<void>(ask(m_platformAddress, requestOf("POST", "/v1/instances", {}, description.dump())));
}

std::string Cluster::settingsOf(const std::string& name, const std::vector<std::uint16_t>& morePeers) const
{
    nlohmann::json peers = nlohmann::json::array();
    for (const auto& [other, entry] : m_entries)
        peers.push_back({ { "ip", loopback }, { "port", entry.peerPort } });
    for (const std::uint16_t port : morePeers)
        peers.push_back({ { "ip", loopback }, { "port", port } });
    nlohmann::json settings {
        { "name", name },
        { "dataHall", "hall0" },
        { "platform", { { "ip", loopback }, { "port", m_platformAddress.port } } },
        { "peers", peers },
        { "limits", { { "seats", m_options.shardCount }, { "leaseMs", m_options.leaseMs }, { "unreadyBeforeStopMs", 200 }, { "mostThreads", m_options.maxThreads }, { "mostListeners", m_options.maxListeners }, { "claimsPerSecond", 1000 } } },
    };
    if (m_options.secure)
        settings["peer"] = { { "keyFile", keyFile() } };
    return settings.dump(2);
}

void Cluster::addEntry(const std::string& name, const std::vector<std::uint16_t>& morePeers)
{
    const std::string file = m_folder + '/' + name + ".json";
    std::ofstream(file) << settingsOf(name, morePeers);
    Entry entry;
    entry.process = std::make_unique<ChildProcess>(m_options.buildFolder + "/lanemoor", std::vector<std::string> { "serve", "--settings", file });
    const std::optional<std::string> line = entry.process->waitForLine([](const std::string& text) { return text.find("\"listening\"") != std::string::npos; });
    if (!line)
        throw std::runtime_error("entry " + name + " did not start");
    const nlohmann::json event = nlohmann::json::parse(*line);
    entry.front = { loopback, event["front"].get<std::uint16_t>() };
    entry.operators = { loopback, event["operators"].get<std::uint16_t>() };
    const std::string peer = event["peer"].get<std::string>();
    entry.peerPort = static_cast<std::uint16_t>(std::stoi(peer.substr(peer.rfind(':') + 1)));
    m_entries[name] = std::move(entry);
}

bool Cluster::configure(const std::string& name, const std::string& text)
{
    const Answer answer = ask(entry(name).operators, requestOf("PUT", "/v1/configuration", { { "If-None-Match", "*" } }, text));
    return answer.response.status == 200;
}

bool Cluster::poolHas(const std::string& pool, unsigned members)
{
    for (auto& [name, entry] : m_entries) {
        const Answer answer = ask(entry.operators, requestOf("GET", "/v1/pools"));
        const nlohmann::json json = nlohmann::json::parse(answer.response.body, nullptr, false);
        if (!json.is_object())
            return false;
        bool found = false;
        for (const nlohmann::json& one : json["pools"])
            found = found || (one["name"] == pool && one["inService"] == members);
        if (!found || ask(entry.front, requestOf("GET", "/readyz")).response.status != 200)
            return false;
    }
    return true;
}

void Cluster::setFaults(const std::string& json)
{
    static_cast<void>(ask(m_platformAddress, requestOf("POST", "/faults", {}, json)));
}

void Cluster::killEntry(const std::string& name)
{
    m_entries.erase(name);
}

int Cluster::runsOf(const std::string& key) const
{
    int runs = 0;
    for (const auto& [id, worker] : m_workers) {
        const Answer answer = ask(worker.address, requestOf("GET", "/runs"));
        const nlohmann::json json = nlohmann::json::parse(answer.response.body, nullptr, false);
        if (json.is_object())
            runs += json["keys"].value(key, 0);
    }
    return runs;
}

int Cluster::countAt(const std::string& id, const std::string& name) const
{
    const nlohmann::json json = nlohmann::json::parse(ask(workerAddress(id), requestOf("GET", "/runs")).response.body, nullptr, false);
    return json.is_object() ? json.value(name, 0) : 0;
}

std::uint64_t Cluster::revisionAt(const std::string& name)
{
    const Answer answer = ask(entry(name).operators, requestOf("GET", "/v1/status"));
    const nlohmann::json json = nlohmann::json::parse(answer.response.body, nullptr, false);
    return json.is_object() ? json["configurationRevision"].get<std::uint64_t>() : 0;
}

Cluster::CommandResult Cluster::command(const std::vector<std::string>& arguments) const
{
    ChildProcess process(m_options.buildFolder + "/lanemoor", arguments);
    CommandResult result;
    // Waits for the end of the output, since no line is accepted.
    static_cast<void>(process.waitForLine([](const std::string&) { return false; }));
    result.code = process.waitForExit().value_or(-1);
    for (const std::string& line : process.lines())
        result.output += line + '\n';
    return result;
}

} // namespace lanemoor::test
