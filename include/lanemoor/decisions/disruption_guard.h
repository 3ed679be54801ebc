#pragma once
/// \file
/// The only place that permits actions which take an instance out of service.

#include "lanemoor/decisions/fleet_index.h"
#include "lanemoor/decisions/fleet_view.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace lanemoor {

/// Why an instance may not be taken out of service.
enum class DisruptionRefusal {
    UnknownInstance, ///< Missing from the ledger or from the instance list.
    AlreadyGranted, ///< Already out of service under a grant.
    BudgetExhausted, ///< The pool would not survive the failure of its largest failure domain.
};

/// \returns A short English text for `refusal`.
[[nodiscard]] std::string_view describe(DisruptionRefusal refusal) noexcept;

/// Availability of a pool compared with its budget.
struct PoolAvailability {
    std::uint32_t inService = 0; ///< Instances.
    std::uint32_t largestDomain = 0; ///< Instances in service in the largest failure domain of the budget's kind.
    std::uint32_t minimum = 0; ///< The budget's minimum.

    /// \returns Instances that may be taken out of service now; negative if some are missing.
    [[nodiscard]] std::int64_t slack() const noexcept
    {
        return std::int64_t { inService } - largestDomain - minimum;
    }

    [[nodiscard]] bool operator==(const PoolAvailability&) const = default;
};

/// \brief Decides whether an instance may be taken out of service.
///
/// Counts the instances that the latest observation shows in service: not failed, not drained,
/// under no grant and not failing their requests. `markOutOfService` subtracts the instances
/// that were granted in the same step.
///
/// \code
/// DisruptionGuard guard(view, index);
/// if (!guard.refusalFor("m-17"))
///     guard.markOutOfService("m-17");
/// \endcode
/// \see Grant
class DisruptionGuard {
public:
    /// \param index Built from the view's configuration and instances.
    DisruptionGuard(const FleetView& view, const FleetIndex& index);
    ~DisruptionGuard();
    DisruptionGuard(DisruptionGuard&&) noexcept;
    DisruptionGuard& operator=(DisruptionGuard&&) noexcept;

    /// \returns Nothing if `instance` may be taken out of service now, otherwise the reason.
    [[nodiscard]] std::optional<DisruptionRefusal> refusalFor(std::string_view instance) const;

    /// \brief Counts `instance` as out of service in later calls.
    void markOutOfService(std::string_view instance);

    /// \returns The availability of pool `name`; all zero for an unknown pool.
    [[nodiscard]] PoolAvailability availability(std::string_view name) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
