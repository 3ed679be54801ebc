// Crowds of callers, peers and servers that do not behave: an entry instance stays within the memory and descriptors of the
// smallest machine, and answers an ordinary request while the crowd is connected and afterwards.

#include "support/hostile_crowd.h"
#include "support/small_cluster.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

using namespace lanemoor;
using namespace lanemoor::test;

namespace {

constexpr std::uint64_t memoryBoundMb = 160; ///< Memory of the smallest machine.
constexpr std::size_t descriptorLimit = 4'100; ///< Of the smallest machine.
constexpr std::size_t loweredDescriptorLimit = 600; ///< Of processes that a small crowd can exhaust.
constexpr std::size_t fileDescriptors = 200; ///< Not available for connections.
constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t bodyLimit = megabyte;
constexpr std::uint64_t maxSentBytes = 4 * megabyte; ///< Of one connection that sends without end.

/// A cluster whose processes may open few descriptors.
class LimitedCluster {
public:
    LimitedCluster()
    {
        rlimit lowered = m_former;
        lowered.rlim_cur = loweredDescriptorLimit;
        ::setrlimit(RLIMIT_NOFILE, &lowered);
        m_cluster = std::make_unique<SmallCluster>(1, 2, 1);
        ::setrlimit(RLIMIT_NOFILE, &m_former);
    }

    [[nodiscard]] SmallCluster& operator*() const noexcept { return *m_cluster; }

private:
    static rlimit currentLimit()
    {
        rlimit current {};
        ::getrlimit(RLIMIT_NOFILE, &current);
        return current;
    }

    rlimit m_former = currentLimit();
    std::unique_ptr<SmallCluster> m_cluster;
};

HttpAddress peerAddress(Cluster& cluster)
{
    return { "127.0.0.1", cluster.entry("a").peerPort };
}

std::uint16_t portIn(const std::string& address)
{
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
}

pid_t entryProcess(Cluster& cluster)
{
    return cluster.entry("a").process->id();
}

bool isWithinMemory(pid_t process)
{
    return memoryOf(process).peakMb < memoryBoundMb;
}

/// A crowd that sends as long as the entry instance stays within the bound of its memory.
class Crowd {
public:
    explicit Crowd(Cluster& cluster, std::size_t descriptorLimitOfEntry = descriptorLimit)
        : m_cluster(cluster)
        , m_maxDescriptors(descriptorLimitOfEntry - fileDescriptors)
        , m_crowd(std::make_unique<HostileCrowd>([process = entryProcess(cluster)] { return isWithinMemory(process); }))
    {
    }

    void add(const HttpAddress& address, unsigned count, const HostileScript& script) { m_crowd->add(address, script, count); }

    /// Checks bounds and ordinary requests while the crowd is connected and after it has gone.
    void check()
    {
        const pid_t process = entryProcess(m_cluster);
        m_crowd->start();
        m_crowd->waitUntilQuiet();
        const ProcessMemory memory = memoryOf(process);
        const std::size_t descriptors = descriptorsOf(process);
        CAPTURE(memory.peakMb, memory.residentMb, descriptors);
        CHECK(memory.peakMb < memoryBoundMb);
        CHECK(descriptors <= m_maxDescriptors);
        checkOrdinaryRequests();
        m_crowd.reset();
        checkOrdinaryRequests();
        CHECK(memoryOf(process).peakMb < memoryBoundMb);
        CHECK_FALSE(m_cluster.entry("a").process->waitForExit(std::chrono::seconds(0)));
    }

private:
    void checkOrdinaryRequests()
    {
        CHECK(ask(m_cluster.entry("a").front, requestOf("GET", "/counter/check")).response.status == 200);
        CHECK(ask(m_cluster.entry("a").operators, requestOf("GET", "/v1/status")).response.status == 200);
    }

