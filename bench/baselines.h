#pragma once
/// \file
/// Simpler algorithms as baselines for the benchmarks.

#include "lanemoor/decisions/membership.h"

namespace lanemoor::bench {

/// \brief Reassigns every instance at each change, in order of id.
class FullReassignmentPlanner final : public MembershipPlanner {
public:
    [[nodiscard]] MembershipPlan plan(const FleetView& view, const FleetIndex& index, const std::vector<PoolBoost>& boosts) const override;
};

/// Result of maintaining one instance at a time in each pool, with a fixed spare per pool.
struct FixedSpare {
    std::uint32_t buffer = 0; ///< Instances.
    Millis rollOut { 0 };
};

/// \brief Each pool keeps spares for the loss of a whole failure domain, since all its members may
/// be in one, and one more for maintenance; pools are maintained in parallel.
[[nodiscard]] FixedSpare fixedSpareBaseline(const Configuration& configuration, const Instances& instances, Millis timePerInstance);

} // namespace lanemoor::bench
