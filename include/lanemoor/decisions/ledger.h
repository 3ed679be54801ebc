#pragma once
/// \file
/// The fleet ledger: pool membership and active grants of all instances.

#include "lanemoor/decisions/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// Why an instance is taken out of service.
enum class GrantReason {
    Maintenance,
    OperatorDrain,
    Quarantine,
};

/// Progress of the work under a grant.
enum class GrantPhase {
    Draining,
    Rebooting,
    Held, ///< Out of service until an operator withdraws the drain.
};

/// \brief Permission to keep one instance out of service.
///
/// A grant is stored in the ledger before the instance is acted on. It has no timeout:
/// it ends when the instance is observed back in service or gone.
struct Grant {
    std::uint64_t id = 0;
    std::uint64_t epoch = 0; ///< Epoch of the holder that issued the grant.
    GrantReason reason = GrantReason::Maintenance;
    GrantPhase phase = GrantPhase::Draining;
    std::uint64_t bootIdBefore = 0; ///< Boot id observed when the grant was issued.
    Instant deadline; ///< An instance that is not back by then counts as lost.

    [[nodiscard]] bool operator==(const Grant&) const = default;
};

/// The entry of one instance in the ledger.
struct LedgerEntry {
    std::string instance;
    std::string pool; ///< Empty if the instance is spare.
    Instant maintainedAt; ///< End of its last maintenance.
    std::optional<Grant> grant;

    [[nodiscard]] bool operator==(const LedgerEntry&) const = default;
};

/// \brief One version of the ledger. Immutable once published.
///
/// Each instance has one entry with one pool, so that it can't be in two pools, and a
/// move is a single compare-and-swap of the document.
struct Ledger {
    std::uint64_t version = 0; ///< The store's version; not part of the document.
    std::uint64_t epoch = 0; ///< Epoch of the holder that wrote this version.
    std::uint64_t nextGrant = 1;
    std::vector<LedgerEntry> entries; ///< Ordered by instance.

    [[nodiscard]] const LedgerEntry* find(std::string_view instance) const noexcept;
    [[nodiscard]] LedgerEntry* find(std::string_view instance) noexcept;
    [[nodiscard]] bool operator==(const Ledger&) const = default;
};

} // namespace lanemoor
