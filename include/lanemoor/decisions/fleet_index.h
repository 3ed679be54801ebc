#pragma once
/// \file
/// Lookup tables that are computed once per control step.

#include "lanemoor/decisions/configuration.h"
#include "lanemoor/decisions/instance.h"
#include "lanemoor/decisions/ledger.h"
#include "lanemoor/decisions/pool_sizing.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace lanemoor {

/// \brief Numbers the failure domains of one kind.
class DomainIndex {
public:
    DomainIndex(const Instances& instances, FailureDomain kind);

    /// \returns The domain number of instance number `instance`.
    [[nodiscard]] std::size_t of(std::size_t instance) const { return m_domainNumbers[instance]; }

    [[nodiscard]] std::size_t count() const noexcept { return m_count; }

private:
    std::vector<std::size_t> m_domainNumbers;
    std::size_t m_count = 0;
};

/// \brief Selector matches, failure domains and pool sizes for one configuration and one
/// list of instances, which must both outlive the index.
///
/// Selectors are evaluated once per distinct label set, because a fleet has few of them.
/// Pools and instances are identified by their position in the configuration and the list.
class FleetIndex {
public:
    FleetIndex(const Configuration& configuration, const Instances& instances);

    /// \returns Whether `pool`'s selector matches `instance`.
    [[nodiscard]] bool matches(std::size_t pool, std::size_t instance) const { return m_matches[pool][m_labelSet[instance]]; }

    /// \returns The failure domains of the kind that `pool`'s budget survives.
    [[nodiscard]] const DomainIndex& domains(std::size_t pool) const;

    /// \returns The size that `pool` needs.
    [[nodiscard]] const PoolSize& size(std::size_t pool) const { return m_sizes[pool]; }

    /// \returns The size that `pool` needs to meet its budget with `instances` more out of service.
    [[nodiscard]] PoolSize sizeWithMissing(std::size_t pool, std::uint32_t instances) const;

    /// \returns The number of the pool called `name`, or nothing.
    [[nodiscard]] std::optional<std::size_t> poolNumber(std::string_view name) const noexcept;

private:
    [[nodiscard]] std::vector<std::uint32_t> matchingByDomain(std::size_t pool, const Instances& instances) const;

    const Configuration& m_configuration;
    DomainIndex m_instanceDomains;
    DomainIndex m_racks;
    DomainIndex m_dataHalls;
    std::vector<std::size_t> m_labelSet; ///< By instance.
    std::vector<std::vector<bool>> m_matches; ///< By pool and label set.
    std::vector<std::vector<std::uint32_t>> m_matching; ///< By pool and failure domain: live matching instances.
    std::vector<PoolSize> m_sizes; ///< By pool.
};

/// \brief Visits the ledger's entries together with the listed instances, both ordered by id.
/// \param visit Called with the entry, the instance (null if not listed) and its position in
/// `instances`, which is valid only if the instance is listed.
template <typename Visit>
void forEachEntry(const Ledger& ledger, const Instances& instances, Visit&& visit)
{
    std::size_t at = 0;
    for (const LedgerEntry& entry : ledger.entries) {
        while (at < instances.size() && instances[at].id < entry.instance)
            ++at;
        const bool listed = at < instances.size() && instances[at].id == entry.instance;
        visit(entry, listed ? &instances[at] : nullptr, at);
    }
}

} // namespace lanemoor
