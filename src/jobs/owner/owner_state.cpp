#include "owner_state.h"

#include "lanemoor/jobs/owner/hall_evacuations.h"
#include "lanemoor/jobs/owner/ownership_manager.h"
#include "lanemoor/jobs/policy/placement.h"
#include "lanemoor/jobs/store/store_mirror.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Jobs with occurrences, long-running, gang or spread steps, or few suitable workers are evaluated one by one, and so are
/// jobs that need advice: in a group they would delay the evaluation of others.
bool mayWaitInGroup(const OwnerJob& job)
{
    const JobRecord& record = job.state.record();
    const bool isPlain = std::none_of(record.spec.steps.begin(), record.spec.steps.end(), [](const StepSpec& step) { return step.longRunning || step.gang || step.maxPerInstance > 0 || !step.requiredLabel.empty() || !step.preferredRack.empty(); });
    return job.account && job.state.isUnattempted() && record.spec.occurrences == 0 && isPlain && job.policy && !job.policy->advice;
}

/// Adds the demand of a step whose tasks could start.
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
    if (!options.admission.enabled || !mayWaitInGroup(job))
        return false;
    WaitingJob waiting { .job = &job, .milliCpu = {}, .needs = {}, .largest = {}, .infeasibleFrom = infeasibleFrom(job) };
    for (const StepSpec& step : record.spec.steps) {
        if (step.dependsOn.empty())
            addStep(*this, step, waiting);
    }
    waiting.work = declaredWork(record.spec);
    waitingJobs.add(std::move(waiting), now);
    job.waitsInGroup = true;
    inheritedInGroups += job.inherited ? 1 : 0;
    individualJobs.erase(job.state.id());
    candidateJobs.erase(job.state.id());
    return true;
}

void OwnerState::endWait(OwnerJob& job)
{
    if (!std::exchange(job.waitsInGroup, false))
        return;
    waitingJobs.remove(job);
    inheritedInGroups -= job.inherited ? 1 : 0;
    individualJobs.emplace(job.state.id(), &job);
    noteStartable(job);
}

void OwnerState::noteStartable(OwnerJob& job)
{
    if (!job.waitsInGroup)
        candidateJobs.emplace(job.state.id(), &job);
}

void OwnerState::removeJob(OwnerJob& job)
{
    const std::string id = job.state.id();
    candidateJobs.erase(id);
    spreadJobs.erase(id);
    individualJobs.erase(id);
    jobs.erase(id);
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
    Resources capacity; // Of the largest suitable instance.
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

WorkerRecord* OwnerState::worker(const std::string& id)
{
    const auto found = workers.find(id);
    return found == workers.end() ? nullptr : &found->second;
}

const std::vector<WorkerRecord*>& OwnerState::workersOf(const std::string& pool)
{
    if (workersByPool.empty()) {
        for (auto& [id, record] : workers)
            workersByPool[record.entry.pool].push_back(&record);
    }
    return workersByPool[pool];
}

const TaskState* OwnerState::liveTask(const Attempt& attempt, const std::string& worker)
{
    const OwnerJob* job = this->job(attempt.job);
    const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
    const bool isLive = task && task->live && task->live->number == attempt.number && task->live->worker == worker;
    return isLive ? task : nullptr;
}

bool OwnerState::areCancelsCurrent() const
{
    return now() - options.mirror->freshAt() < maxReplicaAgeForStarts;
}

bool OwnerState::mayStart(const OwnerJob& job) const
{
    if (!options.ownership->isHeld() || !options.evacuations->isConfirmed() || !areCancelsCurrent())
        return false;
    return !job.account || !options.isConfigurationCurrent || options.isConfigurationCurrent();
}

std::uint32_t OwnerState::labelDemandOf(const WorkerEntry& worker) const
{
    std::uint32_t level = 0;
    if (labelDemand.empty())
        return level;
    for (const std::string& label : worker.labels) {
        const auto found = labelDemand.find({ worker.pool, label });
        level = found == labelDemand.end() ? level : std::max(level, found->second);
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

/// Under overload with oldest-first order, every job would end slightly late; jobs that can still meet their objective come before
/// those that cannot. Jobs that have started are exempt: placing them last once they missed their objective discards half-done work, and
/// lowered the score of a run by 0.036.
bool OwnerState::isInfeasible(const OwnerJob& job, MonotonicInstant now) const
{
    return now >= infeasibleFrom(job);
}

MonotonicInstant OwnerState::infeasibleFrom(const OwnerJob& job) const
{
    const PlacementOptions& weights = options.placement;
    const JobSpec& spec = job.state.record().spec;
    const bool hasLongRunningStep = std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec& step) { return step.longRunning; });
    if (!weights.infeasibleLast || !job.state.isUnattempted() || spec.occurrences > 0 || hasLongRunningStep)
        return MonotonicInstant::max();
    constexpr MonotonicInstant::duration minLateness { 1 };
    const double share = weights.infeasibleShare * forecast.ratio(job.state.record().queue);
    return job.objective - std::chrono::duration_cast<Millis>(job.criticalPath * share) + minLateness;
}

MonotonicInstant OwnerState::expectedEnd(const OwnerJob& job, const TaskId& task) const
{
    return now() + std::chrono::duration_cast<Millis>(job.state.spec(task.step).estimate * forecast.ratio(job.state.record().queue));
}

bool OwnerState::mayHaveCrashedBefore(const OwnerJob& job, const TaskId& task) const
{
    if (!job.possiblyStartedBefore.contains({ task.occurrence, task.step }) || !job.state.isUnseen(task))
        return false;
    // The queue may have changed its pool since.
    return inheritedFailures.includesTask(job.state.id(), task) || inheritedFailures.includesPool(job.pool) || inheritedFailures.includesPool(job.state.record().pool);
}

bool OwnerState::beginProbation(OwnerJob& job, const Attempt& attempt, const WorkerRecord& worker)
{
    if (!job.state.beginProbation(attempt, worker.session->incarnation().startedAt))
        return false;
    probations[worker.entry.id].insert({ attempt.job, attempt.task });
    store(attempt.job);
    return true;
}

void OwnerState::applyConfiguration()
{
    const std::shared_ptr<const ServiceConfiguration> current = configuration();
    const std::map<std::string_view, KnownQueue> queues = current->lastKnownQueues();
    for (auto& [id, job] : jobs) {
        if (isFinal(job.state.status()))
            continue;
        const auto found = queues.find(job.state.record().queue);
        applyQueue(job, found == queues.end() ? std::nullopt : std::optional(found->second));
    }
}

void OwnerState::applyConfiguration(OwnerJob& job)
{
    const std::shared_ptr<const ServiceConfiguration> current = configuration();
    applyQueue(job, current->lastKnownQueue(job.state.record().queue));
}

void OwnerState::applyQueue(OwnerJob& job, const std::optional<KnownQueue>& queue)
{
    job.pool = queue ? queue->settings->pool : job.state.record().pool;
    if (queue && job.state.retainPolicy(queue->policy()))
        store(job.state.id());
    // The job may have been accepted, or its progress stored, under a configuration that this process has not received.
    job.policy = job.state.newestPolicy();
}

std::string nameOf(const Attempt& attempt)
{
    return attempt.job + '/' + std::to_string(attempt.task.occurrence) + '/' + std::to_string(attempt.task.step) + '/' + std::to_string(attempt.task.index) + '#'
        + std::to_string(attempt.number);
}

} // namespace lanemoor::jobs
