/// \file
/// Benchmark of the decisions for three fleets: buffer, roll-out time, moves and breaches against
/// lower bounds and baselines. Figures with bounds don't depend on the machine.
/// Usage: bench_decisions [RANDOM-STEPS [SEED]]. Exits non-zero if a bound is missed.

#include "baselines.h"
#include "lower_bounds.h"
#include "report.h"
#include "support/control_loop.h"
#include "support/fleets.h"
#include "support/random_run.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>

using namespace lanemoor;
using namespace lanemoor::test;
using namespace lanemoor::bench;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int changesPerFleet = 300;
constexpr std::uint32_t maxWaveSteps = 20'000;

/// Command-line options.
struct RunOptions {
    std::uint32_t randomSteps = 100'000;
    std::uint64_t seed = 20261202;
};

double secondsOf(Millis time)
{
    return std::chrono::duration<double>(time).count();
}

/// A simulated fleet with filled pools.
struct FilledFleet {
    explicit FilledFleet(FleetCase fleetCase, FakeFleetOptions options = {})
        : configuration(std::move(fleetCase.configuration))
        , fleet(std::move(fleetCase.instances), options)
    {
        step();
    }

    void step()
    {
        holder.decide(store, configuration, fleet);
        holder.commit(store, configuration, fleet);
        fleet.advance();
    }

    [[nodiscard]] FleetView view() const { return { .configuration = configuration, .ledger = store.truth(), .instances = fleet.truth(), .now = fleet.now() }; }

    Configuration configuration;
    FakeFleet fleet;
    FakeLedgerStore store;
    FakeHolder holder { 1, std::make_unique<StickyMembershipPlanner>() };
};

/// \returns The number of instances that pools hold for their budgets beyond the minimum.
std::uint32_t bufferHeld(const FleetView& view)
{
    const FleetIndex index(view.configuration, view.instances);
    std::uint32_t buffer = 0;
    for (std::size_t pool = 0; pool < view.configuration.pools.size(); ++pool)
        buffer += index.size(pool).target - view.configuration.pools[pool].budget.minimum;
    return buffer;
}

void measureWave(const FleetCase& fleetCase, Report& report)
{
    // Steps of 2 s, coarser than those of the daemon, which decides twice a second.
    FakeFleetOptions options { .step = std::chrono::seconds(2) };
    const Millis timePerInstance = options.drainTime + options.rebootTime;
    FilledFleet filled(fleetCase, options);
    const std::uint64_t fillMoves = filled.holder.acceptedMoves();
    filled.configuration.maintenance.waveRequestedAt = filled.fleet.now();
    const Instant start = filled.fleet.now();
    BudgetInvariant invariant;
    std::size_t breaches = 0;
    std::uint32_t steps = 0;
    for (; steps < maxWaveSteps && waveProgress(filled.view()).due > 0; ++steps) {
        filled.step();
        breaches += invariant.check(filled.view()).size();
    }
    const FixedSpare spare = fixedSpareBaseline(fleetCase.configuration, fleetCase.instances, timePerInstance);
    const double rollOut = secondsOf(filled.fleet.now() - start);
    const double minRollOut = secondsOf(rollOutBound(fleetCase.configuration, fleetCase.instances, timePerInstance));
    const double buffer = bufferHeld(filled.view());
    report.unbounded(fleetCase.name + ": instances", static_cast<double>(fleetCase.instances.size()));
    report.bounded(fleetCase.name + ": budget breaches in a wave", static_cast<double>(breaches), 0);
    report.unbounded(fleetCase.name + ": buffer held, instances", buffer);
    report.bounded(fleetCase.name + ": buffer / lower bound", buffer / bufferBound(fleetCase.configuration, fleetCase.instances), 1.05);
    report.bounded(fleetCase.name + ": buffer / fixed spare baseline", buffer / spare.buffer, 0.5);
    report.unbounded(fleetCase.name + ": roll-out, s", rollOut);
    report.bounded(fleetCase.name + ": roll-out / lower bound", rollOut / minRollOut, 1.1);
    report.unbounded(fleetCase.name + ": roll-out / fixed spare baseline", rollOut / secondsOf(spare.rollOut));
    report.unbounded(fleetCase.name + ": moves in the wave", static_cast<double>(filled.holder.acceptedMoves() - fillMoves));
    report.unbounded(fleetCase.name + ": moves in the wave / pools", static_cast<double>(filled.holder.acceptedMoves() - fillMoves) / static_cast<double>(fleetCase.configuration.pools.size()));
    report.unbounded(fleetCase.name + ": ledger writes in the wave", static_cast<double>(filled.store.writes()));
}

/// Makes one random change of an operator: labels, a selector, a size or a budget.
void changeAtRandom(FilledFleet& filled, std::mt19937_64& random)
{
    const auto pick = [&](std::size_t count) { return static_cast<std::size_t>(random() % count); };
    Pool& pool = filled.configuration.pools[pick(filled.configuration.pools.size())];
    switch (pick(4)) {
    case 0:
        for (std::size_t i = 0; i < 1 + pick(3); ++i) {
            const Instance& instance = filled.fleet.truth()[pick(filled.fleet.truth().size())];
            filled.fleet.relabel(instance.id, LabelSet({ { "role", "worker" }, { "group", "g00" + std::to_string(pick(3)) } }));
        }
        return;
    case 1:
        pool.selector = selectorOf(pick(2) == 0 ? "role=worker" : "role=worker,group!=g00" + std::to_string(pick(3)));
        return;
    case 2:
        pool.budget.minimum = std::max<std::uint32_t>(1, pool.budget.minimum + (pick(2) == 0 ? 1 : -1));
        return;
    default:
        pool.wanted = pool.budget.minimum + 1 + static_cast<std::uint32_t>(pick(3));
        return;
    }
}

