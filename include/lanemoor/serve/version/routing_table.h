#pragma once
/// \file
/// Which endpoints serve which pool, for one version of the state.

#include "lanemoor/serve/process/endpoint_registry.h"
#include "lanemoor/state/snapshot.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// An endpoint in service, with what this entry instance may give it.
struct Route {
    std::shared_ptr<Endpoint> endpoint;
    std::string rack;
    std::uint32_t slots = 0; ///< Requests at once from this entry.
    std::uint32_t listeners = 0; ///< Standing answers at once from this entry.
};

/// The endpoints in service of one pool.
struct PoolRoutes {
    std::string pool;
    std::vector<Route> routes;
    std::vector<std::string> members; ///< Ids, in the order of `routes`.
    std::uint32_t slots = 0; ///< Sum over `routes`.
};

/// This entry instance's place among the others.
struct Seat {
    std::uint32_t number = 0;
    std::uint32_t seats = 0; ///< 0: this entry has no seat and gives nobody work.

    [[nodiscard]] bool operator==(const Seat&) const = default;
};

/// \brief The routes of all pools. Immutable; a new one is made for each version.
class RoutingTable {
public:
    RoutingTable() = default;
    RoutingTable(const Snapshot& snapshot, Seat seat, EndpointRegistry& registry);

    /// \returns The routes of `pool`, or null if it is not configured.
    [[nodiscard]] const PoolRoutes* find(std::string_view pool) const noexcept;

private:
    std::vector<PoolRoutes> m_pools; ///< Ordered by name.
};

} // namespace lanemoor
