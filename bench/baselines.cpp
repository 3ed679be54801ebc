#include "baselines.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace lanemoor::bench {

MembershipPlan FullReassignmentPlanner::plan(const FleetView& view, const FleetIndex& index, const std::vector<PoolBoost>&) const
{
    MembershipPlan plan;
    std::vector<std::uint32_t> members(view.configuration.pools.size());
    std::vector<std::map<std::string_view, std::uint32_t>> byDomain(view.configuration.pools.size());
    for (std::size_t i = 0; i < view.instances.size(); ++i) {
        const LedgerEntry* entry = view.ledger.find(view.instances[i].id);
        std::string chosen;
        for (std::size_t pool = 0; chosen.empty() && pool < members.size(); ++pool) {
            const Pool& configured = view.configuration.pools[pool];
            std::uint32_t& inDomain = byDomain[pool][domainOf(view.instances[i], configured.budget.survives)];
            if (!index.matches(pool, i) || members[pool] >= index.size(pool).target || inDomain >= index.size(pool).perDomain)
                continue;
            ++members[pool];
            ++inDomain;
            chosen = configured.name;
        }
        if (entry && entry->pool != chosen)
            plan.moves.push_back({ .instance = view.instances[i].id, .from = entry->pool, .to = chosen });
    }
    return plan;
}

FixedSpare fixedSpareBaseline(const Configuration& configuration, const Instances& instances, Millis timePerInstance)
{
    FixedSpare result;
    std::map<std::string_view, std::uint32_t> domainSizes;
    for (const Pool& pool : configuration.pools) {
        domainSizes.clear();
        for (const Instance& instance : instances)
            ++domainSizes[domainOf(instance, pool.budget.survives)];
        std::uint32_t largest = 0;
        for (const auto& [domain, size] : domainSizes)
            largest = std::max(largest, size);
        const std::uint32_t spare = std::min(largest, pool.budget.minimum) + 1;
        result.buffer += spare;
        result.rollOut = std::max(result.rollOut, timePerInstance * (pool.budget.minimum + spare));
    }
    return result;
}

} // namespace lanemoor::bench
