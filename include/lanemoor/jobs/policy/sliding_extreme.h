#pragma once
/// \file
/// Max or min of the values within a sliding time window. Pure.

#include "lanemoor/jobs/model/event_loop.h"

#include <deque>

namespace lanemoor::jobs {

/// \brief Extreme of a series over a sliding window, at constant amortised cost.
/// \tparam Compare `std::less_equal` for the maximum, `std::greater_equal` for the minimum.
///
/// \code
/// SlidingExtreme<double, std::less_equal<>> highest;
/// highest.note(3.0, now, Millis(500));
/// highest.note(2.0, now + Millis(100), Millis(500)); // 3.0
/// \endcode
template <typename Value, typename Compare>
class SlidingExtreme {
public:
    /// \brief Adds a value. \returns The extreme of the values within `window` before `now`, this one included.
    Value note(Value value, MonotonicInstant now, Millis window)
    {
        while (!m_samples.empty() && now - m_samples.front().at > window)
            m_samples.pop_front();
        // An earlier sample that the new value dominates can never be the extreme again.
        while (!m_samples.empty() && Compare {}(m_samples.back().value, value))
            m_samples.pop_back();
        m_samples.push_back({ now, value });
        return m_samples.front().value;
    }

private:
    struct Sample {
        MonotonicInstant at;
        Value value;
    };

    std::deque<Sample> m_samples; ///< Each dominates all later ones.
};

} // namespace lanemoor::jobs
