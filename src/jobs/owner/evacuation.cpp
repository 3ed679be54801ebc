#include "evacuation.h"

#include "lanemoor/jobs/policy/checkpoint_move.h"

namespace lanemoor::jobs {

namespace {

constexpr std::uint32_t fullyRunningPercent = 100;
/// By the platform's bound a stop takes up to 0.9 s at a worker: for this long after an attempt was
/// adopted, a stop command of a previous owner may still be in progress.
constexpr Millis previousOwnerStopTime { 1'500 };
/// Most batch tasks take less time; longer ones are stopped, since maintenance and moves wait for the instance.
constexpr Millis batchTimeLimit { 4'000 };

bool isFullyRunning(const OwnerState& state, const TaskState& task)
{
    if (!task.live || task.live->phase != AttemptPhase::Running || task.live->percent < fullyRunningPercent)
        return false;
    if (task.live->adopted && state.now() - task.live->startedAt < previousOwnerStopTime)
        return false;
    const auto worker = state.workers.find(task.live->worker);
    return worker != state.workers.end() && !worker->second.session->isUnresponsive();
}

} // namespace

std::uint32_t tasksNotRunning(const OwnerState& state, const JobState& job, const StepId& step, std::uint32_t except)
{
    std::uint32_t notRunning = 0;
    const std::vector<TaskState>& tasks = job.steps().at(step).tasks;
    for (std::uint32_t i = 0; i < tasks.size(); ++i)
        notRunning += i != except && !isFullyRunning(state, tasks[i]) ? 1 : 0;
    return notRunning;
}

bool mayDisrupt(const OwnerState& state, const JobState& job, const TaskId& task)
{
    const std::uint32_t budget = job.spec(task.step).disruptionBudget;
    return budget == 0 || tasksNotRunning(state, job, { task.occurrence, task.step }, task.index) < budget;
}

Evacuation::Evacuation(OwnerState& state, CommandDispatcher& commands)
    : m_state(state)
    , m_commands(commands)
    , m_alternatives(state)
{
}

void Evacuation::run()
{
    for (auto& [id, worker] : m_state.workers) {
        if ((worker.evacuating || worker.hallEvacuated || worker.entry.draining) && !worker.reservations.empty())
            evacuateWorker(worker);
    }
}

void Evacuation::evacuateWorker(WorkerRecord& worker)
{
    std::vector<Attempt> stopping;
    for (const auto& [attempt, reservation] : worker.reservations) {
        if (mayStop(attempt, reservation, worker))
            stopping.push_back(attempt);
    }
    for (const Attempt& attempt : stopping) {
        const Reservation& reservation = worker.reservations.at(attempt);
        // Checked again for each attempt, since each stop reduces the running tasks of its step.
        if (!mayStop(attempt, reservation, worker))
            continue;
        if (!reservation.step->longRunning)
            m_alternatives.reserve(*reservation.step);
        m_commands.stop(attempt, worker.entry.id);
    }
}

bool Evacuation::mayStop(const Attempt& attempt, const Reservation& reservation, const WorkerRecord& worker)
{
    const OwnerJob* job = m_state.job(attempt.job);
    const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
    if (!task || !task->live || task->live->number != attempt.number || task->live->phase != AttemptPhase::Running)
        return false;
    if (!reservation.step->longRunning)
        return (worker.evacuating && m_state.now() - worker.evacuatingSince > batchTimeLimit) || isBatchToMove(job->state, attempt, reservation, worker);
    if (!mayDisrupt(m_state, job->state, attempt.task))
        return false;
    const bool mustFindRoom = !worker.entry.draining && !reservation.step->requiredLabel.empty();
    return !mustFindRoom || m_alternatives.hasRoomFor(job->state, { attempt.task.occurrence, attempt.task.step }, worker);
}

/// Gang members are not moved: the whole gang would have to move at once.
bool Evacuation::isBatchToMove(const JobState& job, const Attempt& attempt, const Reservation& reservation, const WorkerRecord& worker)
{
    const TaskState& task = *job.find(attempt.task);
    if (!m_state.options.failureDomains.enabled || !worker.hallEvacuated || reservation.step->gang || task.checkpoint.empty())
        return false;
    const auto passed = [&](MonotonicInstant::duration time) { return std::chrono::duration_cast<Millis>(time); };
    const CheckpointedAttempt progress { .elapsed = passed(m_state.now() - task.live->startedAt), .percent = task.live->percent, .declaredLeft = passed(reservation.expectedEnd - m_state.now()) };
    if (!isWorthMoving(progress, m_state.options.checkpointMove))
        return false;
    const std::pair<std::string, std::string> kind { worker.entry.pool, reservation.step->requiredLabel };
    if (m_kindsWithoutCapacity.contains(kind))
        return false;
    if (m_alternatives.hasRoomFor(job, { attempt.task.occurrence, attempt.task.step }, worker))
        return true;
    m_kindsWithoutCapacity.insert(kind);
    return false;
}

} // namespace lanemoor::jobs
