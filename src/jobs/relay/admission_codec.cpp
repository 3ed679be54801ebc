#include "admission_codec.h"

#include <algorithm>
#include <cmath>

namespace lanemoor::jobs {

namespace {

constexpr double permille = 1'000;

} // namespace

void fill(wire::AdmissionGrants& message, const AdmissionGrants& grants)
{
    message.set_term(grants.term);
    message.set_valid_ms(static_cast<std::uint32_t>(grants.validity.count()));
    message.set_entries(grants.entries);
    for (const AdmissionBudget& budget : grants.budgets) {
        wire::AdmissionBudget& added = *message.add_budgets();
        added.set_queue(budget.queue);
        added.set_organisation(budget.organisation);
        added.set_work_ms(budget.workMillis);
        added.set_milli_cpu(static_cast<std::uint64_t>(std::max<std::int64_t>(budget.milliCpu, 0)));
        added.set_job_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(budget.jobMillis, 1)));
        added.set_expected_end_ms(static_cast<std::uint64_t>(std::max<Millis::rep>(budget.expectedEnd.count(), 0)));
        added.set_limit_ms(static_cast<std::uint64_t>(std::max<Millis::rep>(budget.limit.count(), 0)));
        added.set_share_permille(budget.sharePermille);
        added.set_use_permille(budget.usePermille);
        added.set_correction_permille(static_cast<std::uint32_t>(std::lround(budget.correction * permille)));
    }
}

AdmissionGrants grantsOf(const wire::AdmissionGrants& message)
{
    AdmissionGrants grants { .term = message.term(), .validity = Millis(message.valid_ms()), .entries = std::max(message.entries(), 1U), .budgets = {} };
    for (const wire::AdmissionBudget& budget : message.budgets()) {
        grants.budgets.push_back({ .queue = budget.queue(),
            .organisation = budget.organisation(),
            .workMillis = budget.work_ms(),
            .milliCpu = static_cast<std::int64_t>(budget.milli_cpu()),
            .jobMillis = std::max<std::int64_t>(static_cast<std::int64_t>(budget.job_ms()), 1),
            .expectedEnd = Millis(budget.expected_end_ms()),
            .limit = Millis(budget.limit_ms()),
            .sharePermille = budget.share_permille(),
            .usePermille = budget.use_permille(),
            .correction = budget.correction_permille() / permille });
    }
    return grants;
}

} // namespace lanemoor::jobs
