#pragma once
/// \file
/// Lower bounds of the benchmarks' figures, computed independently of the planner.

#include "lanemoor/decisions/fleet_view.h"

#include <cstdint>

namespace lanemoor::bench {

/// \returns The smallest buffer that any placement needs, in instances: for each pool, the members
/// lost with its largest failure domain if the matching instances are spread as evenly as possible.
[[nodiscard]] std::uint32_t bufferBound(const Configuration& configuration, const Instances& instances);

/// The minimum number of moves for a fleet, and the places that no moves can fill.
struct MovesBound {
    std::uint32_t moves = 0;
    std::uint32_t unfilled = 0; ///< Places of pools that stay empty.
};

/// \brief Computes the minimum number of moves that bring every pool to its target and every
/// member that no longer matches out of its pool.
///
/// Solves a min-cost flow of instances into the pools' places, limited per failure domain by
/// the pool's size. Staying costs nothing and moving costs one; a member that does not match
/// moves in any case.
[[nodiscard]] MovesBound movesBound(const FleetView& view);

/// \returns The minimum time to maintain every instance once: all instances that no budget
/// needs are in maintenance at any time.
[[nodiscard]] Millis rollOutBound(const Configuration& configuration, const Instances& instances, Millis timePerInstance);

} // namespace lanemoor::bench
