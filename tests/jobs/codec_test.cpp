/// Codecs of store records, and the reader of the job service's settings.

#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/service/job_service_settings.h"
#include "support.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <limits>
#include <rapidcheck.h>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

StepSpec anyStep(std::uint32_t index)
{
    StepSpec step;
    step.count = *rc::gen::inRange(1U, 50U);
    step.needs = { .milliCpu = *rc::gen::inRange(0, 64'000), .memoryMb = *rc::gen::inRange(0, 100'000), .accelerators = *rc::gen::inRange(0, 8) };
    step.estimate = Millis(*rc::gen::inRange(0, 100'000));
    if (index > 0)
        step.dependsOn = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, index));
    step.checkpointing = *rc::gen::arbitrary<bool>();
    step.gang = *rc::gen::arbitrary<bool>();
    step.sameRack = *rc::gen::arbitrary<bool>();
    step.requiredLabel = *rc::gen::arbitrary<std::string>();
    step.preferredRack = *rc::gen::arbitrary<std::string>();
    step.maxPerInstance = *rc::gen::inRange(0U, 9U);
    step.speculative = *rc::gen::arbitrary<bool>();
    step.longRunning = *rc::gen::arbitrary<bool>();
    step.image = "image";
    step.latencyTarget = Millis(*rc::gen::inRange(0, 500));
    step.bestEffort = *rc::gen::arbitrary<bool>();
    step.disruptionBudget = *rc::gen::inRange(0U, 9U);
    return step;
}

