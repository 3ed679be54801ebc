/// Empty instances of evacuated data halls.
///
/// Guards against idle instances that stay up in their pools until the request is withdrawn.

#include "lanemoor/jobs/policy/evacuation_moves.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;

namespace {

constexpr MonotonicInstant start { Millis(1'000'000) };
constexpr std::size_t many = 100;

} // namespace

TEST_CASE("An instance of an evacuated data hall is powered off once it has been empty for a while")
{
    EvacuationMoves moves;
    const std::vector<EmptiedInstance> emptied { { "a", "main" }, { "b", "side" } };
    CHECK(moves.next(emptied, "off", many, start).empty());
    CHECK(moves.next(emptied, "off", many, start + Millis(1'100)).empty());
    const std::vector<CapacityMove> expected { { "a", "main", "off" }, { "b", "side", "off" } };
    CHECK(moves.next(emptied, "off", many, start + Millis(1'200)) == expected);
}

TEST_CASE("The wait restarts for an instance that had work in between, and for one whose data hall serves again")
{
    EvacuationMoves moves;
    const std::vector<EmptiedInstance> emptied { { "a", "main" } };
    CHECK(moves.next(emptied, "off", many, start).empty());
    CHECK(moves.next({}, "off", many, start + Millis(1'000)).empty());
    CHECK(moves.next(emptied, "off", many, start + Millis(1'300)).empty());
    CHECK(moves.next(emptied, "off", many, start + Millis(2'500)).size() == 1);
}

TEST_CASE("Instances are powered off within the remaining calls, and a failed move is retried after a pause")
{
    EvacuationMoves moves;
    const std::vector<EmptiedInstance> emptied { { "a", "main" }, { "b", "main" } };
    CHECK(moves.next(emptied, "off", 1, start).empty());
    CHECK(moves.next(emptied, "off", 1, start + Millis(2'000)).front().instance == "a");
    CHECK(moves.next({ { "b", "main" } }, "off", 1, start + Millis(2'100)).front().instance == "b");
    CHECK(moves.next(emptied, "off", many, start + Millis(3'000)).empty());
    CHECK(moves.next(emptied, "off", many, start + Millis(7'000)).size() == 1);
}
