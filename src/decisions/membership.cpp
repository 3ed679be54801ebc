#include "lanemoor/decisions/membership.h"

#include "lanemoor/decisions/disruption_guard.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <limits>
#include <optional>
#include <string_view>
#include <unordered_set>

namespace lanemoor {

namespace {

constexpr int spare = -1;
/// Cost of one move; larger than all tie-breaks of a chain together.
constexpr std::int64_t moveCost = 1'000'000;
/// Additional cost per long session of the moved instance.
constexpr std::int64_t sessionCost = 100;
constexpr std::uint32_t countedSessions = 1'000;
/// Cost of taking an instance that a pool of lower priority needs for its target. Used as a last resort.
constexpr std::int64_t takeFromLowerPriorityCost = 1'000'000'000;
constexpr std::int64_t unreachable = std::numeric_limits<std::int64_t>::max();
/// How long a failed member may take to return before it is replaced.
constexpr Millis replaceAfter = std::chrono::seconds(60);
/// Max number of plans, each without the pools whose budgets refused moves of the previous
/// ones, before instances are taken from the spare set only.
constexpr int maximumAttempts = 8;

/// State of a pool during planning.
struct PoolState {
    PoolSize size;
    const DomainIndex* domains = nullptr;
    std::vector<std::uint32_t> members; ///< By domain: members that match and are in service or expected back.
    std::vector<std::uint32_t> absent; ///< By domain: failed members that match and may come back.
    std::uint32_t effective = 0; ///< Members that count towards the target.
    std::int64_t slack = 0; ///< Members in service that the budget does not need.

    void add(std::size_t domain)
    {
        if (members[domain]++ < size.perDomain)
            ++effective;
    }

    void resize(const PoolSize& newSize)
    {
        size = newSize;
        effective = 0;
        for (const std::uint32_t count : members)
            effective += std::min(count, size.perDomain);
    }

    void remove(std::size_t domain)
    {
        if (--members[domain] < size.perDomain)
            --effective;
    }
};

/// Placement of an instance during planning.
struct InstancePlacement {
    int home = spare; ///< Pool in the ledger.
    int at = spare; ///< Pool in the plan so far.
    bool named = false; ///< The ledger assigns it to a pool, even if that pool is no longer configured.
    bool movable = false; ///< In service and not to be drained.
    bool counted = false; ///< Counts as a member of its pool: matches and is in service or expected back.
    std::int64_t cost = moveCost; ///< Cost of moving it out of its pool in the ledger.
};

/// Label of a pool in the shortest-path search.
struct SearchLabel {
    std::int64_t cost = unreachable;
    int previous = spare; ///< Pool that takes `instance` from this one.
    std::size_t instance = 0; ///< Instance taken from this pool.
    bool hasInstance = false;
};

/// End of a chain: an instance that needs no replacement.
struct ChainEnd {
    std::int64_t cost = unreachable;
    int taker = spare;
    std::size_t instance = 0;
};

/// Builds one plan. No instance is taken from the pools in `frozen`.
class PlanBuilder {
public:
    PlanBuilder(const FleetView& view, const FleetIndex& index, const std::unordered_set<std::string>& frozen);

    /// Fills all pools up to their targets, in order of descending priority.
    void fillPools();

    /// Adds the requested extra members to pools.
    void fillBoosts(const std::vector<PoolBoost>& boosts);

    [[nodiscard]] std::vector<Move> moves() const;
    [[nodiscard]] const std::vector<PoolCondition>& conditions() const noexcept { return m_conditions; }

    /// \returns Ids of movable members that no longer match their pool and were not moved to another one.
    [[nodiscard]] std::vector<std::string> strays() const;

private:
    void readPools();
    void readInstances();
    void readInstance(const LedgerEntry& entry, const Instance& instance, std::size_t number);
    [[nodiscard]] int poolIndex(std::string_view name) const;
    [[nodiscard]] bool expectedBack(const LedgerEntry& entry, const Instance& instance) const;
    [[nodiscard]] const std::vector<std::size_t>& candidatesOf(int pool) const { return m_fits[static_cast<std::size_t>(pool)]; }

