/// Guards against jobs that run although their cancellation was acknowledged: a submission was still under way when its id was
/// cancelled. The store did not have the job, so that the cancellation wrote nothing, and the late write stored the job.

#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr Millis lateness { 5'400 };
constexpr Millis retention { 130'000 }; // Longer than the status of a finished job is kept.

/// A cluster with one entry instance whose writes reach the store late.
struct LateWriteCluster : SmallCluster {
    explicit LateWriteCluster(std::size_t entries = 3)
        : SmallCluster(1, entries)
    {
        late = owner() == 0U ? 1 : 0;
        prompt = owner().value();
    }

    /// Submits a job once, without a retry. \returns The outcome, which is set when it is known.
    std::shared_ptr<std::optional<AcceptOutcome>> submitOnce(std::size_t index, const std::string& id, const std::string& organisation = {})
    {
        const JobSpec spec = job({ step(2) });
        checker.noteSubmitted(id, spec, 3);
        auto outcome = std::make_shared<std::optional<AcceptOutcome>>();
        entry(index).submit({ .queue = "work", .organisation = organisation, .isOpen = organisation.empty() }, id, spec, [outcome](AcceptOutcome result) { *outcome = result; });
        return outcome;
    }

    /// Submits a job whose write is carried out late.
    void submitLate(const std::string& id, const std::string& organisation = {})
    {
        delayStoreWrites(late, lateness);
        submitOnce(late, id, organisation);
        clock.runFor(Millis(300));
        delayStoreWrites(late, Millis(0));
    }

    /// Cancels a job and waits for the answer.
    std::optional<LookupOutcome> cancelNow(std::size_t index, const std::string& id, const std::string& organisation = {})
    {
        const auto outcome = std::make_shared<std::optional<LookupOutcome>>();
        checker.noteCancelSent(id);
        entry(index).cancel({ .queue = "work", .organisation = organisation, .isOpen = organisation.empty() }, id, [outcome](LookupOutcome result) { *outcome = result; });
        waitFor(Millis(3'000), [outcome] { return outcome->has_value(); });
        if (*outcome == LookupOutcome::Done || *outcome == LookupOutcome::NoSuchJob)
            checker.noteCancelled(id);
        return *outcome;
    }

    [[nodiscard]] std::size_t cancelKeys() const { return store.itemsUnder(std::string(cancelKeyPrefix)).size(); }

    std::size_t late = 0;
    std::size_t prompt = 0;
};

} // namespace

TEST_CASE("A job whose submission is still under way when it is cancelled does not run")
{
    LateWriteCluster cluster;
    cluster.submitLate(jobId(1));
    CHECK(cluster.cancelNow(cluster.prompt, jobId(1)) == LookupOutcome::NoSuchJob);
    CHECK(cluster.checker.starts() == 0);
    cluster.clock.runFor(Millis(10'000));
    CHECK(cluster.checker.starts() == 0);
    CHECK(cluster.checker.breaches().empty());
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        CHECK(cluster.shows(jobId(1), JobStatus::Cancelled, i));
}

/// Guards against cancellations that only the owner of the time knows.
TEST_CASE("A job whose submission is still under way when it is cancelled does not run under the next owner")
{
    LateWriteCluster cluster;
    cluster.submitLate(jobId(1));
    CHECK(cluster.cancelNow(cluster.prompt, jobId(1)) == LookupOutcome::NoSuchJob);
    cluster.kill(cluster.prompt);
    cluster.clock.runFor(Millis(15'000));
    CHECK(cluster.owner().has_value());
    CHECK(cluster.checker.starts() == 0);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against a cancellation that takes other jobs of the same write with it.
TEST_CASE("The other jobs of a late batch run when one of them was cancelled")
{
    LateWriteCluster cluster;
    cluster.delayStoreWrites(cluster.late, lateness);
    for (std::uint64_t number = 1; number <= 3; ++number)
        cluster.submitOnce(cluster.late, jobId(number));
    cluster.clock.runFor(Millis(300));
    cluster.delayStoreWrites(cluster.late, Millis(0));
    CHECK(cluster.cancelNow(cluster.prompt, jobId(2)) == LookupOutcome::NoSuchJob);
    cluster.clock.runFor(Millis(10'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Succeeded));
    CHECK(cluster.shows(jobId(2), JobStatus::Cancelled));
    CHECK(cluster.shows(jobId(3), JobStatus::Succeeded));
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against instances that answer a repeated submission of a cancelled id differently.
TEST_CASE("A cancelled id that is submitted again is accepted as cancelled at every instance")
{
    LateWriteCluster cluster;
    CHECK(cluster.cancelNow(0, jobId(1)) == LookupOutcome::NoSuchJob);
    for (std::size_t i = 0; i < cluster.entries(); ++i) {
        const auto outcome = cluster.submitOnce(i, jobId(1));
        cluster.clock.runFor(Millis(1'000));
        CHECK(*outcome == AcceptOutcome::Accepted);
        CHECK(cluster.shows(jobId(1), JobStatus::Cancelled, i));
    }
    cluster.clock.runFor(Millis(5'000));
    CHECK(cluster.checker.starts() == 0);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against marks of cancellations that stay in the store, and against ids that can never be used again.
TEST_CASE("The cancellation of an absent job is forgotten after the retention time of a status")
{
    LateWriteCluster cluster;
    for (std::uint64_t number = 1; number <= 40; ++number)
        CHECK(cluster.cancelNow(number % 3, jobId(number)) == LookupOutcome::NoSuchJob);
    CHECK(cluster.cancelKeys() == 40);
    cluster.clock.runFor(retention);
    CHECK(cluster.cancelKeys() == 0);
    cluster.submit(0, "work", jobId(1), job({ step(2) }));
    cluster.clock.runFor(Millis(3'000));
    CHECK(cluster.checker.hasSucceeded(jobId(1)));
}

/// Guards against a job that is removed with the mark of an earlier cancellation, or whose status is kept for a shorter time.
TEST_CASE("A job that is stored after its cancellation keeps its status for the whole retention time")
{
    LateWriteCluster cluster;
    CHECK(cluster.cancelNow(0, jobId(1)) == LookupOutcome::NoSuchJob);
    cluster.clock.runFor(Millis(100'000));
    cluster.submitOnce(1, jobId(1));
    cluster.clock.runFor(Millis(100'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Cancelled));
    cluster.clock.runFor(retention);
    CHECK(cluster.cancelKeys() == 0);
    CHECK_FALSE(cluster.status(0, jobId(1)).has_value());
    CHECK(cluster.checker.starts() == 0);
}

/// Guards against callers that fill the store with ids that they make up.
TEST_CASE("An instance accepts a bounded number of cancellations of absent jobs")
{
    LateWriteCluster cluster;
    std::size_t refused = 0;
    for (std::uint64_t number = 1; number <= 3'000; ++number) {
        const auto answer = [&refused](LookupOutcome outcome) { refused += outcome == LookupOutcome::Unavailable ? 1 : 0; };
        cluster.entry(0).cancel({ .queue = "work", .organisation = {}, .isOpen = true }, jobId(number), answer);
        cluster.clock.runFor(Millis(1));
    }
    cluster.clock.runFor(Millis(1'000));
    CHECK(refused > 0);
    CHECK(cluster.cancelKeys() + refused == 3'000);
    CHECK(cluster.cancelKeys() <= 1'000);
    // Jobs that exist are cancelled nevertheless.
    cluster.submit(0, "work", jobId(5'000), job({ longStep(2) }));
    cluster.clock.runFor(Millis(2'000));
    CHECK(cluster.cancelNow(0, jobId(5'000)) == LookupOutcome::Done);
}

/// Guards against an acknowledgement of a cancellation that is stored nowhere.
TEST_CASE("The cancellation of an absent job is not acknowledged while the store is unavailable")
{
    LateWriteCluster cluster;
    cluster.cutFromStore(cluster.late, true);
    CHECK(cluster.cancelNow(cluster.late, jobId(1)) == LookupOutcome::Unavailable);
}

/// Guards against callers who cancel jobs of other organisations by naming their ids first.
TEST_CASE("The cancellation of an absent job applies only to jobs that the caller may access")
{
    LateWriteCluster cluster;
    const bool isSame = GENERATE(true, false);
    CHECK(cluster.cancelNow(cluster.prompt, jobId(1), "south") == LookupOutcome::NoSuchJob);
    cluster.checker.noteSubmitted(jobId(2), job({ step(2) }), 3);
    const auto outcome = cluster.submitOnce(1, jobId(1), isSame ? "south" : "north");
    cluster.clock.runFor(Millis(500));
    CHECK(*outcome == AcceptOutcome::Accepted);
    CHECK(cluster.shows(jobId(1), JobStatus::Cancelled) == isSame);
    if (isSame)
        return;
    CHECK(cluster.checker.starts() == 2);
    // The mark of the other organisation does not stand in the way of its own caller's cancellation.
    CHECK(cluster.cancelNow(0, jobId(1), "north") == LookupOutcome::Done);
    cluster.clock.runFor(Millis(1'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Cancelled));
}

/// Guards against the second caller's cancellation being lost behind the first one's.
TEST_CASE("Two organisations may cancel the same absent id")
{
    LateWriteCluster cluster;
    CHECK(cluster.cancelNow(0, jobId(1), "south") == LookupOutcome::NoSuchJob);
    CHECK(cluster.cancelNow(1, jobId(1), "north") == LookupOutcome::NoSuchJob);
    CHECK(cluster.cancelNow(2, jobId(1), "north") == LookupOutcome::NoSuchJob);
    cluster.submitOnce(1, jobId(1), "north");
    cluster.clock.runFor(Millis(1'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Cancelled));
    CHECK(cluster.checker.starts() == 0);
}
