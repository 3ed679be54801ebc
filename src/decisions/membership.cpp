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
/// Cost of one move; larger than the sum of all tie-breaking costs of a chain.
constexpr std::int64_t moveCost = 1'000'000;
/// Additional cost per long session of the moved instance.
constexpr std::int64_t sessionCost = 100;
constexpr std::uint32_t maxCountedSessions = 1'000;
/// Cost of taking an instance that a pool of lower priority needs for its target. Used as a last resort.
constexpr std::int64_t takeFromLowerPriorityCost = 1'000'000'000;
constexpr std::int64_t infiniteCost = std::numeric_limits<std::int64_t>::max();
/// How long a failed member may take to return before it is replaced.
constexpr Millis replacementDelay = std::chrono::seconds(60);
/// Planning attempts before instances are taken from the spare set only. Each attempt takes no
/// instances from the pools whose budgets refused moves of earlier attempts.
constexpr int maxPlanAttempts = 8;

/// State of a pool during planning.
struct PoolState {
    PoolSize size;
    const DomainIndex* domains = nullptr;
    std::vector<std::uint32_t> members; ///< By domain: members that match and are in service or expected back.
    std::vector<std::uint32_t> absent; ///< By domain: failed or drained members that match and may come back.
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
    int ledgerPool = spare; ///< Pool in the ledger.
    int currentPool = spare; ///< Pool in the plan so far.
    bool hasLedgerPool = false; ///< The ledger assigns it to a pool, even if that pool is no longer configured.
    bool isMovable = false; ///< In service and not to be drained.
    bool isCounted = false; ///< Counts as a member of its pool: matches and is in service or expected back.
    std::int64_t cost = moveCost; ///< Cost of moving it out of its pool in the ledger.
};

/// Label of a pool in the shortest-path search.
struct SearchLabel {
    std::int64_t cost = infiniteCost;
    int previous = spare; ///< Pool that takes `instance` from this one.
    std::size_t instance = 0; ///< Instance taken from this pool.
    bool hasInstance = false;
};

/// End of a chain: an instance that needs no replacement.
struct ChainEnd {
    std::int64_t cost = infiniteCost;
    int recipient = spare;
    std::size_t instance = 0;
};

/// Builds one plan. No instance is taken from the pools in `excludedDonors`.
class PlanBuilder {
public:
    PlanBuilder(const FleetView& view, const FleetIndex& index, const std::unordered_set<std::string>& excludedDonors);

    /// Fills all pools up to their targets, in order of descending priority.
    void fillPools();

    /// Adds the requested extra members to pools.
    void fillBoosts(const std::vector<PoolBoost>& boosts);

    [[nodiscard]] std::vector<Move> moves() const;
    [[nodiscard]] const std::vector<PoolCondition>& conditions() const noexcept { return m_conditions; }

    /// \returns Ids of movable members that no longer match their pool and were not moved to another one.
    [[nodiscard]] std::vector<std::string> mismatchedMembers() const;

private:
    void readPools();
    void readInstances();
    void readInstance(const LedgerEntry& entry, const Instance& instance, std::size_t number);
    [[nodiscard]] int poolIndex(std::string_view name) const;
    [[nodiscard]] bool isExpectedBack(const LedgerEntry& entry, const Instance& instance) const;
    [[nodiscard]] const std::vector<std::size_t>& candidatesOf(int pool) const { return m_candidates[static_cast<std::size_t>(pool)]; }

    [[nodiscard]] std::int64_t costAt(std::size_t instance, int pool) const;
    [[nodiscard]] bool hasRoom(int pool, std::size_t instance, const SearchLabel& label) const;
    [[nodiscard]] bool canGiveInstances(int pool) const;
    [[nodiscard]] bool isMismatched(std::size_t instance) const;
    [[nodiscard]] bool endsChain(std::size_t instance, int requester, std::int64_t& cost) const;
    [[nodiscard]] ChainEnd searchChain(int start);
    void relax(int pool, int start, std::deque<int>& queue, std::vector<bool>& queued, ChainEnd& best);
    [[nodiscard]] bool onPath(int pool, int from) const;
    void applyChain(ChainEnd end);
    void place(std::size_t instance, int pool);
    void fill(int pool);

    const FleetView& m_view;
    const FleetIndex& m_index;
    const std::unordered_set<std::string>& m_excludedDonors;
    std::vector<PoolState> m_pools;
    std::vector<InstancePlacement> m_instances;
    std::vector<std::vector<std::size_t>> m_candidates; ///< By pool: movable instances that match.
    std::vector<SearchLabel> m_labels;
    std::vector<PoolCondition> m_conditions;
};

PlanBuilder::PlanBuilder(const FleetView& view, const FleetIndex& index, const std::unordered_set<std::string>& excludedDonors)
    : m_view(view)
    , m_index(index)
    , m_excludedDonors(excludedDonors)
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

