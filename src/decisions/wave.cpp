#include "lanemoor/decisions/wave.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace lanemoor {

namespace {

using Days = std::chrono::duration<std::int64_t, std::ratio<86400>>;

/// An instance becomes due when 1 / `leadDivisor` of its period is left.
constexpr std::int64_t leadDivisor = 7;

/// One in this many spare instances stays available for replacements and loans.
constexpr std::uint32_t spareReserveDivisor = 2;

/// Rounds of maintenance that each further loan to a pool must save: the first value
/// applies if moves have a higher weight than roll-out time, the second otherwise.
constexpr std::uint32_t minRoundsSavedIfMovesCostly = 2;
constexpr std::uint32_t minRoundsSavedOtherwise = 1;

/// A member due for maintenance.
struct DueMember {
    std::string_view id;
    std::string_view domain;
};

/// Maintenance work in one pool.
struct PoolWork {
    std::uint32_t due = 0; ///< Not yet under maintenance.
    std::uint32_t underWay = 0;
    std::uint32_t serving = 0;
    std::vector<DueMember> eligible; ///< Due, in service, and a maintenance window is open.
    std::unordered_map<std::string_view, std::uint32_t> inService; ///< By failure domain.

    /// \returns Instances that this pool's wave still has to complete.
    [[nodiscard]] std::uint32_t remaining() const noexcept { return due + underWay; }
};

/// Maintenance work in the whole fleet.
struct FleetWork {
    std::vector<PoolWork> pools; ///< By the pool's number.
    PoolWork spares;
};

bool isWindowOpen(const Pool& pool, Instant now) noexcept
{
    if (pool.windows.empty())
        return true;
    return std::any_of(pool.windows.begin(), pool.windows.end(), [&](const MaintenanceWindow& window) { return window.contains(now); });
}

FleetWork collectWork(const FleetView& view, const FleetIndex& index)
{
    FleetWork work;
    work.pools.resize(view.configuration.pools.size());
    forEachEntry(view.ledger, view.instances, [&](const LedgerEntry& entry, const Instance* instance, std::size_t) {
        const std::optional<std::size_t> number = index.poolNumber(entry.pool);
        const Pool* pool = number ? &view.configuration.pools[*number] : nullptr;
        PoolWork& poolWork = number ? work.pools[*number] : work.spares;
        if (entry.grant && entry.grant->reason == GrantReason::Maintenance)
            ++poolWork.underWay;
        if (!isInService(entry, instance))
            return;
        const std::string_view domain = domainOf(*instance, pool ? pool->budget.survives : FailureDomain::Rack);
        ++poolWork.serving;
        ++poolWork.inService[domain];
        if (!isDue(entry, view.configuration.maintenance, view.now))
            return;
        ++poolWork.due;
        if (!pool || isWindowOpen(*pool, view.now))
            poolWork.eligible.push_back({ .id = entry.instance, .domain = domain });
    });
    return work;
}

/// Selects eligible members until the guard refuses one. Members of the failure domain with
/// the most instances in service come first.
void selectFromPool(PoolWork& work, DisruptionGuard& guard, std::vector<std::string>& selected)
{
    while (!work.eligible.empty()) {
        const auto fewer = [&](const DueMember& a, const DueMember& b) { return work.inService.at(a.domain) < work.inService.at(b.domain); };
        const auto best = std::max_element(work.eligible.begin(), work.eligible.end(), fewer);
        if (guard.refusalFor(best->id))
            return;
        guard.markOutOfService(best->id);
        selected.emplace_back(best->id);
        --work.inService.at(best->domain);
        work.eligible.erase(best);
    }
}

/// Distributes free instances as loans to the pools that have eligible members.
class LoanPlan {
public:
    LoanPlan(const FleetView& view, const FleetIndex& index, const FleetWork& work)
        : m_minRoundsSaved(view.configuration.weights.moves > view.configuration.weights.rollOut ? minRoundsSavedIfMovesCostly : minRoundsSavedOtherwise)
        , m_free(work.spares.serving)
    {
        for (std::size_t pool = 0; pool < work.pools.size(); ++pool) {
            const PoolWork& poolWork = work.pools[pool];
            const std::uint32_t members = poolWork.serving + poolWork.underWay;
            const std::uint32_t target = index.size(pool).target;
            const std::uint32_t surplus = members > target ? members - target : 0;
            m_free += surplus;
            if (!poolWork.eligible.empty())
                m_loans.push_back({ .pool = pool, .remaining = poolWork.remaining(), .surplus = surplus });
        }
        // Pools that have a loan keep it, to avoid needless moves. The others follow by remaining work.
        std::stable_sort(m_loans.begin(), m_loans.end(), [](const Loan& a, const Loan& b) { return std::pair(a.surplus > 0, a.remaining) > std::pair(b.surplus > 0, b.remaining); });
    }

