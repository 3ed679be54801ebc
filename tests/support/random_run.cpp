#include "support/random_run.h"

#include "support/control_loop.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <utility>

namespace lanemoor::test {

namespace {

/// Average number of steps between events.
constexpr std::uint64_t stepsPerEvent = 12;
constexpr std::uint32_t maxFailureSteps = 200;
constexpr std::uint32_t maxOutageSteps = 60;
constexpr std::uint32_t maxFreezeSteps = 80;
constexpr std::uint32_t lagSteps = 2;

class RandomRun {
public:
    RandomRun(FleetCase fleetCase, std::uint64_t seed)
        : m_configuration(std::move(fleetCase.configuration))
        , m_fleet(std::move(fleetCase.instances), { .listLagSteps = lagSteps })
        , m_random(seed)
    {
        m_result.name = std::move(fleetCase.name);
        startHolder();
    }

    RandomRunResult run(std::uint32_t steps)
    {
        for (; m_step < steps; ++m_step) {
            endDueFailures();
            if (randomBelow(stepsPerEvent) == 0)
                applyRandomEvent();
            decide();
            m_fleet.advance();
            check();
        }
        for (const auto& holder : m_holders)
            m_result.moves += holder->acceptedMoves();
        m_result.writes = m_store.writes();
        return std::move(m_result);
    }

private:
    /// A failure or outage that ends at a given step.
    struct TemporaryFailure {
        std::uint32_t endsAt = 0;
        std::string failedName; ///< Name passed to `FakeFleet::recover`; empty for an outage of the store.
    };

    [[nodiscard]] std::uint64_t randomBelow(std::uint64_t count) { return m_random() % count; }

    [[nodiscard]] const Instance& randomInstance() { return m_fleet.truth()[randomBelow(m_fleet.truth().size())]; }

    [[nodiscard]] Pool& randomPool() { return m_configuration.pools[randomBelow(m_configuration.pools.size())]; }

    void startHolder()
    {
        m_holders.push_back(std::make_unique<FakeHolder>(++m_epoch, std::make_unique<StickyMembershipPlanner>()));
    }

    void failTemporarily(const std::string& what)
    {
        m_fleet.fail(what);
        m_pending.push_back({ .endsAt = m_step + 1 + static_cast<std::uint32_t>(randomBelow(maxFailureSteps)), .failedName = what });
    }

    void applyRandomEvent()
    {
        ++m_result.events;
        switch (randomBelow(12)) {
        case 0:
            failTemporarily(randomInstance().rack);
            return;
        case 1:
            failTemporarily(randomInstance().id);
            return;
        case 2:
            if (randomBelow(8) == 0)
                failTemporarily(randomInstance().dataHall);
            return;
        case 3:
            m_fleet.setFailing(randomInstance().id, randomBelow(2) == 0);
            return;
        case 4:
            m_store.setUnavailable(true);
            m_pending.push_back({ .endsAt = m_step + 1 + static_cast<std::uint32_t>(randomBelow(maxOutageSteps)), .failedName = {} });
            return;
        case 5:
            m_store.loseNextResponses(static_cast<int>(randomBelow(4)));
            return;
        case 6:
            replaceHolder();
            return;
        case 7:
            m_configuration.maintenance.waveRequestedAt = m_fleet.now();
            return;
        case 8:
            changeDrains();
            return;
        default:
            changeConfiguration();
            return;
        }
    }

    /// Adds a holder, or kills the oldest one, or freezes it with a plan that it writes later.
    void replaceHolder()
    {
        if (randomBelow(3) == 0 && m_holders.size() < 3) {
            startHolder(); // Several holders consider themselves in control.
            return;
        }
        std::unique_ptr<FakeHolder> old = std::move(m_holders.front());
        m_holders.erase(m_holders.begin());
        old->decide(m_store, m_configuration, m_fleet);
        m_result.moves += old->acceptedMoves();
        if (randomBelow(2) == 0)
            m_frozenHolders.emplace_back(m_step + 1 + static_cast<std::uint32_t>(randomBelow(maxFreezeSteps)), std::move(old));
        if (m_holders.empty())
            startHolder();
    }

