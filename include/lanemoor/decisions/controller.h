#pragma once
/// \file
/// One step of the control role: from what is observed to the next ledger.

#include "lanemoor/decisions/fleet_view.h"
#include "lanemoor/decisions/membership.h"
#include "lanemoor/decisions/wave.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// What the platform is asked to do with an instance.
enum class ActionKind {
    Drain, ///< No new work; report when idle.
    Reboot,
    Undrain, ///< Back into service without a reboot.
};

/// \returns The name of `kind` as the platform's interface spells it.
[[nodiscard]] std::string_view nameOf(ActionKind kind) noexcept;

/// \brief One act on one instance. It may be sent any number of times: the
/// platform tells repeats by grant and epoch.
struct Action {
    ActionKind kind = ActionKind::Drain;
    std::string instance;
    std::uint64_t grant = 0;
    std::uint64_t epoch = 0; ///< Of the sender, so that a platform which checks it refuses a late holder.

    [[nodiscard]] bool operator==(const Action&) const = default;
};

/// An operator's drain that has to wait.
struct DrainRefusal {
    std::string instance;
    DisruptionRefusal reason = DisruptionRefusal::BudgetSpent;

    [[nodiscard]] bool operator==(const DrainRefusal&) const = default;
};

/// \brief The result of one step.
struct ControlPlan {
    Ledger next; ///< To be written by compare-and-swap if `changed`.
    bool changed = false;
    bool superseded = false; ///< The ledger was written under a later epoch: nothing may be done.
    std::vector<Move> moves; ///< Contained in `next`.
    std::vector<PoolCondition> conditions;
    std::vector<DrainRefusal> refusedDrains;
};

/// \brief Decides one step of the control role. Pure: no clock, no I/O.
///
/// A step gives grants in the ledger only. What has to be done under the standing
/// grants is told by `actionsFor` of a ledger that the store has accepted, so that
/// nothing is done to an instance before its grant stands.
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

    /// \param epoch Of the lease under which the acts are sent.
    /// \returns What the standing grants ask for; the same for the same observations. An
    /// instance found drained under no grant, by a late act of a former holder, is let back.
    [[nodiscard]] static std::vector<Action> actionsFor(const FleetView& view, std::uint64_t epoch);

private:
    std::unique_ptr<const MembershipPlanner> m_planner;
    WavePlanner m_waves;
};

} // namespace lanemoor
