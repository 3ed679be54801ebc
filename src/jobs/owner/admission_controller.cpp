#include "admission_controller.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr double milli = 1'000;
/// A queue stays in the grants for this time after its budget last ran short. Refused callers retry within some seconds and
/// would otherwise all be admitted at once.
constexpr Millis pressureRetention { 5'000 };
constexpr double newestJobWeight = 0.05; // Weight of the newest job in the moving averages of its queue: about the last 20 jobs count.

/// \returns Declared work of the job's unfinished tasks, in thousandths of a core times ms.
std::int64_t workLeft(const JobState& job)
{
    std::int64_t work = 0;
    for (const auto& [id, step] : job.steps()) {
        const StepSpec& spec = job.spec(id.step);
        const auto left = static_cast<std::int64_t>(step.tasks.size()) - step.succeeded;
        work += left * spec.needs.milliCpu * spec.estimate.count();
    }
    return work;
}

/// \returns Processor share of the job's live attempts, in thousandths of a core.
std::int64_t milliCpuRunning(const JobState& job)
{
    std::int64_t running = 0;
    for (const auto& [id, step] : job.steps())
        running += static_cast<std::int64_t>(step.live) * job.spec(id.step).needs.milliCpu;
    return running;
}

} // namespace

void AdmissionController::start()
{
    if (m_state.options.admission.enabled && m_state.options.publishGrants)
        tickLater();
}

void AdmissionController::close()
{
    m_state.options.loop->cancel(std::exchange(m_timer, 0));
}

void AdmissionController::noteArrival(const OwnerJob& job)
{
    const JobRecord& record = job.state.record();
    if (!hasObjective(record.spec))
        return;
    const auto [place, isFirst] = m_typicalValues.try_emplace(record.queue);
    const double weight = isFirst ? 1 : newestJobWeight;
    const auto average = [weight](double& mean, double newest) { mean += weight * (newest - mean); };
    average(place->second.workMillis, static_cast<double>(declaredWork(record.spec)) / milli);
    average(place->second.criticalPathMillis, static_cast<double>(job.criticalPath.count()));
    average(place->second.allowedMillis, static_cast<double>(job.policy.value_or(JobPolicy {}).objective(job.criticalPath).count()));
}

void AdmissionController::tickLater()
{
    m_timer = m_state.options.loop->callAt(m_state.now() + m_state.options.admission.grantEvery, [weak = weak_from_this()] {
        if (const auto controller = weak.lock())
            controller->tick();
    });
}

/// Publishes the grants when they change, and again before they expire.
void AdmissionController::tick()
{
    m_timer = 0;
    const AdmissionOptions& options = m_state.options.admission;
    AdmissionGrants grants { .term = m_state.ownership.term, .validity = options.grantValidity, .budgets = compute() };
    noteUnderPressure(grants.budgets);
    const MonotonicInstant now = m_state.now();
    const bool expires = !grants.budgets.empty() && now - m_publishedAt >= options.grantValidity / 2;
    if (expires || differsSignificantly(m_published, grants)) {
        m_published = std::move(grants);
        m_publishedAt = now;
        m_state.options.publishGrants(m_published);
    }
    tickLater();
}

void AdmissionController::noteUnderPressure(const std::vector<AdmissionBudget>& budgets)
{
    const MonotonicInstant now = m_state.now();
    std::erase_if(m_underPressureUntil, [now](const auto& pressure) { return now >= pressure.second; });
    for (const AdmissionBudget& budget : budgets) {
        const bool isNew = !m_underPressureUntil.contains({ budget.queue, budget.organisation });
        if (isNew || budget.workMillis < budget.jobMillis)
            m_underPressureUntil[{ budget.queue, budget.organisation }] = now + pressureRetention;
    }
}

std::vector<AdmissionBudget> AdmissionController::compute() const
{
    std::vector<AdmissionBudget> all;
    const ByPool accepted = acceptedByPool();
    const std::map<std::string, std::int64_t> supply = supplies(accepted);
    for (const auto& [pool, entries] : accepted) {
        std::vector<AcceptedWork> workOfPool;
        for (const auto& [name, work] : entries)
            workOfPool.push_back(work);
        const std::vector<AdmissionBudget> ofPool = ExpectedService(m_state.options.admission, supply.at(pool)).budgets(workOfPool);
        all.insert(all.end(), ofPool.begin(), ofPool.end());
    }
    std::sort(all.begin(), all.end(), [](const AdmissionBudget& a, const AdmissionBudget& b) { return std::tie(a.queue, a.organisation) < std::tie(b.queue, b.organisation); });
    return all;
}

