#include "alternative_workers.h"

namespace lanemoor::jobs {

const Resources& AlternativeWorkers::freeOn(const WorkerRecord& worker)
{
    const auto [place, isNew] = m_free.try_emplace(worker.entry.id);
    if (isNew)
        place->second = worker.free();
    return place->second;
}

bool AlternativeWorkers::hasRoomFor(const JobState& job, const StepId& step, const WorkerRecord& worker, const std::string& avoidLabel)
{
    const StepSpec& spec = job.spec(step.step);
    Resources needed = footprint(spec);
    needed += m_reserved;
    for (const auto& [id, other] : m_state.workers) {
        if (&other == &worker || other.entry.pool != worker.entry.pool || !other.isOpen(m_state.now()))
            continue;
        if (!spec.requiredLabel.empty() && !hasLabel(other.entry, spec.requiredLabel))
            continue;
        if (!avoidLabel.empty() && hasLabel(other.entry, avoidLabel))
            continue;
        if (spec.maxPerInstance > 0 && other.tasksOf(job.id(), step) >= spec.maxPerInstance)
            continue;
        if (freeOn(other).covers(needed))
            return true;
    }
    return false;
}

} // namespace lanemoor::jobs
