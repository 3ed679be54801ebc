#include "lanemoor/decisions/pool_sizing.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace lanemoor {

namespace {

std::uint64_t placeable(const std::vector<std::uint32_t>& domains, std::uint32_t perDomain)
{
    std::uint64_t total = 0;
    for (const std::uint32_t size : domains)
        total += std::min(size, perDomain);
    return total;
}

} // namespace

std::vector<std::uint32_t> matchingByDomain(const Instances& instances, FailureDomain kind, const std::function<bool(std::size_t)>& matches)
{
    std::unordered_map<std::string_view, std::uint32_t> counts;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (instances[i].state == InstanceState::Live && matches(i))
            ++counts[domainOf(instances[i], kind)];
    }
    std::vector<std::uint32_t> sizes;
    sizes.reserve(counts.size());
    for (const auto& [domain, count] : counts)
        sizes.push_back(count);
    return sizes;
}

PoolSize sizeOf(const Pool& pool, const std::vector<std::uint32_t>& domains)
{
    const std::uint32_t minimum = pool.budget.minimum;
    const std::uint32_t largest = domains.empty() ? 0 : *std::max_element(domains.begin(), domains.end());
    const bool mustSurvive = pool.budget.survives != FailureDomain::None && minimum > 0;

    std::uint32_t loss = mustSurvive ? 1 : 0;
    bool feasible = !mustSurvive && placeable(domains, largest) >= minimum;
    while (mustSurvive && !feasible && loss <= largest) {
        feasible = placeable(domains, loss) >= std::uint64_t { minimum } + loss;
        if (!feasible)
            ++loss;
    }
    if (mustSurvive && !feasible)
        loss = std::max<std::uint32_t>(1, largest);
    const std::uint32_t budgetTarget = minimum + loss;
    const std::uint32_t target = std::max(budgetTarget, pool.wanted);
    const std::uint32_t perDomain = mustSurvive ? target - minimum : std::max(target, largest);
    return { .target = target, .budgetTarget = budgetTarget, .perDomain = perDomain, .feasible = feasible };
}

} // namespace lanemoor
