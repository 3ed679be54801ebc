#pragma once
/// \file
/// The ledger as the bytes kept in the store.

#include "lanemoor/decisions/ledger.h"

#include <optional>
#include <string>
#include <string_view>

namespace lanemoor {

/// \returns `ledger` as protobuf bytes; the version is not in them.
[[nodiscard]] std::string encodeLedger(const Ledger& ledger);

/// \param version The store's version of `bytes`.
/// \returns The ledger, or nothing if `bytes` are not one.
[[nodiscard]] std::optional<Ledger> decodeLedger(std::string_view bytes, std::uint64_t version);

} // namespace lanemoor
