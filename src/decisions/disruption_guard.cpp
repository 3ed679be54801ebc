#include "lanemoor/decisions/disruption_guard.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace lanemoor {

namespace {

/// Members of one pool that are in service, counted by failure domain.
class ServingMembers {
public:
    ServingMembers(AvailabilityBudget budget, const DomainIndex& domains)
        : m_budget(budget)
        , m_domains(&domains)
        , m_byDomain(domains.count())
    {
    }

    void add(std::size_t instance)
    {
        ++m_byDomain[m_domains->of(instance)];
        ++m_inService;
    }

    void remove(std::size_t instance)
    {
        --m_byDomain[m_domains->of(instance)];
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
        const auto largest = std::max_element(m_byDomain.begin(), m_byDomain.end());
        return largest == m_byDomain.end() ? 0 : *largest;
    }

    AvailabilityBudget m_budget;
    const DomainIndex* m_domains;
    std::vector<std::uint32_t> m_byDomain;
    std::uint32_t m_inService = 0;
};

} // namespace

std::string_view describe(DisruptionRefusal refusal) noexcept
{
    switch (refusal) {
    case DisruptionRefusal::UnknownInstance:
        return "the instance is not known";
    case DisruptionRefusal::AlreadyGranted:
        return "the instance is already out of service under a grant";
    case DisruptionRefusal::BudgetExhausted:
        return "the pool's availability budget has nothing left";
    }
    return "unknown refusal";
}

class DisruptionGuard::Impl {
public:
    Impl(const FleetView& view, const FleetIndex& index)
        : m_instances(view.instances)
        , m_ledger(view.ledger)
        , m_index(index)
        , m_markedOutOfService(view.instances.size())
    {
        for (std::size_t pool = 0; pool < view.configuration.pools.size(); ++pool)
            m_pools.emplace_back(view.configuration.pools[pool].budget, index.domains(pool));
        forEachEntry(m_ledger, m_instances, [&](const LedgerEntry& entry, const Instance* instance, std::size_t number) {
            const std::optional<std::size_t> pool = index.poolNumber(entry.pool);
            if (pool && isInService(entry, instance))
                m_pools[*pool].add(number);
        });
    }

    [[nodiscard]] std::optional<DisruptionRefusal> refusalFor(std::string_view id) const
    {
        const LedgerEntry* entry = m_ledger.find(id);
        const Instance* instance = findInstance(m_instances, id);
        if (!entry || !instance)
            return DisruptionRefusal::UnknownInstance;
        const std::size_t number = numberOf(*instance);
        if (entry->grant || m_markedOutOfService[number])
            return DisruptionRefusal::AlreadyGranted;
        const std::optional<std::size_t> pool = m_index.poolNumber(entry->pool);
        if (!pool || !isInService(*entry, instance))
            return std::nullopt;
        ServingMembers without = m_pools[*pool];
        without.remove(number);
        if (without.availability().slack() < 0)
            return DisruptionRefusal::BudgetExhausted;
        return std::nullopt;
    }

    void markOutOfService(std::string_view id)
    {
        const LedgerEntry* entry = m_ledger.find(id);
        const Instance* instance = findInstance(m_instances, id);
        if (!entry || !instance || m_markedOutOfService[numberOf(*instance)])
            return;
        m_markedOutOfService[numberOf(*instance)] = true;
        const std::optional<std::size_t> pool = m_index.poolNumber(entry->pool);
        if (pool && isInService(*entry, instance))
            m_pools[*pool].remove(numberOf(*instance));
    }

    [[nodiscard]] PoolAvailability availability(std::string_view name) const
    {
        const std::optional<std::size_t> pool = m_index.poolNumber(name);
        return pool ? m_pools[*pool].availability() : PoolAvailability {};
    }

private:
    [[nodiscard]] std::size_t numberOf(const Instance& instance) const
    {
        return static_cast<std::size_t>(&instance - m_instances.data());
    }

    const Instances& m_instances;
    const Ledger& m_ledger;
    const FleetIndex& m_index;
    std::vector<ServingMembers> m_pools;
    std::vector<bool> m_markedOutOfService; ///< By instance.
};

DisruptionGuard::DisruptionGuard(const FleetView& view, const FleetIndex& index)
    : m_impl(std::make_unique<Impl>(view, index))
{
}

DisruptionGuard::~DisruptionGuard() = default;
DisruptionGuard::DisruptionGuard(DisruptionGuard&&) noexcept = default;
DisruptionGuard& DisruptionGuard::operator=(DisruptionGuard&&) noexcept = default;

std::optional<DisruptionRefusal> DisruptionGuard::refusalFor(std::string_view instance) const
{
    return m_impl->refusalFor(instance);
}

void DisruptionGuard::markOutOfService(std::string_view instance)
{
    m_impl->markOutOfService(instance);
}

PoolAvailability DisruptionGuard::availability(std::string_view name) const
{
    return m_impl->availability(name);
}

} // namespace lanemoor
