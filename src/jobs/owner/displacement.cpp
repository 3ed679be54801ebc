#include "displacement.h"

#include "evacuation.h"

namespace lanemoor::jobs {

namespace {

/// Min wait of a task: batch tasks of the platform's callers take about 1 s, so capacity may become free without a displacement.
constexpr Millis minWaitTime { 1'000 };
/// Between two displacements: by the platform's bound, a stop and a start on another worker take up to 0.9 s.
constexpr Millis pause { 1'000 };

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
        const bool lacksLabelledRoom = !waiting.wait.label.empty() && waiting.wait.labelled > 0 && waiting.wait.labelledWithRoom == 0 && waiting.wait.heldByQuotaOf.empty();
        const OwnerJob* job = lacksLabelledRoom && now - waiting.since >= minWaitTime ? m_state.job(key.first) : nullptr;
        if (!job || isFinal(job->state.status()) || !job->state.steps().contains(key.second) || job->state.steps().at(key.second).idle() == 0)
            continue;
        makeRoomFor(job->state, key.second, m_state.poolOf(job->state));
        if (now < m_state.nextDisplacementAt)
            return;
    }
}

void Displacement::makeRoomFor(const JobState& job, const StepId& step, const std::string& pool)
{
    const StepSpec& spec = job.spec(step.step);
    for (auto& [id, worker] : m_state.workers) {
        if (worker.entry.pool != pool || !worker.isOpen(m_state.now()) || !hasLabel(worker.entry, spec.requiredLabel))
            continue;
        if (spec.maxPerInstance > 0 && worker.tasksOf(job.id(), step) >= spec.maxPerInstance)
            continue;
        const std::vector<Attempt> moved = movable(worker, spec);
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
        return;
    }
}

/// \returns The attempts to stop so that a task of `step` fits on the worker; empty: not possible.
/// Budgets may allow only some of the stops now.
std::vector<Attempt> Displacement::movable(const WorkerRecord& worker, const StepSpec& step)
{
    std::vector<Attempt> moved;
    Resources free = m_alternatives.freeOn(worker);
    for (const auto& [attempt, reservation] : worker.reservations) {
        if (free.covers(footprint(step)))
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
    return free.covers(footprint(step)) ? moved : std::vector<Attempt> {};
}

} // namespace lanemoor::jobs
