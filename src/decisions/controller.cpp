#include "lanemoor/decisions/controller.h"

#include <algorithm>
#include <utility>

namespace lanemoor {

namespace {

/// How long an instance fails before it is quarantined.
constexpr Millis quarantineAfter = std::chrono::seconds(60);
/// At most one in this many listed instances is in quarantine at a time.
constexpr std::size_t quarantineDivisor = 10;

bool isDrainRequested(const Configuration& configuration, std::string_view id)
{
    return std::find(configuration.drains.begin(), configuration.drains.end(), id) != configuration.drains.end();
}

/// Removes the entries of instances that are gone and adds entries for new ones.
/// An instance missing from the list keeps its entry, because lists lag and flap.
void syncEntries(const FleetView& view, Ledger& next)
{
    std::erase_if(next.entries, [&](const LedgerEntry& entry) {
        const Instance* instance = findInstance(view.instances, entry.instance);
        return instance && instance->state == InstanceState::Gone;
    });
    std::vector<LedgerEntry> added;
    for (const Instance& instance : view.instances) {
        if (instance.state != InstanceState::Gone && !next.find(instance.id))
            added.push_back({ .instance = instance.id, .pool = {}, .maintainedAt = view.now, .grant = std::nullopt });
    }
    if (added.empty())
        return;
    next.entries.insert(next.entries.end(), added.begin(), added.end());
    std::sort(next.entries.begin(), next.entries.end(), [](const LedgerEntry& a, const LedgerEntry& b) { return a.instance < b.instance; });
}

bool hasReturned(const Instance& instance, const Grant& grant) noexcept
{
    // `failing` is ignored: it can't be observed until the instance gets requests again.
    return instance.state == InstanceState::Live && !instance.drained && instance.bootId != grant.bootIdBefore;
}

/// Advances or ends the grant of `entry` according to the observed state of its instance.
void advanceGrant(const FleetView& view, const Instance& instance, LedgerEntry& entry)
{
    Grant& grant = *entry.grant;
    switch (grant.phase) {
    case GrantPhase::Draining:
        if (instance.drained)
            grant.phase = grant.reason == GrantReason::OperatorDrain ? GrantPhase::Held : GrantPhase::Rebooting;
        return;
    case GrantPhase::Rebooting:
        if (!hasReturned(instance, grant))
            return;
        entry.grant.reset();
        entry.maintainedAt = view.now;
        return;
    case GrantPhase::Held:
        if (!isDrainRequested(view.configuration, entry.instance) && isHealthy(instance) && !instance.drained)
            entry.grant.reset();
        return;
    }
}

void advanceGrants(const FleetView& view, Ledger& next)
{
    for (LedgerEntry& entry : next.entries) {
        const Instance* instance = findInstance(view.instances, entry.instance);
        if (entry.grant && instance)
            advanceGrant(view, *instance, entry);
    }
}

/// Records grants in the ledger of one step.
class GrantWriter {
public:
    GrantWriter(const FleetView& view, std::uint64_t epoch, Ledger& next)
        : m_view(view)
        , m_epoch(epoch)
        , m_next(next)
    {
    }

