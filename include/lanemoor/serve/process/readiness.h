#pragma once
/// \file
/// Whether callers may be sent to this entry instance.

#include "lanemoor/decisions/time.h"

#include <cstddef>
#include <cstdint>

namespace lanemoor {

/// What an entry instance knows of its own standing.
struct StandingFacts {
    std::uint64_t configurationRevision = 0;
    bool hasSeat = false;
    bool stopping = false;
    Instant storeReachedAt; ///< By this entry instance itself.
    std::size_t peersKnown = 0;
    std::size_t peersHeard = 0; ///< Within the last seconds.

    [[nodiscard]] bool operator==(const StandingFacts&) const = default;
};

/// Whether, and why not, callers may be sent here.
enum class Readiness {
    Ready,
    NoConfiguration, ///< None was ever received.
    NoSeat,
    CutOff, ///< Neither the store nor most of the others are reached: a newer configuration may be in force there.
    Stopping,
};

/// \returns A short English text for `readiness`.
[[nodiscard]] const char* describe(Readiness readiness) noexcept;

/// \brief Judges by `facts` at `now`.
///
/// With the store away, an entry that hears most of the others goes on under the last
/// accepted configuration: nothing newer can be accepted meanwhile. One that hears
/// neither may have missed a change, so it sends its callers elsewhere.
[[nodiscard]] Readiness judgeReadiness(const StandingFacts& facts, Instant now) noexcept;

} // namespace lanemoor
