#include "support/control_loop.h"

namespace lanemoor::test {

std::optional<Ledger> FakeLedgerStore::read() const
{
    if (m_unavailable)
        return std::nullopt;
    return m_ledger;
}

bool FakeLedgerStore::write(const Ledger& next)
{
    if (m_unavailable || next.version != m_ledger.version || next.epoch < m_ledger.epoch)
        return false;
    m_ledger = next;
    ++m_ledger.version;
    ++m_writes;
    if (m_responsesToLose == 0)
        return true;
    --m_responsesToLose;
    return false;
}

FakeHolder::FakeHolder(std::uint64_t epoch, std::unique_ptr<const MembershipPlanner> planner)
    : m_epoch(epoch)
    , m_controller(std::move(planner))
{
}

void FakeHolder::decide(const FakeLedgerStore& store, const Configuration& configuration, const FakeFleet& fleet)
{
    const std::optional<Ledger> ledger = store.read();
    m_hasPlan = ledger.has_value();
    if (!m_hasPlan)
        return;
    m_plan = m_controller.step({ .configuration = configuration, .ledger = *ledger, .instances = fleet.listed(), .now = fleet.now() }, m_epoch);
    m_hasPlan = !m_plan.superseded;
}

bool FakeHolder::write(FakeLedgerStore& store)
{
    if (!m_hasPlan)
        return false;
    m_hasPlan = false;
    if (!m_plan.changed)
        return true;
    if (!store.write(m_plan.next))
        return false;
    m_acceptedMoves += m_plan.moves.size();
    return true;
}

std::vector<Action> FakeHolder::actions(const Configuration& configuration, const FakeFleet& fleet) const
{
    return Controller::actionsFor({ .configuration = configuration, .ledger = m_plan.next, .instances = fleet.listed(), .now = fleet.now() }, m_epoch);
}

void FakeHolder::commit(FakeLedgerStore& store, const Configuration& configuration, FakeFleet& fleet)
{
    if (!write(store))
        return;
    for (const Action& action : actions(configuration, fleet))
        fleet.perform(action);
}

} // namespace lanemoor::test
