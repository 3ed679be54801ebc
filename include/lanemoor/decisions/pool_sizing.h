#pragma once
/// \file
/// How many instances a pool needs so that its budget outlives a failure domain.

#include "lanemoor/decisions/configuration.h"

#include <cstdint>
#include <vector>

namespace lanemoor {

/// Size of a pool, in instances.
struct PoolSize {
    std::uint32_t target = 0; ///< Members it should have.
    std::uint32_t budgetTarget = 0; ///< Members its budget alone needs; at most `target`.
    std::uint32_t perDomain = 0; ///< Members in one failure domain that count towards `target`.
    bool feasible = true; ///< False: the matching instances can never hold the budget.

    [[nodiscard]] bool operator==(const PoolSize&) const = default;
};

/// \brief Computes the smallest size of `pool` that holds its budget.
///
/// With at most t members in one domain, minimum + t members are needed; the
/// smallest t for which the matching instances suffice gives the least buffer.
/// That buffer, t, is also the lower bound of the pool's buffer cost.
///
/// \param domains Live matching instances in each failure domain.
[[nodiscard]] PoolSize sizeOf(const Pool& pool, const std::vector<std::uint32_t>& domains);

} // namespace lanemoor
