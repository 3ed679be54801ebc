#include "lanemoor/jobs/owner/job_scheduler.h"

#include "admission_controller.h"
#include "advice_client.h"
#include "command_dispatcher.h"
#include "displacement.h"
#include "evacuation.h"
#include "hall_inventory.h"
#include "hall_watch.h"
#include "health_monitor.h"
#include "lanemoor/jobs/intake/job_catalog.h"
#include "lanemoor/jobs/model/fleet_control.h"
#include "lanemoor/jobs/model/work_meter.h"
#include "lanemoor/jobs/owner/hall_evacuations.h"
#include "lanemoor/jobs/owner/worker_directory.h"
#include "lanemoor/jobs/store/store_mirror.h"
#include "owner_load.h"
#include "owner_state.h"
#include "placement_pass.h"
#include "reported_incarnations.h"
#include "status_reconciler.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Attempt numbers reserved for each term; a task has far fewer attempts in a term.
constexpr std::uint64_t attemptsPerTerm = 4'096;
/// A worker's clock may be slow by 2% during an inherited lease; the rest allows for its timer.
constexpr double leaseStretch = 1.03;
/// A command without an answer may still be executed about 6 s later, with a lease that the worker limits to 10 s by a clock
/// that may be slow by 2%.
constexpr Millis maxLateRun { 18'000 };
/// Minimum time between two passes: events within it are handled by one pass. A tenth of the minimum time from accept to
/// first start.
constexpr Millis minPassInterval { 3 };
/// A pass over a large fleet with many jobs takes some ms. Passes take at most a fifth of the time; the rest is left for
/// calls and answers.
constexpr int passIntervalFactor = 5;
/// Interval between two scans of evacuating workers. A shift of load evacuates hundreds of workers; a stop takes some hundred
/// ms, and waiting for batch tasks takes longer.
constexpr Millis evacuationInterval { 50 };
/// Maximum interval between passes, for changes that only the passage of time causes.
constexpr Millis idlePassInterval { 200 };

/// \returns Steps of an inherited job whose tasks may have started already.
std::set<StepId> possiblyStartedSteps(const JobState& job)
{
    std::set<StepId> startedSteps;
    if (!job.hasPlannedStart())
        return startedSteps;
    for (const auto& [id, step] : job.steps()) {
        if (step.idle() > 0 && job.isUnblocked(id))
            startedSteps.insert(id);
    }
    return startedSteps;
}

/// Long-running tasks with a required label need a second instance with the label to move to.
bool needsSeveralInstances(const StepSpec& step)
{
    return step.maxPerInstance > 0 || (step.longRunning && !step.requiredLabel.empty());
}

/// Adds the minimum number of instances over which the tasks of unfinished steps must be spread.
void noteSpread(const JobState& job, PoolDemand& demand)
{
    for (const auto& [id, step] : job.steps()) {
        const StepSpec& spec = job.spec(id.step);
        const std::uint32_t maxPerInstance = spec.maxPerInstance;
        const auto left = static_cast<std::uint32_t>(step.tasks.size()) - step.succeeded;
        const std::uint32_t minInstances = maxPerInstance > 0 ? (left + maxPerInstance - 1) / maxPerInstance : 1;
        if (left == 0 || !needsSeveralInstances(spec))
            continue;
        for (const Requirement& requirement : requirementsOf(spec)) {
            if (!requirement.preferred)
                demand[requirement].minInstances = std::max(demand[requirement].minInstances, minInstances);
        }
    }
}

/// Adds the usage of the attempts on a worker.
void noteRunning(const WorkerRecord& record, PoolDemand& demand)
{
    for (const auto& [requirement, used] : record.reservations.usedByRequirement())
        demand[requirement].runningMilliCpu += asMilliCpu(used, record.entry.capacity);
}

/// \returns How many instances there are of each kind, for example `a 30, b 19`.
std::string kindsText(const std::vector<FleetInstance>& instances)
{
    std::map<std::string, std::size_t> kinds;
    for (const FleetInstance& instance : instances)
        ++kinds[instance.kind];
    std::string text;
    for (const auto& [kind, count] : kinds)
        text += (text.empty() ? "" : ", ") + kind + ' ' + std::to_string(count);
    return text;
}

/// All state of one term.
struct Term {
    Term(const JobSchedulerOptions& options, const Ownership& ownership, SchedulerCounts& counts)
        : state { .options = options,
            .ownership = ownership,
            .inheritedLeaseExpiresBy = options.loop->now() + options.ownershipTime + Millis(static_cast<std::int64_t>(leaseStretch * static_cast<double>(options.workerLeaseTime.count()))),
            .forecast = LoadForecast(options.extrapolatesRises),
            .hallLosses = HallLossDetector(options.failureDomains) }
        , health(state, counts)
        , adviceClient(std::make_shared<AdviceClient>(state))
        , dispatcher(std::make_shared<CommandDispatcher>(state, health, *adviceClient, counts))
        , reconciler(state, health, *dispatcher, counts)
        , load(std::make_shared<OwnerLoad>(options, counts))
        , admission(std::make_shared<AdmissionController>(state))
    {
        // No owner precedes the first term, so no inherited task runs.
        if (ownership.term == 1)
            state.inheritedLeaseExpiresBy = options.loop->now();
    }

    void close()
    {
        load->close();
        admission->close();
        dispatcher->close();
        adviceClient->close();
        for (auto& [id, worker] : state.workers) {
            if (worker.session)
                worker.session->close();
        }
        state.writer.reset();
    }

    OwnerState state;
    HealthMonitor health;
    std::shared_ptr<AdviceClient> adviceClient;
    std::shared_ptr<CommandDispatcher> dispatcher;
    StatusReconciler reconciler;
    std::shared_ptr<OwnerLoad> load;
    std::shared_ptr<AdmissionController> admission;
    /// Number of listed instances that may run tasks and have no known worker; unset until the list was read in this
    /// term.
    std::optional<std::uint32_t> unknownInstances;
    bool isInheritedSettled = false; ///< The probations that previous owners left are settled as far as possible.
    ReportedIncarnations reportedIncarnations;
    std::set<std::string> workersToEvacuate; ///< Known or not.
    std::set<std::string> unreportedWorkers; ///< Workers that may run inherited tasks and have not reported yet.
};

} // namespace

