/// Links between entry instances over TCP, on loopback.

#include "lanemoor/aio/peer_sockets.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::aio;

namespace {

constexpr Millis patience { 5'000 };

/// A process that accepts links and one that opens them, on one event loop.
struct Ends {
    AsioEventLoop loop;
    PeerSockets server { loop, { .address = { "127.0.0.1", 0 } } };
    PeerSockets client { loop, { .address = { "127.0.0.1", 0 } } };
    std::shared_ptr<jobs::PeerLink> accepted;
    std::vector<std::string> heard;
    bool acceptedEnded = false;
    bool madeEnded = false;

    Ends()
    {
        server.accept([this](std::shared_ptr<jobs::PeerLink> link) {
            accepted = std::move(link);
            accepted->observe({ .received = [this](const std::string& frame) { heard.push_back(frame); }, .closed = [this] { acceptedEnded = true; } });
        });
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    std::shared_ptr<jobs::PeerLink> connect(const std::string& to)
    {
        std::shared_ptr<jobs::PeerLink> link = client.connect(to);
        link->observe({ .received = [this](const std::string& frame) { heard.push_back(frame); }, .closed = [this] { madeEnded = true; } });
        return link;
    }

    /// \returns Whether `holds` became true before the timeout.
    bool waitFor(const std::function<bool()>& holds)
    {
        const jobs::MonotonicInstant until = loop.now() + patience;
        look(holds, until);
        loop.run();
        return holds();
    }

private:
    void look(const std::function<bool()>& holds, jobs::MonotonicInstant until)
    {
        if (holds() || loop.now() >= until)
            loop.stop();
        else
            loop.callAt(loop.now() + Millis(2), [this, holds, until] { look(holds, until); });
    }
};

/// \returns A socket that is connected to `port`.
int connectRaw(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
    REQUIRE(::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
    return socket;
}

} // namespace

TEST_CASE("Frames of any size arrive whole and in order, both ways")
{
    Ends ends;
    const auto link = ends.connect(ends.address());
    const std::string large(300'000, 'x');
    link->send("one");
    link->send("");
    link->send(large);
    REQUIRE(ends.waitFor([&] { return ends.heard.size() == 3; }));
    CHECK(ends.heard == std::vector<std::string> { "one", "", large });
    ends.accepted->send("back");
    REQUIRE(ends.waitFor([&] { return ends.heard.size() == 4; }));
    CHECK(ends.heard.back() == "back");
}

TEST_CASE("The other end hears that a link was closed, and who closed it does not")
{
    Ends ends;
    const auto link = ends.connect(ends.address());
    link->send("one");
    REQUIRE(ends.waitFor([&] { return !ends.heard.empty(); }));
    link->close();
    CHECK(ends.waitFor([&] { return ends.acceptedEnded; }));
    CHECK_FALSE(ends.madeEnded);
}

TEST_CASE("A link to nowhere ends")
{
    Ends ends;
    const auto nobody = ends.connect("127.0.0.1:1");
    CHECK(ends.waitFor([&] { return ends.madeEnded; }));
    ends.madeEnded = false;
    const auto nothing = ends.connect("no address");
    CHECK(ends.waitFor([&] { return ends.madeEnded; }));
}

TEST_CASE("A link that nobody accepts ends")
{
    Ends ends;
    const auto link = ends.connect("127.0.0.1:" + std::to_string(ends.client.port()));
    CHECK(ends.waitFor([&] { return ends.madeEnded; }));
}

TEST_CASE("A frame longer than allowed ends the link")
{
    Ends ends;
    const int socket = connectRaw(ends.server.port());
    const std::string length("\xff\xff\xff\xff", 4);
    REQUIRE(::send(socket, length.data(), length.size(), 0) == 4);
    CHECK(ends.waitFor([&] { return ends.acceptedEnded; }));
    CHECK(ends.heard.empty());
    ::close(socket);
}

TEST_CASE("A peer that does not read ends the link before it takes memory without bound")
{
    Ends ends;
    const int socket = connectRaw(ends.server.port());
    REQUIRE(ends.waitFor([&] { return ends.accepted != nullptr; }));
    const std::string frame(1'000'000, 'x');
    for (int i = 0; i < 20; ++i)
        ends.accepted->send(frame);
    CHECK(ends.waitFor([&] { return ends.acceptedEnded; }));
    ::close(socket);
}
