#pragma once
/// \file
/// Which instances match which pool, worked out once for a step.

#include "lanemoor/decisions/configuration.h"
#include "lanemoor/decisions/instance.h"
#include "lanemoor/decisions/pool_sizing.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lanemoor {

/// \brief Matches of all selectors and the sizes of all pools for one observation.
///
/// Selectors are evaluated once for each distinct label set, of which a fleet has few.
/// Pools and instances are told by their index in the configuration and the list, which
/// must outlive the index.
class FleetIndex {
public:
    FleetIndex(const Configuration& configuration, const Instances& instances);

    /// \returns Whether `pool`'s selector matches `instance`.
    [[nodiscard]] bool matches(std::size_t pool, std::size_t instance) const { return m_matches[pool][m_labelSet[instance]]; }

    /// \returns Size of `pool`.
    [[nodiscard]] const PoolSize& size(std::size_t pool) const { return m_sizes[pool]; }

    /// \returns Size of `pool` with which its budget can miss `instances` more.
    [[nodiscard]] PoolSize sizeMissing(std::size_t pool, std::uint32_t instances) const;

private:
    std::vector<std::size_t> m_labelSet; ///< By instance.
    std::vector<std::vector<bool>> m_matches; ///< By pool and label set.
    std::vector<std::vector<std::uint32_t>> m_domains; ///< By pool: matching instances of each failure domain.
    std::vector<PoolSize> m_sizes; ///< By pool.
    const Configuration& m_configuration;
};

} // namespace lanemoor
