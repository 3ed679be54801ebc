#pragma once
/// \file
/// How outages of the store are carried through.

#include "lanemoor/decisions/time.h"

namespace lanemoor::jobs {

/// \brief Settings of the part that carries a process through outages of the store.
struct StoreOutageOptions {
    bool enabled = true; ///< False: no call is repeated, and nothing reacts to the state of the store.
    double hedgeShare = 0.1; ///< Repeated calls as a share of calls: a slow store gets no more load than this.
    double hedgeBurst = 20; ///< Calls that may be repeated at once.
    Millis returnSpread { 200 }; ///< Over which instances that own nothing spread their calls when the store is back.

    [[nodiscard]] bool operator==(const StoreOutageOptions&) const = default;
};

} // namespace lanemoor::jobs
