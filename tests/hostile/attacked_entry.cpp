#include "hostile/attacked_entry.h"

#include "support/raw_socket.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <stdexcept>

namespace lanemoor::test {

namespace {

using nlohmann::json;

constexpr std::uint16_t metricsPort = 9'464;
constexpr int maxAttempts = 60;
constexpr std::chrono::milliseconds attemptInterval { 200 };

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "lanemoor-hostile-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a folder");
    return pattern;
}

/// \returns The status of the response to one request on a new connection; 0 if there is no complete header.
unsigned exchange(const HttpAddress& address, const std::string& request)
{
    try {
        const RawSocket socket(address);
        if (!socket.send(request))
            return 0;
        const std::string answer = socket.readAll();
        constexpr std::string_view prefix = "HTTP/1.1 ";
        if (answer.compare(0, prefix.size(), prefix) != 0 || answer.find("\r\n\r\n") == std::string::npos)
            return 0;
        return static_cast<unsigned>(std::strtoul(answer.c_str() + prefix.size(), nullptr, 10));
    } catch (const std::runtime_error&) {
        return 0;
    }
}

/// \returns The first status other than 0 and `retried`, after a bounded number of attempts.
unsigned exchangeWithRetries(const HttpAddress& address, const std::string& request, unsigned retried)
{
    unsigned status = 0;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        status = exchange(address, request);
        if (status != 0 && status != retried)
            return status;
        std::this_thread::sleep_for(attemptInterval);
    }
    return status;
}

} // namespace

bool isWithinMemory(pid_t process)
{
    return memoryOf(process).peakMb <= maxMemoryMb;
}

AttackedEntry::AttackedEntry(const json& changes)
    : m_folder(makeFolder())
    , m_cluster(m_loop, { .programs = LANEMOOR_BUILD_FOLDER, .folder = m_folder, .processes = 1, .instances = 4, .reserve = 0 })
    , m_entry(m_cluster.entries().front())
{
    json settings = json::parse(std::ifstream(m_entry.settings));
    settings["jobService"]["limits"] = { { "connections", entryConnections }, { "headerBytes", entryHeaderBytes }, { "bodyBytes", entryBodyBytes } };
    settings["jobService"].merge_patch(changes);
    std::ofstream(m_entry.settings) << settings.dump(2);
    m_cluster.startEntry(0);
    m_thread = std::thread([this] { m_loop.run(); });
}

AttackedEntry::~AttackedEntry()
{
    m_loop.stop();
    m_thread.join();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::array<HttpAddress, 3> AttackedEntry::addresses() const
{
    return { m_entry.front(), m_entry.readiness(), HttpAddress { m_entry.ip, metricsPort } };
}

bool AttackedEntry::acceptsJob(const std::string& queue)
{
    constexpr std::size_t idDigits = 16;
    constexpr unsigned accepted = 200;
    constexpr unsigned unavailable = 503;
    std::string id = std::to_string(++m_jobs);
    id.insert(0, idDigits - id.size(), '0');
    const std::string body = R"({"spec":"x","steps":[{"count":1,"cpu":10,"mem_mb":1,"est_ms":10}]})";
    const std::string request = "POST /" + queue + '/' + id + " HTTP/1.1\r\nHost: " + soak::names::host + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return exchangeWithRetries(addresses().front(), request, unavailable) == accepted;
}

unsigned AttackedEntry::statusOf(const HttpAddress& address, const std::string& target) const
{
    return exchangeWithRetries(address, "GET " + target + " HTTP/1.1\r\nHost: " + soak::names::host + "\r\nConnection: close\r\n\r\n", 0);
}

bool AttackedEntry::servesAll()
{
    constexpr unsigned ok = 200;
    const std::array<HttpAddress, 3> all = addresses();
    return acceptsJob() && statusOf(all[1], "/api/ready") != 0 && statusOf(all[2], "/metrics") == ok;
}

void AttackedEntry::put(const std::string& key, const json& value)
{
    std::promise<void> done;
    m_loop.callAt(m_loop.now(), [&] { m_cluster.control("/put", { { "key", key }, { "value", value.dump() } }, [&done](std::int64_t) { done.set_value(); }); });
    done.get_future().wait();
}

void AttackedEntry::check(const std::string& when)
{
    const ProcessMemory memory = memoryOf(process());
    const std::size_t descriptors = descriptorsOf(process());
    std::cout << when << ": " << memory.residentMb << " MB, peak " << memory.peakMb << " MB, " << descriptors << " descriptors" << std::endl;
    INFO(when);
    CHECK_FALSE(m_entry.process->exitCode().has_value());
    CHECK(memory.peakMb <= maxMemoryMb);
    CHECK(descriptors <= entryConnections + maxOtherDescriptors);
}

} // namespace lanemoor::test
