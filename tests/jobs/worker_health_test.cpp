/// Health scores of workers, and the limit on ejections.

#include "lanemoor/jobs/model/service_configuration.h"
#include "lanemoor/jobs/policy/ejection_bound.h"
#include "lanemoor/jobs/policy/run_time_ranks.h"
#include "lanemoor/jobs/policy/start_answers.h"
#include "lanemoor/jobs/policy/worker_health.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;

namespace {

constexpr MonotonicInstant start { std::chrono::seconds(100) };
const WorkerHealthOptions options;

/// Ejects a worker if the evidence requires it.
bool ejectIfIll(WorkerHealth& health, MonotonicInstant now)
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

    [[nodiscard]] std::vector<EjectionCandidate> choose(const std::vector<EjectionCandidate>& candidates, const LeastInstances& least = {}) const { return EjectionBound(options, members, least).choose(candidates); }

    std::vector<WorkerEntry> workers;
    std::vector<EjectionMember> members;
};

} // namespace

TEST_CASE("A worker that fails the work of several jobs in a row is left out, and tried again")
{
    WorkerHealth health;
    health.noteFailure("a", start);
    health.noteFailure("a", start);
    health.noteFailure("a", start);
    CHECK_FALSE(ejectIfIll(health, start));
    health.noteFailure("b", start);
    CHECK(ejectIfIll(health, start));
    CHECK(health.isEjected(start));
    CHECK_FALSE(health.isEjected(start + Millis(2'000)));
    CHECK(health.isProbing(start + Millis(2'000)));
    health.noteFailure("a", start + Millis(2'000));
    CHECK(ejectIfIll(health, start + Millis(2'000)));
    CHECK(health.isEjected(start + Millis(5'900)));
    health.noteSuccess(start + Millis(7'000));
    CHECK_FALSE(health.isOut(start + Millis(7'000)));
}

TEST_CASE("A mute worker is left out after four calls, and taken back once a start is answered")
{
    WorkerHealth health;
    for (int i = 0; i < 3; ++i)
        health.noteUnanswered(start);
    CHECK(health.fault(start) == HealthFault::None);
    health.noteUnanswered(start);
    CHECK(health.fault(start) == HealthFault::Unanswered);
    REQUIRE(ejectIfIll(health, start));
    CHECK(health.report(start).evidence == WorkerEvidence { .calls = 4, .unanswered = 4 });
    health.noteStartAnswered(start + Millis(1'000)); // Answer to an earlier start.
    CHECK(health.isEjected(start + Millis(1'000)));
    health.noteStartAnswered(start + Millis(2'100));
    CHECK_FALSE(health.isOut(start + Millis(2'100)));
}

TEST_CASE("Answers that were reset once or came late don't leave a worker out")
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

TEST_CASE("A worker that is slow by 8 is left out, its peers and one late task are not")
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

/// Guards against scoring a worker that has become slow by its many ends of the seconds before.
TEST_CASE("A worker that has become slow is left out after some late ends in a row")
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

TEST_CASE("A worker of whose ends each tenth is late stays in service")
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
    WorkerHealth mute;
    for (int i = 0; i < 6; ++i) {
        mute.noteUnanswered(start);
        mute.noteSuccess(start);
    }
    CHECK(mute.fault(start) == HealthFault::Unanswered);
}

TEST_CASE("A worker that fails with the period of its backoff is left out ever longer, up to 16 s")
{
    WorkerHealth health;
    MonotonicInstant now = start;
    for (const int seconds : { 2, 4, 8, 16, 16 }) {
        for (int i = 0; i < 4; ++i)
            health.noteUnanswered(now);
        REQUIRE(ejectIfIll(health, now));
        now += std::chrono::seconds(seconds);
        CHECK(health.isEjected(now - Millis(1)));
        CHECK(health.isProbing(now));
        health.noteStartAnswered(now);
        REQUIRE_FALSE(health.isOut(now));
    }
    now += Millis(20'000);
    for (int i = 0; i < 4; ++i)
        health.noteUnanswered(now);
    REQUIRE(ejectIfIll(health, now));
    CHECK(health.isProbing(now + Millis(2'000)));
}

TEST_CASE("A probing worker is left out by one failure, and is back in service without one after a while")
{
    WorkerHealth health;
    for (int i = 0; i < 4; ++i)
        health.noteUnanswered(start);
    REQUIRE(ejectIfIll(health, start));
    health.noteUnanswered(start + Millis(2'500));
    CHECK(health.fault(start + Millis(2'500)) == HealthFault::Unanswered);
    REQUIRE(ejectIfIll(health, start + Millis(2'500)));
    CHECK(health.isProbing(start + Millis(7'000)));
    CHECK_FALSE(health.isOut(start + Millis(17'000)));
}

TEST_CASE("A worker that leaves earlier stops unanswered is not left out ever longer without a probe")
{
    WorkerHealth health;
    for (int i = 0; i < 4; ++i)
        health.noteUnanswered(start);
    REQUIRE(ejectIfIll(health, start));
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

TEST_CASE("At most half of a rack is left out, the worst first")
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

TEST_CASE("Of a third of a pool that fails a fifth of the pool is left out, those that probe included")
{
    Pool pool(30, 2);
    std::vector<EjectionCandidate> third;
    for (std::size_t i = 0; i < 60; i += 3)
        third.push_back(pool.candidate(i, HealthFault::Failures));
    CHECK(pool.choose(third).size() == 12);
    for (std::size_t i = 1; i < 60; i += 6)
        pool.members[i].out = true;
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

TEST_CASE("The instances that long-running steps need are not left out, nor the last one of a pool")
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

TEST_CASE("A worker that answers no start has two open ones at most, and none once it answers no probe")
{
    const auto attempt = [](std::uint64_t number) { return Attempt { "a", {}, number }; };
    constexpr std::int64_t leaseUntil = 5'000;
    StartAnswers answers;
    for (std::uint64_t i = 1; i <= 5; ++i)
        answers.noteSent(attempt(i), leaseUntil, start);
    CHECK(answers.startsLeft(start) == StartAnswers::unlimited);
    CHECK(answers.noteOverdue(attempt(1), start));
    CHECK_FALSE(answers.noteOverdue(attempt(1), start));
    CHECK(answers.startsLeft(start) == 0);
    for (std::uint64_t i = 3; i <= 5; ++i)
        answers.noteSettled(attempt(i));
    answers.noteSettled(attempt(1));
    CHECK(answers.startsLeft(start) == 1);
    answers.noteSent(attempt(6), leaseUntil, start);
    answers.noteOverdue(attempt(2), start);
    answers.noteOverdue(attempt(6), start);
    answers.noteProbeOverdue();
    answers.noteHeard();
    CHECK(answers.isDistrusted(start));
    CHECK(answers.noteAnswered(attempt(6)));
    CHECK(answers.startsLeft(start) == StartAnswers::unlimited);
    answers.noteSent(attempt(7), leaseUntil, start);
    answers.noteOverdue(attempt(7), start);
    answers.noteProbeOverdue();
    CHECK(answers.startsLeft(start + Millis(60'000)) == 0);
    answers.noteHeard();
    CHECK(answers.startsLeft(start + Millis(60'000)) == StartAnswers::unlimited);
}

TEST_CASE("A worker that does not answer a probe is distrusted until it answers")
{
    StartAnswers answers;
    answers.noteProbeOverdue();
    CHECK(answers.isDistrusted(start));
    CHECK(answers.startsLeft(start) == 2);
    answers.noteHeard();
    CHECK(answers.startsLeft(start) == StartAnswers::unlimited);
}

/// Guards against starting a task elsewhere while its unacknowledged start may still be carried out.
TEST_CASE("A start can't begin any more once its lease is over and no connection delivers it")
{
    const Attempt attempt { "a", {}, 1 };
    StartAnswers answers;
    answers.noteSent(attempt, 5'000, start);
    CHECK_FALSE(answers.hasExpired(attempt, 4'999, start + Millis(20'000)));
    CHECK_FALSE(answers.hasExpired(attempt, 5'001, start + Millis(6'900)));
    CHECK(answers.hasExpired(attempt, 5'001, start + Millis(7'000)));
    answers.noteSettled(attempt);
    CHECK_FALSE(answers.hasExpired(attempt, 5'001, start + Millis(7'000)));
}
