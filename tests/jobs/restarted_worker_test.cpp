/// A worker may restart under its previous id. It then has no attempts, and its end numbers, its clock and its acknowledged ends
/// start again.
///
/// Guards against state of one incarnation that is applied to the next. An incarnation was identified by id and address only, so after
/// a restart the owner's next renewal acknowledged end numbers of the previous incarnation. The worker dropped its new ends with these
/// numbers before they were read, each task counted as vanished, and quick tasks ran again and again on the same worker.

#include "platform/wire.h"
#include "support.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;
using nlohmann::json;

namespace {

/// One or more entry instances, and a pool of two workers that have finished some dozen tasks each.
struct RestartCluster : SmallCluster {
    explicit RestartCluster(std::size_t entries = 1)
        : SmallCluster(1, entries, 2, 0)
    {
        workers.runTimes = [this](const Attempt& attempt) { return attempt.job >= jobId(firstLongJob) ? Millis(6'000) : Millis(150); };
        for (std::uint64_t i = 0; i < 6; ++i)
            submitJob(8);
        clock.runFor(Millis(2'000));
    }

    void submitJob(std::uint32_t tasks)
    {
        ++number;
        submit(number % entries(), "work", jobId(number), job({ step(tasks) }));
        clock.runFor(Millis(200));
    }

    /// \returns Jobs that have not succeeded.
    std::uint64_t unserved(std::size_t entry = 0)
    {
        std::uint64_t count = 0;
        for (std::uint64_t i = 1; i <= number; ++i)
            count += shows(jobId(i), JobStatus::Succeeded, entry) ? 0 : 1;
        return count;
    }

    void restartAll(Millis returnsAfter)
    {
        for (const char* id : { "i-1", "i-2" })
            workers.restart(id, returnsAfter);
    }

    static constexpr std::uint64_t firstLongJob = 1'000;
    std::uint64_t number = 0;
};

} // namespace

TEST_CASE("Ends of a restarted worker are read, independent of the end numbers of its previous incarnation")
{
    for (const Millis returnsAfter : { Millis(1), Millis(100), Millis(1'500) }) {
        CAPTURE(returnsAfter.count());
        RestartCluster cluster;
        REQUIRE(cluster.unserved() == 0);
        cluster.restartAll(returnsAfter);
        cluster.clock.runFor(returnsAfter + Millis(500));
        const std::uint64_t startsBefore = cluster.checker.starts();
        for (int i = 0; i < 4; ++i)
            cluster.submitJob(8);
        cluster.clock.runFor(Millis(1'000));
        CHECK(cluster.unserved() == 0);
        CHECK(cluster.checker.starts() - startsBefore == 4 * 8);
        CHECK(cluster.checker.breaches().empty());
    }
}

TEST_CASE("Tasks of a restarted worker start again soon after its first report")
{
    RestartCluster cluster;
    cluster.submit(0, "work", jobId(RestartCluster::firstLongJob), job({ step(12) }));
    cluster.clock.runFor(Millis(500));
    const std::uint64_t startsBefore = cluster.checker.starts();
    cluster.restartAll(Millis(50));
    cluster.clock.runFor(Millis(50 + 400));
    CHECK(cluster.checker.starts() - startsBefore == 12);
    cluster.clock.runFor(Millis(8'000));
    CHECK(cluster.shows(jobId(RestartCluster::firstLongJob), JobStatus::Succeeded));
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("An owner without a report of the previous incarnation accepts the new one")
{
    RestartCluster cluster(3);
    cluster.submit(0, "work", jobId(RestartCluster::firstLongJob), job({ step(12) }));
    cluster.clock.runFor(Millis(500));
    cluster.kill(*cluster.owner());
    cluster.restartAll(Millis(700));
    cluster.clock.runFor(Millis(5'000));
    const std::size_t newOwner = *cluster.owner();
    for (int i = 0; i < 3; ++i)
        cluster.submit(newOwner, "work", jobId(100 + static_cast<std::uint64_t>(i)), job({ step(2) }));
    cluster.clock.runFor(Millis(12'000));
    CHECK(cluster.shows(jobId(RestartCluster::firstLongJob), JobStatus::Succeeded, newOwner));
    for (std::uint64_t i = 100; i < 103; ++i)
        CHECK(cluster.shows(jobId(i), JobStatus::Succeeded, newOwner));
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("A worker that comes back under its id after its maintenance gets work")
{
    RestartCluster cluster;
    cluster.restartAll(Millis(3'000));
    cluster.clock.runFor(Millis(1'000));
    cluster.submitJob(4);
    cluster.clock.runFor(Millis(6'000));
    CHECK(cluster.unserved() == 0);
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("A worker's start time is accepted only as a whole number")
{
    const json entry = json::parse(R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":16000,"mem_mb":32768}})");
    const json list = json::parse(R"({"clock_ms":7,"running":[],"ended":[]})");
    const auto withStart = [](json document, const json& start) {
        document["born"] = start;
        return document.dump();
    };
    const auto answer = [](std::string body) { return platform::readRenewalAnswer({ .status = 200, .headers = {}, .body = std::move(body) }); };
    CHECK(platform::readWorker("i", entry.dump())->startedAt == 0);
    CHECK(platform::readWorker("i", withStart(entry, 1'700'000'000'123))->startedAt == 1'700'000'000'123);
    CHECK(answer(list.dump()).startedAt == 0);
    CHECK(answer(withStart(list, 1'700'000'000'123)).startedAt == 1'700'000'000'123);
    for (const json& start : { json("1700000000123"), json(1.5), json(1e12), json(0), json(-5), json(nullptr), json(true), json::array() }) {
        CAPTURE(start.dump());
        WorkerEntryFault fault = WorkerEntryFault::None;
        CHECK_FALSE(platform::readWorker("i", withStart(entry, start), &fault).has_value());
        CHECK(fault == WorkerEntryFault::Start);
        CHECK(answer(withStart(list, start)).outcome == CommandOutcome::Unknown);
    }
}
