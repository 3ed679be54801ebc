#pragma once
/// \file
/// What can be switched and weighed in placement.

namespace lanemoor::jobs {

/// Weights of placement.
struct PlacementOptions {
    /// Whether a task waits for room in the rack of its data, as long as that costs less than
    /// working far from it.
    bool waitsForRack = true;
    /// Whether a job that has not begun and can't meet its objective any more comes after those that can.
    bool hopelessLast = true;
    /// A job counts as unable to meet its objective if this share of its declared work time, corrected by
    /// what is observed, does not fit in what is left: declared times are wrong by half and more.
    double hopelessShare = 0.8;
    /// Whether jobs that an organisation sends beyond its rate come after all others.
    bool beyondRateLast = true;
    /// Whether tasks of a long-running step are spread over data halls where they fit as well, since the loss of a data hall must be
    /// survived.
    bool spreadsOverHalls = false;
    double farFactor = 2.0; ///< Work far from its data takes this many times as long; the platform says it.

    [[nodiscard]] bool operator==(const PlacementOptions&) const = default;
};

} // namespace lanemoor::jobs