class JobScheduler::Impl {
public:
    explicit Impl(JobSchedulerOptions options)
        : m_options(std::move(options))
    {
    }

    void activate(const Ownership& ownership)
    {
        deactivate();
        ++counts.terms;
        m_term = std::make_shared<Term>(m_options, ownership, counts);
        OwnerState& state = m_term->state;
        state.requestPass = [this] { requestPass(); };
        state.beginSession = [this](WorkerRecord& worker, std::int64_t startedAt) { beginSession(worker, startedAt); };
        state.writer = std::make_unique<ProgressWriter>(*m_options.loop, *m_options.store, *m_options.mirror, m_options.ownership->condition(),
            ProgressSource { .read = [this](const std::string& id) { return progressOf(id); },
                .mayWrite = [this] { return m_options.ownership->isHeld(); },
                .superseded = [this] { m_options.ownership->noteSuperseded(); },
                .meter = m_options.meter });
        state.inheritedFailures.reset(m_options.directory->poolsWithRecentEnds());
        for (const auto& [id, entry] : m_options.catalog->all())
            load(id, entry, ownership.term > 1);
        m_options.directory->dropExpired();
        for (const auto& [id, entry] : m_options.directory->all()) {
            if (isPoolConfigured(entry))
                addWorker(entry);
        }
        m_options.log->change("ownership-taken",
            { { "epoch", static_cast<std::int64_t>(ownership.epoch) }, { "term", static_cast<std::int64_t>(ownership.term) }, { "jobs", static_cast<std::int64_t>(state.jobs.size()) },
                { "workers", static_cast<std::int64_t>(state.workers.size()) } });
        m_term->load->start();
        m_term->admission->start();
        requestPass();
    }

    void deactivate()
    {
        if (!m_term)
            return;
        m_options.log->change("ownership-lost", { { "epoch", static_cast<std::int64_t>(m_term->state.ownership.epoch) } });
        m_term->close();
        // Functions of the term may still be on the call stack.
        m_options.loop->callAt(m_options.loop->now(), [old = std::move(m_term)] {});
        m_term.reset();
    }

    [[nodiscard]] bool isActive() const { return m_term != nullptr; }

    void onJobChanged(const std::string& id)
    {
        if (!m_term)
            return;
        const CatalogEntry* entry = m_options.catalog->find(id);
        if (!entry || !entry->record)
            return;
        OwnerJob* job = m_term->state.job(id);
        if (!job) {
            load(id, *entry, false);
            noteArrival(id);
            requestPass();
            return;
        }
        if (entry->cancelled && !isFinal(job->state.status()))
            cancel(*job);
    }

    void onWorkerChanged(const std::string& id)
    {
        if (!m_term)
            return;
        const auto found = m_options.directory->all().find(id);
        if (found == m_options.directory->all().end())
            return;
        WorkerRecord* record = m_term->state.worker(id);
        if (!record) {
            if (isPoolConfigured(found->second))
                addWorker(found->second);
            return;
        }
        noteEntry(*record, found->second);
        requestPass();
    }

    void onConfigurationChanged()
    {
        if (!m_term)
            return;
        for (const auto& [id, entry] : m_options.directory->all()) {
            if (entry.listed && !m_term->state.worker(id) && isPoolConfigured(entry))
                addWorker(entry);
        }
        m_term->state.applyConfiguration();
        requestPass();
    }

