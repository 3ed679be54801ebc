#pragma once
/// \file
/// Readiness of an entry instance for callers.

#include "lanemoor/decisions/time.h"

#include <cstddef>
#include <cstdint>

namespace lanemoor {

/// Inputs of the readiness check of an entry instance.
struct ReadinessInputs {
    std::uint64_t configurationRevision = 0;
    bool hasShard = false;
    bool stopping = false;
    Instant storeReachedAt; ///< Last successful contact by this entry instance.
    std::size_t peersKnown = 0;
    std::size_t peersReporting = 0; ///< Peers that reported within the last seconds.

    [[nodiscard]] bool operator==(const ReadinessInputs&) const = default;
};

/// Ready, or the reason why callers must not be sent here.
enum class Readiness {
    Ready,
    NoConfiguration, ///< None has been received yet.
    NoShard,
    Partitioned, ///< Neither the store nor a majority of the entry instances is reachable; a newer configuration may be in force.
    Stopping,
};

/// \returns A short English text for `readiness`.
[[nodiscard]] const char* describe(Readiness readiness) noexcept;

/// \brief Evaluates `inputs` at `now`.
///
/// While the store is unavailable, an entry instance that reaches a majority of the entry
/// instances continues with the last accepted configuration, since no newer one can be accepted.
/// An instance that reaches neither may have missed a change and becomes unready.
[[nodiscard]] Readiness evaluateReadiness(const ReadinessInputs& inputs, Instant now) noexcept;

} // namespace lanemoor
