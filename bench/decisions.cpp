// First look at the decisions: fill, one wave.
#include "support/control_loop.h"
#include "support/fleets.h"

#include <chrono>
#include <cstdio>

using namespace lanemoor;
using namespace lanemoor::test;

int main()
{
    for (FleetCase fleetCase : { montevideoFleet(), vestlandFleet(), plannedFleet() }) {
        FakeFleet fleet(fleetCase.instances, {});
        FakeLedgerStore store;
        FakeHolder holder(1, std::make_unique<StickyMembershipPlanner>());
        BudgetInvariant invariant;
        std::size_t breaches = 0;
        const auto t0 = std::chrono::steady_clock::now();
        holder.decide(store, fleetCase.configuration, fleet);
        holder.commit(store, fleetCase.configuration, fleet);
        const auto t1 = std::chrono::steady_clock::now();
        std::printf("%s: fill %zu moves, %zu conditions, %.1f ms\n", fleetCase.name.c_str(), holder.lastPlan().moves.size(), holder.lastPlan().conditions.size(), std::chrono::duration<double, std::milli>(t1 - t0).count());
        fleet.advance();
        const std::uint64_t fillMoves = holder.acceptedMoves();
        fleetCase.configuration.maintenance.waveRequestedAt = fleet.now();
        int steps = 0;
        int peak = 0;
        const auto t2 = std::chrono::steady_clock::now();
        for (; steps < 20000; ++steps) {
            holder.decide(store, fleetCase.configuration, fleet);
            holder.commit(store, fleetCase.configuration, fleet);
            fleet.advance();
            const FleetView view { fleetCase.configuration, store.truth(), fleet.truth(), fleet.now() };
            breaches += invariant.check(view).size();
            const WaveProgress progress = waveProgress(view);
            peak = std::max(peak, static_cast<int>(progress.underWay));
            if (progress.due == 0)
                break;
        }
        const auto t3 = std::chrono::steady_clock::now();
        std::printf("  wave: %d steps, peak %d, moves %lu, writes %lu, breaches %zu, %.2f ms a step\n", steps, peak, holder.acceptedMoves() - fillMoves, store.writes(), breaches, std::chrono::duration<double, std::milli>(t3 - t2).count() / steps);
    }
}
