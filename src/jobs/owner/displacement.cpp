#include "displacement.h"

#include "evacuation.h"

namespace lanemoor::jobs {

namespace {

/// A batch task of the platform's callers takes some 1 s: before that, room may come by itself.
constexpr Millis patience { 1'000 };
/// Between two displacements: a stop and a start elsewhere take up to 0.9 s by the platform's bound.
constexpr Millis pause { 1'000 };

/// Room that was made is kept so long: for the stop, and for the tasks to start.
constexpr Millis kept { 2'000 };

} // namespace

Displacement::Displacement(OwnerState& state, OrderDesk& orders)
    : m_state(state)
    , m_orders(orders)
    , m_others(state)
{
}

void Displacement::run()
{
    const MonotonicInstant now = m_state.now();
    if (now < m_state.nextDisplacementAt)
        return;
    for (const auto& [key, waiting] : m_state.waits) {
        const bool isBound = !waiting.wait.label.empty() && waiting.wait.labelled > 0 && waiting.wait.labelledWithRoom == 0 && waiting.wait.heldByQuotaOf.empty();
        const OwnerJob* job = isBound && now - waiting.since >= patience ? m_state.job(key.first) : nullptr;
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
            // Each stop takes a task of its step away: the others may have to wait for the next round.
            if (mayDisrupt(m_state, m_state.job(attempt.job)->state, attempt.task))
                m_orders.stop(attempt, id);
        }
        worker.keptFor = spec.requiredLabel;
        worker.keptUntil = m_state.now() + kept;
        m_state.nextDisplacementAt = m_state.now() + pause;
        return;
    }
}

/// \returns Attempts without which the worker has room for a task of `step`; empty: it can't be made.
/// Budgets may allow only some of them to go now.
std::vector<Attempt> Displacement::movable(const WorkerBook& worker, const StepSpec& step)
{
    std::vector<Attempt> moved;
    Resources free = m_others.freeOn(worker);
    for (const auto& [attempt, booking] : worker.bookings) {
        if (free.covers(footprint(step)))
            break;
        const OwnerJob* job = m_state.job(attempt.job);
        const TaskState* task = job ? job->state.find(attempt.task) : nullptr;
        const bool isRunning = task && task->live && task->live->number == attempt.number && task->live->phase == AttemptPhase::Running;
        if (!isRunning || !booking.step->longRunning || booking.step->requiredLabel == step.requiredLabel)
            continue;
        const StepId of { attempt.task.occurrence, attempt.task.step };
        if (!mayDisrupt(m_state, job->state, attempt.task) || !m_others.hasRoomFor(job->state, of, worker, step.requiredLabel))
            continue;
        m_others.promise(*booking.step);
        moved.push_back(attempt);
        free += footprint(*booking.step);
    }
    return free.covers(footprint(step)) ? moved : std::vector<Attempt> {};
}

} // namespace lanemoor::jobs
