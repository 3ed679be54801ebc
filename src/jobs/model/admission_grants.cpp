#include "lanemoor/jobs/model/admission_grants.h"

#include <algorithm>
#include <cstdlib>

namespace lanemoor::jobs {

namespace {

/// \returns Whether two amounts differ by more than a tenth of the larger absolute value.
bool differs(std::int64_t a, std::int64_t b)
{
    constexpr std::int64_t inverseThreshold = 10;
    return std::abs(a - b) * inverseThreshold > std::max(std::abs(a), std::abs(b));
}

bool differs(const AdmissionBudget& a, const AdmissionBudget& b)
{
    return a.queue != b.queue || a.organisation != b.organisation || differs(a.workMillis, b.workMillis) || differs(a.milliCpu, b.milliCpu);
}

} // namespace

AdmissionGrants grantsPerEntry(const AdmissionGrants& grants, std::uint32_t entries)
{
    AdmissionGrants part = grants;
    part.entries = std::max(entries, 1U);
    for (AdmissionBudget& budget : part.budgets) {
        budget.workMillis /= static_cast<std::int64_t>(part.entries);
        budget.milliCpu /= static_cast<std::int64_t>(part.entries);
    }
    return part;
}

bool differsSignificantly(const AdmissionGrants& before, const AdmissionGrants& now)
{
    if (before.term != now.term || before.budgets.size() != now.budgets.size())
        return true;
    for (std::size_t i = 0; i < now.budgets.size(); ++i) {
        if (differs(before.budgets[i], now.budgets[i]))
            return true;
    }
    return false;
}

} // namespace lanemoor::jobs