    [[nodiscard]] std::int64_t costAt(std::size_t instance, int pool) const;
    [[nodiscard]] bool hasRoom(int pool, std::size_t instance, const SearchLabel& label) const;
    [[nodiscard]] bool mayGive(int pool) const;
    [[nodiscard]] bool isStray(std::size_t instance) const;
    [[nodiscard]] bool endsChain(std::size_t instance, int requester, std::int64_t& cost) const;
    [[nodiscard]] ChainEnd searchChain(int start);
    void relax(int pool, int start, std::deque<int>& queue, std::vector<bool>& queued, ChainEnd& best);
    [[nodiscard]] bool onPath(int pool, int from) const;
    void applyChain(ChainEnd end);
    void place(std::size_t instance, int pool);
    void fill(int pool);

    const FleetView& m_view;
    const FleetIndex& m_index;
    const std::unordered_set<std::string>& m_frozen;
    std::vector<PoolState> m_pools;
    std::vector<InstancePlacement> m_instances;
    std::vector<std::vector<std::size_t>> m_fits; ///< By pool: movable instances that match.
    std::vector<SearchLabel> m_labels;
    std::vector<PoolCondition> m_conditions;
};

PlanBuilder::PlanBuilder(const FleetView& view, const FleetIndex& index, const std::unordered_set<std::string>& frozen)
    : m_view(view)
    , m_index(index)
    , m_frozen(frozen)
{
    readPools();
    readInstances();
}

int PlanBuilder::poolIndex(std::string_view name) const
{
    const std::optional<std::size_t> pool = m_index.poolNumber(name);
    return pool ? static_cast<int>(*pool) : spare;
}

void PlanBuilder::readPools()
{
    const DisruptionGuard guard(m_view, m_index);
    for (const Pool& pool : m_view.configuration.pools) {
        PoolState state;
        state.slack = guard.availability(pool.name).slack();
        state.size = m_index.size(m_pools.size());
        state.domains = &m_index.domains(m_pools.size());
        state.members.resize(state.domains->count());
        state.absent.resize(state.domains->count());
        m_pools.push_back(std::move(state));
    }
}

bool PlanBuilder::expectedBack(const LedgerEntry& entry, const Instance& instance) const
{
    if (entry.grant)
        return entry.grant->reason == GrantReason::Maintenance && m_view.now < entry.grant->deadline;
    return isHealthy(instance) || !instance.outSince || m_view.now < *instance.outSince + replaceAfter;
}

void PlanBuilder::readInstances()
{
    m_instances.resize(m_view.instances.size());
    m_fits.resize(m_view.configuration.pools.size());
    forEachEntry(m_view.ledger, m_view.instances, [&](const LedgerEntry& entry, const Instance* instance, std::size_t number) {
        if (instance)
            readInstance(entry, *instance, number);
    });
}

void PlanBuilder::readInstance(const LedgerEntry& entry, const Instance& instance, std::size_t number)
{
    const std::vector<std::string>& drains = m_view.configuration.drains;
    const bool drained = std::find(drains.begin(), drains.end(), instance.id) != drains.end();
    InstancePlacement& state = m_instances[number];
    state.home = poolIndex(entry.pool);
    state.at = state.home;
    state.named = !entry.pool.empty();
    state.movable = isInService(entry, &instance) && !drained;
    state.cost = moveCost + sessionCost * std::min(instance.longSessions, countedSessions);
    for (std::size_t pool = 0; state.movable && pool < m_fits.size(); ++pool) {
        if (m_index.matches(pool, number))
            m_fits[pool].push_back(number);
    }
    if (state.home == spare)
        return;
    const auto home = static_cast<std::size_t>(state.home);
    state.counted = m_index.matches(home, number) && !drained && expectedBack(entry, instance);
    const std::size_t domain = m_pools[home].domains->of(number);
    if (state.counted)
        m_pools[home].add(domain);
    else if (!state.movable && m_index.matches(home, number))
        ++m_pools[home].absent[domain];
}

std::int64_t PlanBuilder::costAt(std::size_t instance, int pool) const
{
    const InstancePlacement& state = m_instances[instance];
    const bool strayAtHome = pool == state.home && !state.counted && pool != spare;
    if (pool == state.home && !strayAtHome)
        return 0;
    return state.cost;
}

bool PlanBuilder::hasRoom(int pool, std::size_t instance, const SearchLabel& label) const
{
    const PoolState& state = m_pools[static_cast<std::size_t>(pool)];
    const std::size_t domain = state.domains->of(instance);
    // An absent member keeps its place: if it returned after a replacement in the same
    // domain, that domain would be too large.
    std::uint32_t members = state.members[domain] + state.absent[domain];
    if (label.hasInstance && state.domains->of(label.instance) == domain)
        --members;
    return members < state.size.perDomain;
}

bool PlanBuilder::mayGive(int pool) const
{
    return pool == spare || !m_frozen.contains(m_view.configuration.pools[static_cast<std::size_t>(pool)].name);
}

bool PlanBuilder::isStray(std::size_t instance) const
{
    const InstancePlacement& state = m_instances[instance];
    return state.at != spare && state.at == state.home && !state.counted;
}

bool PlanBuilder::endsChain(std::size_t instance, int requester, std::int64_t& cost) const
{
    const InstancePlacement& state = m_instances[instance];
    if (state.at == spare || isStray(instance))
        return true;
    const PoolState& owner = m_pools[static_cast<std::size_t>(state.at)];
    if (owner.members[owner.domains->of(instance)] > owner.size.perDomain)
        return true; // Beyond perDomain, a member enlarges the largest domain and adds no slack.
    if (owner.slack <= 0)
        return false;
    if (owner.effective > owner.size.target)
        return true;
    const std::vector<Pool>& pools = m_view.configuration.pools;
    const bool lowerPriority = pools[static_cast<std::size_t>(state.at)].priority < pools[static_cast<std::size_t>(requester)].priority;
    if (!lowerPriority || owner.effective <= owner.size.budgetTarget)
        return false;
    cost += takeFromLowerPriorityCost;
    return true;
}

bool PlanBuilder::onPath(int pool, int from) const
{
    for (int at = from; at != spare; at = m_labels[static_cast<std::size_t>(at)].previous) {
        if (at == pool)
            return true;
    }
    return false;
}

void PlanBuilder::relax(int pool, int start, std::deque<int>& queue, std::vector<bool>& queued, ChainEnd& best)
{
    const SearchLabel label = m_labels[static_cast<std::size_t>(pool)];
    const PoolState& taker = m_pools[static_cast<std::size_t>(pool)];
    for (const std::size_t i : candidatesOf(pool)) {
        const int owner = m_instances[i].at;
        if (owner == pool || !mayGive(owner) || !hasRoom(pool, i, label))
            continue;
        const std::int64_t spread = taker.members[taker.domains->of(i)];
        std::int64_t cost = label.cost + costAt(i, pool) - costAt(i, owner) + spread;
        std::int64_t endCost = cost;
        if (endsChain(i, start, endCost)) {
            if (endCost < best.cost)
                best = { .cost = endCost, .taker = pool, .instance = i };
            continue;
        }
        SearchLabel& next = m_labels[static_cast<std::size_t>(owner)];
        if (cost >= next.cost || onPath(owner, pool))
            continue;
        next = { .cost = cost, .previous = pool, .instance = i, .hasInstance = true };
        if (!queued[static_cast<std::size_t>(owner)]) {
            queued[static_cast<std::size_t>(owner)] = true;
            queue.push_back(owner);
        }
    }
}

ChainEnd PlanBuilder::searchChain(int start)
{
    m_labels.assign(m_pools.size(), SearchLabel {});
    m_labels[static_cast<std::size_t>(start)].cost = 0;
    std::deque<int> queue { start };
    std::vector<bool> queued(m_pools.size(), false);
    ChainEnd best;
    while (!queue.empty()) {
        const int pool = queue.front();
        queue.pop_front();
        queued[static_cast<std::size_t>(pool)] = false;
        relax(pool, start, queue, queued, best);
    }
    return best;
}

void PlanBuilder::place(std::size_t instance, int pool)
{
    InstancePlacement& state = m_instances[instance];
    if (state.at != spare && !isStray(instance))
        m_pools[static_cast<std::size_t>(state.at)].remove(m_pools[static_cast<std::size_t>(state.at)].domains->of(instance));
    state.at = pool;
    m_pools[static_cast<std::size_t>(pool)].add(m_pools[static_cast<std::size_t>(pool)].domains->of(instance));
}

void PlanBuilder::applyChain(ChainEnd end)
{
    int taker = end.taker;
    std::size_t instance = end.instance;
    if (m_instances[instance].at != spare)
        --m_pools[static_cast<std::size_t>(m_instances[instance].at)].slack;
    while (taker != spare) {
        const SearchLabel label = m_labels[static_cast<std::size_t>(taker)];
        place(instance, taker);
        instance = label.instance;
        taker = label.previous;
    }
}

void PlanBuilder::fill(int pool)
{
    const PoolState& state = m_pools[static_cast<std::size_t>(pool)];
    while (state.effective < state.size.target) {
        const ChainEnd end = searchChain(pool);
        if (end.cost == unreachable)
            return;
        applyChain(end);
    }
}

void PlanBuilder::fillBoosts(const std::vector<PoolBoost>& boosts)
{
    // Raise all targets before filling any pool, so that no boosted pool gives instances to another.
    for (const PoolBoost& boost : boosts) {
        const int pool = poolIndex(boost.pool);
        if (pool == spare)
            continue;
        PoolState& state = m_pools[static_cast<std::size_t>(pool)];
        state.resize(m_index.sizeMissing(static_cast<std::size_t>(pool), boost.instances));
    }
    for (const PoolBoost& boost : boosts) {
        const int pool = poolIndex(boost.pool);
        if (pool == spare)
            continue;
        fill(pool);
        const PoolState& state = m_pools[static_cast<std::size_t>(pool)];
        if (state.effective < state.size.target && state.slack <= 0)
            m_conditions.push_back({ .pool = boost.pool, .code = PoolConditionCode::WaveStalled, .instances = state.size.target - state.effective });
    }
}

void PlanBuilder::fillPools()
{
    const std::vector<Pool>& pools = m_view.configuration.pools;
    std::vector<int> order;
    for (std::size_t pool = 0; pool < pools.size(); ++pool)
        order.push_back(static_cast<int>(pool));
    std::stable_sort(order.begin(), order.end(), [&](int a, int b) { return pools[static_cast<std::size_t>(a)].priority > pools[static_cast<std::size_t>(b)].priority; });
    for (const int pool : order) {
        fill(pool);
        const PoolState& state = m_pools[static_cast<std::size_t>(pool)];
        if (state.effective >= state.size.target)
            continue;
        const auto code = state.size.feasible ? PoolConditionCode::TooFewInstances : PoolConditionCode::BudgetNeverHolds;
        m_conditions.push_back({ .pool = pools[static_cast<std::size_t>(pool)].name, .code = code, .instances = state.size.target - state.effective });
    }
}

std::vector<Move> PlanBuilder::moves() const
{
    std::vector<Move> result;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (m_instances[i].at == m_instances[i].home)
            continue;
        const std::string& id = m_view.instances[i].id;
        result.push_back({ .instance = id, .from = m_view.ledger.find(id)->pool, .to = m_view.configuration.pools[static_cast<std::size_t>(m_instances[i].at)].name });
    }
    return result;
}

std::vector<std::string> PlanBuilder::strays() const
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        const InstancePlacement& state = m_instances[i];
        if (state.named && state.movable && !state.counted && state.at == state.home)
            result.push_back(m_view.instances[i].id);
    }
    return result;
}

