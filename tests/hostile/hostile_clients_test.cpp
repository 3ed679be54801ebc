/// The job service under clients that break the rules of HTTP, all at the same time and on every address of a process.
/// The checks depend on no speed: the process lives, memory and descriptors are within bounds, and an ordinary request is answered.

#include "hostile/attacked_entry.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::test;

namespace {

constexpr std::uint64_t megabyte = 1'048'576;
constexpr std::uint64_t maxBytesPerClient = 32 * megabyte; // Of clients that send without end.
constexpr unsigned endlessClients = 8; // For each address and kind.
constexpr std::size_t heldBodyBytes = entryBodyBytes - 1'000;
constexpr unsigned holdingClients = 60;
constexpr unsigned silentClients = 120; // More than `entryConnections`.
constexpr unsigned readingNothingClients = 40;
constexpr unsigned wideBodyClients = 20;

std::string head(const std::string& method, const std::string& target, const std::string& fields)
{
    return method + ' ' + target + " HTTP/1.1\r\nHost: " + soak::names::host + "\r\n" + fields;
}

const std::string jobTarget = "/alpha/00000000000000ff";
const std::string chunkedHead = head("POST", jobTarget, "Transfer-Encoding: chunked\r\n\r\n");

/// \returns A header and a body of `bytes` bytes, both complete.
std::string withBody(const std::string& body)
{
    return head("POST", jobTarget, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") + body;
}

std::string repeat(const std::string& text, std::size_t bytes)
{
    std::string all;
    all.reserve(bytes);
    while (all.size() + text.size() <= bytes)
        all += text;
    return all;
}

HostileScript trailersWithoutEnd()
{
    return { .opening = chunkedHead + "2\r\n{}\r\n0\r\n", .repeated = "X-Trailer: 0123456789012345678901234567890123456789\r\n", .maxBytes = maxBytesPerClient, .reconnects = 1 };
}

HostileScript chunkLineWithoutEnd()
{
    return { .opening = chunkedHead + "2;x=", .repeated = std::string(1'000, 'y'), .maxBytes = maxBytesPerClient, .reconnects = 1 };
}

HostileScript chunksWithoutEnd()
{
    return { .opening = chunkedHead, .repeated = "400\r\n" + std::string(1'024, 'z') + "\r\n", .maxBytes = maxBytesPerClient, .reconnects = 1 };
}

HostileScript headersWithoutEnd()
{
    return { .opening = head("GET", "/api/ready", ""), .repeated = "X-Header: 0123456789012345678901234567890123456789\r\n", .maxBytes = maxBytesPerClient, .reconnects = 1 };
}

HostileScript bodyFarOverTheLimit()
{
    return { .opening = head("POST", jobTarget, "Content-Length: 1000000000\r\n\r\n"), .repeated = std::string(1'000, 'b'), .maxBytes = maxBytesPerClient, .reconnects = 1 };
}

/// Sends almost a whole body, and then nothing.
HostileScript heldBody()
{
    return { .opening = head("POST", jobTarget, "Content-Length: " + std::to_string(entryBodyBytes) + "\r\n\r\n") + std::string(heldBodyBytes, 'b'), .reconnects = 1 };
}

/// As `heldBody`, with a header of as many fields as fit.
HostileScript heldBodyWithManyFields()
{
    constexpr std::size_t otherHeaderBytes = 200;
    HostileScript script = heldBody();
    script.opening.insert(script.opening.find("Content-Length"), repeat("a:b\r\n", entryHeaderBytes - otherHeaderBytes));
    return script;
}

HostileScript heldChunkedBody()
{
    return { .opening = chunkedHead + "ffff0\r\n" + std::string(heldBodyBytes, 'b'), .reconnects = 1 };
}

/// Asks for large responses on one connection, and reads none.
HostileScript pipelineWithoutReading()
{
    return { .opening = {}, .repeated = head("GET", "/metrics", "\r\n") + head("GET", "/v1/jobs", "\r\n") + head("GET", "/v1/instances", "\r\n"), .maxBytes = megabyte, .reconnects = 1 };
}

void attackAll(AttackedEntry& entry, const std::vector<std::pair<HostileScript, unsigned>>& clients)
{
    REQUIRE(entry.servesAll());
    entry.check("before the crowd");
    {
        HostileCrowd crowd([process = entry.process()] { return isWithinMemory(process); });
        for (const HttpAddress& address : entry.addresses()) {
            for (const auto& [script, count] : clients)
                crowd.add(address, script, count);
        }
        crowd.start();
        crowd.waitUntilQuiet();
        entry.check("beside the crowd");
        CHECK(entry.servesAll());
    }
    CHECK(entry.servesAll());
    entry.check("after the crowd");
}

} // namespace

// Guards against input outside of header and body, which their limits do not bound.
TEST_CASE("A process outlives clients that send trailers without end")
{
    AttackedEntry entry;
    attackAll(entry, { { trailersWithoutEnd(), endlessClients } });
}

// Guards against a chunk header that is collected until its end of line.
TEST_CASE("A process outlives clients that send a chunk header without end")
{
    AttackedEntry entry;
    attackAll(entry, { { chunkLineWithoutEnd(), endlessClients } });
}

// Guards against bodies and headers that are read beyond their limits.
TEST_CASE("A process outlives clients that send bodies and headers far over their limits")
{
    AttackedEntry entry;
    attackAll(entry, { { chunksWithoutEnd(), endlessClients }, { bodyFarOverTheLimit(), endlessClients }, { headersWithoutEnd(), endlessClients } });
}

// Guards against a limit for each connection without one for all: together the clients hold more than the process has.
TEST_CASE("A process outlives many clients that each hold almost a whole body")
{
    AttackedEntry entry;
    attackAll(entry, { { heldBody(), holdingClients / 3 }, { heldBodyWithManyFields(), holdingClients / 3 }, { heldChunkedBody(), holdingClients / 3 } });
}

// Guards against connections that keep all others out: the newest was refused, however long the others had sent nothing.
TEST_CASE("A process serves beside more silent connections than it may hold")
{
    AttackedEntry entry;
    attackAll(entry, { { { .opening = {}, .reconnects = 1 }, silentClients }, { { .opening = "GET / HTTP/1.1\r\nHost: half", .reconnects = 1 }, silentClients } });
}

// Guards against responses that pile up in the process of a client that reads none.
TEST_CASE("A process outlives clients that read no response")
{
    AttackedEntry entry;
    attackAll(entry, { { pipelineWithoutReading(), readingNothingClients } });
}

// Guards against bodies of an allowed size that take many times as much memory once they are parsed.
TEST_CASE("A process outlives clients that send deep and wide bodies")
{
    AttackedEntry entry;
    constexpr std::size_t bytes = entryBodyBytes - 1'000;
    const std::string steps = repeat(R"({"count":1},)", bytes);
    attackAll(entry,
        { { { .opening = withBody(R"({"steps":)" + std::string(bytes, '[')), .readsAnswers = true }, wideBodyClients },
            { { .opening = withBody(R"({"steps":[)" + repeat("[],", bytes) + "[]]}"), .readsAnswers = true }, wideBodyClients },
            { { .opening = withBody(R"({"steps":[)" + steps + R"({"count":1}]})"), .readsAnswers = true }, wideBodyClients },
            { { .opening = withBody(R"({"steps":[{"count":1,"depends_on":[)" + repeat("0,", bytes) + "0]}]}"), .readsAnswers = true }, wideBodyClients } });
}

// Guards against limits that hold for each kind of client alone.
TEST_CASE("A process outlives clients of all kinds at the same time")
{
    constexpr unsigned each = 10;
    AttackedEntry entry;
    attackAll(entry,
        { { trailersWithoutEnd(), each }, { chunkLineWithoutEnd(), each }, { chunksWithoutEnd(), each }, { headersWithoutEnd(), each }, { bodyFarOverTheLimit(), each }, { heldBody(), holdingClients / 2 }, { heldChunkedBody(), holdingClients / 2 },
            { { .opening = {}, .reconnects = 1 }, silentClients }, { pipelineWithoutReading(), each }, { { .opening = withBody(R"({"steps":)" + std::string(heldBodyBytes, '[')), .readsAnswers = true }, each } });
}
