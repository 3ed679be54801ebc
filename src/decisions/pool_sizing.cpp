#include "lanemoor/decisions/pool_sizing.h"

#include <algorithm>

namespace lanemoor {

namespace {

/// \returns The number of instances that fit with at most `perDomain` in one domain.
std::uint64_t countPlaceable(const std::vector<std::uint32_t>& domains, std::uint32_t perDomain)
{
    std::uint64_t total = 0;
    for (const std::uint32_t size : domains)
        total += std::min(size, perDomain);
    return total;
}

} // namespace

PoolSize sizeOf(const Pool& pool, const std::vector<std::uint32_t>& domains)
{
    const std::uint32_t minimum = pool.budget.minimum;
    const std::uint32_t largest = domains.empty() ? 0 : *std::max_element(domains.begin(), domains.end());
    const bool mustSurvive = pool.budget.survives != FailureDomain::None && minimum > 0;

    std::uint32_t loss = mustSurvive ? 1 : 0;
    bool feasible = !mustSurvive && countPlaceable(domains, largest) >= minimum;
    while (mustSurvive && !feasible && loss <= largest) {
        feasible = countPlaceable(domains, loss) >= std::uint64_t { minimum } + loss;
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
