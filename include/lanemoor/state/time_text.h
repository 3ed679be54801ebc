#pragma once
/// \file
/// Formatting and parsing of instants and weekly times.

#include "lanemoor/decisions/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace lanemoor {

/// \returns `instant` in RFC 3339, in UTC with milliseconds.
[[nodiscard]] std::string formatInstant(Instant instant);

/// \param text RFC 3339 in UTC, ending in `Z`, with or without fractional seconds.
/// \returns The instant, or nothing if `text` has another format.
[[nodiscard]] std::optional<Instant> parseInstant(std::string_view text);

/// \param text A weekday and time, such as `Mon 22:30`.
/// \returns Minutes since Monday 00:00, or nothing.
[[nodiscard]] std::optional<std::uint32_t> parseMinuteOfWeek(std::string_view text);

/// \returns `minute` in the format of `parseMinuteOfWeek`.
[[nodiscard]] std::string formatMinuteOfWeek(std::uint32_t minute);

} // namespace lanemoor
