#pragma once
/// \file
/// Frees capacity on labelled workers for tasks that require the label.

#include "order_desk.h"
#include "other_sites.h"
#include "placement_pass.h"

namespace lanemoor::jobs {

/// \brief Moves long-running tasks that don't require a label off workers that have it, if tasks
/// that require it have waited for a while and other workers have capacity for the moved ones.
///
/// Batch tasks are not moved. One worker is cleared at a time, and never more tasks of
/// a step than its disruption budget allows.
class Displacement {
public:
    Displacement(OwnerState& state, OrderDesk& orders);

    void run();

private:
    void makeRoomFor(const JobState& job, const StepId& step, const std::string& pool);
    [[nodiscard]] std::vector<Attempt> movable(const WorkerBook& worker, const StepSpec& step);

    OwnerState& m_state;
    OrderDesk& m_orders;
    OtherSites m_others;
};

} // namespace lanemoor::jobs
