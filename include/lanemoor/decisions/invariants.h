#pragma once
/// \file
/// Invariants of the control loop. Tests check them after every step; the daemon counts
/// breaches.

#include "lanemoor/decisions/fleet_view.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// The invariant that was violated.
enum class InvariantCode {
    BudgetBrokenByGrant, ///< A pool with active grants is below its minimum although at most one domain failed.
    BudgetBrokenByFailure, ///< The failure of one domain brought a pool that met its budget below its minimum.
    GrantMissing, ///< An instance was acted on without an active grant.
};

/// \returns A short English text for `code`.
[[nodiscard]] std::string_view describe(InvariantCode code) noexcept;

/// An observed violation of an invariant.
struct InvariantBreach {
    InvariantCode code = InvariantCode::BudgetBrokenByGrant;
    std::string subject; ///< Pool or instance.

    [[nodiscard]] bool operator==(const InvariantBreach&) const = default;
};

/// State of a pool's members at one moment.
struct PoolStatus {
    std::string pool;
    std::uint32_t minimum = 0;
    std::uint32_t inService = 0;
    std::uint32_t granted = 0; ///< Out of service under a grant and not failed since.
    std::set<std::string> failedDomains; ///< Domains of the budget's kind with failed members, whether or not under a grant.
    std::int64_t slack = 0; ///< See PoolAvailability.

    [[nodiscard]] bool operator==(const PoolStatus&) const = default;
};

/// \returns The status of each configured pool, in the configuration's order.
[[nodiscard]] std::vector<PoolStatus> poolStatuses(const FleetView& view);

/// \brief Checks availability budgets over a sequence of moments.
///
/// A budget guarantees its minimum while at most one failure domain of its kind has
/// failed since the pool last met its budget (slack of 0 or more). A pool that never
/// met its budget is not checked.
class BudgetInvariant {
public:
    /// \returns Breaches at this moment. Calls must be in chronological order.
    [[nodiscard]] std::vector<InvariantBreach> check(const FleetView& view);

    /// \param now The result of `poolStatuses` for this moment, for callers that already have it.
    [[nodiscard]] std::vector<InvariantBreach> check(const Configuration& configuration, const std::vector<PoolStatus>& now);

private:
    struct History {
        std::string pool;
        AvailabilityBudget budget;
        bool wasWithinBudget = false;
        std::set<std::string> failedSince; ///< Domains that failed since the pool last met its budget.
    };

    [[nodiscard]] History& historyOf(const Pool& pool);

    std::vector<History> m_histories;
};

} // namespace lanemoor