    void addGrant(std::string_view id, GrantReason reason)
    {
        LedgerEntry* entry = m_next.find(id);
        const Instance* instance = findInstance(m_view.instances, id);
        if (!entry || !instance)
            return;
        entry->grant = Grant {
            .id = m_next.nextGrant++,
            .epoch = m_epoch,
            .reason = reason,
            .phase = GrantPhase::Draining,
            .bootIdBefore = instance->bootId,
            .deadline = m_view.now + std::chrono::minutes(m_view.configuration.maintenance.returnMinutes),
        };
    }

private:
    const FleetView& m_view;
    std::uint64_t m_epoch;
    Ledger& m_next;
};

/// Inputs and output of the functions that issue grants.
struct GrantStep {
    const FleetView& view; ///< Its ledger includes the moves of this step, but not its new grants.
    const FleetIndex& index;
    DisruptionGuard& guard;
    GrantWriter& writer;
};

void grantDrains(const GrantStep& step, ControlPlan& plan)
{
    for (const std::string& id : step.view.configuration.drains) {
        const LedgerEntry* entry = step.view.ledger.find(id);
        if (entry && entry->grant && entry->grant->reason == GrantReason::OperatorDrain)
            continue;
        if (const std::optional<DisruptionRefusal> refusal = step.guard.refusalFor(id)) {
            plan.refusedDrains.push_back({ .instance = id, .reason = *refusal });
            continue;
        }
        step.guard.markOutOfService(id);
        step.writer.addGrant(id, GrantReason::OperatorDrain);
    }
}

void grantQuarantine(const GrantStep& step)
{
    const FleetView& view = step.view;
    const auto inQuarantine = [](const LedgerEntry& entry) { return entry.grant && entry.grant->reason == GrantReason::Quarantine; };
    auto quarantined = static_cast<std::size_t>(std::count_if(view.ledger.entries.begin(), view.ledger.entries.end(), inQuarantine));
    const std::size_t maxQuarantined = std::max<std::size_t>(1, view.instances.size() / quarantineDivisor);
    for (const Instance& instance : view.instances) {
        const bool failsLongEnough = instance.unhealthySince && view.now >= *instance.unhealthySince + quarantineAfter;
        if (!instance.failing || instance.state != InstanceState::Live || !failsLongEnough || quarantined >= maxQuarantined)
            continue;
        if (step.guard.refusalFor(instance.id))
            continue;
        step.guard.markOutOfService(instance.id);
        step.writer.addGrant(instance.id, GrantReason::Quarantine);
        ++quarantined;
    }
}

void grantMaintenance(const GrantStep& step, const WavePlanner& waves)
{
    for (const std::string& id : waves.next(step.view, step.index, step.guard))
        step.writer.addGrant(id, GrantReason::Maintenance);
}

/// \returns The action that `instance`, the instance of `entry`, needs now, if any.
std::optional<ActionKind> actionFor(const FleetView& view, const LedgerEntry& entry, const Instance& instance)
{
    if (!entry.grant)
        return instance.drained ? std::optional(ActionKind::Undrain) : std::nullopt;
    const Grant& grant = *entry.grant;
    if (grant.phase == GrantPhase::Draining && !instance.drained)
        return ActionKind::Drain;
    if (grant.phase == GrantPhase::Rebooting && instance.bootId == grant.bootIdBefore)
        return ActionKind::Reboot;
    const bool isDrainWithdrawn = grant.phase == GrantPhase::Held && instance.drained && !isDrainRequested(view.configuration, entry.instance);
    return isDrainWithdrawn ? std::optional(ActionKind::Undrain) : std::nullopt;
}

} // namespace

std::string_view nameOf(ActionKind kind) noexcept
{
    switch (kind) {
    case ActionKind::Drain:
        return "drain";
    case ActionKind::Reboot:
        return "reboot";
    case ActionKind::Undrain:
        return "undrain";
    }
    return "unknown";
}

Controller::Controller(std::unique_ptr<const MembershipPlanner> planner)
    : m_planner(std::move(planner))
{
}

ControlPlan Controller::step(const FleetView& view, std::uint64_t epoch) const
{
    ControlPlan plan { .next = view.ledger };
    if (view.ledger.epoch > epoch) {
        plan.superseded = true;
        return plan;
    }
    Ledger& next = plan.next;
    next.epoch = epoch; // Stored with the first write of this holder, so that writes of a previous holder fail.
    syncEntries(view, next);
    advanceGrants(view, next);

    const FleetView current { .configuration = view.configuration, .ledger = next, .instances = view.instances, .now = view.now };
    const FleetIndex index(view.configuration, view.instances);
    MembershipPlan membership = m_planner->plan(current, index, m_waves.boosts(current, index));
    for (const Move& move : membership.moves)
        next.find(move.instance)->pool = move.to;
    plan.moves = std::move(membership.moves);
    plan.conditions = std::move(membership.conditions);

    // The guard uses the ledger with the moves applied and counts the grants issued below.
    const Ledger ledgerAfterMoves = next;
    const FleetView viewAfterMoves { .configuration = view.configuration, .ledger = ledgerAfterMoves, .instances = view.instances, .now = view.now };
    DisruptionGuard guard(viewAfterMoves, index);
    GrantWriter writer(view, epoch, next);
    const GrantStep grants { .view = viewAfterMoves, .index = index, .guard = guard, .writer = writer };
    grantQuarantine(grants);
    grantDrains(grants, plan);
    grantMaintenance(grants, m_waves);

    plan.changed = next != view.ledger;
    return plan;
}

std::vector<Action> Controller::actionsFor(const FleetView& view, std::uint64_t epoch)
{
    std::vector<Action> actions;
    for (const LedgerEntry& entry : view.ledger.entries) {
        const Instance* instance = findInstance(view.instances, entry.instance);
        const std::optional<ActionKind> kind = instance ? actionFor(view, entry, *instance) : std::nullopt;
        if (kind)
            actions.push_back({ .kind = *kind, .instance = entry.instance, .grant = entry.grant ? entry.grant->id : 0, .epoch = epoch });
    }
    return actions;
}

} // namespace lanemoor
