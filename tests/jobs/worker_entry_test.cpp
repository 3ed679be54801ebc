/// Entries under the workers' prefix of the store may come from another writer. Invalid ones are ignored, and
/// don't affect other workers.

#include "lanemoor/jobs/operator/operator_api.h"
#include "platform/wire.h"
#include "support.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;
using nlohmann::json;

namespace {

json validEntry()
{
    return json::parse(R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpus":0},"labels":["a","r1"],"seq":4})");
}

bool namesWorker(const json& entry)
{
    return platform::readWorker("i", entry.dump()).has_value();
}

/// \returns The number of calls that the entry instance has sent to workers directly.
std::uint64_t callsToWorkers(SmallCluster& cluster)
{
    const std::string text = cluster.entry(0).metrics();
    const std::string name = "\nlanemoor_direct_calls_total ";
    return std::stoull(text.substr(text.find(name) + name.size()));
}

} // namespace

TEST_CASE("An entry with missing fields or fields of another type is ignored")
{
    REQUIRE(namesWorker(validEntry()));
    for (const char* field : { "service", "address", "zone", "state", "capacity" }) {
        json entry = validEntry();
        entry.erase(field);
        CAPTURE(field);
        CHECK_FALSE(namesWorker(entry));
    }
    const json valid = validEntry();
    for (const auto& [field, value] : valid.items()) {
        json entry = validEntry();
        entry[field] = value.is_string() ? json(7) : json("text");
        CAPTURE(field);
        CHECK_FALSE(namesWorker(entry));
        entry[field] = nullptr;
        CHECK_FALSE(namesWorker(entry));
    }
    // Fields that are 0 or empty may be omitted.
    json brief = validEntry();
    for (const char* field : { "version", "slots", "cold_left_ms", "labels", "seq" })
        brief.erase(field);
    brief["capacity"].erase("gpus");
    CHECK(namesWorker(brief));
}

TEST_CASE("An entry with an invalid state, address or size is ignored")
{
    const std::vector<std::pair<const char*, json>> invalid { { "state", "resting" }, { "state", "" }, { "address", "10.0.0.1" }, { "address", "somewhere:80" }, { "address", "10.0.0.1:99999" }, { "service", "" },
        { "capacity", json::object() }, { "capacity", { { "cpu", -5 } } }, { "capacity", { { "cpu", "many" } } }, { "capacity", { { "cpu", 1e300 } } }, { "capacity", { { "cpu", 5 }, { "mem_mb", "much" } } }, { "labels", { 1, 2 } } };
    for (const auto& [field, value] : invalid) {
        json entry = validEntry();
        entry[field] = value;
        CAPTURE(field, value.dump());
        CHECK_FALSE(namesWorker(entry));
    }
    for (const char* bytes : { "", "\x00\xff\xfe", "{", "[]", "7", "null", "\"ready\"" }) {
        CAPTURE(bytes);
        CHECK_FALSE(platform::readWorker("i", bytes).has_value());
    }
}

// Guards against readers of the workers' entries that end by recursion, or that use a number after an overflow.
TEST_CASE("A deeply nested entry and one with a number or port out of range are ignored")
{
    constexpr std::size_t depth = 500'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    CHECK_FALSE(platform::readWorker("i", nested).has_value());
    for (const char* field : { "labels", "capacity", "seq", "address" }) {
        json entry = validEntry();
        entry[field] = "nested";
        std::string text = entry.dump();
        text.replace(text.find("\"nested\""), std::string("\"nested\"").size(), nested);
        CAPTURE(field);
        CHECK_FALSE(platform::readWorker("i", text).has_value());
    }
    for (const char* number : { "1e999", "-1e999", "1e300", "99999999999999999999999999", "-1" }) {
        for (const char* field : { "seq", "slots", "cold_left_ms", "born" }) {
            json entry = validEntry();
            entry[field] = "number";
            std::string text = entry.dump();
            text.replace(text.find("\"number\""), std::string("\"number\"").size(), number);
            CAPTURE(field, number);
            CHECK_FALSE(platform::readWorker("i", text).has_value());
        }
    }
    for (const char* address : { "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:99999999999999999999", "10.0.0.1:" }) {
        json entry = validEntry();
        entry["address"] = address;
        CAPTURE(address);
        CHECK_FALSE(platform::readWorker("i", entry.dump()).has_value());
    }
}

TEST_CASE("A worker of an unconfigured pool receives no calls")
{
    SmallCluster cluster(1, 1, 4, 0);
    cluster.clock.runFor(Millis(3'000));
    const std::uint64_t before = callsToWorkers(cluster);
    cluster.clock.runFor(Millis(3'000));
    const std::uint64_t usual = callsToWorkers(cluster) - before;
    cluster.documents.workers["stray"] = { .id = "stray", .address = "10.9.9.9:1", .pool = "nowhere", .dataHall = "hall", .capacity = { .milliCpu = 8'000, .memoryMb = 16'000 }, .labels = { "a", "r" }, .rack = "r" };
    cluster.store.put(cluster.documents.workerPrefix() + "stray", "stray");
    cluster.store.put(cluster.documents.workerPrefix() + "odd", "\xff no entry");
    const std::uint64_t then = callsToWorkers(cluster);
    cluster.clock.runFor(Millis(3'000));
    CHECK(callsToWorkers(cluster) - then == usual);
    cluster.submit(0, "work", jobId(1), job({ step(8) }));
    cluster.clock.runFor(Millis(3'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Succeeded));
}

TEST_CASE("The workers of a pool are used once a later configuration adds it")
{
    SmallCluster cluster(1, 1, 4, 0);
    cluster.workers.addInstance("late", "side", "r-9", { .milliCpu = 8'000, .memoryMb = 16'000 });
    cluster.clock.runFor(Millis(2'000));
    cluster.configure(twoPools());
    cluster.clock.runFor(Millis(1'500));
    cluster.submit(0, "other", jobId(1), job({ step(2) }));
    cluster.clock.runFor(Millis(3'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Succeeded));
}

TEST_CASE("A worker whose entry becomes unreadable gets no new tasks, and keeps its running ones")
{
    SmallCluster cluster(1, 1, 2, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(4'000); };
    cluster.submit(0, "work", jobId(1), job({ step(9) }));
    cluster.clock.runFor(Millis(600));
    const std::string unreadable = cluster.checker.workerOf(jobId(1), { 0, 0, 0 });
    REQUIRE_FALSE(unreadable.empty());
    const std::uint64_t startsBefore = cluster.checker.starts();
    cluster.documents.workers.erase(unreadable);
    cluster.store.put(cluster.documents.workerPrefix() + unreadable, "\xff no entry");
    cluster.clock.runFor(Millis(300));
    cluster.submit(0, "work", jobId(2), job({ step(7) }));
    cluster.clock.runFor(Millis(600));
    for (std::uint32_t i = 0; i < 7; ++i)
        CHECK(cluster.checker.workerOf(jobId(2), { 0, 0, i }) != unreadable);
    CHECK(cluster.checker.starts() > startsBefore);
    CHECK(cluster.checker.workerOf(jobId(1), { 0, 0, 0 }) == unreadable);
    cluster.clock.runFor(Millis(12'000));
    CHECK(cluster.shows(jobId(1), JobStatus::Succeeded));
    CHECK(cluster.shows(jobId(2), JobStatus::Succeeded));
    CHECK(cluster.checker.breaches().empty());
}
