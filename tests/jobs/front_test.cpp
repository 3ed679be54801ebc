/// Callers' requests through the platform's HTTP handlers, on the models; and the metrics.

#include "platform/adapters.h"
#include "support.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr const char* oneTask = R"({"spec":"x","steps":[{"count":1,"cpu":100}]})";

/// \returns The response of entry `index`, waited for on the simulated clock.
HttpResponse ask(SmallCluster& cluster, const std::string& method, const std::string& target, const std::string& body = {}, const std::string& host = "h:80", std::size_t index = 0)
{
    HttpRequest request { .method = method, .target = target, .headers = {}, .body = body };
    request.headers.add("Host", host);
    std::optional<HttpResponse> answer;
    if (method == "POST") {
        const auto job = platform::makeJobApiHandler(cluster.entry(index));
        cluster.checker.noteSubmitted(target.substr(target.rfind('/') + 1), { .payload = "x", .steps = { step(1) } }, 3);
        job(request, [&](HttpResponse response) { answer = std::move(response); });
    } else {
        platform::makeJobApiHandler(cluster.entry(index))(request, [&](HttpResponse response) { answer = std::move(response); });
    }
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return answer.has_value(); }));
    return *answer;
}

} // namespace

TEST_CASE("A job is submitted, looked up, counted and cancelled over HTTP")
{
    SmallCluster cluster;
    cluster.workers.runTimes = [](const Attempt&) { return Millis(10'000); };
    CHECK(ask(cluster, "GET", "/q/" + jobId(1)).status == 410);
    CHECK(ask(cluster, "POST", "/q/" + jobId(1), oneTask).status == 200);
    CHECK(ask(cluster, "POST", "/q/" + jobId(1), oneTask, "H", 1).status == 200);
    cluster.clock.runFor(Millis(1'000));
    CHECK(ask(cluster, "GET", "/q/" + jobId(1), {}, "h", 2).body == R"({"state":"running"})");
    CHECK(ask(cluster, "GET", "/q/").body == R"({"pending":0})");
    CHECK(ask(cluster, "DELETE", "/q/" + jobId(1)).status == 200);
    CHECK(ask(cluster, "GET", "/q/" + jobId(1)).body == R"({"state":"cancelled"})");
    CHECK(ask(cluster, "DELETE", "/q/" + jobId(2)).status == 410);
    CHECK(cluster.checker.starts() == 1);
}

TEST_CASE("Invalid requests get a 4xx with a reason, and have no effect")
{
    SmallCluster cluster;
    CHECK(ask(cluster, "GET", "/other/").status == 404);
    CHECK(ask(cluster, "GET", "/q/", {}, "elsewhere").status == 404);
    CHECK(ask(cluster, "POST", "/q/short", oneTask).status == 400);
    CHECK(ask(cluster, "PUT", "/q/" + jobId(1), oneTask).status == 405);
    for (const char* body : { "", "{", "[]", R"({"steps":[]})", R"({"steps":[{"count":1,"depends_on":[0]}]})", R"({"steps":[{"count":0}]})" }) {
        const HttpResponse answer = ask(cluster, "POST", "/q/" + jobId(1), body);
        CHECK(answer.status == 400);
        CHECK(answer.body.find("reason") != std::string::npos);
    }
    CHECK(ask(cluster, "POST", "/q/" + jobId(1), oneTask).status == 200);
}

TEST_CASE("A refusal is sent at once with a Retry-After header, and the refused job never runs")
{
    SmallCluster cluster;
    cluster.store.faults.refusing = true;
    const HttpResponse refused = ask(cluster, "POST", "/q/" + jobId(1), oneTask);
    CHECK(refused.status == 503);
    CHECK(refused.headers.find("Retry-After").has_value());
    cluster.store.faults = {};
    cluster.clock.runFor(Millis(5'000));
    CHECK(cluster.checker.starts() == 0);
    CHECK(ask(cluster, "GET", "/q/" + jobId(1)).status == 410);
}

TEST_CASE("A job whose write to the store has an unknown outcome is answered as unknown, and may be sent again")
{
    SmallCluster cluster;
    cluster.store.faults.lateWrites = 1.0;
    CHECK(ask(cluster, "POST", "/q/" + jobId(1), oneTask).status == 504);
    cluster.store.faults = {};
    CHECK(ask(cluster, "POST", "/q/" + jobId(1), oneTask, "h", 1).status == 200);
    REQUIRE(cluster.waitFor(Millis(10'000), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded); }));
    CHECK(cluster.checker.starts() == 1);
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("An entry without a configuration or partitioned from the store reports that it is not ready")
{
    SmallCluster cluster;
    CHECK(cluster.entry(0).isReady());
    cluster.cutFromStore(0, true);
    CHECK(cluster.waitFor(Millis(4'000), [&] { return !cluster.entry(0).isReady(); }));
    CHECK(cluster.entry(1).isReady());
    cluster.cutFromStore(0, false);
    CHECK(cluster.waitFor(Millis(3'000), [&] { return cluster.entry(0).isReady(); }));
}

TEST_CASE("An instance whose calls to the store are lost refuses jobs with a known outcome, and reports that it is not ready")
{
    // An incident on tellelag-drift: for seconds, an instance whose connections to the store were reset
    // answered each job with "unknown" within 20 ms, 305 times.
    SmallCluster cluster;
    const std::size_t entry = (cluster.owner().value() + 1) % cluster.entries();
    cluster.resetStoreCalls(entry, true);
    std::map<AcceptOutcome, int> outcomes;
    for (std::uint64_t number = 1; number <= 20; ++number) {
        cluster.entry(entry).submit("work", jobId(number), job({ step(1) }), [&](AcceptOutcome outcome) { ++outcomes[outcome]; });
        cluster.clock.runFor(Millis(100));
    }
    CHECK(outcomes[AcceptOutcome::Unknown] <= 4);
    CHECK(outcomes[AcceptOutcome::NotAccepted] >= 16);
    CHECK_FALSE(cluster.entry(entry).isReady());
    CHECK(cluster.checker.starts() == 0);
    cluster.resetStoreCalls(entry, false);
    CHECK(cluster.waitFor(Millis(3'000), [&] { return cluster.entry(entry).isReady(); }));
    cluster.submit(entry, "work", jobId(30), job({ step(1) }));
    CHECK(cluster.waitFor(Millis(100), [&] { return cluster.accepted().contains(jobId(30)); }));
}

TEST_CASE("A job whose outcome is unknown is not reported as not taken when it is sent again")
{
    // The first write of the job may still be applied later.
    SmallCluster cluster;
    const std::size_t entry = (cluster.owner().value() + 1) % cluster.entries();
    cluster.resetStoreCalls(entry, true);
    std::vector<AcceptOutcome> outcomes;
    const auto send = [&](std::uint64_t number) { cluster.entry(entry).submit("work", jobId(number), job({ step(1) }), [&](AcceptOutcome outcome) { outcomes.push_back(outcome); }); };
    send(1);
    send(1);
    cluster.clock.runFor(Millis(50));
    send(1);
    send(2);
    cluster.clock.runFor(Millis(50));
    const std::vector<AcceptOutcome> expected { AcceptOutcome::Unknown, AcceptOutcome::Unknown, AcceptOutcome::Unknown, AcceptOutcome::NotAccepted };
    CHECK(outcomes == expected);
    // The store itself refuses both; the outcome of the first job is still unknown.
    cluster.resetStoreCalls(entry, false);
    cluster.clock.runFor(Millis(1'500));
    cluster.store.faults.refusing = true;
    outcomes.clear();
    send(1);
    send(3);
    cluster.clock.runFor(Millis(50));
    CHECK(outcomes == std::vector<AcceptOutcome> { AcceptOutcome::Unknown, AcceptOutcome::NotAccepted });
}

TEST_CASE("A planned stop hands the ownership over at once, and serves callers until they use other instances")
{
    SmallCluster cluster;
    cluster.workers.runTimes = [](const Attempt&) { return Millis(3'000); };
    CHECK(ask(cluster, "POST", "/q/" + jobId(1), oneTask).status == 200);
    cluster.clock.runFor(Millis(500));
    const std::size_t owner = cluster.owner().value();
    bool stopped = false;
    cluster.entry(owner).stop([&] { stopped = true; });
    CHECK_FALSE(cluster.entry(owner).isReady());
    CHECK(cluster.waitFor(Millis(500), [&] { return cluster.owner().has_value() && cluster.owner() != owner; }));
    // In rolling restarts the balancer sent callers to a closed port for 2 s.
    cluster.clock.runFor(Millis(1'800));
    CHECK_FALSE(stopped);
    cluster.submit(owner, "work", jobId(2), job({ step(1) }));
    CHECK(cluster.waitFor(Millis(100), [&] { return cluster.accepted().contains(jobId(2)); }));
    CHECK(cluster.waitFor(Millis(1'000), [&] { return stopped; }));
    const std::size_t next = cluster.owner().value_or(owner);
    CHECK(cluster.waitFor(Millis(5'000), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded, next); }));
    CHECK(cluster.checker.starts() == 2);
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("Metrics show the answers to callers and the owner")
{
    SmallCluster cluster;
    CHECK(ask(cluster, "POST", "/q/" + jobId(1), oneTask).status == 200);
    cluster.clock.runFor(Millis(2'000));
    const std::string text = cluster.entry(0).metrics();
    CHECK(text.find("lanemoor_jobs_handed_in_total{outcome=\"accepted\",queue=\"work\"} 1") != std::string::npos);
    CHECK(text.find("lanemoor_job_hand_in_seconds_count{queue=\"work\"} 1") != std::string::npos);
    const std::string owner = cluster.entry(cluster.owner().value()).metrics();
    CHECK(owner.find("lanemoor_owner 1") != std::string::npos);
    CHECK(owner.find("lanemoor_jobs_succeeded_total 1") != std::string::npos);
}
