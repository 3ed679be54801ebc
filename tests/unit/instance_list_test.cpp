/// One malformed entry must not hide the other instances of the platform's list.

#include "lanemoor/adapters/http_platform.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

using namespace lanemoor;
using nlohmann::json;

namespace {

json validEntry(const std::string& id)
{
    return { { "id", id }, { "ip", "10.0.0.1" }, { "port", 80 }, { "dataHall", "hall-a" }, { "rack", "r1" }, { "state", "live" }, { "bootId", 7 }, { "slots", 4 }, { "labels", { { "service", "counter" } } } };
}

json entryWith(const char* field, json value)
{
    json entry = validEntry("odd");
    entry[field] = std::move(value);
    return entry;
}

/// \returns The text of a list of two valid instances with `entry` between them.
std::string listWith(const std::string& entry)
{
    return '[' + validEntry("first").dump() + ',' + entry + ',' + validEntry("second").dump() + ']';
}

void checkSkipped(const std::string& entry)
{
    CAPTURE(entry.substr(0, 200));
    const std::optional<Instances> instances = parseInstanceList(listWith(entry));
    REQUIRE(instances);
    REQUIRE(instances->size() == 2);
    CHECK(instances->front().id == "first");
    CHECK(instances->back().id == "second");
}

} // namespace

// Guards against a reader that stops following the list of instances while it contains one malformed entry.
TEST_CASE("a malformed entry in the list of instances is left out")
{
    REQUIRE(parseInstanceList(listWith(validEntry("third").dump()))->size() == 3);
    for (const char* field : { "id", "ip", "port", "dataHall", "rack", "state", "labels" }) {
        json entry = validEntry("odd");
        if (std::string(field) != "port")
            checkSkipped(entryWith(field, 7).dump());
        entry.erase(field);
        checkSkipped(entry.dump());
    }
    for (const char* entry : { "7", "null", "[]", "{}", "\"text\"" })
        checkSkipped(entry);
}

// Guards against a port or count that wraps into its range, so that calls go to another process.
TEST_CASE("an instance with a number out of range is left out")
{
    for (const json& port : { json(0), json(-1), json(65'536), json(99'999), json(1e300), json("80") })
        checkSkipped(entryWith("port", port).dump());
    for (const char* field : { "bootId", "slots", "connections", "longSessions" })
        checkSkipped(entryWith(field, 1e300).dump());
    checkSkipped(entryWith("slots", 4'294'967'296).dump());
}

// Guards against a reader that ends by recursion.
TEST_CASE("a deeply nested entry in the list of instances is left out")
{
    constexpr std::size_t depth = 500'000;
    checkSkipped(std::string(depth, '[') + std::string(depth, ']'));
}
