#pragma once
/// \file
/// Frees capacity on labelled workers for tasks that require the label.

#include "alternative_workers.h"
#include "command_dispatcher.h"
#include "placement_pass.h"

namespace lanemoor::jobs {

/// \brief Moves long-running tasks that don't require a label off workers that have it, if tasks
/// that require it have waited for a while and other workers have capacity for the moved ones.
///
/// The members of a gang need room at the same time. Batch tasks are not moved. One worker is cleared at a time, and never more tasks of
/// a step than its disruption budget allows.
class Displacement {
public:
    Displacement(OwnerState& state, CommandDispatcher& commands);

    void run();

private:
    [[nodiscard]] std::uint32_t tasksWithoutRoom(const JobState& job, const StepId& step, const StepWait& wait);
    [[nodiscard]] std::uint32_t fittingOn(const WorkerRecord& worker, const JobState& job, const StepId& step);
    [[nodiscard]] bool isCandidate(const WorkerRecord& worker, const JobState& job, const StepId& step) const;
    bool makeRoomFor(const JobState& job, const StepId& step, std::uint32_t tasks);
    [[nodiscard]] std::vector<Attempt> movable(const WorkerRecord& worker, const StepSpec& step, const Resources& needed);

    OwnerState& m_state;
    CommandDispatcher& m_commands;
    AlternativeWorkers m_alternatives;
};

} // namespace lanemoor::jobs
