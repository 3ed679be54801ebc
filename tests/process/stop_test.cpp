// Conditions 6 and 7: leaving endpoints get no new work, and planned stops interrupt no request.

#include "support/small_cluster.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::test;

TEST_CASE("a planned stop of two entries at once interrupts no check, listener or batch")
{
    SmallCluster cluster(3, 3);
    std::vector<std::thread> callers;
    std::vector<Answer> answers(6);
    const std::vector<std::string> targets { "/counter/check?ms=700", "/counter/listen?events=12&gapMs=100", "/counter/batch?ms=1200" };
    const std::vector<std::string> classes { "check", "listener", "batch" };
    for (std::size_t i = 0; i < answers.size(); ++i) {
        callers.emplace_back([&, i] {
            answers[i] = ask(cluster.front(i < 3 ? "a" : "b"), requestOf("GET", targets[i % 3], { { "Lanemoor-Class", classes[i % 3] } }));
        });
    }
    const auto inFlight = [&] {
        int all = 0;
        for (const char* id : { "w0", "w1", "w2" })
            all += cluster.countAt(id, "served");
        return all;
    };
    REQUIRE(eventually([&] { return inFlight() == 6; }));
    for (const char* name : { "a", "b" })
        cluster.entry(name).process->signal(SIGTERM);
    for (std::thread& caller : callers)
        caller.join();
    for (const Answer& answer : answers) {
        CAPTURE(describe(answer.result.fault), answer.response.body);
        CHECK(answer.result.fault == ExchangeFault::None);
        CHECK(answer.response.status == 200);
    }
    CHECK(answers[1].response.body.find("data: 11") != std::string::npos);
    CHECK(cluster.entry("a").process->waitForExit() == 0);
    CHECK(cluster.entry("b").process->waitForExit() == 0);
    CHECK(ask(cluster.front("c"), requestOf("GET", "/counter/check")).response.status == 200);
}

TEST_CASE("a stopping entry reports itself unready and refuses new work as not run")
{
    SmallCluster cluster(2, 2, 1);
    Answer held;
    std::thread caller([&] { held = ask(cluster.front("a"), requestOf("GET", "/counter/check?ms=1500")); });
    REQUIRE(eventually([&] { return cluster.countAt("w0", "served") + cluster.countAt("w1", "served") == 1; }));
    cluster.entry("a").process->signal(SIGTERM);
    CHECK(eventually([&] { return ask(cluster.front("a"), requestOf("GET", "/readyz")).response.status == 503; }));
    const Answer refused = ask(cluster.front("a"), requestOf("GET", "/counter/check"));
    CHECK(refused.response.status == 503);
    CHECK(refused.outcome() == "not-run");
    caller.join();
    CHECK(held.response.status == 200);
}

TEST_CASE("an operator's drain lets requests in flight end and sends no new ones")
{
    SmallCluster cluster(2, 4, 1);
    std::vector<std::thread> callers;
    std::vector<Answer> held(4);
    for (std::size_t i = 0; i < held.size(); ++i)
        callers.emplace_back([&, i] { held[i] = ask(cluster.front(i % 2 == 0 ? "a" : "b"), requestOf("GET", "/counter/check?ms=1500")); });
    REQUIRE(eventually([&] { return cluster.countAt("w0", "served") > 0; }));
    REQUIRE(ask(cluster.entry("b").operators, requestOf("POST", "/v1/instances/w0/drain")).response.status == 200);
    REQUIRE(eventually([&] { return cluster.poolHas("counter", 3); }));
    const int before = cluster.countAt("w0", "served");
    const int refusedBefore = cluster.countAt("w0", "refused");
    for (int i = 0; i < 20; ++i)
        CHECK(ask(cluster.front(i % 2 == 0 ? "a" : "b"), requestOf("GET", "/counter/check")).response.status == 200);
    CHECK(cluster.countAt("w0", "served") == before);
    CHECK(cluster.countAt("w0", "refused") == refusedBefore); // No request reaches it at all.
    for (std::thread& caller : callers)
        caller.join();
    for (const Answer& answer : held)
        CHECK(answer.response.status == 200);
    REQUIRE(ask(cluster.entry("a").operators, requestOf("POST", "/v1/instances/w0/undrain")).response.status == 200);
    CHECK(eventually([&] { return cluster.poolHas("counter", 4); }));
}

TEST_CASE("an endpoint that reports that it is leaving gets no new work while the store and the list are unavailable")
{
    SmallCluster cluster(2, 2, 1);
    cluster.setFaults(R"({"storeAway":true,"listAway":true})");
    static_cast<void>(ask(cluster.workerAddress("w0"), requestOf("POST", "/platform/drain")));
    for (int i = 0; i < 20; ++i)
        CHECK(ask(cluster.front(i % 2 == 0 ? "a" : "b"), requestOf("GET", "/counter/check")).response.status == 200);
    CHECK(cluster.countAt("w0", "served") == 0);
    CHECK(cluster.countAt("w1", "served") == 20);
    CHECK(cluster.countAt("w0", "refused") <= 2); // Each of the two entries is refused at most once.
}
