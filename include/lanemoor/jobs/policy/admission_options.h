#pragma once
/// \file
/// Settings of how organisations share the fleet.

#include "lanemoor/decisions/time.h"

#include <cstdint>

namespace lanemoor::jobs {

/// Settings of admission and of organisations' shares. They have an effect only if the configuration names organisations.
struct AdmissionOptions {
    /// Whether organisations get shares of full pools and jobs that cannot be served in time are refused. If load alternates
    /// between pools, this refuses jobs that the next instance moves would serve.
    bool enabled = false;
    /// A job that cannot end within this multiple of its objective is refused: later completion has no value to its caller.
    double lateFactor = 3.0;
    Millis grantEvery { 250 }; ///< Interval between two computations of the admission budgets.
    Millis grantValidity { 2'000 }; ///< An entry that receives no newer grant falls back to the safe share after this.
    /// Max time for which an organisation below its share that started nothing for half a second blocks others. The block also
    /// ends when it starts something.
    Millis deficitMemory { 2'000 };
    /// Waiting jobs of one organisation and queue that may fail to fit in one pass before the pass moves on to the next group.
    std::uint32_t missesOfGroup = 8;

    [[nodiscard]] bool operator==(const AdmissionOptions&) const = default;
};

} // namespace lanemoor::jobs
