#pragma once
/// \file
/// Decides which pool has which instance.

#include "lanemoor/decisions/fleet_index.h"
#include "lanemoor/decisions/fleet_view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lanemoor {

/// One instance that changes pool. An empty pool name is the spare set.
struct Move {
    std::string instance;
    std::string from;
    std::string to;

    [[nodiscard]] bool operator==(const Move&) const = default;
};

/// What an operator is told of a pool.
enum class PoolConditionCode {
    BudgetNeverHolds, ///< The matching instances can't hold the budget, however placed.
    TooFewInstances, ///< Other pools have the instances that it would need.
    AwaitingReplacement, ///< Members that no longer match stay until the budget lets them go.
    WaveStalled, ///< Instances are due for maintenance and no spare can be lent.
};

/// \returns A short English text for `code`.
[[nodiscard]] std::string_view describe(PoolConditionCode code) noexcept;

/// A condition of one pool.
struct PoolCondition {
    std::string pool;
    PoolConditionCode code = PoolConditionCode::TooFewInstances;
    std::uint32_t instances = 0; ///< How many are missing or waiting.

    [[nodiscard]] bool operator==(const PoolCondition&) const = default;
};

/// Extra members asked for one pool, filled only from what no pool needs.
struct PoolBoost {
    std::string pool;
    std::uint32_t instances = 0;

    [[nodiscard]] bool operator==(const PoolBoost&) const = default;
};

/// New membership as changes to the old one.
struct MembershipPlan {
    std::vector<Move> moves; ///< To be applied together, in one version of the ledger.
    std::vector<PoolCondition> conditions;

    [[nodiscard]] bool operator==(const MembershipPlan&) const = default;
};

/// \brief Plans membership. An interface, so that baselines can stand beside it.
class MembershipPlanner {
public:
    virtual ~MembershipPlanner() = default;

    /// \param view The ledger must have a line for every listed instance.
    /// \param index Made from the view's configuration and instances.
    /// \param boosts Pools that should have more members for a while, the most urgent first.
    [[nodiscard]] virtual MembershipPlan plan(const FleetView& view, const FleetIndex& index, const std::vector<PoolBoost>& boosts) const = 0;
};

/// \brief Keeps every member that still fits and fills what is missing by the
/// cheapest chains of moves.
///
/// Each missing member is found by a shortest augmenting path over the pools: an
/// instance from the spare set or from a pool with more than it needs, or one
/// from another pool that is replaced in turn. Instances with long sessions cost
/// more than those without. A pool is never brought below what its budget needs.
class StickyMembershipPlanner final : public MembershipPlanner {
public:
    [[nodiscard]] MembershipPlan plan(const FleetView& view, const FleetIndex& index, const std::vector<PoolBoost>& boosts) const override;
};

} // namespace lanemoor
