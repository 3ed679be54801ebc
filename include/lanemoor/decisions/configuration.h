#pragma once
/// \file
/// The operators' configuration: the desired state of the fleet.

#include "lanemoor/decisions/instance.h"
#include "lanemoor/decisions/selector.h"
#include "lanemoor/decisions/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// \brief How many instances of a pool must stay in service.
///
/// The budget is met while at least `minimum` instances would remain in service after
/// the failure of the largest failure domain of kind `survives`.
struct AvailabilityBudget {
    std::uint32_t minimum = 0; ///< Instances.
    FailureDomain survives = FailureDomain::Rack;

    [[nodiscard]] bool operator==(const AvailabilityBudget&) const = default;
};

/// A weekly window in which maintenance may begin, in minutes since Monday 00:00 UTC.
struct MaintenanceWindow {
    std::uint32_t beginMinute = 0;
    std::uint32_t endMinute = 0; ///< Exclusive. A value up to `beginMinute` means that the window wraps around the end of the week.

    [[nodiscard]] bool contains(Instant now) const noexcept;
    [[nodiscard]] bool operator==(const MaintenanceWindow&) const = default;
};

/// A pool of instances that serve one service.
struct Pool {
    std::string name;
    Selector selector;
    std::int32_t priority = 0; ///< Where selectors overlap, pools of higher priority get instances first.
    std::uint32_t wanted = 0; ///< Minimum size in instances; applies if the budget requires fewer.
    AvailabilityBudget budget;
    std::vector<MaintenanceWindow> windows; ///< Empty: at any time.

    [[nodiscard]] bool operator==(const Pool&) const = default;
};

/// A team of callers with a quota.
struct Team {
    std::string name;
    std::uint32_t quota = 0; ///< Requests in flight at once, over all entry instances.

    [[nodiscard]] bool operator==(const Team&) const = default;
};

/// Relative cost of moves and of roll-out time; 0 is the lowest. Decisions only compare the two.
struct Weights {
    std::uint32_t moves = 1;
    std::uint32_t rollOut = 1;

    [[nodiscard]] bool operator==(const Weights&) const = default;
};

/// Maintenance policy for all instances.
struct Maintenance {
    std::uint32_t periodDays = 49; ///< Every instance is maintained once per period.
    std::uint32_t returnMinutes = 30; ///< An instance that takes longer to return counts as lost.
    Instant waveRequestedAt; ///< Instances last maintained before this instant are due immediately.

    [[nodiscard]] bool operator==(const Maintenance&) const = default;
};

/// \brief One accepted version of the operators' configuration. Immutable.
struct Configuration {
    std::uint64_t revision = 0; ///< The store's version of the document; 0 means no configuration.
    std::string changeId; ///< Id of the change that wrote this version; tells whether a write without a response took effect.
    std::vector<Pool> pools; ///< Ordered by name.
    std::vector<Team> teams; ///< Ordered by name.
    std::vector<std::string> drains; ///< Instances that operators want out of service.
    Weights weights;
    Maintenance maintenance;

    [[nodiscard]] const Pool* findPool(std::string_view name) const noexcept;
    [[nodiscard]] const Team* findTeam(std::string_view name) const noexcept;
    [[nodiscard]] bool operator==(const Configuration&) const = default;
};

} // namespace lanemoor
