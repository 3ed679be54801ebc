#include "lanemoor/jobs/service/job_metrics.h"

#include "lanemoor/jobs/owner/fleet_controller.h"
#include "lanemoor/jobs/relay/relayed_workers.h"

#include <chrono>
#include <functional>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Seconds, from the usual latency of the store (4 ms) to twice the timeout of calls to it (1 s).
const prometheus::Histogram::BucketBoundaries latencyBounds { 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1, 2 };

prometheus::MetricFamily single(const std::string& name, const std::string& help, prometheus::MetricType type, double value)
{
    prometheus::MetricFamily family { name, help, type, {} };
    prometheus::ClientMetric metric;
    if (type == prometheus::MetricType::Counter)
        metric.counter.value = value;
    else
        metric.gauge.value = value;
    family.metric.push_back(std::move(metric));
    return family;
}

prometheus::MetricFamily counter(const std::string& name, const std::string& help, std::uint64_t value)
{
    return single(name, help, prometheus::MetricType::Counter, static_cast<double>(value));
}

prometheus::MetricFamily gauge(const std::string& name, const std::string& help, double value)
{
    return single(name, help, prometheus::MetricType::Gauge, value);
}

void addScheduler(std::vector<prometheus::MetricFamily>& families, const SchedulerCounts& counts)
{
    families.push_back(counter("lanemoor_ownership_terms_total", "Terms of ownership that this process began", counts.terms));
    families.push_back(counter("lanemoor_task_starts_total", "Starts ordered", counts.starts));
    families.push_back(counter("lanemoor_task_successes_total", "Tasks that succeeded", counts.successes));
    families.push_back(counter("lanemoor_task_failures_total", "Attempts that failed", counts.failures));
    families.push_back(counter("lanemoor_task_lapses_total", "Attempts whose lease lapsed", counts.leaseExpirations));
    families.push_back(counter("lanemoor_partial_reports_total", "Status reports of workers that left out ends", counts.partialReports));
    families.push_back(counter("lanemoor_task_start_doubts_total", "Starts without a usable answer", counts.unknownStarts));
    families.push_back(counter("lanemoor_task_start_refusals_total", "Starts that a worker refused", counts.refusals));
    families.push_back(counter("lanemoor_task_ticket_refusals_total", "Starts that a worker refused for the placement advisor's ticket", counts.ticketRefusals));
    families.push_back(counter("lanemoor_task_suspicions_total", "Losses of a worker that were counted against a task", counts.suspicions));
    families.push_back(counter("lanemoor_tasks_given_up_total", "Tasks that ended worker after worker", counts.permanentFailures));
    families.push_back(counter("lanemoor_jobs_succeeded_total", "Jobs that succeeded", counts.jobsSucceeded));
    families.push_back(counter("lanemoor_jobs_failed_total", "Jobs that failed", counts.jobsFailed));
    families.push_back(counter("lanemoor_jobs_cancelled_total", "Jobs that callers cancelled", counts.jobsCancelled));
    families.push_back(counter("lanemoor_worker_ejections_total", "Times that a worker was left out", counts.ejections));
    families.push_back(counter("lanemoor_workers_reopened_total", "Workers that were wrongly taken for ended", counts.reopenedWorkers));
    families.push_back(counter("lanemoor_placement_passes_total", "Passes over the tasks that could start", counts.passes));
    families.push_back(counter("lanemoor_placement_passes_held_total", "Passes that started nothing since the ownership, the evacuations or the replica of the jobs were outdated", counts.heldPasses));
    families.push_back(counter("lanemoor_placement_sites_inspected_total", "How many times a worker was looked at for a task", counts.sitesInspected));
}

void addFleet(std::vector<prometheus::MetricFamily>& families, const FleetCounts& counts)
{
    families.push_back(counter("lanemoor_instance_moves_total", "Instances moved between pools", counts.moved));
    families.push_back(counter("lanemoor_instance_maintenances_total", "Maintenances begun", counts.maintained));
    families.push_back(counter("lanemoor_instance_act_refusals_total", "Acts that the platform refused", counts.refused));
    families.push_back(counter("lanemoor_instance_act_doubts_total", "Acts without a usable answer", counts.unknown));
    families.push_back(counter("lanemoor_waves_finished_total", "Waves brought to their end", counts.wavesFinished));
}