bool PlanBuilder::isExpectedBack(const LedgerEntry& entry, const Instance& instance) const
{
    if (entry.grant)
        return entry.grant->reason == GrantReason::Maintenance && m_view.now < entry.grant->deadline;
    return isHealthy(instance) || !instance.unhealthySince || m_view.now < *instance.unhealthySince + replacementDelay;
}

void PlanBuilder::readInstances()
{
    m_instances.resize(m_view.instances.size());
    m_candidates.resize(m_view.configuration.pools.size());
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
    state.ledgerPool = poolIndex(entry.pool);
    state.currentPool = state.ledgerPool;
    state.hasLedgerPool = !entry.pool.empty();
    state.isMovable = isInService(entry, &instance) && !drained;
    state.cost = moveCost + sessionCost * std::min(instance.longSessions, maxCountedSessions);
    for (std::size_t pool = 0; state.isMovable && pool < m_candidates.size(); ++pool) {
        if (m_index.matches(pool, number))
            m_candidates[pool].push_back(number);
    }
    if (state.ledgerPool == spare)
        return;
    const auto ledgerPool = static_cast<std::size_t>(state.ledgerPool);
    state.isCounted = m_index.matches(ledgerPool, number) && !drained && isExpectedBack(entry, instance);
    const std::size_t domain = m_pools[ledgerPool].domains->of(number);
    if (state.isCounted)
        m_pools[ledgerPool].add(domain);
    else if (!state.isMovable && m_index.matches(ledgerPool, number))
        ++m_pools[ledgerPool].absent[domain];
}

