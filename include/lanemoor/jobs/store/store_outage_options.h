#pragma once
/// \file
/// Options for outages of the store.

#include "lanemoor/decisions/time.h"

namespace lanemoor::jobs {

/// \brief How a process reacts to outages of the store.
struct StoreOutageOptions {
    bool enabled = true; ///< False: no call is repeated, and the state of the store is ignored.
    double hedgeShare = 0.1; ///< Repeated calls as a share of calls, which limits the extra load on a slow store.
    double hedgeBurst = 20; ///< Calls that may be repeated at once.
    Millis returnSpread { 200 }; ///< Time over which instances other than the owner spread their calls after an outage.

    [[nodiscard]] bool operator==(const StoreOutageOptions&) const = default;
};

} // namespace lanemoor::jobs
