// Snapshots, ledger codec, observations, routing and readiness.

#include "lanemoor/serve/process/readiness.h"
#include "lanemoor/serve/version/routing_table.h"
#include "lanemoor/state/ledger_codec.h"
#include "lanemoor/state/observation_merger.h"
#include "lanemoor/state/snapshot.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lanemoor;

namespace {

constexpr Instant noon { std::chrono::seconds(1'764'763'200) };

Ledger someLedger()
{
    Ledger ledger { .version = 4, .epoch = 9, .nextGrant = 12 };
    ledger.entries.push_back({ .instance = "w1", .pool = "counter", .maintainedAt = noon, .grant = std::nullopt });
    ledger.entries.push_back({ .instance = "w2", .pool = {}, .maintainedAt = noon, .grant = Grant { .id = 11, .epoch = 9, .reason = GrantReason::OperatorDrain, .phase = GrantPhase::Held, .bootIdBefore = 3, .deadline = noon } });
    return ledger;
}

Instance live(const std::string& id)
{
    Instance instance;
    instance.id = id;
    return instance;
}

} // namespace

TEST_CASE("a ledger is encoded and decoded the same")
{
    const Ledger ledger = someLedger();
    CHECK(decodeLedger(encodeLedger(ledger), ledger.version) == ledger);
}

TEST_CASE("a ledger with two entries for an instance is refused")
{
    Ledger ledger = someLedger();
    ledger.entries.push_back(ledger.entries.back());
    CHECK_FALSE(decodeLedger(encodeLedger(ledger), 1));
}

TEST_CASE("any bytes are decoded as a ledger or refused")
{
    CHECK(rc::check([](const std::string& bytes) {
        const std::optional<Ledger> ledger = decodeLedger(bytes, 1);
        if (ledger)
            RC_ASSERT(decodeLedger(encodeLedger(*ledger), 1) == ledger);
    }));
}

TEST_CASE("configuration and ledger versions never decrease, in any order of updates")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& offers) {
        SnapshotHolder holder;
        std::uint64_t newest = 0;
        for (const std::uint8_t offer : offers) {
            Configuration configuration;
            configuration.revision = offer;
            Ledger ledger;
            ledger.version = offer;
            RC_ASSERT(holder.offerConfiguration(configuration) == (offer > newest));
            RC_ASSERT(holder.offerLedger(ledger) == (offer > newest));
            newest = std::max<std::uint64_t>(newest, offer);
            RC_ASSERT(holder.load()->configuration->revision == newest);
            RC_ASSERT(holder.load()->ledger->version == newest);
        }
    }));
}

TEST_CASE("an instance counts as leaving as soon as any source reports it")
{
    ObservationMerger merger;
    merger.onList({ live("w1"), live("w2") });
    merger.onReport("peer", { "w2" }, { "w1" }, noon);
    const Instances merged = merger.merge({}, noon);
    CHECK(merged[0].state == InstanceState::Leaving);
    CHECK(merged[1].failing);
    CHECK(merger.merge({}, noon + std::chrono::seconds(6))[0].state == InstanceState::Live);
}

TEST_CASE("an instance missing from the list is leaving immediately but gone only after a minute")
{
    ObservationMerger merger;
    CHECK(merger.merge(someLedger(), noon).empty());
    merger.onList({ live("w1") });
    const auto stateAt = [&](Instant now) { return merger.merge(someLedger(), now).at(1); };
    CHECK(stateAt(noon).state == InstanceState::Leaving);
    CHECK(stateAt(noon + std::chrono::seconds(59)).state == InstanceState::Leaving);
    CHECK(stateAt(noon + std::chrono::seconds(59)).unhealthySince == noon);
    CHECK(stateAt(noon + std::chrono::seconds(61)).state == InstanceState::Gone);
    merger.onList({ live("w1"), live("w2") });
    CHECK(stateAt(noon + std::chrono::seconds(62)).state == InstanceState::Live);
    CHECK_FALSE(stateAt(noon + std::chrono::seconds(62)).unhealthySince);
}

TEST_CASE("an instance under a grant, drained or leaving is not in the routing table")
{
    Snapshot snapshot;
    Configuration configuration;
    configuration.pools = { { .name = "counter" } };
    snapshot.configuration = std::make_shared<const Configuration>(configuration);
    Ledger ledger;
    Instances instances;
    for (const char* id : { "w1", "w2", "w3", "w4" }) {
        ledger.entries.push_back({ .instance = id, .pool = "counter", .maintainedAt = noon, .grant = std::nullopt });
        instances.push_back(live(id));
    }
    ledger.entries[0].grant = Grant { .id = 1 };
    instances[1].drained = true;
    instances[2].state = InstanceState::Leaving;
    snapshot.ledger = std::make_shared<const Ledger>(ledger);
    snapshot.instances = std::make_shared<const Instances>(instances);
    EndpointRegistry registry;
    const RoutingTable table(snapshot, { .number = 0, .shardCount = 1 }, registry);
    CHECK(table.find("counter")->members == std::vector<std::string> { "w4" });
    CHECK(table.find("counter")->slots == 8);
    CHECK(table.find("other") == nullptr);
}

TEST_CASE("an entry that reaches neither the store nor most of its peers is not ready")
{
    const ReadinessInputs healthy { .configurationRevision = 3, .hasShard = true, .storeReachedAt = noon, .peersKnown = 5, .peersReporting = 5 };
    CHECK(evaluateReadiness(healthy, noon) == Readiness::Ready);
    CHECK(evaluateReadiness(healthy, noon + std::chrono::seconds(60)) == Readiness::Ready);
    ReadinessInputs partitioned = healthy;
    partitioned.peersReporting = 2;
    CHECK(evaluateReadiness(partitioned, noon + std::chrono::seconds(4)) == Readiness::Ready);
    CHECK(evaluateReadiness(partitioned, noon + std::chrono::seconds(5)) == Readiness::Partitioned);
    ReadinessInputs fresh = healthy;
    fresh.configurationRevision = 0;
    CHECK(evaluateReadiness(fresh, noon) == Readiness::NoConfiguration);
}
