#pragma once
/// \file
/// Instants and lengths of time as the decision code uses them.

#include <chrono>

namespace lanemoor {

/// A length of time in milliseconds.
using Millis = std::chrono::milliseconds;

/// A point in time, in milliseconds since the Unix epoch. Deadlines are stored
/// as instants; lengths of time appear only in settings and in computations.
using Instant = std::chrono::time_point<std::chrono::system_clock, Millis>;

/// \brief Reads the clock of this process. Only adapters and the daemon call it;
/// decisions are given the time.
[[nodiscard]] inline Instant currentInstant() noexcept
{
    return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
}

} // namespace lanemoor
