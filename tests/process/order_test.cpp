// Condition 5: a non-repeatable request runs at most once.

#include "support/small_cluster.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::test;

namespace {

Answer order(SmallCluster& cluster, const std::string& entry, const std::string& key, const std::string& query = "")
{
    return ask(cluster.front(entry), requestOf("POST", "/counter/order" + query, { { "Idempotency-Key", key }, { "Lanemoor-Team", "shops" } }, "port 099"));
}

} // namespace

TEST_CASE("the same order sent through two entries at once runs once")
{
    SmallCluster cluster(2, 3);
    for (int i = 0; i < 15; ++i) {
        const std::string key = "key-" + std::to_string(i);
        Answer first;
        Answer second;
        std::thread other([&] { first = order(cluster, "a", key); });
        second = order(cluster, "b", key);
        other.join();
        CHECK(cluster.runsOf(key) == 1);
        CHECK((first.response.status == 200) != (second.response.status == 200));
        const Answer& refused = first.response.status == 200 ? second : first;
        CHECK(refused.response.status == 409);
        CHECK(refused.outcome() != "not-run");
    }
}

TEST_CASE("a repeated order is refused with the outcome ran and the status of the endpoint")
{
    SmallCluster cluster(2, 2, 1);
    REQUIRE(order(cluster, "a", "k").response.status == 200);
    REQUIRE(eventually([&] { return order(cluster, "b", "k").outcome() == "ran"; }));
    const Answer again = order(cluster, "b", "k");
    CHECK(again.response.status == 409);
    CHECK(again.response.body.find("\"endpointStatus\":200") != std::string::npos);
    CHECK(cluster.runsOf("k") == 1);
}

TEST_CASE("an order is claimed when the store's answer is lost after the write took effect")
{
    SmallCluster cluster(1, 2, 1);
    cluster.setFaults(R"({"answersToLose":1})");
    const Answer answer = order(cluster, "a", "lost");
    CHECK(answer.response.status == 200);
    CHECK(cluster.runsOf("lost") == 1);
}

TEST_CASE("with the store unavailable an order is answered as not run, and checks still succeed")
{
    SmallCluster cluster(2, 2, 1);
    cluster.setFaults(R"({"storeAway":true})");
    const Answer refused = order(cluster, "a", "away");
    CHECK(refused.response.status == 503);
    CHECK(refused.outcome() == "not-run");
    CHECK(refused.response.headers.find("Retry-After"));
    CHECK(cluster.runsOf("away") == 0);
    CHECK(ask(cluster.front("b"), requestOf("GET", "/counter/check")).response.status == 200);
    cluster.setFaults("{}");
    CHECK(eventually([&] { return order(cluster, "b", "away").response.status == 200; }));
    CHECK(cluster.runsOf("away") == 1);
}

TEST_CASE("an order that its endpoint refused may be sent again")
{
    SmallCluster cluster(1, 2, 1);
    for (const char* id : { "w0", "w1" })
        static_cast<void>(ask(cluster.workerAddress(id), requestOf("POST", "/platform/drain")));
    CHECK(order(cluster, "a", "drained").outcome() == "not-run");
    for (const char* id : { "w0", "w1" })
        static_cast<void>(ask(cluster.workerAddress(id), requestOf("POST", "/platform/undrain")));
    CHECK(eventually([&] { return order(cluster, "a", "drained").response.status == 200; }));
    CHECK(cluster.runsOf("drained") == 1);
}

TEST_CASE("an order whose entry is killed after sending is not run again through another entry")
{
    SmallCluster cluster(2, 2, 1);
    std::thread caller([&] { static_cast<void>(order(cluster, "a", "killed", "?ms=700")); });
    REQUIRE(eventually([&] { return cluster.runsOf("killed") == 1; }));
    cluster.entry("a").process->signal(SIGKILL);
    caller.join();
    const Answer again = order(cluster, "b", "killed");
    CHECK(again.response.status == 409);
    CHECK(again.outcome() == "unknown");
    CHECK(cluster.runsOf("killed") == 1);
}

TEST_CASE("an order whose entry is paused and resumed runs once")
{
    SmallCluster cluster(2, 2, 1);
    std::thread caller([&] { static_cast<void>(order(cluster, "a", "frozen", "?ms=300")); });
    REQUIRE(eventually([&] { return cluster.runsOf("frozen") == 1; }));
    cluster.entry("a").process->signal(SIGSTOP);
    for (int i = 0; i < 3; ++i)
        CHECK(order(cluster, "b", "frozen").response.status == 409);
    cluster.entry("a").process->signal(SIGCONT);
    caller.join();
    CHECK(cluster.runsOf("frozen") == 1);
}

TEST_CASE("a connection that the endpoint closes does not run an order twice")
{
    SmallCluster cluster(1, 2, 1);
    // Creates idle connections. A client that silently resends requests would resend on them.
    for (int i = 0; i < 4; ++i)
        REQUIRE(ask(cluster.front("a"), requestOf("GET", "/counter/check")).response.status == 200);
    const Answer answer = ask(cluster.front("a"), requestOf("POST", "/counter/close", { { "Idempotency-Key", "closed" } }, "x"));
    CHECK(answer.outcome() == "unknown");
    int served = 0;
    for (const char* id : { "w0", "w1" })
        served += cluster.countAt(id, "served");
    CHECK(served == 5);
}