std::optional<JobPolicy> anyPolicy()
{
    if (*rc::gen::inRange(0, 4) == 0)
        return std::nullopt;
    JobPolicy policy { .version = *rc::gen::arbitrary<std::uint64_t>(), .priority = *rc::gen::inRange(0U, 9U), .maxAttempts = *rc::gen::inRange(1U, 9U), .stretch = *rc::gen::inRange(1, 40) / 8.0, .latencyTarget = Millis(*rc::gen::inRange(0, 9'000)), .advice = std::nullopt };
    if (*rc::gen::arbitrary<bool>())
        policy.advice = AdvicePolicy { .decisionTime = Millis(*rc::gen::inRange(0, 50)), .timePerWorker = Millis(*rc::gen::inRange(0, 9)), .validity = Millis(*rc::gen::inRange(0, 9'000)) };
    return policy;
}

} // namespace

TEST_CASE("The policy in a progress record is unchanged by encoding and decoding")
{
    REQUIRE(rc::check([] {
        const ProgressRecord record { .status = JobStatus::Running, .succeeded = {}, .tasks = {}, .policy = anyPolicy() };
        RC_ASSERT(decodeProgress(encode(record)) == record);
    }));
}

TEST_CASE("A record whose policy is out of range is unreadable")
{
    JobRecord record { .queue = "q", .pool = "p", .acceptedAt = {}, .spec = job({ step(1) }) };
    record.policy = JobPolicy { .stretch = GENERATE(-1.0, 1e300, std::numeric_limits<double>::quiet_NaN()) };
    CHECK_FALSE(decodeJob(encode(record)).has_value());
    CHECK_FALSE(decodeProgress(encode(ProgressRecord { .succeeded = {}, .tasks = {}, .policy = record.policy })).has_value());
}

TEST_CASE("Job records are unchanged by encoding and decoding")
{
    REQUIRE(rc::check([] {
        JobRecord record { .queue = "q", .pool = "p", .acceptedAt = Instant(Millis(*rc::gen::inRange(0, 1'000'000))), .spec = {} };
        record.organisation = *rc::gen::arbitrary<std::string>();
        record.spec.payload = std::string(*rc::gen::inRange(0U, 4'000U), 'x');
        const std::uint32_t steps = *rc::gen::inRange(1U, 5U);
        for (std::uint32_t i = 0; i < steps; ++i)
            record.spec.steps.push_back(anyStep(i));
        record.spec.occurrences = *rc::gen::inRange(0U, 5U);
        record.spec.interval = Millis(*rc::gen::inRange(0, 5'000));
        record.policy = anyPolicy();
        RC_ASSERT(decodeJob(encode(record)) == record);
    }));
}

TEST_CASE("Decoders return nothing for unreadable bytes")
{
    CHECK_FALSE(decodeJob("").has_value());
    REQUIRE(rc::check([](const std::string& bytes) {
        static_cast<void>(decodeJob(bytes));
        static_cast<void>(decodeProgress(bytes));
        static_cast<void>(decodeOwner(bytes));
    }));
    CHECK(decodeOwner(encode(OwnerRecord { "me", 4 })) == OwnerRecord { "me", 4 });
}

TEST_CASE("All faults in job service settings are reported with their positions")
{
    const std::string good = R"({"name":"e","dataHall":"h","jobService":{"front":"10.0.0.1:1","readiness":"10.0.0.1:2","store":"10.0.0.2:3","fleet":"10.0.0.3:4","advisor":"","fleetActsPerSecond":64.5,"survivedDataHalls":1,
        "times":{"leastLeaseMs":2500,"configurationApplyMs":3000,"evacuationMs":5000,"restoreMs":700,"configurationTrustMs":5000,"handoverMs":3000,"maintenanceSeconds":2,"moveSeconds":1.5}}})";
    JobServiceSettingsReader reader;
    const auto settings = reader.read(good);
    REQUIRE(settings);
    CHECK(settings->front.port == 1);
    CHECK(settings->moveTime == Millis(1'500));
    CHECK(settings->ownershipTime == Millis(2'500)); // The store grants no shorter lease.
    CHECK(settings->configurationTrust == Millis(5'000));
    CHECK(settings->configurationApplyTime == Millis(3'000));
    CHECK(settings->fleetActsPerSecond == Approx(64.5));
    CHECK(settings->evacuationTime == Millis(5'000));
    CHECK(settings->survivedDataHalls == 1);
    CHECK(settings->policies.placement.spreadsOverHalls);
    CHECK(settings->restoreTime == Millis(700));
    CHECK_FALSE(settings->peers.has_value());
    CHECK_FALSE(settings->advisor.has_value());
    CHECK(isJobServiceSettings(good));
    CHECK_FALSE(isJobServiceSettings("{}"));
    const std::string bad = "{\"name\":\"e\",\n\"jobService\":{\"front\":\"x\",\"store\":7,\n\"odd\":1,\"times\":{\"ownershipMs\":5}}}";
    CHECK_FALSE(reader.read(bad).has_value());
    std::vector<std::string> fields;
    for (const DocumentFault& fault : reader.faults())
        fields.push_back(fault.field);
    for (const char* field : { "/dataHall", "/jobService/front", "/jobService/readiness", "/jobService/store", "/jobService/fleet", "/jobService/odd", "/jobService/times/ownershipMs" })
        CHECK(std::find(fields.begin(), fields.end(), field) != fields.end());
    CHECK(reader.faults().front().position.line >= 1);
}

TEST_CASE("Settings of relays are read and checked")
{
    const auto with = [](const std::string& more) {
        return R"({"name":"e","dataHall":"h","jobService":{"front":"10.0.0.1:1","readiness":"10.0.0.1:2","store":"10.0.0.2:3","fleet":"10.0.0.3:4",)" + more + "}}";
    };
    JobServiceSettingsReader reader;
    const auto settings = reader.read(with(R"("peers":"10.0.0.1:7060","policies":{"relay":{"workersPerCore":0,"shrinkAt":2}})"));
    REQUIRE(settings);
    CHECK(settings->peers == HttpAddress { "10.0.0.1", 7'060 });
    CHECK(settings->policies.relay == RelayOptions { .workersPerCore = 0, .shrinkAt = 2 });
    CHECK_FALSE(reader.read(with(R"("peers":"nowhere")")).has_value());
    CHECK_FALSE(reader.read(with(R"("policies":{"relay":{"shrinkAt":0.5}})")).has_value());
}

TEST_CASE("Settings of failure domains are read and checked, and switched off as a whole")
{
    const auto with = [](const std::string& more) {
        return R"({"name":"e","dataHall":"h","jobService":{"front":"10.0.0.1:1","readiness":"10.0.0.1:2","store":"10.0.0.2:3","fleet":"10.0.0.3:4","survivedDataHalls":1,)" + more + "}}";
    };
    JobServiceSettingsReader reader;
    const auto settings = reader.read(with(R"("policies":{"failureDomains":{"enabled":false,"lossWindowMs":900,"leastStopped":5,"lostShare":0.6,"returnStepMs":100,"returnShare":0.5}})"));
    REQUIRE(settings);
    const FailureDomainOptions expected { .enabled = false, .lossWindow = Millis(900), .minStopped = 5, .lostShare = 0.6, .returnStep = Millis(100), .returnShare = 0.5 };
    CHECK(settings->policies.failureDomains == expected);
    CHECK_FALSE(settings->policies.placement.spreadsOverHalls);
    CHECK_FALSE(reader.read(with(R"("policies":{"failureDomains":{"lostShare":1.5}})")).has_value());
    REQUIRE(reader.faults().size() == 1);
    CHECK(reader.faults().front().field == "/jobService/policies/failureDomains/lostShare");
    CHECK_FALSE(reader.read(with(R"("times":{"evacuationMs":-1})")).has_value());
}

TEST_CASE("Worker health settings are read, and contradictions are faults")
{
    const auto with = [](const std::string& health) {
        return R"({"name":"e","dataHall":"h","jobService":{"front":"10.0.0.1:1","readiness":"10.0.0.1:2","store":"10.0.0.2:3","fleet":"10.0.0.3:4","policies":{"workerHealth":)" + health + "}}}";
    };
    JobServiceSettingsReader reader;
    const auto settings = reader.read(with(R"({"enabled":false,"mostOfPool":0.1,"mostOfDomain":0.4,"firstBackoffMs":1000,"longestBackoffMs":8000,"lateFactor":6})"));
    REQUIRE(settings);
    CHECK(settings->policies.workerHealth == WorkerHealthOptions { .enabled = false, .maxShareOfPool = 0.1, .maxShareOfDomain = 0.4, .firstBackoff = Millis(1'000), .maxBackoff = Millis(8'000), .lateFactor = 6 });
    CHECK_FALSE(reader.read(with(R"({"mostOfPool":1.5})")).has_value());
    CHECK_FALSE(reader.read(with(R"({"firstBackoffMs":3000,"longestBackoffMs":2000})")).has_value());
    REQUIRE(reader.faults().size() == 1);
    CHECK(reader.faults().front().position.line == 1);
}

TEST_CASE("Settings of reachability are read and checked")
{
    const auto with = [](const std::string& reachability) {
        return R"({"name":"e","dataHall":"h","jobService":{"front":"10.0.0.1:1","readiness":"10.0.0.1:2","store":"10.0.0.2:3","fleet":"10.0.0.3:4","policies":{"reachability":)" + reachability + "}}}";
    };
    JobServiceSettingsReader reader;
    const auto settings = reader.read(with(R"({"enabled":false,"workersToDoubt":3,"firstRetryMs":100})"));
    REQUIRE(settings);
    CHECK(settings->policies.reachability == ReachabilityOptions { .enabled = false, .unansweredWorkersThreshold = 3, .firstRetry = Millis(100) });
    CHECK_FALSE(reader.read(with(R"({"workersToDoubt":1})")).has_value());
    CHECK_FALSE(reader.read(with(R"({"enabled":"no"})")).has_value());
    REQUIRE(reader.faults().size() == 1);
    CHECK(reader.faults().front().position.line == 1);
}

TEST_CASE("Limits on connections are read and checked")
{
    const auto with = [](const std::string& limits) {
        return R"({"name":"e","dataHall":"h","jobService":{"front":"10.0.0.1:1","readiness":"10.0.0.1:2","store":"10.0.0.2:3","fleet":"10.0.0.3:4","limits":{)" + limits + "}}}";
    };
    JobServiceSettingsReader reader;
    const auto settings = reader.read(with(R"("connections":20,"connectionBytes":2000000,"headerBytes":2048,"bodyBytes":4096,"responseBytes":8192,"peerLinks":60,"allResponsesBytes":3000000,"requestMs":500,"idleMs":600)"));
    REQUIRE(settings);
    const ConnectionLimits expected { .connections = 20, .connectionBytes = 2'000'000, .headerBytes = 2'048, .bodyBytes = 4'096, .responseBytes = 8'192, .peerLinks = 60, .allResponsesBytes = 3'000'000, .requestTime = Millis(500), .idleTime = Millis(600) };
    CHECK(settings->limits == expected);
    CHECK(reader.read(with(""))->limits == ConnectionLimits {});
    for (const char* bad : { R"("connections":0)", R"("connectionBytes":1000)", R"("headerBytes":10)", R"("bodyBytes":-1)", R"("requestMs":0)", R"("odd":1)" })
        CHECK_FALSE(reader.read(with(bad)).has_value());
}

TEST_CASE("Settings of store outages are read and checked")
{
    const auto with = [](const std::string& more) {
        return "{\"name\":\"e\",\"dataHall\":\"h\",\"jobService\":{\"front\":\"10.0.0.1:1\",\"readiness\":\"10.0.0.1:2\",\"store\":\"10.0.0.2:3\",\"fleet\":\"10.0.0.3:4\",\n\"policies\":{\"storeOutages\":{" + more + "}}}}";
    };
    JobServiceSettingsReader reader;
    const auto settings = reader.read(with(R"("enabled":false,"hedgeShare":0.2,"hedgeBurst":5,"returnSpreadMs":100)"));
    REQUIRE(settings);
    CHECK(settings->policies.storeOutages == StoreOutageOptions { .enabled = false, .hedgeShare = 0.2, .hedgeBurst = 5, .returnSpread = Millis(100) });
    CHECK(reader.read(with(""))->policies.storeOutages == StoreOutageOptions {});
    for (const char* bad : { R"("hedgeShare":1.5)", R"("hedgeBurst":-1)", R"("enabled":1)", R"("returnSpreadMs":"soon")", R"("odd":1)" }) {
        CHECK_FALSE(reader.read(with(bad)).has_value());
        CHECK(reader.faults().front().position.line == 2);
        CHECK(reader.faults().front().field.find("/jobService/policies/storeOutages/") == 0);
    }
}

TEST_CASE("The owner record contains the address for relays")
{
    const OwnerRecord owner { "entry-1", 7, "10.0.0.1:7060" };
    CHECK(decodeOwner(encode(owner)) == owner);
}

TEST_CASE("Ages of actions on instances are stored; without stored ages they are 0")
{
    const std::map<std::string, Millis> ages { { "m-1", Millis(0) }, { "m-2", Millis(3'700) } };
    CHECK(decodeActionAges(encodeActionAges(ages)) == ages);
    const std::map<std::string, Millis> zeroAges { { "m-1", Millis(0) } };
    CHECK(decodeActionAges(encode(std::set<std::string> { "m-1" })) == zeroAges);
    CHECK_FALSE(decodeActionAges("\xff\xff").has_value());
}
