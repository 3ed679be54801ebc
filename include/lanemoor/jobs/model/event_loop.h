#pragma once
/// \file
/// Clocks and timers of the job service; an interface, so that tests can use a simulated clock.

#include "lanemoor/decisions/time.h"

#include <chrono>
#include <cstdint>
#include <functional>

namespace lanemoor::jobs {

/// A time on the monotonic clock. Deadlines within a process use this type.
using MonotonicInstant = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

/// Identifies a timer that has not fired yet; 0: none.
using TimerId = std::uint64_t;

/// \brief The single-threaded event loop of a process: callbacks run one after the other.
class EventLoop {
public:
    virtual ~EventLoop() = default;

    /// \returns The time on the monotonic clock.
    [[nodiscard]] virtual MonotonicInstant now() const = 0;

    /// \returns The wall-clock time, which may jump and may differ between processes.
    [[nodiscard]] virtual Instant timeOfDay() const = 0;

    /// \brief Calls `callback` at `when` or shortly after it.
    virtual TimerId callAt(MonotonicInstant when, std::function<void()> callback) = 0;

    /// \brief Cancels a timer; ignored for 0 or a timer that has fired.
    virtual void cancel(TimerId timer) = 0;
};

} // namespace lanemoor::jobs
