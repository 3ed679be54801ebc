// Membership planning, pool sizing, the disruption guard and long random runs.

#include "lanemoor/decisions/controller.h"
#include "support/fleets.h"
#include "support/random_run.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::test;

namespace {

constexpr Instant noon { std::chrono::seconds(1'764'763'200) };

/// A fleet of `count` workers in pool `pool`, each in its own rack.
struct SmallFleet {
    explicit SmallFleet(std::size_t count, const std::string& pool = {})
    {
        for (std::size_t i = 0; i < count; ++i) {
            Instance instance;
            instance.id = "w" + std::to_string(10 + i);
            instance.rack = "r" + std::to_string(10 + i);
            instance.dataHall = "h";
            instance.labels = LabelSet(std::vector<Label> { { "role", "worker" } });
            instances.push_back(instance);
            ledger.entries.push_back({ .instance = instance.id, .pool = pool, .maintainedAt = noon, .grant = std::nullopt });
        }
    }

    void addPool(const std::string& name, const std::string& selector, std::uint32_t minimum, std::int32_t priority = 0)
    {
        configuration.pools.push_back({ .name = name, .selector = selectorOf(selector), .priority = priority, .budget = { .minimum = minimum, .survives = FailureDomain::Rack } });
    }

    [[nodiscard]] FleetView view() const { return { .configuration = configuration, .ledger = ledger, .instances = instances, .now = noon }; }

    [[nodiscard]] MembershipPlan plan() const
    {
        const FleetIndex index(configuration, instances);
        return StickyMembershipPlanner().plan(view(), index, {});
    }

    Instances instances;
    Ledger ledger;
    Configuration configuration;
};

} // namespace

TEST_CASE("a pool's size survives its largest failure domain with the smallest buffer")
{
    const auto size = [](std::uint32_t minimum, FailureDomain survives, const std::vector<std::uint32_t>& domains) {
        Pool pool;
        pool.budget = { .minimum = minimum, .survives = survives };
        return sizeOf(pool, domains);
    };
    CHECK(size(6, FailureDomain::Rack, { 4, 4, 4, 4, 4, 4, 4 }) == PoolSize { .target = 7, .budgetTarget = 7, .perDomain = 1, .feasible = true });
    CHECK(size(8, FailureDomain::DataHall, { 6, 6, 6, 6 }) == PoolSize { .target = 11, .budgetTarget = 11, .perDomain = 3, .feasible = true });
    CHECK(size(3, FailureDomain::None, { 2, 2 }).target == 3);
    CHECK_FALSE(size(5, FailureDomain::Rack, { 4, 4 }).feasible);
    CHECK_FALSE(size(1, FailureDomain::Rack, {}).feasible);
}

TEST_CASE("a budget that can't be met and a pool with too few instances are reported")
{
    SmallFleet fleet(4);
    fleet.addPool("big", "role=worker", 9);
    CHECK(fleet.plan().conditions == std::vector<PoolCondition> { { .pool = "big", .code = PoolConditionCode::BudgetInfeasible, .instances = 6 } });
    SmallFleet two(6);
    two.addPool("a", "role=worker", 4);
    two.addPool("b", "role=worker", 4);
    CHECK(two.plan().conditions == std::vector<PoolCondition> { { .pool = "b", .code = PoolConditionCode::TooFewInstances, .instances = 4 } });
}

TEST_CASE("where selectors overlap the higher priority is filled first, never beyond another's budget")
{
    SmallFleet fleet(5);
    fleet.addPool("a", "role=worker", 2);
    fleet.addPool("b", "role=worker", 3, 1);
    for (const Move& move : fleet.plan().moves)
        fleet.ledger.find(move.instance)->pool = move.to;
    const auto members = [&](const std::string& pool) { return std::count_if(fleet.ledger.entries.begin(), fleet.ledger.entries.end(), [&](const LedgerEntry& entry) { return entry.pool == pool; }); };
    CHECK(members("b") == 4);
    CHECK(members("a") == 1);
    fleet.configuration.pools[0].priority = 2;
    CHECK(fleet.plan().moves.empty()); // The budget of b needs all its members.
}

TEST_CASE("members that no longer match leave only as far as the budget permits")
{
    SmallFleet fleet(4, "a");
    fleet.addPool("a", "role=worker", 3);
    fleet.instances[0].labels = LabelSet(std::vector<Label> { { "role", "other" } });
    const MembershipPlan blocked = fleet.plan();
    CHECK(blocked.moves.empty());
    CHECK(blocked.conditions.back() == PoolCondition { .pool = "a", .code = PoolConditionCode::AwaitingReplacement, .instances = 1 });
    SmallFleet larger = fleet;
    SmallFleet spare(5, "a");
    larger.instances.push_back(spare.instances.back());
    larger.ledger.entries.push_back({ .instance = spare.instances.back().id, .pool = {}, .maintainedAt = noon, .grant = std::nullopt });
    CHECK(larger.plan().moves.size() == 2);
}

TEST_CASE("a pool is spread over failure domains though that takes a longer chain")
{
    SmallFleet fleet(4);
    fleet.addPool("a", "role=worker", 2);
    fleet.addPool("b", "role=worker", 0);
    fleet.configuration.pools[1].wanted = 1;
    fleet.ledger.entries[0].pool = "a";
    fleet.ledger.entries[1].pool = "a";
    fleet.ledger.entries[2].pool = "b";
    fleet.instances[3].rack = fleet.instances[0].rack; // The only spare instance shares a rack with a member of a.
    CHECK(fleet.plan().moves == std::vector<Move> { { .instance = "w12", .from = "b", .to = "a" }, { .instance = "w13", .from = "", .to = "b" } });
}

TEST_CASE("a pool without slack gives no instance away, not even one of its largest failure domain")
{
    SmallFleet fleet(6, "a");
    fleet.addPool("a", "role=worker", 3);
    fleet.addPool("b", "role=worker", 0);
    fleet.addPool("c", "group=c", 2);
    fleet.configuration.pools[1].wanted = 1;
    fleet.instances[1].rack = fleet.instances[0].rack;
    for (std::size_t i = 3; i < 6; ++i) {
        fleet.instances[i].labels = LabelSet({ { "role", "worker" }, { "group", "c" } });
        fleet.ledger.entries[i].pool = "c";
    }
    CHECK(fleet.plan().moves.empty());
}

TEST_CASE("a lost member's failure domain is not filled with another member")
{
    SmallFleet fleet(5, "a");
    fleet.addPool("a", "role=worker", 3);
    fleet.instances[0].state = InstanceState::Leaving;
    fleet.instances[0].unhealthySince = noon - std::chrono::hours(1);
    fleet.ledger.entries[4].pool.clear();
    fleet.instances[4].rack = fleet.instances[0].rack;
    CHECK(fleet.plan().moves.empty());
    fleet.instances[4].rack = "another";
    CHECK(fleet.plan().moves.size() == 1);
}

TEST_CASE("no instance with long sessions moves while another serves")
{
    SmallFleet fleet(6, "a");
    fleet.addPool("a", "role=worker", 2);
    fleet.addPool("b", "role=worker", 1);
    for (std::size_t i = 0; i < 4; ++i)
        fleet.instances[i].longSessions = 50;
    for (const Move& move : fleet.plan().moves)
        CHECK(move.instance >= "w14");
    CHECK(fleet.plan().moves.size() == 2);
}

TEST_CASE("the guard refuses instances that a budget needs and reports the reason")
{
    SmallFleet fleet(4, "a");
    fleet.addPool("a", "role=worker", 2);
    const FleetView view = fleet.view();
    const FleetIndex index(fleet.configuration, fleet.instances);
    DisruptionGuard guard(view, index);
    CHECK_FALSE(guard.refusalFor("w10"));
    guard.markOutOfService("w10");
    CHECK(guard.refusalFor("w10") == DisruptionRefusal::AlreadyGranted);
    CHECK(guard.refusalFor("w11") == DisruptionRefusal::BudgetExhausted);
    CHECK(guard.refusalFor("nobody") == DisruptionRefusal::UnknownInstance);
}

TEST_CASE("instances lost to failure count against the budget before maintenance may take more")
{
    SmallFleet fleet(5, "a");
    fleet.addPool("a", "role=worker", 2);
    const auto refusal = [&] {
        const FleetIndex index(fleet.configuration, fleet.instances);
        return DisruptionGuard(fleet.view(), index).refusalFor("w14");
    };
    CHECK_FALSE(refusal());
    fleet.instances[0].failing = true;
    CHECK_FALSE(refusal());
    fleet.instances[1].state = InstanceState::Leaving;
    CHECK(refusal() == DisruptionRefusal::BudgetExhausted);
}

TEST_CASE("an instance drained without a grant by a delayed action is returned to service")
{
    SmallFleet fleet(3, "a");
    fleet.addPool("a", "role=worker", 1);
    fleet.instances[1].drained = true;
    const std::vector<Action> actions = Controller::actionsFor(fleet.view(), 5);
    CHECK(actions == std::vector<Action> { { .kind = ActionKind::Undrain, .instance = "w11", .grant = 0, .epoch = 5 } });
    const FleetIndex index(fleet.configuration, fleet.instances);
    CHECK(DisruptionGuard(fleet.view(), index).availability("a").inService == 2);
}

TEST_CASE("a holder with an outdated epoch does nothing")
{
    SmallFleet fleet(4);
    fleet.addPool("a", "role=worker", 2);
    fleet.ledger.epoch = 7;
    const Controller controller(std::make_unique<StickyMembershipPlanner>());
    const ControlPlan late = controller.step(fleet.view(), 6);
    CHECK(late.superseded);
    CHECK_FALSE(late.changed);
    CHECK(controller.step(fleet.view(), 8).next.epoch == 8);
}

TEST_CASE("random failures and operators' changes break no budget")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        const RandomRunResult result = randomRun(seed % 2 == 0 ? montevideoFleet() : vestlandFleet(), 2000, seed);
        CAPTURE(seed, result.firstBreach);
        CHECK(result.breaches == 0);
        CHECK(result.moves > 0);
    }
}