void measureMoves(const FleetCase& fleetCase, std::uint64_t seed, Report& report)
{
    std::mt19937_64 random(seed);
    FilledFleet filled(fleetCase);
    const FullReassignmentPlanner reassignment;
    int atBound = 0;
    int counted = 0;
    double worst = 1;
    std::uint64_t moves = 0;
    std::uint64_t bounds = 0;
    std::uint64_t reassigned = 0;
    for (int change = 0; change < changesPerFleet; ++change) {
        const Configuration before = filled.configuration;
        changeAtRandom(filled, random);
        filled.fleet.advance();
        const MovesBound bound = movesBound(filled.view());
        if (bound.unfilled > 0) {
            // The pools request more instances than exist; no lower bound within the budgets is known.
            filled.configuration = before;
            filled.step();
            continue;
        }
        const FleetIndex index(filled.configuration, filled.fleet.truth());
        reassigned += reassignment.plan(filled.view(), index, {}).moves.size();
        const std::uint64_t movesBefore = filled.holder.acceptedMoves();
        // Moves that wait for a budget are made in later steps.
        for (int step = 0; step < 5; ++step)
            filled.step();
        const std::uint64_t made = filled.holder.acceptedMoves() - movesBefore;
        moves += made;
        bounds += bound.moves;
        ++counted;
        atBound += made <= bound.moves ? 1 : 0;
        worst = std::max(worst, bound.moves == 0 ? 1 + static_cast<double>(made) : static_cast<double>(made) / bound.moves);
    }
    report.unbounded(fleetCase.name + ": changes", counted);
    report.unbounded(fleetCase.name + ": moves", static_cast<double>(moves));
    report.unbounded(fleetCase.name + ": moves / lower bound, all changes together", static_cast<double>(moves) / static_cast<double>(std::max<std::uint64_t>(1, bounds)));
    report.bounded(fleetCase.name + ": changes above their lower bound, share", 1 - static_cast<double>(atBound) / counted, 0.05);
    report.bounded(fleetCase.name + ": worst change / its lower bound", worst, 1.1);
    report.unbounded(fleetCase.name + ": moves / full reassignment baseline", static_cast<double>(moves) / static_cast<double>(std::max<std::uint64_t>(1, reassigned)));
}

void measureRandomRuns(const RunOptions& options, Report& report)
{
    const std::uint32_t planned = std::max<std::uint32_t>(1, options.randomSteps / 100);
    const std::uint32_t small = (options.randomSteps - planned) / 2;
    const RandomRunResult montevideo = randomRun(montevideoFleet(), small, options.seed);
    const RandomRunResult vestland = randomRun(vestlandFleet(), small, options.seed + 1);
    const RandomRunResult large = randomRun(plannedFleet(), planned, options.seed + 2);
    report.unbounded("random steps", static_cast<double>(small) * 2 + planned);
    report.unbounded("seed", static_cast<double>(options.seed));
    for (const RandomRunResult* run : { &montevideo, &vestland, &large }) {
        report.bounded(run->name + ": breaches", static_cast<double>(run->breaches), 0);
        report.unbounded(run->name + ": events", static_cast<double>(run->events));
        report.unbounded(run->name + ": moves", static_cast<double>(run->moves));
        if (!run->firstBreach.empty())
            std::printf("    first breach: %s\n", run->firstBreach.c_str());
    }
}

/// Measures the processor time of one step during a wave, and its growth with the fleet.
void measureCost(Report& report)
{
    double previous = 0;
    for (const double scale : { 0.25, 0.5, 1.0, 2.0 }) {
        FilledFleet filled(plannedFleet(scale));
        filled.configuration.maintenance.waveRequestedAt = filled.fleet.now();
        constexpr int steps = 60;
        const auto start = Clock::now();
        for (int i = 0; i < steps; ++i)
            filled.step();
        const double milliseconds = std::chrono::duration<double, std::milli>(Clock::now() - start).count() / steps;
        char name[80];
        std::snprintf(name, sizeof name, "%.2f of the planned size: ms a step in a wave", scale);
        report.unbounded(name, milliseconds);
        if (previous > 0)
            report.unbounded("  growth for twice the size", milliseconds / previous);
        previous = milliseconds;
    }
}

} // namespace

int main(int count, char** arguments)
{
    RunOptions options;
    if (count > 1)
        options.randomSteps = static_cast<std::uint32_t>(std::strtoul(arguments[1], nullptr, 10));
    if (count > 2)
        options.seed = std::strtoull(arguments[2], nullptr, 10);
    int missed = 0;
    const auto run = [&](const char* title, const auto& measure) {
        Report report(title);
        measure(report);
        missed += report.missed();
    };
    run("Waves", [](Report& report) {
        for (const FleetCase& fleetCase : { montevideoFleet(), vestlandFleet(), plannedFleet() })
            measureWave(fleetCase, report);
    });
    run("Moves at random operators' changes", [&](Report& report) {
        for (const FleetCase& fleetCase : { montevideoFleet(), vestlandFleet(), plannedFleet() })
            measureMoves(fleetCase, options.seed, report);
    });
    run("Random failures, changes and races", [&](Report& report) { measureRandomRuns(options, report); });
    run("Cost of planning (depends on the machine)", measureCost);
    std::printf("\n%s\n", missed == 0 ? "all bounds kept" : (std::to_string(missed) + " bounds missed").c_str());
    return missed == 0 ? 0 : 1;
}
