#include "lanemoor/jobs/service/job_service.h"

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/intake/admission_gate.h"
#include "lanemoor/jobs/intake/demand_report.h"
#include "lanemoor/jobs/intake/job_catalog.h"
#include "lanemoor/jobs/intake/job_lookup.h"
#include "lanemoor/jobs/intake/queue_counts_reader.h"
#include "lanemoor/jobs/intake/refused_submissions.h"
#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/model/platform_documents.h"
#include "lanemoor/jobs/model/work_meter.h"
#include "lanemoor/jobs/owner/fleet_keeper.h"
#include "lanemoor/jobs/owner/hall_evacuations.h"
#include "lanemoor/jobs/owner/job_retirement.h"
#include "lanemoor/jobs/owner/job_scheduler.h"
#include "lanemoor/jobs/owner/ownership_keeper.h"
#include "lanemoor/jobs/owner/queue_counts_writer.h"
#include "lanemoor/jobs/owner/worker_directory.h"
#include "lanemoor/jobs/relay/order_relay.h"
#include "lanemoor/jobs/relay/relayed_workers.h"
#include "lanemoor/jobs/service/job_metrics.h"
#include "lanemoor/jobs/service/store_access.h"
#include "lanemoor/jobs/store/document_replica.h"
#include "lanemoor/jobs/store/store_mirror.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr const char* theShard = "all"; // One owner decides for all pools today.
constexpr Millis watchTime { 1'000 };
/// Between watches of the jobs. The owner should hear of a job soon; the others only show
/// their status, which may be some seconds old by the platform's bound.
constexpr Millis ownerWatchGap { 50 };
/// What a quiet watch proves is as old as the watch: the owner's copy stays below a second old.
constexpr Millis ownerWatchTime { 500 };
constexpr Millis watchGap { 500 };
/// The keys of the ownership change seldom, and the watch of the jobs hears of them too.
constexpr Millis ownershipWatchTime { 3'000 };
/// Waves last some dozens of seconds.
constexpr Millis waveWatchTime { 5'000 };
/// Workers drain with seconds of notice; sooner only saves work. Each heartbeat is a change, so
/// that nearly every watch of the workers is answered at once. Only the owner watches them that often: 1,100
/// workers have 730 heartbeats a second.
constexpr Millis workerWatchGap { 150 };
/// Machines that can own watch the workers less often: a new owner then knows for how long it has known a life,
/// and one list of the fleet tells which of them are over.
constexpr Millis standbyWatchGap { 1'000 };
/// The store's answers are missed after a watch's time and a call's; then this instance can
/// take nothing and says so to the balancer.
constexpr Millis storeMissedAfter { 2'500 };
/// The owner of 349 workers took 0.18 cores (tellelag-drift-grown, quiet-1): a machine with less
/// than this leaves a free ownership to others for a while.
constexpr double coresOfOwner = 0.2;
constexpr Millis claimDelayOfSmall { 600 };
constexpr int renewalsOfLease = 4; // So that two may fail before the lease is over.
/// An owner whose copy of the jobs is older than this hears of cancels too late. It gives the
/// ownership up, and leaves it to others for a while.
constexpr Millis oldestCopyOfOwner { 4'000 };
constexpr Millis resignedFor { 5'000 };
constexpr Millis copyCheck { 500 };
/// An owner's copy that is older counts no waiting jobs: the count is up to a second older when it is read.
constexpr Millis countableCopyAge { 700 };
/// Jobs that an instance without a copy remembers; beyond that it begins anew.
constexpr std::size_t maxJobsWithoutCopy = 10'000;
constexpr Millis defaultRetryAfter { 1'000 };
/// A shorter outage hides no load: callers come back after a second, and the plan remembers the demand of the last two.
constexpr Millis shortOutage { 1'000 };
constexpr Millis stopCheck { 20 };
/// The balancer asks for readiness each second and believes the second refusal: until then new
/// connections come, and a closed port would turn them away.
constexpr Millis seenUnready { 2'600 };
constexpr Millis stopReserve { 1'500 }; // Of the grace, kept for the last answers to leave.

/// \returns How the configuration is followed. Two checks may fail before requests have to be turned away.
DocumentReplicaOptions configurationOptions(const JobServiceSettings& settings, std::string key)
{
    constexpr double shareOfApplyTime = 0.35;
    constexpr double overdueShare = 0.125;
    constexpr Millis maxPause { 2'000 }; // Below `storeMissedAfter`: readiness goes by these checks too.
    const auto share = [&](double part) { return Millis(static_cast<Millis::rep>(part * static_cast<double>(settings.configurationApplyTime.count()))); };
    return { .key = std::move(key), .checkEvery = std::min(share(shareOfApplyTime), maxPause), .overdueAfter = share(overdueShare) };
}

Millis claimDelayOf(const JobServiceSettings& settings)
{
    const bool isSmall = settings.machineCores > 0 && settings.machineCores < coresOfOwner;
    return isSmall ? claimDelayOfSmall : Millis(0);
}

/// \returns Whether the machine takes a free ownership at once. Others keep no copy of the jobs: all of them together would read
/// each change once for each entry instance.
bool isStandbyMachine(const JobServiceSettings& settings) { return claimDelayOf(settings).count() == 0; }

JobLookupOptions lookupOptions(const JobServiceSettings& settings)
{
    JobLookupOptions options = settings.policies.lookup;
    options.keepsCopy = isStandbyMachine(settings);
    return options;
}

/// \returns A time within `spread` that differs between instances and not between an instance's processes.
Millis spreadOf(const std::string& name, Millis spread)
{
    return spread.count() == 0 ? Millis(0) : Millis(static_cast<Millis::rep>(std::hash<std::string> {}(name) % static_cast<std::size_t>(spread.count())));
}

/// \returns How long after its submission a job is of use: three times its objective.
Millis usefulTime(const QueueSettings* queue, const JobSpec& spec)
{
    constexpr double objectives = 3;
    const double stretch = queue ? queue->stretch : 1.0;
    const Millis objective = Millis(static_cast<Millis::rep>(stretch * static_cast<double>(longestChain(spec).count()))) + (queue ? queue->latencyTarget : Millis(0));
    return Millis(static_cast<Millis::rep>(objectives * static_cast<double>(objective.count())));
}

/// \returns Host and path prefix of `queue`, as callers name it.
std::string routeOf(const ServiceConfiguration& configuration, const std::string& queue)
{
    const QueueSettings* settings = configuration.queue(queue);
    return settings ? settings->host + settings->pathPrefix : std::string();
}

JobSummary summaryOf(const std::string& id, const CatalogEntry& entry)
{
    JobSummary summary { .id = id, .queue = entry.record->queue, .status = entry.status(), .steps = static_cast<std::uint32_t>(entry.record->spec.steps.size()) };
    for (const StepSpec& step : entry.record->spec.steps)
        summary.tasks += step.count;
    return summary;
}

} // namespace

class JobService::Impl {
public:
    /// \param parts With the store that `access` gives.
    Impl(const JobServiceParts& parts, const JobServiceSettings& settings, std::unique_ptr<StoreAccess> access)
        : m_random(static_cast<std::minstd_rand::result_type>(std::hash<std::string> {}(settings.name)))
        , m_access(std::move(access))
        , m_parts(parts)
        , m_settings(settings)
        , m_meter(*parts.loop)
        , m_holder(holderOf(settings.name, parts.loop->timeOfDay()))
        , m_directory(*parts.loop)
        , m_jobs(*parts.loop, *parts.store, { .prefix = std::string(jobServicePrefix), .watchTime = watchTime, .minWatchGap = watchGap, .resumesImmediately = true }, [this](const StoreItem& item) { onItem(item); })
        , m_owners(*parts.loop, *parts.store, { .prefix = std::string(ownershipPrefix), .watchTime = ownershipWatchTime }, [this](const StoreItem& item) { onOwnership(item); })
        , m_configurations(*parts.loop, *parts.store, configurationOptions(settings, parts.documents->configurationKey()), { .changed = [this](const StoreItem& item) { onConfiguration(item); }, .ended = [this](const DocumentCallResult& reading) { onConfigurationReading(reading); } })
        , m_workers(*parts.loop, *parts.store, { .prefix = parts.documents->workerPrefix(), .watchTime = watchTime, .minWatchGap = standbyWatchGap }, [this](const StoreItem& item) { onWorker(item); })
        , m_waves(*parts.loop, *parts.store, { .prefix = parts.documents->wavePrefix(), .watchTime = waveWatchTime }, [this](const StoreItem& item) { onWave(item); })
        , m_ownership(*parts.loop, *parts.store, m_owners, { .shard = theShard, .holder = m_holder, .peer = parts.peerAddress, .leaseTime = settings.ownershipTime, .renewEvery = settings.ownershipTime / renewalsOfLease, .claimDelay = claimDelayOf(settings) },
              { .gained = [this](const Ownership& ownership) { gained(ownership); }, .lost = [this] { lost(); }, .suspended = [this] { m_parts.log->change("ownership-suspended", { { "copy_age_ms", copyAge() } }); }, .resumed = [this] { m_parts.log->change("ownership-resumed", { { "copy_age_ms", copyAge() } }); }, .claimFailed = [this](StoreOutcome outcome) { m_parts.log->decision("ownership-claim-failed", { { "outcome", std::string(nameOf(outcome)) } }); }, .endsLost = [this](const std::string& holder) { m_parts.log->change("lost-owner-lease-ended", { { "holder", holder } }); } })
        , m_relayedWorkers({ .loop = parts.loop, .peers = parts.peers, .direct = parts.workers, .log = parts.log, .meter = &m_meter, .demanded = [this](const EntryDemand& demand) { m_scheduler.noteDemand(demand); } }, settings.policies.relay, settings.machineCores, settings.policies.reachability, settings.dataHall)
        , m_relay({ .loop = parts.loop, .peers = parts.peers, .workers = parts.workers, .store = parts.store, .log = parts.log, .ownerGone = [this](const std::string& address) { m_ownership.endLost(address); }, .takeDemand = [this] { return m_demand.take(); }, .granted = [this](const AdmissionGrants& grants) { m_gate.apply(grants, m_parts.loop->now()); } }, settings.name, settings.machineCores, settings.dataHall)
        , m_evacuations({ .loop = parts.loop, .store = parts.store, .log = parts.log, .prefix = parts.documents->evacuationPrefix(), .bound = settings.evacuationTime })
        , m_gate(settings.name)
        , m_scheduler(schedulerOptions())
        , m_fleet(fleetOptions())
        , m_intake(*parts.loop, *parts.store, m_jobs, m_catalog)
        , m_lookup(
              *parts.loop, *parts.store, m_jobs, m_catalog, [this] { return (m_ownership.isHeld() && hasCopy()) || m_intake.isStoreSilent(); }, lookupOptions(settings))
        , m_countsReader(*parts.loop, *parts.store)
        , m_countsWriter({ .loop = parts.loop, .store = parts.store, .catalog = &m_catalog, .ownership = &m_ownership, .configuration = [this] { return m_configuration; }, .isCurrent = [this] { return m_parts.loop->now() - m_jobs.freshAt() < countableCopyAge; } })
        , m_retirement({ .loop = parts.loop, .store = parts.store, .mirror = &m_jobs, .catalog = &m_catalog, .ownership = &m_ownership, .log = parts.log, .statusTime = settings.statusTime })
    {
        m_catalog.observe([this](const std::string& id) {
            m_scheduler.onJobChanged(id);
            m_retirement.onJobChanged(id);
        });
        m_evacuations.observe([this] { m_scheduler.onEvacuationsChanged(); });
        m_directory.observe([this](const std::string& id) { m_scheduler.onWorkerChanged(id); });
        m_access->observe([this](const StoreCondition& from, const StoreCondition& to) { onStoreCondition(from, to); });
    }

    void start()
    {
        m_owners.start();
        m_configurations.start();
        if (isStandby()) {
            m_jobs.start();
            m_waves.start();
            m_workers.start();
        }
        m_ownership.start();
        checkCopyLater();
        m_retirement.start();
        m_countsWriter.start();
    }

    void stop(const std::function<void()>& done)
    {
        m_stopping = true;
        m_parts.log->change("stopping", { { "owner", std::int64_t { m_ownership.isHeld() } } });
        // Others run the jobs from now on; callers are served here as before.
        m_claimed.reset();
        m_evacuations.stop();
        m_workers.pause();
        m_fleet.deactivate();
        m_scheduler.deactivate();
        m_relayedWorkers.deactivate();
        m_relay.leave();
        m_ownership.release([] {});
        const MonotonicInstant now = m_parts.loop->now();
        const MonotonicInstant by = now + std::max(m_settings.stopGrace - stopReserve, Millis(0));
        serveUntil(std::min(now + seenUnready, by), by, done);
    }

    [[nodiscard]] bool takesRequests() const { return m_configuration && (isStandby() ? m_jobs : m_owners).isLoaded(); }

    /// \returns Whether the catalog holds all jobs, as far as the store has told.
    [[nodiscard]] bool hasCopy() const { return isStandby() || m_scheduler.isActive(); }

    /// \returns When the store last answered a call that is made again and again, counted from before the call.
    [[nodiscard]] MonotonicInstant storeAnsweredAt() const { return isStandby() ? m_jobs.answeredAt() : std::max(m_owners.answeredAt(), m_configurations.answeredAt()); }

    /// \returns Age of what this instance knows of the jobs.
    [[nodiscard]] std::int64_t copyAge() const { return since(hasCopy() ? m_jobs.freshAt() : m_owners.freshAt()); }

    void pending(const std::string& queue, const std::function<void(std::optional<std::uint64_t>)>& done)
    {
        const auto answer = [this, queue, done, sentAt = m_parts.loop->now(), configuration = m_configuration, configurationAge = configurationAge()](std::optional<std::uint64_t> count) {
            m_parts.log->decision("queue-counted",
                { { "queue", queue }, { "route", routeOf(*configuration, queue) }, { "configuration", static_cast<std::int64_t>(configuration->version) }, { "configuration_age_ms", configurationAge }, { "outcome", std::string(count ? "counted" : "unavailable") }, { "ms", since(sentAt) } });
            done(count);
        };
        if (!hasCopy())
            m_countsReader.pending(queue, answer);
        else
            answer(m_parts.loop->now() - m_jobs.freshAt() > maxCountAge ? std::nullopt : std::optional(m_catalog.pending(queue)));
    }

    [[nodiscard]] bool isReady() const
    {
        return !m_stopping && takesRequests() && isConfigurationCurrent() && !m_intake.isStoreSilent() && m_parts.loop->now() - storeAnsweredAt() < storeMissedAfter;
    }

    /// \returns Whether every configuration that should be in force by now is known. What it decides is decided by no other one.
    [[nodiscard]] bool isConfigurationCurrent() const { return m_parts.loop->now() - m_configurations.provenAt() <= m_settings.configurationApplyTime; }

    [[nodiscard]] bool trustsKeys() const
    {
        const Millis bound = m_settings.configurationTrust;
        return bound.count() == 0 || m_parts.loop->now() - m_configurations.provenAt() <= bound;
    }

    void submit(const Caller& caller, const std::string& id, JobSpec spec, std::function<void(AcceptOutcome)> done)
    {
        const QueueSettings* settings = m_configuration->queue(caller.queue);
        const MonotonicInstant usefulUntil = m_parts.loop->now() + usefulTime(settings, spec);
        const JobRecord record { .queue = caller.queue, .pool = settings ? settings->pool : std::string(), .acceptedAt = m_parts.loop->timeOfDay(), .spec = std::move(spec), .organisation = caller.organisation };
        const AdmissionVerdict verdict = judge(caller, id, record.spec);
        const auto answer = [this, id, caller, verdict, usefulUntil, spec = record.spec, done = std::move(done), sentAt = m_parts.loop->now(), version = m_configuration->version, configurationAge = configurationAge()](AcceptOutcome outcome) {
            metrics.noteHandedIn(caller.queue, outcome, secondsSince(sentAt));
            noteSubmission(caller, id, spec, usefulUntil, outcome);
            m_parts.log->decision("job-handed-in",
                { { "job", id }, { "queue", caller.queue }, { "organisation", caller.organisation }, { "configuration", static_cast<std::int64_t>(version) }, { "configuration_age_ms", configurationAge }, { "outcome", std::string(nameOf(outcome)) }, { "ms", since(sentAt) } });
            if (outcome == AcceptOutcome::Refused)
                noteRefused(caller, id, verdict);
            done(outcome);
        };
        if (verdict.admitted)
            m_intake.accept(caller, id, record, stillAdmitted(), answer);
        else
            m_intake.refuse(caller, id, record, answer);
    }

    /// \returns Whether what was let in now is still let in, to be asked when it takes effect: the configuration may have been replaced
    /// while a job waited to be written.
    [[nodiscard]] std::function<bool()> stillAdmitted() const
    {
        return [this, version = m_configuration->version, until = m_configurations.provenAt() + m_settings.configurationApplyTime] { return m_parts.loop->now() <= until || (m_configuration->version == version && isConfigurationCurrent()); };
    }

    /// A job that was handed in before is not refused: it may be kept.
    AdmissionVerdict judge(const Caller& caller, const std::string& id, const JobSpec& spec)
    {
        if (!m_settings.policies.admission.enabled || caller.organisation.empty() || m_intake.isKnown(id))
            return {};
        const OrganisationSettings* organisation = m_configuration->organisations.find(caller.organisation);
        return m_gate.judge(caller.queue, caller.organisation, spec, organisation ? organisation->weight : 0, m_parts.loop->now());
    }

    void noteRefused(const Caller& caller, const std::string& id, const AdmissionVerdict& verdict)
    {
        metrics.noteRefused(caller.queue, std::string(nameOf(verdict.basis)));
        const AdmissionBudget& budget = verdict.budget;
        m_parts.log->decision("job-refused",
            { { "job", id }, { "queue", caller.queue }, { "organisation", caller.organisation }, { "reason", std::string(nameOf(verdict.basis)) }, { "budget_ms", budget.workMillis }, { "rate_milli_cpu", budget.milliCpu }, { "use_permille", std::int64_t { budget.usePermille } },
                { "share_permille", std::int64_t { budget.sharePermille } }, { "expected_end_ms", std::int64_t { budget.expectedEnd.count() } }, { "limit_ms", std::int64_t { budget.limit.count() } }, { "grant_age_ms", std::int64_t { verdict.grantAge.count() } }, { "retry_after_ms", std::int64_t { verdict.retryAfter.count() } } });
    }

    /// Keeps account of submissions that the store did not take: they are load to come, of which the owner hears from here alone.
    void noteSubmission(const Caller& caller, const std::string& id, const JobSpec& spec, MonotonicInstant usefulUntil, AcceptOutcome outcome)
    {
        if (!m_settings.policies.storeOutages.enabled)
            return;
        if (outcome == AcceptOutcome::Refused)
            return;
        if (outcome == AcceptOutcome::Accepted || outcome == AcceptOutcome::Foreign) {
            m_refusals.noteSettled(id);
            return;
        }
        m_refusals.noteRefused(id, usefulUntil, m_parts.loop->now());
        if (outcome != AcceptOutcome::NotTaken)
            return;
        m_demand.noteRefused(caller.queue, caller.organisation, spec);
        if (!m_scheduler.isActive()) {
            m_relay.reportDemand();
            return;
        }
        for (const EntryDemand& demand : m_demand.take())
            m_scheduler.noteDemand(demand);
    }

    [[nodiscard]] Millis retryAfter(const std::string& submission)
    {
        if (!m_settings.policies.storeOutages.enabled)
            return defaultRetryAfter;
        return adviseRetry(m_refusals.situationOf(submission, m_parts.loop->now()), m_random);
    }

    AdmittedCall admit(std::string_view host, std::string_view path, std::optional<std::string_view> key)
    {
        const std::shared_ptr<const ServiceConfiguration> configuration = m_configuration;
        const auto refusal = [](Admission admission) { return AdmittedCall { .admission = admission, .caller = {}, .job = {} }; };
        if (!configuration || !takesRequests())
            return refusal(Admission::Later);
        if (!isConfigurationCurrent()) {
            noteProof();
            noteUnserved("caller-deferred", "configuration-unproven", host, path);
            return refusal(Admission::Later);
        }
        const QueueSettings* queue = configuration->queueFor(host, path);
        if (!queue) {
            noteUnserved("caller-refused", "no-such-queue", host, path);
            return refusal(Admission::NoSuchQueue);
        }
        std::optional<Caller> caller = identify(*configuration, *queue, key);
        if (!caller) {
            noteTurnedAway(queue->name, key);
            return refusal(Admission::KeyRefused);
        }
        if (!caller->isOpen && !trustsKeys())
            return refusal(Admission::Later);
        return { .admission = Admission::LetIn, .caller = std::move(*caller), .job = std::string(path.substr(queue->pathPrefix.size())) };
    }

    /// Logs a call whose route is unknown, or that no configuration may decide now.
    void noteUnserved(const char* event, const char* reason, std::string_view host, std::string_view path)
    {
        constexpr std::size_t mostOfPath = 80; // Of what a caller sent.
        metrics.noteTurnedAway(reason);
        m_parts.log->decision(event,
            { { "reason", std::string(reason) }, { "route", std::string(host) + std::string(path.substr(0, mostOfPath)) }, { "configuration", static_cast<std::int64_t>(m_configuration->version) }, { "configuration_age_ms", configurationAge() } });
    }

    void noteTurnedAway(const std::string& queue, std::optional<std::string_view> key)
    {
        metrics.noteTurnedAway(key ? "unknown-key" : "no-key");
        m_parts.log->decision("caller-refused",
            { { "queue", queue }, { "reason", std::string(key ? "unknown-key" : "no-key") }, { "key", key ? ApiKeyDigest::of(*key).fingerprint() : std::string() }, { "configuration", static_cast<std::int64_t>(m_configuration->version) }, { "configuration_age_ms", configurationAge() } });
    }

    void status(const Caller& caller, const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done)
    {
        status(id, [this, caller, id, done](LookupOutcome outcome, JobStatus status) { done(outcome == LookupOutcome::Done && isForeign(caller, id) ? LookupOutcome::Foreign : outcome, status); });
    }

    /// Whose job it is stands in its record, which is read first where this instance does not know it.
    void cancel(const Caller& caller, const std::string& id, std::function<void(LookupOutcome)> done)
    {
        const CatalogEntry* entry = m_catalog.find(id);
        if (!entry || !entry->record) {
            m_lookup.status(id, [this, caller, id, done = std::move(done)](LookupOutcome outcome, JobStatus) {
                if (outcome == LookupOutcome::Done)
                    cancel(caller, id, done);
                else
                    done(outcome);
            });
            return;
        }
        if (isForeign(caller, id))
            done(LookupOutcome::Foreign);
        else
            cancel(id, std::move(done));
    }

    void cancel(const std::string& id, std::function<void(LookupOutcome)> done)
    {
        m_intake.cancel(id, [this, id, done = std::move(done), sentAt = m_parts.loop->now()](LookupOutcome outcome) {
            metrics.noteCancel(outcome, secondsSince(sentAt));
            m_parts.log->decision("job-cancel-asked", { { "job", id }, { "outcome", std::string(nameOf(outcome)) }, { "ms", since(sentAt) } });
            done(outcome);
        });
    }

    void status(const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done)
    {
        m_lookup.status(id, [this, done](LookupOutcome outcome, JobStatus status) {
            metrics.noteLookup(outcome);
            done(outcome, status);
        });
    }

    [[nodiscard]] std::vector<JobSummary> jobs(const std::optional<std::string>& queue, std::size_t most) const
    {
        std::vector<JobSummary> list;
        for (const auto& [id, entry] : m_catalog.all()) {
            if (list.size() == most)
                break;
            if (entry.record && (!queue || entry.record->queue == *queue))
                list.push_back(summaryOf(id, entry));
        }
        return list;
    }

    [[nodiscard]] std::optional<JobReport> job(const std::string& id) const
    {
        const CatalogEntry* entry = m_catalog.find(id);
        if (!entry || !entry->record)
            return std::nullopt;
        std::optional<std::vector<StepReport>> steps = m_scheduler.report(id);
        return JobReport { .job = summaryOf(id, *entry), .pool = entry->record->pool, .cancelled = entry->cancelled, .ownedHere = steps.has_value(), .owner = m_ownership.holder(), .steps = std::move(steps).value_or(std::vector<StepReport>()) };
    }

    [[nodiscard]] std::vector<ShardReport> shards() const
    {
        return { { .shard = theShard, .owner = m_ownership.holder(), .term = m_ownership.lastTerm(), .ownedHere = m_ownership.isHeld(), .copyAgeMillis = copyAge() } };
    }

    [[nodiscard]] OrganisationsReport organisations() const
    {
        return { .ownedHere = m_scheduler.isActive(), .owner = m_ownership.holder(), .organisations = m_scheduler.organisations() };
    }

    [[nodiscard]] EvacuationsReport evacuations() const
    {
        return { .ownedHere = m_scheduler.isActive(), .owner = m_ownership.holder(), .confirmed = m_evacuations.isConfirmed(), .ageMillis = m_evacuations.isKnown() ? since(m_evacuations.confirmedAt()) : 0, .halls = m_scheduler.closedHalls() };
    }

    [[nodiscard]] WorkersReport workers() const
    {
        return { .ownedHere = m_scheduler.isActive(), .owner = m_ownership.holder(), .workers = m_scheduler.workers() };
    }

    [[nodiscard]] CopyReading readingOf(const std::string& name, const StoreMirror& copy) const
    {
        return { .name = name, .counts = copy.counts(), .ageSeconds = secondsSince(copy.freshAt()) };
    }

    [[nodiscard]] std::string metricsText() const
    {
        const UnsavedChanges unsaved = m_scheduler.unsaved();
        const MetricsReading reading { .ready = isReady(),
            .owner = m_ownership.isHeld(),
            .configurationVersion = m_configuration ? m_configuration->version : 0,
            .configurationAgeSeconds = secondsSince(m_configurations.provenAt()),
            .configurationReads = m_configurations.counts(),
            .jobs = m_catalog.all().size(),
            .storeAgeSeconds = secondsSince(hasCopy() ? m_jobs.freshAt() : m_owners.freshAt()),
            .copies = { readingOf("jobs", m_jobs), readingOf("ownership", m_owners), readingOf("workers", m_workers), readingOf("waves", m_waves) },
            .storeState = m_access->condition()->state,
            .hedges = m_access->hedges(),
            .unsavedChanges = unsaved.jobs,
            .unsavedOldestSeconds = unsaved.oldest ? secondsSince(*unsaved.oldest) : 0,
            .unreadableItems = m_catalog.unreadable(),
            .logLinesDropped = m_parts.log->dropped(),
            .decisionsOmitted = m_parts.log->omitted(),
            .carriedCalls = m_relay.calls(),
            .organisations = m_scheduler.organisations(),
            .evacuations = evacuations(),
            .ejectedWorkers = m_scheduler.ejectedByPool(),
            .work = m_meter.total(),
            .reachability = m_relayedWorkers.reachability() };
        return metrics.text(reading, m_scheduler.counts(), m_fleet.counts(), m_relayedWorkers.counts());
    }

    JobMetrics metrics;
    RefusedSubmissions m_refusals;
    DemandReport m_demand;
    std::minstd_rand m_random; ///< Seeded by the name: instances spread their callers differently.
    std::unique_ptr<StoreAccess> m_access;
    JobServiceParts m_parts;
    JobServiceSettings m_settings;
    WorkMeter m_meter;
    std::string m_holder;
    std::shared_ptr<const ServiceConfiguration> m_configuration;
    JobCatalog m_catalog;
    WorkerDirectory m_directory;
    StoreMirror m_jobs;
    StoreMirror m_owners; ///< Of the ownership's keys alone: a loss is heard of at once.
    DocumentReplica m_configurations;
    StoreMirror m_workers;
    StoreMirror m_waves;
    OwnershipKeeper m_ownership;
    RelayedWorkers m_relayedWorkers; ///< What the owner calls.
    OrderRelay m_relay; ///< Carries calls for another owner.
    HallEvacuations m_evacuations;
    AdmissionGate m_gate;
    JobScheduler m_scheduler;
    FleetKeeper m_fleet;
    JobIntake m_intake;
    JobLookup m_lookup;
    QueueCountsReader m_countsReader;
    QueueCountsWriter m_countsWriter;
    JobRetirement m_retirement;
    std::optional<Ownership> m_claimed; ///< A term that has not begun yet.
    bool m_isConfigurationProven = true; ///< As it was logged last.
    bool m_stopping = false;
    bool m_storeAnswers = true;
    bool m_copyLags = false; ///< The copy of the jobs is behind a store that answers.

private:
    /// \returns Whether the job is known and not for this caller; logs it.
    bool isForeign(const Caller& caller, const std::string& id)
    {
        const CatalogEntry* entry = m_catalog.find(id);
        if (!entry || !entry->record || mayUse(caller, *entry->record))
            return false;
        metrics.noteTurnedAway("other-organisation");
        m_parts.log->decision("caller-refused", { { "job", id }, { "queue", caller.queue }, { "reason", std::string("other-organisation") }, { "organisation", caller.organisation } });
        return true;
    }

    /// \returns Whether this machine is one that takes a free ownership at once.
    [[nodiscard]] bool isStandby() const { return isStandbyMachine(m_settings); }

    [[nodiscard]] double secondsSince(MonotonicInstant from) const
    {
        return std::chrono::duration<double>(m_parts.loop->now() - from).count();
    }

    /// \returns Age of the proof that the configuration is the newest.
    [[nodiscard]] std::int64_t configurationAge() const { return since(m_configurations.provenAt()); }

    [[nodiscard]] std::int64_t since(MonotonicInstant from) const
    {
        return std::chrono::duration_cast<Millis>(m_parts.loop->now() - from).count();
    }

    JobSchedulerOptions schedulerOptions()
    {
        return { .loop = m_parts.loop,
            .store = m_parts.store,
            .mirror = &m_jobs,
            .catalog = &m_catalog,
            .directory = &m_directory,
            .workers = &m_relayedWorkers,
            .advisor = m_parts.advisor,
            .ownership = &m_ownership,
            .evacuations = &m_evacuations,
            .log = m_parts.log,
            .meter = &m_meter,
            .configuration = [this] { return m_configuration; },
            .publishGrants = [this](const AdmissionGrants& grants) { m_gate.apply(m_relayedWorkers.grant(grants), m_parts.loop->now()); },
            .isConfigurationCurrent = [this] { return isConfigurationCurrent(); },
            .ownershipTime = m_settings.ownershipTime,
            .workerLeaseTime = m_settings.workerLeaseTime,
            .placement = m_settings.policies.placement,
            .crashes = m_settings.policies.crashes,
            .checkpointMove = { .restore = m_settings.restoreTime },
            .health = m_settings.policies.workerHealth,
            .failureDomains = m_settings.policies.failureDomains,
            .admission = m_settings.policies.admission,
            .seesRises = m_settings.policies.capacity.seesRises };
    }

    FleetKeeperOptions fleetOptions()
    {
        return { .loop = m_parts.loop,
            .store = m_parts.store,
            .fleet = m_parts.fleet,
            .scheduler = &m_scheduler,
            .ownership = &m_ownership,
            .evacuations = &m_evacuations,
            .documents = m_parts.documents,
            .log = m_parts.log,
            .meter = &m_meter,
            .configuration = [this] { return m_configuration; },
            .holder = m_settings.name,
            .handover = m_settings.handover,
            .maintenanceTime = m_settings.maintenanceTime,
            .moveTime = m_settings.moveTime,
            .actsPerSecond = m_settings.fleetActsPerSecond,
            .capacity = m_settings.policies.capacity,
            .movesEvacuated = m_settings.policies.failureDomains.enabled };
    }

    void onOwnership(const StoreItem& item)
    {
        m_ownership.observe(item);
        m_relay.follow(m_ownership.holderPeer());
    }

    void onItem(const StoreItem& item)
    {
        const WorkMeter::Piece piece(&m_meter, WorkKind::StoreNews);
        if (item.key.compare(0, ownershipPrefix.size(), ownershipPrefix) == 0)
            m_owners.noteWritten(item);
        static_cast<void>(m_catalog.apply(item));
    }

    void onConfiguration(const StoreItem& item)
    {
        if (item.key != m_parts.documents->configurationKey() || item.removed)
            return;
        const MonotonicInstant receivedAt = m_parts.loop->now();
        std::optional<ServiceConfiguration> configuration = m_parts.documents->readConfiguration(item.value);
        if (!configuration) {
            m_parts.log->change("configuration-unreadable", { { "revision", static_cast<std::int64_t>(item.revision) } });
            return;
        }
        if (m_configuration && configuration->version <= m_configuration->version)
            return;
        m_parts.log->change("configuration-in-force",
            { { "version", static_cast<std::int64_t>(configuration->version) }, { "queues", static_cast<std::int64_t>(configuration->queues.size()) }, { "organisations", static_cast<std::int64_t>(configuration->organisations.all().size()) },
                { "revision", static_cast<std::int64_t>(item.revision) }, { "bytes", static_cast<std::int64_t>(item.value.size()) }, { "parse_ms", since(receivedAt) } });
        for (const OrganisationFault& fault : configuration->organisations.faults())
            m_parts.log->change("configuration-fault", { { "version", static_cast<std::int64_t>(configuration->version) }, { "organisation", fault.organisation }, { "fault", std::string(describe(fault.code)) } });
        m_configuration = std::make_shared<const ServiceConfiguration>(std::move(*configuration));
        m_scheduler.onConfigurationChanged();
    }

    void onWorker(const StoreItem& item)
    {
        const WorkMeter::Piece piece(&m_meter, WorkKind::StoreNews);
        const std::string id = item.key.substr(m_parts.documents->workerPrefix().size());
        if (item.removed) {
            if (m_ownership.isHeld())
                m_parts.log->decision("worker-removed", { { "worker", id } });
            m_directory.remove(id);
            return;
        }
        WorkerEntryFault fault = WorkerEntryFault::None;
        const std::optional<WorkerEntry> worker = m_parts.documents->readWorker(id, item.value, &fault);
        if (!worker) {
            m_parts.log->decision("worker-unreadable", { { "worker", id }, { "fault", std::string(nameOf(fault)) }, { "revision", static_cast<std::int64_t>(item.revision) } });
            // A worker that it named before may live on, as one whose entry was removed.
            m_directory.remove(id);
            return;
        }
        if (m_directory.put(*worker) && m_ownership.isHeld())
            m_parts.log->decision("worker-entry",
                { { "worker", id }, { "pool", worker->pool }, { "draining", std::int64_t { worker->draining } }, { "revision", static_cast<std::int64_t>(item.revision) } });
    }

    void onWave(const StoreItem& item)
    {
        if (item.removed)
            return;
        if (const std::optional<WaveRequest> wave = m_parts.documents->readWave(item.value))
            m_fleet.onWave(*wave);
        else
            m_parts.log->change("wave-unreadable", { { "key", item.key } });
    }

    void onConfigurationReading(const DocumentCallResult& reading)
    {
        noteConfigurationReading(reading);
        noteProof();
        const bool isAnswered = reading.outcome != StoreOutcome::Unknown && reading.outcome != StoreOutcome::NotDone;
        if (isAnswered) {
            m_jobs.noteStoreRevision(reading.newRevision, reading.sentAt);
            m_intake.noteAnswered(reading.sentAt);
        }
        // A watch may be cut at any time, and a call whose repeat was answered says nothing of the store.
        if (isAnswered || (reading.call != DocumentCall::Watch && m_configurations.answeredAt() < reading.sentAt))
            noteStore(isAnswered ? StoreOutcome::Done : reading.outcome);
    }

    /// Tells apart what keeps a new configuration from being read: no answer, a slow one, or a loop that was busy.
    void noteConfigurationReading(const DocumentCallResult& reading)
    {
        constexpr Millis slow { 300 };
        const bool isSlow = reading.call != DocumentCall::Watch && reading.endedAt - reading.dueAt >= slow;
        if (reading.outcome == StoreOutcome::Done && reading.bytes == 0 && !isSlow)
            return;
        m_parts.log->decision("configuration-read",
            { { "call", std::string(nameOf(reading.call)) }, { "outcome", std::string(nameOf(reading.outcome)) }, { "ms", since(reading.sentAt) }, { "sent_late_ms", std::chrono::duration_cast<Millis>(reading.sentAt - reading.dueAt).count() }, { "bytes", static_cast<std::int64_t>(reading.bytes) },
                { "configuration", static_cast<std::int64_t>(m_configuration ? m_configuration->version : 0) }, { "configuration_age_ms", configurationAge() } });
    }

    /// One line when the configuration may have been replaced too long ago, one when it is known to be the newest again.
    void noteProof()
    {
        const bool isProven = isConfigurationCurrent();
        if (!m_configuration || std::exchange(m_isConfigurationProven, isProven) == isProven)
            return;
        m_parts.log->change(isProven ? "configuration-proven" : "configuration-unproven",
            { { "configuration", static_cast<std::int64_t>(m_configuration->version) }, { "configuration_age_ms", configurationAge() }, { "bound_ms", static_cast<std::int64_t>(m_settings.configurationApplyTime.count()) } });
    }

    /// An owner that lags behind the store, for want of processor time or of a path, is none.
    void checkCopyLater()
    {
        m_parts.loop->callAt(m_parts.loop->now() + copyCheck, [this] {
            const MonotonicInstant now = m_parts.loop->now();
            const bool lags = now - m_jobs.freshAt() > oldestCopyOfOwner && now - m_ownership.heldSince() > oldestCopyOfOwner;
            if (m_ownership.isHeld() && lags) {
                m_parts.log->change("ownership-resigned", { { "epoch", static_cast<std::int64_t>(m_ownership.ownership().epoch) }, { "copy_age_ms", copyAge() } });
                m_ownership.resign(resignedFor);
            }
            noteLag();
            if (!isStandby() && !m_ownership.isHeld() && !m_claimed && m_catalog.all().size() > maxJobsWithoutCopy)
                forgetJobs();
            m_directory.forgetOld();
            checkCopyLater();
        });
    }

    void forgetJobs()
    {
        m_jobs.clear();
        m_catalog.clear();
        m_retirement.clear();
    }

    /// One line when the copy of the jobs falls behind a store that answers, one when it has caught up.
    void noteLag()
    {
        const MonotonicInstant now = m_parts.loop->now();
        const bool lags = now - m_jobs.freshAt() > maxCountAge && now - m_jobs.answeredAt() <= maxCountAge;
        if (std::exchange(m_copyLags, lags) != lags)
            m_parts.log->change(lags ? "copy-behind" : "copy-caught-up", { { "copy_age_ms", copyAge() }, { "answer_age_ms", since(m_jobs.answeredAt()) }, { "revision", static_cast<std::int64_t>(m_jobs.revision()) }, { "changes", static_cast<std::int64_t>(m_jobs.counts().changes) }, { "parts", static_cast<std::int64_t>(m_jobs.counts().parts) } });
    }

    /// The owner's calls go at once when the store answers again. Others spread theirs: all entry instances share its rates.
    void onStoreCondition(const StoreCondition& from, const StoreCondition& to)
    {
        if (!isOutage(from.state) || isOutage(to.state))
            return;
        if (m_parts.loop->now() - from.since > shortOutage)
            m_fleet.noteOutageOver();
        const bool goesFirst = m_claimed || m_ownership.holder() == m_holder;
        const Millis pause = goesFirst ? Millis(0) : spreadOf(m_settings.name, m_settings.policies.storeOutages.returnSpread);
        // Calls that were sent after the store answered again are not sent once more.
        m_parts.loop->callAt(m_parts.loop->now() + pause, [this, answeredAt = m_access->answeredAt()] { sendWaitingCalls(answeredAt); });
    }

    /// In the order of what others wait for: starts for the ownership and the copy, moves for the record of actions.
    void sendWaitingCalls(MonotonicInstant answeredAt)
    {
        m_ownership.renewNow();
        m_configurations.checkNow(answeredAt);
        for (StoreMirror* copy : { &m_owners, &m_jobs, &m_workers, &m_waves })
            copy->retryNow(answeredAt);
        m_fleet.retryStore();
        m_access->resendWaiting(answeredAt);
    }

    /// One line when the store stops to answer, one when it does again.
    void noteStore(StoreOutcome outcome)
    {
        const bool answers = outcome == StoreOutcome::Done || outcome == StoreOutcome::NotFound;
        if (std::exchange(m_storeAnswers, answers) == answers)
            return;
        m_parts.log->change(answers ? "store-back" : "store-lost", { { "outcome", std::string(nameOf(outcome)) }, { "copy_age_ms", copyAge() } });
    }

    /// Orders wait until this copy holds everything written before the ownership was taken.
    void gained(const Ownership& ownership)
    {
        m_parts.log->change("ownership-claimed", { { "epoch", static_cast<std::int64_t>(ownership.epoch) }, { "term", static_cast<std::int64_t>(ownership.term) }, { "copy_age_ms", copyAge() } });
        m_claimed = ownership;
        m_evacuations.start();
        m_relay.follow({});
        m_relayedWorkers.activate();
        m_jobs.setWatchOptions(ownerWatchGap, ownerWatchTime, true);
        if (!isStandby()) {
            m_jobs.resume({});
            m_waves.resume({});
        }
        // Heartbeats grow with the workers: at a fixed pace an owner of many reads them late, and starts tasks on workers that drain.
        m_workers.setWatchOptions(workerWatchGap, watchTime, true);
        m_jobs.whenRevisionReached(ownership.epoch, [this, ownership] {
            if (m_claimed != ownership)
                return;
            m_parts.log->change("takeover-copy-reached", { { "epoch", static_cast<std::int64_t>(ownership.epoch) }, { "jobs", static_cast<std::int64_t>(m_catalog.all().size()) } });
            m_workers.resume([this, ownership] {
                m_directory.forgetRemoved();
                m_parts.log->change("takeover-workers-listed", { { "epoch", static_cast<std::int64_t>(ownership.epoch) }, { "workers", static_cast<std::int64_t>(m_directory.all().size()) } });
                activate(ownership);
            });
        });
    }

    void activate(const Ownership& ownership)
    {
        if (m_claimed != ownership)
            return;
        if (!m_ownership.isHeld() || !m_configuration || !m_workers.isLoaded()) {
            m_parts.loop->callAt(m_parts.loop->now() + stopCheck, [this, ownership] { activate(ownership); });
            return;
        }
        m_claimed.reset();
        m_scheduler.activate(ownership);
        m_fleet.activate(ownership);
    }

    void lost()
    {
        m_claimed.reset();
        m_evacuations.stop();
        m_jobs.setWatchOptions(watchGap, watchTime, true);
        if (isStandby())
            m_workers.setWatchOptions(standbyWatchGap, watchTime, false);
        else
            m_workers.pause();
        m_fleet.deactivate();
        m_scheduler.deactivate();
        m_relayedWorkers.deactivate();
        if (!isStandby()) {
            m_jobs.pause();
            m_waves.pause();
            forgetJobs();
        }
    }

    /// Serves until `least`, then until every call has its answer, at the most until `most`.
    void serveUntil(MonotonicInstant least, MonotonicInstant most, const std::function<void()>& done)
    {
        const MonotonicInstant now = m_parts.loop->now();
        if (now < least || (m_intake.inFlight() + m_lookup.inFlight() + m_relay.inFlight() > 0 && now < most))
            m_parts.loop->callAt(now + stopCheck, [this, least, most, done] { serveUntil(least, most, done); });
        else
            done();
    }
};

JobService::JobService(const JobServiceParts& parts, const JobServiceSettings& settings)
{
    auto access = std::make_unique<StoreAccess>(*parts.loop, *parts.store, *parts.log, settings.policies.storeOutages);
    JobServiceParts wrapped = parts;
    wrapped.store = &access->store();
    m_impl = std::make_unique<Impl>(wrapped, settings, std::move(access));
}

JobService::~JobService() = default;

void JobService::start()
{
    m_impl->start();
}

void JobService::stop(const std::function<void()>& done)
{
    m_impl->stop(done);
}

std::shared_ptr<const ServiceConfiguration> JobService::configuration() const
{
    return m_impl->m_configuration;
}

bool JobService::takesRequests() const
{
    return m_impl->takesRequests();
}

bool JobService::isReady() const
{
    return m_impl->isReady();
}

Millis JobService::retryAfter() const noexcept
{
    return defaultRetryAfter;
}

Millis JobService::retryAfter(const std::string& submission)
{
    return m_impl->retryAfter(submission);
}

Millis JobService::retryAfterRefusal(const Caller& caller) const
{
    return m_impl->m_gate.retryAfter(caller.queue, caller.organisation);
}

void JobService::submit(const Caller& caller, const std::string& id, JobSpec spec, std::function<void(AcceptOutcome)> done)
{
    m_impl->submit(caller, id, std::move(spec), std::move(done));
}

void JobService::submit(const std::string& queue, const std::string& id, JobSpec spec, std::function<void(AcceptOutcome)> done)
{
    m_impl->submit({ .queue = queue, .organisation = {}, .isOpen = true }, id, std::move(spec), std::move(done));
}

void JobService::status(const Caller& caller, const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done)
{
    m_impl->status(caller, id, done);
}

void JobService::cancel(const Caller& caller, const std::string& id, std::function<void(LookupOutcome)> done)
{
    m_impl->cancel(caller, id, std::move(done));
}

AdmittedCall JobService::admit(std::string_view host, std::string_view path, std::optional<std::string_view> key)
{
    return m_impl->admit(host, path, key);
}

WorkersReport JobService::workers() const
{
    return m_impl->workers();
}

OrganisationsReport JobService::organisations() const
{
    return m_impl->organisations();
}

EvacuationsReport JobService::evacuations() const
{
    return m_impl->evacuations();
}

void JobService::noteRejected(const std::string& id, JobFault fault)
{
    m_impl->metrics.noteRejected();
    m_impl->m_parts.log->decision("job-rejected", { { "job", id }, { "reason", std::string(describe(fault)) } });
}

void JobService::status(const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done)
{
    m_impl->status(id, done);
}

void JobService::cancel(const std::string& id, std::function<void(LookupOutcome)> done)
{
    m_impl->cancel(id, std::move(done));
}

void JobService::pending(const std::string& queue, const std::function<void(std::optional<std::uint64_t>)>& done)
{
    m_impl->pending(queue, done);
}

std::vector<JobSummary> JobService::jobs(const std::optional<std::string>& queue, std::size_t most) const
{
    return m_impl->jobs(queue, most);
}

std::optional<JobReport> JobService::job(const std::string& id) const
{
    return m_impl->job(id);
}

std::vector<ShardReport> JobService::shards() const
{
    return m_impl->shards();
}

const SchedulerCounts& JobService::schedulerCounts() const noexcept
{
    return m_impl->m_scheduler.counts();
}

std::string JobService::metrics() const
{
    return m_impl->metricsText();
}

} // namespace lanemoor::jobs
