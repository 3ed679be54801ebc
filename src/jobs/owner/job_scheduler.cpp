#include "lanemoor/jobs/owner/job_scheduler.h"

#include "admission_desk.h"
#include "advice_desk.h"
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
#include "listed_lives.h"
#include "order_desk.h"
#include "owner_load.h"
#include "owner_state.h"
#include "placement_pass.h"
#include "report_reader.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Attempt numbers of one term: a task is started far less often than this.
constexpr std::uint64_t attemptsPerTerm = 4'096;
/// A worker's clock may lose 2% of an inherited lease's time; more for its timer.
constexpr double leaseStretch = 1.03;
/// Cancels that are not known here count after 3 s: nothing is started on an older copy of the
/// jobs. A watch that hears nothing is answered each second.
/// An order without an answer may be carried out some 6 s later, with a lease that the worker cuts at 10 s by a clock that may
/// lose 2%.
constexpr Millis longestLateRun { 18'000 };
/// Between two passes: ends and arrivals of this time are placed together. A tenth of the least
/// time from accept to first start.
constexpr Millis leastPassGap { 3 };
/// A pass over a large fleet with many jobs takes some ms: it may take a fifth of the time at the most,
/// the rest is for calls and answers.
constexpr int passShare = 5;
/// Between two looks at what runs on workers that are to be emptied. A turn of load empties hundreds; a stop takes some
/// hundred ms, and batch tasks are waited for longer than that.
constexpr Millis evacuationPause { 50 };
/// A pass runs at least this often while there are jobs: for what becomes possible by time.
constexpr Millis idlePass { 200 };

/// \returns Steps of which tasks may have started, if the job is inherited.
std::set<StepId> openSteps(const JobState& job)
{
    std::set<StepId> open;
    if (job.status() != JobStatus::Running)
        return open;
    for (const auto& [id, step] : job.steps()) {
        if (step.idle() > 0 && job.isUnblocked(id))
            open.insert(id);
    }
    return open;
}

/// Notes over how many instances the tasks of open steps must be spread.
void noteSpread(const JobState& job, PoolDemand& demand)
{
    for (const auto& [id, step] : job.steps()) {
        const StepSpec& spec = job.spec(id.step);
        const std::uint32_t most = spec.maxPerInstance;
        const auto left = static_cast<std::uint32_t>(step.tasks.size()) - step.succeeded;
        // Tasks that last need a second instance with their label to move to.
        const std::uint32_t least = most > 0 ? (left + most - 1) / most : 1;
        if (left == 0 || (most == 0 && !(spec.longRunning && !spec.requiredLabel.empty())))
            continue;
        for (const Requirement& requirement : requirementsOf(spec)) {
            if (!requirement.preferred)
                demand[requirement].minInstances = std::max(demand[requirement].minInstances, least);
        }
    }
}

/// Notes what the attempts booked at a worker take. \param hopeless Jobs that end late whatever is done.
void noteRunning(const WorkerBook& book, const std::unordered_set<std::string_view>& hopeless, PoolDemand& demand)
{
    std::map<Requirement, Resources> used;
    std::map<Requirement, Resources> usedInVain;
    Resources usedByAny;
    Resources usedByAnyInVain;
    for (const auto& [attempt, booking] : book.bookings) {
        const bool isInVain = hopeless.contains(attempt.job);
        // Most tasks run anywhere.
        if (booking.step->requiredLabel.empty() && booking.step->preferredRack.empty()) {
            usedByAny += footprint(*booking.step);
            if (isInVain)
                usedByAnyInVain += footprint(*booking.step);
            continue;
        }
        for (const Requirement& requirement : requirementsOf(*booking.step)) {
            used[requirement] += footprint(*booking.step);
            if (isInVain)
                usedInVain[requirement] += footprint(*booking.step);
        }
    }
    if (!book.bookings.empty()) {
        used[Requirement {}] += usedByAny;
        usedInVain[Requirement {}] += usedByAnyInVain;
    }
    for (const auto& [requirement, resources] : used)
        demand[requirement].runningMilliCpu += asMilliCpu(resources, book.entry.capacity);
    for (const auto& [requirement, resources] : usedInVain)
        demand[requirement].runningBacklogMilliCpu += asMilliCpu(resources, book.entry.capacity);
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

/// All that lives for one term.
struct Term {
    Term(const JobSchedulerOptions& options, const Ownership& ownership, SchedulerCounts& counts)
        : state { .options = options,
            .ownership = ownership,
            .inheritedLeaseOverBy = options.loop->now() + options.ownershipTime + Millis(static_cast<std::int64_t>(leaseStretch * static_cast<double>(options.workerLeaseTime.count()))),
            .forecast = LoadForecast(options.seesRises),
            .hallLosses = HallLossDetector(options.failureDomains) }
        , health(state, counts)
        , orders(std::make_shared<OrderDesk>(state, health, counts))
        , advice(std::make_shared<AdviceDesk>(state))
        , reports(state, health, *orders, counts)
        , load(std::make_shared<OwnerLoad>(options, counts))
        , admission(std::make_shared<AdmissionDesk>(state))
    {
        // Nobody owned before the first term, so nothing runs.
        if (ownership.term == 1)
            state.inheritedLeaseOverBy = options.loop->now();
    }

    void close()
    {
        load->close();
        admission->close();
        orders->close();
        advice->close();
        for (auto& [id, worker] : state.workers) {
            if (worker.session)
                worker.session->close();
        }
        state.writer.reset();
    }

    OwnerState state;
    HealthMonitor health;
    std::shared_ptr<OrderDesk> orders;
    std::shared_ptr<AdviceDesk> advice;
    ReportReader reports;
    std::shared_ptr<OwnerLoad> load;
    std::shared_ptr<AdmissionDesk> admission;
    /// Instances of the platform's list that may run what nobody has looked at; nothing before
    /// the list was read in this term.
    std::optional<std::uint32_t> unknownInstances;
    bool settledInherited = false; ///< The probations that previous owners left are settled as far as they can be.
    ListedLives listedLives;
    std::set<std::string> unmet; ///< Workers that might run inherited tasks and were not asked yet.
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
        state.beginSession = [this](WorkerBook& worker, std::int64_t startedAt) { beginSession(worker, startedAt); };
        state.writer = std::make_unique<ProgressWriter>(*m_options.loop, *m_options.store, *m_options.mirror, m_options.ownership->condition(),
            ProgressSource { .read = [this](const std::string& id) { return progressOf(id); },
                .mayWrite = [this] { return m_options.ownership->isHeld(); },
                .superseded = [this] { m_options.ownership->noteSuperseded(); },
                .meter = m_options.meter });
        state.inheritedLosses.begin(m_options.directory->poolsWithRecentEnds());
        for (const auto& [id, entry] : m_options.catalog->all())
            load(id, entry, ownership.term > 1);
        m_options.directory->forgetOld();
        for (const auto& [id, entry] : m_options.directory->all()) {
            if (isNamed(entry))
                meet(entry);
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
        // Its parts may be at work further up the stack.
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
        WorkerBook* book = m_term->state.worker(id);
        if (!book) {
            if (isNamed(found->second))
                meet(found->second);
            return;
        }
        noteEntry(*book, found->second);
        requestPass();
    }

    void onConfigurationChanged()
    {
        if (!m_term)
            return;
        for (const auto& [id, entry] : m_options.directory->all()) {
            if (entry.listed && !m_term->state.worker(id) && isNamed(entry))
                meet(entry);
        }
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
        for (auto& [id, book] : m_term->state.workers)
            noteHall(book);
        requestPass();
    }

    void requestPass()
    {
        if (!m_term)
            return;
        schedulePass(std::max(m_options.loop->now(), m_passFrom));
    }

    [[nodiscard]] WorkerUses uses() const
    {
        WorkerUses uses;
        if (!m_term)
            return uses;
        uses.reserve(m_term->state.workers.size());
        const MonotonicInstant now = m_options.loop->now();
        for (const auto& [id, book] : m_term->state.workers) {
            WorkerUse use { .free = book.free(), .attempts = static_cast<std::uint32_t>(book.bookings.size()), .evacuating = book.evacuating, .evacuatingSince = book.evacuatingSince };
            for (const auto& [attempt, booking] : book.bookings) {
                use.longRunning += booking.step->longRunning ? 1 : 0;
                if (!booking.step->longRunning)
                    use.emptyBy = std::max(use.emptyBy, booking.endsBy);
                use.pinned += booking.step->longRunning && !booking.step->requiredLabel.empty() ? 1 : 0;
            }
            use.known = book.session->isMet() || now >= book.session->leaseOverBy();
            use.healthy = book.listed && !book.entry.draining && book.isHallOpen() && book.session->isMet() && !book.session->isSilent() && !book.session->isLifeOver() && !book.health.isEjected(now);
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
        noteWanted(state);
        return state.demands;
    }

    void setEvacuating(const std::string& worker, bool evacuating)
    {
        WorkerBook* book = m_term ? m_term->state.worker(worker) : nullptr;
        if (!book || book->evacuating == evacuating)
            return;
        book->evacuating = evacuating;
        book->evacuatingSince = m_options.loop->now();
        m_options.log->decision("worker-evacuating", { { "worker", worker }, { "on", std::int64_t { evacuating } }, { "attempts", static_cast<std::int64_t>(book->bookings.size()) } });
        requestPass();
    }

    void noteFleet(const std::vector<FleetInstance>& instances, MonotonicInstant askedAt)
    {
        if (!m_term)
            return;
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        const bool first = !m_term->unknownInstances;
        m_term->state.noteInstances(instances);
        meetListed(instances);
        std::uint32_t unknown = 0;
        for (const FleetInstance& instance : instances) {
            const PoolSettings* pool = configuration->pool(instance.pool);
            const bool runs = instance.state == FleetState::Up && !(pool && pool->reserve);
            // While its entry is missing from the store, an instance may stand here without a life.
            unknown += runs && !m_term->state.worker(instance.worker) ? 1 : 0;
        }
        m_term->unknownInstances = unknown;
        noteListedLives(instances, askedAt, *configuration);
        endUnlistedLives();
        if (first)
            m_options.log->change("fleet-listed", { { "instances", static_cast<std::int64_t>(instances.size()) }, { "kinds", kindsText(instances) }, { "unknown", std::int64_t { unknown } }, { "unmet", static_cast<std::int64_t>(m_term->unmet.size()) } });
        requestPass();
    }

    void noteLifeOver(const std::string& worker, bool ordered = false)
    {
        WorkerBook* book = m_term ? m_term->state.worker(worker) : nullptr;
        if (!book || !book->session)
            return;
        book->endOrdered = ordered;
        book->session->noteLifeOver();
    }

    void noteLifeUnlisted(const std::string& worker, MonotonicInstant since)
    {
        const WorkerBook* book = m_term ? m_term->state.worker(worker) : nullptr;
        const bool mayMeanFormer = book && !book->formerStarts.empty() && book->knownSince + maxFleetListLag >= since;
        if (!mayMeanFormer)
            noteLifeOver(worker);
    }

    void whenStored(std::function<void()> stored)
    {
        if (m_term && m_term->state.writer)
            m_term->state.writer->whenStored(std::move(stored));
        else
            stored();
    }

    /// \returns Whether every worker that might run inherited tasks has been met or is over.
    bool isSettled()
    {
        OwnerState& state = m_term->state;
        if (state.now() >= state.inheritedLeaseOverBy)
            return true;
        std::erase_if(m_term->unmet, [&](const std::string& id) { return state.workers.contains(id) && !isUnmet(id); });
        return m_term->unknownInstances == 0U && m_term->unmet.empty();
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
        std::unordered_set<std::string_view> hopeless;
        for (const auto& [id, job] : state.walked) {
            if (!isFinal(job->state.status()) && state.isHopeless(*job, now))
                hopeless.insert(id);
        }
        for (const auto& [id, book] : state.workers)
            noteRunning(book, hopeless, demands[book.entry.pool]);
        for (const auto& [id, job] : state.walked) {
            if (!isFinal(job->state.status()))
                noteSpread(job->state, demands[state.poolOf(job->state)]);
        }
        for (const QueueSettings& queue : state.configuration()->queues) {
            for (const auto& [requirement, milliCpu] : state.forecast.milliCpuByClass(queue.name, now))
                demands[queue.pool][requirement].forecastMilliCpu += milliCpu;
        }
        return demands;
    }

    /// Notes how much the labels that tasks require are wanted, for the placement of other tasks.
    static void noteWanted(OwnerState& state)
    {
        state.wanted.clear();
        for (const auto& [pool, classes] : state.demands) {
            for (const auto& [requirement, demand] : classes) {
                if (requirement.label.empty() || requirement.preferred)
                    continue;
                std::int64_t supply = 0;
                for (const auto& [id, book] : state.workers)
                    supply += book.entry.pool == pool && book.listed && hasLabel(book.entry, requirement.label) ? book.entry.capacity.milliCpu : 0;
                state.wanted[{ pool, requirement.label }] = wantedLevel(std::max(demand.runningMilliCpu + demand.waiting.milliCpu, demand.forecastMilliCpu), supply);
            }
        }
    }

    [[nodiscard]] StepReport reportOf(const JobState& job, const StepId& id, const StepState& step) const
    {
        StepReport report { .occurrence = id.occurrence, .step = id.step, .tasks = static_cast<std::uint32_t>(step.tasks.size()), .succeeded = step.succeeded, .blocked = !job.isUnblocked(id), .attempts = {}, .suspects = {}, .wait = std::nullopt };
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            if (step.tasks[i].suspicion() > 0)
                report.suspects.push_back({ .task = i, .workersLost = step.tasks[i].suspicion(), .confirmedCrashes = step.tasks[i].crashes.confirmed, .givenUp = step.tasks[i].givenUp });
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
        state.walked.emplace(id, &job);
        job.account = state.accountOf(*entry.record);
        const Millis age = m_options.loop->timeOfDay() - entry.record->acceptedAt;
        const QueueSettings* queue = state.configuration()->queue(entry.record->queue);
        const double stretch = queue ? queue->stretch : 1.0;
        job.chain = criticalPathDuration(entry.record->spec);
        const Millis allowed(static_cast<std::int64_t>(stretch * static_cast<double>(job.chain.count())));
        job.objective = state.now() - age + allowed + (queue ? queue->latencyTarget : Millis(0));
        m_term->admission->noteArrival(job);
        if (inherited) {
            job.state.openOccurrences(m_options.loop->timeOfDay());
            job.openBefore = openSteps(job.state);
            m_term->reports.crashes().load(job);
        }
        if (entry.cancelled)
            cancel(job);
    }

    /// Counts a new job towards the load to come, as far as its organisation's quota lets it run, and
    /// against what the organisation may send.
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
        job->beyondRate = !job->account->rate.take(organisation->weight, now);
        job->account->beyondRate += job->beyondRate ? 1 : 0;
    }

    void cancel(OwnerJob& job)
    {
        m_term->state.endWait(job);
        job.state.cancel();
        ++counts.jobsCancelled;
        m_options.log->decision("job-cancelled", { { "job", job.state.id() }, { "running", static_cast<std::int64_t>(job.state.liveAttempts().size()) } });
        m_term->state.store(job.state.id());
        m_term->orders->stopAll(job);
    }

    /// An entry of a pool that the configuration does not name may come from another writer: calls to its address
    /// would reach whoever is there.
    [[nodiscard]] bool isNamed(const DirectoryEntry& entry) const { return m_options.configuration()->pool(entry.worker.pool) != nullptr; }

    /// A life that the platform lists is a worker's, whatever its pool: it may run what an earlier owner started.
    void meetListed(const std::vector<FleetInstance>& instances)
    {
        for (const FleetInstance& instance : instances) {
            const auto entry = m_options.directory->all().find(instance.worker);
            if (entry != m_options.directory->all().end() && entry->second.listed && !isNamed(entry->second) && !m_term->state.worker(instance.worker))
                meet(entry->second);
        }
    }

    void meet(const DirectoryEntry& entry)
    {
        WorkerBook& book = m_term->state.workers[entry.worker.id];
        book.entry = entry.worker;
        book.listed = entry.listed;
        book.knownSince = entry.knownSince;
        beginSession(book, entry.worker.startedAt);
    }

    void noteHall(WorkerBook& book) const { book.hallEvacuated = m_options.evacuations->contains(book.entry.dataHall); }

    void beginSession(WorkerBook& book, std::int64_t startedAt)
    {
        const OwnerState& state = m_term->state;
        noteHall(book);
        WorkerSessionOptions options { .epoch = state.ownership.epoch,
            .inheritedLeaseOverBy = state.inheritedLeaseOverBy,
            .leaseTime = m_options.workerLeaseTime,
            .mayOrder = [this] { return m_options.ownership->isHeld(); },
            .overdueAfter = [this] { return m_term ? m_term->state.responses.overdueAfter() : ResponseTime::maxOverdue; } };
        // What was sent to a former life and reached this one brought a lease on a clock that it doesn't have.
        if (!book.formerStarts.empty())
            options.inheritedLeaseOverBy = std::max(options.inheritedLeaseOverBy, state.now() + longestLateRun);
        book.session = std::make_shared<WorkerSession>(*m_options.loop, *m_options.workers, WorkerIncarnation { book.entry.id, book.entry.address, startedAt, book.entry.dataHall }, std::move(options), m_term->reports);
        book.session->start();
        // Also one whose entry comes later: it may have been missing while its tasks ran on.
        m_term->unmet.insert(book.entry.id);
    }

    /// Takes in what a worker's entry tells now. The entry of a former life may arrive after the first word of the new one.
    void noteEntry(WorkerBook& book, const DirectoryEntry& entry) const
    {
        book.listed = entry.listed;
        const std::int64_t startedAt = entry.worker.startedAt;
        if (startedAt != 0 && book.formerStarts.contains(startedAt))
            return;
        book.entry = entry.worker;
        noteHall(book);
        if (book.session->life().startedAt != 0 && !book.isEntryOfLife())
            book.session->noteRestart(startedAt);
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
        m_passFrom = begin + leastPassGap;
        HallWatch(term->state).run();
        const bool knowsCancels = term->state.knowsCancels();
        noteCopy(knowsCancels);
        if (!m_options.ownership->isHeld() || !knowsCancels || !m_options.evacuations->isConfirmed()) {
            schedulePass(begin + idlePass);
            return;
        }
        if (begin >= term->state.nextEvacuationAt) {
            term->state.nextEvacuationAt = begin + evacuationPause;
            Evacuation(term->state, *term->orders).run();
        }
        settleInherited();
        term->health.run();
        PlacementPass placement(term->state, *term->orders, *term->advice, [this] { return isSettled(); });
        const std::optional<MonotonicInstant> wake = placement.run();
        m_waiting = placement.waiting();
        counts.sitesInspected += placement.sitesInspected();
        if (term != m_term)
            return;
        Displacement(term->state, *term->orders).run();
        if (begin >= m_cleanAt) {
            m_cleanAt = begin + idlePass;
            dropFinished();
            dropOverWorkers();
        }
        const MonotonicInstant end = m_options.loop->now();
        m_passFrom = std::max(m_passFrom, begin + passShare * (end - begin));
        schedulePass(std::max(m_passFrom, wake ? std::min(*wake, end + idlePass) : end + idlePass));
    }

    /// Settles the probations of previous owners before their tasks start again.
    void settleInherited()
    {
        if (m_term->settledInherited || !isSettled())
            return;
        m_term->settledInherited = true;
        m_term->reports.crashes().noteUnanswering();
        m_term->reports.crashes().settleAbsent(m_term->unknownInstances == 0U && m_term->unmet.empty());
    }

    /// One line when starts wait for a newer copy of the jobs, one when they go on.
    void noteCopy(bool isNew)
    {
        if (std::exchange(m_copyIsNew, isNew) == isNew)
            return;
        const auto age = std::chrono::duration_cast<Millis>(m_options.loop->now() - m_options.mirror->freshAt());
        m_options.log->change(isNew ? "copy-new-again" : "copy-too-old", { { "copy_age_ms", std::int64_t { age.count() } } });
    }

    /// \returns Whether a worker is still to be asked what it runs for earlier owners.
    [[nodiscard]] bool isUnmet(const std::string& id) const
    {
        const auto found = m_term->state.workers.find(id);
        return found != m_term->state.workers.end() && !found->second.session->isMet() && !found->second.session->isLifeOver();
    }

    /// A life that a complete list does not name runs nowhere, if it was known before the time that the list shows.
    void noteListedLives(const std::vector<FleetInstance>& instances, MonotonicInstant askedAt, const ServiceConfiguration& configuration)
    {
        ListedLives& lives = m_term->listedLives;
        lives.note(instances, configuration);
        for (auto& [id, book] : m_term->state.workers) {
            if (lives.names(id))
                book.unlistedSince.reset();
            else if (lives.isComplete() && !book.unlistedSince && askedAt - book.knownSince >= maxFleetListLag)
                book.unlistedSince = askedAt;
        }
    }

    /// Ends lives that do not answer and that complete lists do not name. The end of a life that no list ever named is proved in no
    /// other way.
    void endUnlistedLives()
    {
        std::vector<std::string> over;
        for (const auto& [id, book] : m_term->state.workers) {
            if (!book.unlistedSince || book.session->isLifeOver())
                continue;
            const bool isGone = !book.session->isMet() || (book.session->isSilent() && m_options.loop->now() - *book.unlistedSince >= maxFleetListLag);
            if (isGone)
                over.push_back(id);
        }
        for (const std::string& id : over)
            noteLifeOver(id);
    }

    /// Jobs that are over, stored, and run nowhere.
    void dropFinished()
    {
        OwnerState& state = m_term->state;
        std::erase_if(state.waits, [&](const auto& entry) { return !state.jobs.contains(entry.first.first); });
        std::erase_if(state.walked, [&](const auto& entry) {
            const JobState& job = entry.second->state;
            if (!isFinal(job.status()))
                return false;
            const CatalogEntry* known = m_options.catalog->find(entry.first);
            const bool isOver = known && isFinal(known->progress.status) && job.liveAttempts().empty();
            if (isOver)
                state.jobs.erase(std::string(entry.first));
            return isOver;
        });
    }

    void dropOverWorkers()
    {
        std::erase_if(m_term->state.workers, [&](const auto& entry) {
            const WorkerBook& book = entry.second;
            const bool over = book.session->isLifeOver() || m_options.loop->now() >= book.session->leaseOverBy();
            const bool isDropped = !book.listed && over && book.bookings.empty() && (book.session->isLifeOver() || book.session->isSilent());
            if (isDropped)
                m_term->state.hallLosses.noteGone(entry.first);
            return isDropped;
        });
        if (m_term->settledInherited)
            m_term->reports.crashes().settleAbsent(false);
    }

    JobSchedulerOptions m_options;
    std::shared_ptr<Term> m_term;
    PlacementPass::Waiting m_waiting;
    bool m_copyIsNew = true;
    TimerId m_passTimer = 0;
    MonotonicInstant m_passAt;
    MonotonicInstant m_passFrom; ///< No pass before this.
    MonotonicInstant m_cleanAt; ///< When to look for what is over again.
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

void JobScheduler::setEvacuating(const std::string& worker, bool evacuating)
{
    m_impl->setEvacuating(worker, evacuating);
}

void JobScheduler::noteFleet(const std::vector<FleetInstance>& instances, MonotonicInstant askedAt)
{
    m_impl->noteFleet(instances, askedAt);
}

bool JobScheduler::isSettled() const
{
    return !m_impl->isActive() || m_impl->isSettled();
}

void JobScheduler::noteLifeOver(const std::string& worker, bool ordered)
{
    m_impl->noteLifeOver(worker, ordered);
}

void JobScheduler::noteLifeUnlisted(const std::string& worker, MonotonicInstant since)
{
    m_impl->noteLifeUnlisted(worker, since);
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
