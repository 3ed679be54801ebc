#pragma once
/// \file
/// Time types of the decision code.

#include <chrono>

namespace lanemoor {

/// A duration in milliseconds.
using Millis = std::chrono::milliseconds;

/// A point in time, in milliseconds since the Unix epoch. Deadlines are stored as
/// instants; durations occur only in settings and in computations.
using Instant = std::chrono::time_point<std::chrono::system_clock, Millis>;

/// \brief Reads the system clock. Only adapters and the daemon call this function;
/// decisions get the time as a parameter.
[[nodiscard]] inline Instant currentInstant() noexcept
{
    return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
}

} // namespace lanemoor
