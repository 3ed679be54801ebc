#pragma once
/// \file
/// Token bucket for calls to a rate-limited interface. Pure: time is passed in.

#include "lanemoor/jobs/model/event_loop.h"

#include <cstddef>

namespace lanemoor::jobs {

/// \brief A bucket that holds at most one second's worth of calls.
///
/// \code
/// CallBudget budget(590.0, now);
/// const std::size_t calls = std::min(wanted, budget.available(now));
/// budget.consume(calls);
/// \endcode
class CallBudget {
public:
    /// \brief A budget without a limit.
    CallBudget() = default;

    /// \brief A full budget, since a takeover lasts about as long as the bucket takes to fill.
    /// \param perSecond The rate; 0: no limit.
    CallBudget(double perSecond, MonotonicInstant now);

    /// \returns Number of whole calls that may be made now.
    [[nodiscard]] std::size_t available(MonotonicInstant now);

    /// \brief Removes tokens for calls that are made now.
    void consume(std::size_t calls);

    /// \brief Empties the bucket after the interface refused a call over its rate: another client has used the rate up.
    void drain() noexcept { m_tokens = 0; }

private:
    double m_perSecond = 0;
    double m_tokens = 0;
    MonotonicInstant m_filledAt;
};

} // namespace lanemoor::jobs
