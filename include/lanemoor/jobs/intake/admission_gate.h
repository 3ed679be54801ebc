#pragma once
/// \file
/// Admission control at an entry instance, within the budgets that the owner grants.

#include "lanemoor/jobs/model/admission_grants.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/job_spec.h"
#include "lanemoor/jobs/policy/organisation_use.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>

namespace lanemoor::jobs {

/// The rule behind an admission decision.
enum class AdmissionBasis {
    /// No limit applies: the queue and organisation have no budget, the job has no objective, or the latest grant expired more than
    /// `safeShareDuration` ago.
    NoPressure,
    Budget, ///< The budget of the latest grant.
    SafeShare, ///< The latest grant has expired: the instance's part of the organisation's configured rate applies, at least one job a second.
};

/// \returns A short name of `basis`, for logs and metrics.
[[nodiscard]] std::string_view nameOf(AdmissionBasis basis) noexcept;

/// An admission decision and the reason for it.
struct AdmissionDecision {
    bool admitted = true;
    AdmissionBasis basis = AdmissionBasis::NoPressure;
    AdmissionBudget budget; ///< The current budget of this instance; meaningful under pressure.
    Millis grantAge { 0 };
    Millis retryAfter { 0 }; ///< Delay after which a refused caller should retry.

    [[nodiscard]] bool operator==(const AdmissionDecision&) const = default;
};

/// \brief Holds the owner's latest grants and charges admitted jobs to their budgets.
///
/// A budget of less than one usual job admits the next job with the probability budget / job. Hundreds of instances with a small part
/// each thus admit no more than the whole budget, and large jobs have the same chance as small ones.
class AdmissionGate {
public:
    /// \param name Name of the instance; seeds its random numbers.
    explicit AdmissionGate(const std::string& name);

    /// \brief Replaces the grants. Grants of an earlier term are ignored.
    void apply(AdmissionGrants grants, MonotonicInstant now);

    /// \brief Decides on a job and charges it to the budget if it is admitted. Jobs without an objective (hasObjective) are always
    /// admitted.
    /// \param jobsPerSecond Configured rate of the organisation over all instances; 0: none.
    [[nodiscard]] AdmissionDecision decide(const std::string& queue, const std::string& organisation, const JobSpec& job, double jobsPerSecond, MonotonicInstant now);

    /// \returns The delay after which refused callers of the queue should retry.
    [[nodiscard]] Millis retryAfter(const std::string& queue, const std::string& organisation) const;

    /// After an expired grant the safe share applies for this long. Then the pressure is unknown, and jobs are admitted without limit.
    static constexpr Millis safeShareDuration { 10'000 };

private:
    struct Budget {
        AdmissionBudget granted;
        double remaining = 0; ///< Remaining budget, ms of a core.
        MonotonicInstant refilledAt;
        double threshold = 0; ///< The next job is admitted if at least this much is left, ms of a core.
        RateMeter safeShare;
    };

    using Name = std::pair<std::string, std::string>; // Queue and organisation.

    void refill(Budget& budget, MonotonicInstant now) const;
    [[nodiscard]] double nextThreshold(const Budget& budget);

    std::minstd_rand m_random;
    std::uint64_t m_term = 0;
    std::uint32_t m_entries = 1;
    MonotonicInstant m_grantedAt;
    MonotonicInstant m_expiresAt;
    std::map<Name, Budget> m_budgets;
};

} // namespace lanemoor::jobs
