#pragma once
/// \file
/// The control role over fakes: a ledger store with compare-and-swap, and holders
/// that may race each other, freeze, or lose answers.

#include "lanemoor/decisions/controller.h"
#include "lanemoor/decisions/invariants.h"
#include "support/fake_fleet.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace lanemoor::test {

/// \brief A fake of the platform's store, holding the ledger alone.
class FakeLedgerStore {
public:
    /// \returns The newest ledger, or nothing while the store is away.
    [[nodiscard]] std::optional<Ledger> read() const;

    /// \returns Whether the write was answered as done. A lost answer is false though the
    /// write took effect.
    bool write(const Ledger& next);

    void setAway(bool away) noexcept { m_away = away; }
    void loseNextAnswers(int count) noexcept { m_answersToLose = count; }

    /// \returns The newest ledger, whether or not the store is away.
    [[nodiscard]] const Ledger& truth() const noexcept { return m_ledger; }

    /// \returns Writes that took effect.
    [[nodiscard]] std::uint64_t writes() const noexcept { return m_writes; }

private:
    Ledger m_ledger;
    std::uint64_t m_writes = 0;
    int m_answersToLose = 0;
    bool m_away = false;
};

/// \brief One holder of the control role, as the daemon runs it.
class FakeHolder {
public:
    FakeHolder(std::uint64_t epoch, std::unique_ptr<const MembershipPlanner> planner);

    /// \brief Reads and decides; the result waits for `commit`. A holder frozen
    /// between the two wakes up with an old decision.
    void decide(const FakeLedgerStore& store, const Configuration& configuration, const FakeFleet& fleet);

    /// \brief Writes what was decided.
    /// \returns Whether the store is known to hold it.
    bool write(FakeLedgerStore& store);

    /// \returns What the ledger last written asks for.
    [[nodiscard]] std::vector<Action> actions(const Configuration& configuration, const FakeFleet& fleet) const;

    /// \brief Writes what was decided and acts on it if the store holds it.
    void commit(FakeLedgerStore& store, const Configuration& configuration, FakeFleet& fleet);

    [[nodiscard]] std::uint64_t epoch() const noexcept { return m_epoch; }

    /// \returns The last plan made.
    [[nodiscard]] const ControlPlan& lastPlan() const noexcept { return m_plan; }

    /// \returns All moves that were accepted by the store.
    [[nodiscard]] std::uint64_t acceptedMoves() const noexcept { return m_acceptedMoves; }

private:
    std::uint64_t m_epoch;
    Controller m_controller;
    ControlPlan m_plan;
    std::uint64_t m_acceptedMoves = 0;
    bool m_decided = false;
};

} // namespace lanemoor::test
