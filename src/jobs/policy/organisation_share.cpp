#include "lanemoor/jobs/policy/organisation_share.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace lanemoor::jobs {

namespace {

constexpr std::size_t resourceKinds = 3;
constexpr double epsilon = 1e-9; ///< Parts of a pool that differ by less are equal.

using Parts = std::array<double, resourceKinds>;

double partOf(std::int64_t amount, std::int64_t capacity)
{
    return capacity > 0 ? static_cast<double>(amount) / static_cast<double>(capacity) : 0;
}

Parts partsOf(const Resources& amount, const Resources& capacity)
{
    return { partOf(amount.milliCpu, capacity.milliCpu), partOf(amount.memoryMb, capacity.memoryMb), partOf(amount.accelerators, capacity.accelerators) };
}

double dominant(const Parts& parts)
{
    return *std::max_element(parts.begin(), parts.end());
}

/// \returns Weights, with the mean of the others for organisations without one.
std::vector<double> weightsOf(const std::vector<OrganisationDemand>& demands)
{
    double sum = 0;
    std::size_t weighted = 0;
    for (const OrganisationDemand& demand : demands) {
        sum += std::max(demand.weight, 0.0);
        weighted += demand.weight > 0 ? 1 : 0;
    }
    const double mean = weighted > 0 ? sum / static_cast<double>(weighted) : 1;
    std::vector<double> weights;
    weights.reserve(demands.size());
    for (const OrganisationDemand& demand : demands)
        weights.push_back(demand.weight > 0 ? demand.weight : mean);
    return weights;
}

/// Progressive filling: shares grow by weight until the demand is satisfied or a needed resource is exhausted.
class ProgressiveFilling {
public:
    ProgressiveFilling(const std::vector<OrganisationDemand>& demands, const Resources& capacity)
        : m_weights(weightsOf(demands))
        , m_shares(demands.size(), 0)
        , m_growing(demands.size(), true)
    {
        for (const OrganisationDemand& demand : demands) {
            Resources asked = demand.used;
            asked += demand.waiting;
            m_asked.push_back(partsOf(asked, capacity));
            m_demands.push_back(dominant(m_asked.back()));
        }
        m_order.resize(demands.size());
        std::iota(m_order.begin(), m_order.end(), 0);
        std::sort(m_order.begin(), m_order.end(), [this](std::size_t a, std::size_t b) { return levelOf(a) < levelOf(b); });
    }

    std::vector<double> run()
    {
        for (const std::size_t i : m_order)
            addRate(i, 1);
        for (const std::size_t i : m_order) {
            while (m_growing[i] && growTo(levelOf(i))) {
            }
            if (m_growing[i])
                stop(i, m_demands[i]);
        }
        return m_shares;
    }

private:
    /// \returns The level at which the organisation's share covers what it asks for.
    [[nodiscard]] double levelOf(std::size_t i) const { return m_demands[i] / m_weights[i]; }

    /// \returns Part of a resource that the organisation takes for each unit of level.
    [[nodiscard]] double rateOf(std::size_t i, std::size_t kind) const { return m_demands[i] > 0 ? m_weights[i] * m_asked[i][kind] / m_demands[i] : 0; }

    void addRate(std::size_t i, int sign)
    {
        for (std::size_t kind = 0; kind < resourceKinds; ++kind)
            m_rates[kind] += sign * rateOf(i, kind);
    }

    void stop(std::size_t i, double share)
    {
        m_shares[i] = share;
        m_growing[i] = false;
        addRate(i, -1);
    }

    /// Raises the level towards `target`. \returns Whether a resource was exhausted before.
    bool growTo(double target)
    {
        std::optional<std::size_t> exhausted;
        double step = target - m_level;
        for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
            if (m_rates[kind] > epsilon && m_left[kind] / m_rates[kind] < step - epsilon) {
                step = std::max(m_left[kind] / m_rates[kind], 0.0);
                exhausted = kind;
            }
        }
        m_level += step;
        for (std::size_t kind = 0; kind < resourceKinds; ++kind)
            m_left[kind] -= m_rates[kind] * step;
        if (exhausted)
            stopUsersOf(*exhausted);
        return exhausted.has_value();
    }

