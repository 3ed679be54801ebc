#include "lanemoor/decisions/fleet_index.h"

#include <algorithm>
#include <unordered_map>

namespace lanemoor {

namespace {

/// Numbers the distinct label sets of a fleet in order of first occurrence.
class DistinctLabels {
public:
    std::size_t numberOf(const LabelSet& labels)
    {
        const auto known = std::find_if(m_sets.begin(), m_sets.end(), [&](const LabelSet* set) { return *set == labels; });
        if (known != m_sets.end())
            return static_cast<std::size_t>(known - m_sets.begin());
        m_sets.push_back(&labels);
        return m_sets.size() - 1;
    }

    [[nodiscard]] const std::vector<const LabelSet*>& all() const noexcept { return m_sets; }

private:
    std::vector<const LabelSet*> m_sets;
};

} // namespace

DomainIndex::DomainIndex(const Instances& instances, FailureDomain kind)
{
    std::unordered_map<std::string_view, std::size_t> numbers;
    m_domainNumbers.reserve(instances.size());
    for (const Instance& instance : instances)
        m_domainNumbers.push_back(numbers.emplace(domainOf(instance, kind), numbers.size()).first->second);
    m_count = numbers.size();
}

FleetIndex::FleetIndex(const Configuration& configuration, const Instances& instances)
    : m_configuration(configuration)
    , m_instanceDomains(instances, FailureDomain::Instance)
    , m_racks(instances, FailureDomain::Rack)
    , m_dataHalls(instances, FailureDomain::DataHall)
{
    DistinctLabels distinct;
    m_labelSet.reserve(instances.size());
    for (const Instance& instance : instances)
        m_labelSet.push_back(distinct.numberOf(instance.labels));
    for (const Pool& pool : configuration.pools) {
        std::vector<bool>& row = m_matches.emplace_back();
        for (const LabelSet* labels : distinct.all())
            row.push_back(pool.selector.matches(*labels));
    }
    for (std::size_t pool = 0; pool < configuration.pools.size(); ++pool) {
        m_matching.push_back(matchingByDomain(pool, instances));
        m_sizes.push_back(sizeOf(configuration.pools[pool], m_matching.back()));
    }
}

std::vector<std::uint32_t> FleetIndex::matchingByDomain(std::size_t pool, const Instances& instances) const
{
    const DomainIndex& index = domains(pool);
    std::vector<std::uint32_t> counts(index.count());
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (instances[i].state == InstanceState::Live && matches(pool, i))
            ++counts[index.of(i)];
    }
    return counts;
}

const DomainIndex& FleetIndex::domains(std::size_t pool) const
{
    switch (m_configuration.pools[pool].budget.survives) {
    case FailureDomain::Rack:
        return m_racks;
    case FailureDomain::DataHall:
        return m_dataHalls;
    case FailureDomain::Instance:
    case FailureDomain::None:
        break;
    }
    return m_instanceDomains;
}

PoolSize FleetIndex::sizeWithMissing(std::size_t pool, std::uint32_t instances) const
{
    Pool larger = m_configuration.pools[pool];
    larger.budget.minimum += instances;
    return sizeOf(larger, m_matching[pool]);
}

std::optional<std::size_t> FleetIndex::poolNumber(std::string_view name) const noexcept
{
    const Pool* pool = m_configuration.findPool(name);
    if (!pool)
        return std::nullopt;
    return static_cast<std::size_t>(pool - m_configuration.pools.data());
}

} // namespace lanemoor
