/// The platform's messages in both directions, tested by examples.

#include "platform/json_shape.h"
#include "platform/wire.h"

#include <array>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace lanemoor;
using namespace lanemoor::jobs;
using nlohmann::json;

namespace {

HttpResponse answer(unsigned status, const std::string& body)
{
    return { .status = status, .headers = {}, .body = body };
}

const Attempt attempt { "00000000000000aa", { 2, 1, 17 }, 4 };

} // namespace

TEST_CASE("The depth and the number of values of a JSON text are found before it is parsed")
{
    CHECK(platform::shapeOf("") == platform::JsonShape {});
    CHECK(platform::shapeOf(R"({"a":[1,2,{"b":"x"}],"c":0})") == platform::JsonShape { .depth = 3, .values = 6 });
    CHECK(platform::shapeOf(R"({"text":"[[[{,,, \" \\"})") == platform::JsonShape { .depth = 1, .values = 1 });
    CHECK(platform::shapeOf(R"("no end [,)") == platform::JsonShape {});
    CHECK(platform::shapeOf("]]}[") == platform::JsonShape { .depth = 1, .values = 1 });
}

// Guards against a body of an allowed size that takes many times its size once it is parsed.
TEST_CASE("A job that is nested too deeply is malformed")
{
    const std::string deep = R"({"steps":[{"count":1}],"x":)" + std::string(50, '[') + std::string(50, ']') + '}';
    CHECK(std::get<JobFault>(platform::readJob(deep)) == JobFault::Malformed);
    CHECK(std::holds_alternative<JobSpec>(platform::readJob(R"({"steps":[{"count":1,"constraints":["a"]}],"x":[[[[]]]]})")));
}

TEST_CASE("A job with more steps than tasks are allowed has too many tasks")
{
    std::string steps = "{}";
    for (std::uint32_t step = 0; step < maxTasksPerJob; ++step)
        steps += ",{}";
    CHECK(std::get<JobFault>(platform::readJob("{\"steps\":[" + steps + "]}")) == JobFault::TooManyTasks);
}

TEST_CASE("A caller's job is decoded completely, and faults of invalid ones are distinguished")
{
    const auto read = platform::readJob(R"({"spec":"text","steps":[{"count":2,"cpu":500,"mem_mb":64,"est_ms":900,"affinity":"r1"},
        {"count":1,"gpus":1,"depends_on":[0],"checkpointing":true,"anti_affinity":1,"long_running":true,"target_ms":50,"may_miss":1,"fills":true}]})");
    REQUIRE(std::holds_alternative<JobSpec>(read));
    const JobSpec& job = std::get<JobSpec>(read);
    CHECK(job.payload == "text");
    CHECK(job.steps[0].needs == Resources { .milliCpu = 500, .memoryMb = 64 });
    CHECK(job.steps[0].preferredRack == "r1");
    CHECK(job.steps[1].needs.accelerators == 1);
    CHECK(job.steps[1].dependsOn == std::vector<std::uint32_t> { 0 });
    CHECK(job.steps[1].maxPerInstance == 1);
    CHECK(job.steps[1].disruptionBudget == 1);
    CHECK(job.steps[1].latencyTarget == Millis(50));
    CHECK((job.steps[1].checkpointing && job.steps[1].longRunning && job.steps[1].bestEffort));
    const auto faultOfText = [](const char* text) { return std::get<JobFault>(platform::readJob(text)); };
    CHECK(faultOfText("nonsense") == JobFault::Malformed);
    CHECK(faultOfText("[]") == JobFault::Malformed);
    CHECK(faultOfText(R"({"steps":[7]})") == JobFault::Malformed);
    CHECK(faultOfText(R"({"steps":[{"count":1,"depends_on":[-1]}]})") == JobFault::Malformed);
    CHECK(faultOfText(R"({"steps":[]})") == JobFault::NoSteps);
    CHECK(faultOfText(R"({"steps":[{"count":-5}]})") == JobFault::EmptyStep);
}

TEST_CASE("Commands to workers carry their lease, epoch, checkpoint and ticket")
{
    const json start = json::parse(platform::formatStart({ .attempt = attempt, .payload = "p", .leaseUntil = 9, .epoch = 7, .checkpoint = "c", .ticket = "t" }));
    CHECK(start == json::parse(R"({"task":"00000000000000aa.2.1.17","run":4,"spec":"p","deadline_ms":9,"fence":7,"checkpoint":"c","ticket":"t"})"));
    CHECK(json::parse(platform::formatStop(attempt, 7)) == json::parse(R"({"task":"00000000000000aa.2.1.17","run":4,"fence":7})"));
    CHECK(json::parse(platform::formatRenewal({ .leaseUntil = 0, .epoch = 7, .endsStoredUpTo = 3 })) == json::parse(R"({"fence":7,"acked_upto":3})"));
    CHECK(json::parse(platform::formatRenewal({ .leaseUntil = 5, .epoch = 7, .endsStoredUpTo = 3, .wait = Millis(20) })) == json::parse(R"({"fence":7,"acked_upto":3,"deadline_ms":5,"wait_ms":20})"));
    CHECK(json::parse(platform::formatThrottle(attempt, 40, 7))["percent"] == 40);
}

TEST_CASE("Answers of workers are decoded, and unreadable ones are unknown")
{
    CHECK(platform::readCommandAnswer(answer(200, R"({"clock_ms":5})")).outcome == CommandOutcome::Done);
    CHECK(platform::readCommandAnswer(answer(200, R"({"clock_ms":5})")).workerClock == 5);
    const std::vector<std::pair<std::string, CommandOutcome>> reasons { { "fence", CommandOutcome::Fenced }, { "old", CommandOutcome::Superseded }, { "late", CommandOutcome::LeaseExpired }, { "room", CommandOutcome::NoRoom },
        { "ticket", CommandOutcome::BadTicket } };
    for (const auto& [reason, outcome] : reasons)
        CHECK(platform::readCommandAnswer(answer(409, json { { "reason", reason } }.dump())).outcome == outcome);
    CHECK(platform::readCommandAnswer(answer(421, "")).outcome == CommandOutcome::OtherIncarnation);
    CHECK(platform::readCommandAnswer(answer(503, "")).outcome == CommandOutcome::NotDone);
    CHECK(platform::readCommandAnswer(answer(400, "")).outcome == CommandOutcome::Rejected);
    CHECK(platform::readCommandAnswer(answer(500, "")).outcome == CommandOutcome::Unknown);

    const RenewResult renewal = platform::readRenewalAnswer(answer(200, R"({"clock_ms":8,"running":[["00000000000000aa.2.1.17",4,"c",41,12]],"ended":[[58,"00000000000000aa.2.1.9",1,"lapsed",""]]})"));
    REQUIRE(renewal.outcome == CommandOutcome::Done);
    CHECK(renewal.running.front() == RunningAttempt { .attempt = attempt, .checkpoint = "c", .percent = 41, .load = 12 });
    CHECK(renewal.ended.front().sequence == 58);
    CHECK(renewal.ended.front().end == AttemptEnd::LeaseExpired);
    for (const char* text : { "", "[]", R"({"running":[[1]]})", R"({"ended":[[1,"x.0.0",1,"done",""]]})", R"({"ended":[[1,"a.0.0.0",1,"odd",""]]})", R"({"running":[["a.0.0.0x",1,"",0]]})" })
        CHECK(platform::readRenewalAnswer(answer(200, text)).outcome == CommandOutcome::Unknown);
}

/// Guards against attempts taken for vanished because a worker lists at most 500 ends at once.
TEST_CASE("A status report with 500 ends may be partial")
{
    const auto reportOf = [](std::uint64_t ends) {
        json report = json::parse(R"({"clock_ms":8,"running":[],"ended":[]})");
        for (std::uint64_t sequence = 1; sequence <= ends; ++sequence)
            report["ended"].push_back({ sequence, "00000000000000aa.0.0." + std::to_string(sequence), 1, "done", "" });
        return platform::readRenewalAnswer(answer(200, report.dump()));
    };
    CHECK(reportOf(0).coverage == ReportCoverage::Complete);
    CHECK(reportOf(499).coverage == ReportCoverage::Complete);
    CHECK(reportOf(500).coverage == ReportCoverage::Partial);
}

TEST_CASE("Transactions and leases are encoded and their answers decoded")
{
    const json transaction = json::parse(platform::formatTransaction({ .expected = { { "k", 3 } }, .writes = { { "k", std::string("\0\xff", 2), 9 } }, .removals = { "old" } }));
    CHECK(transaction == json::parse(R"({"expected_rev":[{"key":"k","rev":3}],"put":[{"key":"k","value":"AP8=","lease":9}],"remove":["old"]})"));
    CHECK(platform::readCommitAnswer(answer(200, R"({"rev":12})")).revision == 12);
    const CommitResult conflict = platform::readCommitAnswer(answer(412, R"({"items":[{"key":"k","value":"AP8=","rev":4}]})"));
    CHECK(conflict.outcome == StoreOutcome::Conflict);
    CHECK(conflict.current.front().value == std::string("\0\xff", 2));
    CHECK(platform::readCommitAnswer(answer(404, "")).outcome == StoreOutcome::NotFound);
    CHECK(platform::readCommitAnswer(answer(503, "")).outcome == StoreOutcome::NotDone);
    CHECK(platform::readCommitAnswer(answer(429, "")).outcome == StoreOutcome::NotDone);
    CHECK(platform::readCommitAnswer(answer(500, "")).outcome == StoreOutcome::Unknown);
    CHECK(platform::readCommitAnswer(answer(200, "x")).outcome == StoreOutcome::Unknown);
    CHECK(platform::readLeaseAnswer(answer(200, R"({"lease":7,"ttl_ms":1500})")).timeToLive == Millis(1'500));
    CHECK(json::parse(platform::formatLease(Millis(1'500)))["ttl_ms"] == 1'500);
}

TEST_CASE("Reads and watches are encoded and their answers decoded")
{
    CHECK(platform::keyTarget("a b/c") == "/api/kv-key?key=a%20b/c");
    CHECK(platform::rangeTarget("p/", "p/x") == "/api/kv-range?path_prefix=p/&depends_on=p/x");
    CHECK(platform::watchTarget("p/", 4, Millis(20)) == "/api/kv-watch?path_prefix=p/&depends_on=4&wait_ms=20");
    const ItemsResult events = platform::readWatchAnswer(answer(200, R"({"events":[{"key":"k","value":"eA==","rev":4},{"key":"l","rev":5,"gone":true}],"at":5})"));
    REQUIRE(events.outcome == StoreOutcome::Done);
    CHECK(events.items[0].value == "x");
    CHECK(events.items[1].removed);
    CHECK(events.storeRevision == 5);
    CHECK(platform::readWatchAnswer(answer(410, "")).outcome == StoreOutcome::HistoryGone);
    CHECK(platform::readWatchAnswer(answer(200, R"({"events":[{"key":"k","value":"***"}],"at":5})")).outcome == StoreOutcome::Unknown);
    CHECK(platform::readRangeAnswer(answer(200, R"({"items":[],"more":true,"at":5})")).more);
    CHECK(platform::readItemAnswer(answer(404, R"({"at":3})")).outcome == StoreOutcome::NotFound);
    CHECK(platform::readItemAnswer(answer(200, R"({"key":"k","value":"eA==","rev":2,"at":9})")).item.revision == 2);
}

TEST_CASE("Documents of operators and workers are decoded")
{
    const auto configuration = platform::readConfiguration(R"({"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/a/","service":"s","priority":1,"max_attempts":3,"stretch":2.5,"target_latency_ms":40,
        "advice":{"decide_ms":5,"each_ms":1,"valid_ms":900}}],"services":[{"name":"s","rejects_overload":true,"max_conns":64},{"name":"t","headroom":true}],"limits":{"max_body_bytes":10}})");
    REQUIRE(configuration);
    CHECK(configuration->queues.front().pool == "s");
    CHECK(configuration->queues.front().stretch == 2.5);
    CHECK(configuration->queues.front().advice->validity == Millis(900));
    CHECK(configuration->pool("t")->reserve);
    CHECK(configuration->pool("s")->enforcesCapacity);
    CHECK(configuration->maxBodyBytes == 10);
    CHECK(configuration->queueFor("H", "/a/b")->name == "r");
    CHECK(configuration->queueFor("h", "/b") == nullptr);
    CHECK_FALSE(platform::readConfiguration("{}").has_value());

    const auto worker = platform::readWorker("i", R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining","capacity":{"cpu":5},"labels":["a","r9"]})");
    REQUIRE(worker);
    CHECK(worker->draining);
    CHECK(worker->rack == "r9");
    CHECK_FALSE(platform::readWorker("i", "7").has_value());

    const auto wave = platform::readWave(R"({"wave":2,"machines":["m"],"duration_s":1.5,"max_items":3})");
    REQUIRE(wave);
    CHECK(wave->duration == Millis(1'500));
    CHECK(wave->maxConcurrent == 3);
    CHECK(json::parse(platform::formatWaveStatus(true))["state"] == "succeeded");
}

TEST_CASE("The list of instances, acts on them and advice are decoded")
{
    const auto page = platform::readFleetPage(answer(200, R"({"machines":[{"machine":"m","pool":"s","state":"upkeep","zone":"z","labels":["a","r1"],"capacity":{"cpu":1},"id":"i"}],"next_token":"n"})"));
    REQUIRE(page);
    CHECK(page->next == "n");
    CHECK(page->instances.front().state == FleetState::InMaintenance);
    CHECK(page->instances.front().worker == "i");
    CHECK_FALSE(platform::readFleetPage(answer(503, "")).has_value());
    CHECK(platform::readFleetAnswer(answer(200, "")) == FleetOutcome::Done);
    CHECK(platform::readFleetAnswer(answer(409, R"({"reason":"busy"})")) == FleetOutcome::Busy);
    CHECK(platform::readFleetAnswer(answer(409, R"({"reason":"wave"})")) == FleetOutcome::NotInWave);
    CHECK(platform::readFleetAnswer(answer(400, "")) == FleetOutcome::Refused);
    CHECK(platform::readFleetAnswer(answer(429, "")) == FleetOutcome::NotDone);
    CHECK(json::parse(platform::formatMove("m", "s")) == json::parse(R"({"machine":"m","pool":"s"})"));
    CHECK(json::parse(platform::formatMaintenance("m", 2)) == json::parse(R"({"machine":"m","wave":2})"));
    const Advice advice = platform::readAdvice(answer(200, R"({"good":[["i","t"]],"valid_ms":300})"));
    CHECK(advice.workers.front() == AdvisedWorker { "i", "t" });
    CHECK_FALSE(platform::readAdvice(answer(429, "")).answered);
    CHECK(json::parse(platform::formatAdviceRequest("j", 0, 1, { "i" })) == json::parse(R"({"step":"j.0.1","workers":["i"]})"));
}

namespace {

/// \returns A random value of any type, including the limits of numbers.
json anyValue(int depth = 0)
{
    const std::array<json, 12> plain { json(), json(true), json(0), json(-1), json(1e300), json(-2.5), json(std::numeric_limits<std::uint64_t>::max()), json(std::numeric_limits<std::int64_t>::min()), json(""), json("text"), json::array(), json::object() };
    const auto kind = *rc::gen::inRange<std::size_t>(0, plain.size() + (depth < 2 ? 2 : 0));
    if (kind < plain.size())
        return plain.at(kind);
    return kind == plain.size() ? json::array({ anyValue(depth + 1) }) : json { { "cpu", anyValue(depth + 1) }, { "name", anyValue(depth + 1) } };
}

/// Replaces a random part of `document` by a value of any type.
void corrupt(json& document)
{
    json* place = &document;
    while (place->is_structured() && !place->empty() && *rc::gen::inRange(0, 4) != 0) {
        const auto index = *rc::gen::inRange<std::size_t>(0, place->size());
        auto child = place->begin();
        std::advance(child, static_cast<std::ptrdiff_t>(index));
        place = &*child;
    }
    *place = anyValue();
}

} // namespace

TEST_CASE("Reading documents and callers' jobs of any content ends with a value or none")
{
    const json configuration = json::parse(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","priority":1,"service":"s","max_attempts":2,"stretch":1.6,"target_latency_ms":600,"public":false,
        "advice":{"decide_ms":1,"each_ms":2,"valid_ms":3}}],"services":[{"name":"s","max_conns":64,"rejects_overload":true,"headroom":false}],"limits":{"max_body_bytes":1000},
        "tenants":[{"name":"n","api_keys":["a","b"],"priority":1,"weight":154,"max_items":{"cpu":5,"mem_mb":6,"gpus":0}}]})");
    const json job = json::parse(R"({"spec":"x","times":2,"start_at_ms":5,"interval_ms":6,"steps":[{"count":1,"cpu":1,"mem_mb":2,"gpus":3,"est_ms":4},{"count":2,"depends_on":[0],"constraints":"a","affinity":"r","anti_affinity":1,"may_miss":1}]})");
    const json worker = json::parse(R"({"address":"1.2.3.4:5","service":"s","zone":"z","labels":["a","r"],"capacity":{"cpu":1},"state":"ready"})");
    const json wave = json::parse(R"({"wave":3,"machines":["m"],"duration_s":2.5,"max_items":1})");
    REQUIRE(rc::check([&] {
        std::array<json, 4> documents { configuration, job, worker, wave };
        for (json& document : documents)
            corrupt(document);
        static_cast<void>(platform::readConfiguration(documents[0].dump()));
        static_cast<void>(platform::readJob(documents[1].dump()));
        static_cast<void>(platform::readWorker("id", documents[2].dump()));
        static_cast<void>(platform::readWave(documents[3].dump()));
    }));
}
