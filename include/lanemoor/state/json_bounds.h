#pragma once
/// \file
/// A bound on JSON from outside, checked before it is decoded.

#include <cstddef>
#include <string_view>

namespace lanemoor {

/// \returns Whether `text` has more than `maxValues` values, arrays and objects included; any result if it is not JSON. Linear,
/// without allocation.
[[nodiscard]] bool hasMoreValues(std::string_view text, std::size_t maxValues) noexcept;

} // namespace lanemoor
