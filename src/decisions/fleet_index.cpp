#include "lanemoor/decisions/fleet_index.h"

#include <algorithm>

namespace lanemoor {

namespace {

/// The distinct label sets of a fleet, in order of first sight.
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

FleetIndex::FleetIndex(const Configuration& configuration, const Instances& instances)
    : m_configuration(configuration)
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
        const auto matching = [&](std::size_t instance) { return matches(pool, instance); };
        m_domains.push_back(matchingByDomain(instances, configuration.pools[pool].budget.survives, matching));
        m_sizes.push_back(sizeOf(configuration.pools[pool], m_domains.back()));
    }
}

PoolSize FleetIndex::sizeMissing(std::size_t pool, std::uint32_t instances) const
{
    Pool larger = m_configuration.pools[pool];
    larger.budget.minimum += instances;
    return sizeOf(larger, m_domains[pool]);
}

} // namespace lanemoor
