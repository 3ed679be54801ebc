#pragma once
/// \file
/// How the tasks of a job are run.

#include "lanemoor/decisions/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace lanemoor::jobs {

/// Policy of a queue whose tasks need a ticket of the placement advisor.
struct AdvicePolicy {
    Millis decisionTime { 0 }; ///< Fixed duration of one call.
    Millis timePerWorker { 0 }; ///< Additional duration for each worker in the call.
    Millis validity { 0 }; ///< Validity of a ticket.

    [[nodiscard]] bool operator==(const AdvicePolicy&) const = default;
};

/// Policy of a job, taken from its queue. Stored with the job, since operators may remove the queue before the job has finished.
struct JobPolicy {
    std::uint64_t version = 0; ///< Of the configuration that the policy is from. The newest known policy applies.
    std::uint32_t priority = 0; ///< Lower values are served first.
    std::uint32_t maxAttempts = 1; ///< Number of failures of one task at which its job fails.
    double stretch = 1.0; ///< The objective is `stretch` times the job's critical path plus `latencyTarget`.
    Millis latencyTarget { 0 };
    std::optional<AdvicePolicy> advice;

    /// \returns Time from the submission of a job in which it should end.
    [[nodiscard]] Millis objective(Millis criticalPath) const noexcept { return Millis(static_cast<Millis::rep>(std::min(stretch * static_cast<double>(criticalPath.count()), static_cast<double>(maxObjective.count())))) + latencyTarget; }

    /// \returns Whether the irreversible decisions on a job are the same under both policies.
    [[nodiscard]] bool hasSameLimits(const JobPolicy& other) const noexcept { return maxAttempts == other.maxAttempts && advice == other.advice; }

    /// \returns Whether all numbers are in their ranges; a stored policy may be corrupt.
    [[nodiscard]] bool isValid() const noexcept { return maxAttempts > 0 && stretch >= 0 && stretch <= maxStretch && latencyTarget >= Millis(0) && latencyTarget <= maxObjective; }

    static constexpr double maxStretch = 1e6;
    static constexpr Millis maxObjective { std::chrono::hours(24 * 365 * 100) }; ///< Deadlines stay within the range of the clocks.

    [[nodiscard]] bool operator==(const JobPolicy&) const = default;
};

} // namespace lanemoor::jobs