prometheus::MetricFamily byReplica(const std::string& name, const std::string& help, const std::vector<ReplicaReading>& replicas, const std::function<double(const ReplicaReading&)>& valueOf)
{
    prometheus::MetricFamily family { name, help, prometheus::MetricType::Untyped, {} };
    for (const ReplicaReading& replica : replicas) {
        prometheus::ClientMetric metric;
        metric.label.push_back({ "copy", replica.name });
        metric.untyped.value = valueOf(replica);
        family.metric.push_back(std::move(metric));
    }
    return family;
}

void addReplicas(std::vector<prometheus::MetricFamily>& families, const std::vector<ReplicaReading>& replicas)
{
    families.push_back(byReplica("lanemoor_copy_age_seconds", "Since the time as of which a copy of a part of the store is known to hold all", replicas, [](const ReplicaReading& replica) { return replica.ageSeconds; }));
    families.push_back(byReplica("lanemoor_copy_watches_total", "Watches that were answered", replicas, [](const ReplicaReading& replica) { return static_cast<double>(replica.counts.answers); }));
    families.push_back(byReplica("lanemoor_copy_changes_total", "Changes that watches brought", replicas, [](const ReplicaReading& replica) { return static_cast<double>(replica.counts.changes); }));
    families.push_back(byReplica("lanemoor_copy_parts_total", "Answers that may have brought a part of the changes", replicas, [](const ReplicaReading& replica) { return static_cast<double>(replica.counts.partialBatches); }));
}

void addConfiguration(std::vector<prometheus::MetricFamily>& families, const MetricsReading& reading)
{
    families.push_back(gauge("lanemoor_configuration_version", "Version in force", static_cast<double>(reading.configurationVersion)));
    families.push_back(gauge("lanemoor_configuration_age_seconds", "Since the store was known to hold no newer configuration", reading.configurationAgeSeconds));
    const DocumentReplicaCounts& counts = reading.configurationReads;
    prometheus::MetricFamily calls { "lanemoor_configuration_calls_total", "Calls to the store for the configuration", prometheus::MetricType::Counter, {} };
    const auto add = [&](DocumentCall call, std::uint64_t count) {
        prometheus::ClientMetric metric;
        metric.label.push_back({ "call", std::string(nameOf(call)) });
        metric.counter.value = static_cast<double>(count);
        calls.metric.push_back(std::move(metric));
    };
    add(DocumentCall::Watch, counts.watches);
    add(DocumentCall::Read, counts.reads);
    add(DocumentCall::Compare, counts.comparisons);
    families.push_back(std::move(calls));
    families.push_back(counter("lanemoor_configuration_calls_unanswered_total", "Those of them that failed", counts.unanswered));
    families.push_back(counter("lanemoor_configuration_bytes_total", "Bytes of configurations read", counts.bytes));
}

void addStore(std::vector<prometheus::MetricFamily>& families, const MetricsReading& reading)
{
    prometheus::MetricFamily condition { "lanemoor_store_condition", "1 for the state of the store that this process observes", prometheus::MetricType::Gauge, {} };
    for (std::size_t i = 0; i < storeStateCount; ++i) {
        const auto state = static_cast<StoreState>(i);
        prometheus::ClientMetric metric;
        metric.label.push_back({ "state", std::string(nameOf(state)) });
        metric.gauge.value = state == reading.storeState ? 1 : 0;
        condition.metric.push_back(std::move(metric));
    }
    families.push_back(std::move(condition));
    prometheus::MetricFamily hedges { "lanemoor_store_hedges_total", "Calls to the store whose answers were overdue, by what became of them", prometheus::MetricType::Counter, {} };
    const auto add = [&](const char* outcome, std::uint64_t count) {
        prometheus::ClientMetric metric;
        metric.label.push_back({ "outcome", outcome });
        metric.counter.value = static_cast<double>(count);
        hedges.metric.push_back(std::move(metric));
    };
    add("settled", reading.hedges.settled);
    add("confirmed", reading.hedges.confirmed);
    add("overtaken", reading.hedges.overtaken);
    add("unanswered", reading.hedges.unanswered);
    add("denied", reading.hedges.denied);
    families.push_back(std::move(hedges));
    families.push_back(gauge("lanemoor_unsaved_changes", "Jobs that changed and are not stored yet", static_cast<double>(reading.unsavedChanges)));
    families.push_back(gauge("lanemoor_unsaved_oldest_seconds", "Since the first of them changed", reading.unsavedOldestSeconds));
}

