/// Health scores of workers, and the limit on ejections.

#include "lanemoor/jobs/model/service_configuration.h"
#include "lanemoor/jobs/policy/ejection_bound.h"
#include "lanemoor/jobs/policy/run_time_ranks.h"
#include "lanemoor/jobs/policy/unacknowledged_starts.h"
#include "lanemoor/jobs/policy/worker_health.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;

namespace {

constexpr MonotonicInstant start { std::chrono::seconds(100) };
const WorkerHealthOptions options;

/// Ejects a worker if the evidence requires it.
bool ejectIfFaulty(WorkerHealth& health, MonotonicInstant now)
{
    const HealthFault fault = health.fault(now);
    if (fault != HealthFault::None)
        health.eject(fault, options, now);
    return fault != HealthFault::None;
}

/// `racks` of `perRack` workers in one pool and data hall.
struct Pool {
    Pool(int racks, int perRack)
    {
        for (int i = 0; i < racks * perRack; ++i) {
            const std::string rack = "r-" + std::to_string(i / perRack);
            workers.push_back({ .id = "i-" + std::to_string(i), .address = {}, .pool = "main", .dataHall = "hall", .capacity = {}, .labels = { "a", rack }, .rack = rack });
        }
        for (const WorkerEntry& worker : workers)
            members.push_back({ .worker = &worker });
    }

    [[nodiscard]] EjectionCandidate candidate(std::size_t index, HealthFault fault, double score = 1) const { return { .member = members[index], .fault = fault, .score = score }; }

    [[nodiscard]] std::vector<EjectionCandidate> choose(const std::vector<EjectionCandidate>& candidates, const MinInstances& minInstances = {}) const { return EjectionBound(options, members, minInstances).choose(candidates); }

    std::vector<WorkerEntry> workers;
    std::vector<EjectionMember> members;
};

} // namespace

/// Guards against workers that are ejected for steps that fail everywhere.
TEST_CASE("Failures that are attributed to their steps are no evidence against a worker")
{
    const auto hopeless = std::make_shared<StepOutcomes>();
    const auto sound = std::make_shared<StepOutcomes>();
    WorkerHealth health;
    for (const auto& [job, outcomes] : { std::pair("a", hopeless), std::pair("b", sound) }) {
        outcomes->noteFailure("w-1");
        health.noteFailure(job, start, outcomes);
        health.noteFailure(job, start, outcomes);
    }
    CHECK(health.fault(start) == HealthFault::Failures);
    // Failed on one worker only: the worker may be at fault.
    CHECK_FALSE(hopeless->isStepAtFault());
    hopeless->noteFailure("w-2");
    CHECK(hopeless->isStepAtFault());
    CHECK(health.fault(start) == HealthFault::None);
    // It works elsewhere, so two faulty workers have hidden each other.
    hopeless->noteSuccess();
    CHECK(health.fault(start) == HealthFault::Failures);
}

/// Guards against a worker that stays ejected for the failures of a step that was found at fault afterwards.
TEST_CASE("An ejection is unfounded once all its failures are attributed to their steps")
{
    const auto first = std::make_shared<StepOutcomes>();
    const auto second = std::make_shared<StepOutcomes>();
    WorkerHealth health;
    for (const auto& [job, outcomes] : { std::pair("a", first), std::pair("b", second) }) {
        outcomes->noteFailure("w-1");
        health.noteFailure(job, start, outcomes);
        health.noteFailure(job, start, outcomes);
    }
    REQUIRE(ejectIfFaulty(health, start));
    first->noteFailure("w-2");
    CHECK_FALSE(health.isEjectionUnfounded());
    second->noteFailure("w-2");
    REQUIRE(health.isEjectionUnfounded());
    health.revokeEjection(start + Millis(10));
    CHECK_FALSE(health.isOutOfService(start + Millis(10)));
    // The backoff starts anew.
    health.eject(HealthFault::Failures, options, start + Millis(20));
    CHECK(health.ejectedUntil() == start + Millis(20) + options.firstBackoff);
}

