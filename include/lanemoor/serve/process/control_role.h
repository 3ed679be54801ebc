#pragma once
/// \file
/// The control role: one entry instance holds it by a lease and writes the ledger.

#include "lanemoor/adapters/platform.h"
#include "lanemoor/adapters/store.h"
#include "lanemoor/decisions/controller.h"
#include "lanemoor/decisions/invariants.h"
#include "lanemoor/serve/process/shared_state.h"

#include <memory>
#include <optional>

namespace lanemoor {

/// \brief Takes the control role when it is free and does its work while it is held.
///
/// The ledger is written by compare-and-swap on the version that was decided on, with
/// the role's epoch inside, and nothing is asked of the platform before the store holds
/// the grant. A write whose answer is lost is settled by reading the ledger back.
class ControlRole {
public:
    ControlRole(SharedState& state, std::unique_ptr<Store> store, std::unique_ptr<Platform> platform);

    /// \brief Runs until `SharedState::isQuitting`.
    void run();

private:
    void round();
    [[nodiscard]] bool holdsLease() const;
    void keepLease();
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
    Instant m_actsFrom; ///< Not before the peers' observations have come.
    Instant m_nextRenewal;
};

} // namespace lanemoor