Ledger withMoves(Ledger ledger, const std::vector<Move>& moves)
{
    for (const Move& move : moves)
        ledger.find(move.instance)->pool = move.to;
    return ledger;
}

/// \returns Pools whose budgets do not permit the moves out of them.
std::vector<std::string> refusingPools(const FleetView& view, const FleetIndex& index, const std::vector<Move>& moves)
{
    const Ledger next = withMoves(view.ledger, moves);
    const DisruptionGuard before(view, index);
    const DisruptionGuard after({ .configuration = view.configuration, .ledger = next, .instances = view.instances, .now = view.now }, index);
    std::vector<std::string> refusing;
    for (const Move& move : moves) {
        const PoolAvailability was = before.availability(move.from);
        const PoolAvailability is = after.availability(move.from);
        // A pool without slack gives no instance away, not even one of its largest domain,
        // because it may need every member for its minimum.
        if (is.slack() < 0 && (is.slack() < was.slack() || is.inService < was.inService))
            refusing.push_back(move.from);
    }
    return refusing;
}

/// Moves members that no longer match to the spare set, as far as budgets permit.
void releaseStrays(const FleetView& view, const FleetIndex& index, const std::vector<std::string>& strays, MembershipPlan& plan)
{
    const Ledger next = withMoves(view.ledger, plan.moves);
    DisruptionGuard guard({ .configuration = view.configuration, .ledger = next, .instances = view.instances, .now = view.now }, index);
    for (const std::string& stray : strays) {
        const std::string& pool = next.find(stray)->pool;
        if (!guard.refusalFor(stray)) {
            guard.take(stray);
            plan.moves.push_back({ .instance = stray, .from = pool, .to = {} });
            continue;
        }
        const auto known = std::find_if(plan.conditions.begin(), plan.conditions.end(), [&](const PoolCondition& condition) { return condition.pool == pool && condition.code == PoolConditionCode::AwaitingReplacement; });
        if (known != plan.conditions.end())
            ++known->instances;
        else
            plan.conditions.push_back({ .pool = pool, .code = PoolConditionCode::AwaitingReplacement, .instances = 1 });
    }
}

} // namespace

