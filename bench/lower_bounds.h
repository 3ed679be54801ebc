#pragma once
/// \file
/// Lower bounds of the measures, computed apart from the planner.

#include "lanemoor/decisions/fleet_view.h"

#include <cstdint>

namespace lanemoor::bench {

/// \returns The buffer in instances that no placement can go below: for each pool the
/// smallest loss of a failure domain that the matching instances permit.
[[nodiscard]] std::uint32_t bufferBound(const Configuration& configuration, const Instances& instances);

/// The fewest moves for a fleet, and what no moves can fill.
struct MovesBound {
    std::uint32_t moves = 0;
    std::uint32_t unfilled = 0; ///< Places of pools that stay empty.
};

/// \brief The fewest moves that bring every pool to its target and every member that no
/// longer matches out of its pool.
///
/// A flow of least cost of instances into the pools' places, with at most so many of one
/// failure domain as a pool's size permits. Staying costs nothing, moving costs one; a
/// member that does not match moves in any case.
[[nodiscard]] MovesBound movesBound(const FleetView& view);

/// \returns The least time to maintain every instance once, if each instance that no
/// budget needs is out of service all the time.
[[nodiscard]] Millis rollOutBound(const Configuration& configuration, const Instances& instances, Millis timeOfOne);

} // namespace lanemoor::bench
