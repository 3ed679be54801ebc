#include "owner_state.h"

#include "lanemoor/jobs/owner/hall_evacuations.h"
#include "lanemoor/jobs/owner/ownership_keeper.h"
#include "lanemoor/jobs/policy/placement.h"
#include "lanemoor/jobs/store/store_mirror.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// For jobs whose queue is gone: what the platform's configurations usually allow.
constexpr std::uint32_t attemptsWithoutQueue = 3;

/// Jobs that are due by time, that last, that must be spread, or that few sites may take are looked at one by one, and so are those that
/// need advice: in a group they would keep others from being looked at.
bool mayWaitInGroup(const OwnerJob& job, const QueueSettings* queue)
{
    const JobRecord& record = job.state.record();
    const bool isPlain = std::none_of(record.spec.steps.begin(), record.spec.steps.end(), [](const StepSpec& step) { return step.longRunning || step.gang || step.maxPerInstance > 0 || !step.requiredLabel.empty() || !step.preferredRack.empty(); });
    return job.account && job.state.status() == JobStatus::Queued && record.spec.occurrences == 0 && isPlain && queue && !queue->advice;
}

/// Adds what a step's tasks ask for that could start.
void addStep(const OwnerState& state, const StepSpec& step, WaitingJob& waiting)
{
    const auto count = static_cast<std::int64_t>(step.count);
    const Resources needs = footprint(step);
    waiting.tasks += step.count;
    waiting.needs += { .milliCpu = needs.milliCpu * count, .memoryMb = needs.memoryMb * count, .accelerators = needs.accelerators * count };
    const std::optional<std::int64_t> milliCpu = state.instanceTimeOf(step);
    if (!milliCpu)
        return;
    waiting.largest = { .milliCpu = std::max(waiting.largest.milliCpu, step.needs.milliCpu), .memoryMb = std::max(waiting.largest.memoryMb, step.needs.memoryMb), .accelerators = std::max(waiting.largest.accelerators, step.needs.accelerators) };
    for (const Requirement& requirement : requirementsOf(step))
        waiting.milliCpu[requirement] += *milliCpu * count;
}

} // namespace

bool OwnerState::beginWait(OwnerJob& job, MonotonicInstant now)
{
    const JobRecord& record = job.state.record();
    if (!options.admission.enabled || !mayWaitInGroup(job, configuration()->queue(record.queue)))
        return false;
    WaitingJob waiting { .job = &job, .milliCpu = {}, .needs = {}, .largest = {}, .hopelessFrom = hopelessFrom(job) };
    for (const StepSpec& step : record.spec.steps) {
        if (step.dependsOn.empty())
            addStep(*this, step, waiting);
    }
    waiting.work = declaredWork(record.spec);
    waitingJobs.add(std::move(waiting), now);
    job.waitsInGroup = true;
    inheritedInGroups += job.inherited ? 1 : 0;
    walked.erase(job.state.id());
    return true;
}

void OwnerState::endWait(OwnerJob& job)
{
    if (!std::exchange(job.waitsInGroup, false))
        return;
    waitingJobs.remove(job);
    inheritedInGroups -= job.inherited ? 1 : 0;
    job.quietSince.reset();
    walked.emplace(job.state.id(), &job);
}

void OwnerState::endInheritedWaits()
{
    if (inheritedInGroups == 0)
        return;
    for (auto& [id, job] : jobs) {
        if (job.inherited)
            endWait(job);
    }
}

std::optional<std::int64_t> OwnerState::instanceTimeOf(const StepSpec& step) const
{
    const Resources needs = footprint(step);
    Resources capacity; // Of the largest instance that could run it.
    for (const InstanceShape& shape : shapes) {
        const bool isLabelled = step.requiredLabel.empty() || step.requiredLabel == shape.kind || racks.contains(step.requiredLabel);
        if (isLabelled && shape.capacity.covers(needs) && shape.capacity.milliCpu > capacity.milliCpu)
            capacity = shape.capacity;
    }
    if (!shapes.empty() && capacity.milliCpu == 0)
        return std::nullopt;
    return std::max<std::int64_t>(asMilliCpu(needs, capacity), 1);
}

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

bool OwnerState::knowsCancels() const
{
    return now() - options.mirror->freshAt() < oldestCopyOfStarts;
}

bool OwnerState::mayStart(const OwnerJob& job) const
{
    if (!options.ownership->isHeld() || !options.evacuations->isConfirmed() || !knowsCancels())
        return false;
    return !job.account || !options.isConfigurationCurrent || options.isConfigurationCurrent();
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
    fleetMilliCpu = 0;
    for (const FleetInstance& instance : instances) {
        fleetMilliCpu += instance.capacity.milliCpu;
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
    return now >= hopelessFrom(job);
}

MonotonicInstant OwnerState::hopelessFrom(const OwnerJob& job) const
{
    const PlacementOptions& weights = options.placement;
    const JobSpec& spec = job.state.record().spec;
    const bool lasts = std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec& step) { return step.longRunning; });
    if (!weights.hopelessLast || job.state.status() != JobStatus::Queued || spec.occurrences > 0 || lasts)
        return MonotonicInstant::max();
    constexpr MonotonicInstant::duration leastLate { 1 };
    const double share = weights.hopelessShare * forecast.ratio(job.state.record().queue);
    return job.objective - std::chrono::duration_cast<Millis>(job.chain * share) + leastLate;
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
    return queue ? std::max(queue->maxAttempts, 1U) : attemptsWithoutQueue;
}

std::string nameOf(const Attempt& attempt)
{
    return attempt.job + '/' + std::to_string(attempt.task.occurrence) + '/' + std::to_string(attempt.task.step) + '/' + std::to_string(attempt.task.index) + '#'
        + std::to_string(attempt.number);
}

} // namespace lanemoor::jobs
