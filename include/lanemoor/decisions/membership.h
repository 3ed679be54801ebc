#pragma once
/// \file
/// Planning of pool membership.

#include "lanemoor/decisions/fleet_index.h"
#include "lanemoor/decisions/fleet_view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lanemoor {

/// The move of one instance to another pool. An empty pool name means the spare set.
struct Move {
    std::string instance;
    std::string from;
    std::string to;

    [[nodiscard]] bool operator==(const Move&) const = default;
};

/// A condition of a pool that is reported to operators.
enum class PoolConditionCode {
    BudgetInfeasible, ///< No placement of the matching instances meets the budget.
    TooFewInstances, ///< The instances that the pool needs are in other pools.
    AwaitingReplacement, ///< Members that no longer match stay until the budget permits their removal.
    WaveStalled, ///< Instances are due for maintenance and no spare can be lent.
};

/// \returns A short English text for `code`.
[[nodiscard]] std::string_view describe(PoolConditionCode code) noexcept;

/// A condition of one pool.
struct PoolCondition {
    std::string pool;
    PoolConditionCode code = PoolConditionCode::TooFewInstances;
    std::uint32_t instances = 0; ///< Number of missing or waiting instances.

    [[nodiscard]] bool operator==(const PoolCondition&) const = default;
};

/// Extra members requested for a pool, taken only from instances that no other pool's budget needs.
struct PoolBoost {
    std::string pool;
    std::uint32_t instances = 0;

    [[nodiscard]] bool operator==(const PoolBoost&) const = default;
};

/// Changes from the current membership to the planned one.
struct MembershipPlan {
    std::vector<Move> moves; ///< To be applied atomically, in one version of the ledger.
    std::vector<PoolCondition> conditions;

    [[nodiscard]] bool operator==(const MembershipPlan&) const = default;
};

/// \brief Plans membership. An interface, so that benchmarks can compare implementations.
class MembershipPlanner {
public:
    virtual ~MembershipPlanner() = default;

    /// \param view Its ledger must have an entry for every listed instance.
    /// \param index Built from the view's configuration and instances.
    /// \param boosts Pools that temporarily need more members, the most urgent first.
    [[nodiscard]] virtual MembershipPlan plan(const FleetView& view, const FleetIndex& index, const std::vector<PoolBoost>& boosts) const = 0;
};

/// \brief Keeps all members that still match and fills vacancies by the cheapest chains
/// of moves.
///
/// Each vacancy is filled along a shortest augmenting path over the pools. The instance
/// comes from the spare set, from a pool with a surplus, or from a pool that gets a
/// replacement along the path. Moving an instance with long sessions costs more. No move
/// brings a pool below its budget.
class StickyMembershipPlanner final : public MembershipPlanner {
public:
    [[nodiscard]] MembershipPlan plan(const FleetView& view, const FleetIndex& index, const std::vector<PoolBoost>& boosts) const override;
};

} // namespace lanemoor
