/// Which task a lost worker speaks against: the judge alone, without store or network.

#include "lanemoor/jobs/model/job_state.h"
#include "lanemoor/jobs/policy/placement.h"
#include "lanemoor/jobs/policy/worker_loss.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr std::size_t fleet = 48;
constexpr MonotonicInstant begin { std::chrono::seconds(1'000) };
constexpr MonotonicInstant later { std::chrono::seconds(1'060) }; // When the judge knows the losses of late.

LostAttempt lostAttempt(std::uint64_t number, std::optional<Millis> survived, std::uint32_t lossesBefore = 0)
{
    return { .attempt = { jobId(number), {}, 1 }, .survived = survived, .lossesBefore = lossesBefore };
}

} // namespace

TEST_CASE("A loss speaks against those whose start the worker may not have survived")
{
    LossJudge judge({}, begin);
    LostAttempt adopted = lostAttempt(3, std::nullopt);
    adopted.adopted = true;
    const LossVerdict verdict = judge.judge({ lostAttempt(1, Millis(0)), lostAttempt(2, Millis(17'000)), adopted, lostAttempt(4, std::nullopt) }, fleet, later);
    REQUIRE(verdict.suspects.size() == 1);
    CHECK(verdict.suspects.front().attempt.job == jobId(1));
    CHECK_FALSE(verdict.givenUp);
}

TEST_CASE("A start that was never confirmed is suspect only if no other is")
{
    LossJudge judge({}, begin);
    CHECK(judge.judge({ lostAttempt(1, std::nullopt), lostAttempt(2, Millis(17'000)) }, fleet, later).suspects.size() == 1);
}

TEST_CASE("A task is given up after three lost workers if it stands out")
{
    LossJudge judge({}, begin);
    CHECK_FALSE(judge.judge({ lostAttempt(1, Millis(0), 1) }, fleet, later).givenUp);
    CHECK(judge.judge({ lostAttempt(1, Millis(0), 2) }, fleet, later).givenUp);
    CHECK(judge.judge({ lostAttempt(1, Millis(0), 2), lostAttempt(2, Millis(0)) }, fleet, later).givenUp->job == jobId(1));
}

TEST_CASE("Jobs that lose the same workers are not given up before the last start that is allowed")
{
    LossJudge judge({}, begin);
    CHECK_FALSE(judge.judge({ lostAttempt(1, Millis(0), 2), lostAttempt(2, Millis(0), 2) }, fleet, later).givenUp);
    CHECK_FALSE(judge.judge({ lostAttempt(1, Millis(0), 3), lostAttempt(2, Millis(0), 3) }, fleet, later).givenUp);
    CHECK(judge.judge({ lostAttempt(1, Millis(0), 4), lostAttempt(2, Millis(0), 4) }, fleet, later).givenUp);
}

TEST_CASE("The more workers end by themselves, the more losses it takes, and the sooner after a start they must come")
{
    LossJudge judge({}, begin);
    const Millis calm = judge.trial(fleet, later);
    for (int i = 0; i < 24; ++i)
        judge.judge({}, fleet, later + Millis(100 * i));
    const MonotonicInstant now = later + Millis(2'400);
    CHECK(judge.trial(fleet, now) < calm);
    CHECK(judge.trial(fleet, now) >= leastTrial);
    CHECK(judge.judge({ lostAttempt(1, calm / 2, 2) }, fleet, now).suspects.empty());
    CHECK_FALSE(judge.judge({ lostAttempt(1, Millis(0), 2) }, fleet, now).givenUp);
    CHECK(judge.judge({ lostAttempt(1, Millis(0), mostLosses - 1) }, fleet, now).givenUp);
    CHECK(judge.judge({ lostAttempt(1, Millis(0), 2) }, fleet, now + 2 * lossMemory).givenUp);
}

TEST_CASE("A new owner takes its time to know how often workers end by themselves, and counts a loss that it may not know")
{
    LossJudge judge({}, later);
    CHECK_FALSE(judge.judge({ lostAttempt(1, Millis(0), 2) }, fleet, later + Millis(100)).givenUp);
    LostAttempt inherited = lostAttempt(1, Millis(0), 3);
    inherited.inherited = true;
    CHECK(judge.judge({ inherited, lostAttempt(2, Millis(0), 3) }, fleet, later + Millis(200)).givenUp);
}

TEST_CASE("Suspects go to the emptiest worker and nothing joins one that has lost two")
{
    std::vector<WorkerEntry> workers(3);
    std::vector<PlacementSite> sites;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        workers[i].id = "w" + std::to_string(i);
        sites.push_back({ .worker = &workers[i], .free = { .milliCpu = static_cast<std::int64_t>(2 + i) * 1'000, .memoryMb = 10'000 } });
    }
    Placer placer(sites);
    const std::string suspect = jobId(1);
    const std::string other = jobId(2);
    PlacementQuery query;
    query.accused = suspect;
    query.workersLost = 2;
    CHECK(placer.choose(step(1), query) == 2U);
    placer.book(2, step(1));
    placer.noteSuspect(2, suspect, 2);
    PlacementQuery usual;
    usual.accused = other;
    CHECK(placer.choose(step(1), usual) == 0U);
    placer.book(0, step(1));
    placer.book(0, step(1));
    placer.book(1, step(1));
    placer.book(1, step(1));
    placer.book(1, step(1));
    // The one with the suspect has room: it is not for others, and not for good.
    CHECK_FALSE(placer.choose(step(1), usual));
    usual.accused = suspect;
    CHECK(placer.choose(step(1), usual) == 2U);
}

TEST_CASE("One that has lost one worker is only put beside others last")
{
    std::vector<WorkerEntry> workers(2);
    std::vector<PlacementSite> sites;
    for (WorkerEntry& worker : workers)
        sites.push_back({ .worker = &worker, .free = { .milliCpu = 4'000, .memoryMb = 10'000 } });
    sites[0].free.milliCpu = 2'000;
    const std::string suspect = jobId(1);
    const std::string other = jobId(2);
    sites[0].suspects.push_back({ suspect, 1 });
    Placer placer(sites);
    PlacementQuery query;
    query.accused = other;
    CHECK(placer.choose(step(1), query) == 1U);
    for (int i = 0; i < 4; ++i)
        placer.book(1, step(1));
    CHECK(placer.choose(step(1), query) == 0U);
}

TEST_CASE("Lost workers are kept in the store and cleared by a worker that survives")
{
    const auto record = std::make_shared<JobRecord>(JobRecord { .queue = "work", .pool = "main", .spec = job({ step(2) }) });
    JobState state(jobId(1), record, {}, 0);
    state.openOccurrences({});
    const TaskId task { 0, 0, 1 };
    state.begin(task, 1, "w1", begin);
    state.noteWorkerLost(task);
    state.drop({ jobId(1), task, 1 }, begin);
    // The second start counts ahead: an owner that is lost with its worker leaves two.
    state.begin(task, 2, "w2", begin);
    const std::optional<ProgressRecord> stored = decodeProgress(encode(state.progress()));
    REQUIRE(stored);
    CHECK(stored->tasks.at(task).workersLost == 2);
    JobState next(jobId(1), record, *stored, 10);
    next.openOccurrences({});
    CHECK(next.find(task)->workersLost == 2);
    CHECK(next.noteSurvived(task));
    CHECK(next.progress().tasks.empty());
    // A start that the worker refused is no loss.
    state.drop({ jobId(1), task, 2 }, begin);
    CHECK(state.find(task)->workersLost == 1);
    CHECK(state.giveUp(task));
    CHECK(state.status() == JobStatus::Failed);
}
