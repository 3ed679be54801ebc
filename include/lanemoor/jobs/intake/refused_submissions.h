#pragma once
/// \file
/// Remembers submissions that were refused because of the store, until they come back. Pure: time is passed in.

#include "lanemoor/jobs/policy/retry_advice.h"

#include <cstdint>
#include <map>
#include <string>

namespace lanemoor::jobs {

/// \brief Counts refused submissions that may return, and tells the situation for their Retry-After.
///
/// Refusals begin with the first one while none is waited for. A submission is waited for until it is settled, or for `memory`
/// after its last refusal: its caller has given up, or went to another entry instance.
class RefusedSubmissions {
public:
    static constexpr Millis memory { 8'000 }; ///< More than two of the longest Retry-After and a call's time.
    static constexpr std::size_t maxWaiting = 20'000; ///< Beyond this, the oldest is not waited for.

    /// \param usefulUntil When the caller has no use for the job any more, if this is its first submission.
    void noteRefused(const std::string& id, MonotonicInstant usefulUntil, MonotonicInstant now);

    /// \returns The situation for the submission's Retry-After; empty if it was not refused.
    [[nodiscard]] RefusalSituation situationOf(const std::string& id, MonotonicInstant now) const;

    /// \brief Notes that a submission was stored, or is known to be another's.
    void noteSettled(const std::string& id);

    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }

private:
    struct Refused {
        MonotonicInstant usefulUntil;
        MonotonicInstant forgetAt;
    };

    void forgetOld(MonotonicInstant now);

    std::map<std::string, Refused> m_waiting; ///< By id.
    std::multimap<MonotonicInstant, std::string> m_order; ///< When to look at an id; it may have been refused again since.
    MonotonicInstant m_since; ///< When refusals began.
    std::uint64_t m_refused = 0; ///< Submissions since then.
};

} // namespace lanemoor::jobs
