#include "listed_lives.h"

#include "lanemoor/jobs/model/service_configuration.h"

namespace lanemoor::jobs {

void ListedLives::note(const std::vector<FleetInstance>& instances, const ServiceConfiguration& configuration)
{
    std::unordered_set<std::string_view> reserves;
    for (const PoolSettings& pool : configuration.pools) {
        if (pool.reserve)
            reserves.insert(pool.name);
    }
    m_named.clear();
    m_named.reserve(instances.size());
    bool namesAllLives = true;
    for (const FleetInstance& instance : instances) {
        m_seen.insert(instance.id);
        m_named.insert(instance.worker);
        namesAllLives = namesAllLives && !(instance.worker.empty() && instance.state == FleetState::Up && !reserves.contains(instance.pool));
    }
    m_isComplete = namesAllLives && m_seen.size() == instances.size();
}

} // namespace lanemoor::jobs