/// Guards against a probe whose failure is the step's own: it doubled the backoff of a sound worker.
TEST_CASE("A failed probe of a step at fault leaves the worker on probation")
{
    const auto hopeless = std::make_shared<StepOutcomes>();
    hopeless->noteFailure("w-1");
    WorkerHealth health;
    health.eject(HealthFault::Failures, options, start);
    const MonotonicInstant probed = start + options.firstBackoff;
    REQUIRE(health.isProbing(probed));
    hopeless->noteFailure("w-2");
    health.noteFailure("a", probed, hopeless);
    CHECK(health.fault(probed) == HealthFault::None);
    CHECK(health.isProbing(probed));
    // A probe that failed before its step was found at fault is revoked.
    const auto other = std::make_shared<StepOutcomes>();
    other->noteFailure("w-1");
    health.noteFailure("b", probed, other);
    REQUIRE(ejectIfFaulty(health, probed));
    other->noteFailure("w-2");
    REQUIRE(health.isEjectionUnfounded());
    health.revokeEjection(probed);
    CHECK(health.isProbing(probed));
}

TEST_CASE("A worker that fails tasks of several jobs in a row is ejected, and probed again")
{
    WorkerHealth health;
    health.noteFailure("a", start);
    health.noteFailure("a", start);
    health.noteFailure("a", start);
    CHECK_FALSE(ejectIfFaulty(health, start));
    health.noteFailure("b", start);
    CHECK(ejectIfFaulty(health, start));
    CHECK(health.isEjected(start));
    CHECK_FALSE(health.isEjected(start + Millis(2'000)));
    CHECK(health.isProbing(start + Millis(2'000)));
    health.noteFailure("a", start + Millis(2'000));
    CHECK(ejectIfFaulty(health, start + Millis(2'000)));
    CHECK(health.isEjected(start + Millis(5'900)));
    health.noteSuccess(start + Millis(7'000));
    CHECK_FALSE(health.isOutOfService(start + Millis(7'000)));
}

TEST_CASE("An unresponsive worker is ejected after four calls, and readmitted once a start is answered")
{
    WorkerHealth health;
    for (int i = 0; i < 3; ++i)
        health.noteUnanswered(start);
    CHECK(health.fault(start) == HealthFault::None);
    health.noteUnanswered(start);
    CHECK(health.fault(start) == HealthFault::Unanswered);
    REQUIRE(ejectIfFaulty(health, start));
    CHECK(health.report(start).evidence == WorkerEvidence { .calls = 4, .unanswered = 4 });
    health.noteStartAnswered(start + Millis(1'000)); // Answer to an earlier start.
    CHECK(health.isEjected(start + Millis(1'000)));
    health.noteStartAnswered(start + Millis(2'100));
    CHECK_FALSE(health.isOutOfService(start + Millis(2'100)));
}

TEST_CASE("Calls that were reset once or answered late do not eject a worker")
{
    WorkerHealth health;
    for (int i = 0; i < 20; ++i)
        health.noteStartAnswered(start);
    for (int i = 0; i < 5; ++i)
        health.noteUnanswered(start);
    CHECK(health.fault(start) == HealthFault::None);
    for (int i = 0; i < 10; ++i) {
        health.noteUnanswered(start + Millis(1'000));
        health.noteLateAnswer(start + Millis(1'200));
    }
    CHECK(health.fault(start + Millis(1'200)) == HealthFault::None);
    // Evidence older than the window does not count.
    for (int i = 0; i < 3; ++i)
        health.noteUnanswered(start + Millis(12'000));
    CHECK(health.fault(start + Millis(12'000)) == HealthFault::None);
}

TEST_CASE("A worker that is slower by a factor of 8 is ejected, its peers and a worker with one late task are not")
{
    RunTimeRanks ranks;
    WorkerHealth slow;
    WorkerHealth peer;
    for (int i = 0; i < 40; ++i) {
        const double spread = 0.5 + 0.05 * (i % 20);
        peer.noteRunTime(ranks.note("main", "work", spread, options.lateFactor), start);
        if (i % 8 == 0)
            slow.noteRunTime(ranks.note("main", "work", 8 * spread, options.lateFactor), start);
    }
    CHECK(peer.fault(start) == HealthFault::None);
    // The first ends came before there were samples to compare them with.
    for (int i = 0; i < 3; ++i)
        slow.noteRunTime(ranks.note("main", "work", 8, options.lateFactor), start);
    CHECK(slow.fault(start) == HealthFault::Slow);
    peer.noteRunTime(true, start);
    CHECK(peer.fault(start) == HealthFault::None);
}

/// Guards against a score in which the many timely ends of the seconds before hide that a worker has become slow.
TEST_CASE("A worker that has become slow is ejected after several late ends in a row")
{
    WorkerHealth health;
    for (int i = 0; i < 60; ++i)
        health.noteRunTime(false, start);
    for (int i = 0; i < 3; ++i)
        health.noteRunTime(true, start + Millis(3'000));
    CHECK(health.fault(start + Millis(3'000)) == HealthFault::None);
    for (int i = 0; i < 4; ++i)
        health.noteRunTime(true, start + Millis(4'000));
    CHECK(health.fault(start + Millis(4'000)) == HealthFault::Slow);
}

TEST_CASE("A worker with every tenth end late stays in service")
{
    WorkerHealth health;
    for (int i = 0; i < 200; ++i) {
        health.noteRunTime(i % 10 == 9, start + Millis(20 * i));
        CHECK(health.fault(start + Millis(20 * i)) == HealthFault::None);
    }
}

TEST_CASE("Answers to calls don't make up for tasks that fail, nor successes for calls without an answer")
{
    WorkerHealth failing;
    for (const char* job : { "a", "b", "c" }) {
        failing.noteStartAnswered(start);
        failing.noteFailure(job, start);
    }
    CHECK(failing.fault(start) == HealthFault::Failures);
    WorkerHealth unresponsive;
    for (int i = 0; i < 6; ++i) {
        unresponsive.noteUnanswered(start);
        unresponsive.noteSuccess(start);
    }
    CHECK(unresponsive.fault(start) == HealthFault::Unanswered);
}

TEST_CASE("A worker that fails with the period of its backoff gets longer and longer ejections, up to 16 s")
{
    WorkerHealth health;
    MonotonicInstant now = start;
    for (const int seconds : { 2, 4, 8, 16, 16 }) {
        for (int i = 0; i < 4; ++i)
            health.noteUnanswered(now);
        REQUIRE(ejectIfFaulty(health, now));
        now += std::chrono::seconds(seconds);
        CHECK(health.isEjected(now - Millis(1)));
        CHECK(health.isProbing(now));
        health.noteStartAnswered(now);
        REQUIRE_FALSE(health.isOutOfService(now));
    }
    now += Millis(20'000);
    for (int i = 0; i < 4; ++i)
        health.noteUnanswered(now);
    REQUIRE(ejectIfFaulty(health, now));
    CHECK(health.isProbing(now + Millis(2'000)));
}

TEST_CASE("A probing worker is ejected by one failure, and is back in service after a while without one")
{
    WorkerHealth health;
    for (int i = 0; i < 4; ++i)
        health.noteUnanswered(start);
    REQUIRE(ejectIfFaulty(health, start));
    health.noteUnanswered(start + Millis(2'500));
    CHECK(health.fault(start + Millis(2'500)) == HealthFault::Unanswered);
    REQUIRE(ejectIfFaulty(health, start + Millis(2'500)));
    CHECK(health.isProbing(start + Millis(7'000)));
    CHECK_FALSE(health.isOutOfService(start + Millis(17'000)));
}

TEST_CASE("A worker that does not answer earlier stops gets no longer ejections without a probe")
{
    WorkerHealth health;
    for (int i = 0; i < 4; ++i)
        health.noteUnanswered(start);
    REQUIRE(ejectIfFaulty(health, start));
    MonotonicInstant now = start;
    for (int i = 0; i < 3; ++i) {
        now += Millis(2'000);
        health.noteUnanswered(now);
        REQUIRE(health.fault(now) == HealthFault::Unanswered);
        health.postponeProbe(options, now);
        CHECK(health.isEjected(now));
        CHECK(health.isProbing(now + Millis(2'000)));
    }
}

TEST_CASE("At most half of a rack is ejected, the worst first")
{
    const Pool pool(10, 8);
    std::vector<EjectionCandidate> rack;
    for (std::size_t i = 0; i < 8; ++i)
        rack.push_back(pool.candidate(i, HealthFault::Failures, static_cast<double>(i) / 8));
    const std::vector<EjectionCandidate> chosen = pool.choose(rack);
    REQUIRE(chosen.size() == 4);
    CHECK(chosen.front().member.worker->id == "i-7");
    CHECK(chosen.back().member.worker->id == "i-4");
}

TEST_CASE("If a third of a pool fails, a fifth of the pool is ejected, probing workers included")
{
    Pool pool(30, 2);
    std::vector<EjectionCandidate> third;
    for (std::size_t i = 0; i < 60; i += 3)
        third.push_back(pool.candidate(i, HealthFault::Failures));
    CHECK(pool.choose(third).size() == 12);
    for (std::size_t i = 1; i < 60; i += 6)
        pool.members[i].outOfService = true;
    CHECK(pool.choose(third).size() == 2);
    // A worker that is out already may be ejected again.
    CHECK(pool.choose({ pool.candidate(1, HealthFault::Failures) }).size() == 1);
}

TEST_CASE("Unanswered calls count only where others of the rack and data hall answer")
{
    Pool pool(10, 8);
    CHECK(pool.choose({ pool.candidate(0, HealthFault::Unanswered) }).size() == 1);
    for (std::size_t i = 0; i < 6; ++i)
        pool.members[i].answering = false;
    CHECK(pool.choose({ pool.candidate(0, HealthFault::Unanswered) }).empty());
    CHECK(pool.choose({ pool.candidate(0, HealthFault::Failures) }).size() == 1);
    CHECK(pool.choose({ pool.candidate(20, HealthFault::Unanswered) }).size() == 1);
    for (std::size_t i = 0; i < 70; ++i)
        pool.members[i].answering = i % 8 == 0;
    CHECK(pool.choose({ pool.candidate(79, HealthFault::Unanswered) }).empty());
}

TEST_CASE("The instances that long-running steps need are not ejected, nor is the last one of a pool")
{
    const Pool pool(10, 2);
    const EjectionCandidate candidate = pool.candidate(0, HealthFault::Failures);
    CHECK(pool.choose({ candidate }, { { { "main", "r-0" }, 2 } }).empty());
    CHECK(pool.choose({ candidate }, { { { "main", "r-0" }, 1 } }).size() == 1);
    CHECK(pool.choose({ candidate }, { { { "main", "" }, 20 } }).empty());
    CHECK(pool.choose({ candidate }, { { { "other", "" }, 20 } }).size() == 1);
    const Pool single(1, 1);
    CHECK(single.choose({ single.candidate(0, HealthFault::Failures) }).empty());
}

TEST_CASE("A worker that answers no start has at most two unacknowledged ones, and gets no more once it answers no probe")
{
    const auto attempt = [](std::uint64_t number) { return Attempt { "a", {}, number }; };
    constexpr std::int64_t leaseUntil = 5'000;
    UnacknowledgedStarts starts;
    for (std::uint64_t i = 1; i <= 5; ++i)
        starts.noteSent(attempt(i), leaseUntil, start);
    CHECK(starts.startsLeft(start) == UnacknowledgedStarts::unlimited);
    CHECK(starts.noteOverdue(attempt(1), start));
    CHECK_FALSE(starts.noteOverdue(attempt(1), start));
    CHECK(starts.startsLeft(start) == 0);
    for (std::uint64_t i = 3; i <= 5; ++i)
        starts.noteSettled(attempt(i));
    starts.noteSettled(attempt(1));
    CHECK(starts.startsLeft(start) == 1);
    starts.noteSent(attempt(6), leaseUntil, start);
    starts.noteOverdue(attempt(2), start);
    starts.noteOverdue(attempt(6), start);
    starts.noteProbeOverdue();
    starts.noteResponse();
    CHECK(starts.isDistrusted(start));
    CHECK(starts.noteAnswered(attempt(6)));
    CHECK(starts.startsLeft(start) == UnacknowledgedStarts::unlimited);
    starts.noteSent(attempt(7), leaseUntil, start);
    starts.noteOverdue(attempt(7), start);
    starts.noteProbeOverdue();
    CHECK(starts.startsLeft(start + Millis(60'000)) == 0);
    starts.noteResponse();
    CHECK(starts.startsLeft(start + Millis(60'000)) == UnacknowledgedStarts::unlimited);
}

TEST_CASE("A worker that does not answer a probe is distrusted until it answers")
{
    UnacknowledgedStarts starts;
    starts.noteProbeOverdue();
    CHECK(starts.isDistrusted(start));
    CHECK(starts.startsLeft(start) == 2);
    starts.noteResponse();
    CHECK(starts.startsLeft(start) == UnacknowledgedStarts::unlimited);
}

/// Guards against starting a task elsewhere while its unacknowledged start may still be carried out.
TEST_CASE("A start cannot take effect once its lease has expired and no connection delivers it")
{
    const Attempt attempt { "a", {}, 1 };
    UnacknowledgedStarts starts;
    starts.noteSent(attempt, 5'000, start);
    CHECK_FALSE(starts.hasExpired(attempt, 4'999, start + Millis(20'000)));
    CHECK_FALSE(starts.hasExpired(attempt, 5'001, start + Millis(6'900)));
    CHECK(starts.hasExpired(attempt, 5'001, start + Millis(7'000)));
    starts.noteSettled(attempt);
    CHECK_FALSE(starts.hasExpired(attempt, 5'001, start + Millis(7'000)));
}
