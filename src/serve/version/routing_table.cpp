#include "lanemoor/serve/version/routing_table.h"

#include "lanemoor/decisions/endpoint_choice.h"

#include <algorithm>

namespace lanemoor {

namespace {

Route routeTo(const Instance& instance, EntryShard shard, EndpointRegistry& registry)
{
    const std::uint32_t slots = shareOfShard(instance.id, instance.slots, shard.number, shard.shardCount);
    const std::uint32_t connections = shareOfShard(instance.id, instance.connections, shard.number, shard.shardCount);
    return {
        .endpoint = registry.at(instance.id, { instance.address, instance.port }),
        .rack = instance.rack,
        .slots = std::min(slots, connections),
        .listeners = connections - std::min(slots, connections),
    };
}

} // namespace

RoutingTable::RoutingTable(const Snapshot& snapshot, EntryShard shard, EndpointRegistry& registry)
{
    for (const Pool& pool : snapshot.configuration->pools)
        m_pools.push_back({ .pool = pool.name });
    for (const LedgerEntry& entry : snapshot.ledger->entries) {
        const Instance* instance = findInstance(*snapshot.instances, entry.instance);
        const auto* pool = find(entry.pool);
        // Failing instances stay in the table; ejection excludes them per request, within a limit.
        if (!pool || !instance || instance->state != InstanceState::Live || instance->drained || entry.grant)
            continue;
        PoolRoutes& routes = m_pools[static_cast<std::size_t>(pool - m_pools.data())];
        routes.routes.push_back(routeTo(*instance, shard, registry));
        routes.members.push_back(instance->id);
        routes.slots += routes.routes.back().slots;
    }
}

const PoolRoutes* RoutingTable::find(std::string_view pool) const noexcept
{
    const auto before = [](const PoolRoutes& routes, std::string_view wanted) { return routes.pool < wanted; };
    const auto found = std::lower_bound(m_pools.begin(), m_pools.end(), pool, before);
    if (found == m_pools.end() || found->pool != pool)
        return nullptr;
    return &*found;
}

} // namespace lanemoor