    [[nodiscard]] UnsavedChanges unsaved() const { return m_term && m_term->state.writer ? m_term->state.writer->unsaved() : UnsavedChanges {}; }

    void noteDemand(const EntryDemand& demand)
    {
        if (!m_term || demand.refused == 0)
            return;
        const std::uint64_t work = demand.workMillis * demand.refused / (std::uint64_t { demand.refused } + demand.admitted);
        m_term->state.forecast.noteRefused(demand.queue, demand.refused, work, m_options.loop->now());
    }

    void onEvacuationsChanged()
    {
        if (!m_term)
            return;
        for (auto& [id, record] : m_term->state.workers)
            updateHallEvacuated(record);
        requestPass();
    }

    void requestPass()
    {
        if (!m_term)
            return;
        schedulePass(std::max(m_options.loop->now(), m_earliestPassAt));
    }

    [[nodiscard]] WorkerUses uses() const
    {
        WorkerUses uses;
        if (!m_term)
            return uses;
        uses.reserve(m_term->state.workers.size());
        const MonotonicInstant now = m_options.loop->now();
        for (const auto& [id, record] : m_term->state.workers) {
            WorkerUse use { .free = record.free(), .attempts = static_cast<std::uint32_t>(record.reservations.size()), .evacuating = record.evacuating, .evacuatingSince = record.evacuatingSince };
            use.longRunning = record.reservations.longRunningTasks();
            use.pinned = record.reservations.pinnedTasks();
            use.expectedEmptyAt = record.reservations.expectedBatchEnd();
            use.known = record.session->hasReportedAll() || now >= record.session->leaseExpiresBy();
            use.healthy = record.listed && !record.entry.draining && record.isHallOpen() && record.session->hasAnswered() && !record.session->isUnresponsive() && !record.session->hasIncarnationEnded() && !record.health.isEjected(now);
            uses.emplace(id, use);
        }
        return uses;
    }

    [[nodiscard]] std::shared_ptr<const FailureDomainStatus> failureDomains() const
    {
        FailureDomainStatus status = m_term ? m_term->state.hallLosses.status(m_options.loop->now()) : FailureDomainStatus {};
        noteEvacuations(status, m_options.evacuations->requests());
        return std::make_shared<const FailureDomainStatus>(std::move(status));
    }

    [[nodiscard]] std::vector<HallReport> closedHalls() const
    {
        return m_term ? HallInventory(m_term->state, *failureDomains()).halls() : std::vector<HallReport> {};
    }

    std::map<std::string, PoolDemand> demands()
    {
        if (!m_term)
            return {};
        OwnerState& state = m_term->state;
        state.demands = demandsNow();
        updateLabelDemand(state);
        return state.demands;
    }

    std::vector<WorkerEvacuation> setEvacuations(const EvacuationReasons& reasons)
    {
        std::vector<WorkerEvacuation> changes;
        if (!m_term)
            return changes;
        const auto set = [&](const std::string& worker, bool isEvacuating, std::string_view reason) {
            WorkerRecord* record = m_term->state.worker(worker);
            if (!record || record->evacuating == isEvacuating)
                return;
            record->evacuating = isEvacuating;
            record->evacuatingSince = m_options.loop->now();
            m_options.log->decision("worker-evacuating", { { "worker", worker }, { "on", std::int64_t { isEvacuating } }, { "reason", std::string(reason) }, { "attempts", static_cast<std::int64_t>(record->reservations.size()) } });
            changes.push_back({ worker, isEvacuating });
        };
        for (const std::string& worker : m_term->workersToEvacuate) {
            if (!reasons.contains(worker))
                set(worker, false, {});
        }
        m_term->workersToEvacuate.clear();
        for (const auto& [worker, reason] : reasons) {
            set(worker, true, nameOf(reason));
            m_term->workersToEvacuate.insert(m_term->workersToEvacuate.end(), worker);
        }
        if (!changes.empty())
            requestPass();
        return changes;
    }

    void noteFleet(const std::vector<FleetInstance>& instances, MonotonicInstant requestedAt)
    {
        if (!m_term)
            return;
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        const bool first = !m_term->unknownInstances;
        m_term->state.noteInstances(instances);
        addListedWorkers(instances);
        std::uint32_t unknown = 0;
        for (const FleetInstance& instance : instances) {
            const PoolSettings* pool = configuration->pool(instance.pool);
            const bool runs = instance.state == FleetState::Up && !(pool && pool->reserve);
            // While its entry is missing from the store, the instance may be listed without an incarnation.
            unknown += runs && !m_term->state.worker(instance.worker) ? 1 : 0;
        }
        m_term->unknownInstances = unknown;
        noteReportedIncarnations(instances, requestedAt, *configuration);
        endUnlistedIncarnations();
        reopenListedWorkers(instances, requestedAt);
        if (first)
            m_options.log->change("fleet-listed", { { "instances", static_cast<std::int64_t>(instances.size()) }, { "kinds", kindsText(instances) }, { "unknown", std::int64_t { unknown } }, { "unmet", static_cast<std::int64_t>(m_term->unreportedWorkers.size()) } });
        requestPass();
    }

