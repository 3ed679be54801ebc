#pragma once
/// \file
/// Counts what remains in data halls that do not serve, and why.

#include "lanemoor/jobs/owner/evacuation_report.h"
#include "owner_state.h"

namespace lanemoor::jobs {

/// \brief Looks at the workers' books for operators; made for one look.
class HallInventory {
public:
    HallInventory(const OwnerState& state, const FailureDomainStatus& status);

    /// \returns All data halls that do not serve.
    [[nodiscard]] std::vector<HallReport> halls() const;

    /// \returns Data halls that do not serve, with how many of some attempts are there; those without any too if `all`.
    [[nodiscard]] std::vector<ClosedHallReport> closedFor(const std::vector<AttemptReport>& attempts, bool all) const;

private:
    [[nodiscard]] HallReport reportOf(const FailureDomain& hall) const;
    void count(const WorkerBook& worker, HallPoolReport& pool) const;
    [[nodiscard]] const FailureDomain* closedHallOf(const std::string& worker) const;

    const OwnerState& m_state;
    const FailureDomainStatus& m_status;
};

} // namespace lanemoor::jobs
