#pragma once
/// \file
/// A step whose tasks could start.

#include "owner_state.h"

#include <tuple>
#include <vector>

namespace lanemoor::jobs {

/// Tasks of one step that could start now, and where they stand in the order of placement.
struct PlacementCandidate {
    std::uint32_t priority = 0;
    bool hopeless = false; ///< Not begun, and its objective can't be met any more.
    bool beyondRate = false; ///< Its organisation sent more jobs than it may.
    MonotonicInstant objective;
    OwnerJob* job = nullptr;
    StepId step;
    const QueueSettings* queue = nullptr;
    std::vector<TaskId> tasks;
    bool fromGroup = false; ///< It stands in its organisation's group of waiting jobs, whose sums count it.

    /// \returns Whether it still waits in its group.
    [[nodiscard]] bool isCountedByGroup() const noexcept { return fromGroup && job->state.status() == JobStatus::Queued; }

    /// \returns What placement goes by where organisations have no shares.
    [[nodiscard]] auto order() const noexcept { return std::tie(priority, hopeless, beyondRate, objective); }
};

} // namespace lanemoor::jobs
