#include "reported_incarnations.h"

#include "lanemoor/jobs/model/service_configuration.h"

namespace lanemoor::jobs {

void ReportedIncarnations::note(const std::vector<FleetInstance>& instances, const ServiceConfiguration& configuration)
{
    std::unordered_set<std::string_view> reserves;
    for (const PoolSettings& pool : configuration.pools) {
        if (pool.reserve)
            reserves.insert(pool.name);
    }
    m_namedIncarnations.clear();
    m_namedIncarnations.reserve(instances.size());
    bool namesAllIncarnations = true;
    for (const FleetInstance& instance : instances) {
        m_knownInstances.insert(instance.id);
        m_namedIncarnations.insert(instance.worker);
        namesAllIncarnations = namesAllIncarnations && !(instance.worker.empty() && instance.state == FleetState::Up && !reserves.contains(instance.pool));
    }
    m_isComplete = namesAllIncarnations && m_knownInstances.size() == instances.size();
}

} // namespace lanemoor::jobs
