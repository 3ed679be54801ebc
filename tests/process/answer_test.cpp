// Conditions 3 and 4: each caller gets its own complete answer, and the outcome "not run" is correct.

#include "support/raw_socket.h"
#include "support/small_cluster.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::test;

TEST_CASE("every caller gets the answer to its own request while other callers run concurrently")
{
    SmallCluster cluster(2, 3);
    std::atomic<int> wrong { 0 };
    std::atomic<int> right { 0 };
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 8; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; i < 25; ++i) {
                const std::string id = std::to_string(caller) + '-' + std::to_string(i);
                const HttpAddress& front = cluster.front(caller % 2 == 0 ? "a" : "b");
                const bool impatient = i % 5 == 4;
                const Answer answer = ask(front, requestOf("POST", impatient ? "/counter/check?ms=60" : "/counter/check?ms=2", { { "X-Request-Id", id }, { "Lanemoor-Repeatable", "true" } }, "body-" + id), std::chrono::milliseconds(impatient ? 20 : 10'000));
                if (impatient)
                    continue;
                const bool mine = answer.response.body.find("\"body-" + id + '"') != std::string::npos && answer.response.body.find("\"request\":\"" + id + '"') != std::string::npos;
                ++(answer.response.status == 200 && mine ? right : wrong);
            }
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    CHECK(wrong == 0);
    CHECK(right == 8 * 20);
}

TEST_CASE("each pipelined request gets its own answer")
{
    SmallCluster cluster(1, 2, 1);
    RawSocket socket(cluster.front("a"));
    const std::string one = "POST /counter/check HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none";
    const std::string two = "POST /counter/check HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nConnection: close\r\n\r\ntwo";
    socket.send(one + two);
    const std::string answers = socket.readAll();
    const std::size_t first = answers.find("\"body\":\"one\"");
    const std::size_t second = answers.find("\"body\":\"two\"");
    CAPTURE(answers);
    CHECK(first != std::string::npos);
    CHECK(second != std::string::npos);
    CHECK(first < second);
}

TEST_CASE("a caller detects that its answer was truncated")
{
    SmallCluster cluster(1, 2, 1);
    const Answer answer = ask(cluster.front("a"), requestOf("GET", "/counter/cut"));
    CHECK(answer.result.fault == ExchangeFault::AnswerCut);
}

TEST_CASE("an endpoint that closes after reading leaves the outcome unknown")
{
    SmallCluster cluster(1, 2, 1);
    const Answer answer = ask(cluster.front("a"), requestOf("POST", "/counter/close", {}, "x"));
    CHECK(answer.response.status == 502);
    CHECK(answer.outcome() == "unknown");
    CHECK_FALSE(answer.response.headers.find("Retry-After"));
}

TEST_CASE("with every endpoint killed a request is answered as not run with a Retry-After")
{
    SmallCluster cluster(1, 2, 1);
    for (const char* id : { "w0", "w1" }) {
        cluster.worker(id).signal(SIGKILL);
        REQUIRE(cluster.worker(id).waitForExit());
    }
    const Answer answer = ask(cluster.front("a"), requestOf("POST", "/counter/check", {}, "x"));
    CHECK(answer.response.status == 503);
    CHECK(answer.outcome() == "not-run");
    CHECK(answer.response.headers.find("Retry-After"));
}

TEST_CASE("a repeatable request succeeds after the endpoint it was sent to crashes")
{
    SmallCluster cluster(1, 3, 1);
    std::atomic<int> good { 0 };
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 6; ++caller) {
        callers.emplace_back([&] {
            const Answer answer = ask(cluster.front("a"), requestOf("GET", "/counter/check?ms=800"));
            if (answer.response.status == 200)
                ++good;
        });
    }
    REQUIRE(eventually([&] { return cluster.countAt("w1", "served") > 0; }));
    cluster.worker("w1").signal(SIGKILL);
    for (std::thread& caller : callers)
        caller.join();
    CHECK(good == 6);
}

TEST_CASE("a deadline that has passed is answered at once")
{
    SmallCluster cluster(1, 2, 1);
    const Answer answer = ask(cluster.front("a"), requestOf("GET", "/counter/check", { { "Lanemoor-Deadline", "2020-01-01T00:00:00Z" } }));
    CHECK(answer.response.status == 504);
    CHECK(answer.outcome() == "not-run");
}

TEST_CASE("all entries together never exceed a worker's slots")
{
    SmallCluster cluster(3, 1, 0);
    std::vector<std::thread> callers;
    std::atomic<int> served { 0 };
    for (int caller = 0; caller < 36; ++caller) {
        callers.emplace_back([&, caller] {
            const std::string name(1, static_cast<char>('a' + caller % 3));
            const Answer answer = ask(cluster.front(name), requestOf("GET", "/counter/check?ms=100"));
            if (answer.response.status == 200)
                ++served;
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    CHECK(served == 36);
    CHECK(cluster.countAt("w0", "mostInFlight") == 8);
}
