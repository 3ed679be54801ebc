#pragma once
/// \file
/// How long something that failed is left out before it is tried again.

#include "lanemoor/decisions/time.h"

#include <algorithm>
#include <cstdint>

namespace lanemoor {

/// \brief A pause that doubles with each ejection. Pure: time is passed in.
///
/// \code
/// EjectionBackoff<Instant> backoff;
/// backoff.begin(now, std::chrono::seconds(2), 5);
/// const bool isLeftOut = now < backoff.until();
/// \endcode
template <typename TimePoint>
class EjectionBackoff {
public:
    /// \brief Begins the next pause.
    /// \param first The length of the first one.
    /// \param mostDoublings After so many the pause grows no more.
    void begin(TimePoint now, Millis first, std::uint32_t mostDoublings)
    {
        m_until = now + first * (1U << std::min(m_ejections, mostDoublings));
        ++m_ejections;
    }

    /// \brief The pause lasts until `until`; the next one doubles as it would have.
    void postpone(TimePoint until) noexcept { m_until = until; }

    /// \brief The next pause is as short as the first one.
    void reset() noexcept { m_ejections = 0; }

    /// \returns When the pause is over.
    [[nodiscard]] TimePoint until() const noexcept { return m_until; }

private:
    TimePoint m_until;
    std::uint32_t m_ejections = 0; ///< Since the last reset.
};

} // namespace lanemoor
