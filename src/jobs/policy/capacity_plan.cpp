#include "lanemoor/jobs/policy/capacity_plan.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <unordered_set>

namespace lanemoor::jobs {

namespace {

/// Capacity of a pool for a class: healthy instances with its label, and their processor time.
struct Supply {
    double milliCpu = 0;
    std::uint32_t instances = 0;
    std::uint32_t present = 0; ///< Instances that accept tasks now.

    void add(const PoolInstance& instance)
    {
        milliCpu += static_cast<double>(instance.capacity.milliCpu);
        ++instances;
        present += instance.arriving ? 0 : 1;
    }

    void remove(const PoolInstance& instance)
    {
        milliCpu -= static_cast<double>(instance.capacity.milliCpu);
        --instances;
        present -= instance.arriving ? 0 : 1;
    }

    [[nodiscard]] bool covers(const CapacityNeed& need) const { return milliCpu >= need.milliCpu && instances >= need.instances; }

    [[nodiscard]] bool coversWithout(const CapacityNeed& need, const PoolInstance& instance) const
    {
        Supply remaining = *this;
        remaining.remove(instance);
        return remaining.covers(need);
    }
};

} // namespace

/// State of a requirement class of a pool during planning.
struct CapacityPlan::ClassBalance {
    Requirement requirement;
    const RequirementLoad* load = nullptr;
    CapacityNeed current; ///< For the current demand.
    CapacityNeed recentPeak; ///< For the recent peak demand.
    CapacityNeed sustained; ///< For the sustained demand.
    CapacityNeed withoutMargin; ///< For the current demand, without margin.
    Supply supply;
    bool exhausted = false; ///< No remaining instance would help.

    [[nodiscard]] bool isAny() const { return requirement.label.empty(); }
    [[nodiscard]] bool isRequired() const { return !isAny() && !requirement.preferred; }
};

/// State of a pool during planning.
struct CapacityPlan::Balance {
    using Need = CapacityNeed ClassBalance::*;

    const PoolLoad* load = nullptr;
    std::vector<ClassBalance> classes;
    std::vector<const PoolInstance*> idle; ///< Longest idle first.
    std::vector<const PoolInstance*> drainable; ///< Without long-running tasks first, then by the time at which they are empty.
    std::unordered_set<const PoolInstance*> healthy;
    mutable std::map<std::string, double> healthyMilliCpu; ///< Of the healthy instances, by label; a cache.
    mutable std::uint64_t inspected = 0; ///< Number of instance inspections.

    /// \returns Need of the class. Tasks without a required label need room beside the tasks that occupy instances with a label,
    /// up to the capacity of those instances: a class without instances uses nothing.
    [[nodiscard]] CapacityNeed needOf(const ClassBalance& each, Need which) const
    {
        CapacityNeed need = each.*which;
        if (!each.isAny())
            return need;
        for (const ClassBalance& other : classes) {
            if (other.isRequired())
                need.milliCpu += std::min((other.*which).milliCpu, other.supply.milliCpu);
        }
        return need;
    }

    /// \returns Shortage of the class, as a share of its need.
    [[nodiscard]] double shortage(const ClassBalance& each) const
    {
        const CapacityNeed need = needOf(each, &ClassBalance::current);
        const double ofCpu = need.milliCpu > 0 ? (need.milliCpu - each.supply.milliCpu) / need.milliCpu : 0;
        const double ofInstances = need.instances > 0 ? (static_cast<double>(need.instances) - each.supply.instances) / need.instances : 0;
        return std::max(ofCpu, ofInstances);
    }

    [[nodiscard]] bool isShort(const ClassBalance& each) const { return !each.exhausted && !each.supply.covers(needOf(each, &ClassBalance::current)); }

    /// \returns Whether every class keeps enough without `instance`.
    [[nodiscard]] bool canSpare(const PoolInstance& instance, Need which) const
    {
        return std::all_of(classes.begin(), classes.end(), [&](const ClassBalance& each) { return !instance.has(each.requirement.label) || each.supply.coversWithout(needOf(each, which), instance); });
    }

    [[nodiscard]] std::uint32_t shortClassesOf(const PoolInstance& instance) const
    {
        return static_cast<std::uint32_t>(std::count_if(classes.begin(), classes.end(), [&](const ClassBalance& each) { return isShort(each) && instance.has(each.requirement.label); }));
    }

