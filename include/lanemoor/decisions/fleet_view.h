#pragma once
/// \file
/// What a decision is made on.

#include "lanemoor/decisions/configuration.h"
#include "lanemoor/decisions/instance.h"
#include "lanemoor/decisions/ledger.h"

namespace lanemoor {

/// \brief The configuration, ledger and observations that one decision sees.
///
/// It refers to its parts and must not outlive them.
struct FleetView {
    const Configuration& configuration;
    const Ledger& ledger;
    const Instances& instances; ///< Ordered by id.
    Instant now;
};

/// \returns Whether the instance of `entry` serves its pool: healthy as `instance`
/// tells (null: not listed), not drained and under no grant.
[[nodiscard]] inline bool isInService(const LedgerEntry& entry, const Instance* instance) noexcept
{
    return instance && isHealthy(*instance) && !instance->drained && !entry.grant;
}

} // namespace lanemoor
