// Hostile input on every port is refused and doesn't affect the next caller.

#include "support/raw_socket.h"
#include "support/small_cluster.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::test;

namespace {

std::string exchangeRaw(const HttpAddress& address, const std::string& bytes)
{
    const RawSocket socket(address);
    socket.send(bytes);
    return socket.readAll();
}

std::string randomBytes(std::mt19937& random, std::size_t size)
{
    std::string bytes(size, '\0');
    for (char& byte : bytes)
        byte = static_cast<char>(random());
    return bytes;
}

} // namespace

TEST_CASE("badly framed requests get a 4xx, their connection is closed, and nothing of them runs")
{
    SmallCluster cluster(1, 2, 1);
    const std::string smuggled = "GET /counter/check HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> cases {
        { "POST /counter/check HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, "HTTP/1.1 411" },
        { "POST /counter/check HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggled, "HTTP/1.1 411" },
        { "POST /counter/check HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 40\r\n\r\n" + smuggled, "HTTP/1.1 400" },
        { "POST /counter/check HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n" + smuggled, "HTTP/1.1 400" },
        { "POST /counter/check HTTP/1.1\r\nHost: a\r\nContent-Length: 5x\r\n\r\n" + smuggled, "HTTP/1.1 400" },
        { "POST /counter/check HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 413" },
    };
    for (const auto& [request, status] : cases) {
        CAPTURE(request);
        const std::string answer = exchangeRaw(cluster.front("a"), request);
        CAPTURE(answer);
        CHECK(answer.rfind(status, 0) == 0);
        CHECK(answer.find("HTTP/1.1", 8) == std::string::npos);
    }
    CHECK(cluster.countAt("w0", "served") + cluster.countAt("w1", "served") == 0);
    CHECK(ask(cluster.front("a"), requestOf("GET", "/counter/check")).response.status == 200);
}

TEST_CASE("a body that arrives too slowly times out")
{
    SmallCluster cluster(1, 2, 1);
    const RawSocket socket(cluster.front("a"));
    REQUIRE(socket.send("POST /counter/check HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nx"));
    CHECK(socket.isClosed());
    CHECK(ask(cluster.front("a"), requestOf("GET", "/counter/check")).response.status == 200);
}

TEST_CASE("a header block over the limit closes its connection and nothing else")
{
    SmallCluster cluster(1, 2, 1);
    const std::string answer = exchangeRaw(cluster.front("a"), "GET /counter/check HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n");
    CHECK(answer.find("200") == std::string::npos);
    CHECK(ask(cluster.front("a"), requestOf("GET", "/counter/check")).response.status == 200);
}

TEST_CASE("random bytes on the front, the operators' port and the peer link change nothing")
{
    SmallCluster cluster(2, 2, 1);
    std::mt19937 random(20261202);
    const HttpAddress peer { "127.0.0.1", cluster.entry("a").peerPort };
    for (int i = 0; i < 40; ++i) {
        for (const HttpAddress& address : { cluster.front("a"), cluster.entry("a").operators, peer }) {
            const RawSocket socket(address);
            socket.send(randomBytes(random, 1 + random() % 3000));
        }
    }
    CHECK(ask(cluster.front("a"), requestOf("GET", "/counter/check")).response.status == 200);
    CHECK(ask(cluster.entry("a").operators, requestOf("GET", "/v1/status")).response.status == 200);
    REQUIRE(ask(cluster.entry("b").operators, requestOf("POST", "/v1/waves")).response.status == 200);
    CHECK(eventually([&] { return cluster.revisionAt("a") == 2; }));
}