    Cluster& m_cluster;
    std::size_t m_maxDescriptors;
    std::unique_ptr<HostileCrowd> m_crowd;
};

std::string postHead(const std::string& framing)
{
    return "POST /counter/check HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n";
}

std::string announcedBody(std::size_t announced, std::size_t sent)
{
    return postHead("Content-Length: " + std::to_string(announced)) + std::string(sent, 'x');
}

/// Greeting, NULL handshake and READY command of a ZeroMQ 3.0 socket of type PUSH.
std::string peerHandshake()
{
    std::string greeting("\xff\0\0\0\0\0\0\0\1\x7f\3\0NULL", 16);
    greeting.resize(64, '\0');
    return greeting + std::string("\4\x1a\5READY\13Socket-Type\0\0\0\4PUSH", 28);
}

/// The head of a ZeroMQ frame.
std::string longFrameHead(std::uint64_t length)
{
    std::string head("\2");
    for (int shift = 56; shift >= 0; shift -= 8)
        head += static_cast<char>(length >> shift);
    return head;
}

/// An entry instance whose platform answers each call with `script`.
class EntryOnHostilePlatform {
public:
    explicit EntryOnHostilePlatform(const HostileScript& script)
        : m_platform(script, [this] { return m_id == 0 || isWithinMemory(m_id); })
    {
        const std::string file = m_cluster.folder() + "/hostile.json";
        const nlohmann::json platform { { "ip", "127.0.0.1" }, { "port", portIn(m_platform.address()) } };
        std::ofstream(file) << nlohmann::json { { "name", "a" }, { "dataHall", "hall0" }, { "platform", platform } };
        m_process = std::make_unique<ChildProcess>(LANEMOOR_BUILD_FOLDER "/lanemoor", std::vector<std::string> { "serve", "--settings", file });
        m_id = m_process->id();
    }

