// Conditions 1 and 2 with real processes: the holder of the control role is killed or paused
// during a wave. Also the authentication of the peer link.

#include "support/small_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

using namespace lanemoor;
using namespace lanemoor::test;

namespace {

std::string metric(Cluster& cluster, const std::string& entry, const std::string& name)
{
    const std::string text = ask(cluster.entry(entry).operators, requestOf("GET", "/metrics")).response.body;
    const std::size_t at = text.find('\n' + name + ' ');
    return at == std::string::npos ? std::string() : text.substr(at + name.size() + 2, text.find('\n', at + 1) - at - name.size() - 2);
}

std::string holderOf(Cluster& cluster)
{
    for (auto& [name, entry] : cluster.entries()) {
        if (metric(cluster, name, "lanemoor_holds_control") == "1")
            return name;
    }
    return {};
}

nlohmann::json wave(Cluster& cluster, const std::string& entry)
{
    return nlohmann::json::parse(ask(cluster.entry(entry).operators, requestOf("GET", "/v1/waves")).response.body);
}

/// \returns Whether all pools currently have at least their minimum in service.
bool budgetHolds(Cluster& cluster, const std::string& entry)
{
    const nlohmann::json pools = nlohmann::json::parse(ask(cluster.entry(entry).operators, requestOf("GET", "/v1/pools")).response.body);
    const auto holds = [](const nlohmann::json& pool) { return pool["inService"].get<int>() >= pool["minimum"].get<int>(); };
    return std::all_of(pools["pools"].begin(), pools["pools"].end(), holds);
}

/// Checks that the wave ends and that the budget holds at every poll until then.
void checkWaveEnds(Cluster& cluster, const std::string& entry)
{
    bool held = true;
    CHECK(eventually([&] {
        held = held && budgetHolds(cluster, entry);
        return wave(cluster, entry)["due"] == 0;
    },
        std::chrono::seconds(60)));
    CHECK(held);
}

} // namespace

TEST_CASE("a wave whose holder of the control role is killed is finished by a successor")
{
    SmallCluster cluster(3, 5, 3);
    const std::string holder = holderOf(cluster);
    REQUIRE_FALSE(holder.empty());
    REQUIRE(ask(cluster.entry(holder).operators, requestOf("POST", "/v1/waves")).response.status == 200);
    REQUIRE(eventually([&] { return wave(cluster, holder)["underWay"] > 0; }));
    cluster.killEntry(holder);
    const std::string other = cluster.entries().begin()->first;
    checkWaveEnds(cluster, other);
}

TEST_CASE("a holder that is paused past its lease and resumed does not act concurrently with its successor")
{
    SmallCluster cluster(3, 5, 3);
    const std::string holder = holderOf(cluster);
    REQUIRE_FALSE(holder.empty());
    REQUIRE(ask(cluster.entry(holder).operators, requestOf("POST", "/v1/waves")).response.status == 200);
    REQUIRE(eventually([&] { return wave(cluster, holder)["underWay"] > 0; }));
    cluster.entry(holder).process->signal(SIGSTOP);
    const std::string other = holder == "a" ? "b" : "a";
    REQUIRE(eventually([&] { return metric(cluster, other, "lanemoor_holds_control") == "1" || metric(cluster, holder == "c" ? "b" : "c", "lanemoor_holds_control") == "1"; }));
    cluster.entry(holder).process->signal(SIGCONT);
    checkWaveEnds(cluster, other);
    CHECK(eventually([&] { return metric(cluster, holder, "lanemoor_holds_control") == "0"; }));
}

TEST_CASE("entries with the same keys exchange messages, and one with other keys is rejected")
{
    Cluster cluster({ .buildFolder = LANEMOOR_BUILD_FOLDER, .secure = true });
    cluster.addWorker({ .id = "w0", .dataHall = "h", .rack = "r", .service = "counter" });
    cluster.addEntry("a");
    cluster.addEntry("b");
    CHECK(eventually([&] { return std::stod(metric(cluster, "a", "lanemoor_peer_messages_received_total")) > 2; }));

    // The stranger has other keys; "a" must reject its connection, not only fail to decrypt it.
    Cluster stranger({ .buildFolder = LANEMOOR_BUILD_FOLDER, .secure = true });
    stranger.addEntry("x", { cluster.entry("a").peerPort });
    const auto received = [&] { return std::stod(metric(cluster, "a", "lanemoor_peer_messages_received_total")); };
    const double before = received();
    REQUIRE(eventually([&] { return received() > before + 6; }));
    const std::string status = ask(cluster.entry("a").operators, requestOf("GET", "/v1/status")).response.body;
    CHECK(status.find("\"name\": \"b\"") != std::string::npos);
    CHECK(status.find("\"name\": \"x\"") == std::string::npos);
}