    /// \returns Processor time of the healthy instances with a label.
    [[nodiscard]] double sizeOf(const std::string& label) const
    {
        // Cached: a sum for each candidate instance made the plan cubic in the fleet size.
        const auto [size, isNew] = healthyMilliCpu.try_emplace(label);
        if (!isNew)
            return size->second;
        inspected += healthy.size();
        for (const PoolInstance* instance : healthy)
            size->second += instance->has(label) ? static_cast<double>(instance->capacity.milliCpu) : 0;
        return size->second;
    }

    [[nodiscard]] bool hasBacklog() const
    {
        return std::any_of(classes.begin(), classes.end(), [](const ClassBalance& each) { return each.load->backlogMilliCpu > 0; });
    }

    [[nodiscard]] bool needsLabel(const std::string& label) const
    {
        return std::any_of(classes.begin(), classes.end(), [&](const ClassBalance& each) { return each.isRequired() && each.requirement.label == label; });
    }

    /// \returns Whether an idle instance may go to a class of another pool. A class without any instance of its label has
    /// priority over this pool's spare capacity.
    [[nodiscard]] bool mayGive(const PoolInstance& instance, const ClassBalance& lacking) const
    {
        const bool hasNone = lacking.isRequired() && lacking.supply.instances == 0;
        return load->reserve || canSpare(instance, &ClassBalance::current) || (hasNone && canSpare(instance, &ClassBalance::withoutMargin));
    }

    /// \returns Whether a busy instance may be drained for a class of another pool.
    [[nodiscard]] bool mayDrain(const PoolInstance& instance, const ClassBalance& lacking, double gap) const
    {
        if (lacking.isRequired() && mayGive(instance, lacking))
            return true;
        if (instance.longRunning > 0)
            return false;
        // The instance works on jobs that end late in any case, while the other pool's jobs can still end in time.
        if (hasBacklog() && mayGive(instance, lacking))
            return true;
        const auto milliCpu = static_cast<double>(instance.capacity.milliCpu);
        // This pool has no use for the label, and the other one requires it.
        if (lacking.isRequired() && !needsLabel(lacking.requirement.label))
            return lacking.supply.instances == 0 && sizeOf({}) > milliCpu;
        return sizeOf(lacking.requirement.label) - lacking.supply.milliCpu >= gap * milliCpu;
    }

    void resize(const PoolInstance& instance, double sign)
    {
        for (auto& [label, milliCpu] : healthyMilliCpu)
            milliCpu += instance.has(label) ? sign * static_cast<double>(instance.capacity.milliCpu) : 0;
    }

    void addInstance(const PoolInstance& instance)
    {
        healthy.insert(&instance);
        resize(instance, 1);
        for (ClassBalance& each : classes) {
            if (instance.has(each.requirement.label))
                each.supply.add(instance);
        }
    }