    void stopUsersOf(std::size_t kind)
    {
        for (std::size_t i = 0; i < m_shares.size(); ++i) {
            if (m_growing[i] && m_asked[i][kind] > 0)
                stop(i, m_weights[i] * m_level);
        }
        m_rates[kind] = 0;
    }

    std::vector<double> m_weights;
    std::vector<Parts> m_asked;
    std::vector<double> m_demands; ///< Part of the pool, of the dominant resource.
    std::vector<double> m_shares;
    std::vector<bool> m_growing;
    std::vector<std::size_t> m_order; ///< By the level at which their demand is satisfied.
    double m_level = 0; ///< Share per weight of the organisations that still grow.
    Parts m_left { 1, 1, 1 };
    Parts m_rates {};
};

} // namespace

bool OrganisationShare::isBelow() const noexcept
{
    return use < share - epsilon;
}

std::vector<OrganisationShare> sharesOf(const std::vector<OrganisationDemand>& demands, const Resources& capacity)
{
    const std::vector<double> parts = ProgressiveFilling(demands, capacity).run();
    std::vector<OrganisationShare> shares;
    shares.reserve(demands.size());
    for (std::size_t i = 0; i < demands.size(); ++i)
        shares.push_back({ .organisation = demands[i].organisation, .use = dominant(partsOf(demands[i].used, capacity)), .share = parts[i], .waits = !(demands[i].waiting == Resources {}) });
    return shares;
}

PoolShares::PoolShares(const std::vector<OrganisationDemand>& demands, const Resources& capacity)
    : m_capacity(capacity)
    , m_shares(sharesOf(demands, capacity))
    , m_started(demands.size(), false)
{
    for (std::size_t i = 0; i < demands.size(); ++i) {
        m_used.push_back(demands[i].used);
        m_byName.emplace(demands[i].organisation, i);
    }
}

std::optional<std::size_t> PoolShares::find(std::string_view organisation) const
{
    const auto found = m_byName.find(organisation);
    return found == m_byName.end() ? std::nullopt : std::optional(found->second);
}

bool PoolShares::hasReachedShare(std::string_view organisation) const
{
    const std::optional<std::size_t> index = find(organisation);
    return index && !m_shares[*index].isBelow();
}

void PoolShares::noteStarted(std::string_view organisation, const Resources& needs)
{
    const std::optional<std::size_t> index = find(organisation);
    if (!index)
        return;
    m_used[*index] += needs;
    m_started[*index] = true;
    m_shares[*index].use = dominant(partsOf(m_used[*index], m_capacity));
}

bool PoolShares::hasStarted(std::string_view organisation) const
{
    const std::optional<std::size_t> index = find(organisation);
    return index && m_started[*index];
}

void ShareDeficits::note(const std::string& pool, const std::string& organisation, bool isUnserved, MonotonicInstant now)
{
    auto& unserved = m_unservedSince[pool];
    if (!isUnserved) {
        unserved.erase(organisation);
        return;
    }
    MonotonicInstant& since = unserved.try_emplace(organisation, now).first->second;
    // The claim ended without a start: the others go on before the next claim.
    if (now - since >= starvedAfter + m_memory)
        since = now + m_memory;
}

bool ShareDeficits::blocksOthers(const std::string& pool, MonotonicInstant now) const
{
    const auto found = m_unservedSince.find(pool);
    if (found == m_unservedSince.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const auto& unserved) {
        const auto since = now - unserved.second;
        return since >= starvedAfter && since < starvedAfter + m_memory;
    });
}

} // namespace lanemoor::jobs
