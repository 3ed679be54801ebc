#pragma once
/// \file
/// What the measures are held against: simpler ways to do the same.

#include "lanemoor/decisions/membership.h"

namespace lanemoor::bench {

/// \brief Assigns every instance anew at each change, in order of id.
class FullReassignmentPlanner final : public MembershipPlanner {
public:
    [[nodiscard]] MembershipPlan plan(const FleetView& view, const FleetIndex& index, const std::vector<PoolBoost>& boosts) const override;
};

/// One at a time in each pool, with a fixed spare of its own.
struct FixedSpare {
    std::uint32_t buffer = 0; ///< Instances.
    Millis rollOut { 0 };
};

/// \brief Each pool keeps a spare for a whole failure domain, since its members may all
/// stand in one, and one more for maintenance; pools work side by side.
[[nodiscard]] FixedSpare fixedSpareBaseline(const Configuration& configuration, const Instances& instances, Millis timeOfOne);

} // namespace lanemoor::bench
