#include "lower_bounds.h"

#include "lanemoor/decisions/fleet_index.h"

#include <algorithm>
#include <deque>
#include <initializer_list>
#include <optional>
#include <vector>

namespace lanemoor::bench {

namespace {

/// A min-cost flow by successive shortest paths.
class MinCostFlow {
public:
    std::size_t addNode()
    {
        m_edgesOf.emplace_back();
        return m_edgesOf.size() - 1;
    }

    /// \returns The index of the edge.
    std::size_t addEdge(std::size_t from, std::size_t to, std::uint32_t capacity, int cost = 0)
    {
        m_edgesOf[from].push_back(m_edges.size());
        m_edges.push_back({ .to = to, .residual = capacity, .cost = cost });
        m_edgesOf[to].push_back(m_edges.size());
        m_edges.push_back({ .to = from, .residual = 0, .cost = -cost });
        return m_edges.size() - 2;
    }

    /// Sends one unit through `edges` if each has residual capacity. \returns Whether the unit was sent.
    bool push(std::initializer_list<std::size_t> edges)
    {
        if (!std::all_of(edges.begin(), edges.end(), [&](std::size_t edge) { return m_edges[edge].residual > 0; }))
            return false;
        for (const std::size_t edge : edges)
            pushEdge(edge);
        return true;
    }

    /// Sends one more unit along the cheapest path. \returns The path's cost, or nullopt if no path is left.
    std::optional<int> augment(std::size_t source, std::size_t sink)
    {
        std::vector<int> cost(m_edgesOf.size(), unreached);
        std::vector<std::size_t> via(m_edgesOf.size());
        std::vector<bool> queued(m_edgesOf.size());
        std::deque<std::size_t> queue { source };
        cost[source] = 0;
        while (!queue.empty()) {
            const std::size_t node = queue.front();
            queue.pop_front();
            queued[node] = false;
            for (const std::size_t number : m_edgesOf[node]) {
                const Edge& edge = m_edges[number];
                if (edge.residual == 0 || cost[node] + edge.cost >= cost[edge.to])
                    continue;
                cost[edge.to] = cost[node] + edge.cost;
                via[edge.to] = number;
                if (!queued[edge.to])
                    queue.push_back(edge.to);
                queued[edge.to] = true;
            }
        }
        if (cost[sink] == unreached)
            return std::nullopt;
        for (std::size_t node = sink; node != source; node = m_edges[via[node] ^ 1].to)
            pushEdge(via[node]);
        return cost[sink];
    }

private:
    static constexpr int unreached = 1'000'000'000;

    struct Edge {
        std::size_t to = 0;
        std::uint32_t residual = 0;
        int cost = 0;
    };

    void pushEdge(std::size_t edge)
    {
        --m_edges[edge].residual;
        ++m_edges[edge ^ 1].residual;
    }

    std::vector<Edge> m_edges;
    std::vector<std::vector<std::size_t>> m_edgesOf;
};

} // namespace

std::uint32_t bufferBound(const Configuration& configuration, const Instances& instances)
{
    const FleetIndex index(configuration, instances);
    std::uint32_t buffer = 0;
    for (std::size_t pool = 0; pool < configuration.pools.size(); ++pool)
        buffer += index.size(pool).budgetTarget - configuration.pools[pool].budget.minimum;
    return buffer;
}

MovesBound movesBound(const FleetView& view)
{
    const FleetIndex index(view.configuration, view.instances);
    MinCostFlow flow;
    const std::size_t source = flow.addNode();
    const std::size_t sink = flow.addNode();
    std::vector<std::size_t> nodes;
    std::vector<std::size_t> sourceEdges;
    std::vector<bool> strays;
    MovesBound bound;
    forEachEntry(view.ledger, view.instances, [&](const LedgerEntry& entry, const Instance* instance, std::size_t i) {
        if (!instance)
            return;
        const std::optional<std::size_t> currentPool = index.poolNumber(entry.pool);
        const bool isStray = !entry.pool.empty() && !(currentPool && index.matches(*currentPool, i));
        bound.moves += isStray ? 1 : 0;
        nodes.resize(i + 1);
        sourceEdges.resize(i + 1);
        nodes[i] = flow.addNode();
        strays.resize(i + 1);
        strays[i] = isStray;
        sourceEdges[i] = flow.addEdge(source, nodes[i], 1);
    });
    for (std::size_t pool = 0; pool < view.configuration.pools.size(); ++pool) {
        const std::size_t poolNode = flow.addNode();
        const std::size_t poolEdge = flow.addEdge(poolNode, sink, index.size(pool).target);
        bound.unfilled += index.size(pool).target;
        const DomainIndex& domains = index.domains(pool);
        std::vector<std::size_t> domainNodes;
        std::vector<std::size_t> domainEdges;
        for (std::size_t domain = 0; domain < domains.count(); ++domain) {
            domainNodes.push_back(flow.addNode());
            domainEdges.push_back(flow.addEdge(domainNodes.back(), poolNode, index.size(pool).perDomain));
        }
        forEachEntry(view.ledger, view.instances, [&](const LedgerEntry& entry, const Instance* instance, std::size_t i) {
            if (!instance || !index.matches(pool, i))
                return;
            const bool isMember = entry.pool == view.configuration.pools[pool].name;
            const std::size_t edge = flow.addEdge(nodes[i], domainNodes[domains.of(i)], 1, isMember || strays[i] ? 0 : 1);
            // Members that stay are assigned first, at no cost.
            if (isMember)
                bound.unfilled -= flow.push({ sourceEdges[i], edge, domainEdges[domains.of(i)], poolEdge }) ? 1 : 0;
        });
    }
    while (const std::optional<int> cost = flow.augment(source, sink)) {
        --bound.unfilled;
        bound.moves += static_cast<std::uint32_t>(*cost);
    }
    return bound;
}

Millis rollOutBound(const Configuration& configuration, const Instances& instances, Millis timePerInstance)
{
    const FleetIndex index(configuration, instances);
    std::uint32_t needed = 0;
    for (std::size_t pool = 0; pool < configuration.pools.size(); ++pool)
        needed += index.size(pool).budgetTarget;
    const auto all = static_cast<std::uint32_t>(instances.size());
    const std::uint32_t atOnce = std::max<std::uint32_t>(1, all - std::min(all, needed));
    return timePerInstance * ((all + atOnce - 1) / atOnce);
}

} // namespace lanemoor::bench
