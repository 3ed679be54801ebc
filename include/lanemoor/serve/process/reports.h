#pragma once
/// \file
/// Reports for operators as JSON text.

#include "lanemoor/decisions/fleet_view.h"
#include "lanemoor/serve/process/shared_state.h"

#include <optional>
#include <string>
#include <string_view>

namespace lanemoor {

/// \returns Each pool: members, target, instances in service, minimum, slack, grants and conditions.
[[nodiscard]] std::string reportPools(const FleetView& view);

/// \returns Each instance: pool, state, grant and time of its last maintenance.
[[nodiscard]] std::string reportInstances(const FleetView& view);

/// \returns The progress of maintenance over all pools.
[[nodiscard]] std::string reportWaves(const FleetView& view);

/// \returns This entry instance and its peers, with the versions in force on each.
[[nodiscard]] std::string reportStatus(const SharedState& state);

/// \returns The reason why `instance` is in its pool and whether it may be taken out of service
/// now; nothing if it is unknown.
[[nodiscard]] std::optional<std::string> reportInstance(const FleetView& view, std::string_view instance);

} // namespace lanemoor
