#include "lanemoor/decisions/invariants.h"

#include "lanemoor/decisions/disruption_guard.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace lanemoor {

namespace {

/// Members of one pool that are out of service.
struct OutMembers {
    std::uint32_t granted = 0;
    std::set<std::string_view> failedDomains;
};

std::unordered_map<std::string_view, OutMembers> outMembers(const FleetView& view)
{
    std::unordered_map<std::string_view, OutMembers> out;
    for (const LedgerEntry& entry : view.ledger.entries) {
        const Pool* pool = view.configuration.findPool(entry.pool);
        const Instance* instance = findInstance(view.instances, entry.instance);
        if (!pool || isInService(entry, instance))
            continue;
        OutMembers& members = out[entry.pool];
        if (entry.grant)
            ++members.granted;
        else if (instance)
            members.failedDomains.insert(domainOf(*instance, pool->budget.survives));
    }
    return out;
}

} // namespace

std::string_view describe(InvariantCode code) noexcept
{
    switch (code) {
    case InvariantCode::BudgetBrokenByGrant:
        return "a grant took what the availability budget needs";
    case InvariantCode::BudgetBrokenByLoss:
        return "the loss of one failure domain broke the availability budget";
    case InvariantCode::GrantMissing:
        return "an instance was acted on without a standing grant";
    case InvariantCode::RevisionWentBack:
        return "an older configuration came into force";
    case InvariantCode::SlotsExceeded:
        return "an instance was given more requests at once than it has slots";
    }
    return "unknown invariant";
}

std::vector<PoolStanding> standings(const FleetView& view)
{
    const std::unordered_map<std::string_view, OutMembers> out = outMembers(view);
    const DisruptionGuard guard(view);
    std::vector<PoolStanding> result;
    result.reserve(view.configuration.pools.size());
    for (const Pool& pool : view.configuration.pools) {
        const PoolAvailability availability = guard.availability(pool.name);
        PoolStanding standing { .pool = pool.name, .minimum = pool.budget.minimum, .inService = availability.inService, .slack = availability.slack() };
        const auto members = out.find(pool.name);
        if (members != out.end()) {
            standing.granted = members->second.granted;
            standing.failedDomains = static_cast<std::uint32_t>(members->second.failedDomains.size());
        }
        result.push_back(std::move(standing));
    }
    return result;
}

BudgetInvariant::History& BudgetInvariant::historyOf(const Pool& pool)
{
    const auto known = std::find_if(m_histories.begin(), m_histories.end(), [&](const History& history) { return history.pool == pool.name; });
    History& history = known != m_histories.end() ? *known : m_histories.emplace_back(History { .pool = pool.name });
    if (history.budget != pool.budget) {
        history.budget = pool.budget;
        history.stoodWell = false;
    }
    return history;
}

std::vector<InvariantBreach> BudgetInvariant::check(const FleetView& view)
{
    std::vector<InvariantBreach> breaches;
    const std::vector<PoolStanding> all = standings(view);
    for (std::size_t i = 0; i < all.size(); ++i) {
        const PoolStanding& standing = all[i];
        History& history = historyOf(view.configuration.pools[i]);
        if (standing.slack >= 0)
            history.stoodWell = true;
        if (standing.failedDomains > 1)
            history.stoodWell = false; // More failed than the budget names.
        if (standing.inService >= standing.minimum || !history.stoodWell)
            continue;
        const InvariantCode code = standing.granted > 0 ? InvariantCode::BudgetBrokenByGrant : InvariantCode::BudgetBrokenByLoss;
        breaches.push_back({ .code = code, .subject = standing.pool });
    }
    return breaches;
}

} // namespace lanemoor
