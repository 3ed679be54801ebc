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

constexpr Millis timeout { 5'000 };

/// A process that accepts links and one that opens them, on one event loop.
struct LinkedProcesses {
    AsioEventLoop loop;
    PeerSockets server { loop, { .address = { "127.0.0.1", 0 } } };
    PeerSockets client { loop, { .address = { "127.0.0.1", 0 } } };
    std::shared_ptr<jobs::PeerLink> accepted;
    std::vector<std::string> receivedFrames;
    bool acceptedEnded = false;
    bool madeEnded = false;

    LinkedProcesses()
    {
        server.accept([this](std::shared_ptr<jobs::PeerLink> link) {
            accepted = std::move(link);
            accepted->observe({ .received = [this](const std::string& frame) { receivedFrames.push_back(frame); }, .closed = [this] { acceptedEnded = true; } });
        });
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    std::shared_ptr<jobs::PeerLink> connect(const std::string& to)
    {
        std::shared_ptr<jobs::PeerLink> link = client.connect(to);
        link->observe({ .received = [this](const std::string& frame) { receivedFrames.push_back(frame); }, .closed = [this] { madeEnded = true; } });
        return link;
    }

    /// \returns Whether `condition` became true before the timeout.
    bool waitFor(const std::function<bool()>& condition)
    {
        const jobs::MonotonicInstant until = loop.now() + timeout;
        pollUntil(condition, until);
        loop.run();
        return condition();
    }

private:
    void pollUntil(const std::function<bool()>& condition, jobs::MonotonicInstant until)
    {
        if (condition() || loop.now() >= until)
            loop.stop();
        else
            loop.callAt(loop.now() + Millis(2), [this, condition, until] { pollUntil(condition, until); });
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

TEST_CASE("Frames of any size arrive complete and in order, in both directions")
{
    LinkedProcesses processes;
    const auto link = processes.connect(processes.address());
    const std::string large(300'000, 'x');
    link->send("one");
    link->send("");
    link->send(large);
    REQUIRE(processes.waitFor([&] { return processes.receivedFrames.size() == 3; }));
    CHECK(processes.receivedFrames == std::vector<std::string> { "one", "", large });
    processes.accepted->send("back");
    REQUIRE(processes.waitFor([&] { return processes.receivedFrames.size() == 4; }));
    CHECK(processes.receivedFrames.back() == "back");
}

TEST_CASE("The remote end of a closed link is notified, and the closing end is not")
{
    LinkedProcesses processes;
    const auto link = processes.connect(processes.address());
    link->send("one");
    REQUIRE(processes.waitFor([&] { return !processes.receivedFrames.empty(); }));
    link->close();
    CHECK(processes.waitFor([&] { return processes.acceptedEnded; }));
    CHECK_FALSE(processes.madeEnded);
}

TEST_CASE("A link to an unreachable or invalid address ends")
{
    LinkedProcesses processes;
    const auto nobody = processes.connect("127.0.0.1:1");
    CHECK(processes.waitFor([&] { return processes.madeEnded; }));
    processes.madeEnded = false;
    const auto nothing = processes.connect("no address");
    CHECK(processes.waitFor([&] { return processes.madeEnded; }));
}

TEST_CASE("A link that no process accepts ends")
{
    LinkedProcesses processes;
    const auto link = processes.connect("127.0.0.1:" + std::to_string(processes.client.port()));
    CHECK(processes.waitFor([&] { return processes.madeEnded; }));
}

TEST_CASE("A frame longer than allowed ends the link")
{
    LinkedProcesses processes;
    const int socket = connectRaw(processes.server.port());
    const std::string length("\xff\xff\xff\xff", 4);
    REQUIRE(::send(socket, length.data(), length.size(), 0) == 4);
    CHECK(processes.waitFor([&] { return processes.acceptedEnded; }));
    CHECK(processes.receivedFrames.empty());
    ::close(socket);
}

TEST_CASE("A link to a peer that does not read is closed before its queue grows without bound")
{
    LinkedProcesses processes;
    const int socket = connectRaw(processes.server.port());
    REQUIRE(processes.waitFor([&] { return processes.accepted != nullptr; }));
    const std::string frame(1'000'000, 'x');
    for (int i = 0; i < 20; ++i)
        processes.accepted->send(frame);
    CHECK(processes.waitFor([&] { return processes.acceptedEnded; }));
    ::close(socket);
}
