#include "displacement.h"

#include "evacuation.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

/// Min wait of a task: batch tasks of the platform's callers take about 1 s, so capacity may become free without a displacement.
constexpr Millis minWaitTime { 1'000 };
/// Between two displacements: by the platform's bound, a stop and a start on another worker take up to 0.9 s.
constexpr Millis pause { 1'000 };
constexpr Millis searchPause { 200 }; // After a search that found nothing to move: it inspects all workers for each waiting step.

/// How long freed capacity is reserved: covers the stop and the start of the waiting tasks.
constexpr Millis reservationTime { 2'000 };

} // namespace

Displacement::Displacement(OwnerState& state, CommandDispatcher& commands)
    : m_state(state)
    , m_commands(commands)
    , m_alternatives(state)
{
}

void Displacement::run()
{
    const MonotonicInstant now = m_state.now();
    if (now < m_state.nextDisplacementAt)
        return;
    for (const auto& [key, waiting] : m_state.waits) {
        const bool mayLackRoom = !waiting.wait.label.empty() && waiting.wait.labelled > 0 && waiting.wait.heldByQuotaOf.empty();
        const OwnerJob* job = mayLackRoom && now - waiting.since >= minWaitTime ? m_state.job(key.first) : nullptr;
        if (!job || isFinal(job->state.status()) || !job->state.steps().contains(key.second) || job->state.steps().at(key.second).idle() == 0)
            continue;
        // If no worker can be cleared for all members of a gang, as many as possible are provided for, and others at the next run.
        for (std::uint32_t tasks = tasksWithoutRoom(job->state, key.second, waiting.wait); tasks > 0; --tasks) {
            if (makeRoomFor(job->state, key.second, tasks))
                return;
            m_state.nextDisplacementAt = now + searchPause;
        }
    }
}

/// \returns Tasks of the step that lack room on labelled workers and can't start for that reason.
std::uint32_t Displacement::tasksWithoutRoom(const JobState& job, const StepId& step, const StepWait& wait)
{
    const StepSpec& spec = job.spec(step.step);
    if (!spec.gang)
        return wait.labelledWithRoom == 0 ? 1 : 0;
    std::uint32_t fitting = 0;
    for (const auto& [id, worker] : m_state.workers)
        fitting += isCandidate(worker, job, step) ? fittingOn(worker, job, step) : 0;
    return spec.count - std::min(spec.count, fitting);
}

/// \returns How many tasks of the step the worker has room for.
std::uint32_t Displacement::fittingOn(const WorkerRecord& worker, const JobState& job, const StepId& step)
{
    const StepSpec& spec = job.spec(step.step);
    const std::uint32_t limit = spec.maxPerInstance > 0 ? spec.maxPerInstance - worker.tasksOf(job.id(), step) : spec.count;
    Resources needed = footprint(spec);
    std::uint32_t fitting = 0;
    for (; fitting < limit && m_alternatives.freeOn(worker).covers(needed); ++fitting)
        needed += footprint(spec);
    return fitting;
}

/// \returns Whether the worker may run another task of the step, apart from its room.
bool Displacement::isCandidate(const WorkerRecord& worker, const JobState& job, const StepId& step) const
{
    const StepSpec& spec = job.spec(step.step);
    if (worker.entry.pool != m_state.job(job.id())->pool || !worker.isOpen(m_state.now()) || !hasLabel(worker.entry, spec.requiredLabel))
        return false;
    return spec.maxPerInstance == 0 || worker.tasksOf(job.id(), step) < spec.maxPerInstance;
}

/// Makes room on one worker for `tasks` more tasks of the step than it has room for. \returns Whether a worker could be cleared.
bool Displacement::makeRoomFor(const JobState& job, const StepId& step, std::uint32_t tasks)
{
    const StepSpec& spec = job.spec(step.step);
    for (auto& [id, worker] : m_state.workers) {
        if (!isCandidate(worker, job, step))
            continue;
        Resources needed;
        for (std::uint32_t i = fittingOn(worker, job, step) + tasks; i > 0; --i)
            needed += footprint(spec);
        const std::vector<Attempt> moved = movable(worker, spec, needed);
        if (moved.empty())
            continue;
        m_state.options.log->decision("room-made", { { "worker", id }, { "job", job.id() }, { "label", spec.requiredLabel }, { "attempts", static_cast<std::int64_t>(moved.size()) } });
        for (const Attempt& attempt : moved) {
            // Each stop reduces the running tasks of its step: the other attempts may have to wait for the next run.
            if (mayDisrupt(m_state, m_state.job(attempt.job)->state, attempt.task))
                m_commands.stop(attempt, id);
        }
        worker.reservedForLabel = spec.requiredLabel;
        worker.reservedUntil = m_state.now() + reservationTime;
        m_state.nextDisplacementAt = m_state.now() + pause;
        return true;
    }
    return false;
}

/// \returns The attempts to stop so that `needed` is free on the worker for tasks of `step`; empty: not possible.
/// Budgets may allow only some of the stops now.
std::vector<Attempt> Displacement::movable(const WorkerRecord& worker, const StepSpec& step, const Resources& needed)
{
    std::vector<Attempt> moved;
    Resources free = m_alternatives.freeOn(worker);
    for (const auto& [attempt, reservation] : worker.reservations) {
        if (free.covers(needed))
            break;
        const OwnerJob* job = m_state.job(attempt.job);
        const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
        const bool isRunning = task && task->live && task->live->number == attempt.number && task->live->phase == AttemptPhase::Running;
        if (!isRunning || !reservation.step->longRunning || reservation.step->requiredLabel == step.requiredLabel)
            continue;
        const StepId of { attempt.task.occurrence, attempt.task.step };
        if (!mayDisrupt(m_state, job->state, attempt.task) || !m_alternatives.hasRoomFor(job->state, of, worker, step.requiredLabel))
            continue;
        m_alternatives.reserve(*reservation.step);
        moved.push_back(attempt);
        free += footprint(*reservation.step);
    }
    return free.covers(needed) ? moved : std::vector<Attempt> {};
}

} // namespace lanemoor::jobs
