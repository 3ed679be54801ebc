#pragma once
/// \file
/// Fleets for tests and benchmarks: those of the two current users and one of the planned size.

#include "lanemoor/decisions/configuration.h"
#include "lanemoor/decisions/instance.h"

#include <cstdint>
#include <string>

namespace lanemoor::test {

/// A fleet and its configuration.
struct FleetCase {
    std::string name;
    Instances instances;
    Configuration configuration;
};

/// \returns The current Montevideo fleet: 50 workers, 4 data halls, 5 pools; moves have the highest weight.
[[nodiscard]] FleetCase montevideoFleet();

/// \returns The current Vestland fleet: 50 workers, 3 data halls, 5 pools; roll-out time has the highest weight.
[[nodiscard]] FleetCase vestlandFleet();

/// \returns A fleet of the planned size times `scale`: 710 workers, 120 pools and 180 teams, in 5 data halls.
[[nodiscard]] FleetCase plannedFleet(double scale = 1.0);

/// \returns The selector parsed from `text`, which must be valid.
[[nodiscard]] Selector selectorOf(const std::string& text);

} // namespace lanemoor::test
