/// Which connections are closed when descriptors or memory run short.

#include "lanemoor/aio/connection_budget.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::aio;

namespace {

/// A budget whose connections are named by numbers, with the time in ms.
struct Fixture {
    ConnectionBudget budget;
    std::map<int, ConnectionBudget::Id> ids;
    std::vector<int> closed;

    static jobs::MonotonicInstant at(int time) { return jobs::MonotonicInstant(std::chrono::milliseconds(time)); }

    bool open(int name, int time)
    {
        const auto id = budget.open(at(time), [this, name](RefusalReason) { closed.push_back(name); });
        if (id)
            ids[name] = *id;
        return id.has_value();
    }

    void enter(int name, ConnectionPhase phase, int time) { budget.enter(ids[name], phase, at(time)); }
    bool reserve(int name, std::uint64_t bytes) { return budget.reserve(ids[name], bytes); }
};

} // namespace

// Guards against refusing the newest connection while others have sent nothing for a long time.
TEST_CASE("A new connection takes the place of the one that has been idle longest and then of the slowest")
{
    Fixture fixture { .budget = ConnectionBudget({ .maxConnections = 3 }) };
    for (int name = 1; name <= 3; ++name)
        REQUIRE(fixture.open(name, name));
    fixture.enter(1, ConnectionPhase::Reading, 4);
    CHECK(fixture.open(4, 5));
    CHECK(fixture.closed == std::vector { 2 });
    fixture.enter(3, ConnectionPhase::Reading, 6);
    fixture.enter(4, ConnectionPhase::Handling, 6);
    CHECK(fixture.open(5, 7));
    CHECK(fixture.closed == std::vector { 2, 1 });
    CHECK(fixture.budget.connections() == 3);
}

// Guards against losing a request that was read whole.
TEST_CASE("A connection whose request is being handled is never closed for others")
{
    Fixture fixture { .budget = ConnectionBudget({ .maxConnections = 2, .maxBytes = 100 }) };
    for (const int name : { 1, 2 }) {
        REQUIRE(fixture.open(name, name));
        REQUIRE(fixture.reserve(name, 40));
        fixture.enter(name, ConnectionPhase::Handling, name);
    }
    CHECK_FALSE(fixture.open(3, 3));
    CHECK_FALSE(fixture.reserve(1, 70));
    CHECK(fixture.closed.empty());
    CHECK(fixture.budget.bytes() == 80);
    fixture.enter(2, ConnectionPhase::Writing, 4);
    CHECK(fixture.reserve(1, 70));
    CHECK(fixture.closed == std::vector { 2 });
}

// Guards against clients that together hold more memory than the process has.
TEST_CASE("Memory is taken from the message that began first")
{
    Fixture fixture { .budget = ConnectionBudget({ .maxConnections = 10, .maxBytes = 100 }) };
    for (int name = 1; name <= 4; ++name) {
        REQUIRE(fixture.open(name, name));
        REQUIRE(fixture.reserve(name, 20));
    }
    fixture.enter(3, ConnectionPhase::Reading, 10);
    fixture.enter(2, ConnectionPhase::Reading, 11);
    fixture.enter(4, ConnectionPhase::Reading, 12);
    CHECK_FALSE(fixture.reserve(3, 50)); // Its own message began first.
    CHECK(fixture.closed.empty());
    CHECK(fixture.reserve(4, 50));
    CHECK(fixture.closed == std::vector { 3 });
    CHECK(fixture.reserve(4, 100));
    CHECK(fixture.closed == std::vector { 3, 2, 1 });
    CHECK_FALSE(fixture.reserve(4, 101));
    CHECK_FALSE(fixture.reserve(3, 1));
    CHECK(fixture.reserve(4, 0));
    CHECK(fixture.budget.bytes() == 0);
}