void addRelay(std::vector<prometheus::MetricFamily>& families, const RelayCounts& counts, std::uint64_t callsForOtherOwners)
{
    families.push_back(gauge("lanemoor_relays_in_use", "Instances that carry this owner's calls to workers", static_cast<double>(counts.relays)));
    families.push_back(counter("lanemoor_relay_calls_total", "The owner's calls to workers that a relay was given", counts.relayed));
    families.push_back(counter("lanemoor_relay_calls_unanswered_total", "Of them, those without an answer in time", counts.unanswered));
    families.push_back(counter("lanemoor_direct_calls_total", "The owner's calls to workers that it made itself", counts.direct));
    families.push_back(counter("lanemoor_path_changes_total", "Paths that became unreachable for a data hall, or reachable again", counts.pathChanges));
    families.push_back(counter("lanemoor_carried_calls_total", "Calls to workers that this process carried for an owner elsewhere", callsForOtherOwners));
}

/// Counts paths by data hall and state, so that the cardinality does not depend on the number of relays.
void addReachability(std::vector<prometheus::MetricFamily>& families, const std::shared_ptr<const Reachability>& reachability)
{
    if (!reachability || reachability->paths.empty())
        return;
    std::map<std::pair<std::string, PathState>, std::size_t> counts;
    for (const HallPath& path : reachability->paths)
        ++counts[{ path.dataHall, path.state }];
    prometheus::MetricFamily family { "lanemoor_hall_paths", "Paths that this owner called a data hall's workers over, by state", prometheus::MetricType::Gauge, {} };
    for (const auto& [key, count] : counts) {
        prometheus::ClientMetric metric;
        metric.label.push_back({ "data_hall", key.first });
        metric.label.push_back({ "state", std::string(nameOf(key.second)) });
        metric.gauge.value = static_cast<double>(count);
        family.metric.push_back(std::move(metric));
    }
    families.push_back(std::move(family));
}

/// Max organisations with their own label value; the largest planned deployment has 180. The others are summed under one value.
constexpr std::size_t maxOrganisationLabels = 256;
constexpr const char* otherOrganisations = "(others)";

prometheus::MetricFamily byOrganisation(const std::string& name, const std::string& help, const std::vector<OrganisationReport>& organisations, const std::function<double(const OrganisationReport&)>& valueOf)
{
    prometheus::MetricFamily family { name, help, prometheus::MetricType::Gauge, {} };
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        if (i > maxOrganisationLabels) {
            family.metric.back().gauge.value += valueOf(organisations[i]);
            continue;
        }
        prometheus::ClientMetric metric;
        metric.label.push_back({ "organisation", i < maxOrganisationLabels ? organisations[i].name : std::string(otherOrganisations) });
        metric.gauge.value = valueOf(organisations[i]);
        family.metric.push_back(std::move(metric));
    }
    return family;
}

void addOrganisations(std::vector<prometheus::MetricFamily>& families, const std::vector<OrganisationReport>& organisations)
{
    constexpr double milli = 1'000;
    if (organisations.empty())
        return;
    families.push_back(byOrganisation("lanemoor_organisation_cores_used", "Processor time that an organisation's attempts are booked for", organisations, [](const OrganisationReport& each) { return static_cast<double>(each.used.milliCpu) / milli; }));
    families.push_back(byOrganisation("lanemoor_organisation_cores_quota", "Its quota of processor time; 0: none", organisations, [](const OrganisationReport& each) { return static_cast<double>(each.quota.milliCpu) / milli; }));
    families.push_back(byOrganisation("lanemoor_organisation_tasks_held", "Tasks that its quota held back when placement last tried", organisations, [](const OrganisationReport& each) { return static_cast<double>(each.heldTasks); }));
    families.push_back(byOrganisation("lanemoor_organisation_jobs_beyond_rate", "Jobs of this term beyond its rate", organisations, [](const OrganisationReport& each) { return static_cast<double>(each.beyondRate); }));
}

