// Parsing of settings and configurations; all faults are reported with their positions.

#include "lanemoor/jobs/service/job_service_settings.h"
#include "lanemoor/state/configuration_document.h"
#include "lanemoor/state/json_bounds.h"
#include "lanemoor/state/settings.h"
#include "lanemoor/state/time_text.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <rapidcheck.h>

using namespace lanemoor;

namespace {

const std::string validConfiguration = R"({
  "pools": [
    { "name": "counter", "selector": "service=counter", "priority": 3, "wanted": 9,
      "budget": { "minimum": 6, "survives": "dataHall" },
      "windows": [ { "begin": "Mon 22:00", "end": "Tue 04:30" } ] }
  ],
  "teams": [ { "name": "shops", "quota": 40 } ],
  "drains": [ "w7", "w3" ],
  "weights": { "moves": 10, "rollOut": 2 },
  "maintenance": { "periodDays": 49, "returnMinutes": 20, "waveRequestedAt": "2026-12-02T06:00:00Z" }
})";

} // namespace

TEST_CASE("a configuration is read and written back the same")
{
    ConfigurationReader reader;
    const std::optional<Configuration> first = reader.read(validConfiguration, 7);
    REQUIRE(first);
    CHECK(first->revision == 7);
    CHECK(first->pools[0].budget == AvailabilityBudget { .minimum = 6, .survives = FailureDomain::DataHall });
    CHECK(first->drains == std::vector<std::string> { "w3", "w7" });
    CHECK(reader.read(formatConfiguration(*first), 7) == first);
}

TEST_CASE("all faults of a configuration are reported together with their positions")
{
    ConfigurationReader reader;
    CHECK_FALSE(reader.read("{\n \"pools\": [ { \"name\": \"a b\", \"selector\": 3,\n  \"budget\": { \"minimum\": -1, \"survives\": \"moon\" } },\n  { \"name\": \"x\", \"selector\": \"\", \"budget\": { \"minimum\": 1 } },\n  { \"name\": \"x\", \"selector\": \"\", \"budget\": { \"minimum\": 1 } } ],\n \"team\": [] }", 1));
    std::string all;
    for (const DocumentFault& fault : reader.faults())
        all += formatFault("f", fault) + '\n';
    CAPTURE(all);
    CHECK(all.find("f:2:23: /pools/0/name: value not understood") != std::string::npos);
    CHECK(all.find("f:2:42: /pools/0/selector: wrong type") != std::string::npos);
    CHECK(all.find("f:3:26: /pools/0/budget/minimum: out of range") != std::string::npos);
    CHECK(all.find("f:3:42: /pools/0/budget/survives: value not understood") != std::string::npos);
    CHECK(all.find("/pools: name given twice (x)") != std::string::npos);
    CHECK(all.find("f:6:10: /team: unknown field") != std::string::npos);
    CHECK(reader.faults().size() == 6);
}

TEST_CASE("invalid JSON, duplicate fields and deep nesting are refused with a position")
{
    ConfigurationReader reader;
    CHECK_FALSE(reader.read("{\n  \"pools\": [,]\n}", 1));
    CHECK(reader.faults().at(0).position.line == 2);
    CHECK_FALSE(reader.read(R"({"drains":[],"drains":[]})", 1));
    CHECK(reader.faults().at(0).code == DocumentFaultCode::DuplicateField);
    CHECK_FALSE(reader.read(std::string(100, '[') + std::string(100, ']'), 1));
    CHECK(reader.faults().at(0).code == DocumentFaultCode::Syntax);
}

TEST_CASE("any bytes are read or refused with a fault")
{
    CHECK(rc::check([](const std::string& text) {
        ConfigurationReader reader;
        const bool read = reader.read(text, 1).has_value();
        RC_ASSERT(read == reader.faults().empty());
    }));
    CHECK(rc::check([](const std::vector<std::uint8_t>& deletions) {
        std::string text = validConfiguration;
        for (const std::uint8_t deletion : deletions)
            text.erase(deletion % text.size(), 1);
        ConfigurationReader reader;
        const bool read = reader.read(text, 1).has_value();
        RC_ASSERT(read == reader.faults().empty());
    }));
}

