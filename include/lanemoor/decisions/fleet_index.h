#pragma once
/// \file
/// What decisions look up again and again, worked out once for a step.

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

    /// \returns The number of the domain that instance number `instance` lies in.
    [[nodiscard]] std::size_t of(std::size_t instance) const { return m_of[instance]; }

    [[nodiscard]] std::size_t count() const noexcept { return m_count; }

private:
    std::vector<std::size_t> m_of;
    std::size_t m_count = 0;
};

/// \brief Matches of all selectors, failure domains and the sizes of all pools, for one
/// configuration and one observation, which must outlive the index.
///
/// Selectors are evaluated once for each distinct label set, of which a fleet has few.
/// Pools and instances are told by their number in the configuration and the list.
class FleetIndex {
public:
    FleetIndex(const Configuration& configuration, const Instances& instances);

    /// \returns Whether `pool`'s selector matches `instance`.
    [[nodiscard]] bool matches(std::size_t pool, std::size_t instance) const { return m_matches[pool][m_labelSet[instance]]; }

    /// \returns The failure domains that `pool`'s budget outlives.
    [[nodiscard]] const DomainIndex& domains(std::size_t pool) const;

    /// \returns Size of `pool`.
    [[nodiscard]] const PoolSize& size(std::size_t pool) const { return m_sizes[pool]; }

    /// \returns Size of `pool` with which its budget can miss `instances` more.
    [[nodiscard]] PoolSize sizeMissing(std::size_t pool, std::uint32_t instances) const;

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

/// \brief Goes through the ledger's lines together with the list, both ordered by id.
/// \param visit Called with the line, the instance (null: not listed) and its number.
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
