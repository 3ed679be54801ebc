#pragma once
/// \file
/// Instants as text.

#include "lanemoor/decisions/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace lanemoor {

/// \returns `instant` in RFC 3339, in UTC with milliseconds.
[[nodiscard]] std::string formatInstant(Instant instant);

/// \param text RFC 3339 in UTC, ending in `Z`, with or without a fraction of a second.
/// \returns Nothing if `text` is something else.
[[nodiscard]] std::optional<Instant> parseInstant(std::string_view text);

/// \param text A day and a time of the week, such as `Mon 22:30`.
/// \returns Minutes since Monday 00:00, or nothing.
[[nodiscard]] std::optional<std::uint32_t> parseMinuteOfWeek(std::string_view text);

/// \returns `minute` as `parseMinuteOfWeek` reads it.
[[nodiscard]] std::string formatMinuteOfWeek(std::uint32_t minute);

} // namespace lanemoor
