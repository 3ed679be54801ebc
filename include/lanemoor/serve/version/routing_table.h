#pragma once
/// \file
/// Endpoints of each pool, for one version of the state.

#include "lanemoor/serve/process/endpoint_registry.h"
#include "lanemoor/state/snapshot.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// An endpoint in service with its capacity for this entry instance.
struct Route {
    std::shared_ptr<Endpoint> endpoint;
    std::string rack;
    std::uint32_t slots = 0; ///< Max concurrent requests from this entry instance.
    std::uint32_t listeners = 0; ///< Max concurrent listeners from this entry instance.
};

/// The endpoints in service of one pool.
struct PoolRoutes {
    std::string pool;
    std::vector<Route> routes;
    std::vector<std::string> members; ///< Instance ids in the order of `routes`.
    std::uint32_t slots = 0; ///< Sum over `routes`.
};

/// The shard of this entry instance. Shards divide slots and quotas equally among entry instances.
struct EntryShard {
    std::uint32_t number = 0;
    std::uint32_t shardCount = 0; ///< Total number of shards; 0 if this entry instance holds none and sends no requests.

    [[nodiscard]] bool operator==(const EntryShard&) const = default;
};

/// \brief The routes of all pools. Immutable; each version of the state has its own table.
class RoutingTable {
public:
    RoutingTable() = default;
    RoutingTable(const Snapshot& snapshot, EntryShard shard, EndpointRegistry& registry);

    /// \returns The routes of `pool`, or null if it is not configured.
    [[nodiscard]] const PoolRoutes* find(std::string_view pool) const noexcept;

private:
    std::vector<PoolRoutes> m_pools; ///< Ordered by name.
};

} // namespace lanemoor
