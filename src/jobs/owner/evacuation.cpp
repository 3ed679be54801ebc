#include "evacuation.h"

#include "lanemoor/jobs/policy/checkpoint_move.h"

namespace lanemoor::jobs {

namespace {

constexpr std::uint32_t atWorkPercent = 100;
/// A stop takes up to 0.9 s at a worker by the platform's bound: so long after an attempt was
/// adopted, a former owner's stop of it may still be under way.
constexpr Millis formerStops { 1'500 };
/// Most batch tasks take less; those that take longer are stopped, since instances wait.
constexpr Millis batchPatience { 4'000 };

bool isAtWork(const OwnerState& state, const TaskState& task)
{
    if (!task.live || task.live->phase != AttemptPhase::Running || task.live->percent < atWorkPercent)
        return false;
    if (task.live->adopted && state.now() - task.live->startedAt < formerStops)
        return false;
    const auto worker = state.workers.find(task.live->worker);
    return worker != state.workers.end() && !worker->second.session->isSilent();
}

} // namespace

std::uint32_t tasksAway(const OwnerState& state, const JobState& job, const StepId& step, std::uint32_t except)
{
    std::uint32_t away = 0;
    const std::vector<TaskState>& tasks = job.steps().at(step).tasks;
    for (std::uint32_t i = 0; i < tasks.size(); ++i)
        away += i != except && !isAtWork(state, tasks[i]) ? 1 : 0;
    return away;
}

bool mayDisrupt(const OwnerState& state, const JobState& job, const TaskId& task)
{
    const std::uint32_t budget = job.spec(task.step).disruptionBudget;
    return budget == 0 || tasksAway(state, job, { task.occurrence, task.step }, task.index) < budget;
}

Evacuation::Evacuation(OwnerState& state, OrderDesk& orders)
    : m_state(state)
    , m_orders(orders)
    , m_others(state)
{
}

void Evacuation::run()
{
    for (auto& [id, worker] : m_state.workers) {
        if ((worker.evacuating || worker.hallEvacuated || worker.entry.draining) && !worker.bookings.empty())
            empty(worker);
    }
}

void Evacuation::empty(WorkerBook& worker)
{
    std::vector<Attempt> stopping;
    for (const auto& [attempt, booking] : worker.bookings) {
        if (mayStop(attempt, booking, worker))
            stopping.push_back(attempt);
    }
    for (const Attempt& attempt : stopping) {
        const Reservation& booking = worker.bookings.at(attempt);
        // Checked again one by one: each stop takes a task of its step away.
        if (!mayStop(attempt, booking, worker))
            continue;
        if (!booking.step->longRunning)
            m_others.promise(*booking.step);
        m_orders.stop(attempt, worker.entry.id);
    }
}

bool Evacuation::mayStop(const Attempt& attempt, const Reservation& booking, const WorkerBook& worker)
{
    const OwnerJob* job = m_state.job(attempt.job);
    const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
    if (!task || !task->live || task->live->number != attempt.number || task->live->phase != AttemptPhase::Running)
        return false;
    if (!booking.step->longRunning)
        return (worker.evacuating && m_state.now() - worker.evacuatingSince > batchPatience) || isBatchToMove(job->state, attempt, booking, worker);
    if (!mayDisrupt(m_state, job->state, attempt.task))
        return false;
    const bool mustFindRoom = !worker.entry.draining && !booking.step->requiredLabel.empty();
    return !mustFindRoom || m_others.hasRoomFor(job->state, { attempt.task.occurrence, attempt.task.step }, worker);
}

/// Members of a gang are left alone: all of them would have to move at once.
bool Evacuation::isBatchToMove(const JobState& job, const Attempt& attempt, const Reservation& booking, const WorkerBook& worker)
{
    const TaskState& task = *job.find(attempt.task);
    if (!m_state.options.failureDomains.enabled || !worker.hallEvacuated || booking.step->gang || task.checkpoint.empty())
        return false;
    const auto passed = [&](MonotonicInstant::duration time) { return std::chrono::duration_cast<Millis>(time); };
    const CheckpointedAttempt progress { .elapsed = passed(m_state.now() - task.live->startedAt), .percent = task.live->percent, .declaredLeft = passed(booking.expectedEnd - m_state.now()) };
    if (!isWorthMoving(progress, m_state.options.checkpointMove))
        return false;
    const std::pair<std::string, std::string> kind { worker.entry.pool, booking.step->requiredLabel };
    if (m_full.contains(kind))
        return false;
    if (m_others.hasRoomFor(job, { attempt.task.occurrence, attempt.task.step }, worker))
        return true;
    m_full.insert(kind);
    return false;
}

} // namespace lanemoor::jobs
