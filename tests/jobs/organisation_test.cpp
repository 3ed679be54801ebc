/// Organisations: API keys, ownership of jobs, quotas and rates.

#include "lanemoor/jobs/intake/caller_access.h"
#include "lanemoor/jobs/model/organisation.h"
#include "lanemoor/jobs/owner/fleet_controller.h"
#include "lanemoor/jobs/policy/organisation_use.h"
#include "lanemoor/jobs/relay/relayed_workers.h"
#include "lanemoor/jobs/service/job_metrics.h"
#include "platform/adapters.h"
#include "platform/wire.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr const char* oneTaskJob = R"({"spec":"x","steps":[{"count":1,"cpu":100}]})";

/// \returns A configuration with two organisations, the queue `work` that requires a key and the public queue `open`.
ServiceConfiguration withOrganisations(std::uint64_t version = 2, const std::string& northKey = "north-key", Resources northQuota = {})
{
    ServiceConfiguration configuration = smallConfiguration(version);
    QueueSettings open = configuration.queues.front();
    open.name = "open";
    open.pathPrefix = "/open/";
    open.isPublic = true;
    configuration.queues.push_back(open);
    std::vector<ApiKeyDigest> northKeys;
    if (!northKey.empty())
        northKeys.push_back(ApiKeyDigest::of(northKey));
    configuration.organisations = OrganisationTable({ { .name = "north", .keys = northKeys, .weight = 2, .quota = northQuota }, { .name = "south", .keys = { ApiKeyDigest::of("south-key"), ApiKeyDigest::of("south-other") }, .weight = 1 } });
    return configuration;
}

struct KeyedCluster : SmallCluster {
    explicit KeyedCluster(const ServiceConfiguration& configuration = withOrganisations(), std::size_t instances = 4, std::size_t reserve = 2)
        : SmallCluster(1, 3, instances, reserve)
    {
        applyConfiguration(configuration);
    }

