#pragma once
/// \file
/// The fleets that tests and benchmarks run on: the two users' of today and the planned size.

#include "lanemoor/decisions/configuration.h"
#include "lanemoor/decisions/instance.h"

#include <cstdint>
#include <string>

namespace lanemoor::test {

/// A fleet and its operators' configuration.
struct FleetCase {
    std::string name;
    Instances instances;
    Configuration configuration;
};

/// \returns Montevideo of today: 50 workers, 4 data halls, 5 pools; moves weigh most.
[[nodiscard]] FleetCase montevideoFleet();

/// \returns Vestland of today: 50 workers, 3 data halls, 5 pools; roll-out time weighs most.
[[nodiscard]] FleetCase vestlandFleet();

/// \returns The planned size times `scale`: 710 workers, 120 pools, 180 teams, 5 data halls.
[[nodiscard]] FleetCase plannedFleet(double scale = 1.0);

/// \returns A selector from text known to be good.
[[nodiscard]] Selector selectorOf(const std::string& text);

} // namespace lanemoor::test
