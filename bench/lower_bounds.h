#pragma once
/// \file
/// Lower bounds of the benchmarks' figures, computed independently of the planner.

#include "lanemoor/decisions/fleet_view.h"

#include <cstdint>

namespace lanemoor::bench {

/// \returns The min buffer of any placement, in instances: for each pool the smallest loss of
/// a failure domain that the matching instances permit.
[[nodiscard]] std::uint32_t bufferBound(const Configuration& configuration, const Instances& instances);

/// The min number of moves for a fleet, and the places that no moves can fill.
struct MovesBound {
    std::uint32_t moves = 0;
    std::uint32_t unfilled = 0; ///< Places of pools that stay empty.
};

/// \brief Computes the min number of moves that bring every pool to its target and every
/// member that no longer matches out of its pool.
///
/// Solves a min-cost flow of instances into the pools' places, limited per failure domain by
/// the pool's size. Staying costs nothing and moving costs one; a member that does not match
/// moves in any case.
[[nodiscard]] MovesBound movesBound(const FleetView& view);

/// \returns The min time to maintain every instance once, if each instance that no budget
/// needs is out of service all the time.
[[nodiscard]] Millis rollOutBound(const Configuration& configuration, const Instances& instances, Millis timePerInstance);

} // namespace lanemoor::bench