    void removeInstance(const PoolInstance& instance)
    {
        std::erase(idle, &instance);
        std::erase(drainable, &instance);
        if (healthy.erase(&instance) == 0)
            return;
        resize(instance, -1);
        for (ClassBalance& each : classes) {
            if (instance.has(each.requirement.label))
                each.supply.remove(instance);
        }
    }
};

CapacityPlan::CapacityPlan(CapacityOptions options)
    : m_options(options)
    , m_peaks(options.peaks)
{
}

void CapacityPlan::restartObservation(MonotonicInstant now)
{
    m_firstSeen = now;
    m_firstArrival.reset();
}

void CapacityPlan::noteRefused(const std::string& kind, const std::string& pool)
{
    m_refusedKinds[pool].push_back(kind);
}

bool CapacityPlan::acceptsKind(const std::string& pool, const std::string& kind) const
{
    const auto refused = m_refusedKinds.find(pool);
    return refused == m_refusedKinds.end() || std::find(refused->second.begin(), refused->second.end(), kind) == refused->second.end();
}

/// \param present Instances of the class that accept tasks now.
CapacityNeed CapacityPlan::needOf(const Requirement& requirement, const RequirementLoad& load, std::int64_t milliCpu, std::uint32_t present) const
{
    const bool isAny = requirement.label.empty();
    CapacityNeed need { .milliCpu = static_cast<double>(milliCpu) * m_options.margin / m_options.packing };
    // One instance more than the spread requires, so that one can fail or be maintained.
    const std::uint32_t spread = load.minInstances > 0 ? load.minInstances + 1 : 0;
    // Waiting tasks found no room on any instance, regardless of the sum of the free capacity. One more instance may be enough.
    const std::uint32_t more = load.hasWaiting ? present + 1 : 0;
    need.instances = std::max({ isAny ? m_options.minInstances : 0, spread, more });
    return need;
}

std::uint32_t CapacityPlan::target(const PoolLoad& pool) const
{
    const auto any = pool.requirements.find(Requirement {});
    if (pool.reserve || any == pool.requirements.end())
        return 0;
    Supply all;
    Supply healthy;
    for (const PoolInstance& instance : pool.instances) {
        all.add(instance);
        if (instance.healthy)
            healthy.add(instance);
    }
    std::int64_t demand = 0;
    for (const auto& [requirement, load] : pool.requirements)
        demand += requirement.preferred ? 0 : load.demandMilliCpu;
    const CapacityNeed need = needOf(any->first, any->second, demand, healthy.present);
    const double mean = all.instances > 0 ? all.milliCpu / all.instances : 0;
    const auto byCpu = mean > 0 ? static_cast<std::uint32_t>(std::ceil(need.milliCpu / mean)) : 0;
    return std::max(byCpu, need.instances) + (all.instances - healthy.instances);
}

bool CapacityPlan::hasIdleRoom(const PoolLoad& pool) const
{
    std::size_t healthy = 0;
    std::size_t idle = 0;
    for (const PoolInstance& instance : pool.instances) {
        healthy += instance.healthy ? 1 : 0;
        idle += instance.healthy && instance.idleSince ? 1 : 0;
    }
    return static_cast<double>(idle) >= m_options.idleShareOfRoom * static_cast<double>(healthy);
}

CapacityPlan::Balance CapacityPlan::balanceOf(const PoolLoad& pool, MonotonicInstant now)
{
    Balance balance { .load = &pool, .classes = {}, .idle = {}, .drainable = {}, .healthy = {} };
    const bool hasRoom = m_peaks.hasAmpleRoom() && hasIdleRoom(pool);
    for (const auto& [requirement, load] : pool.requirements) {
        if (pool.reserve)
            break;
        ClassBalance each { .requirement = requirement, .load = &load, .current = {}, .recentPeak = {}, .sustained = {}, .withoutMargin = {}, .supply = {} };
        for (const PoolInstance& instance : pool.instances) {
            if (instance.healthy && instance.has(requirement.label))
                each.supply.add(instance);
        }
        DemandHistory& history = m_demands[{ pool.pool, requirement }];
        const std::int64_t sustained = history.lowest.note(load.demandMilliCpu, now, m_options.sustainTime);
        const std::int64_t demand = hasRoom && !load.hasWaiting ? sustained : load.demandMilliCpu;
        each.current = needOf(requirement, load, demand, each.supply.present);
        each.recentPeak = needOf(requirement, load, history.highest.note(demand, now, m_options.demandMemory), each.supply.present);
        each.sustained = needOf(requirement, load, sustained, each.supply.present);
        if (!requirement.preferred)
            each.withoutMargin = { .milliCpu = static_cast<double>(load.demandMilliCpu) / m_options.packing, .instances = load.minInstances };
        balance.classes.push_back(std::move(each));
    }
    for (const PoolInstance& instance : pool.instances) {
        if (instance.healthy)
            balance.healthy.insert(&instance);
        if (instance.idleSince)
            balance.idle.push_back(&instance);
        else if (!instance.drainableWorker.empty())
            balance.drainable.push_back(&instance);
    }
    std::stable_sort(balance.idle.begin(), balance.idle.end(), [](const PoolInstance* a, const PoolInstance* b) { return *a->idleSince < *b->idleSince; });
    std::stable_sort(balance.drainable.begin(), balance.drainable.end(), [](const PoolInstance* a, const PoolInstance* b) { return std::tuple(a->longRunning > 0, a->expectedEmptyAt) < std::tuple(b->longRunning > 0, b->expectedEmptyAt); });
    return balance;
}

bool CapacityPlan::mayPowerOff(MonotonicInstant now) const
{
    if (m_firstArrival)
        return now - *m_firstArrival >= m_options.observation;
    return now - *m_firstSeen >= m_options.maxIdleStart;
}

/// Idle instances of one pool that are equivalent for all classes.
struct CapacityPlan::IdleGroup {
    Balance* pool = nullptr;
    std::deque<std::pair<std::size_t, const PoolInstance*>> instances; ///< With their index in the pool's order.

