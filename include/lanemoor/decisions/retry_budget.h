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
/// if (failed && budget.tryAcquire())
///     retry();
/// \endcode
class RetryBudget {
public:
    /// \brief Counts a first attempt.
    void onFirstAttempt() noexcept;

    /// \returns Whether a retry is permitted. A permitted retry is deducted from the budget.
    [[nodiscard]] bool tryAcquire() noexcept;

private:
    static constexpr std::int64_t retryCost = 10; ///< First attempts that earn one retry.
    static constexpr std::int64_t maxCredit = 100 * retryCost;

    std::atomic<std::int64_t> m_credit { 10 * retryCost }; ///< In first attempts; starts with 10 saved retries.
};

} // namespace lanemoor
