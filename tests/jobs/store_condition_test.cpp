/// State of the store that all parts of a process share, instead of each detecting an outage by itself and waiting for its own timers
/// afterwards. Single failures don't change the state, and late results of calls sent in an outage don't extend the outage.

#include "lanemoor/jobs/store/store_condition_tracker.h"
#include "lanemoor/jobs/store/store_retries.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;
using namespace lanemoor::model;

namespace {

/// Calls of one process that end after 4 ms or after a timeout of 1 s.
struct Calls {
    void end(StoreCallKind kind, StoreOutcome outcome, Millis took = Millis(4))
    {
        now += took;
        changes += tracker.note(kind, outcome, now - took, now) ? 1 : 0;
    }

    [[nodiscard]] StoreState state() const { return tracker.condition().state; }

    MonotonicInstant now { std::chrono::seconds(100) };
    StoreConditionTracker tracker { now };
    int changes = 0;
};

constexpr Millis timeout { 1'000 };

} // namespace

TEST_CASE("A store that refuses all calls for a while is in an outage, and one answer ends it")
{
    Calls calls;
    calls.end(StoreCallKind::Read, StoreOutcome::Done);
    const MonotonicInstant begin = calls.now;
    for (int i = 0; i < 20; ++i)
        calls.end(StoreCallKind::Write, StoreOutcome::NotDone, Millis(10));
    CHECK(calls.state() == StoreState::Refused);
    CHECK(calls.tracker.condition().since == begin);
    calls.end(StoreCallKind::Write, StoreOutcome::Unknown, timeout);
    CHECK(calls.state() == StoreState::Unresponsive);
    calls.end(StoreCallKind::Read, StoreOutcome::NotFound);
    CHECK(calls.state() == StoreState::Writing);
    // Calls sent during the outage time out only now.
    calls.tracker.note(StoreCallKind::Write, StoreOutcome::Unknown, begin, calls.now + timeout);
    calls.tracker.note(StoreCallKind::Write, StoreOutcome::Unknown, begin, calls.now + timeout);
    CHECK(calls.state() == StoreState::Writing);
    CHECK(calls.changes == 3);
}

TEST_CASE("Single failures among answers change nothing")
{
    Calls calls;
    for (int i = 0; i < 100; ++i) {
        calls.end(StoreCallKind::Write, i % 2 == 0 ? StoreOutcome::NotDone : StoreOutcome::Conflict, Millis(60));
        calls.end(StoreCallKind::Read, i % 3 == 0 ? StoreOutcome::Unknown : StoreOutcome::Done, Millis(60));
    }
    CHECK(calls.changes == 0);
}

TEST_CASE("Unanswered writes alongside answered reads are no outage")
{
    Calls calls;
    calls.end(StoreCallKind::Write, StoreOutcome::Done);
    for (int i = 0; i < 3; ++i) {
        calls.end(StoreCallKind::Read, StoreOutcome::Done);
        calls.end(StoreCallKind::Write, StoreOutcome::Unknown, timeout);
    }
    CHECK(calls.state() == StoreState::ReadingOnly);
    calls.end(StoreCallKind::Write, StoreOutcome::Conflict);
    CHECK(calls.state() == StoreState::Writing);
}

TEST_CASE("Retries that wait for the store run once, in order, when it is available again")
{
    SimClock clock;
    SimProcess process(clock);
    StoreRetries retries(process);
    std::string ran;
    retries.runLater(Millis(300), [&] { ran += 'a'; });
    retries.runLater(Millis(100), [&] { ran += 'b'; });
    retries.runNow();
    CHECK(ran == "ab");
    retries.runLater(Millis(100), [&] { ran += 'c'; });
    clock.runFor(Millis(400));
    CHECK(ran == "abc");
}