    void noteIncarnationOver(const std::string& worker, bool ordered = false)
    {
        WorkerRecord* record = m_term ? m_term->state.worker(worker) : nullptr;
        if (!record || !record->session)
            return;
        record->isEndOrdered = ordered;
        record->session->noteIncarnationOver();
    }

    void noteIncarnationUnlisted(const std::string& worker, MonotonicInstant since)
    {
        const WorkerRecord* record = m_term ? m_term->state.worker(worker) : nullptr;
        const bool mayMeanPrevious = record && !record->previousStarts.empty() && record->knownSince + maxFleetListLag >= since;
        if (!mayMeanPrevious)
            noteIncarnationOver(worker);
    }

    void whenStored(std::function<void()> stored)
    {
        if (m_term && m_term->state.writer)
            m_term->state.writer->whenStored(std::move(stored));
        else
            stored();
    }

    /// \returns Whether every worker that may run inherited tasks has reported or has ended.
    bool isSettled()
    {
        OwnerState& state = m_term->state;
        std::erase_if(m_term->unreportedWorkers, [&](const std::string& id) { return state.workers.contains(id) && !isUnreported(id); });
        // The expiry of inherited leases does not void ends that a partial report has left out.
        if (state.now() >= state.inheritedLeaseExpiresBy)
            return std::none_of(m_term->unreportedWorkers.begin(), m_term->unreportedWorkers.end(), [&](const std::string& id) { return hasUnreadEnds(id); });
        return m_term->unknownInstances == 0U && m_term->unreportedWorkers.empty();
    }

    [[nodiscard]] std::optional<std::vector<StepReport>> report(const std::string& id) const
    {
        const OwnerJob* job = m_term ? m_term->state.job(id) : nullptr;
        if (!job)
            return std::nullopt;
        std::vector<StepReport> reports;
        for (const auto& [step, state] : job->state.steps())
            reports.push_back(reportOf(job->state, step, state));
        const std::shared_ptr<const FailureDomainStatus> status = failureDomains();
        const HallInventory inventory(m_term->state, *status);
        for (StepReport& step : reports)
            step.closedHalls = inventory.closedFor(step.attempts, step.wait.has_value());
        return reports;
    }

    [[nodiscard]] std::vector<OrganisationReport> organisations() const
    {
        std::vector<OrganisationReport> reports;
        if (!m_term)
            return reports;
        const std::map<std::string, OrganisationAccount>& accounts = m_term->state.organisations.all();
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        std::set<std::string> names;
        for (const OrganisationSettings& organisation : configuration->organisations.all())
            names.insert(organisation.name);
        for (const auto& [name, account] : accounts)
            names.insert(name);
        for (const std::string& name : names) {
            OrganisationReport& report = reports.emplace_back(OrganisationReport { .name = name });
            if (const auto account = accounts.find(name); account != accounts.end()) {
                report.used = account->second.used;
                report.heldTasks = account->second.heldTasks;
                report.beyondRate = account->second.beyondRate;
            }
            if (const OrganisationSettings* organisation = configuration->organisations.find(name)) {
                report.quota = organisation->quota;
                report.weight = organisation->weight;
            }
        }
        return reports;
    }

    [[nodiscard]] std::vector<WorkerReport> workers() const { return m_term ? m_term->health.reports() : std::vector<WorkerReport>(); }

    [[nodiscard]] std::map<std::string, std::uint32_t> ejectedByPool() const { return m_term ? m_term->health.ejectedByPool() : std::map<std::string, std::uint32_t>(); }

    SchedulerCounts counts;

private:
    [[nodiscard]] std::map<std::string, PoolDemand> demandsNow() const
    {
        std::map<std::string, PoolDemand> demands;
        const OwnerState& state = m_term->state;
        const MonotonicInstant now = m_options.loop->now();
        for (const auto& [pool, classes] : m_waiting) {
            for (const auto& [requirement, waiting] : classes)
                demands[pool][requirement].waiting = waiting;
        }
        for (const auto& [id, record] : state.workers)
            noteRunning(record, demands[record.entry.pool]);
        for (const auto& [id, job] : state.spreadJobs) {
            if (!isFinal(job->state.status()))
                noteSpread(job->state, demands[job->pool]);
        }
        for (const QueueSettings& queue : state.configuration()->queues) {
            for (const auto& [requirement, milliCpu] : state.forecast.milliCpuByClass(queue.name, now))
                demands[queue.pool][requirement].forecastMilliCpu += milliCpu;
        }
        return demands;
    }