std::int64_t PlanBuilder::costAt(std::size_t instance, int pool) const
{
    const InstancePlacement& state = m_instances[instance];
    const bool isMismatchedMember = pool == state.ledgerPool && !state.isCounted && pool != spare;
    if (pool == state.ledgerPool && !isMismatchedMember)
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

bool PlanBuilder::canGiveInstances(int pool) const
{
    return pool == spare || !m_excludedDonors.contains(m_view.configuration.pools[static_cast<std::size_t>(pool)].name);
}

bool PlanBuilder::isMismatched(std::size_t instance) const
{
    const InstancePlacement& state = m_instances[instance];
    return state.currentPool != spare && state.currentPool == state.ledgerPool && !state.isCounted;
}

bool PlanBuilder::endsChain(std::size_t instance, int requester, std::int64_t& cost) const
{
    const InstancePlacement& state = m_instances[instance];
    if (state.currentPool == spare || isMismatched(instance))
        return true;
    const PoolState& donor = m_pools[static_cast<std::size_t>(state.currentPool)];
    if (donor.members[donor.domains->of(instance)] > donor.size.perDomain)
        return true; // Beyond perDomain, a member enlarges the largest domain and adds no slack.
    if (donor.slack <= 0)
        return false;
    if (donor.effective > donor.size.target)
        return true;
    const std::vector<Pool>& pools = m_view.configuration.pools;
    const bool lowerPriority = pools[static_cast<std::size_t>(state.currentPool)].priority < pools[static_cast<std::size_t>(requester)].priority;
    if (!lowerPriority || donor.effective <= donor.size.budgetTarget)
        return false;
    cost += takeFromLowerPriorityCost;
    return true;
}

bool PlanBuilder::onPath(int pool, int from) const
{
    for (int currentPool = from; currentPool != spare; currentPool = m_labels[static_cast<std::size_t>(currentPool)].previous) {
        if (currentPool == pool)
            return true;
    }
    return false;
}

void PlanBuilder::relax(int pool, int start, std::deque<int>& queue, std::vector<bool>& queued, ChainEnd& best)
{
    const SearchLabel label = m_labels[static_cast<std::size_t>(pool)];
    const PoolState& recipient = m_pools[static_cast<std::size_t>(pool)];
    for (const std::size_t i : candidatesOf(pool)) {
        const int donor = m_instances[i].currentPool;
        if (donor == pool || !canGiveInstances(donor) || !hasRoom(pool, i, label))
            continue;
        const std::int64_t spreadCost = recipient.members[recipient.domains->of(i)];
        std::int64_t cost = label.cost + costAt(i, pool) - costAt(i, donor) + spreadCost;
        std::int64_t endCost = cost;
        if (endsChain(i, start, endCost)) {
            if (endCost < best.cost)
                best = { .cost = endCost, .recipient = pool, .instance = i };
            continue;
        }
        SearchLabel& next = m_labels[static_cast<std::size_t>(donor)];
        if (cost >= next.cost || onPath(donor, pool))
            continue;
        next = { .cost = cost, .previous = pool, .instance = i, .hasInstance = true };
        if (!queued[static_cast<std::size_t>(donor)]) {
            queued[static_cast<std::size_t>(donor)] = true;
            queue.push_back(donor);
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
    if (state.currentPool != spare && !isMismatched(instance))
        m_pools[static_cast<std::size_t>(state.currentPool)].remove(m_pools[static_cast<std::size_t>(state.currentPool)].domains->of(instance));
    state.currentPool = pool;
    m_pools[static_cast<std::size_t>(pool)].add(m_pools[static_cast<std::size_t>(pool)].domains->of(instance));
}

void PlanBuilder::applyChain(ChainEnd end)
{
    int recipient = end.recipient;
    std::size_t instance = end.instance;
    if (m_instances[instance].currentPool != spare)
        --m_pools[static_cast<std::size_t>(m_instances[instance].currentPool)].slack;
    while (recipient != spare) {
        const SearchLabel label = m_labels[static_cast<std::size_t>(recipient)];
        place(instance, recipient);
        instance = label.instance;
        recipient = label.previous;
    }
}

void PlanBuilder::fill(int pool)
{
    const PoolState& state = m_pools[static_cast<std::size_t>(pool)];
    while (state.effective < state.size.target) {
        const ChainEnd end = searchChain(pool);
        if (end.cost == infiniteCost)
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
        state.resize(m_index.sizeWithMissing(static_cast<std::size_t>(pool), boost.instances));
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
        const auto code = state.size.feasible ? PoolConditionCode::TooFewInstances : PoolConditionCode::BudgetInfeasible;
        m_conditions.push_back({ .pool = pools[static_cast<std::size_t>(pool)].name, .code = code, .instances = state.size.target - state.effective });
    }
}

std::vector<Move> PlanBuilder::moves() const
{
    std::vector<Move> result;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (m_instances[i].currentPool == m_instances[i].ledgerPool)
            continue;
        const std::string& id = m_view.instances[i].id;
        result.push_back({ .instance = id, .from = m_view.ledger.find(id)->pool, .to = m_view.configuration.pools[static_cast<std::size_t>(m_instances[i].currentPool)].name });
    }
    return result;
}

std::vector<std::string> PlanBuilder::mismatchedMembers() const
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        const InstancePlacement& state = m_instances[i];
        if (state.hasLedgerPool && state.isMovable && !state.isCounted && state.currentPool == state.ledgerPool)
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
std::vector<std::string> poolsBelowBudget(const FleetView& view, const FleetIndex& index, const std::vector<Move>& moves)
{
    const Ledger next = withMoves(view.ledger, moves);
    const DisruptionGuard before(view, index);
    const DisruptionGuard after({ .configuration = view.configuration, .ledger = next, .instances = view.instances, .now = view.now }, index);
    std::vector<std::string> belowBudget;
    for (const Move& move : moves) {
        const PoolAvailability availabilityBefore = before.availability(move.from);
        const PoolAvailability availabilityAfter = after.availability(move.from);
        // A pool without slack gives no instance away, not even one of its largest domain,
        // because it may need every member for its minimum.
        if (availabilityAfter.slack() < 0 && (availabilityAfter.slack() < availabilityBefore.slack() || availabilityAfter.inService < availabilityBefore.inService))
            belowBudget.push_back(move.from);
    }
    return belowBudget;
}

/// Moves members that no longer match to the spare set, as far as budgets permit.
void releaseMismatched(const FleetView& view, const FleetIndex& index, const std::vector<std::string>& mismatchedMembers, MembershipPlan& plan)
{
    const Ledger next = withMoves(view.ledger, plan.moves);
    DisruptionGuard guard({ .configuration = view.configuration, .ledger = next, .instances = view.instances, .now = view.now }, index);
    for (const std::string& id : mismatchedMembers) {
        const std::string& pool = next.find(id)->pool;
        if (!guard.refusalFor(id)) {
            guard.markOutOfService(id);
            plan.moves.push_back({ .instance = id, .from = pool, .to = {} });
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
    case PoolConditionCode::BudgetInfeasible:
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
    std::unordered_set<std::string> excludedDonors;
    for (int attempt = 0;; ++attempt) {
        if (attempt == maxPlanAttempts) {
            // Take instances from the spare set only; no budget refuses such moves.
            for (const Pool& pool : view.configuration.pools)
                excludedDonors.insert(pool.name);
        }
        PlanBuilder builder(view, index, excludedDonors);
        builder.fillPools();
        builder.fillBoosts(boosts);
        MembershipPlan plan { .moves = builder.moves(), .conditions = builder.conditions() };
        const std::vector<std::string> belowBudget = poolsBelowBudget(view, index, plan.moves);
        if (belowBudget.empty()) {
            releaseMismatched(view, index, builder.mismatchedMembers(), plan);
            return plan;
        }
        excludedDonors.insert(belowBudget.begin(), belowBudget.end());
    }
}

} // namespace lanemoor
