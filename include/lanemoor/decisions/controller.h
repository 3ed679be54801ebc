#pragma once
/// \file
/// One step of the control loop: computes the next ledger from the observations.

#include "lanemoor/decisions/fleet_view.h"
#include "lanemoor/decisions/membership.h"
#include "lanemoor/decisions/wave.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// What the platform should do with an instance.
enum class ActionKind {
    Drain, ///< Assign no new work and report when idle.
    Reboot,
    Undrain, ///< Return to service without a reboot.
};

/// \returns The name of `kind` as the platform's interface spells it.
[[nodiscard]] std::string_view nameOf(ActionKind kind) noexcept;

/// \brief One action on one instance. Idempotent: the platform detects repeats by
/// grant and epoch.
struct Action {
    ActionKind kind = ActionKind::Drain;
    std::string instance;
    std::uint64_t grant = 0;
    std::uint64_t epoch = 0; ///< Of the sender. A platform that checks epochs refuses actions of a previous holder.

    [[nodiscard]] bool operator==(const Action&) const = default;
};

/// A drain requested by an operator that can't be granted yet.
struct DrainRefusal {
    std::string instance;
    DisruptionRefusal reason = DisruptionRefusal::BudgetExhausted;

    [[nodiscard]] bool operator==(const DrainRefusal&) const = default;
};

/// \brief The result of one step.
struct ControlPlan {
    Ledger next; ///< To be written by compare-and-swap if `changed`.
    bool changed = false;
    bool superseded = false; ///< The ledger was written under a later epoch, so this holder must not act.
    std::vector<Move> moves; ///< Contained in `next`.
    std::vector<PoolCondition> conditions;
    std::vector<DrainRefusal> refusedDrains;
};

/// \brief Computes one step of the control loop. Pure: no clock, no I/O.
///
/// A step only records grants in the ledger. `actionsFor` derives the actions from a
/// ledger that the store has accepted, so that no instance is acted on before its
/// grant is stored.
///
/// \code
/// Controller controller(std::make_unique<StickyMembershipPlanner>());
/// ControlPlan plan = controller.step(view, epoch);
/// if (!plan.changed || store.write(plan.next))
///     perform(Controller::actionsFor(viewOf(plan.next), epoch));
/// \endcode
class Controller {
public:
    explicit Controller(std::unique_ptr<const MembershipPlanner> planner);

    /// \param epoch Of the lease under which the control role is held.
    [[nodiscard]] ControlPlan step(const FleetView& view, std::uint64_t epoch) const;

    /// \param epoch Of the lease under which the actions are sent.
    /// \returns The actions that the active grants require. An instance that a delayed action
    /// of a previous holder drained without a grant is returned to service.
    [[nodiscard]] static std::vector<Action> actionsFor(const FleetView& view, std::uint64_t epoch);

private:
    std::unique_ptr<const MembershipPlanner> m_planner;
    WavePlanner m_waves;
};

} // namespace lanemoor
