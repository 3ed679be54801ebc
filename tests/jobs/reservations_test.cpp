/// The sums of a worker's reservations, which placement and the capacity plan read in place of the single reservations.

#include "lanemoor/jobs/policy/placement.h"
#include "lanemoor/jobs/policy/reservations.h"
#include "support.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

/// Steps of all kinds that the sums distinguish.
std::vector<std::shared_ptr<const StepSpec>> stepsOfAllKinds()
{
    StepSpec near = step(1);
    near.preferredRack = "r-1";
    StepSpec bestEffort = step(1);
    bestEffort.bestEffort = true;
    std::vector<std::shared_ptr<const StepSpec>> steps;
    for (const StepSpec& spec : { step(1), labelled(step(1), "a"), near, longStep(1), labelled(longStep(1), "a"), bestEffort })
        steps.push_back(std::make_shared<const StepSpec>(spec));
    return steps;
}

void checkSums(const Reservations& reservations)
{
    std::map<Requirement, Resources> used;
    std::uint32_t longRunning = 0;
    std::uint32_t pinned = 0;
    MonotonicInstant batchEnd;
    for (const auto& [attempt, reservation] : reservations) {
        for (const Requirement& requirement : requirementsOf(*reservation.step))
            used[requirement] += footprint(*reservation.step);
        longRunning += reservation.step->longRunning ? 1 : 0;
        pinned += reservation.step->longRunning && !reservation.step->requiredLabel.empty() ? 1 : 0;
        if (!reservation.step->longRunning)
            batchEnd = std::max(batchEnd, reservation.expectedEnd);
    }
    CHECK(reservations.usedByRequirement() == used);
    CHECK(reservations.longRunningTasks() == longRunning);
    CHECK(reservations.pinnedTasks() == pinned);
    CHECK(reservations.expectedBatchEnd() == batchEnd);
}

} // namespace

// Guards against sums that drift from the reservations, so that pools get too many or too few instances.
TEST_CASE("The sums of reservations equal those over the single reservations")
{
    std::mt19937 random(83);
    const std::vector<std::shared_ptr<const StepSpec>> steps = stepsOfAllKinds();
    Reservations reservations;
    for (int i = 0; i < 2'000; ++i) {
        const Attempt attempt { jobId(random() % 12), { 0, 0, 0 }, 1 };
        if (random() % 2 == 0)
            reservations.put(attempt, { .step = steps[random() % steps.size()], .expectedEnd = MonotonicInstant(Millis(random() % 50)) });
        else
            reservations.erase(attempt);
        checkSums(reservations);
    }
    reservations.takeAll();
    checkSums(reservations);
}
