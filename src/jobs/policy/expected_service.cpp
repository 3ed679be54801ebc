#include "lanemoor/jobs/policy/expected_service.h"

#include "lanemoor/jobs/policy/organisation_share.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>

namespace lanemoor::jobs {

namespace {

constexpr double milli = 1'000;
constexpr double permille = 1'000;
/// Min rate, in cores, for an organisation without weight or a pool without instances; avoids a division by zero.
constexpr double minCores = 0.1;

/// Load of one organisation in the pool.
struct OrganisationLoad {
    double weight = 0;
    double demandCores = 0; ///< Rate at which its accepted work would end in time.
    double runningCores = 0;
    double workMillis = 0;
};

std::map<std::string, OrganisationLoad> loadsOf(const std::vector<AcceptedWork>& accepted)
{
    std::map<std::string, OrganisationLoad> loads;
    for (const AcceptedWork& work : accepted) {
        OrganisationLoad& load = loads[work.organisation];
        load.weight = std::max(load.weight, work.weight);
        load.runningCores += static_cast<double>(work.runningMilliCpu) / milli;
        load.workMillis += static_cast<double>(work.workMillis);
        load.demandCores += static_cast<double>(work.workMillis) / static_cast<double>(std::max<std::int64_t>(work.typical.allowed.count(), 1));
    }
    return loads;
}

Resources asResources(double cores)
{
    return { .milliCpu = std::llround(std::max(cores, 0.0) * milli) };
}

/// \returns The part of the pool that an organisation gets if it asks for the whole pool and the others ask for their demand.
double entitlementOf(const std::string& organisation, const std::map<std::string, OrganisationLoad>& loads, double cores)
{
    std::vector<OrganisationDemand> demands;
    std::size_t index = 0;
    for (const auto& [name, load] : loads) {
        if (name == organisation)
            index = demands.size();
        const double asked = name == organisation ? cores : load.demandCores;
        demands.push_back({ .organisation = name, .weight = load.weight, .used = {}, .waiting = asResources(asked) });
    }
    return sharesOf(demands, asResources(cores))[index].share;
}

} // namespace

ExpectedService::ExpectedService(const AdmissionOptions& options, std::int64_t milliCpu)
    : m_options(options)
    , m_cores(packing * static_cast<double>(milliCpu) / milli)
{
}

std::vector<AdmissionBudget> ExpectedService::budgets(const std::vector<AcceptedWork>& accepted) const
{
    std::vector<AdmissionBudget> budgets;
    const std::map<std::string, OrganisationLoad> loads = loadsOf(accepted);
    double demand = 0;
    for (const auto& [name, load] : loads)
        demand += load.demandCores;
    const bool wasUnderPressure = std::any_of(accepted.begin(), accepted.end(), [](const AcceptedWork& work) { return work.wasUnderPressure; });
    if (demand <= m_cores * pressureThreshold && !wasUnderPressure)
        return budgets;
    std::map<std::string, double> entitlements;
    for (const auto& [name, load] : loads)
        entitlements[name] = entitlementOf(name, loads, m_cores);
    for (const AcceptedWork& work : accepted) {
        const OrganisationLoad& load = loads.at(work.organisation);
        double before = 0; // Work of the organisation that starts before a new job of the queue.
        for (const AcceptedWork& other : accepted)
            before += other.organisation == work.organisation && other.priority <= work.priority ? static_cast<double>(other.workMillis) : 0;
        const double share = entitlements.at(work.organisation);
        const double cores = std::max(share * m_cores, minCores);
        const double criticalPath = static_cast<double>(work.typical.criticalPath.count());
        const auto allowed = static_cast<double>(work.typical.allowed.count());
        const double expected = before / cores + criticalPath;
        if (!work.wasUnderPressure && before < cores * allowed * budgetThreshold)
            continue;
        const bool isBelow = load.demandCores < cores;
        const double aim = std::max(allowed * aimShare, criticalPath);
        const double limit = isBelow ? std::max(m_options.lateFactor * allowed, aim) : aim;
        // Beyond its aim an organisation below its share gets one job at a time: a budget up to the limit would make all its jobs
        // late.
        const double oneJob = isBelow && expected < limit ? static_cast<double>(work.typical.workMillis) : std::numeric_limits<double>::lowest();
        const double part = before > 0 ? static_cast<double>(work.workMillis) / before : 1;
        budgets.push_back({ .queue = work.queue,
            .organisation = work.organisation,
            .workMillis = std::llround(std::max((aim - expected) * cores, oneJob)),
            .milliCpu = expected > aim ? 0 : std::llround(part * cores * milli), // Accepted work beyond the aim is finished first.
            .jobMillis = std::max<std::int64_t>(work.typical.workMillis, 1),
            .expectedEnd = Millis(std::llround(expected)),
            .limit = Millis(std::llround(limit)),
            .sharePermille = static_cast<std::uint32_t>(std::lround(share * permille)),
            .usePermille = static_cast<std::uint32_t>(std::lround(m_cores > 0 ? load.runningCores / m_cores * permille : 0)),
            .correction = work.correction });
    }
    std::sort(budgets.begin(), budgets.end(), [](const AdmissionBudget& a, const AdmissionBudget& b) { return std::tie(a.queue, a.organisation) < std::tie(b.queue, b.organisation); });
    return budgets;
}

} // namespace lanemoor::jobs
