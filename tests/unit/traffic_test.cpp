// Admission, endpoint selection, retries, ejection and response framing.

#include "lanemoor/decisions/admission.h"
#include "lanemoor/decisions/ejection.h"
#include "lanemoor/decisions/endpoint_choice.h"
#include "lanemoor/decisions/retry_budget.h"
#include "lanemoor/serve/request/request_context.h"
#include "net/response_reader.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lanemoor;

namespace {

constexpr Instant noon { std::chrono::seconds(1'764'763'200) };

Ticket ticket(std::uint64_t id, RequestClass requestClass, const std::string& team = "a", Millis left = std::chrono::seconds(10))
{
    return { .id = id, .requestClass = requestClass, .team = team, .deadline = noon + left };
}

/// Parses a response in chunks of `step` bytes.
struct ParsedResponse {
    ParsedResponse(std::string_view bytes, std::size_t step)
        : sink(1'000'000)
        , reader(sink, false)
    {
        for (std::size_t at = 0; at < bytes.size() && state == ReadState::NeedsMore; at += step)
            state = reader.consume(bytes.substr(at, step));
    }

    BufferSink sink;
    ResponseReader reader;
    ReadState state = ReadState::NeedsMore;
};

} // namespace

TEST_CASE("the shares of all shards add up to exactly a worker's slots")
{
    CHECK(rc::check([](const std::string& instance, std::uint16_t slots) {
        const std::uint32_t shardCount = *rc::gen::inRange<std::uint32_t>(1, 40);
        std::uint32_t sum = 0;
        for (std::uint32_t shard = 0; shard < shardCount; ++shard)
            sum += shareOfShard(instance, slots, shard, shardCount);
        RC_ASSERT(sum == slots);
        RC_ASSERT(shareOfShard(instance, slots, shardCount, shardCount) == 0);
    }));
}

TEST_CASE("the least loaded endpoint is chosen, a retry goes to another rack, full ones get nothing")
{
    const EndpointCandidate busy { .index = 0, .inFlight = 2, .share = 4 };
    const EndpointCandidate idle { .index = 1, .inFlight = 0, .share = 4, .sameDomainAsTried = true };
    const EndpointCandidate full { .index = 2, .inFlight = 4, .share = 4 };
    CHECK(chooseEndpoint({ busy, idle, full }, 5) == 0);
    CHECK(chooseEndpoint({ idle, full }, 5) == 1);
    CHECK_FALSE(chooseEndpoint({ full }, 5));
    CHECK_FALSE(chooseEndpoint({}, 5));
}

TEST_CASE("checks start before batch, and batch is never starved")
{
    AdmissionQueue queue({ .slots = 1, .maxWaiting = 1000 });
    for (std::uint64_t id = 0; id < 100; ++id)
        REQUIRE_FALSE(queue.offer(ticket(id, id % 2 == 0 ? RequestClass::Check : RequestClass::Batch), noon));
    std::vector<std::uint64_t> order;
    while (const std::optional<std::uint64_t> id = queue.start(noon)) {
        order.push_back(*id);
        queue.finish(*id, noon);
    }
    CHECK(order.size() == 100);
    const auto batches = std::count_if(order.begin(), order.begin() + 50, [](std::uint64_t id) { return id % 2 == 1; });
    CHECK(batches == 10); // One in five.
}

TEST_CASE("a team at its quota does not hold up the others")
{
    AdmissionQueue queue({ .slots = 4, .maxWaiting = 100 });
    queue.setQuota("greedy", 2);
    queue.setQuota("small", 2);
    for (std::uint64_t id = 1; id <= 4; ++id)
        REQUIRE_FALSE(queue.offer(ticket(id, RequestClass::Check, "greedy"), noon));
    REQUIRE_FALSE(queue.offer(ticket(5, RequestClass::Check, "small"), noon));
    std::vector<std::uint64_t> started;
    while (const std::optional<std::uint64_t> id = queue.start(noon))
        started.push_back(*id);
    CHECK(started.size() == 3);
    CHECK(std::count(started.begin(), started.end(), 5U) == 1);
    const std::optional<AdmissionRefusal> refusal = queue.offer(ticket(6, RequestClass::Check, "greedy"), noon);
    REQUIRE(refusal);
    CHECK(refusal->reason == RequestRefusal::TeamOverQuota);
}

TEST_CASE("requests that can't meet their deadlines by observed run times are refused at once or expire")
{
    AdmissionQueue queue({ .slots = 1, .maxWaiting = 100 });
    for (std::uint64_t id = 0; id < 60; ++id) {
        REQUIRE_FALSE(queue.offer(ticket(id, RequestClass::Check), noon));
        REQUIRE(queue.start(noon) == id);
        queue.finish(id, noon + std::chrono::seconds(2));
    }
    CHECK(queue.expectedRunTime(RequestClass::Check) > std::chrono::milliseconds(1900));
    const std::optional<AdmissionRefusal> refusal = queue.offer(ticket(100, RequestClass::Check, "a", std::chrono::seconds(1)), noon);
    REQUIRE(refusal);
    CHECK(refusal->reason == RequestRefusal::DeadlinePassed);
    CHECK(refusal->retryAt > noon);
    REQUIRE_FALSE(queue.offer(ticket(101, RequestClass::Check, "a", std::chrono::seconds(3)), noon));
    CHECK(queue.expire(noon).empty());
    CHECK(queue.expire(noon + std::chrono::seconds(2)).size() == 1);
    CHECK(queue.waiting() == 0);
}

TEST_CASE("slots and quotas hold for any sequence of offers, starts, cancels and finishes")
{
    CHECK(rc::check([](const std::vector<std::uint16_t>& operations) {
        AdmissionQueue queue({ .slots = 5, .maxWaiting = 20 });
        queue.setQuota("t0", 3);
        std::map<std::uint64_t, std::string> running;
        std::uint64_t next = 0;
        for (const std::uint16_t operation : operations) {
            const std::uint64_t target = next == 0 ? 0 : operation % next;
            const std::string team = "t" + std::to_string(operation % 3);
            if (operation % 4 == 0)
                queue.cancel(target);
            else if (operation % 4 == 1)
                queue.finish(target, noon);
            else
                static_cast<void>(queue.offer(ticket(next++, static_cast<RequestClass>(operation % 3 == 1 ? 2 : 0), team), noon));
            if (operation % 4 < 2)
                running.erase(target);
            while (const std::optional<std::uint64_t> id = queue.start(noon))
                running[*id] = "";
            RC_ASSERT(queue.inFlight() <= 5U);
            RC_ASSERT(queue.waiting() <= 20U);
            RC_ASSERT(queue.inFlight() == running.size());
        }
    }));
}

TEST_CASE("an endpoint that fails all its requests is ejected after three and probed later")
{
    EjectionTracker tracker;
    const std::vector<std::string> members { "w1", "w2", "w3", "w4" };
    for (int i = 0; i < 3; ++i)
        tracker.onFailure("w1", noon);
    CHECK(tracker.ejected(members, noon) == std::vector<std::string> { "w1" });
    const Instant probe = noon + std::chrono::seconds(2);
    CHECK(tracker.ejected(members, probe).empty());
    tracker.onFailure("w1", probe);
    CHECK(tracker.ejected(members, probe + std::chrono::seconds(3)).size() == 1);
    tracker.onSuccess("w1");
    CHECK(tracker.ejected(members, probe).empty());
}

TEST_CASE("ejection never takes more than half of a pool")
{
    EjectionTracker tracker;
    const std::vector<std::string> members { "w1", "w2", "w3" };
    for (const std::string& member : members) {
        for (int i = 0; i < 5; ++i)
            tracker.onFailure(member, noon);
    }
    CHECK(tracker.ejected(members, noon).size() == 1);
    CHECK(tracker.failing().size() == 3);
}

TEST_CASE("retries are a bounded share of first attempts")
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstAttempt();
        retries += budget.tryAcquire() ? 1 : 0;
    }
    CHECK(retries <= 110);
    CHECK(retries >= 100);
}

