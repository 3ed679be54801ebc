#include "lanemoor/decisions/invariants.h"

#include "lanemoor/decisions/disruption_guard.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace lanemoor {

namespace {

/// Members of one pool that are out of service.
struct OutOfServiceMembers {
    std::uint32_t granted = 0;
    std::set<std::string_view> failedDomains;
};

/// \returns Whether a member that is out of service has failed, with or without a grant.
bool isFailed(const LedgerEntry& entry, const Instance& instance, Instant now) noexcept
{
    if (!entry.grant)
        return !isHealthy(instance);
    const bool isOverdue = entry.grant->reason == GrantReason::Maintenance && now >= entry.grant->deadline;
    // A reboot is the only planned reason for an instance to leave the list.
    const bool isUnplanned = instance.state != InstanceState::Live && entry.grant->phase != GrantPhase::Rebooting;
    return isOverdue || isUnplanned || instance.failing || entry.grant->reason == GrantReason::Quarantine;
}

std::unordered_map<std::string_view, OutOfServiceMembers> outOfServiceMembers(const FleetView& view)
{
    std::unordered_map<std::string_view, OutOfServiceMembers> out;
    forEachEntry(view.ledger, view.instances, [&](const LedgerEntry& entry, const Instance* instance, std::size_t) {
        const Pool* pool = view.configuration.findPool(entry.pool);
        if (!pool || isInService(entry, instance))
            return;
        OutOfServiceMembers& members = out[entry.pool];
        if (instance && isFailed(entry, *instance, view.now))
            members.failedDomains.insert(domainOf(*instance, pool->budget.survives));
        else if (entry.grant)
            ++members.granted;
    });
    return out;
}

} // namespace

std::string_view describe(InvariantCode code) noexcept
{
    switch (code) {
    case InvariantCode::BudgetBrokenByGrant:
        return "a grant took what the availability budget needs";
    case InvariantCode::BudgetBrokenByFailure:
        return "the loss of one failure domain broke the availability budget";
    case InvariantCode::GrantMissing:
        return "an instance was acted on without a standing grant";
    }
    return "unknown invariant";
}

std::vector<PoolStatus> poolStatuses(const FleetView& view)
{
    const std::unordered_map<std::string_view, OutOfServiceMembers> out = outOfServiceMembers(view);
    const FleetIndex index(view.configuration, view.instances);
    const DisruptionGuard guard(view, index);
    std::vector<PoolStatus> result;
    result.reserve(view.configuration.pools.size());
    for (const Pool& pool : view.configuration.pools) {
        const PoolAvailability availability = guard.availability(pool.name);
        PoolStatus status { .pool = pool.name, .minimum = pool.budget.minimum, .inService = availability.inService, .slack = availability.slack() };
        const auto members = out.find(pool.name);
        if (members != out.end()) {
            status.granted = members->second.granted;
            status.failedDomains.insert(members->second.failedDomains.begin(), members->second.failedDomains.end());
        }
        result.push_back(std::move(status));
    }
    return result;
}

BudgetInvariant::History& BudgetInvariant::historyOf(const Pool& pool)
{
    const auto known = std::find_if(m_histories.begin(), m_histories.end(), [&](const History& history) { return history.pool == pool.name; });
    History& history = known != m_histories.end() ? *known : m_histories.emplace_back(History { .pool = pool.name });
    if (history.budget != pool.budget) {
        history.budget = pool.budget;
        history.wasWithinBudget = false;
        history.failedSince.clear();
    }
    return history;
}

std::vector<InvariantBreach> BudgetInvariant::check(const FleetView& view)
{
    return check(view.configuration, poolStatuses(view));
}

std::vector<InvariantBreach> BudgetInvariant::check(const Configuration& configuration, const std::vector<PoolStatus>& now)
{
    std::vector<InvariantBreach> breaches;
    for (std::size_t i = 0; i < now.size(); ++i) {
        const PoolStatus& status = now[i];
        History& history = historyOf(configuration.pools[i]);
        if (status.slack >= 0) {
            history.wasWithinBudget = true;
            history.failedSince.clear();
        }
        history.failedSince.insert(status.failedDomains.begin(), status.failedDomains.end());
        if (history.failedSince.size() > 1)
            history.wasWithinBudget = false; // The budget covers the failure of one domain only.
        if (status.inService >= status.minimum || !history.wasWithinBudget)
            continue;
        const InvariantCode code = status.granted > 0 ? InvariantCode::BudgetBrokenByGrant : InvariantCode::BudgetBrokenByFailure;
        breaches.push_back({ .code = code, .subject = status.pool });
    }
    return breaches;
}

} // namespace lanemoor
