#pragma once
/// \file
/// Makes room on workers with a label for tasks that can run nowhere else.

#include "command_dispatcher.h"
#include "other_sites.h"
#include "placement_pass.h"

namespace lanemoor::jobs {

/// \brief Moves long-running tasks that don't need a label off workers that have it, if tasks
/// that do need it have waited a while and another worker has room for the ones moved.
///
/// Batch tasks are left to end by themselves. One worker is cleared at a time, and never more of
/// a step than its disruption budget allows.
class Displacement {
public:
    Displacement(OwnerState& state, CommandDispatcher& orders);

    void run();

private:
    void makeRoomFor(const JobState& job, const StepId& step, const std::string& pool);
    [[nodiscard]] std::vector<Attempt> movable(const WorkerBook& worker, const StepSpec& step);

    OwnerState& m_state;
    CommandDispatcher& m_orders;
    OtherSites m_others;
};

} // namespace lanemoor::jobs