/// Jobs that end late count too: without them, an equal amount of work would be admitted in addition.
AdmissionController::ByPool AdmissionController::acceptedByPool() const
{
    ByPool accepted;
    for (const auto& [id, job] : m_state.individualJobs) {
        const JobRecord& record = job->state.record();
        if (!job->account || isFinal(job->state.status()) || !hasObjective(record.spec))
            continue;
        AcceptedWork& work = entryOf(accepted, { record.queue, record.organisation }, record.pool);
        work.workMillis += static_cast<std::int64_t>(static_cast<double>(workLeft(job->state)) / milli * work.correction);
        work.runningMilliCpu += milliCpuRunning(job->state);
    }
    for (const auto& [name, group] : m_state.waitingJobs.groups()) {
        AcceptedWork& work = entryOf(accepted, name, group.jobs().begin()->second.job->state.record().pool);
        work.workMillis += static_cast<std::int64_t>(static_cast<double>(group.sums(false).work + group.sums(true).work) / milli * work.correction);
    }
    for (const auto& [name, until] : m_underPressureUntil)
        entryOf(accepted, name, {}).wasUnderPressure = true;
    return accepted;
}

AcceptedWork& AdmissionController::entryOf(ByPool& accepted, const QueueAndOrganisation& name, const std::string& fallbackPool) const
{
    const std::shared_ptr<const ServiceConfiguration> configuration = m_state.configuration();
    const std::optional<KnownQueue> queue = configuration->lastKnownQueue(name.first);
    const auto [place, isNew] = accepted[queue ? queue->settings->pool : fallbackPool].try_emplace(name);
    AcceptedWork& work = place->second;
    if (!isNew)
        return work;
    const OrganisationSettings* organisation = configuration->organisations.find(name.second);
    work = { .queue = name.first, .organisation = name.second, .weight = organisation ? organisation->weight : 0, .priority = queue ? queue->settings->priority : std::numeric_limits<std::uint32_t>::max(), .typical = typicalJobOf(name.first), .correction = m_state.forecast.ratio(name.first) };
    return work;
}

TypicalJob AdmissionController::typicalJobOf(const std::string& queue) const
{
    const auto found = m_typicalValues.find(queue);
    if (found == m_typicalValues.end())
        return {};
    const double correction = m_state.forecast.ratio(queue);
    const TypicalValues& typical = found->second;
    return { .workMillis = static_cast<std::int64_t>(typical.workMillis * correction), .criticalPath = Millis(static_cast<std::int64_t>(typical.criticalPathMillis * correction)), .allowed = Millis(static_cast<std::int64_t>(typical.allowedMillis)) };
}

/// The supply of a pool is the fleet's capacity minus the demand of the other pools, and at least its present capacity.
std::map<std::string, std::int64_t> AdmissionController::supplies(const ByPool& accepted) const
{
    std::map<std::string, std::int64_t> present;
    for (const auto& [id, record] : m_state.workers) {
        if (record.isOpen(m_state.now()) || !record.reservations.empty())
            present[record.entry.pool] += record.entry.capacity.milliCpu;
    }
    std::map<std::string, std::int64_t> demandByPool;
    std::int64_t totalDemand = 0;
    for (const auto& [pool, classes] : m_state.demands) {
        std::int64_t& sum = demandByPool[pool];
        for (const auto& [requirement, demand] : classes)
            sum += requirement.preferred ? 0 : std::max(demand.runningMilliCpu + demand.waiting.milliCpu, demand.forecastMilliCpu);
        totalDemand += sum;
    }
    std::map<std::string, std::int64_t> supply;
    for (const auto& [pool, entries] : accepted) {
        const std::int64_t availableMilliCpu = m_state.fleetMilliCpu - (totalDemand - demandByPool[pool]);
        supply[pool] = std::max(present[pool], availableMilliCpu);
    }
    return supply;
}

} // namespace lanemoor::jobs