std::string_view describe(PoolConditionCode code) noexcept
{
    switch (code) {
    case PoolConditionCode::BudgetNeverHolds:
        return "the matching instances can never hold the availability budget";
    case PoolConditionCode::TooFewInstances:
        return "too few free instances match the selector";
    case PoolConditionCode::AwaitingReplacement:
        return "members that no longer match stay until the budget lets them go";
    case PoolConditionCode::WaveStalled:
        return "instances are due for maintenance and no spare can be lent";
    }
    return "unknown condition";
}

MembershipPlan StickyMembershipPlanner::plan(const FleetView& view, const FleetIndex& index, const std::vector<PoolBoost>& boosts) const
{
    std::unordered_set<std::string> frozen;
    for (int attempt = 0;; ++attempt) {
        if (attempt == maximumAttempts) {
            // Take instances from the spare set only; no budget refuses such moves.
            for (const Pool& pool : view.configuration.pools)
                frozen.insert(pool.name);
        }
        PlanBuilder builder(view, index, frozen);
        builder.fillPools();
        builder.fillBoosts(boosts);
        MembershipPlan plan { .moves = builder.moves(), .conditions = builder.conditions() };
        const std::vector<std::string> refusing = refusingPools(view, index, plan.moves);
        if (refusing.empty()) {
            releaseStrays(view, index, builder.strays(), plan);
            return plan;
        }
        frozen.insert(refusing.begin(), refusing.end());
    }
}

} // namespace lanemoor
