#pragma once
/// \file
/// Computes how many instances a pool needs to survive the failure of a domain.

#include "lanemoor/decisions/configuration.h"

#include <cstdint>
#include <vector>

namespace lanemoor {

/// Size of a pool, in instances.
struct PoolSize {
    std::uint32_t target = 0; ///< Members it should have.
    std::uint32_t budgetTarget = 0; ///< Members that its budget alone requires; at most `target`.
    std::uint32_t perDomain = 0; ///< Max members of one failure domain that count towards `target`.
    bool feasible = true; ///< False if no placement of the matching instances meets the budget.

    [[nodiscard]] bool operator==(const PoolSize&) const = default;
};

/// \brief Computes the smallest size of `pool` that meets its budget.
///
/// With at most t members in one domain, minimum + t members are needed. The smallest t
/// for which enough instances match gives the smallest buffer, which is also the lower
/// bound of the pool's buffer cost.
///
/// \param domains Number of live matching instances in each failure domain.
[[nodiscard]] PoolSize sizeOf(const Pool& pool, const std::vector<std::uint32_t>& domains);

} // namespace lanemoor
