#include "lanemoor/jobs/owner/fleet_controller.h"

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
constexpr int planTimeDivisor = 10; // Planning takes at most a tenth of the time.
constexpr Millis useLogPause { 1'000 }; // Between two log lines on the use of the fleet.
constexpr Millis callRecordValidity { 500 }; // A call is sent within this time after its record was requested, or not at all.
/// Max time from the request of a call's record until the call reaches the platform, transit included.
constexpr Millis maxCallDelay { 700 };
constexpr std::size_t maxPendingCalls = 128; // Worth some hundred ms of responses on the few connections to the platform.
constexpr Millis callRecordRefresh { 1'000 }; // About three more writes after the last call of a burst.
constexpr Millis unansweredCallTimeout { 3'000 }; // A call without a response is settled by the list after this time.
constexpr Millis busyRetryPause { 500 }; // Pause before an instance that was busy is considered again.
/// Margin beyond the maintenance time for the transit of the call and the start of the worker.
constexpr Millis returnMargin { 150 };

} // namespace

std::string_view nameOf(EvacuationReason reason) noexcept
{
    switch (reason) {
    case EvacuationReason::None:
        return "none";
    case EvacuationReason::Drain:
        return "drain";
    case EvacuationReason::Move:
        return "move";
    case EvacuationReason::UnansweredMove:
        return "unanswered-move";
    case EvacuationReason::Wave:
        return "wave";
    case EvacuationReason::RepeatedMaintenance:
        return "repeated-maintenance";
    }
    return "";
}

class FleetController::Impl : public std::enable_shared_from_this<FleetController::Impl> {
public:
    explicit Impl(FleetControllerOptions options)
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
        m_capacity.restartObservation(m_options.loop->now());
        m_idleSince.clear();
    }

    void activate(const Ownership& ownership)
    {
        ++m_generation;
        m_options.loop->cancel(std::exchange(m_planTimer, 0));
        m_active = true;
        m_ownership = ownership;
        m_isCallRecordReady = false;
        m_previousCalls.clear();
        m_recentCalls.clear();
        m_unrecordedCalls.clear();
        readCallRecord();
        m_plans.clear();
        m_finished.clear();
        m_list.clear();
        m_overrides.clear();
        m_moving.clear();
        m_draining.clear();
        m_incarnations.clear();
        m_idleSince.clear();
        m_capacity = CapacityPlan(m_options.capacity);
        m_evacuationMoves = EvacuationMoves();
        m_callBudget = CallBudget(m_options.callsPerSecond, m_options.loop->now());
        for (const auto& [number, wave] : m_waves)
            resumeWave(wave);
        list();
        planSoon();
    }

    void deactivate()
    {
        ++m_generation;
        m_options.loop->cancel(std::exchange(m_planTimer, 0));
        m_active = false;
        m_plans.clear();
        evacuations = {};
    }

    void onWave(const WaveRequest& wave)
    {
        if (!m_waves.emplace(wave.number, wave).second)
            return;
        m_options.log->change("wave-asked", { { "wave", static_cast<std::int64_t>(wave.number) }, { "instances", static_cast<std::int64_t>(wave.instances.size()) }, { "at_once", std::int64_t { wave.maxConcurrent } } });
        if (m_active)
            resumeWave(wave);
    }

    FleetCounts counts;
    EvacuationReading evacuations;

private:
    /// A move without a response yet.
    struct PendingMove {
        std::string to;
        std::string worker; ///< Empty for an instance that is off.
    };

    /// The incarnation that the list last showed on an instance.
    struct ListedIncarnation {
        std::string worker;
        std::optional<MonotonicInstant> unlistedSince; ///< Since when lists show another incarnation or none.
    };

    /// An instance after a call, until the list must reflect it.
    struct InstanceOverride {
        FleetInstance instance;
        MonotonicInstant until;
        std::string keptEmpty; ///< The worker that the call may still end, or may have ended; empty: none.
        EvacuationReason reason = EvacuationReason::UnansweredMove; ///< Why it is kept empty.
    };

    [[nodiscard]] bool maySendCalls() const { return m_active && m_options.ownership->isHeld() && m_isCallRecordReady; }

    /// Runs `step` after `pause` if the term has not ended.
    void later(Millis pause, std::function<void()> step) { m_options.loop->callAt(m_options.loop->now() + pause, withinTerm(std::move(step))); }

    /// Runs `step`, which calls the store, after a pause or when the store is available again.
    void laterAtStore(std::function<void()> step) { m_storeRetries.runLater(storeRetry, withinTerm(std::move(step))); }

    /// \returns `step`, wrapped so that it does nothing once the term has ended.
    [[nodiscard]] std::function<void()> withinTerm(std::function<void()> step)
    {
        return [self = weak_from_this(), generation = m_generation, step = std::move(step)] {
            const auto impl = self.lock();
            if (impl && impl->m_active && impl->m_generation == generation)
                step();
        };
    }

    /// Wraps a callback so that it only runs within this term.
    template <typename Result>
    std::function<void(Result)> inTerm(std::function<void(const Result&)> callback)
    {
        return [self = weak_from_this(), generation = m_generation, callback = std::move(callback)](const Result& result) {
            const auto impl = self.lock();
            if (impl && impl->m_active && impl->m_generation == generation)
                callback(result);
        };
    }

    /// Reads the calls of the previous owner. Instances of its recent calls are left alone during the handover; all
    /// others may be changed at once.
    void readCallRecord()
    {
        m_options.store->read(std::string(actionsKey), inTerm<ReadResult>([this](const ReadResult& result) {
            if (result.outcome != StoreOutcome::Done && result.outcome != StoreOutcome::NotFound) {
                laterAtStore([this] { readCallRecord(); });
                return;
            }
            for (const auto& [instance, age] : decodeActionAges(result.item.value).value_or(std::map<std::string, Millis> {}))
                notePreviousCall(instance, age);
            for (auto& [number, plan] : m_plans)
                notePreviousMaintenance(plan);
            m_callRecordRevision = result.item.revision;
            m_isCallRecordReady = true;
            planSoon();
        }));
    }

    /// Reads the revision of the record after a write without a response: the next write must replace the current revision.
    void readCallRecordRevision()
    {
        m_options.store->read(std::string(actionsKey), inTerm<ReadResult>([this](const ReadResult& result) {
            if (result.outcome != StoreOutcome::Done && result.outcome != StoreOutcome::NotFound) {
                laterAtStore([this] { readCallRecordRevision(); });
                return;
            }
            m_callRecordRevision = result.item.revision;
            m_isCallRecordReady = true;
        }));
    }

    /// \param age Age of the call when the record was written, so a lower bound of its age now. Kept in this owner's records too, for
    /// the next owner in case this one crashes soon.
    void notePreviousCall(const std::string& instance, Millis age)
    {
        const MonotonicInstant requestedAt = m_options.loop->now() - age;
        m_previousCalls[instance] = requestedAt + maxCallDelay;
        m_recentCalls[instance] = requestedAt;
    }

    /// Instances of the previous owner's recent calls may be down for maintenance, whether or not the calls were answered.
    void notePreviousMaintenance(MaintenancePlan& plan)
    {
        for (const auto& [instance, calledBy] : m_previousCalls) {
            if (plan.wave().contains(instance))
                plan.noteMayBeDown(instance, maintenanceEndsBy(calledBy));
        }
    }

    /// \returns When an instance whose maintenance begins no later than `begin` is certainly up again.
    [[nodiscard]] MonotonicInstant maintenanceEndsBy(MonotonicInstant begin) const { return begin + m_options.maintenanceTime + returnMargin; }

    /// \returns Whether the previous owner's last call for the instance is too recent.
    [[nodiscard]] bool isBlocked(const std::string& instance) const
    {
        const auto found = m_previousCalls.find(instance);
        return found != m_previousCalls.end() && m_options.loop->now() < found->second + m_options.handover;
    }

    /// \returns How long a call must be kept in the record: as long as a successor must leave
    /// the instance alone, or count it as down.
    [[nodiscard]] Millis callRecordRetention() const { return maxCallDelay + std::max(m_options.handover, m_options.maintenanceTime + returnMargin); }

    /// Records a call before it is sent, on condition of the ownership: an owner that was
    /// superseded without noticing can't send any. Calls of one turn of the event loop share a record.
    /// \param send Receives whether the call may be sent.
    void recordCall(const std::string& instance, std::function<void(bool)> send)
    {
        m_recentCalls[instance] = m_options.loop->now();
        m_unrecordedCalls.push_back(std::move(send));
        if (m_unrecordedCalls.size() == 1)
            later(Millis(0), [this] { writeCallRecord(); });
    }

    void writeCallRecord()
    {
        const MonotonicInstant now = m_options.loop->now();
        m_callRecordWrittenAt = now;
        std::erase_if(m_recentCalls, [&](const auto& call) { return now - call.second > callRecordRetention(); });
        std::map<std::string, Millis> ages;
        for (const auto& [instance, at] : m_recentCalls)
            ages[instance] = std::chrono::duration_cast<Millis>(now - at);
        // Also conditional on its own revision: a delayed write must not undo a newer one.
        const Transaction transaction { .expected = { m_options.ownership->condition(), { std::string(actionsKey), m_callRecordRevision } }, .writes = { { std::string(actionsKey), encodeActionAges(ages), 0 } }, .removals = {} };
        m_isCallRecordReady = false;
        const MonotonicInstant sentAt = m_options.loop->now();
        m_options.store->commit(transaction, inTerm<CommitResult>([this, sends = std::exchange(m_unrecordedCalls, {}), sentAt](const CommitResult& result) {
            const bool fresh = m_options.loop->now() - sentAt < callRecordValidity;
            m_isCallRecordReady = result.outcome == StoreOutcome::Done;
            if (m_isCallRecordReady)
                m_callRecordRevision = result.revision;
            else
                readCallRecordRevision();
            const bool maySend = fresh && maySendCalls();
            for (const std::function<void(bool)>& send : sends)
                send(maySend);
        }));
    }

    /// A record holds the ages of calls at the time of writing. It is rewritten while these ages matter,
    /// so that a successor does not take old calls for recent ones.
    void refreshCallRecord()
    {
        const bool isOld = m_options.loop->now() - m_callRecordWrittenAt >= callRecordRefresh;
        if (maySendCalls() && isOld && !m_recentCalls.empty() && m_unrecordedCalls.empty())
            writeCallRecord();
    }

    /// Reads the progress of the wave before it continues.
    void resumeWave(const WaveRequest& wave)
    {
        m_options.store->read(waveKey(wave.number), inTerm<ReadResult>([this, wave](const ReadResult& result) {
            if (result.outcome != StoreOutcome::Done && result.outcome != StoreOutcome::NotFound) {
                laterAtStore([this, wave] { resumeWave(wave); });
                return;
            }
            const std::set<std::string> done = decodeInstances(result.item.value).value_or(std::set<std::string> {});
            const auto [plan, inserted] = m_plans.emplace(wave.number, MaintenancePlan(wave, done, m_options.loop->now()));
            notePreviousMaintenance(plan->second);
            // The progress of the previous owner may not have been stored.
            if (m_ownership.term > 1)
                plan->second.noteMayBeMaintained();
            writeStatus(wave.number, false);
            planSoon();
        }));
    }

    /// Plans as soon as the time share permits; requested by each list and each answered call.
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
        refreshCallRecord();
        // A plan of a fleet of a thousand instances takes some ms: its share of the time is bounded regardless of the requests.
        const MonotonicInstant end = m_options.loop->now();
        m_planFrom = begin + planTimeDivisor * (end - begin);
        planAt(std::max(end + m_options.planEvery, m_planFrom));
    }

    /// Polls the list of the fleet.
    void list()
    {
        m_options.fleet->list(inTerm<FleetList>([this, requestedAt = m_options.loop->now()](const FleetList& list) {
            const WorkMeter::Piece piece(m_options.meter, WorkKind::FleetPlan);
            if (std::exchange(m_isListAvailable, list.complete) != list.complete)
                m_options.log->change(list.complete ? "fleet-list-back" : "fleet-list-lost", {});
            if (list.complete)
                applyList(list.instances, requestedAt);
            if (list.complete)
                m_options.scheduler->noteFleet(list.instances, requestedAt);
            planSoon();
            later(hasPendingChanges() ? m_options.listEveryWithPendingChanges : m_options.listEvery, [this] { this->list(); });
        }));
    }

    [[nodiscard]] bool hasPendingChanges() const
    {
        return !m_overrides.empty() || !m_options.scheduler->isSettled() || std::any_of(m_plans.begin(), m_plans.end(), [](const auto& plan) { return !plan.second.isFinished(); });
    }

    void applyList(const std::vector<FleetInstance>& instances, MonotonicInstant requestedAt)
    {
        noteRemovedInstances(instances, requestedAt);
        for (const FleetInstance& instance : instances) {
            settleUnansweredCall(instance);
            noteListedIncarnation(instance);
        }
        std::erase_if(m_overrides, [&](const auto& instanceOverride) { return isReflected(instanceOverride.second); });
        updateEvacuations();
        m_list.clear();
        for (const FleetInstance& instance : instances) {
            const auto instanceOverride = m_overrides.find(instance.id);
            m_list[instance.id] = instanceOverride == m_overrides.end() ? instance : instanceOverride->second.instance;
        }
    }

    /// \returns Whether lists reflect the outcome of the call by now.
    [[nodiscard]] bool isReflected(const InstanceOverride& instanceOverride) const { return m_options.loop->now() >= instanceOverride.until; }

    /// If a call without a response left the listed worker unchanged, it was not carried out.
    void settleUnansweredCall(const FleetInstance& instance)
    {
        const auto instanceOverride = m_overrides.find(instance.id);
        if (instanceOverride == m_overrides.end() || !isReflected(instanceOverride->second) || instanceOverride->second.keptEmpty.empty())
            return;
        const bool isMove = instanceOverride->second.reason == EvacuationReason::UnansweredMove;
        if (isMove && instance.state == FleetState::Up && instance.worker == instanceOverride->second.keptEmpty)
            m_options.log->decision("instance-move-not-seen", { { "instance", instance.id }, { "worker", instance.worker } });
    }

    /// An incarnation that the list showed and no longer shows has ended, whether or not its worker responds.
    /// A list may be older than the previous one, and an entry may be missing for a while, so a change
    /// only counts once lists have shown it for longer than they lag.
    void noteListedIncarnation(const FleetInstance& instance)
    {
        ListedIncarnation& incarnation = m_incarnations[instance.id];
        const bool other = incarnation.worker != instance.worker && (instance.state != FleetState::Up || !instance.worker.empty());
        const MonotonicInstant now = m_options.loop->now();
        if (incarnation.worker.empty() || !other) {
            incarnation = { instance.worker.empty() ? incarnation.worker : instance.worker, std::nullopt };
            return;
        }
        if (!incarnation.unlistedSince)
            incarnation.unlistedSince = now;
        if (now - *incarnation.unlistedSince < maxFleetListLag)
            return;
        m_options.scheduler->noteIncarnationUnlisted(incarnation.worker, *incarnation.unlistedSince);
        incarnation = { instance.worker, std::nullopt };
    }

    /// Overrides the listed instance with its state after a call, until the list must reflect it.
    void overrideInstance(const std::string& id, const std::string& pool, FleetState state, Millis time)
    {
        FleetInstance& instance = m_list[id];
        instance.id = id;
        instance.pool = pool;
        instance.state = state;
        instance.worker.clear();
        m_overrides[id] = { instance, m_options.loop->now() + time + maxFleetListLag, {}, EvacuationReason::UnansweredMove };
    }

    /// Keeps the worker of an overridden instance empty for as long.
    void keepEmpty(const std::string& instance, const std::string& worker, EvacuationReason reason)
    {
        InstanceOverride& instanceOverride = m_overrides.at(instance);
        instanceOverride.keptEmpty = worker;
        instanceOverride.reason = reason;
    }

    /// Instances open for tasks, by pool and kind.
    using HealthyCounts = std::map<std::pair<std::string, std::string>, std::size_t>;

    /// \returns The use of the instance's worker, or null if it is unknown.
    [[nodiscard]] const WorkerUse* useOf(const FleetInstance& instance) const
    {
        const auto use = m_uses.find(instance.worker);
        return use == m_uses.end() ? nullptr : &use->second;
    }

    [[nodiscard]] static bool isOpenForTasks(const WorkerUse* use) { return use && use->healthy && !use->evacuating; }

    [[nodiscard]] HealthyCounts countHealthy() const
    {
        HealthyCounts healthy;
        for (const auto& [id, instance] : m_list) {
            if (isOpenForTasks(useOf(instance)))
                ++healthy[{ instance.pool, instance.kind }];
        }
        return healthy;
    }

    /// \returns Whether no other open instance of the pool has this kind, which some tasks require.
    [[nodiscard]] static bool isLastOfKind(const FleetInstance& instance, const WorkerUse* use, const HealthyCounts& healthy)
    {
        const auto known = healthy.find({ instance.pool, instance.kind });
        const std::size_t all = known == healthy.end() ? 0 : known->second;
        return all == (isOpenForTasks(use) ? 1U : 0U);
    }

    /// Has exactly the workers evacuated that something in progress needs empty. To be called after each change of what is in
    /// progress, and before tasks may be placed.
    void updateEvacuations()
    {
        for (const WorkerEvacuation& change : m_options.scheduler->setEvacuations(evacuationReasons())) {
            const auto use = m_uses.find(change.worker);
            if (use == m_uses.end())
                continue;
            use->second.evacuating = change.isEvacuating;
            use->second.evacuatingSince = m_options.loop->now();
        }
    }

    [[nodiscard]] std::vector<MaintenanceCandidate> candidates() const
    {
        const HealthyCounts healthy = countHealthy();
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        std::vector<MaintenanceCandidate> fleet;
        for (const auto& [id, instance] : m_list) {
            const PoolSettings* pool = configuration->pool(instance.pool);
            if (m_moving.contains(id) || m_draining.contains(id) || isBlocked(id))
                continue;
            MaintenanceCandidate candidate { .instance = id, .pool = instance.pool, .worker = {}, .reserve = pool && pool->reserve, .up = instance.state == FleetState::Up, .inMaintenance = instance.state == FleetState::InMaintenance && !hasPendingCall(id) };
            if (const WorkerUse* use = useOf(instance)) {
                candidate.worker = instance.worker;
                candidate.evacuating = use->evacuating;
                candidate.attempts = use->attempts;
                candidate.up = candidate.up && use->known;
                candidate.pinned = use->pinned > 0;
                candidate.lastOfKind = candidate.pinned && isLastOfKind(instance, use, healthy);
                candidate.evacuatingSince = use->evacuatingSince;
            } else if (!candidate.reserve) {
                // An unknown worker may run tasks that are not recorded here.
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
        updateEvacuations();
        readEvacuations();
        logUse();
    }

    /// \returns The workers that drains, calls and waves in progress keep empty.
    [[nodiscard]] EvacuationReasons evacuationReasons() const
    {
        EvacuationReasons reasons;
        for (const auto& [number, plan] : m_plans) {
            for (const auto& [instance, worker] : plan.workersToEvacuate())
                reasons[worker] = EvacuationReason::Wave;
        }
        for (const auto& [instance, drain] : m_draining)
            reasons[drain.worker] = EvacuationReason::Drain;
        for (const auto& [instance, instanceOverride] : m_overrides)
            reasons[instanceOverride.keptEmpty] = instanceOverride.reason;
        for (const auto& [instance, pending] : m_moving)
            reasons[pending.worker] = EvacuationReason::Move;
        reasons.erase(std::string());
        return reasons;
    }

    void readEvacuations()
    {
        const EvacuationReasons reasons = evacuationReasons();
        EvacuationReading reading;
        for (const auto& [worker, use] : m_uses) {
            if (!use.evacuating)
                continue;
            const auto reason = reasons.find(worker);
            ++reading.workers[reason == reasons.end() ? EvacuationReason::None : reason->second];
            reading.longest = std::max(reading.longest, std::chrono::duration_cast<Millis>(m_options.loop->now() - use.evacuatingSince));
        }
        evacuations = std::move(reading);
    }

    /// Logs the use of the fleet once per second.
    void logUse()
    {
        const MonotonicInstant now = m_options.loop->now();
        if (now - m_useLoggedAt < useLogPause)
            return;
        m_useLoggedAt = now;
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        std::int64_t off = 0;
        std::int64_t unavailable = 0;
        std::int64_t evacuating = 0;
        std::int64_t unhealthy = 0;
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
                ++unavailable;
            } else if (use->evacuating) {
                ++evacuating;
            } else if (!use->healthy) {
                ++unhealthy;
            } else {
                ++open;
                free += use->free.milliCpu;
            }
        }
        m_options.log->decision("fleet-use", { { "off", off }, { "away", unavailable }, { "evacuating", evacuating }, { "evacuating_without_reason", std::int64_t { evacuations.workers[EvacuationReason::None] } }, { "longest_evacuation_ms", evacuations.longest.count() }, { "unsound", unhealthy }, { "open", open }, { "free_mcpu_of_open", free }, { "plan_inspected", static_cast<std::int64_t>(m_capacity.inspected()) } });
    }

    /// \returns The load of each pool, without its instances.
    [[nodiscard]] std::map<std::string, PoolLoad> demandedLoads()
    {
        std::map<std::string, PoolDemand> demands = m_options.scheduler->demands();
        std::map<std::string, PoolLoad> loads;
        for (const PoolSettings& pool : m_options.configuration()->pools) {
            PoolLoad load { .pool = pool.name, .reserve = pool.reserve, .requirements = { { Requirement {}, RequirementLoad {} } }, .instances = {} };
            for (const auto& [requirement, demand] : demands[pool.name]) {
                const std::int64_t backlog = demand.waiting.backlogMilliCpu;
                const std::int64_t timely = demand.runningMilliCpu + demand.waiting.milliCpu;
                const bool isSeparate = m_options.capacity.separatesBacklog;
                load.requirements[requirement] = { .demandMilliCpu = std::max(isSeparate ? timely : timely + backlog, demand.forecastMilliCpu),
                    .backlogMilliCpu = isSeparate ? backlog : 0,
                    .backlogWaits = isSeparate && demand.waiting.backlogMilliCpu > 0,
                    .minInstances = demand.minInstances,
                    .hasWaiting = demand.waiting.milliCpu > 0 || (!isSeparate && demand.waiting.backlogMilliCpu > 0),
                    .largestWaiting = demand.waiting.largest };
                load.hasArrivals = load.hasArrivals || demand.forecastMilliCpu > 0;
            }
            loads[pool.name] = std::move(load);
        }
        return loads;
    }

    /// \returns The input of capacity planning for an instance. \param use Null if its worker is unknown.
    [[nodiscard]] PoolInstance instanceOf(const FleetInstance& instance, const WorkerUse* use, bool reserve) const
    {
        const bool isUp = instance.state == FleetState::Up;
        const bool isOpen = isOpenForTasks(use);
        PoolInstance poolInstance { .instance = instance.id, .kind = instance.kind, .rack = instance.rack, .capacity = instance.capacity, .idleSince = std::nullopt };
        const auto draining = m_draining.find(instance.id);
        if (draining != m_draining.end())
            poolInstance.drainingFrom = draining->second.from;
        poolInstance.healthy = !isUp || reserve || !use || isOpen || m_moving.contains(instance.id) || draining != m_draining.end();
        poolInstance.arriving = !reserve && (!isUp || !use || m_moving.contains(instance.id) || draining != m_draining.end());
        const bool isClosed = this->isClosed(instance, use);
        // An instance of a closed data hall is not open for tasks after a move either.
        poolInstance.healthy = poolInstance.healthy && (reserve || !isClosed);
        if (hasPendingCall(instance.id) || isBlocked(instance.id) || isClosed)
            return poolInstance;
        if (isUp && !reserve && isOpen && use->attempts > 0 && use->pinned == 0) {
            poolInstance.drainableWorker = instance.worker;
            poolInstance.expectedEmptyAt = use->expectedEmptyAt;
            poolInstance.longRunning = use->longRunning;
        }
        const bool isIdle = isUp && (reserve || (isOpen && use->attempts == 0));
        if (!isIdle)
            return poolInstance;
        const auto before = m_idleSince.find(instance.id);
        poolInstance.idleSince = before == m_idleSince.end() ? m_options.loop->now() : before->second;
        return poolInstance;
    }

    /// \returns The pool in which the instance counts: for a moving instance, the destination.
    [[nodiscard]] const std::string& destinationOf(const FleetInstance& instance) const
    {
        const auto moving = m_moving.find(instance.id);
        if (moving != m_moving.end())
            return moving->second.to;
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
            PoolInstance poolInstance = instanceOf(instance, useOf(instance), load->second.reserve);
            if (poolInstance.idleSince)
                idleSince[id] = *poolInstance.idleSince;
            load->second.instances.push_back(std::move(poolInstance));
        }
        m_idleSince = std::move(idleSince);
        std::vector<PoolLoad> list;
        for (auto& [name, load] : loads)
            list.push_back(std::move(load));
        return list;
    }

    /// \returns Whether a call for the instance is in progress.
    [[nodiscard]] bool hasPendingCall(const std::string& instance) const { return m_moving.contains(instance) || m_overrides.contains(instance); }

    /// \returns The number of calls that the platform accepts now and that can all be sent while their record is fresh.
    [[nodiscard]] std::size_t availableCalls()
    {
        const std::size_t left = maxPendingCalls - std::min(m_moving.size(), maxPendingCalls);
        return std::min(m_callBudget.available(m_options.loop->now()), left);
    }

    void planCapacity()
    {
        if (!maySendCalls() || m_list.empty())
            return;
        undrainClosed();
        const std::vector<PoolLoad> pools = loads();
        const std::size_t available = availableCalls();
        const CapacityStep step = m_capacity.next(pools, m_options.loop->now(), available);
        m_callBudget.consume(step.moves.size() + step.drains.size());
        for (const PoolLoad& pool : pools)
            logSize(pool);
        for (const std::string& instance : step.undrains)
            undrain(instance);
        for (const CapacityMove& move : step.moves)
            this->move(move);
        for (const CapacityDrain& drain : step.drains)
            this->drain(drain);
        moveDrained();
        // Half of the remaining calls, as for other instances that are powered off: a rise of load must find some.
        powerOffEvacuated((available - std::min(available, step.moves.size() + step.drains.size())) / 2);
    }

    /// \returns Whether the instance's data hall is evacuated or lost. Readmitted workers of a lost hall count as open.
    [[nodiscard]] bool isClosed(const FleetInstance& instance, const WorkerUse* use) const { return !m_domains->serves(instance.dataHall) && !(use && use->healthy); }

    /// An instance of a data hall that is evacuated or lost does not help the pool that it is drained for.
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

    /// \returns Instances of evacuated data halls without tasks, in all pools.
    [[nodiscard]] std::vector<EmptiedInstance> emptied() const
    {
        std::vector<EmptiedInstance> list;
        if (!m_options.movesEvacuatedInstances || m_options.evacuations->requests().empty())
            return list;
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        for (const auto& [id, instance] : m_list) {
            const PoolSettings* pool = configuration->pool(instance.pool);
            const WorkerUse* use = useOf(instance);
            const bool isEmpty = instance.state == FleetState::Up && use && use->known && use->attempts == 0;
            if (isEmpty && pool && !pool->reserve && !hasPendingCall(id) && !isBlocked(id) && m_options.evacuations->contains(instance.dataHall))
                list.push_back({ id, instance.pool });
        }
        return list;
    }

    void powerOffEvacuated(std::size_t maxMoves)
    {
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        const auto reserve = std::find_if(configuration->pools.begin(), configuration->pools.end(), [](const PoolSettings& pool) { return pool.reserve; });
        if (reserve == configuration->pools.end())
            return;
        const std::vector<CapacityMove> moves = m_evacuationMoves.next(emptied(), reserve->name, maxMoves, m_options.loop->now());
        m_callBudget.consume(moves.size());
        for (const CapacityMove& move : moves)
            this->move(move);
    }

    void drain(const CapacityDrain& drain)
    {
        m_draining[drain.instance] = drain;
        m_options.log->decision("instance-drain", { { "instance", drain.instance }, { "from", drain.from }, { "to", drain.to }, { "worker", drain.worker } });
    }

    void undrain(const std::string& instance)
    {
        const auto found = m_draining.find(instance);
        if (found == m_draining.end())
            return;
        m_options.log->decision("instance-drain-ended", { { "instance", instance }, { "to", found->second.to } });
        m_draining.erase(found);
    }

    /// Moves the drained instances whose workers are empty.
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
            if (!isThere)
                logDroppedDrain(drain, listed == m_list.end() ? FleetInstance {} : listed->second);
            return !isThere || use->second.attempts == 0;
        });
        for (const CapacityDrain& drain : empty)
            move({ drain.instance, drain.from, drain.to });
    }

    /// \param listed The instance according to the list; an empty id: not listed.
    void logDroppedDrain(const CapacityDrain& drain, const FleetInstance& listed)
    {
        m_options.log->decision("instance-drain-dropped", { { "instance", drain.instance }, { "worker", drain.worker }, { "listed", std::int64_t { !listed.id.empty() } }, { "up", std::int64_t { listed.state == FleetState::Up } }, { "listed_worker", listed.worker } });
    }

    /// Logs each change of a pool's size or target.
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
        m_moving[move.instance] = { move.to, worker };
        m_options.log->decision("instance-move", { { "instance", move.instance }, { "from", move.from }, { "to", move.to }, { "worker", worker } });
        recordCall(move.instance, [this, move, worker](bool maySend) {
            if (maySend)
                sendMove(move, worker);
            else
                onMoveAnswered(move, worker, FleetOutcome::NotDone);
        });
    }

    void sendMove(const CapacityMove& move, const std::string& worker)
    {
        m_options.fleet->move(move.instance, move.to, { m_options.holder, m_ownership.epoch }, inTerm<FleetOutcome>([this, move, worker](const FleetOutcome& outcome) { onMoveAnswered(move, worker, outcome); }));
    }

    void onMoveAnswered(const CapacityMove& move, const std::string& worker, FleetOutcome outcome)
    {
        m_moving.erase(move.instance);
        if (outcome == FleetOutcome::Done) {
            ++counts.moved;
            overrideInstance(move.instance, move.to, FleetState::Moving, m_options.moveTime);
            m_options.scheduler->noteIncarnationOver(worker, true);
            updateEvacuations();
            return;
        }
        m_options.log->decision("instance-move-failed", { { "instance", move.instance }, { "outcome", std::string(nameOf(outcome)) } });
        if (outcome == FleetOutcome::Refused)
            m_capacity.noteRefused(m_list[move.instance].kind, move.to);
        if (outcome == FleetOutcome::NotDone)
            m_callBudget.drain();
        counts.unknown += outcome == FleetOutcome::Unknown ? 1 : 0;
        // A call without a response may still be carried out: the instance stays empty, and
        // the list will show its pool.
        overrideInstance(move.instance, move.from, FleetState::Moving, outcome == FleetOutcome::Unknown ? unansweredCallTimeout : busyRetryPause);
        if (outcome == FleetOutcome::Unknown)
            keepEmpty(move.instance, worker, EvacuationReason::UnansweredMove);
        updateEvacuations();
    }

    void planWaves()
    {
        for (auto& [number, plan] : m_plans) {
            if (m_finished.contains(number))
                continue;
            if (plan.isFinished()) {
                finish(plan);
                continue;
            }
            if (!maySendCalls() || m_list.empty())
                continue;
            const MaintenanceStep step = plan.next(candidates(), m_capacity.isShort(), m_options.loop->now());
            for (const std::string& worker : step.release)
                m_options.log->decision("evacuation-put-off", { { "worker", worker }, { "wave", static_cast<std::int64_t>(number) } });
            for (const std::string& instance : step.maintain)
                maintain(plan, instance);
            updateEvacuations();
        }
    }

    void noteRemovedInstances(const std::vector<FleetInstance>& instances, MonotonicInstant requestedAt)
    {
        if (std::all_of(m_plans.begin(), m_plans.end(), [](const auto& plan) { return plan.second.isFinished(); }))
            return;
        std::set<std::string> listed;
        for (const FleetInstance& instance : instances)
            listed.insert(instance.id);
        for (auto& [number, plan] : m_plans) {
            for (const std::string& instance : plan.noteList(listed, requestedAt))
                m_options.log->decision("instance-gone", { { "instance", instance }, { "wave", static_cast<std::int64_t>(number) } });
        }
    }

    void maintain(MaintenancePlan& plan, const std::string& instance)
    {
        plan.noteRequested(instance);
        m_callBudget.consume(1);
        const std::uint64_t number = plan.wave().number;
        const std::string worker = m_list[instance].worker;
        m_options.log->decision("maintenance-ordered", { { "instance", instance }, { "wave", static_cast<std::int64_t>(number) }, { "worker", worker } });
        recordCall(instance, [this, number, instance, worker](bool maySend) {
            if (maySend)
                sendMaintenance(number, instance, worker);
            else
                onMaintenanceAnswered(number, instance, worker, FleetOutcome::NotDone);
        });
    }

    void sendMaintenance(std::uint64_t number, const std::string& instance, const std::string& worker)
    {
        m_options.fleet->maintain(instance, number, { m_options.holder, m_ownership.epoch }, inTerm<FleetOutcome>([this, number, instance, worker](const FleetOutcome& outcome) {
            onMaintenanceAnswered(number, instance, worker, outcome);
        }));
    }

    void onMaintenanceAnswered(std::uint64_t number, const std::string& instance, const std::string& worker, FleetOutcome outcome)
    {
        const auto found = m_plans.find(number);
        if (found == m_plans.end())
            return;
        MaintenancePlan& plan = found->second;
        const MonotonicInstant now = m_options.loop->now();
        m_options.log->decision("maintenance-answered", { { "instance", instance }, { "outcome", std::string(nameOf(outcome)) }, { "worker", worker }, { "repeated", std::int64_t { plan.mayBeMaintained(instance) } } });
        switch (outcome) {
        case FleetOutcome::Done:
            ++counts.maintained;
            overrideInstance(instance, m_list[instance].pool, FleetState::InMaintenance, m_options.maintenanceTime);
            // The response is the same if an earlier request ended the predecessor of this worker. The list shows which one has ended.
            if (plan.mayBeMaintained(instance))
                keepEmpty(instance, worker, EvacuationReason::RepeatedMaintenance);
            else
                m_options.scheduler->noteIncarnationOver(worker, true);
            plan.noteAccepted(instance, maintenanceEndsBy(now));
            writeWaveProgress(plan);
            later(m_options.maintenanceTime + returnMargin, [this] { planSoon(); });
            break;
        case FleetOutcome::NotInWave:
        case FleetOutcome::Refused:
            ++counts.refused;
            plan.noteRemoved(instance);
            break;
        case FleetOutcome::Unknown:
            ++counts.unknown;
            plan.noteMayBeDown(instance, maintenanceEndsBy(now));
            plan.noteRefused(instance, now);
            break;
        default:
            plan.noteRefused(instance, now + busyRetryPause);
            break;
        }
        updateEvacuations();
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
        // The status "running" is only written if the wave has none, so that a delayed write
        // can't revert "finished".
        std::vector<KeyRevision> expected { m_options.ownership->condition() };
        if (!finished)
            expected.push_back({ m_options.documents->waveStatusKey(number), 0 });
        const Transaction transaction { .expected = expected, .writes = { { m_options.documents->waveStatusKey(number), m_options.documents->formatWaveStatus(finished), 0 } }, .removals = {} };
        m_options.store->commit(transaction, inTerm<CommitResult>([this, number, finished](const CommitResult& result) {
            const bool alreadyWritten = !finished && result.outcome == StoreOutcome::Conflict;
            if (result.outcome != StoreOutcome::Done && !alreadyWritten && finished == m_finished.contains(number))
                laterAtStore([this, number, finished] { writeStatus(number, finished); });
        }));
    }

    /// Stores the progress for a successor. If this write is lost, the successor requests some maintenance again, which the
    /// platform recognises as done, and leaves it to the list which workers have ended.
    void writeWaveProgress(const MaintenancePlan& plan)
    {
        const Transaction transaction { .expected = { m_options.ownership->condition() }, .writes = { { waveKey(plan.wave().number), encode(plan.done()), 0 } }, .removals = {} };
        m_options.store->commit(transaction, [](const CommitResult&) {});
    }

    FleetControllerOptions m_options;
    StoreRetries m_storeRetries;
    bool m_active = false;
    TimerId m_planTimer = 0;
    MonotonicInstant m_planDueAt;
    MonotonicInstant m_planFrom; ///< Time of the next plan at the earliest.
    WorkerUses m_uses; ///< As of the start of the current plan, with the changes that it has made.
    bool m_isListAvailable = true;
    std::uint64_t m_generation = 0;
    Ownership m_ownership;
    bool m_isCallRecordReady = false; ///< The previous owner's calls are known, and no write of the record is in progress.
    std::uint64_t m_callRecordRevision = 0;
    std::map<std::string, MonotonicInstant> m_previousCalls; ///< Latest time at which the previous owner's call for an instance took effect.
    MonotonicInstant m_callRecordWrittenAt;
    std::map<std::string, MonotonicInstant> m_recentCalls; ///< When calls, including those of the previous owner, were requested.
    std::vector<std::function<void(bool)>> m_unrecordedCalls; ///< Calls that wait for their record.
    std::map<std::uint64_t, WaveRequest> m_waves;
    std::map<std::uint64_t, MaintenancePlan> m_plans;
    std::set<std::uint64_t> m_finished;
    std::map<std::string, FleetInstance> m_list;
    std::map<std::string, InstanceOverride> m_overrides; ///< Instances that the list may show in their previous state.
    std::map<std::string, PendingMove> m_moving; ///< By instance.
    std::map<std::string, CapacityDrain> m_draining; ///< Instances that are drained for another pool.
    std::map<std::string, ListedIncarnation> m_incarnations; ///< By instance.
    std::map<std::string, MonotonicInstant> m_idleSince;
    std::shared_ptr<const FailureDomainStatus> m_domains; ///< As of the current plan.
    CapacityPlan m_capacity;
    EvacuationMoves m_evacuationMoves;
    CallBudget m_callBudget; ///< For calls that change instances. A drain counts when it begins.
    MonotonicInstant m_useLoggedAt;
    std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> m_loggedSizes; ///< Instances and target, by pool.
};

FleetController::FleetController(FleetControllerOptions options)
    : m_impl(std::make_shared<Impl>(std::move(options)))
{
}

FleetController::~FleetController() = default;

void FleetController::activate(const Ownership& ownership)
{
    m_impl->activate(ownership);
}

void FleetController::deactivate()
{
    m_impl->deactivate();
}

void FleetController::onWave(const WaveRequest& wave)
{
    m_impl->onWave(wave);
}

void FleetController::retryStore()
{
    m_impl->retryStore();
}

void FleetController::noteOutageOver()
{
    m_impl->noteOutageOver();
}

const FleetCounts& FleetController::counts() const noexcept
{
    return m_impl->counts;
}

const EvacuationReading& FleetController::evacuations() const noexcept
{
    return m_impl->evacuations;
}

} // namespace lanemoor::jobs
