/// The job service beside a store, a fleet interface, an advisor and workers whose responses have no end.

#include "hostile/attacked_entry.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::test;

namespace {

using nlohmann::json;

constexpr std::uint64_t maxBytesPerResponse = 33'554'432;
constexpr std::uint64_t enoughBytes = 100'000; // Read from a server that the process has called.
constexpr std::chrono::seconds callTimeout { 30 };
constexpr std::chrono::milliseconds pollInterval { 50 };

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string field = "X-Field: 0123456789012345678901234567890123456789\r\n";

/// Responses without end: in the header, in the body, in a chunk header and in the trailer.
std::vector<HostileScript> endlessResponses()
{
    return {
        { .opening = "HTTP/1.1 200 OK\r\n", .repeated = field, .maxBytes = maxBytesPerResponse },
        { .opening = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", .repeated = std::string(1'000, 'b'), .maxBytes = maxBytesPerResponse },
        { .opening = chunkedHead, .repeated = "400\r\n" + std::string(1'024, 'b') + "\r\n", .maxBytes = maxBytesPerResponse },
        { .opening = chunkedHead + "2;x=", .repeated = std::string(1'000, 'y'), .maxBytes = maxBytesPerResponse },
        { .opening = chunkedHead + "2\r\n{}\r\n0\r\n", .repeated = field, .maxBytes = maxBytesPerResponse },
    };
}

/// Waits until `server` has been called and has sent some of its response, and no longer than `callTimeout`.
bool awaitCall(const HostileServer& server)
{
    const auto deadline = std::chrono::steady_clock::now() + callTimeout;
    while (server.sentBytes() < enoughBytes && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(pollInterval);
    return server.sentBytes() >= enoughBytes;
}

json workerEntry(const std::string& address, const std::string& machine)
{
    return { { "service", "alpha" }, { "address", address }, { "zone", "hall-0" }, { "version", "1" }, { "slots", 4 }, { "state", "ready" }, { "seq", 1 }, { "machine", machine }, { "labels", { "std", "hall-0-rack-0" } },
        { "capacity", { { "cpu", 4'000 }, { "mem_mb", 4'096 } } } };
}

} // namespace

// Guards against responses whose header, chunk headers and trailers no limit bounds.
TEST_CASE("A process outlives a store whose responses have no end")
{
    for (const HostileScript& script : endlessResponses()) {
        std::atomic<pid_t> attacked = 0;
        const HostileServer store(script, [&attacked] { return attacked == 0 || isWithinMemory(attacked); });
        AttackedEntry entry(json { { "store", store.address() } });
        attacked = entry.process();
        CHECK(awaitCall(store));
        std::this_thread::sleep_for(std::chrono::seconds(3));
        CHECK(entry.statusOf(entry.addresses()[1], "/api/ready") == 503);
        CHECK(entry.statusOf(entry.addresses()[2], "/metrics") == 200);
        CHECK(entry.statusOf(entry.addresses()[0], "/alpha/") == 503);
        entry.check("beside the store");
    }
}

// Guards against one peer of the platform that ends a process that could do without it.
TEST_CASE("A process outlives a fleet interface an advisor and workers whose responses have no end")
{
    for (const HostileScript& script : endlessResponses()) {
        std::atomic<pid_t> attacked = 0;
        const auto mayContinue = [&attacked] { return attacked == 0 || isWithinMemory(attacked); };
        const HostileServer fleet(script, mayContinue);
        const HostileServer advisor(script, mayContinue);
        const HostileServer worker(script, mayContinue);
        AttackedEntry entry(json { { "fleet", fleet.address() }, { "advisor", advisor.address() } });
        attacked = entry.process();
        CHECK(entry.acceptsJob());
        CHECK(entry.acceptsJob("advised"));
        for (int i = 0; i < 4; ++i)
            entry.put("servers/hostile-" + std::to_string(i), workerEntry(worker.address(), "hostile-" + std::to_string(i)));
        CHECK(awaitCall(fleet));
        CHECK(awaitCall(advisor));
        CHECK(awaitCall(worker));
        std::this_thread::sleep_for(std::chrono::seconds(3));
        CHECK(entry.servesAll());
        entry.check("beside the platform");
    }
}
