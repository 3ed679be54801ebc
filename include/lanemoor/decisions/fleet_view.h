#pragma once
/// \file
/// The input of a control decision.

#include "lanemoor/decisions/configuration.h"
#include "lanemoor/decisions/instance.h"
#include "lanemoor/decisions/ledger.h"

namespace lanemoor {

/// \brief The configuration, ledger and observations that one decision is based on.
///
/// A view holds references to its parts and must not outlive them.
struct FleetView {
    const Configuration& configuration;
    const Ledger& ledger;
    const Instances& instances; ///< Ordered by id.
    Instant now;
};

/// \returns Whether the instance of `entry` serves its pool: listed (`instance` is not
/// null), healthy, not drained and under no grant.
[[nodiscard]] inline bool isInService(const LedgerEntry& entry, const Instance* instance) noexcept
{
    return instance && isHealthy(*instance) && !instance->drained && !entry.grant;
}

} // namespace lanemoor