    void changeDrains()
    {
        std::vector<std::string>& drains = m_configuration.drains;
        if (drains.size() > 2 || randomBelow(2) == 0)
            drains.clear();
        else
            drains.push_back(randomInstance().id);
    }

    void changeConfiguration()
    {
        Pool& pool = randomPool();
        const std::string group = "g00" + std::to_string(randomBelow(3));
        if (randomBelow(3) == 0)
            pool.selector = selectorOf(randomBelow(2) == 0 ? "role=worker" : "role=worker,group!=" + group);
        else if (randomBelow(2) == 0)
            m_fleet.relabel(randomInstance().id, LabelSet({ { "role", "worker" }, { "group", group } }));
        else
            pool.budget.minimum = std::clamp<std::uint32_t>(pool.budget.minimum + static_cast<std::uint32_t>(randomBelow(3)) - 1, 1, 12);
    }

    void endDueFailures()
    {
        std::erase_if(m_pending, [&](const TemporaryFailure& pending) {
            if (m_step < pending.endsAt)
                return false;
            if (pending.failedName.empty())
                m_store.setUnavailable(false);
            else
                m_fleet.recover(pending.failedName);
            return true;
        });
        std::erase_if(m_frozenHolders, [&](auto& frozen) {
            if (m_step < frozen.first)
                return false;
            writeAndPerform(*frozen.second);
            return true;
        });
    }

    void writeAndPerform(FakeHolder& holder)
    {
        if (!holder.write(m_store))
            return;
        for (const Action& action : holder.actions(m_configuration, m_fleet)) {
            const LedgerEntry* entry = m_store.truth().find(action.instance);
            const bool isPermitted = action.kind == ActionKind::Undrain || (entry && entry->grant);
            if (m_fleet.perform(action) && !isPermitted)
                recordBreach(std::string(describe(InvariantCode::GrantMissing)) + ": " + action.instance);
        }
    }

    void decide()
    {
        for (const auto& holder : m_holders)
            holder->decide(m_store, m_configuration, m_fleet);
        std::erase_if(m_holders, [&](const auto& holder) {
            if (holder->lastPlan().superseded)
                m_result.moves += holder->acceptedMoves();
            return holder->lastPlan().superseded;
        });
        if (m_holders.empty())
            startHolder();
        for (const auto& holder : m_holders)
            writeAndPerform(*holder);
        if (m_holders.size() > 1 && randomBelow(20) == 0) {
            m_result.moves += m_holders.front()->acceptedMoves();
            m_holders.erase(m_holders.begin());
        }
    }

    void check()
    {
        const FleetView view { .configuration = m_configuration, .ledger = m_store.truth(), .instances = m_fleet.truth(), .now = m_fleet.now() };
        for (const InvariantBreach& breach : m_invariant.check(view))
            recordBreach(std::string(describe(breach.code)) + ": " + breach.subject);
        const auto& entries = m_store.truth().entries;
        const auto isOutOfOrder = [](const LedgerEntry& a, const LedgerEntry& b) { return a.instance >= b.instance; };
        if (std::adjacent_find(entries.begin(), entries.end(), isOutOfOrder) != entries.end())
            recordBreach("an instance stands in the ledger twice");
    }

    void recordBreach(const std::string& what)
    {
        if (m_result.breaches++ == 0)
            m_result.firstBreach = "step " + std::to_string(m_step) + ": " + what;
    }

    Configuration m_configuration;
    FakeFleet m_fleet;
    FakeLedgerStore m_store;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<FakeHolder>> m_holders;
    std::vector<std::pair<std::uint32_t, std::unique_ptr<FakeHolder>>> m_frozenHolders;
    std::vector<TemporaryFailure> m_pending;
    BudgetInvariant m_invariant;
    RandomRunResult m_result;
    std::uint64_t m_epoch = 0;
    std::uint32_t m_step = 0;
};

} // namespace

RandomRunResult randomRun(FleetCase fleetCase, std::uint32_t steps, std::uint64_t seed)
{
    return RandomRun(std::move(fleetCase), seed).run(steps);
}

} // namespace lanemoor::test
