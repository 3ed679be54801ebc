#pragma once
/// \file
/// One entry instance as a process.

#include "lanemoor/state/settings.h"

namespace lanemoor {

/// \brief Runs an entry instance until SIGTERM or SIGINT.
///
/// A planned stop tells the balancer first, then waits until every request in flight
/// has ended, listeners too, and then leaves.
/// \returns The exit code of the process.
[[nodiscard]] int runDaemon(const Settings& settings);

} // namespace lanemoor
