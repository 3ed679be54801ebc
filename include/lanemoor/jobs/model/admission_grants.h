#pragma once
/// \file
/// Budgets within which entry instances may admit jobs of organisations under pressure.

#include "lanemoor/decisions/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// Admission budget of one organisation on one queue that is under pressure.
///
/// Work is processor time in ms of a core: declared times, corrected by observed ones.
struct AdmissionBudget {
    std::string queue;
    std::string organisation;
    std::int64_t workMillis = 0; ///< Work that may be admitted at once; negative: more was accepted than can be served in time.
    std::int64_t milliCpu = 0; ///< Rate at which the budget refills, thousandths of a core; 0: more was accepted than can be served in time.
    std::int64_t jobMillis = 1; ///< Work of a usual job of the queue, at least 1.
    Millis expectedEnd { 0 }; ///< Expected time from submission to end of a usual job submitted now.
    Millis limit { 0 }; ///< Maximum of `expectedEnd` at which jobs are admitted.
    std::uint32_t sharePermille = 0; ///< The organisation's fair share of the pool while the pool is full.
    std::uint32_t usePermille = 0; ///< The share of the pool that its running tasks use.
    double correction = 1.0; ///< Ratio of observed to declared times.

    [[nodiscard]] bool operator==(const AdmissionBudget&) const = default;
};

/// \brief All budgets at one time, for one entry instance or for all together. Organisations and queues without a budget are admitted
/// without limit.
struct AdmissionGrants {
    std::uint64_t term = 0; ///< Term of the owner; grants of earlier terms are void.
    Millis validity { 0 };
    std::uint32_t entries = 1; ///< Number of instances that share the budgets.
    std::vector<AdmissionBudget> budgets; ///< By queue, then organisation.

    [[nodiscard]] bool operator==(const AdmissionGrants&) const = default;
};

/// \returns The grants for each of `entries` instances: an equal part of every budget.
[[nodiscard]] AdmissionGrants grantsPerEntry(const AdmissionGrants& grants, std::uint32_t entries);

/// \returns Whether an entry instance that has `before` must be sent `now`: the term, the queues or the organisations differ, or an
/// amount or rate of work differs by more than a tenth.
[[nodiscard]] bool differsSignificantly(const AdmissionGrants& before, const AdmissionGrants& now);

} // namespace lanemoor::jobs
