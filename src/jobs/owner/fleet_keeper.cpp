#include "lanemoor/jobs/owner/fleet_keeper.h"

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/model/fleet_control.h"
#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/model/platform_documents.h"
#include "lanemoor/jobs/model/work_meter.h"
#include "lanemoor/jobs/owner/hall_evacuations.h"
#include "lanemoor/jobs/owner/job_scheduler.h"
#include "lanemoor/jobs/policy/call_budget.h"
#include "lanemoor/jobs/policy/capacity_plan.h"
#include "lanemoor/jobs/policy/evacuation_moves.h"
#include "lanemoor/jobs/policy/maintenance_plan.h"
#include "lanemoor/jobs/store/store_retries.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr Millis storeRetry { 300 };
constexpr int planShare = 10; // A plan takes a tenth of the time at the most.
constexpr Millis useLogPause { 1'000 }; // Between lines on what the instances are doing.
constexpr Millis recordLasts { 500 }; // An act is sent this soon after its record was asked for, or not at all.
/// An act reaches the platform this soon after its record was asked for, with some time for its way.
constexpr Millis actSpread { 700 };
constexpr std::size_t mostActsUnderWay = 128; // Some hundred ms of answers on the few connections to the platform.
constexpr Millis actsRefresh { 1'000 }; // Some three calls after the last act of a burst.
constexpr Millis lateAct { 3'000 }; // An act without an answer is settled by the list after this.
constexpr Millis retryBusy { 500 }; // An instance that was busy is looked at again after this.
/// Beyond the maintenance time itself: the order's way, and the worker's start.
constexpr Millis backMargin { 150 };

} // namespace

class FleetKeeper::Impl : public std::enable_shared_from_this<FleetKeeper::Impl> {
public:
    explicit Impl(FleetKeeperOptions options)
        : m_options(std::move(options))
        , m_storeRetries(*m_options.loop)
    {
    }

    void retryStore() { m_storeRetries.runNow(); }

    void noteOutageOver()
    {
        if (!m_active)
            return;
        m_options.log->decision("load-observed-anew", { { "idle_instances", static_cast<std::int64_t>(m_idleSince.size()) } });
        m_capacity.observeAnew(m_options.loop->now());
        m_idleSince.clear();
    }

    void activate(const Ownership& ownership)
    {
        ++m_generation;
        m_options.loop->cancel(std::exchange(m_planTimer, 0));
        m_active = true;
        m_ownership = ownership;
        m_mayAct = false;
        m_formerActs.clear();
        m_recentActs.clear();
        m_unsent.clear();
        readActs();
        m_plans.clear();
        m_finished.clear();
        m_list.clear();
        m_acted.clear();
        m_moving.clear();
        m_draining.clear();
        m_lives.clear();
        m_idleSince.clear();
        m_capacity = CapacityPlan(m_options.capacity);
        m_evacuationMoves = EvacuationMoves();
        m_actBudget = CallBudget(m_options.actsPerSecond, m_options.loop->now());
        for (const auto& [number, wave] : m_waves)
            begin(wave);
        list();
        planSoon();
    }

    void deactivate()
    {
        ++m_generation;
        m_options.loop->cancel(std::exchange(m_planTimer, 0));
        m_active = false;
        m_plans.clear();
    }

    void onWave(const WaveRequest& wave)
    {
        if (!m_waves.emplace(wave.number, wave).second)
            return;
        m_options.log->change("wave-asked", { { "wave", static_cast<std::int64_t>(wave.number) }, { "instances", static_cast<std::int64_t>(wave.instances.size()) }, { "at_once", std::int64_t { wave.maxConcurrent } } });
        if (m_active)
            begin(wave);
    }

    FleetCounts counts;

private:
    /// The life that the list last named on an instance.
    struct ListedLife {
        std::string worker;
        std::optional<MonotonicInstant> goneSince; ///< Since when lists name another one, or none.
    };

    /// An instance after an act, until the list must have caught up.
    struct Acted {
        FleetInstance instance;
        MonotonicInstant until;
        std::string emptied; ///< The worker that waits for an act without an answer; empty: none.
    };

    [[nodiscard]] bool mayAct() const { return m_active && m_options.ownership->isHeld() && m_mayAct; }

    /// Calls `step` later unless the term is over by then.
    void later(Millis pause, std::function<void()> step) { m_options.loop->callAt(m_options.loop->now() + pause, unlessOver(std::move(step))); }

    /// Calls `step`, which calls the store, later or when the store answers again.
    void laterAtStore(std::function<void()> step) { m_storeRetries.runLater(storeRetry, unlessOver(std::move(step))); }

    /// \returns `step`, which does nothing once the term is over.
    [[nodiscard]] std::function<void()> unlessOver(std::function<void()> step)
    {
        return [self = weak_from_this(), generation = m_generation, step = std::move(step)] {
            const auto impl = self.lock();
            if (impl && impl->m_active && impl->m_generation == generation)
                step();
        };
    }

    /// Wraps a callback so that it is heard within this term only.
    template <typename Result>
    std::function<void(Result)> inTerm(std::function<void(const Result&)> callback)
    {
        return [self = weak_from_this(), generation = m_generation, callback = std::move(callback)](const Result& result) {
            const auto impl = self.lock();
            if (impl && impl->m_active && impl->m_generation == generation)
                callback(result);
        };
    }

    /// What the former owner acted on of late is left alone for the time of a handover; all
    /// else may be acted on at once.
    void readActs()
    {
        m_options.store->read(std::string(actionsKey), inTerm<ReadResult>([this](const ReadResult& result) {
            if (result.outcome != StoreOutcome::Done && result.outcome != StoreOutcome::NotFound) {
                laterAtStore([this] { readActs(); });
                return;
            }
            for (const auto& [instance, age] : decodeActionAges(result.item.value).value_or(std::map<std::string, Millis> {}))
                noteFormerAct(instance, age);
            for (auto& [number, plan] : m_plans)
                noteFormerMaintenance(plan);
            m_actsRevision = result.item.revision;
            m_mayAct = true;
            planSoon();
        }));
    }

    /// After a record without an answer: the next one must replace what is there now.
    void readActsRevision()
    {
        m_options.store->read(std::string(actionsKey), inTerm<ReadResult>([this](const ReadResult& result) {
            if (result.outcome != StoreOutcome::Done && result.outcome != StoreOutcome::NotFound) {
                laterAtStore([this] { readActsRevision(); });
                return;
            }
            m_actsRevision = result.item.revision;
            m_mayAct = true;
        }));
    }

    /// \param age When the record was written; it was written before now, so the act is at least
    /// as old. The next owner must hear of it too, should this one not last.
    void noteFormerAct(const std::string& instance, Millis age)
    {
        const MonotonicInstant asked = m_options.loop->now() - age;
        m_formerActs[instance] = asked + actSpread;
        m_recentActs[instance] = asked;
    }

    /// What the former owner acted on of late may be down for its maintenance, answered or not.
    void noteFormerMaintenance(MaintenancePlan& plan)
    {
        for (const auto& [instance, actedBy] : m_formerActs) {
            if (plan.wave().contains(instance))
                plan.noteMayBeDown(instance, backAfter(actedBy));
        }
    }

    /// \returns When an instance whose maintenance begins at `begin` at the latest is surely back.
    [[nodiscard]] MonotonicInstant backAfter(MonotonicInstant begin) const { return begin + m_options.maintenanceTime + backMargin; }

    /// \returns Whether the former owner acted on it too short a time ago.
    [[nodiscard]] bool isBlocked(const std::string& instance) const
    {
        const auto found = m_formerActs.find(instance);
        return found != m_formerActs.end() && m_options.loop->now() < found->second + m_options.handover;
    }

    /// \returns How long an act must stand in the record: for as long as a successor must leave
    /// the instance alone, or count it as down.
    [[nodiscard]] Millis actsKept() const { return actSpread + std::max(m_options.handover, m_options.maintenanceTime + backMargin); }

    /// Records an act under the ownership's condition before it is sent: an owner that was
    /// superseded without knowing it can send none. Acts of one turn of the loop share a record.
    /// \param send Told whether the act may be sent.
    void record(const std::string& instance, std::function<void(bool)> send)
    {
        m_recentActs[instance] = m_options.loop->now();
        m_unsent.push_back(std::move(send));
        if (m_unsent.size() == 1)
            later(Millis(0), [this] { writeActs(); });
    }

    void writeActs()
    {
        const MonotonicInstant now = m_options.loop->now();
        m_actsWrittenAt = now;
        std::erase_if(m_recentActs, [&](const auto& act) { return now - act.second > actsKept(); });
        std::map<std::string, Millis> ages;
        for (const auto& [instance, at] : m_recentActs)
            ages[instance] = std::chrono::duration_cast<Millis>(now - at);
        // Under its own revision too: a record that is carried out late must not undo a newer one.
        const Transaction transaction { .expected = { m_options.ownership->condition(), { std::string(actionsKey), m_actsRevision } }, .writes = { { std::string(actionsKey), encodeActionAges(ages), 0 } }, .removals = {} };
        m_mayAct = false;
        const MonotonicInstant sentAt = m_options.loop->now();
        m_options.store->commit(transaction, inTerm<CommitResult>([this, sends = std::exchange(m_unsent, {}), sentAt](const CommitResult& result) {
            const bool fresh = m_options.loop->now() - sentAt < recordLasts;
            m_mayAct = result.outcome == StoreOutcome::Done;
            if (m_mayAct)
                m_actsRevision = result.revision;
            else
                readActsRevision();
            const bool may = fresh && mayAct();
            for (const std::function<void(bool)>& send : sends)
                send(may);
        }));
    }

    /// A record says how old acts were when it was written: it is written again while that matters,
    /// so that a successor need not take old acts for new ones.
    void refreshActs()
    {
        const bool isOld = m_options.loop->now() - m_actsWrittenAt >= actsRefresh;
        if (mayAct() && isOld && !m_recentActs.empty() && m_unsent.empty())
            writeActs();
    }

    /// Reads how far the wave has come before it goes on.
    void begin(const WaveRequest& wave)
    {
        m_options.store->read(waveKey(wave.number), inTerm<ReadResult>([this, wave](const ReadResult& result) {
            if (result.outcome != StoreOutcome::Done && result.outcome != StoreOutcome::NotFound) {
                laterAtStore([this, wave] { begin(wave); });
                return;
            }
            const std::set<std::string> done = decodeInstances(result.item.value).value_or(std::set<std::string> {});
            const auto [plan, inserted] = m_plans.emplace(wave.number, MaintenancePlan(wave, done, m_options.loop->now()));
            noteFormerMaintenance(plan->second);
            writeStatus(wave.number, false);
            planSoon();
        }));
    }

    /// Plans as soon as plans may: each list, and each act that is answered, asks for one.
    void planSoon() { planAt(std::max(m_options.loop->now(), m_planFrom)); }

    void planAt(MonotonicInstant when)
    {
        if (m_planTimer != 0 && m_planDueAt <= when)
            return;
        m_options.loop->cancel(m_planTimer);
        m_planDueAt = when;
        m_planTimer = m_options.loop->callAt(when, [self = weak_from_this(), generation = m_generation] {
            const auto impl = self.lock();
            if (impl && impl->m_active && impl->m_generation == generation)
                impl->planNow();
        });
    }

    void planNow()
    {
        m_planTimer = 0;
        const MonotonicInstant begin = m_options.loop->now();
        plan();
        refreshActs();
        // On a fleet of a thousand instances a plan takes some ms: it may take a part of the time only, whoever asks.
        const MonotonicInstant end = m_options.loop->now();
        m_planFrom = begin + planShare * (end - begin);
        planAt(std::max(end + m_options.planEvery, m_planFrom));
    }

    /// Lists the fleet again and again.
    void list()
    {
        m_options.fleet->list(inTerm<FleetList>([this, askedAt = m_options.loop->now()](const FleetList& list) {
            const WorkMeter::Piece piece(m_options.meter, WorkKind::FleetPlan);
            if (std::exchange(m_listAnswers, list.complete) != list.complete)
                m_options.log->change(list.complete ? "fleet-list-back" : "fleet-list-lost", {});
            if (list.complete)
                takeList(list.instances);
            if (list.complete)
                m_options.scheduler->noteFleet(list.instances, askedAt);
            planSoon();
            later(hasWork() ? m_options.listEveryWhileActing : m_options.listEvery, [this] { this->list(); });
        }));
    }

    [[nodiscard]] bool hasWork() const
    {
        return !m_acted.empty() || !m_options.scheduler->isSettled() || std::any_of(m_plans.begin(), m_plans.end(), [](const auto& plan) { return !plan.second.isFinished(); });
    }

    void takeList(const std::vector<FleetInstance>& instances)
    {
        for (const FleetInstance& instance : instances) {
            settleAct(instance);
            noteLives(instance);
        }
        std::erase_if(m_acted, [&](const auto& acted) { return isCaughtUp(acted.second); });
        m_list.clear();
        for (const FleetInstance& instance : instances) {
            const auto acted = m_acted.find(instance.id);
            m_list[instance.id] = acted == m_acted.end() ? instance : acted->second.instance;
        }
    }

    /// \returns Whether lists show by now what came of the act.
    [[nodiscard]] bool isCaughtUp(const Acted& acted) const { return m_options.loop->now() >= acted.until; }

    /// An act without an answer whose worker is listed as before was not carried out: the
    /// worker may have work again.
    void settleAct(const FleetInstance& instance)
    {
        const auto acted = m_acted.find(instance.id);
        if (acted == m_acted.end() || !isCaughtUp(acted->second) || acted->second.emptied.empty())
            return;
        if (instance.state == FleetState::Up && instance.worker == acted->second.emptied) {
            m_options.log->decision("instance-move-not-seen", { { "instance", instance.id }, { "worker", instance.worker } });
            setEvacuating(instance.worker, false);
        }
    }

    /// A life that the list named and names no more is over, whether its worker answers or not.
    /// One list may be older than the one before, and an entry may be missing for a while: only
    /// what lists show for longer than they lag is believed.
    void noteLives(const FleetInstance& instance)
    {
        ListedLife& life = m_lives[instance.id];
        const bool other = life.worker != instance.worker && (instance.state != FleetState::Up || !instance.worker.empty());
        const MonotonicInstant now = m_options.loop->now();
        if (life.worker.empty() || !other) {
            life = { instance.worker.empty() ? life.worker : instance.worker, std::nullopt };
            return;
        }
        if (!life.goneSince)
            life.goneSince = now;
        if (now - *life.goneSince < maxFleetListLag)
            return;
        m_options.scheduler->noteLifeUnlisted(life.worker, *life.goneSince);
        life = { instance.worker, std::nullopt };
    }

    /// Shows an instance as it is after an act until the list must have caught up.
    void noteActed(const std::string& id, const std::string& pool, FleetState state, Millis time)
    {
        FleetInstance& instance = m_list[id];
        instance.id = id;
        instance.pool = pool;
        instance.state = state;
        instance.worker.clear();
        m_acted[id] = { instance, m_options.loop->now() + time + maxFleetListLag, {} };
    }

    /// Instances that take work, by pool and kind.
    using SoundCounts = std::map<std::pair<std::string, std::string>, std::size_t>;

    /// \returns The use of the instance's worker, or null if that is not known.
    [[nodiscard]] const WorkerUse* useOf(const FleetInstance& instance) const
    {
        const auto use = m_uses.find(instance.worker);
        return use == m_uses.end() ? nullptr : &use->second;
    }

    [[nodiscard]] static bool takesWork(const WorkerUse* use) { return use && use->healthy && !use->evacuating; }

    [[nodiscard]] SoundCounts countSound() const
    {
        SoundCounts healthy;
        for (const auto& [id, instance] : m_list) {
            if (takesWork(useOf(instance)))
                ++healthy[{ instance.pool, instance.kind }];
        }
        return healthy;
    }

    /// \returns Whether tasks that need the worker's kind of instance have no other one of its pool.
    [[nodiscard]] static bool isLastOfKind(const FleetInstance& instance, const WorkerUse* use, const SoundCounts& healthy)
    {
        const auto known = healthy.find({ instance.pool, instance.kind });
        const std::size_t all = known == healthy.end() ? 0 : known->second;
        return all == (takesWork(use) ? 1U : 0U);
    }

    /// Empties a worker, or lets it have work again; the plan under way goes by that too.
    void setEvacuating(const std::string& worker, bool evacuating)
    {
        m_options.scheduler->setEvacuating(worker, evacuating);
        const auto use = m_uses.find(worker);
        if (use == m_uses.end() || use->second.evacuating == evacuating)
            return;
        use->second.evacuating = evacuating;
        use->second.evacuatingSince = m_options.loop->now();
    }

    [[nodiscard]] std::vector<MaintenanceCandidate> candidates() const
    {
        const SoundCounts healthy = countSound();
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        std::vector<MaintenanceCandidate> fleet;
        for (const auto& [id, instance] : m_list) {
            const PoolSettings* pool = configuration->pool(instance.pool);
            if (m_moving.contains(id) || m_draining.contains(id) || isBlocked(id))
                continue;
            MaintenanceCandidate candidate { .instance = id, .pool = instance.pool, .worker = {}, .reserve = pool && pool->reserve, .up = instance.state == FleetState::Up };
            if (const WorkerUse* use = useOf(instance)) {
                candidate.worker = instance.worker;
                candidate.evacuating = use->evacuating;
                candidate.attempts = use->attempts;
                candidate.up = candidate.up && use->known;
                candidate.pinned = use->pinned > 0;
                candidate.lastOfKind = candidate.pinned && isLastOfKind(instance, use, healthy);
                candidate.evacuatingSince = use->evacuatingSince;
            } else if (!candidate.reserve) {
                // A worker that is not known here may run what nobody has looked at.
                candidate.up = false;
            }
            fleet.push_back(std::move(candidate));
        }
        return fleet;
    }

    void plan()
    {
        const WorkMeter::Piece piece(m_options.meter, WorkKind::FleetPlan);
        m_uses = m_options.scheduler->uses();
        m_domains = m_options.scheduler->failureDomains();
        planWaves();
        planCapacity();
        logUse();
    }

    /// One line a second on what the instances are doing.
    void logUse()
    {
        const MonotonicInstant now = m_options.loop->now();
        if (now - m_useLoggedAt < useLogPause)
            return;
        m_useLoggedAt = now;
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        std::int64_t off = 0;
        std::int64_t away = 0;
        std::int64_t evacuating = 0;
        std::int64_t unsound = 0;
        std::int64_t open = 0;
        std::int64_t free = 0;
        for (const auto& [id, instance] : m_list) {
            const PoolSettings* pool = configuration->pool(instance.pool);
            const WorkerUse* use = useOf(instance);
            const bool isReserve = pool && pool->reserve;
            off += isReserve ? 1 : 0;
            if (isReserve)
                continue;
            if (instance.state != FleetState::Up || !use) {
                ++away;
            } else if (use->evacuating) {
                ++evacuating;
            } else if (!use->healthy) {
                ++unsound;
            } else {
                ++open;
                free += use->free.milliCpu;
            }
        }
        m_options.log->decision("fleet-use", { { "off", off }, { "away", away }, { "evacuating", evacuating }, { "unsound", unsound }, { "open", open }, { "free_mcpu_of_open", free }, { "plan_inspected", static_cast<std::int64_t>(m_capacity.inspected()) } });
    }

    /// \returns Each pool's load before its instances are counted.
    [[nodiscard]] std::map<std::string, PoolLoad> demandedLoads()
    {
        std::map<std::string, PoolDemand> demands = m_options.scheduler->demands();
        std::map<std::string, PoolLoad> loads;
        for (const PoolSettings& pool : m_options.configuration()->pools) {
            PoolLoad load { .pool = pool.name, .reserve = pool.reserve, .requirements = { { Requirement {}, RequirementLoad {} } }, .instances = {} };
            for (const auto& [requirement, demand] : demands[pool.name]) {
                const std::int64_t backlog = demand.runningBacklogMilliCpu + demand.waiting.backlogMilliCpu;
                const std::int64_t timely = demand.runningMilliCpu + demand.waiting.milliCpu - demand.runningBacklogMilliCpu;
                const bool isApart = m_options.capacity.backlogApart;
                load.requirements[requirement] = { .demandMilliCpu = std::max(isApart ? timely : timely + backlog, demand.forecastMilliCpu),
                    .backlogMilliCpu = isApart ? backlog : 0,
                    .backlogWaits = isApart && demand.waiting.backlogMilliCpu > 0,
                    .minInstances = demand.minInstances,
                    .hasWaiting = demand.waiting.milliCpu > 0 || (!isApart && demand.waiting.backlogMilliCpu > 0),
                    .largestWaiting = demand.waiting.largest };
                load.hasArrivals = load.hasArrivals || demand.forecastMilliCpu > 0;
            }
            loads[pool.name] = std::move(load);
        }
        return loads;
    }

    /// \returns An instance as capacity planning sees it. \param use Null if its worker is not known.
    [[nodiscard]] PoolInstance instanceOf(const FleetInstance& instance, const WorkerUse* use, bool reserve) const
    {
        const bool isUp = instance.state == FleetState::Up;
        const bool isSound = takesWork(use);
        PoolInstance seen { .instance = instance.id, .kind = instance.kind, .rack = instance.rack, .capacity = instance.capacity, .idleSince = std::nullopt };
        const auto draining = m_draining.find(instance.id);
        if (draining != m_draining.end())
            seen.drainingFrom = draining->second.from;
        seen.healthy = !isUp || reserve || !use || isSound || m_moving.contains(instance.id) || draining != m_draining.end();
        seen.arriving = !reserve && (!isUp || !use || m_moving.contains(instance.id) || draining != m_draining.end());
        const bool isClosed = this->isClosed(instance, use);
        // One on its way there will take no work either.
        seen.healthy = seen.healthy && (reserve || !isClosed);
        if (isOrdered(instance.id) || isBlocked(instance.id) || isClosed)
            return seen;
        if (isUp && !reserve && isSound && use->attempts > 0 && use->pinned == 0) {
            seen.drainable = instance.worker;
            seen.emptyBy = use->emptyBy;
            seen.longRunning = use->longRunning;
        }
        const bool isIdle = isUp && (reserve || (isSound && use->attempts == 0));
        if (!isIdle)
            return seen;
        const auto before = m_idleSince.find(instance.id);
        seen.idleSince = before == m_idleSince.end() ? m_options.loop->now() : before->second;
        return seen;
    }

    /// \returns The pool that the instance counts in: an instance on its way counts where it goes.
    [[nodiscard]] const std::string& destinationOf(const FleetInstance& instance) const
    {
        const auto moving = m_moving.find(instance.id);
        if (moving != m_moving.end())
            return moving->second;
        const auto draining = m_draining.find(instance.id);
        return draining == m_draining.end() ? instance.pool : draining->second.to;
    }

    [[nodiscard]] std::vector<PoolLoad> loads()
    {
        std::map<std::string, PoolLoad> loads = demandedLoads();
        std::map<std::string, MonotonicInstant> idleSince;
        for (const auto& [id, instance] : m_list) {
            const auto load = loads.find(destinationOf(instance));
            if (load == loads.end() || instance.state == FleetState::Down)
                continue;
            PoolInstance seen = instanceOf(instance, useOf(instance), load->second.reserve);
            if (seen.idleSince)
                idleSince[id] = *seen.idleSince;
            load->second.instances.push_back(std::move(seen));
        }
        m_idleSince = std::move(idleSince);
        std::vector<PoolLoad> list;
        for (auto& [name, load] : loads)
            list.push_back(std::move(load));
        return list;
    }

    /// \returns Whether an act on the instance is under way.
    [[nodiscard]] bool isOrdered(const std::string& instance) const { return m_moving.contains(instance) || m_acted.contains(instance); }

    /// \returns Acts that the platform takes now, and that can all leave while their record is fresh.
    [[nodiscard]] std::size_t mostActs()
    {
        const std::size_t left = mostActsUnderWay - std::min(m_moving.size(), mostActsUnderWay);
        return std::min(m_actBudget.available(m_options.loop->now()), left);
    }

    void planCapacity()
    {
        if (!mayAct() || m_list.empty())
            return;
        undrainClosed();
        const std::vector<PoolLoad> pools = loads();
        const std::size_t most = mostActs();
        const CapacityStep step = m_capacity.next(pools, m_options.loop->now(), most);
        m_actBudget.take(step.moves.size() + step.drains.size());
        for (const PoolLoad& pool : pools)
            logSize(pool);
        for (const std::string& instance : step.undrains)
            undrain(instance);
        for (const CapacityMove& move : step.moves)
            this->move(move);
        for (const CapacityDrain& drain : step.drains)
            this->drain(drain);
        moveDrained();
        // Half of what is left, as for other instances that go off: a rise of load must find some.
        powerOffEvacuated((most - std::min(most, step.moves.size() + step.drains.size())) / 2);
    }

    /// \returns Whether the instance's data hall is evacuated or lost. Of a lost one, workers serve that were taken back.
    [[nodiscard]] bool isClosed(const FleetInstance& instance, const WorkerUse* use) const { return !m_domains->serves(instance.dataHall) && !(use && use->healthy); }

    /// An instance of a data hall that is evacuated or lost is no help to the pool that it is emptied for.
    void undrainClosed()
    {
        std::vector<std::string> closed;
        for (const auto& [id, drain] : m_draining) {
            const auto listed = m_list.find(id);
            if (listed != m_list.end() && isClosed(listed->second, useOf(listed->second)))
                closed.push_back(id);
        }
        for (const std::string& id : closed)
            undrain(id);
    }

    /// \returns Instances of evacuated data halls on which nothing runs, whatever the pool.
    [[nodiscard]] std::vector<EmptiedInstance> emptied() const
    {
        std::vector<EmptiedInstance> list;
        if (!m_options.movesEvacuated || m_options.evacuations->requests().empty())
            return list;
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        for (const auto& [id, instance] : m_list) {
            const PoolSettings* pool = configuration->pool(instance.pool);
            const WorkerUse* use = useOf(instance);
            const bool isEmpty = instance.state == FleetState::Up && use && use->known && use->attempts == 0;
            if (isEmpty && pool && !pool->reserve && !isOrdered(id) && !isBlocked(id) && m_options.evacuations->contains(instance.dataHall))
                list.push_back({ id, instance.pool });
        }
        return list;
    }

    void powerOffEvacuated(std::size_t mostMoves)
    {
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        const auto reserve = std::find_if(configuration->pools.begin(), configuration->pools.end(), [](const PoolSettings& pool) { return pool.reserve; });
        if (reserve == configuration->pools.end())
            return;
        const std::vector<CapacityMove> moves = m_evacuationMoves.next(emptied(), reserve->name, mostMoves, m_options.loop->now());
        m_actBudget.take(moves.size());
        for (const CapacityMove& move : moves)
            this->move(move);
    }

    void drain(const CapacityDrain& drain)
    {
        m_draining[drain.instance] = drain;
        m_options.log->decision("instance-drain", { { "instance", drain.instance }, { "from", drain.from }, { "to", drain.to }, { "worker", drain.worker } });
        setEvacuating(drain.worker, true);
    }

    void undrain(const std::string& instance)
    {
        const auto found = m_draining.find(instance);
        if (found == m_draining.end())
            return;
        m_options.log->decision("instance-drain-ended", { { "instance", instance }, { "to", found->second.to } });
        setEvacuating(found->second.worker, false);
        m_draining.erase(found);
    }

    /// Moves the instances whose workers are empty by now.
    void moveDrained()
    {
        std::vector<CapacityDrain> empty;
        std::erase_if(m_draining, [&](const auto& entry) {
            const CapacityDrain& drain = entry.second;
            const auto use = m_uses.find(drain.worker);
            const auto listed = m_list.find(drain.instance);
            const bool isThere = use != m_uses.end() && listed != m_list.end() && listed->second.state == FleetState::Up && listed->second.worker == drain.worker;
            if (isThere && use->second.attempts == 0)
                empty.push_back(drain);
            return !isThere || use->second.attempts == 0;
        });
        for (const CapacityDrain& drain : empty)
            move({ drain.instance, drain.from, drain.to });
    }

    /// One line for each change of a pool's size or target.
    void logSize(const PoolLoad& pool)
    {
        const std::pair<std::uint32_t, std::uint32_t> size { static_cast<std::uint32_t>(pool.instances.size()), m_capacity.target(pool) };
        if (std::exchange(m_loggedSizes[pool.pool], size) == size)
            return;
        const auto idle = std::count_if(pool.instances.begin(), pool.instances.end(), [](const PoolInstance& instance) { return instance.idleSince.has_value(); });
        m_options.log->decision("pool-sized",
            { { "pool", pool.pool }, { "instances", std::int64_t { size.first } }, { "target", std::int64_t { size.second } }, { "idle", std::int64_t { idle } },
                { "demand_mcpu", pool.requirements.at(Requirement {}).demandMilliCpu } });
    }

    void move(const CapacityMove& move)
    {
        const std::string worker = m_list[move.instance].worker;
        m_moving[move.instance] = move.to;
        // No task may be placed there between this decision and the act.
        setEvacuating(worker, true);
        m_options.log->decision("instance-move", { { "instance", move.instance }, { "from", move.from }, { "to", move.to }, { "worker", worker } });
        record(move.instance, [this, move, worker](bool may) {
            if (may)
                sendMove(move, worker);
            else
                moved(move, worker, FleetOutcome::NotDone);
        });
    }

    void sendMove(const CapacityMove& move, const std::string& worker)
    {
        m_options.fleet->move(move.instance, move.to, { m_options.holder, m_ownership.epoch }, inTerm<FleetOutcome>([this, move, worker](const FleetOutcome& outcome) { moved(move, worker, outcome); }));
    }

    void moved(const CapacityMove& move, const std::string& worker, FleetOutcome outcome)
    {
        m_moving.erase(move.instance);
        if (outcome == FleetOutcome::Done) {
            ++counts.moved;
            noteActed(move.instance, move.to, FleetState::Moving, m_options.moveTime);
            m_options.scheduler->noteLifeOver(worker, true);
            return;
        }
        m_options.log->decision("instance-move-failed", { { "instance", move.instance }, { "outcome", std::string(nameOf(outcome)) } });
        if (outcome == FleetOutcome::Refused)
            m_capacity.noteRefused(m_list[move.instance].kind, move.to);
        if (outcome == FleetOutcome::NotDone)
            m_actBudget.drain();
        counts.unknown += outcome == FleetOutcome::Unknown ? 1 : 0;
        // An act without an answer may yet be carried out: the instance stays empty, and
        // the list will show where it is.
        noteActed(move.instance, move.from, FleetState::Moving, outcome == FleetOutcome::Unknown ? lateAct : retryBusy);
        if (outcome == FleetOutcome::Unknown)
            m_acted[move.instance].emptied = worker;
        else
            setEvacuating(worker, false);
    }

    void planWaves()
    {
        for (auto& [number, plan] : m_plans) {
            if (m_finished.contains(number))
                continue;
            if (!m_list.empty())
                noteGone(plan);
            if (plan.isFinished()) {
                finish(plan);
                continue;
            }
            if (!mayAct() || m_list.empty())
                continue;
            const MaintenanceStep step = plan.next(candidates(), m_capacity.isShort(), m_options.loop->now());
            for (const std::string& worker : step.evacuate)
                setEvacuating(worker, true);
            for (const std::string& worker : step.release) {
                m_options.log->decision("evacuation-put-off", { { "worker", worker }, { "wave", static_cast<std::int64_t>(number) } });
                setEvacuating(worker, false);
            }
            for (const std::string& instance : step.maintain)
                maintain(plan, instance);
        }
    }

    void noteGone(MaintenancePlan& plan)
    {
        for (const std::string& instance : plan.wave().instances) {
            if (!m_list.contains(instance) && !plan.done().contains(instance)) {
                m_options.log->decision("instance-gone", { { "instance", instance }, { "wave", static_cast<std::int64_t>(plan.wave().number) } });
                plan.noteGone(instance);
            }
        }
    }

    void maintain(MaintenancePlan& plan, const std::string& instance)
    {
        plan.noteOrdered(instance);
        m_actBudget.take(1);
        const std::uint64_t number = plan.wave().number;
        const std::string worker = m_list[instance].worker;
        m_options.log->decision("maintenance-ordered", { { "instance", instance }, { "wave", static_cast<std::int64_t>(number) }, { "worker", worker } });
        record(instance, [this, number, instance, worker](bool may) {
            if (may)
                sendMaintenance(number, instance, worker);
            else
                maintained(number, instance, worker, FleetOutcome::NotDone);
        });
    }

    void sendMaintenance(std::uint64_t number, const std::string& instance, const std::string& worker)
    {
        m_options.fleet->maintain(instance, number, { m_options.holder, m_ownership.epoch }, inTerm<FleetOutcome>([this, number, instance, worker](const FleetOutcome& outcome) {
            maintained(number, instance, worker, outcome);
        }));
    }

    void maintained(std::uint64_t number, const std::string& instance, const std::string& worker, FleetOutcome outcome)
    {
        const auto found = m_plans.find(number);
        if (found == m_plans.end())
            return;
        MaintenancePlan& plan = found->second;
        const MonotonicInstant now = m_options.loop->now();
        m_options.log->decision("maintenance-answered", { { "instance", instance }, { "outcome", std::string(nameOf(outcome)) } });
        switch (outcome) {
        case FleetOutcome::Done:
            ++counts.maintained;
            plan.noteBegun(instance, backAfter(now));
            noteActed(instance, m_list[instance].pool, FleetState::InMaintenance, m_options.maintenanceTime);
            m_options.scheduler->noteLifeOver(worker, true);
            writeRecord(plan);
            later(m_options.maintenanceTime + backMargin, [this] { planSoon(); });
            break;
        case FleetOutcome::NotInWave:
        case FleetOutcome::Refused:
            ++counts.refused;
            plan.noteGone(instance);
            setEvacuating(worker, false);
            break;
        case FleetOutcome::Unknown:
            ++counts.unknown;
            plan.noteMayBeDown(instance, backAfter(now));
            [[fallthrough]];
        default:
            plan.noteRefused(instance, now + retryBusy);
            break;
        }
        planSoon();
    }

    void finish(const MaintenancePlan& plan)
    {
        const std::uint64_t number = plan.wave().number;
        m_finished.insert(number);
        ++counts.wavesFinished;
        m_options.log->change("wave-finished", { { "wave", static_cast<std::int64_t>(number) } });
        writeStatus(number, true);
    }

    void writeStatus(std::uint64_t number, bool finished)
    {
        // A wave is called running only while nothing was said of it, so that this, carried out
        // late, can't take back that it is finished.
        std::vector<KeyRevision> expected { m_options.ownership->condition() };
        if (!finished)
            expected.push_back({ m_options.documents->waveStatusKey(number), 0 });
        const Transaction transaction { .expected = expected, .writes = { { m_options.documents->waveStatusKey(number), m_options.documents->formatWaveStatus(finished), 0 } }, .removals = {} };
        m_options.store->commit(transaction, inTerm<CommitResult>([this, number, finished](const CommitResult& result) {
            const bool alreadySaid = !finished && result.outcome == StoreOutcome::Conflict;
            if (result.outcome != StoreOutcome::Done && !alreadySaid && finished == m_finished.contains(number))
                laterAtStore([this, number, finished] { writeStatus(number, finished); });
        }));
    }

    /// For a successor; if this write is lost, it orders some maintenance again, which the
    /// platform knows as done.
    void writeRecord(const MaintenancePlan& plan)
    {
        const Transaction transaction { .expected = { m_options.ownership->condition() }, .writes = { { waveKey(plan.wave().number), encode(plan.done()), 0 } }, .removals = {} };
        m_options.store->commit(transaction, [](const CommitResult&) {});
    }

    FleetKeeperOptions m_options;
    StoreRetries m_storeRetries;
    bool m_active = false;
    TimerId m_planTimer = 0;
    MonotonicInstant m_planDueAt;
    MonotonicInstant m_planFrom; ///< No plan before this.
    WorkerUses m_uses; ///< When the plan under way began, with what it changed since.
    bool m_listAnswers = true;
    std::uint64_t m_generation = 0;
    Ownership m_ownership;
    bool m_mayAct = false; ///< The former owner's acts are known, and no record is under way.
    std::uint64_t m_actsRevision = 0;
    std::map<std::string, MonotonicInstant> m_formerActs; ///< When the former owner's act on an instance was over at the latest.
    MonotonicInstant m_actsWrittenAt;
    std::map<std::string, MonotonicInstant> m_recentActs; ///< When acts, the former owner's too, were asked for.
    std::vector<std::function<void(bool)>> m_unsent; ///< Acts that wait for their record.
    std::map<std::uint64_t, WaveRequest> m_waves;
    std::map<std::uint64_t, MaintenancePlan> m_plans;
    std::set<std::uint64_t> m_finished;
    std::map<std::string, FleetInstance> m_list;
    std::map<std::string, Acted> m_acted; ///< Instances that the list may show as they were.
    std::map<std::string, std::string> m_moving; ///< Instances whose move is not answered yet, and where they go.
    std::map<std::string, CapacityDrain> m_draining; ///< Instances that are emptied for another pool.
    std::map<std::string, ListedLife> m_lives; ///< By instance.
    std::map<std::string, MonotonicInstant> m_idleSince;
    std::shared_ptr<const FailureDomainStatus> m_domains; ///< As of the plan under way.
    CapacityPlan m_capacity;
    EvacuationMoves m_evacuationMoves;
    CallBudget m_actBudget; ///< For acts on instances. A drain counts when it begins.
    MonotonicInstant m_useLoggedAt;
    std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> m_loggedSizes; ///< Instances and target, by pool.
};

FleetKeeper::FleetKeeper(FleetKeeperOptions options)
    : m_impl(std::make_shared<Impl>(std::move(options)))
{
}

FleetKeeper::~FleetKeeper() = default;

void FleetKeeper::activate(const Ownership& ownership)
{
    m_impl->activate(ownership);
}

void FleetKeeper::deactivate()
{
    m_impl->deactivate();
}

void FleetKeeper::onWave(const WaveRequest& wave)
{
    m_impl->onWave(wave);
}

void FleetKeeper::retryStore()
{
    m_impl->retryStore();
}

void FleetKeeper::noteOutageOver()
{
    m_impl->noteOutageOver();
}

const FleetCounts& FleetKeeper::counts() const noexcept
{
    return m_impl->counts;
}

} // namespace lanemoor::jobs
