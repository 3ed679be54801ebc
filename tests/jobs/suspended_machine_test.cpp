/// The steady clock does not count the time for which a machine is suspended. An owner that used that clock would assume after the
/// resume that it still holds a lease which has expired and which another instance has taken; where fencing tokens are not checked,
/// it could then act on instances without holding the ownership.

#include "lanemoor/aio/http_client.h"
#include "support.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace lanemoor;
using namespace lanemoor::aio;

namespace {

/// The clock of a machine that was suspended for an hour: it is an hour ahead of the steady clock, which does not count that time.
jobs::MonotonicInstant anHourAhead()
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::steady_clock::now()) + std::chrono::hours(1);
}

constexpr Millis soon { 100 };
constexpr std::chrono::seconds timeout { 10 };

/// \returns Whether `happened` was set before the timeout on the steady clock.
bool runUntil(AsioEventLoop& loop, const bool& happened)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    std::function<void()> checkAgain = [&] {
        if (happened || std::chrono::steady_clock::now() > end)
            loop.stop();
        else
            loop.callAt(loop.now(), checkAgain);
    };
    checkAgain();
    loop.run();
    return happened;
}

} // namespace

TEST_CASE("The clock of event loops counts the time in which the machine is suspended")
{
    CHECK(loopClock == CLOCK_BOOTTIME);
}

TEST_CASE("Timers are due by the clock of the event loop")
{
    AsioEventLoop loop(anHourAhead);
    bool called = false;
    loop.callAt(loop.now() + soon, [&] { called = true; });
    CHECK(runUntil(loop, called));
}

TEST_CASE("Calls time out by the clock of the event loop")
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    REQUIRE(::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(::listen(listener, 1) == 0);
    socklen_t length = sizeof address;
    REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length) == 0);
    AsioEventLoop loop(anHourAhead);
    HttpClient client(loop, {});
    bool timedOut = false;
    client.send({ "127.0.0.1", ntohs(address.sin_port) }, { .request = { .method = "GET", .target = "/", .headers = {}, .body = {} }, .deadline = loop.now() + soon }, [&](const HttpReply&) { timedOut = true; });
    CHECK(runUntil(loop, timedOut));
    ::close(listener);
}
