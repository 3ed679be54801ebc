#pragma once
/// \file
/// Serialization of the ledger for the store.

#include "lanemoor/decisions/ledger.h"

#include <optional>
#include <string>
#include <string_view>

namespace lanemoor {

/// \returns `ledger` as protobuf bytes, without its version.
[[nodiscard]] std::string encodeLedger(const Ledger& ledger);

/// \param version The store's version of `bytes`.
/// \returns The ledger, or nothing if `bytes` are not a valid one.
[[nodiscard]] std::optional<Ledger> decodeLedger(std::string_view bytes, std::uint64_t version);

} // namespace lanemoor
