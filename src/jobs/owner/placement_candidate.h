#pragma once
/// \file
/// A step with tasks that could start.

#include "owner_state.h"

#include <tuple>
#include <vector>

namespace lanemoor::jobs {

/// Tasks of one step that could start now, with their sort keys for the placement order.
struct PlacementCandidate {
    std::uint32_t priority = 0;
    bool infeasible = false; ///< The job has not started and can no longer meet its objective.
    bool beyondRate = false; ///< The job exceeded its organisation's rate.
    MonotonicInstant objective;
    OwnerJob* job = nullptr;
    StepId step;
    std::vector<TaskId> tasks;
    bool fromGroup = false; ///< Taken from its organisation's group of waiting jobs, whose sums include the job.

    /// \returns Whether the job still waits in its group.
    [[nodiscard]] bool isCountedByGroup() const noexcept { return fromGroup && job->state.isUnattempted(); }

    /// \returns The sort key of placement. In pools with organisation shares, candidates beyond their organisation's share come last within
    /// one priority and feasibility.
    [[nodiscard]] auto order() const noexcept { return std::tie(priority, infeasible, beyondRate, objective); }
};

} // namespace lanemoor::jobs