    [[nodiscard]] const PoolInstance& first() const { return *instances.front().second; }
};

/// A shift of load moves hundreds of instances. Comparing them one by one for each move made the plan quadratic in the fleet
/// size.
std::vector<CapacityPlan::IdleGroup> CapacityPlan::groupIdle(std::vector<Balance>& pools)
{
    std::set<std::string> labels;
    for (const Balance& pool : pools) {
        for (const ClassBalance& each : pool.classes)
            labels.insert(each.requirement.label);
    }
    std::vector<IdleGroup> groups;
    for (Balance& pool : pools) {
        std::map<std::tuple<std::string, std::string, std::int64_t, std::int64_t, std::int64_t>, std::size_t> known;
        for (std::size_t i = 0; i < pool.idle.size(); ++i) {
            const PoolInstance& instance = *pool.idle[i];
            const Resources& capacity = instance.capacity;
            const std::string& rack = labels.contains(instance.rack) ? instance.rack : std::string();
            const auto [place, isNew] = known.try_emplace({ instance.kind, rack, capacity.milliCpu, capacity.memoryMb, capacity.accelerators }, groups.size());
            if (isNew)
                groups.push_back({ .pool = &pool, .instances = {} });
            groups[place->second].instances.emplace_back(i, &instance);
        }
        pool.inspected += pool.idle.size();
    }
    return groups;
}

/// On a fleet with ample room, pools keep their peak capacity.
void CapacityPlan::reservePeaks(std::vector<Balance>& pools, MonotonicInstant now)
{
    std::vector<PoolNeed> needs;
    double fleet = 0;
    for (const Balance& pool : pools) {
        for (const PoolInstance* instance : pool.healthy)
            fleet += static_cast<double>(instance->capacity.milliCpu);
        for (const ClassBalance& each : pool.classes) {
            if (each.isAny())
                needs.push_back({ .pool = pool.load->pool, .needed = pool.needOf(each, &ClassBalance::sustained).milliCpu, .size = each.supply.milliCpu });
        }
    }
    // A fleet that stays idle has shown its whole demand.
    const bool staysIdle = !m_firstArrival && mayPowerOff(now);
    m_peaks.update(needs, fleet, now, staysIdle ? now - m_options.peaks.memory : m_firstArrival);
    for (Balance& pool : pools) {
        for (ClassBalance& each : pool.classes) {
            if (!each.isAny() || each.supply.instances == 0)
                continue;
            // Only whole instances are kept.
            const double ofInstance = each.supply.milliCpu / each.supply.instances;
            const double reserved = std::floor(m_peaks.reservedFor(pool.load->pool) / ofInstance) * ofInstance;
            each.recentPeak.milliCpu = std::max(each.recentPeak.milliCpu, reserved);
        }
    }
}

/// Moves idle instances to the class with the largest shortage, until no shortage can be reduced.
void CapacityPlan::fillShortages(std::vector<Balance>& pools, std::vector<CapacityMove>& moves, std::size_t maxMoves) const
{
    std::vector<IdleGroup> groups = groupIdle(pools);
    while (moves.size() < maxMoves) {
        Balance* receiver = nullptr;
        ClassBalance* lacking = nullptr;
        // Required labels come before preferred ones, which only speed tasks up.
        std::pair<bool, double> worst;
        std::map<std::string, std::uint32_t> shortPools; // Pools that lack instances with a label, by label.
        for (Balance& pool : pools) {
            for (ClassBalance& each : pool.classes) {
                if (!pool.isShort(each))
                    continue;
                if (!each.isAny())
                    ++shortPools[each.requirement.label];
                const std::pair<bool, double> lack { each.requirement.preferred, m_options.servesLeastCapacityFirst ? each.supply.milliCpu : -pool.shortage(each) };
                if (lacking && lack >= worst)
                    continue;
                worst = lack;
                receiver = &pool;
                lacking = &each;
            }
        }
        if (!lacking)
            return;
        // The reserve comes first, since instances that are off cost nothing. Then the instance that helps most classes of the
        // pool and is needed least elsewhere, then the largest.
        using Rank = std::tuple<bool, std::int64_t, std::uint32_t, std::int64_t, const Balance*, std::size_t>;
        IdleGroup* donor = nullptr;
        Rank best;
        for (IdleGroup& group : groups) {
            if (group.instances.empty() || group.pool == receiver)
                continue;
            ++group.pool->inspected;
            const PoolInstance& instance = group.first();
            const bool helps = instance.has(lacking->requirement.label) && (!lacking->load->hasWaiting || instance.capacity.covers(lacking->load->largestWaiting));
            if (!helps || !acceptsKind(receiver->load->pool, instance.kind) || !group.pool->mayGive(instance, *lacking))
                continue;
            const auto wanted = [&](const std::string& label) { return shortPools.contains(label) ? shortPools[label] : 0; };
            // Ties go to the first pool, and there to the instance that is idle longest.
            const Rank rank { !group.pool->load->reserve, -std::int64_t { receiver->shortClassesOf(instance) }, wanted(instance.kind) + wanted(instance.rack), -instance.capacity.milliCpu, group.pool, group.instances.front().first };
            if (donor && rank >= best)
                continue;
            best = rank;
            donor = &group;
        }
        if (!donor) {
            lacking->exhausted = true;
            continue;
        }
        const PoolInstance& chosen = donor->first();
        donor->instances.pop_front();
        moves.push_back({ chosen.instance, donor->pool->load->pool, receiver->load->pool });
        donor->pool->removeInstance(chosen);
        receiver->addInstance(chosen);
    }
}

/// Adds demand of jobs that end late in any case. After a shift of load such jobs pile up to several times the fleet; counted
/// like the others, they withheld instances from pools whose jobs could still end in time.
void CapacityPlan::addBacklog(std::vector<Balance>& pools) const
{
    for (Balance& pool : pools) {
        for (ClassBalance& each : pool.classes) {
            each.exhausted = false;
            if (each.load->backlogMilliCpu == 0)
                continue;
            each.current.milliCpu += static_cast<double>(each.load->backlogMilliCpu) / m_options.packing;
            if (each.load->backlogWaits)
                each.current.instances = std::max(each.current.instances, each.supply.present + 1);
        }
    }
}

/// Ends drains for pools that are not short any longer.
void CapacityPlan::undrain(std::vector<Balance>& pools, std::vector<std::string>& undrains) const
{
    for (Balance& pool : pools) {
        for (const PoolInstance& instance : pool.load->instances) {
            if (instance.drainingFrom.empty() || !pool.canSpare(instance, &ClassBalance::recentPeak) || !pool.canSpare(instance, &ClassBalance::current))
                continue;
            undrains.push_back(instance.instance);
            pool.removeInstance(instance);
        }
    }
}

/// \param next Start index in the pool's order; advanced to the returned instance.
/// \returns The first instance from there on that may be drained for the class, or null.
const PoolInstance* CapacityPlan::nextDrainable(const Balance& pool, std::size_t& next, const Balance& receiver, const ClassBalance& lacking) const
{
    for (; next < pool.drainable.size(); ++next) {
        const PoolInstance& instance = *pool.drainable[next];
        ++pool.inspected;
        if (instance.has(lacking.requirement.label) && acceptsKind(receiver.load->pool, instance.kind) && pool.mayDrain(instance, lacking, m_options.fairnessGap))
            return &instance;
    }
    return nullptr;
}

/// Drains instances of pools with more capacity for short pools with less.
void CapacityPlan::planDrains(std::vector<Balance>& pools, std::vector<CapacityDrain>& drains, std::size_t maxDrains) const
{
    for (Balance& receiver : pools) {
        for (ClassBalance& lacking : receiver.classes) {
            if (lacking.requirement.preferred)
                continue;
            // An instance that the pool may not give to this class now cannot be given later either, since the pool only shrinks:
            // each instance is inspected once.
            std::vector<std::size_t> next(pools.size(), 0);
            // Exhausted classes found no idle instance, so they take part.
            while (drains.size() < maxDrains && !lacking.supply.covers(receiver.needOf(lacking, &ClassBalance::current))) {
                Balance* donor = nullptr;
                const PoolInstance* chosen = nullptr;
                std::tuple<bool, double, MonotonicInstant> best;
                for (std::size_t i = 0; i < pools.size(); ++i) {
                    Balance& pool = pools[i];
                    if (&pool == &receiver || pool.load->reserve)
                        continue;
                    const PoolInstance* instance = nextDrainable(pool, next[i], receiver, lacking);
                    if (!instance)
                        continue;
                    const std::tuple<bool, double, MonotonicInstant> rank { instance->longRunning > 0, -pool.sizeOf({}), instance->expectedEmptyAt };
                    if (chosen && rank >= best)
                        continue;
                    best = rank;
                    donor = &pool;
                    chosen = instance;
                }
                if (!chosen)
                    break;
                drains.push_back({ chosen->instance, chosen->drainableWorker, donor->load->pool, receiver.load->pool });
                donor->removeInstance(*chosen);
                receiver.addInstance(*chosen);
            }
        }
    }
}

/// Takes one instance of each pool per round, so that no pool is emptied first.
void CapacityPlan::powerOff(std::vector<Balance>& pools, std::vector<CapacityMove>& moves, std::size_t maxMoves, MonotonicInstant now) const
{
    const auto reserve = std::find_if(pools.begin(), pools.end(), [](const Balance& pool) { return pool.load->reserve; });
    if (reserve == pools.end() || !mayPowerOff(now))
        return;
    const auto isSpare = [&](const Balance& pool, const PoolInstance& instance) {
        return now - *instance.idleSince >= m_options.idleBeforeOff && acceptsKind(reserve->load->pool, instance.kind) && pool.canSpare(instance, &ClassBalance::recentPeak) && pool.canSpare(instance, &ClassBalance::current);
    };
    std::vector<std::pair<Balance*, std::deque<const PoolInstance*>>> idle;
    for (Balance& pool : pools) {
        if (!pool.load->reserve)
            idle.emplace_back(&pool, std::deque<const PoolInstance*>(pool.idle.begin(), pool.idle.end()));
    }
    std::size_t moved = 0;
    for (bool isDone = false; !isDone;) {
        isDone = true;
        for (auto& [pool, instances] : idle) {
            while (!instances.empty() && !isSpare(*pool, *instances.front()))
                instances.pop_front();
            if (instances.empty() || moved == maxMoves)
                continue;
            const PoolInstance& instance = *instances.front();
            instances.pop_front();
            moves.push_back({ instance.instance, pool->load->pool, reserve->load->pool });
            pool->removeInstance(instance);
            ++moved;
            isDone = false;
        }
    }
}

CapacityStep CapacityPlan::next(const std::vector<PoolLoad>& pools, MonotonicInstant now, std::size_t maxActions)
{
    if (!m_firstSeen)
        m_firstSeen = now;
    const auto hasArrivals = [](const PoolLoad& pool) { return pool.hasArrivals; };
    if (!m_firstArrival && std::any_of(pools.begin(), pools.end(), hasArrivals))
        m_firstArrival = now;
    std::vector<Balance> balances;
    for (const PoolLoad& pool : pools)
        balances.push_back(balanceOf(pool, now));
    m_short = std::any_of(balances.begin(), balances.end(), [](const Balance& pool) {
        return std::any_of(pool.classes.begin(), pool.classes.end(), [&](const ClassBalance& each) { return !each.requirement.preferred && pool.isShort(each); });
    });
    reservePeaks(balances, now);
    CapacityStep step;
    undrain(balances, step.undrains);
    fillShortages(balances, step.moves, maxActions);
    if (m_options.sharesFairly)
        planDrains(balances, step.drains, maxActions - step.moves.size());
    const std::size_t maxMoves = maxActions - step.drains.size();
    addBacklog(balances);
    // A briefly idle instance may be needed by its own pool at once.
    for (Balance& pool : balances) {
        if (!pool.load->reserve)
            std::erase_if(pool.idle, [&](const PoolInstance* instance) { return now - *instance->idleSince < m_options.idleBeforeOff; });
    }
    fillShortages(balances, step.moves, maxMoves);
    powerOff(balances, step.moves, (maxMoves - step.moves.size()) / 2, now);
    m_inspected = 0;
    for (const Balance& pool : balances)
        m_inspected += pool.inspected;
    return step;
}

} // namespace lanemoor::jobs
