#pragma once
/// \file
/// Long runs with random failures, configuration changes and races between holders.

#include "support/fleets.h"

#include <cstdint>
#include <string>

namespace lanemoor::test {

/// Result of a random run.
struct RandomRunResult {
    std::string name;
    std::uint64_t events = 0;
    std::uint64_t moves = 0;
    std::uint64_t writes = 0;
    std::uint64_t breaches = 0;
    std::string firstBreach; ///< With its step; empty if there was none.
};

/// \brief Runs `steps` steps on `fleetCase`. Runs with the same seed are identical.
[[nodiscard]] RandomRunResult randomRun(FleetCase fleetCase, std::uint32_t steps, std::uint64_t seed);

} // namespace lanemoor::test
