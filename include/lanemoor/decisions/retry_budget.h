#pragma once
/// \file
/// Limits retries so that they can't amplify an overload.

#include <atomic>
#include <cstdint>

namespace lanemoor {

/// \brief Limits retries to a share of first attempts. Thread-safe.
///
/// Every first attempt earns a tenth of a retry, up to a maximum of 100 saved retries.
/// \code
/// budget.onFirstAttempt();
/// if (failed && budget.take())
///     retry();
/// \endcode
class RetryBudget {
public:
    /// \brief Counts a first attempt.
    void onFirstAttempt() noexcept;

    /// \returns Whether a retry is permitted. A permitted retry is deducted from the budget.
    [[nodiscard]] bool take() noexcept;

private:
    static constexpr std::int64_t retryPrice = 10; ///< First attempts that earn one retry.
    static constexpr std::int64_t mostSaved = 100 * retryPrice;

    std::atomic<std::int64_t> m_saved { 10 * retryPrice };
};

} // namespace lanemoor