    /// Updates the demand level of each required label, which keeps other tasks off scarce instances.
    static void updateLabelDemand(OwnerState& state)
    {
        state.labelDemand.clear();
        for (const auto& [pool, classes] : state.demands) {
            for (const auto& [requirement, demand] : classes) {
                if (requirement.label.empty() || requirement.preferred)
                    continue;
                std::int64_t supply = 0;
                for (const auto& [id, record] : state.workers)
                    supply += record.entry.pool == pool && record.listed && hasLabel(record.entry, requirement.label) ? record.entry.capacity.milliCpu : 0;
                state.labelDemand[{ pool, requirement.label }] = labelDemandLevel(std::max(demand.runningMilliCpu + demand.waiting.milliCpu, demand.forecastMilliCpu), supply);
            }
        }
    }

    [[nodiscard]] StepReport reportOf(const JobState& job, const StepId& id, const StepState& step) const
    {
        StepReport report { .occurrence = id.occurrence, .step = id.step, .tasks = static_cast<std::uint32_t>(step.tasks.size()), .succeeded = step.succeeded, .blocked = !job.isUnblocked(id), .attempts = {}, .suspects = {}, .wait = std::nullopt };
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            if (step.tasks[i].suspectedCrashes() > 0)
                report.suspects.push_back({ .task = i, .workersLost = step.tasks[i].suspectedCrashes(), .confirmedCrashes = step.tasks[i].crashes.confirmed, .failedPermanently = step.tasks[i].failedPermanently });
            if (const std::optional<LiveAttempt>& live = step.tasks[i].live)
                report.attempts.push_back({ .task = i, .attempt = live->number, .worker = live->worker, .phase = std::string(nameOf(live->phase)) });
        }
        const auto waiting = m_term->state.waits.find({ job.id(), id });
        if (waiting != m_term->state.waits.end() && step.idle() > 0)
            report.wait = waiting->second.wait;
        return report;
    }

    void load(const std::string& id, const CatalogEntry& entry, bool inherited)
    {
        if (!entry.record || isFinal(entry.progress.status))
            return;
        OwnerState& state = m_term->state;
        const std::uint64_t base = (state.ownership.term - 1) * attemptsPerTerm;
        auto [place, inserted] = state.jobs.emplace(id, OwnerJob { .state = JobState(id, entry.record, entry.progress, base), .inherited = inherited });
        OwnerJob& job = place->second;
        state.individualJobs.emplace(id, &job);
        state.noteStartable(job);
        const std::vector<StepSpec>& steps = job.state.record().spec.steps;
        if (std::any_of(steps.begin(), steps.end(), needsSeveralInstances))
            state.spreadJobs.emplace(job.state.id(), &job);
        job.account = state.accountOf(*entry.record);
        const Millis age = m_options.loop->timeOfDay() - entry.record->acceptedAt;
        state.applyConfiguration(job);
        if (!job.policy)
            m_options.log->decision("job-policy-unknown", { { "job", id }, { "queue", entry.record->queue } });
        job.criticalPath = criticalPathDuration(entry.record->spec);
        job.objective = state.now() - age + job.policy.value_or(JobPolicy {}).objective(job.criticalPath);
        m_term->admission->noteArrival(job);
        if (inherited) {
            job.state.openOccurrences(m_options.loop->timeOfDay());
            job.possiblyStartedBefore = possiblyStartedSteps(job.state);
            m_term->reconciler.crashes().load(job);
        }
        if (entry.cancelled)
            cancel(job);
    }

    /// Adds a new job to the load forecast, as far as its organisation's quota allows, and charges it to the organisation's
    /// rate.
    void noteArrival(const std::string& id)
    {
        OwnerJob* job = m_term->state.job(id);
        if (!job)
            return;
        const JobRecord& record = job->state.record();
        const MonotonicInstant now = m_options.loop->now();
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        const OrganisationSettings* organisation = job->account ? configuration->organisations.find(record.organisation) : nullptr;
        m_term->state.forecast.noteArrival(record.queue, record.spec, now, organisation ? shareWithinQuota(*job->account, organisation->quota, record.spec) : 1);
        if (!organisation)
            return;
        job->beyondRate = !job->account->rate.tryConsume(organisation->weight, now);
        job->account->beyondRate += job->beyondRate ? 1 : 0;
    }

    void cancel(OwnerJob& job)
    {
        m_term->state.endWait(job);
        job.state.cancel();
        ++counts.jobsCancelled;
        m_options.log->decision("job-cancelled", { { "job", job.state.id() }, { "running", static_cast<std::int64_t>(job.state.liveAttempts().size()) } });
        m_term->state.store(job.state.id());
        m_term->dispatcher->stopAll(job);
    }

    /// An entry whose pool is not in the configuration may come from another writer, and calls to its address could reach an
    /// unrelated process.
    [[nodiscard]] bool isPoolConfigured(const DirectoryEntry& entry) const { return m_options.configuration()->pool(entry.worker.pool) != nullptr; }

    /// An incarnation that the platform lists is a worker even if its pool is not configured, and may run tasks of an earlier owner.
    void addListedWorkers(const std::vector<FleetInstance>& instances)
    {
        for (const FleetInstance& instance : instances) {
            const auto entry = m_options.directory->all().find(instance.worker);
            if (entry != m_options.directory->all().end() && entry->second.listed && !isPoolConfigured(entry->second) && !m_term->state.worker(instance.worker))
                addWorker(entry->second);
        }
    }

    void addWorker(const DirectoryEntry& entry)
    {
        WorkerRecord& record = m_term->state.workers[entry.worker.id];
        record.entry = entry.worker;
        record.listed = entry.listed;
        record.knownSince = entry.knownSince;
        record.evacuating = m_term->workersToEvacuate.contains(entry.worker.id);
        record.evacuatingSince = m_options.loop->now();
        m_term->state.noteWorkersChanged();
        beginSession(record, entry.worker.startedAt);
    }

    void updateHallEvacuated(WorkerRecord& record) const { record.hallEvacuated = m_options.evacuations->contains(record.entry.dataHall); }

    void beginSession(WorkerRecord& record, std::int64_t startedAt)
    {
        OwnerState& state = m_term->state;
        updateHallEvacuated(record);
        record.incarnation = ++state.lastIncarnation;
        WorkerSessionOptions options { .epoch = state.ownership.epoch,
            .inheritedLeaseExpiresBy = state.inheritedLeaseExpiresBy,
            .leaseTime = m_options.workerLeaseTime,
            .maySendCommands = [this] { return m_options.ownership->isHeld(); },
            .overdueAfter = [this] { return m_term ? m_term->state.responses.overdueAfter() : ResponseTime::maxOverdue; } };
        // A command to a previous incarnation may have reached this one, with a lease on the previous incarnation's clock.
        if (!record.previousStarts.empty())
            options.inheritedLeaseExpiresBy = std::max(options.inheritedLeaseExpiresBy, state.now() + maxLateRun);
        record.session = std::make_shared<WorkerSession>(*m_options.loop, *m_options.workers, WorkerIncarnation { record.entry.id, record.entry.address, startedAt, record.entry.dataHall }, std::move(options), m_term->reconciler);
        record.session->start();
        // Also a worker whose entry arrives late: its tasks may have been running while the entry was missing.
        m_term->unreportedWorkers.insert(record.entry.id);
    }

    /// Updates a worker from its entry. The entry of a previous incarnation may arrive after the first report of the new one.
    void noteEntry(WorkerRecord& record, const DirectoryEntry& entry) const
    {
        record.listed = entry.listed;
        const std::int64_t startedAt = entry.worker.startedAt;
        if (startedAt != 0 && record.previousStarts.contains(startedAt))
            return;
        if (record.entry.pool != entry.worker.pool)
            m_term->state.noteWorkersChanged();
        record.entry = entry.worker;
        updateHallEvacuated(record);
        if (record.session->incarnation().startedAt != 0 && !record.isEntryOfIncarnation())
            record.session->noteRestart(startedAt);
    }

    std::optional<ProgressRecord> progressOf(const std::string& id)
    {
        OwnerJob* job = m_term ? m_term->state.job(id) : nullptr;
        if (!job)
            return std::nullopt;
        return job->state.progress();
    }

    void schedulePass(MonotonicInstant when)
    {
        if (m_passTimer != 0 && m_passAt <= when)
            return;
        m_options.loop->cancel(m_passTimer);
        m_passAt = when;
        m_passTimer = m_options.loop->callAt(when, [this] {
            m_passTimer = 0;
            if (m_term)
                pass();
        });
    }

    void pass()
    {
        const WorkMeter::Piece piece(m_options.meter, WorkKind::Placement);
        const std::shared_ptr<Term> term = m_term;
        ++counts.passes;
        const MonotonicInstant begin = m_options.loop->now();
        m_earliestPassAt = begin + minPassInterval;
        HallWatch(term->state).run();
        // Cancellations must take effect within 3 s, so no task starts on a replica of the jobs older than
        // `maxReplicaAgeForStarts`. An idle watch is answered every second.
        const bool areCancelsCurrent = term->state.areCancelsCurrent();
        noteReplica(areCancelsCurrent);
        if (!m_options.ownership->isHeld() || !areCancelsCurrent || !m_options.evacuations->isConfirmed()) {
            ++counts.heldPasses;
            schedulePass(begin + idlePassInterval);
            return;
        }
        if (begin >= term->state.nextEvacuationAt) {
            term->state.nextEvacuationAt = begin + evacuationInterval;
            Evacuation(term->state, *term->dispatcher).run();
        }
        settleInherited();
        term->health.run();
        PlacementPass placement(term->state, *term->dispatcher, *term->adviceClient, [this] { return isSettled(); });
        const std::optional<MonotonicInstant> nextPassAt = placement.run();
        m_waiting = placement.waiting();
        counts.sitesInspected += placement.sitesInspected();
        counts.jobsInspected += placement.jobsInspected();
        if (term != m_term)
            return;
        Displacement(term->state, *term->dispatcher).run();
        if (begin >= m_nextCleanupAt) {
            m_nextCleanupAt = begin + idlePassInterval;
            dropFinished();
            dropEndedWorkers();
        }
        const MonotonicInstant end = m_options.loop->now();
        m_earliestPassAt = std::max(m_earliestPassAt, begin + passIntervalFactor * (end - begin));
        schedulePass(std::max(m_earliestPassAt, nextPassAt ? std::min(*nextPassAt, end + idlePassInterval) : end + idlePassInterval));
    }

    /// Settles the probations that previous owners left, before the tasks start again.
    void settleInherited()
    {
        if (m_term->isInheritedSettled || !isSettled())
            return;
        m_term->isInheritedSettled = true;
        m_term->reconciler.crashes().noteUnansweredWorkers();
        m_term->reconciler.crashes().settleUnknownIncarnations(m_term->unknownInstances == 0U && m_term->unreportedWorkers.empty());
    }

    /// Logs when starts begin to wait for a newer replica of the jobs, and when they resume.
    void noteReplica(bool isFresh)
    {
        if (std::exchange(m_isReplicaFresh, isFresh) == isFresh)
            return;
        const auto age = std::chrono::duration_cast<Millis>(m_options.loop->now() - m_options.mirror->freshAt());
        m_options.log->change(isFresh ? "copy-new-again" : "copy-too-old", { { "copy_age_ms", std::int64_t { age.count() } } });
    }

    /// \returns Whether a worker has not yet reported which inherited tasks it runs, and which have ended.
    [[nodiscard]] bool isUnreported(const std::string& id) const
    {
        const auto found = m_term->state.workers.find(id);
        return found != m_term->state.workers.end() && !found->second.session->hasReportedAll() && !found->second.session->hasIncarnationEnded();
    }

    /// \returns Whether a worker under lease has reported only a part of the ends of inherited tasks.
    [[nodiscard]] bool hasUnreadEnds(const std::string& id) const
    {
        const auto found = m_term->state.workers.find(id);
        return found != m_term->state.workers.end() && found->second.session->hasAnswered() && isUnreported(id) && m_options.loop->now() < found->second.session->leaseExpiresBy();
    }

    /// An incarnation that a complete list does not name runs nowhere, if it was known for longer than lists lag.
    void noteReportedIncarnations(const std::vector<FleetInstance>& instances, MonotonicInstant requestedAt, const ServiceConfiguration& configuration)
    {
        ReportedIncarnations& incarnations = m_term->reportedIncarnations;
        incarnations.note(instances, configuration);
        for (auto& [id, record] : m_term->state.workers) {
            if (incarnations.names(id))
                record.unlistedSince.reset();
            else if (incarnations.isComplete() && !record.unlistedSince && requestedAt - record.knownSince >= maxFleetListLag)
                record.unlistedSince = requestedAt;
        }
    }

    /// Ends unresponsive incarnations that complete lists do not name. This is the only proof of the end of an incarnation that no
    /// list ever named.
    void endUnlistedIncarnations()
    {
        std::vector<std::string> ended;
        for (const auto& [id, record] : m_term->state.workers) {
            if (!record.unlistedSince || record.session->hasIncarnationEnded())
                continue;
            const bool hasEnded = !record.session->hasAnswered() || (record.session->isUnresponsive() && m_options.loop->now() - *record.unlistedSince >= maxFleetListLag);
            if (hasEnded)
                ended.push_back(id);
        }
        for (const std::string& id : ended)
            noteIncarnationOver(id);
    }

    /// Opens a session with each worker that its entry and a later list show, although its incarnation was taken for ended: otherwise it
    /// would get no tasks until the end of the term.
    void reopenListedWorkers(const std::vector<FleetInstance>& instances, MonotonicInstant requestedAt)
    {
        for (const FleetInstance& instance : instances) {
            WorkerRecord* record = instance.state == FleetState::Up ? m_term->state.worker(instance.worker) : nullptr;
            if (!record || !record->listed || !record->session->hasIncarnationEnded() || requestedAt - record->session->endedAt() < maxFleetListLag)
                continue;
            ++counts.reopenedWorkers;
            m_options.log->change("worker-reopened", { { "worker", instance.worker }, { "instance", instance.id }, { "end_ordered", std::int64_t { record->isEndOrdered } } });
            record->isEndOrdered = false;
            record->isEndAttributed = false;
            record->unlistedSince.reset();
            beginSession(*record, record->session->incarnation().startedAt);
        }
    }

    /// Drops jobs that have ended, are stored, and have no live attempt.
    void dropFinished()
    {
        OwnerState& state = m_term->state;
        std::erase_if(state.waits, [&](const auto& entry) { return !state.jobs.contains(entry.first.first); });
        for (auto next = state.individualJobs.begin(); next != state.individualJobs.end();) {
            OwnerJob& job = *(next++)->second;
            if (!isFinal(job.state.status()))
                continue;
            const CatalogEntry* known = m_options.catalog->find(job.state.id());
            if (known && isFinal(known->progress.status) && job.state.liveAttempts().empty())
                state.removeJob(job);
        }
    }

    void dropEndedWorkers()
    {
        const std::size_t dropped = std::erase_if(m_term->state.workers, [&](const auto& entry) {
            const WorkerRecord& record = entry.second;
            const bool ended = record.session->hasIncarnationEnded() || m_options.loop->now() >= record.session->leaseExpiresBy();
            const bool isDropped = !record.listed && ended && record.reservations.empty() && (record.session->hasIncarnationEnded() || record.session->isUnresponsive());
            if (isDropped)
                m_term->state.hallLosses.removeWorker(entry.first);
            return isDropped;
        });
        if (dropped > 0)
            m_term->state.noteWorkersChanged();
        if (m_term->isInheritedSettled)
            m_term->reconciler.crashes().settleUnknownIncarnations(false);
    }

    JobSchedulerOptions m_options;
    std::shared_ptr<Term> m_term;
    PlacementPass::Waiting m_waiting;
    bool m_isReplicaFresh = true;
    TimerId m_passTimer = 0;
    MonotonicInstant m_passAt;
    MonotonicInstant m_earliestPassAt; ///< Earliest time of the next pass.
    MonotonicInstant m_nextCleanupAt; ///< Time of the next removal of ended jobs and workers.
};

