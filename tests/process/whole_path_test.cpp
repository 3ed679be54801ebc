// The request path from caller to endpoint and back with real processes.

#include "support/cluster.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::test;

namespace {

const std::string onePool = R"({"pools":[{"name":"counter","selector":"service=counter","budget":{"minimum":2,"survives":"rack"}}]})";

} // namespace

TEST_CASE("a caller's request goes through an entry to an endpoint and back")
{
    Cluster cluster({ .buildFolder = LANEMOOR_BUILD_FOLDER });
    for (const char* id : { "w0", "w1", "w2" })
        cluster.addWorker({ .id = id, .dataHall = "hall0", .rack = std::string("rack-") + id, .service = "counter" });
    cluster.addEntry("entry-a");
    cluster.addEntry("entry-b");
    REQUIRE(cluster.configure("entry-a", onePool));
    REQUIRE(eventually([&] { return cluster.poolHas("counter", 3); }));

    for (const char* name : { "entry-a", "entry-b" }) {
        const Answer answer = ask(cluster.entry(name).front, requestOf("POST", "/counter/check?ms=1", { { "X-Request-Id", name } }, "body of " + std::string(name)));
        CAPTURE(answer.response.body, describe(answer.result.fault));
        CHECK(answer.response.status == 200);
        CHECK(answer.outcome() == "ran");
        CHECK(answer.response.body.find("body of " + std::string(name)) != std::string::npos);
    }
}
