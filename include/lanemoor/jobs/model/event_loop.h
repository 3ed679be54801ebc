#pragma once
/// \file
/// Time and timers of the job service, behind an interface so that tests run on a simulated clock.

#include "lanemoor/decisions/time.h"

#include <chrono>
#include <cstdint>
#include <functional>

namespace lanemoor::jobs {

/// A point on the clock that never jumps. Deadlines within a process are stored as these.
using MonotonicInstant = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

/// Names a timer that has not fired yet; 0 names none.
using TimerId = std::uint64_t;

/// \brief The one thread of a process: all callbacks run on it, one after the other.
class EventLoop {
public:
    virtual ~EventLoop() = default;

    /// \returns The time on the clock that never jumps.
    [[nodiscard]] virtual MonotonicInstant now() const = 0;

    /// \returns The time of day, which may jump and may differ between processes.
    [[nodiscard]] virtual Instant timeOfDay() const = 0;

    /// \brief Calls `callback` at `when` or shortly after it.
    virtual TimerId callAt(MonotonicInstant when, std::function<void()> callback) = 0;

    /// \brief Forgets a timer; one that has fired, or 0, is ignored.
    virtual void cancel(TimerId timer) = 0;
};

} // namespace lanemoor::jobs
