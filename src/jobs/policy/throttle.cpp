#include "lanemoor/jobs/policy/throttle.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

constexpr double nearTarget = 0.85; // Cut above this share of the target.
constexpr double farFromTarget = 0.6; // Give back below it; between the two nothing changes.
constexpr std::uint32_t leastPercent = 20; // Less than this is none.
constexpr std::uint32_t stepBack = 20; // Given back at once, in percent.
/// The figure that workers report covers half a second, so a cut shows only after that.
constexpr Millis reportSpan { 600 };
/// Before a step is given back: well above a report's span, so that it is not taken again at once.
constexpr Millis calmSpan { 2'000 };

} // namespace

std::uint32_t Throttle::update(double worstTail, MonotonicInstant now)
{
    if (worstTail > nearTarget) {
        m_calmSince = now;
        if (now - m_cutAt < reportSpan && m_percent < 100)
            return m_percent;
        m_cutAt = now;
        m_percent = worstTail > 1.0 ? m_percent / 4 : m_percent / 2;
        if (m_percent < leastPercent)
            m_percent = 0;
    } else if (worstTail > farFromTarget) {
        m_calmSince = now;
    } else if (m_percent < 100 && now - m_calmSince >= calmSpan) {
        m_percent = std::min(m_percent + stepBack, 100U);
        m_calmSince = now;
    }
    return m_percent;
}

} // namespace lanemoor::jobs
