#include "lanemoor/serve/process/reports.h"

#include "lanemoor/decisions/controller.h"
#include "lanemoor/decisions/invariants.h"
#include "lanemoor/state/time_text.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace lanemoor {

namespace {

using Json = nlohmann::ordered_json;

constexpr int indent = 2;

std::string_view nameOf(InstanceState state) noexcept
{
    switch (state) {
    case InstanceState::Live:
        return "live";
    case InstanceState::Leaving:
        return "leaving";
    case InstanceState::Gone:
        return "gone";
    }
    return "unknown";
}

std::string_view nameOf(GrantReason reason) noexcept
{
    switch (reason) {
    case GrantReason::Maintenance:
        return "maintenance";
    case GrantReason::OperatorDrain:
        return "operator drain";
    case GrantReason::Quarantine:
        return "quarantine";
    }
    return "unknown";
}

std::string_view nameOf(GrantPhase phase) noexcept
{
    switch (phase) {
    case GrantPhase::Draining:
        return "draining";
    case GrantPhase::Rebooting:
        return "rebooting";
    case GrantPhase::Held:
        return "held";
    }
    return "unknown";
}

Json grantToJson(const Grant& grant, Instant now)
{
    return {
        { "id", grant.id },
        { "epoch", grant.epoch },
        { "reason", nameOf(grant.reason) },
        { "phase", nameOf(grant.phase) },
        { "deadline", formatInstant(grant.deadline) },
        { "late", now >= grant.deadline },
    };
}

Json entryToJson(const FleetView& view, const LedgerEntry& entry)
{
    const Instance* instance = findInstance(view.instances, entry.instance);
    Json json {
        { "id", entry.instance },
        { "pool", entry.pool },
        { "state", instance ? nameOf(instance->state) : "not listed" },
        { "inService", isInService(entry, instance) },
        { "maintainedAt", formatInstant(entry.maintainedAt) },
    };
    if (instance) {
        json["dataHall"] = instance->dataHall;
        json["rack"] = instance->rack;
        json["failing"] = instance->failing;
        json["drained"] = instance->drained;
    }
    if (entry.grant)
        json["grant"] = grantToJson(*entry.grant, view.now);
    return json;
}

/// \returns The decision that the control role would make now, with pool conditions.
ControlPlan planNow(const FleetView& view)
{
    const Controller controller(std::make_unique<StickyMembershipPlanner>());
    return controller.step(view, view.ledger.epoch);
}

std::map<std::string_view, std::uint32_t> membersByPool(const FleetView& view)
{
    std::map<std::string_view, std::uint32_t> members;
    for (const LedgerEntry& entry : view.ledger.entries)
        ++members[entry.pool];
    return members;
}

} // namespace

std::string reportPools(const FleetView& view)
{
    const FleetIndex index(view.configuration, view.instances);
    const std::vector<PoolStatus> all = poolStatuses(view);
    const ControlPlan plan = planNow(view);
    std::map<std::string_view, std::uint32_t> members = membersByPool(view);
    Json json { { "pools", Json::array() }, { "spare", members[{}] } };
    for (std::size_t pool = 0; pool < all.size(); ++pool) {
        const PoolStatus& poolStatus = all[pool];
        Json one {
            { "name", poolStatus.pool },
            { "members", members[poolStatus.pool] },
            { "target", index.size(pool).target },
            { "inService", poolStatus.inService },
            { "minimum", poolStatus.minimum },
            { "slack", poolStatus.slack },
            { "granted", poolStatus.granted },
            { "conditions", Json::array() },
        };
        for (const PoolCondition& condition : plan.conditions) {
            if (condition.pool == poolStatus.pool)
                one["conditions"].push_back({ { "text", describe(condition.code) }, { "instances", condition.instances } });
        }
        json["pools"].push_back(std::move(one));
    }
    return json.dump(indent);
}

std::string reportInstances(const FleetView& view)
{
    Json json { { "instances", Json::array() } };
    for (const LedgerEntry& entry : view.ledger.entries)
        json["instances"].push_back(entryToJson(view, entry));
    return json.dump(indent);
}

std::string reportWaves(const FleetView& view)
{
    const WaveProgress progress = waveProgress(view);
    const Maintenance& maintenance = view.configuration.maintenance;
    const Json json {
        { "due", progress.due },
        { "underWay", progress.underWay },
        { "absent", progress.absent },
        { "lost", progress.lost },
        { "overdue", progress.overdue },
        { "periodDays", maintenance.periodDays },
        { "waveRequestedAt", formatInstant(maintenance.waveRequestedAt) },
    };
    return json.dump(indent);
}

std::string reportStatus(const SharedState& state)
{
    const std::shared_ptr<const Snapshot> snapshot = state.snapshot();
    const EntryShard shard = state.shard();
    Json json {
        { "entry", state.settings().name },
        { "dataHall", state.settings().dataHall },
        { "readiness", describe(state.readiness()) },
        { "seat", shard.shardCount > 0 ? Json(shard.number) : Json() },
        { "configurationRevision", snapshot->configuration->revision },
        { "ledgerVersion", snapshot->ledger->version },
        { "storeReachedAt", formatInstant(state.storeReachedAt()) },
        { "listReadAt", formatInstant(state.listReadAt()) },
        { "peers", Json::array() },
    };
    for (const PeerStatus& peer : state.peers()) {
        json["peers"].push_back({
            { "name", peer.name },
            { "address", peer.address },
            { "configurationRevision", peer.configurationRevision },
            { "ledgerVersion", peer.ledgerVersion },
            { "heardAt", peer.name.empty() ? Json() : Json(formatInstant(peer.lastReportAt)) },
        });
    }
    return json.dump(indent);
}

std::optional<std::string> reportInstance(const FleetView& view, std::string_view instance)
{
    const LedgerEntry* entry = view.ledger.find(instance);
    if (!entry)
        return std::nullopt;
    Json json = entryToJson(view, *entry);
    const Instance* listed = findInstance(view.instances, instance);
    json["matchingPools"] = Json::array();
    for (const Pool& pool : view.configuration.pools) {
        if (listed && pool.selector.matches(listed->labels))
            json["matchingPools"].push_back({ { "name", pool.name }, { "selector", pool.selector.text() }, { "priority", pool.priority } });
    }
    const FleetIndex index(view.configuration, view.instances);
    const DisruptionGuard guard(view, index);
    const std::optional<DisruptionRefusal> refusal = guard.refusalFor(instance);
    json["mayBeTaken"] = !refusal;
    if (refusal)
        json["whyNot"] = describe(*refusal);
    json["due"] = isDue(*entry, view.configuration.maintenance, view.now);
    return json.dump(indent);
}

} // namespace lanemoor
