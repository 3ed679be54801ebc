/// Numbers from callers and stored records at and beyond the limits.

#include "lanemoor/jobs/intake/demand_report.h"
#include "platform/wire.h"
#include "support.h"

#include <array>
#include <catch2/catch.hpp>
#include <limits>
#include <rapidcheck.h>
#include <variant>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr std::uint32_t maxCount = std::numeric_limits<std::uint32_t>::max();

/// 2^33 tasks, 2^31 times: the product is 0 in 64 bits.
JobSpec countlessTasks()
{
    JobSpec spec = job({ step(maxCount), step(maxCount), step(2) });
    spec.occurrences = 1U << 31U;
    return spec;
}

std::int64_t anyNumber()
{
    constexpr std::array<std::int64_t, 12> numbers { 0, 1, 1'000, maxResource, maxResource + 1, maxDuration.count(), maxDuration.count() + 1, maxStart.time_since_epoch().count(), std::int64_t { 1 } << 53, std::numeric_limits<std::int64_t>::max() / 2, std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min() };
    return numbers.at(*rc::gen::inRange<std::size_t>(0, numbers.size()));
}

std::uint32_t anyCount()
{
    constexpr std::array<std::uint32_t, 8> counts { 0, 1, 2, 200, maxTasksPerJob, maxTasksPerJob + 1, 1U << 31U, maxCount };
    return counts.at(*rc::gen::inRange<std::size_t>(0, counts.size()));
}

std::optional<JobFault> faultOfText(const std::string& text)
{
    const std::variant<JobSpec, JobFault> read = platform::readJob(text);
    return std::holds_alternative<JobFault>(read) ? std::optional(std::get<JobFault>(read)) : std::nullopt;
}

} // namespace

/// Guards against a job of countless tasks that passes the limit, since the number of its tasks overflows.
TEST_CASE("A job of more tasks than 64 bits can count is rejected")
{
    CHECK(faultOf(countlessTasks()) == JobFault::TooManyTasks);
    CHECK(faultOfText(R"({"steps":[{"count":4294967295},{"count":4294967295},{"count":2}],"times":2147483648})") == JobFault::TooManyTasks);
    CHECK(faultOfText(R"({"steps":[{"count":1}],"times":1e300})") == JobFault::TooManyTasks);
}

/// Guards against a stored job that ends each owner in turn: one that an earlier version accepted is still in the store.
TEST_CASE("A stored job that cannot be carried out ends no owner, and other jobs run")
{
    SmallCluster cluster(1, 2);
    const JobRecord record { .queue = "work", .pool = "main", .acceptedAt = Instant(Millis(1)), .spec = countlessTasks() };
    CHECK_FALSE(decodeJob(encode(record)).has_value());
    cluster.store.put(jobKey(jobId(9)), encode(record));
    cluster.clock.runFor(Millis(1'000));
    cluster.submit(0, "work", jobId(1), job({ step(1) }));
    CHECK(cluster.waitFor(Millis(3'000), [&] { return cluster.shows(jobId(1), JobStatus::Succeeded); }));
    const std::size_t first = cluster.owner().value();
    cluster.kill(first);
    cluster.clock.runFor(Millis(6'000));
    cluster.submit(1 - first, "work", jobId(2), job({ step(1) }));
    CHECK(cluster.waitFor(Millis(3'000), [&] { return cluster.shows(jobId(2), JobStatus::Succeeded, 1 - first); }));
    CHECK(cluster.entry(1 - first).metrics().find("lanemoor_store_items_unreadable_total 0") == std::string::npos);
}

/// Guards against sums and products of accepted numbers that overflow.
TEST_CASE("Results computed from the numbers of an accepted job stay in range")
{
    REQUIRE(rc::check([] {
        JobSpec spec;
        for (std::uint32_t i = 0; i < *rc::gen::inRange(1U, 4U); ++i) {
            StepSpec each = step(anyCount());
            each.needs = { .milliCpu = anyNumber(), .memoryMb = anyNumber(), .accelerators = anyNumber() };
            each.estimate = Millis(anyNumber());
            each.latencyTarget = Millis(anyNumber());
            if (i > 0)
                each.dependsOn = { i - 1 };
            spec.steps.push_back(each);
        }
        spec.occurrences = anyCount();
        spec.interval = Millis(anyNumber());
        spec.firstStart = Instant(Millis(anyNumber()));
        if (faultOf(spec))
            return;
        RC_ASSERT(criticalPathDuration(spec) >= Millis(0));
        RC_ASSERT(criticalPathDuration(spec) <= maxDuration);
        RC_ASSERT(declaredWork(spec) >= 0);
        RC_ASSERT(declaredWork(spec) <= maxDeclaredWork);
        RC_ASSERT(declaredWorkMillis(spec) <= static_cast<std::uint64_t>(maxDeclaredWork));
        const Instant last = spec.firstStart + spec.interval * std::int64_t { spec.occurrences };
        RC_ASSERT(last >= spec.firstStart);
        RC_ASSERT(last <= Instant(Millis(std::numeric_limits<std::int64_t>::max() / 1'000)));
    }));
}

/// Guards against numbers beyond 64 bits, whose conversion differs between processors.
TEST_CASE("Numbers beyond the limits are rejected in any JSON form")
{
    const std::string number = GENERATE("1e300", "18446744073709551615", "9223372036854775808", "1000000000001");
    CAPTURE(number);
    for (const std::string field : { "cpu", "mem_mb", "gpus", "est_ms", "target_ms" })
        CHECK(faultOfText(R"({"steps":[{"count":1,")" + field + "\":" + number + "}]}") == JobFault::OutOfRange);
    CHECK(faultOfText(R"({"steps":[{"count":1}],"times":2,"interval_ms":)" + number + "}") == JobFault::OutOfRange);
    CHECK(faultOfText(R"({"steps":[{"count":1,"cpu":-1e300}]})") == JobFault::BadNumber);
    CHECK(faultOfText(R"({"steps":[{"count":1}],"times":1,"start_at_ms":-1e300})") == JobFault::OutOfRange);
}
