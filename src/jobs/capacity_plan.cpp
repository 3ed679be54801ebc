#include "lanemoor/jobs/capacity_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace lanemoor::jobs {

namespace {

/// A pool while moves are being chosen.
struct Balance {
    const PoolLoad* load = nullptr;
    std::uint32_t target = 0; ///< For the demand now.
    std::uint32_t keeps = 0; ///< For the demand of late.
    std::uint32_t instances = 0;
    std::vector<IdleInstance> idle; ///< Longest idle last.

    [[nodiscard]] bool isShort() const { return !load->reserve && instances < target; }
    [[nodiscard]] bool canGive() const { return !idle.empty() && (load->reserve || instances > target); }
};

/// \returns How short a pool is, relative to what it should have.
double shortage(const Balance& pool)
{
    return static_cast<double>(pool.target - pool.instances) / static_cast<double>(pool.target);
}

} // namespace

CapacityPlan::CapacityPlan(CapacityOptions options)
    : m_options(options)
{
}

void CapacityPlan::noteRefused(const std::string& kind, const std::string& pool)
{
    m_refusedKinds[pool].push_back(kind);
}

bool CapacityPlan::takes(const std::string& pool, const std::string& kind) const
{
    const auto refused = m_refusedKinds.find(pool);
    return refused == m_refusedKinds.end() || std::find(refused->second.begin(), refused->second.end(), kind) == refused->second.end();
}

void CapacityPlan::note(const PoolLoad& pool, MonotonicInstant now)
{
    std::deque<Sample>& samples = m_samples[pool.pool];
    while (!samples.empty() && now - samples.front().at > m_options.demandMemory)
        samples.pop_front();
    // Only samples above all later ones can ever be the highest.
    while (!samples.empty() && samples.back().milliCpu <= pool.demandMilliCpu)
        samples.pop_back();
    samples.push_back({ now, pool.demandMilliCpu });
}

std::uint32_t CapacityPlan::instancesFor(std::int64_t milliCpu, const PoolLoad& pool) const
{
    if (pool.reserve || pool.instanceMilliCpu <= 0)
        return 0;
    const double wanted = static_cast<double>(milliCpu) * m_options.margin / (static_cast<double>(pool.instanceMilliCpu) * m_options.packing);
    // One more than what must be spread, so that one can fail or be maintained.
    const std::uint32_t spread = pool.leastInstances > 0 ? pool.leastInstances + 1 : 0;
    return std::max({ static_cast<std::uint32_t>(std::ceil(wanted)), m_options.leastInstances, spread }) + pool.unsound;
}

std::uint32_t CapacityPlan::target(const PoolLoad& pool) const
{
    return instancesFor(pool.demandMilliCpu, pool);
}

std::uint32_t CapacityPlan::keeps(const PoolLoad& pool, MonotonicInstant now) const
{
    std::int64_t highest = pool.demandMilliCpu;
    if (const auto found = m_samples.find(pool.pool); found != m_samples.end()) {
        for (const Sample& sample : found->second) {
            if (now - sample.at <= m_options.demandMemory)
                highest = std::max(highest, sample.milliCpu);
        }
    }
    return instancesFor(highest, pool);
}

bool CapacityPlan::mayPowerOff(MonotonicInstant now) const
{
    if (m_firstArrival)
        return now - *m_firstArrival >= m_options.observation;
    return now - *m_firstSeen >= m_options.mostIdleStart;
}

std::vector<CapacityMove> CapacityPlan::next(const std::vector<PoolLoad>& pools, MonotonicInstant now)
{
    if (!m_firstSeen)
        m_firstSeen = now;
    const auto hasArrivals = [](const PoolLoad& pool) { return pool.hasArrivals; };
    if (!m_firstArrival && std::any_of(pools.begin(), pools.end(), hasArrivals))
        m_firstArrival = now;
    std::vector<Balance> balances;
    std::optional<std::string> reserve;
    for (const PoolLoad& pool : pools) {
        note(pool, now);
        Balance balance { .load = &pool, .target = target(pool), .keeps = keeps(pool, now), .instances = pool.instances, .idle = pool.idle };
        std::sort(balance.idle.begin(), balance.idle.end(), [](const IdleInstance& a, const IdleInstance& b) { return a.idleSince > b.idleSince; });
        balances.push_back(std::move(balance));
        if (pool.reserve)
            reserve = pool.pool;
    }
    m_short = std::any_of(balances.begin(), balances.end(), [](const Balance& pool) { return pool.isShort(); });
    std::vector<CapacityMove> moves;
    const auto give = [&](Balance& from, std::size_t index, const std::string& to) {
        moves.push_back({ from.idle[index].instance, from.load->pool, to });
        from.idle.erase(from.idle.begin() + static_cast<std::ptrdiff_t>(index));
        --from.instances;
    };
    for (;;) {
        const auto needy = std::max_element(balances.begin(), balances.end(), [](const Balance& a, const Balance& b) { return (a.isShort() ? shortage(a) : 0) < (b.isShort() ? shortage(b) : 0); });
        if (needy == balances.end() || !needy->isShort())
            break;
        bool found = false;
        // The reserve first: what is off costs nobody anything.
        for (const bool fromReserve : { true, false }) {
            for (Balance& giver : balances) {
                if (found || giver.load->reserve != fromReserve || !giver.canGive() || &giver == &*needy)
                    continue;
                for (std::size_t i = giver.idle.size(); i-- > 0 && !found;) {
                    if (!takes(needy->load->pool, giver.idle[i].kind))
                        continue;
                    give(giver, i, needy->load->pool);
                    found = true;
                }
            }
        }
        if (found)
            ++needy->instances;
        else
            needy->target = needy->instances;
    }
    for (Balance& pool : balances) {
        if (!reserve || pool.load->reserve || !mayPowerOff(now))
            continue;
        while (pool.canGive() && pool.instances > pool.keeps && now - pool.idle.back().idleSince >= m_options.idleBeforeOff && takes(*reserve, pool.idle.back().kind))
            give(pool, pool.idle.size() - 1, *reserve);
    }
    return moves;
}

} // namespace lanemoor::jobs
