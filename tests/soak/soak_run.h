#pragma once
/// \file
/// One run of the soak from its start to its verdict.

#include "promises.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lanemoor::soak {

/// What a run is asked to do.
struct SoakOptions {
    std::uint64_t seed = 1;
    unsigned seconds = 60; ///< During which faults begin.
    unsigned processes = 4;
    std::string keep; ///< Folder for settings and logs, which stay; empty: one that is removed after a run without a breach.
    std::string programs; ///< Folder of the programs.
};

/// What came of a run.
struct SoakResult {
    std::vector<Breach> breaches;
    std::string folder; ///< Where the logs are; empty if they are removed.
    std::vector<std::string> logs;
    std::string summary; ///< Counts, on one line.
};

/// \brief Starts a cluster, disturbs it by the plan of its seed, and checks the promises.
/// \throws std::runtime_error if the cluster can't be started.
[[nodiscard]] SoakResult runSoak(const SoakOptions& options);

} // namespace lanemoor::soak
