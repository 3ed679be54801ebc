#pragma once
/// \file
/// The process of an entry instance.

#include "lanemoor/state/settings.h"

namespace lanemoor {

/// \brief Runs an entry instance until SIGTERM or SIGINT.
///
/// On a planned stop the instance first reports itself unready to the load balancer, then waits
/// until all requests in flight, including listeners, have ended.
/// \returns The exit code of the process.
[[nodiscard]] int runDaemon(const Settings& settings);

} // namespace lanemoor
