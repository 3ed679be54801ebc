#pragma once
/// \file
/// Estimator of response times. Pure: time is passed in.

#include "lanemoor/decisions/time.h"
#include "lanemoor/jobs/model/event_loop.h"

#include <algorithm>
#include <cstdlib>
#include <optional>

namespace lanemoor::jobs {

/// \brief Smoothed response time and its deviation, as retransmission timers use them (RFC 6298).
///
/// \code
/// ResponseTime responses;
/// responses.note(elapsed);
/// const MonotonicInstant overdueAt = now + responses.overdueAfter();
/// \endcode
class ResponseTime {
public:
    /// Lower bound of `overdueAfter`, as the event loop may lag.
    static constexpr Millis minOverdue { 100 };
    static constexpr Millis maxOverdue { 800 }; ///< Upper bound of `overdueAfter`, and its value before the first answer.

    /// \brief Adds the response time of an answered call.
    void note(Millis elapsed) noexcept
    {
        const auto sample = static_cast<double>(elapsed.count());
        if (!m_mean) {
            m_mean = sample;
            m_deviation = sample / 2;
            return;
        }
        m_deviation += (std::abs(*m_mean - sample) - m_deviation) / 4;
        m_mean = *m_mean + (sample - *m_mean) / 8;
    }

    /// \returns The time after which an unanswered call is overdue.
    [[nodiscard]] Millis overdueAfter() const noexcept
    {
        if (!m_mean)
            return maxOverdue;
        return std::clamp(Millis(static_cast<Millis::rep>(*m_mean + 4 * m_deviation)), minOverdue, maxOverdue);
    }

private:
    std::optional<double> m_mean; ///< ms
    double m_deviation = 0; ///< ms
};

} // namespace lanemoor::jobs