    /// Checks the process after the platform has sent `minBytes`.
    void check(std::uint64_t minBytes)
    {
        const std::optional<std::string> line = m_process->waitForLine([](const std::string& text) { return text.find("\"listening\"") != std::string::npos; });
        REQUIRE(line);
        const HttpAddress front { "127.0.0.1", nlohmann::json::parse(*line)["front"].get<std::uint16_t>() };
        const bool ended = eventually([&] { return m_platform.sentBytes() >= minBytes || !isWithinMemory(m_id); });
        const ProcessMemory memory = memoryOf(m_id);
        CAPTURE(m_platform.sentBytes(), memory.peakMb);
        CHECK(ended);
        CHECK(memory.peakMb < memoryBoundMb);
        CHECK(ask(front, requestOf("GET", "/healthz")).response.status == 200);
        CHECK_FALSE(m_process->waitForExit(std::chrono::seconds(0)));
    }

private:
    std::atomic<pid_t> m_id { 0 };
    HostileServer m_platform;
    Cluster m_cluster { { .buildFolder = LANEMOOR_BUILD_FOLDER } };
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace

// Guards against idle connections that use up the descriptors of the process.
TEST_CASE("silent connections and unfinished heads on the front leave room for ordinary callers")
{
    const LimitedCluster limited;
    SmallCluster& cluster = *limited;
    Crowd crowd(cluster, loweredDescriptorLimit);
    crowd.add(cluster.front("a"), 350, { .opening = {} });
    crowd.add(cluster.front("a"), 350, { .opening = "GET /counter/check HTTP/1.1\r\nHost: a\r\nX: " });
    crowd.check();
}

// Guards against idle connections that use up the descriptors of the process.
TEST_CASE("silent connections and unfinished heads on the operators port leave room for ordinary callers")
{
    const LimitedCluster limited;
    SmallCluster& cluster = *limited;
    Crowd crowd(cluster, loweredDescriptorLimit);
    crowd.add(cluster.entry("a").operators, 350, { .opening = {} });
    crowd.add(cluster.entry("a").operators, 350, { .opening = "GET /v1/status HTTP/1.1\r\nHost: a\r\nX: " });
    crowd.check();
}

// Guards against unauthenticated peers that use up the descriptors of the process.
TEST_CASE("silent connections and unfinished greetings on the peer link leave room for ordinary callers")
{
    const LimitedCluster limited;
    SmallCluster& cluster = *limited;
    Crowd crowd(cluster, loweredDescriptorLimit);
    crowd.add(peerAddress(cluster), 350, { .opening = {} });
    crowd.add(peerAddress(cluster), 350, { .opening = peerHandshake().substr(0, 20) });
    crowd.check();
}

// Guards against a limit for each body that bounds nothing for all bodies together.
TEST_CASE("bodies on the front that stop short of the limit stay within the memory of the machine")
{
    SmallCluster cluster(1, 2, 1);
    Crowd crowd(cluster);
    crowd.add(cluster.front("a"), 300, { .opening = announcedBody(bodyLimit, bodyLimit - 1) });
    crowd.check();
}

// Guards against a limit for each body that bounds nothing for all bodies together.
TEST_CASE("bodies on the operators port that stop short of the limit stay within the memory of the machine")
{
    SmallCluster cluster(1, 2, 1);
    Crowd crowd(cluster);
    crowd.add(cluster.entry("a").operators, 300, { .opening = announcedBody(bodyLimit, bodyLimit - 1) });
    crowd.check();
}

// Guards against a limit for each frame that bounds nothing for all frames together.
TEST_CASE("frames on the peer link that stop short of the limit stay within the memory of the machine")
{
    SmallCluster cluster(1, 2, 1);
    constexpr std::size_t frameBytes = 4 * 1024 * 1024;
    Crowd crowd(cluster);
    crowd.add(peerAddress(cluster), 60, { .opening = peerHandshake() + longFrameHead(frameBytes) + std::string(frameBytes - 1, 'x') });
    crowd.check();
}

// Guards against frames that are collected before the peer is known to be one.
TEST_CASE("frames on the peer link with keys that come before the handshake stay within the memory of the machine")
{
    SmallCluster cluster(1, 2, 1, true);
    constexpr std::size_t frameBytes = 4 * 1024 * 1024;
    std::string greeting("\xff\0\0\0\0\0\0\0\1\x7f\3\0CURVE", 17);
    greeting.resize(64, '\0');
    Crowd crowd(cluster);
    crowd.add(peerAddress(cluster), 60, { .opening = greeting + longFrameHead(frameBytes) + std::string(frameBytes - 1, 'x') });
    crowd.check();
}

// Guards against trailers that are collected outside the limits of header and body.
TEST_CASE("chunked bodies with endless trailers are refused and collected nowhere")
{
    SmallCluster cluster(1, 2, 1);
    const HostileScript script { .opening = postHead("Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n", .repeated = "X-Trailer: " + std::string(1000, 'x') + "\r\n", .maxBytes = maxSentBytes };
    Crowd crowd(cluster);
    crowd.add(cluster.front("a"), 20, script);
    crowd.add(cluster.entry("a").operators, 20, script);
    crowd.check();
}

// Guards against heads, bodies and greetings that grow as long as a caller sends.
TEST_CASE("endless heads and bodies on all ports at once stay within memory and descriptors")
{
    const LimitedCluster limited;
    SmallCluster& cluster = *limited;
    Crowd crowd(cluster, loweredDescriptorLimit);
    for (const HttpAddress& address : { cluster.front("a"), cluster.entry("a").operators }) {
        crowd.add(address, 60, { .opening = "GET / HTTP/1.1\r\n", .repeated = "X: " + std::string(1000, 'x') + "\r\n", .maxBytes = maxSentBytes });
        crowd.add(address, 60, { .opening = "GET /", .repeated = std::string(1000, 'x'), .maxBytes = maxSentBytes });
        crowd.add(address, 60, { .opening = announcedBody(100 * bodyLimit, 0), .repeated = std::string(1000, 'x'), .maxBytes = maxSentBytes });
        crowd.add(address, 60, { .opening = announcedBody(bodyLimit, bodyLimit - 1) });
        crowd.add(address, 60, { .opening = {} });
    }
    crowd.add(peerAddress(cluster), 60, { .opening = {}, .repeated = std::string(1000, '\xff'), .maxBytes = maxSentBytes });
    crowd.add(peerAddress(cluster), 60, { .opening = peerHandshake() + longFrameHead(std::uint64_t { 1 } << 40U), .repeated = std::string(1000, 'x'), .maxBytes = maxSentBytes });
    crowd.add(peerAddress(cluster), 60, { .opening = {} });
    crowd.check();
}

// Guards against threads that wait for callers to read long answers.
TEST_CASE("callers that do not read long answers leave the front to others")
{
    Cluster cluster({ .buildFolder = LANEMOOR_BUILD_FOLDER, .maxThreads = 12, .maxListeners = 4 });
    cluster.addWorker({ .id = "w0", .dataHall = "hall0", .rack = "rack0", .service = "counter" });
    cluster.addWorker({ .id = "w1", .dataHall = "hall0", .rack = "rack1", .service = "counter" });
    cluster.addEntry("a");
    REQUIRE(cluster.configure("a", SmallCluster::configuration(1)));
    REQUIRE(eventually([&] { return cluster.poolHas("counter", 2); }));
    Crowd crowd(cluster);
    crowd.add(cluster.entry("a").front, 20, { .opening = {}, .repeated = announcedBody(bodyLimit, bodyLimit), .maxBytes = 12 * megabyte });
    crowd.check();
}

// Guards against threads that wait for callers to read the answers of pipelined requests.
TEST_CASE("pipelined requests whose answers are not read leave the operators port to others")
{
    SmallCluster cluster(1, 2, 1);
    Crowd crowd(cluster);
    crowd.add(cluster.entry("a").operators, 16, { .opening = {}, .repeated = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", .maxBytes = maxSentBytes });
    crowd.check();
}

// Guards against an answer that is collected outside the limits of head and body, or holds a thread without end.
TEST_CASE("endless answers of an endpoint stay within the memory of the machine")
{
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string line = "X-Field: " + std::string(1000, 'x') + "\r\n";
    const auto [opening, repeated] = GENERATE_COPY(
        std::pair(std::string("HTTP/1.1 200 OK\r\n"), line),
        std::pair(std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n")),
        std::pair(std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"), std::string(1000, 'x')),
        std::pair(chunkedHead + "0\r\n", line),
        std::pair(chunkedHead, std::string("1\r\nx\r\n")),
        std::pair(chunkedHead + "1;", std::string(1000, 'x')));
    CAPTURE(opening, repeated.substr(0, 40));
    const HostileServer endpoint({ .opening = opening, .repeated = repeated, .maxBytes = maxSentBytes }, [] { return true; });
    Cluster cluster({ .buildFolder = LANEMOOR_BUILD_FOLDER });
    cluster.addWorker({ .id = "w0", .dataHall = "hall0", .rack = "rack0", .service = "counter" });
    cluster.registerWorker({ .id = "w1", .dataHall = "hall0", .rack = "rack1", .service = "hostile" }, { "127.0.0.1", portIn(endpoint.address()) }, false);
    cluster.addEntry("a");
    REQUIRE(cluster.configure("a", R"({"pools":[{"name":"counter","selector":"service=counter","wanted":10,"budget":{"minimum":0,"survives":"none"}},{"name":"hostile","selector":"service=hostile","wanted":10,"budget":{"minimum":0,"survives":"none"}}]})"));
    REQUIRE(eventually([&] { return cluster.poolHas("counter", 1) && cluster.poolHas("hostile", 1); }));
    const std::uint64_t sentBefore = endpoint.sentBytes();
    Crowd crowd(cluster);
    crowd.add(cluster.entry("a").front, 20, { .opening = "GET /hostile/check HTTP/1.1\r\nHost: a\r\n\r\n" });
    crowd.check();
    CHECK(endpoint.sentBytes() > sentBefore);
}

// Guards against answers of the platform that are collected without a bound.
TEST_CASE("endless answers of the platform stay within the memory of the machine")
{
    const std::string line = "X-Field: " + std::string(1000, 'x') + "\r\n";
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto [opening, repeated] = GENERATE_COPY(
        std::pair(std::string("HTTP/1.1 200 OK\r\n"), line),
        std::pair(chunkedHead + "0\r\n", line),
        std::pair(chunkedHead, "3e8\r\n" + std::string(1000, 'x') + "\r\n"));
    CAPTURE(opening, repeated.substr(0, 40));
    constexpr std::uint64_t answerBytes = 32 * megabyte;
    EntryOnHostilePlatform entry({ .opening = opening, .repeated = repeated, .maxBytes = answerBytes });
    entry.check(answerBytes);
}

// Guards against a list of instances that takes many times its size in memory once decoded.
TEST_CASE("dense instance lists of the platform stay within the memory of the machine")
{
    constexpr std::size_t bodyBytes = 8 * megabyte - 1'024;
    const std::string head = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    const auto [start, repeated] = GENERATE(std::pair("", "["), std::pair("[{}", ",{}"), std::pair("[{\"id\":\"", "\\n"));
    CAPTURE(start, repeated);
    EntryOnHostilePlatform entry({ .opening = head + start, .repeated = repeated, .maxBytes = bodyBytes });
    entry.check(24 * bodyBytes);
}

// Guards against a document of an allowed size that takes many times its size in memory once read, or long to read.
TEST_CASE("dense documents on the operators port stay within the memory of the machine")
{
    SmallCluster cluster(1, 2, 1);
    const auto documentOf = [](std::string text, const std::string& repeated) {
        while (text.size() + repeated.size() < bodyLimit)
            text += repeated;
        return "PUT /v1/configuration HTTP/1.1\r\nHost: a\r\nIf-None-Match: *\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    };
    Crowd crowd(cluster);
    for (const auto& [start, repeated] : { std::pair("[0", ",0"), std::pair("[[]", ",[]"), std::pair("{\"a\":0", ",\"a\":0"), std::pair("", "[") })
        crowd.add(cluster.entry("a").operators, 4, { .opening = documentOf(start, repeated), .readsAnswers = true });
    crowd.check();
}
