#pragma once
/// \file
/// What operators are told, as JSON text.

#include "lanemoor/decisions/fleet_view.h"
#include "lanemoor/serve/process/shared_state.h"

#include <optional>
#include <string>
#include <string_view>

namespace lanemoor {

/// \returns Each pool: members, in service, budget, slack, buffer and conditions.
[[nodiscard]] std::string reportPools(const FleetView& view);

/// \returns Each instance: pool, state, grant and last maintenance.
[[nodiscard]] std::string reportInstances(const FleetView& view);

/// \returns How far maintenance has come, by pool and in all, with a forecast.
[[nodiscard]] std::string reportWaves(const FleetView& view);

/// \returns This entry instance, its peers and what is in force on each.
[[nodiscard]] std::string reportStatus(const SharedState& state);

/// \returns Why `instance` is in its pool and whether it may be taken now; nothing if
/// it is not known.
[[nodiscard]] std::optional<std::string> reportInstance(const FleetView& view, std::string_view instance);

} // namespace lanemoor
