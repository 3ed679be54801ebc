#pragma once
/// \file
/// Tracks submissions that were refused because of the store until they are retried. Pure: time is passed in.

#include "lanemoor/jobs/policy/retry_advice.h"

#include <cstdint>
#include <map>
#include <string>

namespace lanemoor::jobs {

/// \brief Counts refused submissions that may be retried; their number and age determine the Retry-After values.
///
/// An episode of refusals begins with the first refusal while no submission is tracked. A submission is tracked until it is settled,
/// or for `retention` after its last refusal; then its caller has stopped retrying or uses another entry instance.
class RefusedSubmissions {
public:
    static constexpr Millis retention { 8'000 }; ///< More than twice the maximum Retry-After plus the duration of a call.
    static constexpr std::size_t maxTracked = 20'000; ///< Beyond this, the oldest is dropped.

    /// \param usefulUntil When the job becomes useless to its caller; used only at the submission's first refusal.
    void noteRefused(const std::string& id, MonotonicInstant usefulUntil, MonotonicInstant now);

    /// \returns The inputs for the submission's Retry-After; empty if it is not tracked.
    [[nodiscard]] RefusalSituation situationOf(const std::string& id, MonotonicInstant now) const;

    /// \brief Notes that a submission was stored, or that its id belongs to another organisation.
    void noteSettled(const std::string& id);

    [[nodiscard]] std::size_t waiting() const noexcept { return m_tracked.size(); }

private:
    struct Refused {
        MonotonicInstant usefulUntil;
        MonotonicInstant expiresAt;
    };

    void evictExpired(MonotonicInstant now);

    std::map<std::string, Refused> m_tracked; ///< By id.
    std::multimap<MonotonicInstant, std::string> m_expiries; ///< When to check each id for expiry; a later refusal postpones it.
    MonotonicInstant m_episodeStart; ///< Start of the current episode.
    std::uint64_t m_refusedCount = 0; ///< Distinct submissions refused in the current episode.
};

} // namespace lanemoor::jobs
