#pragma once
/// \file
/// When a job that is submitted now could end, and what may be admitted. Pure.

#include "lanemoor/jobs/model/admission_grants.h"
#include "lanemoor/jobs/policy/admission_options.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// What a usual job of a queue is like, by what was submitted of late.
struct UsualJob {
    std::int64_t workMillis = 0; ///< Ms of a core, corrected by what was observed.
    Millis chain { 0 }; ///< Of its longest chain of steps, corrected too.
    Millis allowed { 0 }; ///< From its submission to its objective.

    [[nodiscard]] bool operator==(const UsualJob&) const = default;
};

/// What an organisation has accepted on one queue that is not over.
struct AcceptedWork {
    std::string queue;
    std::string organisation;
    double weight = 0;
    std::uint32_t priority = 0; ///< Of the queue.
    std::int64_t workMillis = 0; ///< Ms of a core, of all jobs that are not over, those that end late included.
    std::int64_t runningMilliCpu = 0; ///< What it has running in the pool.
    UsualJob usual;
    double correction = 1.0; ///< Observed times as a multiple of declared ones.
    bool wasPressed = false; ///< It was under pressure a short time ago: its callers come back.

    [[nodiscard]] bool operator==(const AcceptedWork&) const = default;
};

/// \brief Compares what was accepted with what can be served.
///
/// An organisation gets at least its weighted max-min share of the pool, so that its accepted work is done at that rate. A new job ends
/// after that work and its own chain. It is admitted while that is within its objective, or within `lateFactor` times the objective if
/// the organisation needs less than its share for what it has accepted.
class ExpectedService {
public:
    /// \param milliCpu Of the pool: what it has and what the plan could bring it.
    ExpectedService(const AdmissionOptions& options, std::int64_t milliCpu);

    /// \param accepted All of one pool.
    /// \returns Budgets over all entry instances, of those under pressure only.
    [[nodiscard]] std::vector<AdmissionBudget> budgets(const std::vector<AcceptedWork>& accepted) const;

    /// Of a pool's processor time that is asked for: below it there is no pressure.
    static constexpr double pressureFrom = 0.5;
    /// Of the time that is allowed: an organisation with less work than its share does in it is not named. A burst must meet a budget
    /// before the first grant that counts it: twenty times the usual is late within a quarter of a second.
    static constexpr double namedFrom = 0.25;
    /// Of the time that is allowed: a job that is expected to end at the last moment is late as often as not.
    static constexpr double aimAt = 0.8;
    /// Of a pool's processor time that tasks of some cores can be packed into; the same as in the capacity plan.
    static constexpr double packing = 0.85;

private:
    AdmissionOptions m_options;
    double m_cores;
};

} // namespace lanemoor::jobs
