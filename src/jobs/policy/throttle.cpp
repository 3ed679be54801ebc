#include "lanemoor/jobs/policy/throttle.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

constexpr double cutThreshold = 0.85; // Share of the target above which the speed is cut.
constexpr double restoreThreshold = 0.6; // Share of the target below which it is restored; no change in between.
constexpr std::uint32_t minPercent = 20; // Lower values are rounded down to 0.
constexpr std::uint32_t restoreStep = 20; // Percent restored at once.
/// Workers report a latency over half a second, so the effect of a cut shows only after this.
constexpr Millis reportSpan { 600 };
/// Calm period before a step is restored: well above the reported span, so that the step is not cut again at once.
constexpr Millis calmTime { 2'000 };

} // namespace

std::uint32_t Throttle::update(double worstTail, MonotonicInstant now)
{
    if (worstTail > cutThreshold) {
        m_calmSince = now;
        if (now - m_cutAt < reportSpan && m_percent < 100)
            return m_percent;
        m_cutAt = now;
        m_percent = worstTail > 1.0 ? m_percent / 4 : m_percent / 2;
        if (m_percent < minPercent)
            m_percent = 0;
    } else if (worstTail > restoreThreshold) {
        m_calmSince = now;
    } else if (m_percent < 100 && now - m_calmSince >= calmTime) {
        m_percent = std::min(m_percent + restoreStep, 100U);
        m_calmSince = now;
    }
    return m_percent;
}

} // namespace lanemoor::jobs
