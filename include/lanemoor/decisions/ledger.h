#pragma once
/// \file
/// The fleet ledger: which pool has which instance, and which grants stand.

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

/// How far the work under a grant has come.
enum class GrantPhase {
    Draining,
    Rebooting,
    Held, ///< Stays out of service until an operator lifts it.
};

/// \brief Permission to keep one instance out of service.
///
/// A grant stands in the ledger before anything is done to the instance. Time
/// does not end it: it ends when the instance is seen back in service or gone.
struct Grant {
    std::uint64_t id = 0;
    std::uint64_t epoch = 0; ///< Of the control role that gave it.
    GrantReason reason = GrantReason::Maintenance;
    GrantPhase phase = GrantPhase::Draining;
    std::uint64_t bootIdBefore = 0; ///< Boot id seen when the grant was given.
    Instant deadline; ///< The instance counts as lost if not back by then.

    [[nodiscard]] bool operator==(const Grant&) const = default;
};

/// One instance's line in the ledger.
struct LedgerEntry {
    std::string instance;
    std::string pool; ///< Its one pool; empty: spare.
    Instant maintainedAt; ///< End of its last maintenance.
    std::optional<Grant> grant;

    [[nodiscard]] bool operator==(const LedgerEntry&) const = default;
};

/// \brief One version of the ledger. Immutable once published.
///
/// An instance has one line and a line one pool, so an instance is in exactly
/// one pool by construction, and a move is one compare-and-swap of the document.
struct Ledger {
    std::uint64_t version = 0; ///< The store's version; not part of the document.
    std::uint64_t epoch = 0; ///< Of the control role that wrote it.
    std::uint64_t nextGrant = 1;
    std::vector<LedgerEntry> entries; ///< Ordered by instance.

    [[nodiscard]] const LedgerEntry* find(std::string_view instance) const noexcept;
    [[nodiscard]] LedgerEntry* find(std::string_view instance) noexcept;
    [[nodiscard]] bool operator==(const Ledger&) const = default;
};

} // namespace lanemoor
