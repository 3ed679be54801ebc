#include "owner_state.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

/// For jobs whose queue is gone: what the platform's configurations usually allow.
constexpr std::uint32_t attemptsWithoutQueue = 3;

} // namespace

OwnerJob* OwnerState::job(const std::string& id)
{
    const auto found = jobs.find(id);
    return found == jobs.end() ? nullptr : &found->second;
}

WorkerBook* OwnerState::worker(const std::string& id)
{
    const auto found = workers.find(id);
    return found == workers.end() ? nullptr : &found->second;
}

const TaskState* OwnerState::liveTask(const Attempt& attempt, const std::string& worker)
{
    const OwnerJob* job = this->job(attempt.job);
    const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
    const bool isLive = task && task->live && task->live->number == attempt.number && task->live->worker == worker;
    return isLive ? task : nullptr;
}

std::string OwnerState::poolOf(const JobState& job) const
{
    const QueueSettings* queue = configuration()->queue(job.record().queue);
    return queue ? queue->pool : job.record().pool;
}

std::uint32_t OwnerState::wantedLevelOf(const WorkerEntry& worker) const
{
    std::uint32_t level = 0;
    if (wanted.empty())
        return level;
    for (const std::string& label : worker.labels) {
        const auto found = wanted.find({ worker.pool, label });
        level = found == wanted.end() ? level : std::max(level, found->second);
    }
    return level;
}

void OwnerState::noteInstances(const std::vector<FleetInstance>& instances)
{
    racks.clear();
    shapes.clear();
    for (const FleetInstance& instance : instances) {
        racks.insert(instance.rack);
        InstanceShape shape { .kind = instance.kind, .capacity = instance.capacity };
        if (std::find(shapes.begin(), shapes.end(), shape) == shapes.end())
            shapes.push_back(std::move(shape));
    }
}

/// Under overload every job would end a little late if the oldest always came first; those that
/// can still make it come before those that can't. What has begun goes on: putting it last once its
/// objective was past cost 0.036 on further/, since work that was half done is thrown away.
bool OwnerState::isHopeless(const OwnerJob& job, MonotonicInstant now) const
{
    const PlacementOptions& weights = options.placement;
    const JobSpec& spec = job.state.record().spec;
    const bool lasts = std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec& step) { return step.longRunning; });
    if (!weights.hopelessLast || job.state.status() != JobStatus::Queued || spec.occurrences > 0 || lasts)
        return false;
    const double share = weights.hopelessShare * forecast.ratio(job.state.record().queue);
    return now + std::chrono::duration_cast<Millis>(job.chain * share) > job.objective;
}

MonotonicInstant OwnerState::expectedEnd(const OwnerJob& job, const TaskId& task) const
{
    return now() + std::chrono::duration_cast<Millis>(job.state.spec(task.step).estimate * forecast.ratio(job.state.record().queue));
}

bool OwnerState::mayHaveCrashedBefore(const OwnerJob& job, const TaskId& task) const
{
    if (!job.openBefore.contains({ task.occurrence, task.step }) || !job.state.isUnseen(task))
        return false;
    // The queue may have been moved to another pool since.
    return inheritedLosses.concernTask(job.state.id(), task) || inheritedLosses.concernPool(poolOf(job.state)) || inheritedLosses.concernPool(job.state.record().pool);
}

bool OwnerState::beginProbation(OwnerJob& job, const Attempt& attempt, const WorkerBook& worker)
{
    if (!job.state.beginProbation(attempt, worker.session->life().startedAt))
        return false;
    probations[worker.entry.id].insert({ attempt.job, attempt.task });
    store(attempt.job);
    return true;
}

std::uint32_t OwnerState::mostAttemptsOf(const JobState& job) const
{
    const QueueSettings* queue = configuration()->queue(job.record().queue);
    return queue ? std::max(queue->mostAttempts, 1U) : attemptsWithoutQueue;
}

std::string nameOf(const Attempt& attempt)
{
    return attempt.job + '/' + std::to_string(attempt.task.occurrence) + '/' + std::to_string(attempt.task.step) + '/' + std::to_string(attempt.task.index) + '#'
        + std::to_string(attempt.number);
}

} // namespace lanemoor::jobs