    [[nodiscard]] std::vector<PoolBoost> boosts(const Configuration& configuration)
    {
        for (Loan& loan : m_loans)
            addInstance(loan);
        // Members that a pool already has beyond its target are assigned before more are lent.
        while (Loan* loan = findBestLoan(true))
            addInstance(*loan);
        while (Loan* loan = findBestLoan(false))
            addInstance(*loan);
        std::vector<PoolBoost> result;
        for (const Loan& loan : m_loans) {
            if (loan.instances > 0)
                result.push_back({ .pool = configuration.pools[loan.pool].name, .instances = loan.instances });
        }
        return result;
    }

private:
    struct Loan {
        std::size_t pool = 0;
        std::uint32_t remaining = 0; ///< Instances still to be maintained.
        std::uint32_t surplus = 0; ///< Current members beyond the target.
        std::uint32_t instances = 0; ///< Lent by this plan.

        /// \returns Rounds of maintenance that one more instance saves.
        [[nodiscard]] std::uint32_t roundsSaved() const noexcept { return instances == 0 ? remaining : remaining / instances - remaining / (instances + 1); }
    };

    void addInstance(Loan& loan) noexcept
    {
        if (m_free == 0)
            return;
        --m_free;
        ++loan.instances;
    }

    [[nodiscard]] Loan* findBestLoan(bool fromSurplus) noexcept
    {
        Loan* best = nullptr;
        for (Loan& loan : m_loans) {
            const bool isWorthwhile = fromSurplus ? loan.instances < loan.surplus && loan.roundsSaved() > 0 : loan.roundsSaved() >= m_minRoundsSaved;
            if (m_free > 0 && isWorthwhile && (!best || loan.roundsSaved() > best->roundsSaved()))
                best = &loan;
        }
        return best;
    }

    std::uint32_t m_minRoundsSaved;
    std::uint32_t m_free;
    std::vector<Loan> m_loans;
};

/// Limits the eligible spare instances of this step so that the reserve stays in service.
void limitSpares(PoolWork& spares)
{
    const std::uint32_t reserved = (spares.serving + spares.underWay) / spareReserveDivisor;
    const std::uint32_t maxSelected = spares.serving > reserved ? spares.serving - reserved : 0;
    if (spares.eligible.size() > maxSelected)
        spares.eligible.resize(maxSelected);
}

} // namespace

bool isDue(const LedgerEntry& entry, const Maintenance& maintenance, Instant now) noexcept
{
    if (entry.grant)
        return false;
    if (entry.maintainedAt < maintenance.waveRequestedAt && maintenance.waveRequestedAt <= now)
        return true;
    const Millis period = Days(maintenance.periodDays);
    return now >= entry.maintainedAt + period - period / leadDivisor;
}

WaveProgress waveProgress(const FleetView& view) noexcept
{
    WaveProgress progress;
    const Maintenance& maintenance = view.configuration.maintenance;
    for (const LedgerEntry& entry : view.ledger.entries) {
        if (entry.grant && entry.grant->reason == GrantReason::Maintenance) {
            ++progress.due;
            ++progress.underWay;
            if (view.now >= entry.grant->deadline)
                ++progress.lost;
        } else if (isDue(entry, maintenance, view.now)) {
            const bool present = isInService(entry, findInstance(view.instances, entry.instance));
            ++(present ? progress.due : progress.absent);
        }
        if (view.now >= entry.maintainedAt + Days(maintenance.periodDays))
            ++progress.overdue;
    }
    return progress;
}

std::vector<PoolBoost> WavePlanner::boosts(const FleetView& view, const FleetIndex& index) const
{
    return LoanPlan(view, index, collectWork(view, index)).boosts(view.configuration);
}

std::vector<std::string> WavePlanner::next(const FleetView& view, const FleetIndex& index, DisruptionGuard& guard) const
{
    FleetWork work = collectWork(view, index);
    std::vector<std::string> selected;
    limitSpares(work.spares);
    selectFromPool(work.spares, guard, selected);
    for (PoolWork& pool : work.pools)
        selectFromPool(pool, guard, selected);
    return selected;
}

} // namespace lanemoor
