#pragma once
/// \file
/// One soak run from its start to its result.

#include "guarantee_monitor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lanemoor::soak {

/// Parameters of a soak run.
struct SoakOptions {
    std::uint64_t seed = 1;
    unsigned seconds = 60; ///< Time in which faults are injected.
    unsigned processes = 4;
    std::string keep; ///< Folder that keeps settings and logs; empty for a temporary one, which is removed after a run without a breach.
    std::string programs; ///< Folder of `lanemoor` and `job_platform_standin`.
};

/// Result of a soak run.
struct SoakResult {
    std::vector<Breach> breaches;
    std::string folder; ///< Folder of the logs; empty if removed.
    std::vector<std::string> logs;
    std::string summary; ///< Counts, on one line.
};

/// \brief Starts a cluster, injects the faults that its seed determines, and checks the guarantees.
/// \throws std::runtime_error if the cluster can't be started.
[[nodiscard]] SoakResult runSoak(const SoakOptions& options);

} // namespace lanemoor::soak
