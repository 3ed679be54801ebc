#pragma once
/// \file
/// Settings of placement.

namespace lanemoor::jobs {

/// Settings of placement.
struct PlacementOptions {
    /// Whether a task waits for room in the rack of its data while that costs less than running far from it.
    bool waitsForRack = true;
    /// Whether a job that has not started and cannot meet its objective comes after those that can.
    bool infeasibleLast = true;
    /// A job is infeasible if this share of its declared work time, corrected by observed run times, exceeds the remaining time:
    /// declared times are off by half and more.
    double infeasibleShare = 0.8;
    /// Whether jobs beyond their organisation's rate come after all others.
    bool beyondRateLast = true;
    /// Whether tasks of a long-running step are spread over data halls if they fit, so that the step survives the loss of a data
    /// hall.
    bool spreadsOverHalls = false;
    double farFactor = 2.0; ///< Factor on the run time of a task that runs far from its data; set by the platform.

    [[nodiscard]] bool operator==(const PlacementOptions&) const = default;
};

} // namespace lanemoor::jobs
