#pragma once
/// \file
/// The control role, held by one entry instance through a lease.

#include "lanemoor/adapters/platform.h"
#include "lanemoor/adapters/store.h"
#include "lanemoor/decisions/controller.h"
#include "lanemoor/decisions/invariants.h"
#include "lanemoor/serve/process/shared_state.h"

#include <memory>
#include <optional>

namespace lanemoor {

/// \brief Acquires the control role when it is free, and writes the ledger while holding it.
///
/// The ledger contains the role's epoch and is written by compare-and-swap on the version that
/// the decision was based on. No action is sent to the platform before the store has the
/// grant. If the answer to a write is lost, its outcome is determined by reading the ledger back.
class ControlRole {
public:
    ControlRole(SharedState& state, std::unique_ptr<Store> store, std::unique_ptr<Platform> platform);

    /// \brief Runs until `SharedState::isQuitting` returns true.
    void run();

private:
    void runRound();
    [[nodiscard]] bool holdsLease() const;
    void acquireOrRenewLease();
    void dropLease(const char* reason);
    [[nodiscard]] bool readLedger();
    [[nodiscard]] bool writeLedger(const ControlPlan& plan);
    void perform(const Ledger& ledger, const Snapshot& snapshot);
    void checkInvariants(const Snapshot& snapshot);

    SharedState& m_state;
    std::unique_ptr<Store> m_store;
    std::unique_ptr<Platform> m_platform;
    Controller m_controller;
    BudgetInvariant m_invariant;
    std::optional<Lease> m_lease;
    Instant m_decidesFrom; ///< No decisions before this time, so that peers' observations can arrive.
    Instant m_nextRenewal;
};

} // namespace lanemoor
