#include "lanemoor/jobs/service/job_service.h"

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/intake/admission_gate.h"
#include "lanemoor/jobs/intake/demand_report.h"
#include "lanemoor/jobs/intake/job_canceller.h"
#include "lanemoor/jobs/intake/job_catalog.h"
#include "lanemoor/jobs/intake/job_lookup.h"
#include "lanemoor/jobs/intake/queue_counts_reader.h"
#include "lanemoor/jobs/intake/refused_submissions.h"
#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/model/platform_documents.h"
#include "lanemoor/jobs/model/work_meter.h"
#include "lanemoor/jobs/owner/fleet_controller.h"
#include "lanemoor/jobs/owner/hall_evacuations.h"
#include "lanemoor/jobs/owner/job_retirement.h"
#include "lanemoor/jobs/owner/job_scheduler.h"
#include "lanemoor/jobs/owner/ownership_manager.h"
#include "lanemoor/jobs/owner/queue_counts_writer.h"
#include "lanemoor/jobs/owner/worker_directory.h"
#include "lanemoor/jobs/relay/command_relay.h"
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

constexpr const char* shardName = "all"; // There is a single shard: one owner for all pools.
constexpr Millis watchTime { 1'000 };
/// Pause between watches of the jobs. The owner needs new jobs soon; other instances only show their
/// status, which the platform allows to be some seconds old.
constexpr Millis ownerWatchGap { 50 };
/// A watch without changes only proves the state as of its start; with this duration the owner's replica stays below a second old.
constexpr Millis ownerWatchTime { 500 };
constexpr Millis watchGap { 500 };
/// The ownership's keys rarely change, and the watch of the jobs reports them too.
constexpr Millis ownershipWatchTime { 3'000 };
/// Waves last for tens of seconds.
constexpr Millis waveWatchTime { 5'000 };
/// Drains are announced seconds ahead, and an earlier notice saves work. Each heartbeat is a change, so nearly every watch
/// of the workers is answered at once. Only the owner watches them this often: 1,100 workers send 730 heartbeats a second.
constexpr Millis workerWatchGap { 150 };
/// Standby machines watch the workers less often. A new owner then knows how long ago it first saw each worker's incarnation, so
/// that a single list of the fleet shows which incarnations have ended.
constexpr Millis standbyWatchGap { 1'000 };
/// Time without answers of the store, longer than a watch and a call, after which this instance can't accept
/// jobs and reports that it is not ready.
constexpr Millis storeUnavailableAfter { 2'500 };
/// Machines with fewer cores delay their claim of a free ownership. The owner of 349 workers uses 0.18 cores.
constexpr double minOwnerCores = 0.2;
constexpr Millis smallMachineClaimDelay { 600 };
constexpr int renewalsPerLease = 4; // Two renewals may fail before the lease expires.
/// An owner with an older replica of the jobs would see cancels too late. It resigns, and does not claim the
/// ownership for a while.
constexpr Millis maxOwnerReplicaAge { 4'000 };
constexpr Millis resignationPause { 5'000 };
constexpr Millis replicaCheckInterval { 500 };
/// With an older replica the owner publishes no counts of pending jobs: a count is up to a second older when it is read.
constexpr Millis maxCountableReplicaAge { 700 };
/// Max jobs in the catalog of an instance without a replica; beyond it the catalog is cleared.
constexpr std::size_t maxJobsWithoutReplica = 10'000;
constexpr Millis defaultRetryAfter { 1'000 };
/// A shorter outage hides no load: callers retry after a second, and the plan uses the demand of the last two seconds.
constexpr Millis shortOutage { 1'000 };
constexpr Millis stopCheckInterval { 20 };
/// The load balancer polls readiness every second and acts on the second failure. Until then it sends new
/// connections, which a closed port would refuse.
constexpr Millis unreadyDetectionTime { 2'600 };
constexpr Millis stopReserve { 1'500 }; // Part of the grace time that is left for sending the last answers.

/// \returns Options of the configuration's replica. Two checks may fail before requests must be deferred.
DocumentReplicaOptions configurationOptions(const JobServiceSettings& settings, std::string key)
{
    constexpr double shareOfApplyTime = 0.35;
    constexpr double overdueShare = 0.125;
    constexpr Millis maxPause { 2'000 }; // Below `storeUnavailableAfter`, since readiness depends on these checks too.
    const auto share = [&](double part) { return Millis(static_cast<Millis::rep>(part * static_cast<double>(settings.configurationApplyTime.count()))); };
    return { .key = std::move(key), .checkEvery = std::min(share(shareOfApplyTime), maxPause), .overdueAfter = share(overdueShare) };
}

Millis claimDelayOf(const JobServiceSettings& settings)
{
    const bool isSmall = settings.machineCores > 0 && settings.machineCores < minOwnerCores;
    return isSmall ? smallMachineClaimDelay : Millis(0);
}

/// \returns Whether the machine claims a free ownership without delay. Other machines keep no replica of the jobs, since every
/// entry instance would then read each change.
bool isStandbyMachine(const JobServiceSettings& settings) { return claimDelayOf(settings).count() == 0; }

JobLookupOptions lookupOptions(const JobServiceSettings& settings)
{
    JobLookupOptions options = settings.policies.lookup;
    options.holdsAllJobs = isStandbyMachine(settings);
    return options;
}

/// \returns A time below `spread` that depends only on the instance's name, so that it is the same after a restart.
Millis offsetWithin(const std::string& name, Millis spread)
{
    return spread.count() == 0 ? Millis(0) : Millis(static_cast<Millis::rep>(std::hash<std::string> {}(name) % static_cast<std::size_t>(spread.count())));
}

/// \returns Time after submission within which the result of a job is useful: three times its latency objective.
Millis usefulTime(const JobPolicy& policy, const JobSpec& spec)
{
    constexpr int objectives = 3;
    return objectives * policy.objective(criticalPathDuration(spec));
}

/// \returns Host and path prefix of `queue`.
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
    /// \param parts Dependencies, with the store of `access`.
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
        , m_ownership(*parts.loop, *parts.store, m_owners, { .shard = shardName, .holder = m_holder, .peer = parts.peerAddress, .leaseTime = settings.ownershipTime, .renewEvery = settings.ownershipTime / renewalsPerLease, .claimDelay = claimDelayOf(settings) },
              { .gained = [this](const Ownership& ownership) { gained(ownership); }, .lost = [this] { lost(); }, .suspended = [this] { m_parts.log->change("ownership-suspended", { { "copy_age_ms", replicaAge() } }); }, .resumed = [this] { m_parts.log->change("ownership-resumed", { { "copy_age_ms", replicaAge() } }); }, .claimFailed = [this](StoreOutcome outcome) { m_parts.log->decision("ownership-claim-failed", { { "outcome", std::string(nameOf(outcome)) } }); }, .revokingLease = [this](const std::string& holder) { m_parts.log->change("lost-owner-lease-ended", { { "holder", holder } }); } })
        , m_relayedWorkers({ .loop = parts.loop, .peers = parts.peers, .direct = parts.workers, .log = parts.log, .meter = &m_meter, .demandReported = [this](const EntryDemand& demand) { m_scheduler.noteDemand(demand); } }, settings.policies.relay, settings.machineCores, settings.policies.reachability, settings.dataHall)
        , m_relay({ .loop = parts.loop, .peers = parts.peers, .workers = parts.workers, .store = parts.store, .log = parts.log, .ownerEnded = [this](const std::string& address) { m_ownership.revokeCrashedOwner(address); }, .takeDemand = [this] { return m_demand.take(); }, .granted = [this](const AdmissionGrants& grants) { m_gate.apply(grants, m_parts.loop->now()); } }, settings.name, settings.machineCores, settings.dataHall)
        , m_evacuations({ .loop = parts.loop, .store = parts.store, .log = parts.log, .prefix = parts.documents->evacuationPrefix(), .bound = settings.evacuationTime })
        , m_gate(settings.name)
        , m_scheduler(schedulerOptions())
        , m_fleet(fleetOptions())
        , m_intake(*parts.loop, *parts.store, m_jobs, m_catalog)
        , m_canceller(*parts.loop, *parts.store, m_jobs, m_catalog)
        , m_lookup(
              *parts.loop, *parts.store, m_jobs, m_catalog, [this] { return (m_ownership.isHeld() && hasReplica()) || m_intake.isStoreUnavailable(); }, lookupOptions(settings))
        , m_countsReader(*parts.loop, *parts.store)
        , m_countsWriter({ .loop = parts.loop, .store = parts.store, .catalog = &m_catalog, .ownership = &m_ownership, .configuration = [this] { return m_configuration; }, .isCurrent = [this] { return m_parts.loop->now() - m_jobs.freshAt() < maxCountableReplicaAge; } })
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
        scheduleReplicaCheck();
        m_retirement.start();
        m_countsWriter.start();
    }

    void stop(const std::function<void()>& done)
    {
        m_stopping = true;
        m_parts.log->change("stopping", { { "owner", std::int64_t { m_ownership.isHeld() } } });
        // Another instance runs the jobs from now on. Callers are still served here.
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
        serveUntil(std::min(now + unreadyDetectionTime, by), by, done);
    }

    [[nodiscard]] bool takesRequests() const { return m_configuration && (isStandby() ? m_jobs : m_owners).isLoaded(); }

    /// \returns Whether this instance keeps a replica of all jobs.
    [[nodiscard]] bool hasReplica() const { return isStandby() || m_scheduler.isActive(); }

    /// \returns When the latest answered periodic call to the store was sent.
    [[nodiscard]] MonotonicInstant storeAnsweredAt() const { return isStandby() ? m_jobs.answeredAt() : std::max(m_owners.answeredAt(), m_configurations.answeredAt()); }

    /// \returns Age of the replica of the jobs in ms; of the ownership's replica if there is none of the jobs.
    [[nodiscard]] std::int64_t replicaAge() const { return since(hasReplica() ? m_jobs.freshAt() : m_owners.freshAt()); }

    void pending(const std::string& queue, const std::function<void(std::optional<std::uint64_t>)>& done)
    {
        const auto answer = [this, queue, done, sentAt = m_parts.loop->now(), configuration = m_configuration, configurationAge = configurationAge()](std::optional<std::uint64_t> count) {
            m_parts.log->decision("queue-counted",
                { { "queue", queue }, { "route", routeOf(*configuration, queue) }, { "configuration", static_cast<std::int64_t>(configuration->version) }, { "configuration_age_ms", configurationAge }, { "outcome", std::string(count ? "counted" : "unavailable") }, { "ms", since(sentAt) } });
            done(count);
        };
        if (!hasReplica())
            m_countsReader.pending(queue, answer);
        else
            answer(m_parts.loop->now() - m_jobs.freshAt() > maxCountAge ? std::nullopt : std::optional(m_catalog.pending(queue)));
    }

    [[nodiscard]] bool isReady() const
    {
        return !m_stopping && takesRequests() && isConfigurationCurrent() && !m_intake.isStoreUnavailable() && m_parts.loop->now() - storeAnsweredAt() < storeUnavailableAfter;
    }

    /// \returns Whether this instance has every configuration that must be in force by now; only then are decisions based on it valid.
    [[nodiscard]] bool isConfigurationCurrent() const { return m_parts.loop->now() - m_configurations.provenAt() <= m_settings.configurationApplyTime; }

    [[nodiscard]] bool trustsKeys() const
    {
        const Millis bound = m_settings.configurationTrust;
        return bound.count() == 0 || m_parts.loop->now() - m_configurations.provenAt() <= bound;
    }

    void submit(const Caller& caller, const std::string& id, JobSpec spec, std::function<void(AcceptOutcome)> done)
    {
        const std::optional<KnownQueue> queue = m_configuration->lastKnownQueue(caller.queue);
        const std::optional<JobPolicy> policy = queue ? std::optional(queue->policy()) : std::nullopt;
        const MonotonicInstant usefulUntil = m_parts.loop->now() + usefulTime(policy.value_or(JobPolicy {}), spec);
        const JobRecord record { .queue = caller.queue, .pool = queue ? queue->settings->pool : std::string(), .acceptedAt = m_parts.loop->timeOfDay(), .spec = std::move(spec), .organisation = caller.organisation, .policy = policy };
        const AdmissionDecision gateResult = decide(caller, id, record.spec);
        const auto answer = [this, id, caller, gateResult, usefulUntil, spec = record.spec, done = std::move(done), sentAt = m_parts.loop->now(), version = m_configuration->version, configurationAge = configurationAge()](AcceptOutcome outcome) {
            metrics.noteSubmitted(caller.queue, outcome, secondsSince(sentAt));
            noteSubmission(caller, id, spec, usefulUntil, outcome);
            m_parts.log->decision("job-handed-in",
                { { "job", id }, { "queue", caller.queue }, { "organisation", caller.organisation }, { "configuration", static_cast<std::int64_t>(version) }, { "configuration_age_ms", configurationAge }, { "outcome", std::string(nameOf(outcome)) }, { "ms", since(sentAt) } });
            if (outcome == AcceptOutcome::Refused)
                noteRefused(caller, id, gateResult);
            done(outcome);
        };
        if (gateResult.admitted)
            m_intake.accept(caller, id, record, stillAdmitted(), answer);
        else
            m_intake.refuse(caller, id, record, answer);
    }

    /// \returns A predicate that tells whether a request that is admitted now is still admitted when it takes effect: the configuration may be
    /// replaced while the job waits to be written.
    [[nodiscard]] std::function<bool()> stillAdmitted() const
    {
        return [this, version = m_configuration->version, until = m_configurations.provenAt() + m_settings.configurationApplyTime] { return m_parts.loop->now() <= until || (m_configuration->version == version && isConfigurationCurrent()); };
    }

    /// A resubmitted job is not refused, since it may be stored already.
    AdmissionDecision decide(const Caller& caller, const std::string& id, const JobSpec& spec)
    {
        if (!m_settings.policies.admission.enabled || caller.organisation.empty() || m_intake.isKnown(id))
            return {};
        const OrganisationSettings* organisation = m_configuration->organisations.find(caller.organisation);
        return m_gate.decide(caller.queue, caller.organisation, spec, organisation ? organisation->weight : 0, m_parts.loop->now());
    }

    void noteRefused(const Caller& caller, const std::string& id, const AdmissionDecision& gateResult)
    {
        metrics.noteRefused(caller.queue, std::string(nameOf(gateResult.basis)));
        const AdmissionBudget& budget = gateResult.budget;
        m_parts.log->decision("job-refused",
            { { "job", id }, { "queue", caller.queue }, { "organisation", caller.organisation }, { "reason", std::string(nameOf(gateResult.basis)) }, { "budget_ms", budget.workMillis }, { "rate_milli_cpu", budget.milliCpu }, { "use_permille", std::int64_t { budget.usePermille } },
                { "share_permille", std::int64_t { budget.sharePermille } }, { "expected_end_ms", std::int64_t { budget.expectedEnd.count() } }, { "limit_ms", std::int64_t { budget.limit.count() } }, { "grant_age_ms", std::int64_t { gateResult.grantAge.count() } }, { "retry_after_ms", std::int64_t { gateResult.retryAfter.count() } } });
    }

    /// Records submissions that the store did not accept: their retries are future load, which only this instance can report to the
    /// owner.
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
        if (outcome != AcceptOutcome::NotAccepted)
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

    AdmissionResult admit(std::string_view host, std::string_view path, std::optional<std::string_view> key)
    {
        const std::shared_ptr<const ServiceConfiguration> configuration = m_configuration;
        const auto refusal = [](Admission admission) { return AdmissionResult { .admission = admission, .caller = {}, .job = {} }; };
        if (!configuration || !takesRequests())
            return refusal(Admission::Deferred);
        if (!isConfigurationCurrent()) {
            logConfigurationProof();
            logUnserved("caller-deferred", "configuration-unproven", host, path);
            return refusal(Admission::Deferred);
        }
        const QueueSettings* queue = configuration->queueFor(host, path);
        if (!queue) {
            logUnserved("caller-refused", "no-such-queue", host, path);
            return refusal(Admission::NoSuchQueue);
        }
        std::optional<Caller> caller = identify(*configuration, *queue, key);
        if (!caller) {
            noteCallerRefused(queue->name, key);
            return refusal(Admission::KeyRefused);
        }
        if (!caller->isOpen && !trustsKeys())
            return refusal(Admission::Deferred);
        return { .admission = Admission::Admitted, .caller = std::move(*caller), .job = std::string(path.substr(queue->pathPrefix.size())) };
    }

    /// Logs a call whose route is unknown, or that is deferred since the configuration may be outdated.
    void logUnserved(const char* event, const char* reason, std::string_view host, std::string_view path)
    {
        constexpr std::size_t maxLoggedPath = 80; // The path is caller input.
        metrics.noteCallerRefused(reason);
        m_parts.log->decision(event,
            { { "reason", std::string(reason) }, { "route", std::string(host) + std::string(path.substr(0, maxLoggedPath)) }, { "configuration", static_cast<std::int64_t>(m_configuration->version) }, { "configuration_age_ms", configurationAge() } });
    }

    void noteCallerRefused(const std::string& queue, std::optional<std::string_view> key)
    {
        metrics.noteCallerRefused(key ? "unknown-key" : "no-key");
        m_parts.log->decision("caller-refused",
            { { "queue", queue }, { "reason", std::string(key ? "unknown-key" : "no-key") }, { "key", key ? ApiKeyDigest::of(*key).fingerprint() : std::string() }, { "configuration", static_cast<std::int64_t>(m_configuration->version) }, { "configuration_age_ms", configurationAge() } });
    }

    void status(const Caller& caller, const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done)
    {
        status(id, [this, caller, id, done](LookupOutcome outcome, JobStatus status) { done(outcome == LookupOutcome::Done && isForeign(caller, id) ? LookupOutcome::Foreign : outcome, status); });
    }

    /// \param caller Nothing: an operator.
    void cancel(const std::optional<Caller>& caller, const std::string& id, std::function<void(LookupOutcome)> done)
    {
        if (caller && isForeign(*caller, id)) {
            done(LookupOutcome::Foreign);
            return;
        }
        m_canceller.cancel(caller, id, [this, caller, id, done = std::move(done), sentAt = m_parts.loop->now()](LookupOutcome outcome) {
            if (outcome == LookupOutcome::Foreign)
                noteForeign(*caller, id);
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

    [[nodiscard]] std::vector<JobSummary> jobs(const std::optional<std::string>& queue, std::size_t limit) const
    {
        std::vector<JobSummary> list;
        for (const auto& [id, entry] : m_catalog.all()) {
            if (list.size() == limit)
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
        return { { .shard = shardName, .owner = m_ownership.holder(), .term = m_ownership.lastTerm(), .ownedHere = m_ownership.isHeld(), .replicaAgeMillis = replicaAge() } };
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

    [[nodiscard]] ReplicaReading readingOf(const std::string& name, const StoreMirror& replica) const
    {
        return { .name = name, .counts = replica.counts(), .ageSeconds = secondsSince(replica.freshAt()) };
    }

    [[nodiscard]] std::string metricsText() const
    {
        const UnsavedChanges unsaved = m_scheduler.unsaved();
        const MetricsReading reading { .ready = isReady(),
            .owner = m_ownership.isHeld(),
            .configurationVersion = m_configuration ? m_configuration->version : 0,
            .configurationAgeSeconds = secondsSince(m_configurations.provenAt()),
            .configurationReads = m_configurations.counts(),
            .jobs = m_catalog.all().size() - m_catalog.absentCancels(),
            .absentCancels = m_catalog.absentCancels(),
            .storeAgeSeconds = secondsSince(hasReplica() ? m_jobs.freshAt() : m_owners.freshAt()),
            .replicas = { readingOf("jobs", m_jobs), readingOf("ownership", m_owners), readingOf("workers", m_workers), readingOf("waves", m_waves) },
            .storeState = m_access->condition()->state,
            .hedges = m_access->hedges(),
            .unsavedChanges = unsaved.jobs,
            .unsavedOldestSeconds = unsaved.oldest ? secondsSince(*unsaved.oldest) : 0,
            .unreadableItems = m_catalog.unreadable(),
            .logLinesDropped = m_parts.log->dropped(),
            .decisionsOmitted = m_parts.log->omitted(),
            .callsForOtherOwners = m_relay.calls(),
            .organisations = m_scheduler.organisations(),
            .workerEvacuations = m_fleet.evacuations(),
            .evacuations = evacuations(),
            .ejectedWorkers = m_scheduler.ejectedByPool(),
            .work = m_meter.total(),
            .reachability = m_relayedWorkers.reachability() };
        return metrics.text(reading, m_scheduler.counts(), m_fleet.counts(), m_relayedWorkers.counts());
    }

    JobMetrics metrics;
    RefusedSubmissions m_refusals;
    DemandReport m_demand;
    std::minstd_rand m_random; ///< Seeded by the name, so that instances spread retries differently.
    std::unique_ptr<StoreAccess> m_access;
    JobServiceParts m_parts;
    JobServiceSettings m_settings;
    WorkMeter m_meter;
    std::string m_holder;
    std::shared_ptr<const ServiceConfiguration> m_configuration;
    JobCatalog m_catalog;
    WorkerDirectory m_directory;
    StoreMirror m_jobs;
    StoreMirror m_owners; ///< Replica of the ownership's keys alone, so that a loss of the ownership is seen at once.
    DocumentReplica m_configurations;
    StoreMirror m_workers;
    StoreMirror m_waves;
    OwnershipManager m_ownership;
    RelayedWorkers m_relayedWorkers; ///< Calls of this instance as the owner.
    CommandRelay m_relay; ///< Calls on behalf of another owner.
    HallEvacuations m_evacuations;
    AdmissionGate m_gate;
    JobScheduler m_scheduler;
    FleetController m_fleet;
    JobIntake m_intake;
    JobCanceller m_canceller;
    JobLookup m_lookup;
    QueueCountsReader m_countsReader;
    QueueCountsWriter m_countsWriter;
    JobRetirement m_retirement;
    std::optional<Ownership> m_claimed; ///< A claimed term that is not active yet.
    bool m_isConfigurationProven = true; ///< As last logged.
    bool m_stopping = false;
    bool m_storeAnswers = true;
    bool m_replicaLags = false; ///< Whether the replica of the jobs lags although the store answers.

private:
    /// \returns Whether the job is known and belongs to another organisation, which is logged.
    bool isForeign(const Caller& caller, const std::string& id)
    {
        const CatalogEntry* entry = m_catalog.find(id);
        if (!entry || !entry->record || mayAccess(caller, *entry->record))
            return false;
        noteForeign(caller, id);
        return true;
    }

    void noteForeign(const Caller& caller, const std::string& id)
    {
        metrics.noteCallerRefused("other-organisation");
        m_parts.log->decision("caller-refused", { { "job", id }, { "queue", caller.queue }, { "reason", std::string("other-organisation") }, { "organisation", caller.organisation } });
    }

    /// \returns Whether this machine claims a free ownership without delay.
    [[nodiscard]] bool isStandby() const { return isStandbyMachine(m_settings); }

    [[nodiscard]] double secondsSince(MonotonicInstant from) const
    {
        return std::chrono::duration<double>(m_parts.loop->now() - from).count();
    }

    /// \returns Age of the proof that the configuration is the newest, in ms.
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
            .adviceEnded = [this](bool isAnswered, MonotonicInstant::duration time) { metrics.noteAdvice(isAnswered, std::chrono::duration<double>(time).count()); },
            .isConfigurationCurrent = [this] { return isConfigurationCurrent(); },
            .ownershipTime = m_settings.ownershipTime,
            .workerLeaseTime = m_settings.workerLeaseTime,
            .placement = m_settings.policies.placement,
            .crashes = m_settings.policies.crashes,
            .checkpointMove = { .restore = m_settings.restoreTime },
            .health = m_settings.policies.workerHealth,
            .failureDomains = m_settings.policies.failureDomains,
            .admission = m_settings.policies.admission,
            .extrapolatesRises = m_settings.policies.capacity.extrapolatesRises };
    }

    FleetControllerOptions fleetOptions()
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
            .callsPerSecond = m_settings.fleetActsPerSecond,
            .capacity = m_settings.policies.capacity,
            .movesEvacuatedInstances = m_settings.policies.failureDomains.enabled };
    }

    void onOwnership(const StoreItem& item)
    {
        m_ownership.observe(item);
        m_relay.setOwner(m_ownership.holderPeer());
    }

    void onItem(const StoreItem& item)
    {
        const WorkMeter::Piece piece(&m_meter, WorkKind::StoreChanges);
        if (item.key.compare(0, ownershipPrefix.size(), ownershipPrefix) == 0)
            m_owners.noteWritten(item);
        applyItem(item);
    }

    /// An unreadable record is set aside: a job that cannot be carried out must not end each owner in turn.
    void applyItem(const StoreItem& item)
    {
        const std::uint64_t unreadable = m_catalog.unreadable();
        static_cast<void>(m_catalog.apply(item));
        if (m_catalog.unreadable() != unreadable)
            m_parts.log->decision("record-unreadable", { { "key", item.key }, { "revision", static_cast<std::int64_t>(item.revision) }, { "bytes", static_cast<std::int64_t>(item.value.size()) } });
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
        if (m_configuration)
            configuration->retainRemovedQueues(*m_configuration);
        m_configuration = std::make_shared<const ServiceConfiguration>(std::move(*configuration));
        m_scheduler.onConfigurationChanged();
    }

    void onWorker(const StoreItem& item)
    {
        const WorkMeter::Piece piece(&m_meter, WorkKind::StoreChanges);
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
            // The worker may still be running, like one whose entry was removed.
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
        logConfigurationProof();
        const bool isAnswered = reading.outcome != StoreOutcome::Unknown && reading.outcome != StoreOutcome::NotDone;
        if (isAnswered) {
            m_jobs.noteStoreRevision(reading.newRevision, reading.sentAt);
            m_intake.noteAnswered(reading.sentAt);
        }
        // A watch may end at any time, and a failed call says nothing about the store if its repeat was answered.
        if (isAnswered || (reading.call != DocumentCall::Watch && m_configurations.answeredAt() < reading.sentAt))
            logStoreState(isAnswered ? StoreOutcome::Done : reading.outcome);
    }

    /// Logs why a new configuration is read late: no answer, a slow answer, or a busy event loop.
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

    /// Logs when the configuration may have been replaced too long ago, and when it is known to be the newest again.
    void logConfigurationProof()
    {
        const bool isProven = isConfigurationCurrent();
        if (!m_configuration || std::exchange(m_isConfigurationProven, isProven) == isProven)
            return;
        m_parts.log->change(isProven ? "configuration-proven" : "configuration-unproven",
            { { "configuration", static_cast<std::int64_t>(m_configuration->version) }, { "configuration_age_ms", configurationAge() }, { "bound_ms", static_cast<std::int64_t>(m_settings.configurationApplyTime.count()) } });
    }

    /// Resigns the ownership if the replica of the jobs lags behind the store, for lack of processor time or connectivity.
    void scheduleReplicaCheck()
    {
        m_parts.loop->callAt(m_parts.loop->now() + replicaCheckInterval, [this] {
            const MonotonicInstant now = m_parts.loop->now();
            const bool lags = now - m_jobs.freshAt() > maxOwnerReplicaAge && now - m_ownership.heldSince() > maxOwnerReplicaAge;
            if (m_ownership.isHeld() && lags) {
                m_parts.log->change("ownership-resigned", { { "epoch", static_cast<std::int64_t>(m_ownership.ownership().epoch) }, { "copy_age_ms", replicaAge() } });
                m_ownership.resign(resignationPause);
            }
            logReplicaLag();
            if (!isStandby() && !m_ownership.isHeld() && !m_claimed && m_catalog.all().size() > maxJobsWithoutReplica)
                forgetJobs();
            m_directory.dropExpired();
            scheduleReplicaCheck();
        });
    }

    void forgetJobs()
    {
        m_jobs.clear();
        m_catalog.clear();
        m_retirement.clear();
    }

    /// Logs when the replica of the jobs lags although the store answers, and when it is up to date again.
    void logReplicaLag()
    {
        const MonotonicInstant now = m_parts.loop->now();
        const bool lags = now - m_jobs.freshAt() > maxCountAge && now - m_jobs.answeredAt() <= maxCountAge;
        if (std::exchange(m_replicaLags, lags) != lags)
            m_parts.log->change(lags ? "copy-behind" : "copy-caught-up", { { "copy_age_ms", replicaAge() }, { "answer_age_ms", since(m_jobs.answeredAt()) }, { "revision", static_cast<std::int64_t>(m_jobs.revision()) }, { "changes", static_cast<std::int64_t>(m_jobs.counts().changes) }, { "parts", static_cast<std::int64_t>(m_jobs.counts().partialBatches) } });
    }

    /// Resends waiting calls when the store answers again: the owner at once, other instances spread over time, since all
    /// share the store's rate limits.
    void onStoreCondition(const StoreCondition& from, const StoreCondition& to)
    {
        if (!isOutage(from.state) || isOutage(to.state))
            return;
        if (m_parts.loop->now() - from.since > shortOutage)
            m_fleet.noteOutageOver();
        const bool goesFirst = m_claimed || m_ownership.holder() == m_holder;
        const Millis pause = goesFirst ? Millis(0) : offsetWithin(m_settings.name, m_settings.policies.storeOutages.returnSpread);
        // Calls that were sent after the store answered again are not resent.
        m_parts.loop->callAt(m_parts.loop->now() + pause, [this, answeredAt = m_access->answeredAt()] { sendWaitingCalls(answeredAt); });
    }

    /// Resends calls in the order of dependencies: starts need the ownership and the replica, moves need the record of actions.
    void sendWaitingCalls(MonotonicInstant answeredAt)
    {
        m_ownership.renewNow();
        m_configurations.checkNow(answeredAt);
        for (StoreMirror* replica : { &m_owners, &m_jobs, &m_workers, &m_waves })
            replica->retryNow(answeredAt);
        m_fleet.retryStore();
        m_access->resendWaiting(answeredAt);
    }

    /// Logs when the store stops answering, and when it answers again.
    void logStoreState(StoreOutcome outcome)
    {
        const bool answers = outcome == StoreOutcome::Done || outcome == StoreOutcome::NotFound;
        if (std::exchange(m_storeAnswers, answers) == answers)
            return;
        m_parts.log->change(answers ? "store-back" : "store-lost", { { "outcome", std::string(nameOf(outcome)) }, { "copy_age_ms", replicaAge() } });
    }

    /// Starts a term. Commands wait until the replica holds everything that was written before the claim of the ownership.
    void gained(const Ownership& ownership)
    {
        m_parts.log->change("ownership-claimed", { { "epoch", static_cast<std::int64_t>(ownership.epoch) }, { "term", static_cast<std::int64_t>(ownership.term) }, { "copy_age_ms", replicaAge() } });
        m_claimed = ownership;
        m_evacuations.start();
        m_relay.setOwner({});
        m_relayedWorkers.activate();
        m_jobs.setWatchOptions(ownerWatchGap, ownerWatchTime, true);
        if (!isStandby()) {
            m_jobs.resume({});
            m_waves.resume({});
        }
        // The rate of heartbeats grows with the number of workers: if each watch waited for the gap, the owner of a large fleet would
        // read them late and start tasks on draining workers.
        m_workers.setWatchOptions(workerWatchGap, watchTime, true);
        m_jobs.whenRevisionReached(ownership.epoch, [this, ownership] {
            if (m_claimed != ownership)
                return;
            m_parts.log->change("takeover-copy-reached", { { "epoch", static_cast<std::int64_t>(ownership.epoch) }, { "jobs", static_cast<std::int64_t>(m_catalog.all().size()) } });
            m_workers.resume([this, ownership] {
                m_directory.dropRemoved();
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
            m_parts.loop->callAt(m_parts.loop->now() + stopCheckInterval, [this, ownership] { activate(ownership); });
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

    /// Serves until `earliest`, then until every call is answered, and no longer than `limit`.
    void serveUntil(MonotonicInstant earliest, MonotonicInstant limit, const std::function<void()>& done)
    {
        const MonotonicInstant now = m_parts.loop->now();
        if (now < earliest || (m_intake.inFlight() + m_canceller.inFlight() + m_lookup.inFlight() + m_relay.inFlight() > 0 && now < limit))
            m_parts.loop->callAt(now + stopCheckInterval, [this, earliest, limit, done] { serveUntil(earliest, limit, done); });
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

AdmissionResult JobService::admit(std::string_view host, std::string_view path, std::optional<std::string_view> key)
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

void JobService::noteConnectionRefused(std::string_view address, std::string_view reason)
{
    m_impl->metrics.noteConnectionRefused(std::string(address), std::string(reason));
    m_impl->m_parts.log->decision("connection-refused", { { "address", std::string(address) }, { "reason", std::string(reason) } });
}

void JobService::status(const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done)
{
    m_impl->status(id, done);
}

void JobService::cancel(const std::string& id, std::function<void(LookupOutcome)> done)
{
    m_impl->cancel(std::nullopt, id, std::move(done));
}

void JobService::pending(const std::string& queue, const std::function<void(std::optional<std::uint64_t>)>& done)
{
    m_impl->pending(queue, done);
}

std::vector<JobSummary> JobService::jobs(const std::optional<std::string>& queue, std::size_t limit) const
{
    return m_impl->jobs(queue, limit);
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