    void applyConfiguration(const ServiceConfiguration& configuration)
    {
        configure(configuration);
        clock.runFor(Millis(1'500));
    }

    HttpResponse ask(const std::string& method, const std::string& target, const std::optional<std::string>& key, const std::string& body = {}, std::size_t index = 0)
    {
        HttpRequest request { .method = method, .target = target, .headers = {}, .body = body };
        request.headers.add("Host", "h:80");
        if (key)
            request.headers.add("Api-Key", *key);
        if (method == "POST")
            checker.noteSubmitted(target.substr(target.rfind('/') + 1), { .payload = "x", .steps = { step(1) } }, 3);
        std::optional<HttpResponse> answer;
        platform::makeJobApiHandler(entry(index))(request, [&](HttpResponse response) { answer = std::move(response); });
        REQUIRE(waitFor(Millis(3'000), [&] { return answer.has_value(); }));
        return *answer;
    }

    /// \returns Thousandths of a core that running tasks use on all workers.
    std::int64_t usedMilliCpu()
    {
        std::int64_t used = 0;
        for (const auto& [id, worker] : workers.workers()) {
            if (worker.alive)
                used += static_cast<std::int64_t>(worker.running.size()) * step(1).needs.milliCpu;
        }
        return used;
    }
};

} // namespace

TEST_CASE("Keys are found by digest among thousands and are not retained in plain text")
{
    std::vector<OrganisationSettings> many;
    for (int i = 0; i < 2'000; ++i)
        many.push_back({ .name = "o" + std::to_string(i), .keys = { ApiKeyDigest::of("key-" + std::to_string(i)) } });
    const OrganisationTable table(many);
    CHECK(table.findByKey(ApiKeyDigest::of("key-1234"))->name == "o1234");
    CHECK(table.findByKey(ApiKeyDigest::of("key-x")) == nullptr);
    CHECK(table.find("o7")->keys.front() == ApiKeyDigest::of("key-7"));
    CHECK(table.faults().empty());
    const ApiKeyDigest digest = ApiKeyDigest::of("key-1");
    CHECK(digest.fingerprint().size() == 8);
    CHECK(digest.fingerprint() != ApiKeyDigest::of("key-2").fingerprint());
    CHECK(std::string(reinterpret_cast<const char*>(&digest), sizeof(digest)).find("key-1") == std::string::npos);
}

TEST_CASE("All faults of a list of organisations are reported at once")
{
    const OrganisationTable table({ { .name = "a", .keys = { ApiKeyDigest::of("k") } }, { .name = "a" }, { .name = "b", .keys = { ApiKeyDigest::of("k") } }, { .name = "", .weight = -1, .quota = { .milliCpu = -5 } } });
    const std::vector<OrganisationFault> expected { { OrganisationFaultCode::DuplicateName, "a" }, { OrganisationFaultCode::DuplicateKey, "b" }, { OrganisationFaultCode::NoName, "" }, { OrganisationFaultCode::NegativeQuota, "" },
        { OrganisationFaultCode::NegativeWeight, "" } };
    CHECK(table.faults() == expected);
    CHECK(table.findByKey(ApiKeyDigest::of("k"))->name == "a");
}

TEST_CASE("Organisations and public queues are read from the platform's configuration")
{
    const auto configuration = platform::readConfiguration(R"({"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/p/","service":"s","public":true},{"name":"t","host":"h","path_prefix":"/t/","service":"s"}],
        "tenants":[{"name":"n","api_keys":["one","two"],"priority":1,"weight":154,"max_items":{"cpu":5000,"mem_mb":100}},{"name":"m","weight":"x","api_keys":7}]})");
    REQUIRE(configuration);
    CHECK(configuration->queues[0].isPublic);
    CHECK_FALSE(configuration->queues[1].isPublic);
    const OrganisationSettings* organisation = configuration->organisations.findByKey(ApiKeyDigest::of("two"));
    REQUIRE(organisation);
    CHECK(organisation->name == "n");
    CHECK(organisation->weight == 154);
    CHECK(organisation->quota == Resources { .milliCpu = 5'000, .memoryMb = 100 });
    CHECK(configuration->organisations.find("m")->keys.empty());
    CHECK(platform::readConfiguration(R"({"version":3})")->organisations.empty());
}

TEST_CASE("A queue that is not public serves only callers with a configured key")
{
    KeyedCluster cluster;
    CHECK(cluster.ask("POST", "/q/" + jobId(1), std::nullopt, oneTaskJob).status == 401);
    CHECK(cluster.ask("POST", "/q/" + jobId(1), "north-kex", oneTaskJob).status == 401);
    CHECK(cluster.ask("POST", "/q/" + jobId(1), "", oneTaskJob).status == 401);
    CHECK(cluster.ask("GET", "/q/", std::nullopt).status == 401);
    CHECK(cluster.ask("GET", "/q/" + jobId(1), "x").status == 401);
    CHECK(cluster.ask("DELETE", "/q/" + jobId(1), "x").status == 401);
    CHECK(cluster.ask("GET", "/none/", "x").status == 404);
    cluster.clock.runFor(Millis(3'000));
    CHECK(cluster.checker.starts() == 0);
    CHECK(cluster.ask("POST", "/q/" + jobId(1), "north-key", oneTaskJob).status == 200);
    CHECK(cluster.ask("GET", "/q/", "south-other").status == 200);
    CHECK(cluster.ask("POST", "/open/" + jobId(2), std::nullopt, oneTaskJob).status == 200);
    CHECK(cluster.ask("GET", "/open/" + jobId(2), "anything").status == 200);
    CHECK(cluster.entry(0).metrics().find("lanemoor_callers_refused_total{reason=\"unknown-key\"}") != std::string::npos);
}

TEST_CASE("Callers of other organisations can neither see nor cancel a job")
{
    KeyedCluster cluster;
    cluster.workers.runTimes = [](const Attempt&) { return Millis(60'000); };
    REQUIRE(cluster.ask("POST", "/q/" + jobId(1), "north-key", oneTaskJob).status == 200);
    for (std::size_t entry = 0; entry < cluster.entries(); ++entry) {
        CHECK(cluster.ask("GET", "/q/" + jobId(1), "south-key", {}, entry).status == 403);
        CHECK(cluster.ask("DELETE", "/q/" + jobId(1), "south-key", {}, entry).status == 403);
        CHECK(cluster.ask("POST", "/q/" + jobId(1), "south-key", oneTaskJob, entry).status == 403);
        CHECK(cluster.ask("GET", "/open/" + jobId(1), std::nullopt, {}, entry).status == 403);
        CHECK(cluster.ask("GET", "/q/" + jobId(1), "north-key", {}, entry).status == 200);
    }
    CHECK(cluster.ask("GET", "/q/" + jobId(1), "south-key").body.find("state") == std::string::npos);
    CHECK(cluster.ask("DELETE", "/q/" + jobId(1), "north-key").status == 200);
}

TEST_CASE("Two organisations that submit the same id at once create one job")
{
    KeyedCluster cluster;
    std::vector<AcceptOutcome> outcomes;
    for (std::size_t entry = 0; entry < 2; ++entry) {
        const Caller caller { .queue = "work", .organisation = entry == 0 ? "north" : "south" };
        cluster.checker.noteSubmitted(jobId(1), job({ step(1) }), 3);
        cluster.entry(entry).submit(caller, jobId(1), job({ step(1) }), [&](AcceptOutcome outcome) { outcomes.push_back(outcome); });
    }
    cluster.clock.runFor(Millis(1'000));
    std::sort(outcomes.begin(), outcomes.end());
    CHECK(outcomes == std::vector<AcceptOutcome> { AcceptOutcome::Accepted, AcceptOutcome::Foreign });
}

TEST_CASE("An accepted job keeps running when its key and then its organisation are removed")
{
    KeyedCluster cluster;
    cluster.workers.runTimes = [](const Attempt&) { return Millis(4'000); };
    REQUIRE(cluster.ask("POST", "/q/" + jobId(1), "north-key", oneTaskJob).status == 200);
    cluster.applyConfiguration(withOrganisations(3, {}));
    CHECK(cluster.ask("GET", "/q/" + jobId(1), "north-key").status == 401);
    ServiceConfiguration without = withOrganisations(4);
    without.organisations = OrganisationTable({ { .name = "south", .keys = { ApiKeyDigest::of("south-key") } } });
    cluster.applyConfiguration(without);
    REQUIRE(cluster.waitFor(Millis(10'000), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded); }));
    CHECK(cluster.checker.starts() == 1);
    CHECK(cluster.ask("GET", "/q/" + jobId(1), "south-key").status == 403);
}

TEST_CASE("Added keys work and removed keys stop working while watches deliver nothing")
{
    KeyedCluster cluster;
    for (std::size_t entry = 0; entry < cluster.entries(); ++entry)
        cluster.cutWatches(entry, true);
    cluster.applyConfiguration(withOrganisations(3, "north-new"));
    for (std::size_t entry = 0; entry < cluster.entries(); ++entry) {
        CHECK(cluster.ask("GET", "/q/", "north-new", {}, entry).status == 200);
        CHECK(cluster.ask("GET", "/q/", "north-key", {}, entry).status == 401);
    }
}

TEST_CASE("An instance that can't confirm its configuration answers 503 instead of accepting or rejecting a key")
{
    KeyedCluster cluster;
    cluster.cutFromStore(1, true);
    cluster.clock.runFor(Millis(4'000));
    const HttpResponse refused = cluster.ask("GET", "/q/", "perhaps-new", {}, 1);
    CHECK(refused.status == 503);
    CHECK(refused.headers.find("Retry-After").has_value());
    CHECK(cluster.ask("GET", "/perhaps-new/", "north-key", {}, 1).status == 503);
    // The key and the queue may have been removed meanwhile.
    CHECK(cluster.ask("GET", "/q/", "north-key", {}, 1).status == 503);
    cluster.cutFromStore(1, false);
    CHECK(cluster.waitFor(Millis(5'000), [&] { return cluster.ask("GET", "/q/", "perhaps-new", {}, 1).status == 401; }));
}

TEST_CASE("An organisation's running tasks stay within its quota, also across a change of owner")
{
    // Four instances of eight cores; the quota allows five tasks of one core.
    KeyedCluster cluster(withOrganisations(2, "north-key", { .milliCpu = 5'000 }));
    cluster.workers.runTimes = [](const Attempt&) { return Millis(3'000); };
    cluster.checker.noteQuota("north", { .milliCpu = 5'000 });
    for (std::uint64_t number = 1; number <= 4; ++number)
        cluster.submit(0, "work", jobId(number), job({ step(4) }), "north");
    cluster.submit(0, "work", jobId(9), job({ step(4) }), "south");
    cluster.clock.runFor(Millis(1'500));
    CHECK(cluster.usedMilliCpu() == 9'000);
    cluster.kill(cluster.owner().value());
    for (std::uint64_t number = 11; number <= 14; ++number)
        cluster.submit(cluster.isUp(0) ? 0 : 1, "work", jobId(number), job({ step(2) }), "north");
    REQUIRE(cluster.waitFor(Millis(40'000), [&] {
        const std::size_t up = cluster.isUp(0) ? 0 : 1;
        return cluster.shows(jobId(14), JobStatus::Succeeded, up) && cluster.shows(jobId(4), JobStatus::Succeeded, up);
    }));
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("Attempts at workers that a new owner has not contacted count towards the quota")
{
    KeyedCluster cluster(withOrganisations(2, "north-key", { .milliCpu = 5'000 }));
    cluster.workers.runTimes = [](const Attempt&) { return Millis(20'000); };
    cluster.checker.noteQuota("north", { .milliCpu = 5'000 });
    cluster.submit(0, "work", jobId(1), job({ step(4) }), "north");
    cluster.clock.runFor(Millis(1'500));
    REQUIRE(cluster.usedMilliCpu() == 4'000);
    for (auto& [id, worker] : cluster.workers.workers())
        worker.faults.partitioned = worker.faults.partitioned || !worker.running.empty();
    cluster.kill(cluster.owner().value());
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.owner() && cluster.isUp(*cluster.owner()); }));
    cluster.clock.runFor(Millis(300));
    cluster.submit(*cluster.owner(), "work", jobId(2), job({ step(4) }), "north");
    cluster.submit(*cluster.owner(), "work", jobId(3), job({ step(2) }), "south");
    cluster.clock.runFor(Millis(1'000));
    CHECK(cluster.checker.starts() == 4 + 1 + 2); // One more task of north fits its quota; both tasks of south start.
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("A task that is larger than the quota runs when nothing else of its organisation does")
{
    KeyedCluster cluster(withOrganisations(2, "north-key", { .milliCpu = 500 }));
    cluster.submit(0, "work", jobId(1), job({ step(3) }), "north");
    REQUIRE(cluster.waitFor(Millis(20'000), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded); }));
}

TEST_CASE("A gang starts whole within its organisation's quota, or waits")
{
    KeyedCluster cluster(withOrganisations(2, "north-key", { .milliCpu = 4'000 }));
    cluster.workers.runTimes = [](const Attempt&) { return Millis(3'000); };
    cluster.checker.noteQuota("north", { .milliCpu = 4'000 });
    StepSpec gang = step(3);
    gang.gang = true;
    cluster.submit(0, "work", jobId(1), job({ step(2) }), "north");
    cluster.clock.runFor(Millis(500));
    cluster.submit(0, "work", jobId(2), job({ gang }), "north");
    cluster.clock.runFor(Millis(1'000));
    CHECK(cluster.usedMilliCpu() == 2'000);
    REQUIRE(cluster.waitFor(Millis(20'000), [&] { return cluster.shows(jobId(2), JobStatus::Succeeded); }));
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("Lowering a quota ends no running task and delays new ones")
{
    KeyedCluster cluster(withOrganisations(2, "north-key", { .milliCpu = 6'000 }));
    cluster.workers.runTimes = [](const Attempt&) { return Millis(5'000); };
    cluster.submit(0, "work", jobId(1), job({ step(6) }), "north");
    cluster.clock.runFor(Millis(500));
    CHECK(cluster.usedMilliCpu() == 6'000);
    cluster.applyConfiguration(withOrganisations(3, "north-key", { .milliCpu = 1'000 }));
    cluster.submit(0, "work", jobId(2), job({ step(2) }), "north");
    cluster.clock.runFor(Millis(500));
    CHECK(cluster.usedMilliCpu() == 6'000);
    REQUIRE(cluster.waitFor(Millis(40'000), [&] { return cluster.shows(jobId(2), JobStatus::Succeeded); }));
    CHECK(cluster.checker.starts() == 8);
}

TEST_CASE("Work held back by a quota does not enlarge its pool, and operators see why it waits")
{
    // Two tasks fit the quota; eighteen more must not make the pool larger.
    std::map<std::uint32_t, std::size_t> instances;
    for (const std::uint32_t tasks : { 2U, 20U }) {
        KeyedCluster cluster(withOrganisations(2, "north-key", { .milliCpu = 2'000 }), 1);
        cluster.workers.runTimes = [](const Attempt&) { return Millis(30'000); };
        cluster.submit(0, "work", jobId(1), job({ step(tasks) }), "north");
        for (int tenth = 0; tenth < 80; ++tenth) {
            cluster.clock.runFor(Millis(100));
            std::size_t inPool = 0;
            for (const auto& [id, instance] : cluster.workers.instances())
                inPool += instance.pool == "main" ? 1 : 0;
            instances[tasks] = std::max(instances[tasks], inPool);
        }
        if (tasks == 2)
            continue;
        const OrganisationsReport report = cluster.entry(cluster.owner().value()).organisations();
        REQUIRE(report.organisations.size() == 2);
        CHECK(report.organisations[0].used.milliCpu == 2'000);
        CHECK(report.organisations[0].heldTasks == 18);
        CHECK(cluster.entry(cluster.owner().value()).job(jobId(1))->steps[0].wait->heldByQuotaOf == "north");
    }
    CHECK(instances[2] == instances[20]);
}

TEST_CASE("Jobs within an organisation's rate are distinguished from those beyond it")
{
    RateMeter meter;
    const MonotonicInstant begin { std::chrono::seconds(100) };
    int within = 0;
    for (int i = 0; i < 50; ++i)
        within += meter.tryConsume(10, begin + Millis(i)) ? 1 : 0;
    CHECK(within == 10);
    CHECK(meter.tryConsume(10, begin + Millis(200)));
    RateMeter rare;
    CHECK(rare.tryConsume(0.2, begin));
    CHECK_FALSE(rare.tryConsume(0.2, begin + Millis(1'000)));
    CHECK(rare.tryConsume(0.2, begin + Millis(6'000)));
    CHECK(RateMeter().tryConsume(0, begin));
}

TEST_CASE("A quota allows what fits, and one larger task only to organisations that use little of it")
{
    OrganisationAccount account;
    account.used = { .milliCpu = 600 };
    CHECK(fitsQuota(account, { .milliCpu = 1'000 }, { .milliCpu = 400 }, 1));
    CHECK_FALSE(fitsQuota(account, { .milliCpu = 1'000 }, { .milliCpu = 401 }, 1));
    account.used = { .milliCpu = 400 };
    CHECK(fitsQuota(account, { .milliCpu = 1'000 }, { .milliCpu = 900 }, 1));
    CHECK_FALSE(fitsQuota(account, { .milliCpu = 1'000 }, { .milliCpu = 601 }, 2));
    account.unseen = { .milliCpu = 300 };
    CHECK_FALSE(fitsQuota(account, { .milliCpu = 1'000 }, { .milliCpu = 400 }, 1));
    CHECK(fitsQuota(account, {}, { .milliCpu = 99'999, .memoryMb = 5, .accelerators = 1 }, 100));
    CHECK_FALSE(fitsQuota({ .used = { .accelerators = 2 } }, { .accelerators = 2 }, { .accelerators = 1 }, 1));
}

TEST_CASE("Jobs beyond an organisation's rate do not displace jobs of others within their rates")
{
    // One instance of eight cores; north submits 60 jobs at once at a rate of two a second.
    ServiceConfiguration configuration = withOrganisations();
    KeyedCluster cluster(configuration, 1, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(500); };
    for (std::uint64_t number = 1; number <= 60; ++number)
        cluster.submit(0, "work", jobId(number), job({ step(4) }), "north");
    cluster.clock.runFor(Millis(100));
    cluster.submit(0, "work", jobId(99), job({ step(4) }), "south");
    REQUIRE(cluster.waitFor(Millis(100), [&] { return cluster.accepted().contains(jobId(99)); }));
    // The job starts when the first two jobs end, after half a second, and takes half a second itself.
    CHECK(cluster.waitFor(Millis(1'400), [&] { return cluster.shows(jobId(99), JobStatus::Succeeded, cluster.owner().value()); }));
    CHECK(cluster.entry(cluster.owner().value()).organisations().organisations[0].beyondRate >= 50);
}

TEST_CASE("The owner's metrics show the use of organisations in a bounded number of lines")
{
    KeyedCluster cluster;
    REQUIRE(cluster.ask("POST", "/q/" + jobId(1), "north-key", oneTaskJob).status == 200);
    cluster.clock.runFor(Millis(300));
    CHECK(cluster.entry(*cluster.owner()).metrics().find("lanemoor_organisation_cores_used{organisation=\"north\"} 0.1") != std::string::npos);
    MetricsReading reading;
    constexpr int many = 300;
    for (int i = 0; i < many; ++i)
        reading.organisations.push_back({ .name = "o" + std::to_string(i), .used = { .milliCpu = 1'000 } });
    const std::string text = JobMetrics().text(reading, {}, {}, {});
    CHECK(text.find("lanemoor_organisation_cores_used{organisation=\"o255\"} 1") != std::string::npos);
    CHECK(text.find("organisation=\"o256\"") == std::string::npos);
    CHECK(text.find("lanemoor_organisation_cores_used{organisation=\"(others)\"} 44") != std::string::npos);
}

TEST_CASE("Submission, lookup and cancellation apply the same access check to an id")
{
    KeyedCluster cluster;
    REQUIRE(cluster.ask("POST", "/q/" + jobId(1), "north-key", oneTaskJob).status == 200);
    cluster.clock.runFor(Millis(100));
    // Callers of another queue without a key have no access to the job.
    CHECK(cluster.ask("POST", "/open/" + jobId(1), std::nullopt, oneTaskJob).status == 403);
    CHECK(cluster.ask("GET", "/open/" + jobId(1), std::nullopt).status == 403);
    CHECK(cluster.ask("DELETE", "/open/" + jobId(1), std::nullopt).status == 403);
    REQUIRE(cluster.ask("POST", "/open/" + jobId(2), "north-key", oneTaskJob).status == 200);
    cluster.clock.runFor(Millis(100));
    CHECK(cluster.ask("POST", "/open/" + jobId(2), std::nullopt, oneTaskJob).status == 200);
    CHECK(cluster.ask("GET", "/open/" + jobId(2), std::nullopt).status == 200);
}
