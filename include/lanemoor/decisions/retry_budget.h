#pragma once
/// \file
/// Bounds retries so that they can't multiply an overload.

#include <atomic>
#include <cstdint>

namespace lanemoor {

/// \brief Permits retries as a share of first attempts. Safe for several threads.
///
/// Every first attempt earns a tenth of a retry, up to a bound.
/// \code
/// budget.onFirstAttempt();
/// if (failed && budget.take())
///     retry();
/// \endcode
class RetryBudget {
public:
    /// \brief Counts a first attempt.
    void onFirstAttempt() noexcept;

    /// \returns Whether one retry is permitted; it is then counted.
    [[nodiscard]] bool take() noexcept;

private:
    static constexpr std::int64_t retryPrice = 10; ///< First attempts that earn one retry.
    static constexpr std::int64_t mostSaved = 100 * retryPrice;

    std::atomic<std::int64_t> m_saved { 10 * retryPrice };
};

} // namespace lanemoor