JobScheduler::JobScheduler(JobSchedulerOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

JobScheduler::~JobScheduler() = default;

void JobScheduler::activate(const Ownership& ownership)
{
    m_impl->activate(ownership);
}

void JobScheduler::deactivate()
{
    m_impl->deactivate();
}

bool JobScheduler::isActive() const noexcept
{
    return m_impl->isActive();
}

void JobScheduler::onJobChanged(const std::string& id)
{
    m_impl->onJobChanged(id);
}

void JobScheduler::onWorkerChanged(const std::string& id)
{
    m_impl->onWorkerChanged(id);
}

void JobScheduler::onEvacuationsChanged()
{
    m_impl->onEvacuationsChanged();
}

void JobScheduler::onConfigurationChanged()
{
    m_impl->onConfigurationChanged();
}

WorkerUses JobScheduler::uses() const
{
    return m_impl->uses();
}

std::shared_ptr<const FailureDomainStatus> JobScheduler::failureDomains() const
{
    return m_impl->failureDomains();
}

std::vector<HallReport> JobScheduler::closedHalls() const
{
    return m_impl->closedHalls();
}

std::map<std::string, PoolDemand> JobScheduler::demands()
{
    return m_impl->demands();
}

UnsavedChanges JobScheduler::unsaved() const
{
    return m_impl->unsaved();
}

void JobScheduler::noteDemand(const EntryDemand& demand)
{
    m_impl->noteDemand(demand);
}

std::vector<WorkerEvacuation> JobScheduler::setEvacuations(const EvacuationReasons& reasons)
{
    return m_impl->setEvacuations(reasons);
}

void JobScheduler::noteFleet(const std::vector<FleetInstance>& instances, MonotonicInstant requestedAt)
{
    m_impl->noteFleet(instances, requestedAt);
}

bool JobScheduler::isSettled() const
{
    return !m_impl->isActive() || m_impl->isSettled();
}

void JobScheduler::noteIncarnationOver(const std::string& worker, bool ordered)
{
    m_impl->noteIncarnationOver(worker, ordered);
}

void JobScheduler::noteIncarnationUnlisted(const std::string& worker, MonotonicInstant since)
{
    m_impl->noteIncarnationUnlisted(worker, since);
}

std::optional<std::vector<StepReport>> JobScheduler::report(const std::string& job) const
{
    return m_impl->report(job);
}

std::vector<OrganisationReport> JobScheduler::organisations() const
{
    return m_impl->organisations();
}

std::vector<WorkerReport> JobScheduler::workers() const
{
    return m_impl->workers();
}

std::map<std::string, std::uint32_t> JobScheduler::ejectedByPool() const
{
    return m_impl->ejectedByPool();
}

void JobScheduler::whenStored(std::function<void()> stored)
{
    m_impl->whenStored(std::move(stored));
}

const SchedulerCounts& JobScheduler::counts() const noexcept
{
    return m_impl->counts;
}

} // namespace lanemoor::jobs
