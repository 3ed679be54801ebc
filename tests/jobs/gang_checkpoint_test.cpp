/// Guards against gangs that never run again after a failed run: each member started with its own checkpoint, and members with different
/// checkpoints do not run together.

#include "lanemoor/jobs/model/job_state.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

const std::string id = jobId(1);
constexpr std::uint32_t members = 3;
constexpr MonotonicInstant now { std::chrono::seconds(100) };

JobSpec savingGang()
{
    StepSpec spec = step(members);
    spec.gang = true;
    spec.checkpointing = true;
    spec.maxPerInstance = 1;
    return job({ spec });
}

JobState gangState(const ProgressRecord& progress = {})
{
    JobState state(id, std::make_shared<const JobRecord>(JobRecord { .queue = "work", .pool = "main", .acceptedAt = Instant(Millis(0)), .spec = savingGang() }), progress, 0);
    state.openOccurrences(Instant(Millis(0)));
    return state;
}

void beginAll(JobState& state, std::uint64_t number)
{
    for (std::uint32_t index = 0; index < members; ++index)
        state.begin({ 0, 0, index }, number, "w", now);
}

Attempt attempt(std::uint32_t index, std::uint64_t number)
{
    return { id, { 0, 0, index }, number };
}

void endMember(JobState& state, std::uint32_t index, std::uint64_t number, AttemptEnd end, const std::string& checkpoint)
{
    state.end({ .sequence = 1, .attempt = attempt(index, number), .end = end, .checkpoint = checkpoint }, "w", 3, now);
}

const std::string& checkpointOf(const JobState& state, std::uint32_t index)
{
    return state.checkpointOf({ 0, 0, index });
}

} // namespace

/// Guards against members that bring their own checkpoints, also under a new owner.
TEST_CASE("After a failed run all members of a gang start with the same checkpoint")
{
    const bool isOwnerLost = GENERATE(false, true);
    SmallCluster cluster;
    cluster.workers.savesCheckpoints = true;
    for (auto& [worker, model] : cluster.workers.workers())
        model.faults.failing = 1;
    // The second member fails shortly before the others save another checkpoint.
    cluster.workers.runTimes = [](const Attempt& started) { return Millis(started.task.index == 1 && started.number == 1 ? 1'480 : 5'000); };
    cluster.submit(0, "work", id, savingGang());
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return cluster.checker.starts() == members; }));
    for (auto& [worker, model] : cluster.workers.workers())
        model.faults.failing = 0;
    if (isOwnerLost) {
        cluster.clock.runFor(Millis(1'400));
        cluster.kill(cluster.owner().value());
    }
    CHECK(cluster.waitFor(Millis(25'000), [&] { return cluster.shows(id, JobStatus::Succeeded, cluster.isUp(0) ? 0 : 1); }));
    CHECK(cluster.checker.starts() == 2 * members);
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("The members of a gang start with the newest checkpoint that any member saved")
{
    JobState state = gangState();
    beginAll(state, 1);
    for (std::uint32_t index = 0; index < members; ++index)
        CHECK(checkpointOf(state, index).empty());
    state.noteReport({ .attempt = attempt(2, 1), .checkpoint = "early" }, now);
    endMember(state, 1, 1, AttemptEnd::Failed, "late");
    endMember(state, 0, 1, AttemptEnd::GangBroken, {});
    endMember(state, 2, 1, AttemptEnd::Stopped, {});
    beginAll(state, 2);
    // Reports between the starts of one run change only the next run.
    state.noteReport({ .attempt = attempt(0, 2), .checkpoint = "next" }, now);
    for (std::uint32_t index = 0; index < members; ++index)
        CHECK(checkpointOf(state, index) == "late");
}

/// Guards against a late report of an earlier run that takes a gang back.
TEST_CASE("A checkpoint of an earlier run does not replace one of a later run")
{
    JobState state = gangState();
    beginAll(state, 1);
    for (std::uint32_t index = 0; index < members; ++index)
        state.drop(attempt(index, 1), now);
    beginAll(state, 2);
    state.noteReport({ .attempt = attempt(1, 2), .checkpoint = "second run" }, now);
    for (std::uint32_t index = 0; index < members; ++index)
        state.drop(attempt(index, 2), now);
    endMember(state, 2, 1, AttemptEnd::Stopped, "first run");
    beginAll(state, 3);
    for (std::uint32_t index = 0; index < members; ++index)
        CHECK(checkpointOf(state, index) == "second run");
}

/// Guards against a new owner that forgets the checkpoints which an earlier version stored with the other members.
TEST_CASE("A gang starts with a stored checkpoint of any member")
{
    ProgressRecord progress { .status = JobStatus::Running, .succeeded = {}, .tasks = {}, .policy = std::nullopt };
    progress.tasks[{ 0, 0, 2 }].checkpoint = "stored";
    JobState state = gangState(progress);
    beginAll(state, 1);
    for (std::uint32_t index = 0; index < members; ++index)
        CHECK(checkpointOf(state, index) == "stored");
}
