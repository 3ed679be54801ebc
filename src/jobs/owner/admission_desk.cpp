#include "admission_desk.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr double milli = 1'000;
/// A queue under pressure stays named for so long after the last refusal was due: refused callers come back within some seconds, and
/// would all be admitted at once.
constexpr Millis pressureLasts { 5'000 };
constexpr double newestCounts = 0.05; // Of a job in the means of its queue: the last twenty or so count.

/// \returns Declared work of a job that is not done, thousandths of a core times ms.
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

/// \returns Processor time that its attempts take, thousandths of a core.
std::int64_t milliCpuRunning(const JobState& job)
{
    std::int64_t running = 0;
    for (const auto& [id, step] : job.steps())
        running += static_cast<std::int64_t>(step.live) * job.spec(id.step).needs.milliCpu;
    return running;
}

} // namespace

void AdmissionDesk::start()
{
    if (m_state.options.admission.enabled && m_state.options.publishGrants)
        tickLater();
}

void AdmissionDesk::close()
{
    m_state.options.loop->cancel(std::exchange(m_timer, 0));
}

void AdmissionDesk::noteArrival(const OwnerJob& job)
{
    const JobRecord& record = job.state.record();
    if (!hasObjective(record.spec))
        return;
    const auto [place, isFirst] = m_usual.try_emplace(record.queue);
    const double weight = isFirst ? 1 : newestCounts;
    const auto mix = [weight](double& mean, double newest) { mean += weight * (newest - mean); };
    const QueueSettings* queue = m_state.configuration()->queue(record.queue);
    const auto chain = static_cast<double>(job.chain.count());
    mix(place->second.workMillis, static_cast<double>(declaredWork(record.spec)) / milli);
    mix(place->second.chainMillis, chain);
    mix(place->second.allowedMillis, queue ? queue->stretch * chain + static_cast<double>(queue->latencyTarget.count()) : chain);
}

void AdmissionDesk::tickLater()
{
    m_timer = m_state.options.loop->callAt(m_state.now() + m_state.options.admission.grantEvery, [weak = weak_from_this()] {
        if (const auto desk = weak.lock())
            desk->tick();
    });
}

/// Grants are published when they change, and again before they expire.
void AdmissionDesk::tick()
{
    m_timer = 0;
    const AdmissionOptions& options = m_state.options.admission;
    AdmissionGrants grants { .term = m_state.ownership.term, .validity = options.grantValidity, .budgets = compute() };
    notePressed(grants.budgets);
    const MonotonicInstant now = m_state.now();
    const bool expires = !grants.budgets.empty() && now - m_publishedAt >= options.grantValidity / 2;
    if (expires || differsSignificantly(m_published, grants)) {
        m_published = std::move(grants);
        m_publishedAt = now;
        m_state.options.publishGrants(m_published);
    }
    tickLater();
}

void AdmissionDesk::notePressed(const std::vector<AdmissionBudget>& budgets)
{
    const MonotonicInstant now = m_state.now();
    std::erase_if(m_pressedUntil, [now](const auto& pressed) { return now >= pressed.second; });
    for (const AdmissionBudget& budget : budgets) {
        const bool isNew = !m_pressedUntil.contains({ budget.queue, budget.organisation });
        if (isNew || budget.workMillis < budget.jobMillis)
            m_pressedUntil[{ budget.queue, budget.organisation }] = now + pressureLasts;
    }
}

std::vector<AdmissionBudget> AdmissionDesk::compute() const
{
    std::vector<AdmissionBudget> all;
    const ByPool accepted = acceptedByPool();
    const std::map<std::string, std::int64_t> supply = supplies(accepted);
    for (const auto& [pool, entries] : accepted) {
        std::vector<AcceptedWork> list;
        for (const auto& [name, work] : entries)
            list.push_back(work);
        const std::vector<AdmissionBudget> ofPool = ExpectedService(m_state.options.admission, supply.at(pool)).budgets(list);
        all.insert(all.end(), ofPool.begin(), ofPool.end());
    }
    std::sort(all.begin(), all.end(), [](const AdmissionBudget& a, const AdmissionBudget& b) { return std::tie(a.queue, a.organisation) < std::tie(b.queue, b.organisation); });
    return all;
}

/// Work that ends late counts too: left out, as much as becomes late would be admitted again.
AdmissionDesk::ByPool AdmissionDesk::acceptedByPool() const
{
    ByPool accepted;
    for (const auto& [id, job] : m_state.walked) {
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
    for (const auto& [name, until] : m_pressedUntil)
        entryOf(accepted, name, {}).wasPressed = true;
    return accepted;
}

AcceptedWork& AdmissionDesk::entryOf(ByPool& accepted, const Name& name, const std::string& formerPool) const
{
    const std::shared_ptr<const ServiceConfiguration> configuration = m_state.configuration();
    const QueueSettings* queue = configuration->queue(name.first);
    const auto [place, isNew] = accepted[queue ? queue->pool : formerPool].try_emplace(name);
    AcceptedWork& work = place->second;
    if (!isNew)
        return work;
    const OrganisationSettings* organisation = configuration->organisations.find(name.second);
    work = { .queue = name.first, .organisation = name.second, .weight = organisation ? organisation->weight : 0, .priority = queue ? queue->priority : 0, .usual = usualOf(name.first), .correction = m_state.forecast.ratio(name.first) };
    return work;
}

UsualJob AdmissionDesk::usualOf(const std::string& queue) const
{
    const auto found = m_usual.find(queue);
    if (found == m_usual.end())
        return {};
    const double correction = m_state.forecast.ratio(queue);
    const Usual& usual = found->second;
    return { .workMillis = static_cast<std::int64_t>(usual.workMillis * correction), .chain = Millis(static_cast<std::int64_t>(usual.chainMillis * correction)), .allowed = Millis(static_cast<std::int64_t>(usual.allowedMillis)) };
}

/// A pool can have what the fleet has beyond what the others ask for; it has at least what it has now.
std::map<std::string, std::int64_t> AdmissionDesk::supplies(const ByPool& accepted) const
{
    std::map<std::string, std::int64_t> present;
    for (const auto& [id, book] : m_state.workers) {
        if (book.isOpen(m_state.now()) || !book.bookings.empty())
            present[book.entry.pool] += book.entry.capacity.milliCpu;
    }
    std::map<std::string, std::int64_t> asked;
    std::int64_t askedByAll = 0;
    for (const auto& [pool, classes] : m_state.demands) {
        std::int64_t& sum = asked[pool];
        for (const auto& [requirement, demand] : classes)
            sum += requirement.preferred ? 0 : std::max(demand.runningMilliCpu + demand.waiting.milliCpu, demand.forecastMilliCpu);
        askedByAll += sum;
    }
    std::map<std::string, std::int64_t> supply;
    for (const auto& [pool, entries] : accepted) {
        const std::int64_t leftByOthers = m_state.fleetMilliCpu - (askedByAll - asked[pool]);
        supply[pool] = std::max(present[pool], leftByOthers);
    }
    return supply;
}

} // namespace lanemoor::jobs
