/// Transitions of JobState.

#include "lanemoor/jobs/model/job_state.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr MonotonicInstant start { std::chrono::seconds(100) };
constexpr std::uint32_t maxAttempts = 2;

JobState makeState(const JobSpec& spec, const ProgressRecord& progress = {}, std::uint64_t base = 0)
{
    JobState state(jobId(1), std::make_shared<const JobRecord>(JobRecord { .queue = "work", .pool = "main", .acceptedAt = Instant(Millis(0)), .spec = spec }), progress, base);
    state.openOccurrences(Instant(Millis(0)));
    return state;
}

EndedAttempt ended(const TaskId& task, std::uint64_t number, AttemptEnd end, const std::string& checkpoint = {})
{
    return { .sequence = 1, .attempt = { jobId(1), task, number }, .end = end, .checkpoint = checkpoint };
}

} // namespace

TEST_CASE("A step starts when all its dependencies have succeeded")
{
    JobState state = makeState(job({ step(2), step(1, { 0 }) }));
    CHECK(state.startable({ 0, 0 }, start).size() == 2);
    CHECK(state.startable({ 0, 1 }, start).empty());
    state.begin({ 0, 0, 0 }, 1, "w", start);
    state.begin({ 0, 0, 1 }, 1, "w", start);
    CHECK(state.status() == JobStatus::Queued);
    CHECK(state.noteBegun());
    CHECK_FALSE(state.noteBegun());
    CHECK(state.status() == JobStatus::Running);
    CHECK(state.end(ended({ 0, 0, 0 }, 1, AttemptEnd::Succeeded), "w", maxAttempts, start).toBeStored);
    CHECK(state.startable({ 0, 1 }, start).empty());
    state.end(ended({ 0, 0, 1 }, 1, AttemptEnd::Succeeded), "w", maxAttempts, start);
    CHECK(state.startable({ 0, 1 }, start) == std::vector<TaskId> { { 0, 1, 0 } });
    state.begin({ 0, 1, 0 }, 1, "w", start);
    const EndEffect last = state.end(ended({ 0, 1, 0 }, 1, AttemptEnd::Succeeded), "w", maxAttempts, start);
    CHECK(last.finished);
    CHECK(state.status() == JobStatus::Succeeded);
}

