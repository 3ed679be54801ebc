// Condition 8: an accepted configuration is in force everywhere within seconds and never reverts.

#include "support/small_cluster.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <thread>

using namespace lanemoor;
using namespace lanemoor::test;

namespace {

bool allAt(SmallCluster& cluster, std::uint64_t revision)
{
    for (const auto& [name, entry] : cluster.entries()) {
        if (cluster.revisionAt(name) != revision)
            return false;
    }
    return true;
}

Answer change(SmallCluster& cluster, const std::string& entry, unsigned minimum, const std::string& base)
{
    return ask(cluster.entry(entry).operators, requestOf("PUT", "/v1/configuration", { { "If-Match", base } }, SmallCluster::configuration(minimum)));
}

} // namespace

TEST_CASE("of two operators' changes on the same revision one is refused with the newer one named")
{
    SmallCluster cluster(2, 3, 1);
    Answer first;
    std::thread other([&] { first = change(cluster, "a", 2, "\"1\""); });
    const Answer second = change(cluster, "b", 0, "\"1\"");
    other.join();
    CHECK((first.response.status == 200) != (second.response.status == 200));
    const Answer& refused = first.response.status == 200 ? second : first;
    CHECK(refused.response.status == 412);
    CHECK(refused.response.headers.find("ETag") == "\"2\"");
    CHECK(eventually([&] { return allAt(cluster, 2); }));
}

TEST_CASE("a change whose answer from the store is lost is accepted once")
{
    SmallCluster cluster(2, 2, 1);
    cluster.setFaults(R"({"answersToLose":1})");
    // The lost answer may be that of a lease or ledger call; the change is accepted either way.
    const Answer answer = change(cluster, "a", 0, "\"1\"");
    CHECK(answer.response.status == 200);
    CHECK(answer.response.headers.find("ETag") == "\"2\"");
    CHECK(eventually([&] { return allAt(cluster, 2); }));
}

TEST_CASE("with the store unavailable no change is accepted, and a new entry gets the latest configuration from its peers")
{
    SmallCluster cluster(2, 2, 1);
    REQUIRE(change(cluster, "b", 0, "\"1\"").response.status == 200);
    REQUIRE(eventually([&] { return allAt(cluster, 2); }));
    cluster.setFaults(R"({"storeAway":true})");
    CHECK(change(cluster, "a", 1, "\"2\"").response.status == 503);
    cluster.addEntry("late");
    CHECK(eventually([&] { return cluster.revisionAt("late") == 2; }));
    for (const char* name : { "a", "b" })
        CHECK(ask(cluster.front(name), requestOf("GET", "/counter/check")).response.status == 200);
    // No shard lease can be acquired while the store is unavailable, so the new entry is not ready.
    CHECK(ask(cluster.front("late"), requestOf("GET", "/readyz")).response.status == 503);
    cluster.setFaults("{}");
    CHECK(eventually([&] { return ask(cluster.front("late"), requestOf("GET", "/readyz")).response.status == 200; }));
    CHECK(allAt(cluster, 2));
}

TEST_CASE("the command line applies, refuses and explains configurations")
{
    SmallCluster cluster(1, 2, 1);
    const std::string entry = "127.0.0.1:" + std::to_string(cluster.entry("a").operators.port);
    const std::string file = cluster.folder() + "/new.json";
    std::ofstream(file) << SmallCluster::configuration(0);
    CHECK(cluster.command({ "apply", "--entry", entry, file, "1" }).code == 0);
    const auto stale = cluster.command({ "apply", "--entry", entry, file, "1" });
    CHECK(stale.code == 1);
    CHECK(stale.output.find("revision 2 is newer") != std::string::npos);

    std::ofstream(file) << "{\n  \"pools\": [\n    { \"name\": \"x\", \"selector\": \"a in (\", \"budgt\": 1 }\n  ]\n}\n";
    const auto faulty = cluster.command({ "check", file });
    CHECK(faulty.code == 1);
    CHECK(faulty.output.find(file + ":3:32: /pools/0/selector") != std::string::npos);
    CHECK(faulty.output.find("/pools/0/budget: required field missing") != std::string::npos);
    CHECK(faulty.output.find("/pools/0/budgt: unknown field") != std::string::npos);

    for (const char* name : { "get", "pools", "instances", "waves", "status" }) {
        CHECK(cluster.command({ name, "--entry", entry }).code == 0);
        CHECK(cluster.command({ name, "--entry", entry, "--json" }).output.front() == '{');
    }
    CHECK(cluster.command({ "explain", "--entry", entry, "w0" }).output.find("mayBeTaken: yes") != std::string::npos);
    CHECK(cluster.command({ "explain", "--entry", entry, "nobody" }).code == 1);
    CHECK(cluster.command({ "frobnicate" }).code == 2);
    CHECK(cluster.command({ "pools", "--help" }).code == 0);
    CHECK(cluster.command({ "pools", "--entry", "127.0.0.1:1" }).code == 1);
}