TEST_CASE("responses are framed identically for any split of their bytes")
{
    const std::string counted = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    const std::string chunked = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: t\r\n\r\n";
    for (std::size_t step = 1; step < 60; ++step) {
        for (const std::string& bytes : { counted, chunked }) {
            const ParsedResponse read(bytes, step);
            CHECK(read.state == ReadState::Complete);
            CHECK(read.sink.response().body == "hello");
            CHECK(read.reader.keepsAlive());
        }
    }
}

TEST_CASE("a response delimited by the end of its connection is complete, a truncated one is not")
{
    ParsedResponse complete("HTTP/1.1 200 OK\r\n\r\nsome", 7);
    CHECK(complete.reader.finishAtClose() == ReadState::Complete);
    ParsedResponse truncated("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome", 7);
    CHECK(truncated.reader.finishAtClose() == ReadState::Malformed);
    ParsedResponse truncatedChunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n", 7);
    CHECK(truncatedChunked.reader.finishAtClose() == ReadState::Malformed);
}

TEST_CASE("responses that can't be framed are refused")
{
    for (const char* bytes : { "HTTP/2 200\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n" }) {
        CAPTURE(bytes);
        CHECK(ParsedResponse(bytes, 1000).state == ReadState::Malformed);
    }
    CHECK(ParsedResponse(std::string(100'000, 'x'), 1000).state == ReadState::Malformed);
    CHECK(rc::check([](const std::string& bytes) { static_cast<void>(ParsedResponse("HTTP/1.1 200 OK\r\n" + bytes, 3)); }));
}

TEST_CASE("a request's context is read from its headers")
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/orders/port/099?x=1";
    request.headers.add("idempotency-key", "k");
    request.headers.add("Lanemoor-Team", "shops");
    const auto read = readContext(request, noon, std::chrono::seconds(10));
    const auto& context = std::get<RequestContext>(read);
    CHECK(context.pool == "orders");
    CHECK(context.endpointTarget == "/port/099?x=1");
    CHECK(context.requestClass == RequestClass::Order);
    CHECK_FALSE(context.repeatable);
    CHECK(context.deadline == noon + std::chrono::seconds(10));
    request.headers.add("Lanemoor-Deadline", "tomorrow");
    CHECK(std::get<BadRequestHeader>(readContext(request, noon, std::chrono::seconds(10))).header == "Lanemoor-Deadline");
}
