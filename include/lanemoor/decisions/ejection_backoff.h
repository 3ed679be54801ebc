#pragma once
/// \file
/// Exponential backoff before a failed target is tried again.

#include "lanemoor/decisions/time.h"

#include <algorithm>
#include <cstdint>

namespace lanemoor {

/// \brief A pause that doubles with each ejection. Pure: the caller passes the time.
///
/// \code
/// EjectionBackoff<Instant> backoff;
/// backoff.begin(now, std::chrono::seconds(2), 5);
/// const bool isEjected = now < backoff.until();
/// \endcode
template <typename TimePoint>
class EjectionBackoff {
public:
    /// \brief Begins the next pause.
    /// \param first Length of the first pause.
    /// \param maxDoublings Number of doublings after which the pause stays constant.
    void begin(TimePoint now, Millis first, std::uint32_t maxDoublings)
    {
        m_until = now + first * (1U << std::min(m_ejections, maxDoublings));
        ++m_ejections;
    }

    /// \brief Moves the end of the current pause to `until`. The next pause still doubles.
    void postpone(TimePoint until) noexcept { m_until = until; }

    /// \brief Ends the current pause and undoes its doubling.
    void revoke(TimePoint now) noexcept
    {
        m_until = std::min(m_until, now);
        m_ejections -= std::min(m_ejections, 1U);
    }

    /// \brief Resets the length of the next pause to that of the first one.
    void reset() noexcept { m_ejections = 0; }

    /// \returns The end of the current pause.
    [[nodiscard]] TimePoint until() const noexcept { return m_until; }

private:
    TimePoint m_until;
    std::uint32_t m_ejections = 0; ///< Since the last reset.
};

} // namespace lanemoor
