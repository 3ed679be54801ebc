#pragma once
/// \file
/// Estimates when a newly submitted job ends, and computes admission budgets. Pure.

#include "lanemoor/jobs/model/admission_grants.h"
#include "lanemoor/jobs/policy/admission_options.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// A typical job of a queue, from recent submissions.
struct TypicalJob {
    std::int64_t workMillis = 0; ///< Core milliseconds, corrected by observed run times.
    Millis criticalPath { 0 }; ///< Duration of its longest chain of steps, corrected too.
    Millis allowed { 0 }; ///< From submission to objective.

    [[nodiscard]] bool operator==(const TypicalJob&) const = default;
};

/// Unfinished work of one organisation on one queue.
struct AcceptedWork {
    std::string queue;
    std::string organisation;
    double weight = 0;
    std::uint32_t priority = 0; ///< Of the queue.
    std::int64_t workMillis = 0; ///< Core milliseconds of all unfinished jobs, including those that end late.
    std::int64_t runningMilliCpu = 0; ///< Running in the pool.
    TypicalJob typical;
    double correction = 1.0; ///< Observed run times as a multiple of declared ones.
    bool wasUnderPressure = false; ///< It was under pressure recently: its callers retry.

    [[nodiscard]] bool operator==(const AcceptedWork&) const = default;
};

/// \brief Compares accepted work with the capacity that serves it.
///
/// An organisation gets at least its weighted max-min share of the pool, so that its accepted work proceeds at that rate. A new
/// job ends after that work and its own longest chain of steps. It is admitted if that is within its objective, or within
/// `lateFactor` times the objective if the organisation needs less than its share for its accepted work.
class ExpectedService {
public:
    /// \param milliCpu Capacity of the pool, including instances that the capacity plan could add.
    ExpectedService(const AdmissionOptions& options, std::int64_t milliCpu);

    /// \param accepted All accepted work of one pool.
    /// \returns Budgets summed over all entries, only for organisations under pressure.
    [[nodiscard]] std::vector<AdmissionBudget> budgets(const std::vector<AcceptedWork>& accepted) const;

    /// Share of the pool's processor time in demand below which there is no pressure.
    static constexpr double pressureThreshold = 0.5;
    /// Share of the allowed time: an organisation gets no budget entry if its share of the pool serves its accepted work in less
    /// than this. A burst needs a budget before the first grant that counts it: at twenty times the usual rate, jobs are late
    /// within a quarter of a second.
    static constexpr double budgetThreshold = 0.25;
    /// Share of the allowed time to aim at: a job that is expected to end at the last moment is late half of the time.
    static constexpr double aimShare = 0.8;
    /// Share of a pool's processor time that tasks of several cores can be packed into; the same as in the capacity plan.
    static constexpr double packing = 0.85;

private:
    AdmissionOptions m_options;
    double m_cores;
};

} // namespace lanemoor::jobs
