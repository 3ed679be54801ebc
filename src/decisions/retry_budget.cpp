#include "lanemoor/decisions/retry_budget.h"

namespace lanemoor {

void RetryBudget::onFirstAttempt() noexcept
{
    std::int64_t saved = m_saved.load(std::memory_order_relaxed);
    while (saved < mostSaved && !m_saved.compare_exchange_weak(saved, saved + 1, std::memory_order_relaxed)) { }
}

bool RetryBudget::take() noexcept
{
    std::int64_t saved = m_saved.load(std::memory_order_relaxed);
    while (saved >= retryPrice) {
        if (m_saved.compare_exchange_weak(saved, saved - retryPrice, std::memory_order_relaxed))
            return true;
    }
    return false;
}

} // namespace lanemoor
