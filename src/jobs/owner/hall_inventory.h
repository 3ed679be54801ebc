#pragma once
/// \file
/// Counts the attempts that remain in data halls that are evacuated or lost.

#include "lanemoor/jobs/owner/evacuation_report.h"
#include "owner_state.h"

namespace lanemoor::jobs {

/// \brief Evaluates the worker records for the reports to operators. Valid for one report only.
class HallInventory {
public:
    HallInventory(const OwnerState& state, const FailureDomainStatus& status);

    /// \returns Reports on all data halls that are evacuated or lost.
    [[nodiscard]] std::vector<HallReport> halls() const;

    /// \returns Data halls that are evacuated or lost, with the number of the given attempts there; those without any only if `all`.
    [[nodiscard]] std::vector<ClosedHallReport> closedFor(const std::vector<AttemptReport>& attempts, bool all) const;

private:
    [[nodiscard]] HallReport reportOf(const FailureDomain& hall) const;
    void count(const WorkerRecord& worker, HallPoolReport& pool) const;
    [[nodiscard]] const FailureDomain* closedHallOf(const std::string& worker) const;

    const OwnerState& m_state;
    const FailureDomainStatus& m_status;
};

} // namespace lanemoor::jobs
