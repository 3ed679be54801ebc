#pragma once
/// \file
/// The operators' configuration: what lanemoor is asked to hold.

#include "lanemoor/decisions/instance.h"
#include "lanemoor/decisions/selector.h"
#include "lanemoor/decisions/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// \brief How many instances of a pool stay in service, whatever happens.
///
/// The budget holds while, after the loss of the largest failure domain of kind
/// `survives`, at least `minimum` instances would still be in service.
struct AvailabilityBudget {
    std::uint32_t minimum = 0; ///< Instances.
    FailureDomain survives = FailureDomain::Rack;

    [[nodiscard]] bool operator==(const AvailabilityBudget&) const = default;
};

/// A weekly window in which maintenance may begin, in minutes since Monday 00:00 UTC.
struct MaintenanceWindow {
    std::uint32_t beginMinute = 0;
    std::uint32_t endMinute = 0; ///< Exclusive; a value not above `beginMinute` wraps over the week's end.

    [[nodiscard]] bool contains(Instant now) const noexcept;
    [[nodiscard]] bool operator==(const MaintenanceWindow&) const = default;
};

/// A pool of instances that serve one service.
struct Pool {
    std::string name;
    Selector selector;
    std::int32_t priority = 0; ///< The higher one gets instances first where selectors overlap.
    std::uint32_t wanted = 0; ///< Instances at least, beyond what the budget needs.
    AvailabilityBudget budget;
    std::vector<MaintenanceWindow> windows; ///< Empty: at any time.

    [[nodiscard]] bool operator==(const Pool&) const = default;
};

/// A team of callers with a quota.
struct Team {
    std::string name;
    std::uint32_t quota = 0; ///< Requests in flight at once, over all entries.

    [[nodiscard]] bool operator==(const Team&) const = default;
};

/// What the operators weigh; 0 means: of no concern.
struct Weights {
    std::uint32_t moves = 1;
    std::uint32_t rollOut = 1;

    [[nodiscard]] bool operator==(const Weights&) const = default;
};

/// How every instance is maintained.
struct Maintenance {
    std::uint32_t periodDays = 49; ///< Every instance is maintained once in this time.
    std::uint32_t returnMinutes = 30; ///< An instance not back by then counts as lost.
    Instant waveRequestedAt; ///< Instances last maintained before this are due at once.

    [[nodiscard]] bool operator==(const Maintenance&) const = default;
};

/// \brief One accepted version of the operators' configuration. Immutable.
struct Configuration {
    std::uint64_t revision = 0; ///< The store's version of the document; 0 is no configuration.
    std::string changeId; ///< Of the change that brought it; settles writes whose answer was lost.
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
