#pragma once
/// \file
/// What must always hold, as checks. Tests run them over every step; the daemon
/// counts their breaches.

#include "lanemoor/decisions/fleet_view.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// An invariant that was found broken.
enum class InvariantCode {
    BudgetBrokenByGrant, ///< A pool is below its minimum, one domain failed at most, and grants stand in it.
    BudgetBrokenByLoss, ///< A pool that stood well fell below its minimum by the loss of one domain.
    GrantMissing, ///< An instance was acted on without a standing grant.
};

/// \returns A short English text for `code`.
[[nodiscard]] std::string_view describe(InvariantCode code) noexcept;

/// One breach.
struct InvariantBreach {
    InvariantCode code = InvariantCode::BudgetBrokenByGrant;
    std::string subject; ///< Pool or instance.

    [[nodiscard]] bool operator==(const InvariantBreach&) const = default;
};

/// How a pool's members are at one moment.
struct PoolStanding {
    std::string pool;
    std::uint32_t minimum = 0;
    std::uint32_t inService = 0;
    std::uint32_t granted = 0; ///< Taken out of service under a grant, and not lost since.
    std::set<std::string> failedDomains; ///< Domains of the budget's kind with members lost to failure, granted or not.
    std::int64_t slack = 0; ///< See PoolAvailability.

    [[nodiscard]] bool operator==(const PoolStanding&) const = default;
};

/// \returns The standing of each configured pool, in the configuration's order.
[[nodiscard]] std::vector<PoolStanding> standings(const FleetView& view);

/// \brief Checks budgets from one moment to the next.
///
/// A budget promises its minimum while at most one failure domain of its kind is
/// lost since the pool last stood well (slack of 0 or more). A pool that was never
/// filled is not held to it.
class BudgetInvariant {
public:
    /// \returns Breaches at this moment. Moments must be given in order of time.
    [[nodiscard]] std::vector<InvariantBreach> check(const FleetView& view);

    /// \param now The `standings` of this moment, for a caller that has them.
    [[nodiscard]] std::vector<InvariantBreach> check(const Configuration& configuration, const std::vector<PoolStanding>& now);

private:
    struct History {
        std::string pool;
        AvailabilityBudget budget;
        bool stoodWell = false;
        std::set<std::string> failedSince; ///< Domains lost since it last stood well.
    };

    [[nodiscard]] History& historyOf(const Pool& pool);

    std::vector<History> m_histories;
};

} // namespace lanemoor
