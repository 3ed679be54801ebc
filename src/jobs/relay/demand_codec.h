#pragma once
/// \file
/// Conversion of demand reports to and from the relay protocol.

#include "generated/relay.pb.h"
#include "lanemoor/jobs/model/entry_demand.h"

#include <vector>

namespace lanemoor::jobs {

/// \brief Adds reports to a frame.
void addDemand(wire::RelayFrame& frame, const std::vector<EntryDemand>& demands);

/// \returns The reports in a frame.
[[nodiscard]] std::vector<EntryDemand> demandOf(const wire::RelayFrame& frame);

} // namespace lanemoor::jobs
