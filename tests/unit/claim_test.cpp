// Order claims and configuration changes with a store that loses responses.

#include "lanemoor/serve/process/configuration_writer.h"
#include "lanemoor/serve/process/order_claims.h"
#include "support/fake_store.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lanemoor;
using namespace lanemoor::test;

TEST_CASE("exactly one of several claims on a key is held, even if responses are lost")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& faults) {
        const auto data = std::make_shared<FakeStoreData>();
        FakeStore store(data);
        int held = 0;
        int attempt = 0;
        for (const std::uint8_t fault : faults) {
            data->isUnavailable = fault % 5 == 0;
            data->responsesToLose = fault % 3 == 0 ? 1 : 0;
            const ClaimAttempt result = claimOrder(store, "team", "key", "entry-" + std::to_string(++attempt));
            held += std::holds_alternative<HeldClaim>(result) ? 1 : 0;
            RC_ASSERT(held <= 1);
            if (data->isUnavailable)
                RC_ASSERT(std::holds_alternative<ClaimUnavailable>(result));
        }
    }));
}

TEST_CASE("a key whose order did not run can be claimed again, by one only")
{
    const auto data = std::make_shared<FakeStoreData>();
    FakeStore store(data);
    const ClaimAttempt first = claimOrder(store, "t", "k", "e1");
    const auto& held = std::get<HeldClaim>(first);
    REQUIRE(store.put(held.key, encodeClaim({ .claimant = "e1", .state = ClaimState::NotRun }), held.version));
    CHECK(std::holds_alternative<HeldClaim>(claimOrder(store, "t", "k", "e2")));
    const ClaimAttempt third = claimOrder(store, "t", "k", "e3");
    CHECK(std::get<OrderClaim>(third).claimant == "e2");
}

TEST_CASE("keys of different teams do not collide, for any bytes")
{
    const auto data = std::make_shared<FakeStoreData>();
    FakeStore store(data);
    CHECK(std::holds_alternative<HeldClaim>(claimOrder(store, "a", "b/c", "e1")));
    CHECK(std::holds_alternative<HeldClaim>(claimOrder(store, "a/b", "c", "e2")));
    CHECK(std::holds_alternative<OrderClaim>(claimOrder(store, "a", "b/c", "e3")));
}

TEST_CASE("claims are decoded or refused")
{
    const OrderClaim claim { .claimant = "e-1", .state = ClaimState::Ran, .status = 201 };
    CHECK(decodeClaim(encodeClaim(claim)) == claim);
    CHECK(rc::check([](const std::string& text) { static_cast<void>(decodeClaim(text)); }));
    CHECK_FALSE(decodeClaim(R"({"claimant":"x","state":"dancing","status":1})"));
}

TEST_CASE("a configuration change takes effect once even if its response is lost, and a stale one is refused")
{
    const auto data = std::make_shared<FakeStoreData>();
    FakeStore store(data);
    int ids = 0;
    ConfigurationWriter writer(store, [&] { return "change-" + std::to_string(++ids); });
    CHECK(std::get<ChangeAccepted>(writer.replace("{}", 0)).revision == 1);
    data->responsesToLose = 1;
    CHECK(std::get<ChangeAccepted>(writer.replace("{}", 1)).revision == 2);
    CHECK(data->writes == 2);
    CHECK(std::get<ChangeConflict>(writer.replace("{}", 1)).newerRevision == 2);
    CHECK(std::holds_alternative<ChangeFaulty>(writer.replace("{\"x\":1}", 2)));
    data->isUnavailable = true;
    CHECK(std::holds_alternative<ChangeOutcomeUnknown>(writer.replace("{}", 2)));
    CHECK(data->writes == 2);
}
