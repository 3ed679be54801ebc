#pragma once
/// \file
/// The control loop over fakes: a ledger store with compare-and-swap, and holders of the
/// control role that may race each other, freeze or lose responses.

#include "lanemoor/decisions/controller.h"
#include "lanemoor/decisions/invariants.h"
#include "support/fake_fleet.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace lanemoor::test {

/// \brief Fake of the platform's store that holds only the ledger.
class FakeLedgerStore {
public:
    /// \returns The stored ledger, or nothing while the store is unavailable.
    [[nodiscard]] std::optional<Ledger> read() const;

    /// \returns Whether the write was acknowledged; false also if it took effect and its
    /// response is lost.
    bool write(const Ledger& next);

    void setUnavailable(bool unavailable) noexcept { m_unavailable = unavailable; }
    void loseNextResponses(int count) noexcept { m_responsesToLose = count; }

    /// \returns The stored ledger, even while the store is unavailable.
    [[nodiscard]] const Ledger& truth() const noexcept { return m_ledger; }

    /// \returns Writes that took effect.
    [[nodiscard]] std::uint64_t writes() const noexcept { return m_writes; }

private:
    Ledger m_ledger;
    std::uint64_t m_writes = 0;
    int m_responsesToLose = 0;
    bool m_unavailable = false;
};

/// \brief One holder of the control role. Runs the same steps as the daemon.
class FakeHolder {
public:
    FakeHolder(std::uint64_t epoch, std::unique_ptr<const MembershipPlanner> planner);

    /// \brief Reads the ledger and plans a step, for `write` or `commit` to store. A holder that
    /// freezes in between continues with an outdated plan.
    void decide(const FakeLedgerStore& store, const Configuration& configuration, const FakeFleet& fleet);

    /// \brief Writes the planned ledger.
    /// \returns Whether the store is known to hold it.
    bool write(FakeLedgerStore& store);

    /// \returns The actions that the ledger of the last plan requires.
    [[nodiscard]] std::vector<Action> actions(const Configuration& configuration, const FakeFleet& fleet) const;

    /// \brief Writes the planned ledger and, if the store accepts it, performs its actions.
    void commit(FakeLedgerStore& store, const Configuration& configuration, FakeFleet& fleet);

    [[nodiscard]] std::uint64_t epoch() const noexcept { return m_epoch; }

    /// \returns The last plan.
    [[nodiscard]] const ControlPlan& lastPlan() const noexcept { return m_plan; }

    /// \returns The number of moves accepted by the store.
    [[nodiscard]] std::uint64_t acceptedMoves() const noexcept { return m_acceptedMoves; }

private:
    std::uint64_t m_epoch;
    Controller m_controller;
    ControlPlan m_plan;
    std::uint64_t m_acceptedMoves = 0;
    bool m_hasPlan = false;
};

} // namespace lanemoor::test
