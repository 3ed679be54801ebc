/// Attribution of worker crashes, without store or network.

#include "lanemoor/jobs/model/job_state.h"
#include "lanemoor/jobs/policy/crash_attribution.h"
#include "lanemoor/jobs/policy/placement.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr std::size_t fleet = 48;
constexpr MonotonicInstant begin { std::chrono::seconds(1'000) };
constexpr MonotonicInstant later { std::chrono::seconds(1'060) }; // The attributor has the rate of independent crashes by then.

LostAttempt lostAttempt(std::uint64_t number, std::optional<Millis> survived, std::uint32_t confirmedBefore = 0)
{
    return { .attempt = { jobId(number), {}, 1 }, .survived = survived, .before = { .confirmed = confirmedBefore } };
}

} // namespace

TEST_CASE("A crash is attributed to the starts that the worker may not have survived")
{
    CrashAttributor attributor({}, begin);
    LostAttempt adopted = lostAttempt(3, std::nullopt);
    adopted.isAdopted = true;
    const CrashAttribution attribution = attributor.attribute({ lostAttempt(1, Millis(0)), lostAttempt(2, Millis(17'000)), adopted, lostAttempt(4, std::nullopt) }, fleet, later);
    REQUIRE(attribution.suspects.size() == 1);
    CHECK(attribution.suspects.front().attempt.job == jobId(1));
    CHECK_FALSE(attribution.failed);
}

TEST_CASE("An unacknowledged start is suspect only if no acknowledged one is")
{
    CrashAttributor attributor({}, begin);
    CHECK(attributor.attribute({ lostAttempt(1, std::nullopt), lostAttempt(2, Millis(17'000)) }, fleet, later).suspects.size() == 1);
}

TEST_CASE("A task fails after three crashes if it stands out")
{
    CrashAttributor attributor({}, begin);
    CHECK_FALSE(attributor.attribute({ lostAttempt(1, Millis(0), 1) }, fleet, later).failed);
    CHECK(attributor.attribute({ lostAttempt(1, Millis(0), 2) }, fleet, later).failed);
    CHECK(attributor.attribute({ lostAttempt(1, Millis(0), 2), lostAttempt(2, Millis(0)) }, fleet, later).failed->job == jobId(1));
}

TEST_CASE("Jobs that crash together do not fail before the last start that is allowed")
{
    CrashAttributor attributor({}, begin);
    CHECK_FALSE(attributor.attribute({ lostAttempt(1, Millis(0), 2), lostAttempt(2, Millis(0), 2) }, fleet, later).failed);
    CHECK_FALSE(attributor.attribute({ lostAttempt(1, Millis(0), 3), lostAttempt(2, Millis(0), 3) }, fleet, later).failed);
    CHECK(attributor.attribute({ lostAttempt(1, Millis(0), 4), lostAttempt(2, Millis(0), 4) }, fleet, later).failed);
}

TEST_CASE("Independent crashes shorten the probation and raise the number of crashes that fail a task")
{
    CrashAttributor attributor({}, begin);
    const Millis calm = attributor.probation(fleet, later);
    for (int i = 0; i < 24; ++i)
        attributor.attribute({}, fleet, later + Millis(100 * i));
    const MonotonicInstant now = later + Millis(2'400);
    CHECK(attributor.probation(fleet, now) < calm);
    CHECK(attributor.probation(fleet, now) >= minProbation);
    CHECK(attributor.attribute({ lostAttempt(1, calm / 2, 2) }, fleet, now).suspects.empty());
    CHECK_FALSE(attributor.attribute({ lostAttempt(1, Millis(0), 2) }, fleet, now).failed);
    CHECK(attributor.attribute({ lostAttempt(1, Millis(0), maxCrashes - 1) }, fleet, now).failed);
    CHECK(attributor.attribute({ lostAttempt(1, Millis(0), 2) }, fleet, now + 2 * crashWindow).failed);
}

TEST_CASE("A new owner waits until it knows the rate of independent crashes, and allows for one that went unrecorded")
{
    CrashAttributor attributor({}, later);
    CHECK_FALSE(attributor.attribute({ lostAttempt(1, Millis(0), 2) }, fleet, later + Millis(100)).failed);
    LostAttempt inherited = lostAttempt(1, Millis(0), 3);
    inherited.isInherited = true;
    CHECK(attributor.attribute({ inherited, lostAttempt(2, Millis(0), 3) }, fleet, later + Millis(200)).failed);
}

TEST_CASE("Suspects go to the emptiest worker and nothing joins one with two crashes")
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
    query.quarantineKey = suspect;
    query.suspectedCrashes = 2;
    CHECK(placer.choose(step(1), query) == 2U);
    placer.reserve(2, step(1));
    placer.noteSuspect(2, suspect, 2);
    PlacementQuery usual;
    usual.quarantineKey = other;
    CHECK(placer.choose(step(1), usual) == 0U);
    placer.reserve(0, step(1));
    placer.reserve(0, step(1));
    placer.reserve(1, step(1));
    placer.reserve(1, step(1));
    placer.reserve(1, step(1));
    // The site with the suspect has room, but other tasks must not use it.
    CHECK_FALSE(placer.choose(step(1), usual));
    usual.quarantineKey = suspect;
    CHECK(placer.choose(step(1), usual) == 2U);
}

// Guards against attributing a crash before the answer to a start to an innocent start beside it, so that it is not counted.
TEST_CASE("A task to be isolated prefers a fuller worker without recent starts")
{
    std::vector<WorkerEntry> workers(2);
    std::vector<PlacementSite> sites;
    for (WorkerEntry& worker : workers)
        sites.push_back({ .worker = &worker, .free = { .milliCpu = 4'000, .memoryMb = 10'000 } });
    sites[0].free.milliCpu = 2'000;
    Placer placer(sites);
    placer.reserve(1, step(1));
    PlacementQuery query;
    query.quarantineKey = jobId(1);
    query.suspectedCrashes = crashesToIsolate;
    CHECK(placer.choose(step(1), query) == 0U);
    query.suspectedCrashes = crashesToIsolate - 1;
    CHECK(placer.choose(step(1), query) == 1U);
}

TEST_CASE("A suspect of one crash is placed beside others last")
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
    query.quarantineKey = other;
    CHECK(placer.choose(step(1), query) == 1U);
    for (int i = 0; i < 4; ++i)
        placer.reserve(1, step(1));
    CHECK(placer.choose(step(1), query) == 0U);
}

TEST_CASE("Crashes and probations are stored, and cleared by a worker that survives")
{
    const auto record = std::make_shared<JobRecord>(JobRecord { .queue = "work", .pool = "main", .spec = job({ step(2) }) });
    JobState state(jobId(1), record, {}, 0);
    state.openOccurrences({});
    const TaskId task { 0, 0, 1 };
    const auto attempt = [&](std::uint64_t number) { return Attempt { jobId(1), task, number }; };
    state.begin(task, 1, "w1", begin);
    state.noteCrash(attempt(1), true);
    state.drop(attempt(1), begin);
    // The second start is on probation: if the owner is lost with its worker, the next owner knows of it.
    state.begin(task, 2, "w2", begin);
    REQUIRE(state.beginProbation(attempt(2), 1'700'000'000'000));
    CHECK_FALSE(state.beginProbation(attempt(2), 1'700'000'000'000));
    CHECK(state.noteConfirmed(attempt(2), 5));
    CHECK_FALSE(state.noteConfirmed(attempt(2), 6));
    const std::optional<ProgressRecord> stored = decodeProgress(encode(state.progress()));
    REQUIRE(stored);
    CHECK(stored->tasks.at(task).crashes == CrashCount { .confirmed = 1 });
    REQUIRE(stored->tasks.at(task).probations.size() == 1);
    CHECK(stored->tasks.at(task).probations.front() == Probation { .attempt = 2, .worker = "w2", .workerStartedAt = 1'700'000'000'000, .isAcknowledged = true });
    JobState next(jobId(1), record, *stored, 10);
    next.openOccurrences({});
    CHECK(next.find(task)->suspectedCrashes() == 2);
    CHECK(next.noteSurvived(task));
    CHECK(next.progress().tasks.empty());
    // A start that the worker refused is not a crash.
    state.drop(attempt(2), begin);
    CHECK(state.find(task)->suspectedCrashes() == 1);
    CHECK(state.failPermanently(task));
    CHECK(state.status() == JobStatus::Failed);
}

/// Guards against failing a task for starts that never reached a worker.
TEST_CASE("Unacknowledged starts make a task suspect but never fail it alone")
{
    CrashAttributor attributor({}, begin);
    LostAttempt lost = lostAttempt(1, std::nullopt);
    for (std::uint32_t crashes = 0; crashes < 3 * maxCrashes; ++crashes) {
        lost.before = { .confirmed = minConfirmedCrashes - 1, .unconfirmed = crashes };
        const CrashAttribution attribution = attributor.attribute({ lost }, fleet, later);
        REQUIRE(attribution.suspects.size() == 1);
        CHECK(crashesAfter(attribution.suspects.front()).unconfirmed == crashes + 1);
        CHECK_FALSE(attribution.failed);
    }
    CHECK_FALSE(isExhausted({ .confirmed = minConfirmedCrashes - 1, .unconfirmed = maxCrashes }, maxCrashes, true));
    CHECK(isExhausted({ .confirmed = minConfirmedCrashes, .unconfirmed = maxCrashes - minConfirmedCrashes }, 0, false));
}

TEST_CASE("Unconfirmed crashes count towards the last start that is allowed")
{
    CrashAttributor attributor({}, begin);
    LostAttempt lost = lostAttempt(1, Millis(0));
    lost.before = { .confirmed = minConfirmedCrashes - 1, .unconfirmed = maxCrashes - minConfirmedCrashes };
    CHECK(attributor.attribute({ lost }, fleet, later).failed);
    --lost.before.unconfirmed;
    CHECK_FALSE(attributor.attribute({ lost }, fleet, later).failed);
}
