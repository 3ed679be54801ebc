#pragma once
/// \file
/// Slows best-effort tasks down where they disturb serving ones. Pure.

#include "lanemoor/jobs/model/event_loop.h"

#include <cstdint>

namespace lanemoor::jobs {

/// \brief The share of their speed that the best-effort tasks of one worker may use.
///
/// It is cut as soon as the tail latency of a serving task beside them comes near its target,
/// and given back step by step after a calm while.
class Throttle {
public:
    /// \brief Takes in the worst tail latency at the worker, as a share of its target.
    /// \returns The share to use from now on, in percent.
    std::uint32_t update(double worstTail, MonotonicInstant now);

    [[nodiscard]] std::uint32_t percent() const noexcept { return m_percent; }

private:
    std::uint32_t m_percent = 100;
    MonotonicInstant m_calmSince;
    MonotonicInstant m_cutAt;
};

} // namespace lanemoor::jobs
