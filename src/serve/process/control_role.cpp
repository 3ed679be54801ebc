#include "lanemoor/serve/process/control_role.h"

#include "lanemoor/state/ledger_codec.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lanemoor {

namespace {

constexpr Millis roundInterval { 500 };
/// A new holder collects observations from the list and the peers for this long before it decides.
constexpr Millis observationTime { 1'500 };
/// A list older than this allows no new decisions.
constexpr Millis maxListAge { 10'000 };
constexpr int renewalsPerLease = 3;

} // namespace

ControlRole::ControlRole(SharedState& state, std::unique_ptr<Store> store, std::unique_ptr<Platform> platform)
    : m_state(state)
    , m_store(std::move(store))
    , m_platform(std::move(platform))
    , m_controller(std::make_unique<StickyMembershipPlanner>())
{
}

void ControlRole::run()
{
    do {
        acquireOrRenewLease();
        if (holdsLease() && currentInstant() >= m_decidesFrom)
            runRound();
    } while (m_state.pause(roundInterval));
    if (m_lease)
        m_store->release(std::string(controlLease), m_state.holder());
}

bool ControlRole::holdsLease() const
{
    return m_lease && currentInstant() < m_lease->expiresAt;
}

void ControlRole::acquireOrRenewLease()
{
    const Instant now = currentInstant();
    if (m_lease && now < m_nextRenewal)
        return;
    if (m_state.isStopping()) {
        if (m_lease) {
            m_store->release(std::string(controlLease), m_state.holder());
            dropLease("stopping");
        }
        return;
    }
    const Millis time = m_state.settings().leaseTime;
    m_state.metrics().count(EventCounter::StoreCalls);
    const std::optional<Lease> lease = m_store->acquire(std::string(controlLease), m_state.holder(), time);
    m_nextRenewal = now + time / renewalsPerLease;
    if (!lease) {
        const bool hasOtherHolder = m_store->lastFault() == StoreFault::Conflict;
        if (m_lease && (hasOtherHolder || !holdsLease()))
            dropLease(hasOtherHolder ? "another holder" : "lapsed");
        return;
    }
    m_state.onStoreReached();
    const bool isNewEpoch = !m_lease || m_lease->epoch != lease->epoch;
    m_lease = lease;
    if (!isNewEpoch)
        return;
    m_decidesFrom = now + observationTime;
    m_state.metrics().set(StateGauge::HoldsControl, 1);
    m_state.log().change("control-taken", { { "epoch", static_cast<std::int64_t>(lease->epoch) } });
}

void ControlRole::dropLease(const char* reason)
{
    m_lease.reset();
    m_state.metrics().set(StateGauge::HoldsControl, 0);
    m_state.log().change("control-lost", { { "reason", std::string(reason) } });
}

bool ControlRole::readLedger()
{
    m_state.metrics().count(EventCounter::StoreCalls);
    const std::optional<StoredValue> stored = m_store->get(std::string(ledgerKey));
    if (!stored)
        return m_store->lastFault() == StoreFault::NotFound;
    m_state.acceptLedger(stored->version, stored->body);
    return true;
}

void ControlRole::runRound()
{
    const std::shared_ptr<const Snapshot> snapshot = m_state.snapshot();
    const Instant now = currentInstant();
    if (snapshot->configuration->revision == 0 || now >= m_state.listReadAt() + maxListAge)
        return;
    if (snapshot->ledger->version == 0 && !readLedger())
        return;
    checkInvariants(*snapshot);
    const ControlPlan plan = m_controller.step(snapshot->view(now), m_lease->epoch);
    if (plan.superseded) {
        dropLease("superseded");
        return;
    }
    const bool accepted = !plan.changed || (holdsLease() && writeLedger(plan));
    if (accepted)
        perform(plan.next, *snapshot);
}

bool ControlRole::writeLedger(const ControlPlan& plan)
{
    const std::string body = encodeLedger(plan.next);
    m_state.metrics().count(EventCounter::StoreCalls);
    std::optional<std::uint64_t> version = m_store->put(std::string(ledgerKey), body, plan.next.version);
    if (!version && m_store->lastFault() == StoreFault::NoAnswer) {
        // The write may have taken effect, so read it back.
        const std::optional<StoredValue> stored = m_store->get(std::string(ledgerKey));
        if (stored && stored->body == body)
            version = stored->version;
    }
    if (!version) {
        m_state.metrics().count(m_store->lastFault() == StoreFault::Conflict ? EventCounter::LedgerConflicts : EventCounter::StoreFaults);
        static_cast<void>(readLedger());
        return false;
    }
    m_state.metrics().count(EventCounter::LedgerWrites);
    m_state.metrics().count(EventCounter::Moves, plan.moves.size());
    m_state.metrics().count(EventCounter::Grants, plan.next.nextGrant - m_state.snapshot()->ledger->nextGrant);
    m_state.acceptLedger(*version, body);
    return true;
}

void ControlRole::perform(const Ledger& ledger, const Snapshot& snapshot)
{
    const FleetView view { .configuration = *snapshot.configuration, .ledger = ledger, .instances = *snapshot.instances, .now = currentInstant() };
    for (const Action& action : Controller::actionsFor(view, m_lease->epoch)) {
        if (!holdsLease())
            return;
        m_state.metrics().count(EventCounter::Actions);
        static_cast<void>(m_platform->perform(action));
    }
}

void ControlRole::checkInvariants(const Snapshot& snapshot)
{
    const FleetView view = snapshot.view(currentInstant());
    const std::vector<PoolStatus> all = poolStatuses(view);
    for (const InvariantBreach& breach : m_invariant.check(view.configuration, all)) {
        m_state.metrics().onBreach(breach.code);
        m_state.log().change("invariant-broken", { { "invariant", std::string(describe(breach.code)) }, { "subject", breach.subject } });
    }
    const auto below = std::count_if(all.begin(), all.end(), [](const PoolStatus& poolStatus) { return poolStatus.inService < poolStatus.minimum; });
    m_state.metrics().set(StateGauge::PoolsBelowBudget, static_cast<double>(below));
    m_state.metrics().set(StateGauge::WaveDue, waveProgress(view).due);
}

} // namespace lanemoor
