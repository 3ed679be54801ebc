#pragma once
/// \file
/// Empties workers before maintenance or a move, while they drain, and in evacuated data halls.

#include "alternative_workers.h"
#include "command_dispatcher.h"

#include <set>
#include <string>
#include <utility>

namespace lanemoor::jobs {

/// \brief Stops long-running tasks on workers that are being emptied, so that they start
/// on other workers; never more of a step at once than its disruption budget allows. Batch tasks may
/// finish within a time limit; in an evacuated data hall, those with a checkpoint are moved if finishing takes longer than moving.
/// On a worker that stays up, a task that requires a label remains until another worker with the label has capacity for it.
class Evacuation {
public:
    Evacuation(OwnerState& state, CommandDispatcher& commands);

    void run();

private:
    void evacuateWorker(WorkerRecord& worker);
    [[nodiscard]] bool mayStop(const Attempt& attempt, const Reservation& reservation, const WorkerRecord& worker);
    [[nodiscard]] bool isBatchToMove(const JobState& job, const Attempt& attempt, const Reservation& reservation, const WorkerRecord& worker);

    OwnerState& m_state;
    CommandDispatcher& m_commands;
    AlternativeWorkers m_alternatives;
    /// Pools and labels without capacity for a batch task on another worker; further tasks of the same kind are skipped in this run.
    std::set<std::pair<std::string, std::string>> m_kindsWithoutCapacity;
};

/// \returns Whether the disruption budget of its step allows a stop of the long-running task now.
[[nodiscard]] bool mayDisrupt(const OwnerState& state, const JobState& job, const TaskId& task);

/// \returns The number of tasks of `step`, other than `except`, that are not reported as running.
[[nodiscard]] std::uint32_t tasksNotRunning(const OwnerState& state, const JobState& job, const StepId& step, std::uint32_t except);

} // namespace lanemoor::jobs
