#include "lanemoor/decisions/retry_budget.h"

namespace lanemoor {

void RetryBudget::onFirstAttempt() noexcept
{
    std::int64_t credit = m_credit.load(std::memory_order_relaxed);
    while (credit < maxCredit && !m_credit.compare_exchange_weak(credit, credit + 1, std::memory_order_relaxed)) { }
}

bool RetryBudget::tryAcquire() noexcept
{
    std::int64_t credit = m_credit.load(std::memory_order_relaxed);
    while (credit >= retryCost) {
        if (m_credit.compare_exchange_weak(credit, credit - retryCost, std::memory_order_relaxed))
            return true;
    }
    return false;
}

} // namespace lanemoor
