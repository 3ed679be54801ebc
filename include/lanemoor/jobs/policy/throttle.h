#pragma once
/// \file
/// Throttles best-effort tasks that disturb serving tasks. Pure.

#include "lanemoor/jobs/model/event_loop.h"

#include <cstdint>

namespace lanemoor::jobs {

/// \brief Share of their speed that the best-effort tasks of one worker may use.
///
/// The share is cut as soon as the tail latency of a serving task at the same worker comes near its target, and restored in steps
/// after a calm period.
class Throttle {
public:
    /// \brief Updates the share. \param worstTail Highest tail latency at the worker, as a share of its target.
    /// \returns The new share, in percent.
    std::uint32_t update(double worstTail, MonotonicInstant now);

    [[nodiscard]] std::uint32_t percent() const noexcept { return m_percent; }

private:
    std::uint32_t m_percent = 100;
    MonotonicInstant m_calmSince;
    MonotonicInstant m_cutAt;
};

} // namespace lanemoor::jobs
