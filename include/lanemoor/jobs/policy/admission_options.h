#pragma once
/// \file
/// What can be switched and weighed in how organisations share the fleet.

#include "lanemoor/decisions/time.h"

#include <cstdint>

namespace lanemoor::jobs {

/// Weights of admission and of shares. They have an effect only where the configuration names organisations.
struct AdmissionOptions {
    /// Whether organisations get shares of full pools, and jobs that can't be served in time are refused. Off: where load comes by turns,
    /// jobs are refused that the next moves of instances would serve.
    bool enabled = false;
    /// A job that could not end within so many times its objective is refused. Later completion is worth nothing to its caller.
    double lateFactor = 3.0;
    Millis grantEvery { 250 }; ///< Between two computations of what may be admitted.
    Millis grantValidity { 2'000 }; ///< An entry instance that hears nothing newer falls back to the safe share after this.
    /// An organisation below its share that started nothing for half a second holds others back until it starts something, for this
    /// long at most.
    Millis deficitMemory { 2'000 };
    /// Waiting jobs of one organisation and queue that a pass looks at in vain before it turns to the next ones.
    std::uint32_t missesOfGroup = 8;

    [[nodiscard]] bool operator==(const AdmissionOptions&) const = default;
};

} // namespace lanemoor::jobs
