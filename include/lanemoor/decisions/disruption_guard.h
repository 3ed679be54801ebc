#pragma once
/// \file
/// The one place that permits an act which takes an instance out of service.

#include "lanemoor/decisions/fleet_index.h"
#include "lanemoor/decisions/fleet_view.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace lanemoor {

/// Why an instance may not be taken out of service.
enum class DisruptionRefusal {
    UnknownInstance, ///< Neither in the ledger nor listed.
    GrantStands, ///< It is out of service under another grant.
    BudgetSpent, ///< The pool would not survive the loss of its largest failure domain.
};

/// \returns A short English text for `refusal`.
[[nodiscard]] std::string_view describe(DisruptionRefusal refusal) noexcept;

/// How a pool stands against its budget.
struct PoolAvailability {
    std::uint32_t inService = 0; ///< Instances.
    std::uint32_t largestDomain = 0; ///< Instances in service that one failure of the named kind takes.
    std::uint32_t minimum = 0; ///< The budget's minimum.

    /// \returns Instances that may be taken out now; negative: missing.
    [[nodiscard]] std::int64_t slack() const noexcept
    {
        return std::int64_t { inService } - largestDomain - minimum;
    }

    [[nodiscard]] bool operator==(const PoolAvailability&) const = default;
};

/// \brief Answers whether an act may take an instance out of service.
///
/// It counts what is in service by the newest observation: instances lost to
/// failure, under a grant or failing their work do not count. Acts that were
/// granted in the same step are counted by `take`.
///
/// \code
/// DisruptionGuard guard(view, index);
/// if (!guard.refusalFor("m-17"))
///     guard.take("m-17");
/// \endcode
/// \see Grant
class DisruptionGuard {
public:
    /// \param index Made from the view's configuration and instances.
    DisruptionGuard(const FleetView& view, const FleetIndex& index);
    ~DisruptionGuard();
    DisruptionGuard(DisruptionGuard&&) noexcept;
    DisruptionGuard& operator=(DisruptionGuard&&) noexcept;

    /// \returns Nothing if `instance` may be taken out of service now, or the reason why not.
    [[nodiscard]] std::optional<DisruptionRefusal> refusalFor(std::string_view instance) const;

    /// \brief Counts `instance` as out of service from here on.
    void take(std::string_view instance);

    /// \returns How pool `name` stands; of an unknown pool all zero.
    [[nodiscard]] PoolAvailability availability(std::string_view name) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
