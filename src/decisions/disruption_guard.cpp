#include "lanemoor/decisions/disruption_guard.h"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace lanemoor {

namespace {

/// Members of one pool that are in service, counted by failure domain.
class ServingMembers {
public:
    explicit ServingMembers(AvailabilityBudget budget)
        : m_budget(budget)
    {
    }

    void add(const Instance& instance)
    {
        ++m_byDomain[std::string(domainOf(instance, m_budget.survives))];
        ++m_inService;
    }

    void remove(const Instance& instance)
    {
        --m_byDomain[std::string(domainOf(instance, m_budget.survives))];
        --m_inService;
    }

    [[nodiscard]] PoolAvailability availability() const
    {
        return { .inService = m_inService, .largestDomain = largestDomain(), .minimum = m_budget.minimum };
    }

private:
    [[nodiscard]] std::uint32_t largestDomain() const
    {
        if (m_budget.survives == FailureDomain::None)
            return 0;
        std::uint32_t largest = 0;
        for (const auto& [domain, count] : m_byDomain)
            largest = std::max(largest, count);
        return largest;
    }

    AvailabilityBudget m_budget;
    std::unordered_map<std::string, std::uint32_t> m_byDomain;
    std::uint32_t m_inService = 0;
};

} // namespace

std::string_view describe(DisruptionRefusal refusal) noexcept
{
    switch (refusal) {
    case DisruptionRefusal::UnknownInstance:
        return "the instance is not known";
    case DisruptionRefusal::GrantStands:
        return "the instance is already out of service under a grant";
    case DisruptionRefusal::BudgetSpent:
        return "the pool's availability budget has nothing left";
    }
    return "unknown refusal";
}

class DisruptionGuard::Impl {
public:
    explicit Impl(const FleetView& view)
        : m_instances(view.instances)
        , m_ledger(view.ledger)
    {
        for (const Pool& pool : view.configuration.pools)
            m_pools.emplace(pool.name, ServingMembers(pool.budget));
        for (const LedgerEntry& entry : view.ledger.entries) {
            const Instance* instance = findInstance(m_instances, entry.instance);
            const auto pool = m_pools.find(entry.pool);
            if (pool != m_pools.end() && isInService(entry, instance))
                pool->second.add(*instance);
        }
    }

    [[nodiscard]] std::optional<DisruptionRefusal> refusalFor(std::string_view id) const
    {
        const LedgerEntry* entry = m_ledger.find(id);
        const Instance* instance = findInstance(m_instances, id);
        if (!entry || !instance)
            return DisruptionRefusal::UnknownInstance;
        if (entry->grant || isTaken(id))
            return DisruptionRefusal::GrantStands;
        const auto pool = m_pools.find(entry->pool);
        if (pool == m_pools.end() || !isInService(*entry, instance))
            return std::nullopt;
        ServingMembers without = pool->second;
        without.remove(*instance);
        if (without.availability().slack() < 0)
            return DisruptionRefusal::BudgetSpent;
        return std::nullopt;
    }

    void take(std::string_view id)
    {
        const LedgerEntry* entry = m_ledger.find(id);
        const Instance* instance = findInstance(m_instances, id);
        if (!entry || isTaken(id))
            return;
        m_taken.emplace_back(id);
        const auto pool = m_pools.find(entry->pool);
        if (pool != m_pools.end() && isInService(*entry, instance))
            pool->second.remove(*instance);
    }

    [[nodiscard]] PoolAvailability availability(std::string_view name) const
    {
        const auto pool = m_pools.find(std::string(name));
        return pool == m_pools.end() ? PoolAvailability {} : pool->second.availability();
    }

private:
    [[nodiscard]] bool isTaken(std::string_view id) const
    {
        return std::find(m_taken.begin(), m_taken.end(), id) != m_taken.end();
    }

    const Instances& m_instances;
    const Ledger& m_ledger;
    std::unordered_map<std::string, ServingMembers> m_pools;
    std::vector<std::string> m_taken;
};

DisruptionGuard::DisruptionGuard(const FleetView& view)
    : m_impl(std::make_unique<Impl>(view))
{
}

DisruptionGuard::~DisruptionGuard() = default;
DisruptionGuard::DisruptionGuard(DisruptionGuard&&) noexcept = default;
DisruptionGuard& DisruptionGuard::operator=(DisruptionGuard&&) noexcept = default;

std::optional<DisruptionRefusal> DisruptionGuard::refusalFor(std::string_view instance) const
{
    return m_impl->refusalFor(instance);
}

void DisruptionGuard::take(std::string_view instance)
{
    m_impl->take(instance);
}

PoolAvailability DisruptionGuard::availability(std::string_view name) const
{
    return m_impl->availability(name);
}

} // namespace lanemoor