/// Guards against a planned start, or a refused one, that is shown as begun, also by the next owner.
TEST_CASE("A planned start is recorded, and is no beginning")
{
    JobState state = makeState(job({ step(1) }));
    CHECK(state.isUnattempted());
    state.begin({}, 1, "w", start);
    CHECK(state.hasPlannedStart());
    CHECK_FALSE(state.isUnattempted());
    state.drop({ jobId(1), {}, 1 }, start);
    CHECK(state.hasPlannedStart());
    CHECK(state.status() == JobStatus::Queued);
    const std::optional<ProgressRecord> stored = decodeProgress(encode(state.progress()));
    REQUIRE(stored);
    JobState next = makeState(job({ step(1) }), *stored, 4'096);
    CHECK(next.hasPlannedStart());
    CHECK(next.status() == JobStatus::Queued);
    CHECK(next.noteBegun());
    CHECK(decodeProgress(encode(next.progress()))->status == JobStatus::Running);
    // Earlier versions stored one status for both.
    CHECK(makeState(job({ step(1) }), { .status = JobStatus::Running }).hasPlannedStart());
}

TEST_CASE("Each failure counts once, and the job fails at the maximum number of failures")
{
    JobState state = makeState(job({ step(1) }));
    state.begin({}, 1, "w", start);
    CHECK(state.end(ended({}, 1, AttemptEnd::Failed), "w", maxAttempts, start).toBeStored);
    CHECK_FALSE(state.end(ended({}, 1, AttemptEnd::Failed), "w", maxAttempts, start).finished);
    CHECK(state.find({})->avoidWorker == "w");
    CHECK(state.startable({ 0, 0 }, start).empty());
    CHECK(state.startable({ 0, 0 }, start + Millis(50)).size() == 1);
    CHECK(state.nextAttempt({}) == 2);
    state.begin({}, 2, "v", start);
    CHECK(state.end(ended({}, 2, AttemptEnd::Failed), "v", maxAttempts, start).finished);
    CHECK(state.status() == JobStatus::Failed);
}

TEST_CASE("A long-running task never fails its job and never succeeds")
{
    JobState state = makeState(job({ longStep(1) }));
    for (std::uint64_t number = 1; number < 10; ++number) {
        state.begin({}, number, "w", start);
        CHECK(state.noteBegun() == (number == 1));
        CHECK_FALSE(state.end(ended({}, number, number % 2 == 0 ? AttemptEnd::Failed : AttemptEnd::Succeeded), "w", 1, start).finished);
    }
    CHECK(state.status() == JobStatus::Running);
    CHECK(state.startable({ 0, 0 }, start + Millis(50)).size() == 1);
}

TEST_CASE("The end of an attempt that was replaced changes nothing")
{
    JobState state = makeState(job({ step(1) }));
    state.begin({}, 1, "w", start);
    state.drop({ jobId(1), {}, 1 }, start);
    state.begin({}, 2, "v", start);
    CHECK_FALSE(state.end(ended({}, 1, AttemptEnd::Failed), "w", maxAttempts, start).counted);
    CHECK(state.find({})->live->number == 2);
}

TEST_CASE("A success that is reported after the task was started elsewhere counts")
{
    // Random run 1094: the newer attempt failed, and a third one began after the older attempt's success had been acknowledged to its
    // worker as stored.
    JobState state = makeState(job({ step(1) }));
    state.begin({}, 1, "w", start);
    state.drop({ jobId(1), {}, 1 }, start);
    state.begin({}, 2, "v", start);
    CHECK(state.end(ended({}, 1, AttemptEnd::Succeeded), "w", maxAttempts, start).finished);
    CHECK(state.liveAttempts().empty());
}

TEST_CASE("An attempt of an earlier owner is adopted, but not a second one or one of a finished task")
{
    ProgressRecord progress;
    progress.tasks[{ 0, 0, 1 }].failedAttempts = { 7 };
    progress.succeeded[{ 0, 0 }] = { false, false, true };
    JobState state = makeState(job({ step(3) }), progress, 4'096);
    CHECK(state.adopt({ jobId(1), { 0, 0, 0 }, 5 }, "w", start));
    CHECK_FALSE(state.adopt({ jobId(1), { 0, 0, 0 }, 6 }, "v", start));
    CHECK(state.hasFailed({ jobId(1), { 0, 0, 1 }, 7 }));
    CHECK_FALSE(state.adopt({ jobId(1), { 0, 0, 2 }, 5 }, "w", start));
    CHECK(state.nextAttempt({ 0, 0, 1 }) == 4'097);
}

TEST_CASE("A gang shares attempt numbers, succeeds when one member succeeds and fails as a whole")
{
    StepSpec gang = step(3);
    gang.gang = true;
    JobState state = makeState(job({ gang }));
    for (std::uint32_t i = 0; i < 3; ++i)
        state.begin({ 0, 0, i }, 1, "w", start);
    CHECK(state.end(ended({ 0, 0, 1 }, 1, AttemptEnd::Failed), "w", maxAttempts, start).toBeStored);
    state.end(ended({ 0, 0, 0 }, 1, AttemptEnd::GangBroken), "w", maxAttempts, start);
    state.end(ended({ 0, 0, 2 }, 1, AttemptEnd::GangBroken), "w", maxAttempts, start);
    CHECK(state.progress().tasks.at({ 0, 0, 0 }).failedAttempts == std::vector<std::uint64_t> { 1 });
    CHECK(state.nextAttempt({ 0, 0, 2 }) == 2);
    for (std::uint32_t i = 0; i < 3; ++i)
        state.begin({ 0, 0, i }, 2, "w", start + Millis(50));
    CHECK(state.end(ended({ 0, 0, 2 }, 2, AttemptEnd::Succeeded), "w", maxAttempts, start).finished);
    CHECK(state.liveAttempts().empty());
}

TEST_CASE("A member of a gang that failed is adopted, so that its task starts nowhere else meanwhile")
{
    // Random run 8163: the member kept running while the gang started again.
    StepSpec gang = step(2);
    gang.gang = true;
    ProgressRecord progress;
    progress.tasks[{ 0, 0, 0 }].failedAttempts = { 7 };
    JobState state = makeState(job({ gang }), progress, 4'096);
    CHECK(state.adopt({ jobId(1), { 0, 0, 1 }, 7 }, "w", start));
    CHECK(state.hasFailed({ jobId(1), { 0, 0, 1 }, 7 }));
    CHECK(state.startable({ 0, 0 }, start).size() == 1);
}

TEST_CASE("Occurrences open when they are due, and the job succeeds with the last")
{
    JobSpec spec = job({ step(1) });
    spec.occurrences = 2;
    spec.firstStart = Instant(Millis(1'000));
    spec.interval = Millis(500);
    JobState state = makeState(spec);
    CHECK(state.steps().empty());
    CHECK(state.nextDue() == Instant(Millis(1'000)));
    CHECK_FALSE(state.openOccurrences(Instant(Millis(999))));
    CHECK(state.openOccurrences(Instant(Millis(1'500))));
    CHECK_FALSE(state.nextDue().has_value());
    for (const std::uint32_t occurrence : { 1U, 0U }) {
        state.begin({ occurrence, 0, 0 }, 1, "w", start);
        state.end(ended({ occurrence, 0, 0 }, 1, AttemptEnd::Succeeded), "w", maxAttempts, start);
    }
    CHECK(state.status() == JobStatus::Succeeded);
    CHECK(state.progress().occurrencesDone == 2);
}

TEST_CASE("Progress survives a change of owner completely")
{
    JobState state = makeState(job({ step(3), step(2, { 0 }) }));
    state.begin({ 0, 0, 0 }, 1, "w", start);
    state.begin({ 0, 0, 1 }, 1, "w", start);
    state.end(ended({ 0, 0, 0 }, 1, AttemptEnd::Succeeded), "w", maxAttempts, start);
    state.end(ended({ 0, 0, 1 }, 1, AttemptEnd::Stopped, "half"), "w", maxAttempts, start);
    const JobState next = makeState(state.record().spec, decodeProgress(encode(state.progress())).value(), 4'096);
    CHECK(next.find({ 0, 0, 0 })->succeeded);
    CHECK(next.find({ 0, 0, 1 })->checkpoint == "half");
    CHECK(next.progress() == state.progress());
}

TEST_CASE("A cancelled job starts nothing, and stays cancelled")
{
    JobState state = makeState(job({ step(2) }));
    state.begin({ 0, 0, 0 }, 1, "w", start);
    state.cancel();
    CHECK(state.startable({ 0, 0 }, start).empty());
    state.end(ended({ 0, 0, 0 }, 1, AttemptEnd::Succeeded), "w", maxAttempts, start);
    CHECK(state.status() == JobStatus::Cancelled);
}

TEST_CASE("Faulty job specifications are reported with the kind of fault")
{
    CHECK(faultOf(job({})) == JobFault::NoSteps);
    CHECK(faultOf(job({ step(0) })) == JobFault::EmptyStep);
    CHECK(faultOf(job({ step(1, { 1 }) })) == JobFault::UnknownDependency);
    CHECK(faultOf(job({ step(1, { 1 }), step(1, { 0 }) })) == JobFault::CyclicDependency);
    CHECK(faultOf(job({ step(1, { 0 }) })) == JobFault::CyclicDependency);
    CHECK(faultOf(job({ step(20'001) })) == JobFault::TooManyTasks);
    JobSpec large = job({ step(1) });
    large.payload.assign(4'001, 'x');
    CHECK(faultOf(large) == JobFault::PayloadTooLong);
    JobSpec negative = job({ step(1) });
    negative.steps[0].needs.milliCpu = -1;
    CHECK(faultOf(negative) == JobFault::BadNumber);
    CHECK_FALSE(faultOf(job({ step(1, { 1 }), step(1) })).has_value());
    CHECK(isJobId("0123456789abcdef"));
    CHECK_FALSE(isJobId("0123456789ABCDEF"));
    CHECK_FALSE(isJobId("123"));
}

TEST_CASE("A failure that is reported while a newer attempt runs counts")
{
    // Random run 62262: the previous owner had not stored the second failure. Its successor had already adopted the third attempt,
    // ignored the failure and started a fourth attempt.
    JobState state = makeState(job({ step(1) }), {}, 4'096);
    REQUIRE(state.adopt({ jobId(1), {}, 2 }, "w", start));
    const EndEffect late = state.end(ended({}, 1, AttemptEnd::Failed), "v", maxAttempts, start);
    CHECK(late.toBeStored);
    CHECK_FALSE(late.finished);
    REQUIRE(state.find({})->live);
    CHECK(state.find({})->live->number == 2);
    CHECK_FALSE(state.end(ended({}, 1, AttemptEnd::Failed), "v", maxAttempts, start).toBeStored);
    CHECK(state.end(ended({}, 2, AttemptEnd::Failed), "w", maxAttempts, start).finished);
    CHECK(state.status() == JobStatus::Failed);
}