TEST_CASE("settings refuse an operators' port beyond loopback without certificate and token")
{
    const std::string insecureSettings = R"({"name":"e","dataHall":"h","platform":{"ip":"10.0.0.1","port":7000},"operators":{"ip":"10.0.0.2","port":7300}})";
    SettingsReader reader;
    CHECK_FALSE(reader.read(insecureSettings));
    CHECK(reader.faults().size() == 2);
    CHECK(reader.faults().at(0).code == DocumentFaultCode::InsecureAddress);
    CHECK(reader.read(R"({"name":"e","dataHall":"h","platform":{"ip":"10.0.0.1","port":7000}})"));
    CHECK_FALSE(reader.read(R"({"name":"e","dataHall":"h","platform":{"ip":"example.org","port":70000}})"));
    CHECK(reader.faults().size() == 2);
}

TEST_CASE("instants are written and read back the same")
{
    CHECK(rc::check([] {
        const Instant instant(Millis(*rc::gen::inRange<std::int64_t>(0, 200LL * 365 * 24 * 3600 * 1000)));
        RC_ASSERT(parseInstant(formatInstant(instant)) == instant);
    }));
    CHECK_FALSE(parseInstant("2026-02-30T00:00:00Z"));
    CHECK_FALSE(parseInstant("2026-02-03T00:00:00"));
    CHECK_FALSE(parseInstant("2026-02-03T00:00:00.Z"));
    CHECK(parseMinuteOfWeek("Tue 04:30") == 24U * 60 + 4 * 60 + 30);
    CHECK_FALSE(parseMinuteOfWeek("Tue 24:30"));
    CHECK(formatMinuteOfWeek(*parseMinuteOfWeek("Sun 23:59")) == "Sun 23:59");
}

TEST_CASE("a maintenance window may wrap over the week's end")
{
    const MaintenanceWindow window { .beginMinute = *parseMinuteOfWeek("Sun 23:00"), .endMinute = *parseMinuteOfWeek("Mon 02:00") };
    CHECK(window.contains(*parseInstant("2026-12-06T23:30:00Z"))); // A Sunday.
    CHECK(window.contains(*parseInstant("2026-12-07T01:59:00Z")));
    CHECK_FALSE(window.contains(*parseInstant("2026-12-07T02:00:00Z")));
}

TEST_CASE("the examples are without faults")
{
    for (const auto& file : std::filesystem::recursive_directory_iterator(LANEMOOR_EXAMPLES)) {
        if (file.path().extension() != ".json")
            continue;
        CAPTURE(file.path().string());
        std::ifstream in(file.path());
        const std::string text((std::istreambuf_iterator<char>(in)), {});
        if (jobs::isJobServiceSettings(text))
            CHECK(jobs::JobServiceSettingsReader().read(text));
        else if (file.path().filename() == "settings.json")
            CHECK(SettingsReader().read(text));
        else
            CHECK(ConfigurationReader().read(text, 1));
    }
}

// Guards against documents of an allowed size that take many times their size in memory once read.
TEST_CASE("documents with very many values are refused, and values in strings do not count")
{
    const std::string many(100'000, ',');
    JsonDocument document;
    CHECK_FALSE(document.parse("[0" + many + "]"));
    CHECK(hasMoreValues("[0" + many + "]", 50'000));
    CHECK_FALSE(hasMoreValues("[\"" + many + "\\\"" + many + "\"]", 2));
    CHECK(document.parse("{\"text\":\"" + many + "\"}"));
}

// Guards against a fault for each of very many fields, each with a search for its position.
TEST_CASE("reading ends after many faults")
{
    std::string text = "{\"a\":0";
    for (int i = 0; i < 10'000; ++i)
        text += ",\"a\":0";
    JsonDocument document;
    CHECK_FALSE(document.parse(text + "}"));
    CHECK(document.faults().size() <= 101);
}