void addWorkerEvacuations(std::vector<prometheus::MetricFamily>& families, const EvacuationReading& reading)
{
    prometheus::MetricFamily workers { "lanemoor_workers_evacuating", "Workers that are emptied and closed to new tasks, by reason", prometheus::MetricType::Gauge, {} };
    for (const auto& [reason, count] : reading.workers) {
        prometheus::ClientMetric metric;
        metric.label.push_back({ "reason", std::string(nameOf(reason)) });
        metric.gauge.value = count;
        workers.metric.push_back(std::move(metric));
    }
    families.push_back(std::move(workers));
    families.push_back(gauge("lanemoor_worker_evacuation_longest_seconds", "Since the earliest evacuation of a worker that has not ended", std::chrono::duration<double>(reading.longest).count()));
}

void addHalls(std::vector<prometheus::MetricFamily>& families, const EvacuationsReport& report)
{
    constexpr double milli = 1'000;
    if (!report.ownedHere)
        return;
    families.push_back(gauge("lanemoor_evacuations_age_seconds", "Since the requests to evacuate data halls were last asked for", static_cast<double>(report.ageMillis) / milli));
    prometheus::MetricFamily remaining { "lanemoor_evacuation_remaining", "Attempts that are not over in a data hall that operators ask to evacuate", prometheus::MetricType::Gauge, {} };
    prometheus::MetricFamily lost { "lanemoor_data_hall_lost", "1 for each data hall that is lost and not taken back yet", prometheus::MetricType::Gauge, {} };
    for (const HallReport& hall : report.halls) {
        const bool isLost = hall.state == FailureDomainState::Lost;
        prometheus::ClientMetric metric;
        metric.label.push_back({ "data_hall", hall.dataHall });
        metric.gauge.value = isLost ? 1 : static_cast<double>(hall.tasks());
        (isLost ? lost : remaining).metric.push_back(std::move(metric));
    }
    families.push_back(std::move(remaining));
    families.push_back(std::move(lost));
}

void addEjected(std::vector<prometheus::MetricFamily>& families, const std::map<std::string, std::uint32_t>& ejected)
{
    if (ejected.empty())
        return;
    prometheus::MetricFamily family { "lanemoor_workers_ejected", "Workers that are left out or probed since calls to them or tasks there failed", prometheus::MetricType::Gauge, {} };
    for (const auto& [pool, count] : ejected) {
        prometheus::ClientMetric metric;
        metric.label.push_back({ "pool", pool });
        metric.gauge.value = static_cast<double>(count);
        family.metric.push_back(std::move(metric));
    }
    families.push_back(std::move(family));
}

void addWork(std::vector<prometheus::MetricFamily>& families, const WorkReading& work)
{
    prometheus::MetricFamily family { "lanemoor_work_seconds_total", "Time that the process's thread was at work, by kind", prometheus::MetricType::Counter, {} };
    for (std::size_t i = 0; i < workKindCount; ++i) {
        const auto kind = static_cast<WorkKind>(i);
        prometheus::ClientMetric metric;
        metric.label.push_back({ "kind", std::string(nameOf(kind)) });
        metric.counter.value = std::chrono::duration<double>(work.of(kind)).count();
        family.metric.push_back(std::move(metric));
    }
    families.push_back(std::move(family));
}

} // namespace

class JobMetrics::Impl {
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& submitted = prometheus::BuildCounter().Name("lanemoor_jobs_handed_in_total").Help("Jobs handed in, by queue and answer").Register(registry);
    prometheus::Family<prometheus::Histogram>& submissionTime = prometheus::BuildHistogram().Name("lanemoor_job_hand_in_seconds").Help("From a job's arrival to its answer, by queue").Register(registry);
    prometheus::Family<prometheus::Counter>& refused = prometheus::BuildCounter().Name("lanemoor_admission_refusals_total").Help("Jobs refused for their organisation's share, by queue and reason").Register(registry);
    prometheus::Family<prometheus::Counter>& cancels = prometheus::BuildCounter().Name("lanemoor_job_cancels_total").Help("Requests to cancel, by answer").Register(registry);
    prometheus::Family<prometheus::Histogram>& cancelTimes = prometheus::BuildHistogram().Name("lanemoor_job_cancel_seconds").Help("From a request to cancel to its answer").Register(registry);
    prometheus::Histogram& cancelTime = cancelTimes.Add({}, latencyBounds);
    prometheus::Family<prometheus::Histogram>& adviceTime = prometheus::BuildHistogram().Name("lanemoor_advice_seconds").Help("Duration of calls to the placement advisor, by outcome").Register(registry);
    prometheus::Family<prometheus::Counter>& lookups = prometheus::BuildCounter().Name("lanemoor_job_lookups_total").Help("Statuses asked for, by answer").Register(registry);
    prometheus::Family<prometheus::Counter>& rejections = prometheus::BuildCounter().Name("lanemoor_jobs_rejected_total").Help("Descriptions that could not be read").Register(registry);
    prometheus::Counter& rejected = rejections.Add({});
    prometheus::Family<prometheus::Counter>& callersRefused = prometheus::BuildCounter().Name("lanemoor_callers_refused_total").Help("Calls refused for their key, by reason").Register(registry);
    prometheus::Family<prometheus::Counter>& connectionsRefused = prometheus::BuildCounter().Name("lanemoor_connections_refused_total").Help("Connections closed early or refused a request, by address and reason").Register(registry);
};

