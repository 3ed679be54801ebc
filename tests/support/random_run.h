#pragma once
/// \file
/// A long run of random failures, operators' changes and races of holders.

#include "support/fleets.h"

#include <cstdint>
#include <string>

namespace lanemoor::test {

/// What a random run came to.
struct RandomRunResult {
    std::string name;
    std::uint64_t events = 0;
    std::uint64_t moves = 0;
    std::uint64_t writes = 0;
    std::uint64_t breaches = 0;
    std::string firstBreach; ///< With its step; empty: none.
};

/// \brief Runs `steps` steps on `fleetCase`; the same seed gives the same run.
[[nodiscard]] RandomRunResult randomRun(FleetCase fleetCase, std::uint32_t steps, std::uint64_t seed);

} // namespace lanemoor::test
