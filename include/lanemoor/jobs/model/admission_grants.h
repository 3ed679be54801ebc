#pragma once
/// \file
/// What the owner lets entry instances admit of organisations under pressure.

#include "lanemoor/decisions/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// What may be admitted of one organisation on one queue that is under pressure.
///
/// Work is processor time: ms of a core, by declared times corrected by what was observed.
struct AdmissionBudget {
    std::string queue;
    std::string organisation;
    std::int64_t workMillis = 0; ///< That may be admitted at once; negative: more was accepted than can be served in time.
    std::int64_t milliCpu = 0; ///< At which the budget grows from then on; 0: more was accepted than can be served in time.
    std::int64_t jobMillis = 1; ///< Work of a usual job of the queue, at least 1.
    Millis expectedEnd { 0 }; ///< From now until a usual job that is submitted now could end.
    Millis limit { 0 }; ///< The same for the last one that is admitted.
    std::uint32_t sharePermille = 0; ///< Of the pool, that the organisation is owed while it is full.
    std::uint32_t usePermille = 0; ///< Of the pool, that it has running.
    double correction = 1.0; ///< Observed times as a multiple of declared ones.

    [[nodiscard]] bool operator==(const AdmissionBudget&) const = default;
};

/// \brief All budgets of a moment, for one entry instance or for all together. Organisations and queues that are not named are
/// admitted without a limit.
struct AdmissionGrants {
    std::uint64_t term = 0; ///< Of the owner: those of an earlier one count no more.
    Millis validity { 0 };
    std::uint32_t entries = 1; ///< Instances that share the budgets.
    std::vector<AdmissionBudget> budgets; ///< By queue, then organisation.

    [[nodiscard]] bool operator==(const AdmissionGrants&) const = default;
};

/// \returns The part of one of `entries` instances: the same for each.
[[nodiscard]] AdmissionGrants partOf(const AdmissionGrants& grants, std::uint32_t entries);

/// \returns Whether an entry instance that has `before` should hear of `now`: another set of names, or a value that differs by more
/// than a tenth.
[[nodiscard]] bool differsNotably(const AdmissionGrants& before, const AdmissionGrants& now);

} // namespace lanemoor::jobs