JobMetrics::JobMetrics()
    : m_impl(std::make_unique<Impl>())
{
}

JobMetrics::~JobMetrics() = default;

void JobMetrics::noteSubmitted(const std::string& queue, AcceptOutcome outcome, double seconds)
{
    m_impl->submitted.Add({ { "queue", queue }, { "outcome", std::string(nameOf(outcome)) } }).Increment();
    m_impl->submissionTime.Add({ { "queue", queue } }, latencyBounds).Observe(seconds);
}

void JobMetrics::noteRefused(const std::string& queue, const std::string& reason)
{
    m_impl->refused.Add({ { "queue", queue }, { "reason", reason } }).Increment();
}

void JobMetrics::noteCancel(LookupOutcome outcome, double seconds)
{
    m_impl->cancels.Add({ { "outcome", std::string(nameOf(outcome)) } }).Increment();
    m_impl->cancelTime.Observe(seconds);
}

void JobMetrics::noteAdvice(bool isAnswered, double seconds)
{
    m_impl->adviceTime.Add({ { "outcome", isAnswered ? "answered" : "failed" } }, latencyBounds).Observe(seconds);
}

void JobMetrics::noteLookup(LookupOutcome outcome)
{
    m_impl->lookups.Add({ { "outcome", std::string(nameOf(outcome)) } }).Increment();
}

void JobMetrics::noteConnectionRefused(const std::string& address, const std::string& reason)
{
    m_impl->connectionsRefused.Add({ { "address", address }, { "reason", reason } }).Increment();
}

void JobMetrics::noteRejected()
{
    m_impl->rejected.Increment();
}

void JobMetrics::noteCallerRefused(const std::string& reason)
{
    m_impl->callersRefused.Add({ { "reason", reason } }).Increment();
}

std::string JobMetrics::text(const MetricsReading& reading, const SchedulerCounts& scheduler, const FleetCounts& fleet, const RelayCounts& relay) const
{
    std::vector<prometheus::MetricFamily> families = m_impl->registry.Collect();
    families.push_back(gauge("lanemoor_ready", "1 if the balancer should send callers here", reading.ready ? 1 : 0));
    families.push_back(gauge("lanemoor_owner", "1 while this process owns the shard", reading.owner ? 1 : 0));
    families.push_back(gauge("lanemoor_jobs_known", "Jobs known from the store", static_cast<double>(reading.jobs)));
    families.push_back(gauge("lanemoor_absent_job_cancels", "Cancellations in the store whose jobs it does not have", static_cast<double>(reading.absentCancels)));
    families.push_back(gauge("lanemoor_store_age_seconds", "Age of the copy of the store", reading.storeAgeSeconds));
    families.push_back(counter("lanemoor_store_items_unreadable_total", "Items in the store that could not be read", reading.unreadableItems));
    families.push_back(counter("lanemoor_log_lines_dropped_total", "Log lines lost because standard output was slow", reading.logLinesDropped));
    families.push_back(counter("lanemoor_log_decisions_omitted_total", "Log lines left out for want of budget", reading.decisionsOmitted));
    addConfiguration(families, reading);
    addReplicas(families, reading.replicas);
    addStore(families, reading);
    addScheduler(families, scheduler);
    addFleet(families, fleet);
    addRelay(families, relay, reading.callsForOtherOwners);
    addReachability(families, reading.reachability);
    addWork(families, reading.work);
    addEjected(families, reading.ejectedWorkers);
    addOrganisations(families, reading.organisations);
    addWorkerEvacuations(families, reading.workerEvacuations);
    addHalls(families, reading.evacuations);
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, families);
    return out.str();
}

} // namespace lanemoor::jobs
