#pragma once
/// \file
/// Admits jobs by what the owner granted: at every entry instance.

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

/// By what a job was judged.
enum class AdmissionBasis {
    NoPressure, ///< Nothing limits it.
    Budget, ///< The latest grant.
    SafeShare, ///< The latest grant has expired.
};

/// \returns A short name of `basis`, for logs and metrics.
[[nodiscard]] std::string_view nameOf(AdmissionBasis basis) noexcept;

/// What came of judging a job, and why.
struct AdmissionVerdict {
    bool admitted = true;
    AdmissionBasis basis = AdmissionBasis::NoPressure;
    AdmissionBudget budget; ///< As it stands here; meaningful under pressure.
    Millis grantAge { 0 };
    Millis retryAfter { 0 }; ///< When a refused caller should come back.

    [[nodiscard]] bool operator==(const AdmissionVerdict&) const = default;
};

/// \brief Keeps the latest grants of the owner and takes jobs off their budgets.
///
/// A budget of less than one job admits it with the probability that it covers, so that hundreds of instances with a small part each
/// admit no more than all of it, and large jobs have the same chance as small ones.
class AdmissionGate {
public:
    /// \param name Of the instance: seeds its chance.
    explicit AdmissionGate(const std::string& name);

    /// \brief Takes in grants. Those of an earlier term are ignored.
    void apply(AdmissionGrants grants, MonotonicInstant now);

    /// \brief Judges a job and takes it off the budget if it is admitted. Jobs that run until they are cancelled are always admitted.
    /// \param jobsPerSecond Configured rate of the organisation over all instances; 0: none.
    [[nodiscard]] AdmissionVerdict judge(const std::string& queue, const std::string& organisation, const JobSpec& job, double jobsPerSecond, MonotonicInstant now);

    /// \returns When callers of the queue that were refused should come back.
    [[nodiscard]] Millis retryAfter(const std::string& queue, const std::string& organisation) const;

    /// An instance that has heard of no owner for so long after a grant expired knows nothing of the pressure any more.
    static constexpr Millis safeShareLasts { 10'000 };

private:
    struct Budget {
        AdmissionBudget granted;
        double left = 0; ///< Ms of a core.
        MonotonicInstant countedAt;
        double threshold = 0; ///< The next job is admitted if so much is left.
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
