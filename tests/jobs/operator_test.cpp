/// HTTP API of the job service for operators, and its answers as text.

#include "lanemoor/client/text_report.h"
#include "lanemoor/jobs/operator/operator_api.h"
#include "support.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

HttpResponse call(SmallCluster& cluster, std::size_t entry, const std::string& method, const std::string& target)
{
    std::optional<HttpResponse> answer;
    answerOperator(cluster.entry(entry), { .method = method, .target = target, .headers = {}, .body = {} }, [&](HttpResponse response) { answer = std::move(response); });
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return answer.has_value(); }));
    return *answer;
}

} // namespace

TEST_CASE("Operators see which label a task waits for, and how many instances have it")
{
    SmallCluster cluster(1, 3, 2, 0);
    StepSpec needy = labelled(step(3), "b");
    needy.preferredRack = "r-0";
    cluster.submit(0, "work", jobId(1), job({ needy }));
    cluster.clock.runFor(Millis(1'500));
    const std::string text = jobText(call(cluster, cluster.owner().value(), "GET", "/v1/jobs/" + jobId(1)).body);
    CHECK(text.find("3 wait: of 2 workers 2 take work, 2 of them have room; needs label b: 0 of them have it, 0 with room; its data is in rack r-0, where 2 of them are") != std::string::npos);
}

TEST_CASE("Operators see jobs, where their tasks run and why others wait")
{
    SmallCluster cluster(1, 3, 2, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(30'000); };
    cluster.submit(0, "work", jobId(1), job({ step(20), step(1, { 0 }) }));
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return cluster.checker.starts() == 16; }));
    cluster.clock.runFor(Millis(1'500));
    const std::size_t owner = cluster.owner().value();
    const std::string text = jobText(call(cluster, owner, "GET", "/v1/jobs/" + jobId(1)).body);
    CHECK(text.find("status: running") != std::string::npos);
    CHECK(text.find("step 0/0: 0 of 20 tasks succeeded") != std::string::npos);
    CHECK(text.find("task 15, attempt 1: running on i-") != std::string::npos);
    CHECK(text.find("4 wait: of 2 workers 2 take work, 0 of them have room") != std::string::npos);
    CHECK(text.find("step 0/1: 0 of 1 tasks succeeded, blocked by a step it depends on") != std::string::npos);
    const std::size_t other = (owner + 1) % cluster.entries();
    CHECK(jobText(call(cluster, other, "GET", "/v1/jobs/" + jobId(1)).body).find("known to the owner only") != std::string::npos);
    CHECK(jobsText(call(cluster, other, "GET", "/v1/jobs?queue=work").body).find(jobId(1)) != std::string::npos);
    CHECK(jobsText(call(cluster, other, "GET", "/v1/jobs?queue=none").body).find(jobId(1)) == std::string::npos);
}

TEST_CASE("Operators see which task crashes its workers")
{
    SmallCluster cluster(1, 3, 6, 0);
    cluster.workers.crashesWorker = [](const Attempt& attempt) { return attempt.task.index == 1; };
    cluster.submit(0, "work", jobId(1), job({ longStep(3) }));
    cluster.clock.runFor(Millis(20'000));
    const std::string text = jobText(call(cluster, cluster.owner().value(), "GET", "/v1/jobs/" + jobId(1)).body);
    CHECK(text.find("task 1: 3 workers in a row were lost soon after they had started it; it was given up") != std::string::npos);
    CHECK(text.find("task 0: ") == std::string::npos);
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("Operators see the shard's owner, cancel jobs, and get typed errors")
{
    SmallCluster cluster;
    cluster.submit(0, "work", jobId(1), job({ longStep(1) }));
    cluster.clock.runFor(Millis(1'000));
    const std::size_t owner = cluster.owner().value();
    const std::size_t other = (owner + 1) % cluster.entries();
    const std::string shards = shardsText(call(cluster, other, "GET", "/v1/shards").body);
    CHECK(shards.find("entry-" + std::to_string(owner)) != std::string::npos);
    CHECK(call(cluster, other, "DELETE", "/v1/jobs/" + jobId(1)).status == 200);
    CHECK(cluster.waitFor(Millis(3'000), [&] { return cluster.shows(jobId(1), JobStatus::Cancelled, other); }));
    CHECK(call(cluster, other, "GET", "/v1/jobs/" + jobId(9)).status == 404);
    CHECK(call(cluster, other, "DELETE", "/v1/jobs/" + jobId(9)).status == 404);
    CHECK(call(cluster, other, "PUT", "/v1/jobs/" + jobId(1)).status == 405);
    CHECK(call(cluster, other, "POST", "/v1/shards").status == 405);
    CHECK(problemText(call(cluster, other, "GET", "/v1/nothing").body) == "there is no such page");
    CHECK(call(cluster, other, "GET", "/metrics").body.find("lanemoor_ready 1") != std::string::npos);
}

TEST_CASE("Operators see the health of workers and why one is ejected")
{
    SmallCluster cluster;
    for (auto& [id, worker] : cluster.workers.workers())
        worker.faults.failing = id == "i-1" ? 1 : 0;
    for (std::uint64_t number = 1; number <= 4; ++number)
        cluster.submit(0, "work", jobId(number), job({ step(6) }));
    const std::size_t owner = cluster.owner().value();
    const auto table = [&] { return instancesText(call(cluster, owner, "GET", "/v1/instances").body); };
    CHECK(cluster.waitFor(Millis(5'000), [&] { return cluster.entry(owner).schedulerCounts().ejections > 0; }));
    CHECK(table().find("ms: failures") != std::string::npos);
    CHECK(call(cluster, owner, "GET", "/metrics").body.find("lanemoor_workers_ejected{pool=\"main\"} 1") != std::string::npos);
    const std::size_t other = (owner + 1) % cluster.entries();
    CHECK(instancesText(call(cluster, other, "GET", "/v1/instances").body).find("known to the owner only: entry-" + std::to_string(owner)) != std::string::npos);
}

TEST_CASE("Operators see the usage of organisations, and which quota tasks wait for")
{
    SmallCluster cluster;
    cluster.workers.runTimes = [](const Attempt&) { return Millis(30'000); };
    ServiceConfiguration configuration = smallConfiguration(2);
    configuration.organisations = OrganisationTable({ { .name = "north", .keys = { ApiKeyDigest::of("k") }, .weight = 7, .quota = { .milliCpu = 2'000 } } });
    cluster.configure(configuration);
    cluster.clock.runFor(Millis(1'500));
    cluster.submit(0, "work", jobId(1), job({ step(5) }), "north");
    cluster.clock.runFor(Millis(1'000));
    const std::size_t owner = cluster.owner().value();
    const std::string table = organisationsText(call(cluster, owner, "GET", "/v1/organisations").body);
    CHECK(table.find("north") != std::string::npos);
    CHECK(table.find("2000 of 2000") != std::string::npos);
    CHECK(jobText(call(cluster, owner, "GET", "/v1/jobs/" + jobId(1)).body).find("the quota of north is used up") != std::string::npos);
    const std::size_t other = (owner + 1) % cluster.entries();
    CHECK(organisationsText(call(cluster, other, "GET", "/v1/organisations").body).find("known to the owner only: entry-" + std::to_string(owner)) != std::string::npos);
    CHECK(call(cluster, other, "POST", "/v1/organisations").status == 405);
}

TEST_CASE("Operators see an evacuation and what remains in its data hall, and a job's explanation names it")
{
    SmallCluster cluster(1, 3, 2, 0);
    const Resources capacity { .milliCpu = 8'000, .memoryMb = 16'000 };
    cluster.workers.addInstance("h-0", "main", "r-h", capacity, "a", "hall-b");
    cluster.clock.runFor(Millis(500));
    cluster.workers.runTimes = [](const Attempt&) { return Millis(30'000); };
    cluster.submit(0, "work", jobId(1), job({ step(24) }));
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return cluster.checker.starts() == 24; }));
    cluster.submit(0, "work", jobId(2), job({ step(1) }));
    const std::size_t owner = cluster.owner().value();
    CHECK(evacuationsText(call(cluster, owner, "GET", "/v1/evacuations").body).find("no data hall is evacuated or lost") != std::string::npos);
    cluster.evacuate("hall-b");
    cluster.clock.runFor(Millis(3'000));
    const HttpResponse answer = call(cluster, owner, "GET", "/v1/evacuations");
    CHECK(answer.body.find(R"("dataHall":"hall-b","state":"evacuating")") != std::string::npos);
    CHECK(answer.body.find(R"("pool":"main","workers":1,"batchTasks":8,"longTasks":0,"heldByBudget":0,"stopping":0,"unreachable":0)") != std::string::npos);
    CHECK(evacuationsText(answer.body).find("hall-b") != std::string::npos);
    const std::string running = jobText(call(cluster, owner, "GET", "/v1/jobs/" + jobId(1)).body);
    CHECK(running.find("data hall hall-b is evacuating: nothing starts there; 8 tasks of the step are there") != std::string::npos);
    const std::string waiting = jobText(call(cluster, owner, "GET", "/v1/jobs/" + jobId(2)).body);
    CHECK(waiting.find("data hall hall-b is evacuating: nothing starts there; 0 tasks") != std::string::npos);
    CHECK(call(cluster, owner, "GET", "/metrics").body.find("lanemoor_evacuation_remaining{data_hall=\"hall-b\"} 8") != std::string::npos);
    const std::size_t other = (owner + 1) % cluster.entries();
    CHECK(evacuationsText(call(cluster, other, "GET", "/v1/evacuations").body).find("known to the owner only: entry-" + std::to_string(owner)) != std::string::npos);
}
