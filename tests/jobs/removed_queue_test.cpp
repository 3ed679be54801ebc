/// Guards against jobs that run under another policy while their queue is missing from the configuration: a job of a queue with four
/// attempts failed after three failures, and a task of a queue with two attempts started a third time.

#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

const std::string id = jobId(1);

/// Events while the queue is removed.
enum class Meanwhile {
    Nothing,
    OwnerLost,
    AllRestarted, ///< No process has known the queue.
};

struct RemovedQueueCluster : SmallCluster {
    RemovedQueueCluster()
        : SmallCluster(1, 3, 4, 0)
    {
    }

    void configure(const std::function<void(QueueSettings&)>& change)
    {
        ServiceConfiguration configuration = smallConfiguration(++version);
        change(configuration.queues.front());
        model::JobCluster::configure(configuration);
        clock.runFor(Millis(500));
    }

    void setAttempts(std::uint32_t maxAttempts)
    {
        configure([&](QueueSettings& queue) { queue.maxAttempts = maxAttempts; });
    }

    void removeQueue()
    {
        configure([](QueueSettings& queue) { queue.name = "remaining"; });
    }

    void setFailing(bool fails)
    {
        for (auto& [worker, model] : workers.workers())
            model.faults.failing = fails ? 1 : 0;
    }

    /// Submits a job whose tasks fail until `setFailing(false)`, and waits until its first task runs.
    void submitFailing(const JobSpec& spec = job({ step(1) }))
    {
        setFailing(true);
        submit(0, "work", id, spec);
        REQUIRE(waitFor(Millis(2'000), [this] { return checker.starts() >= 1; }));
    }

    void apply(Meanwhile event)
    {
        if (event == Meanwhile::OwnerLost)
            kill(owner().value());
        for (std::size_t i = 0; event == Meanwhile::AllRestarted && i < entries(); ++i)
            kill(i);
        for (std::size_t i = 0; event == Meanwhile::AllRestarted && i < entries(); ++i)
            start(i);
    }

    bool reaches(JobStatus expected)
    {
        return waitFor(Millis(20'000), [&] { return shows(id, expected, isUp(0) ? 0 : 1); });
    }

    std::uint64_t version = 1;
};

/// The record of a version of the program that stored no policy.
JobRecord recordWithoutPolicy(const JobSpec& spec)
{
    return { .queue = "work", .pool = "main", .acceptedAt = Instant(Millis(0)), .spec = spec, .organisation = {}, .policy = std::nullopt };
}

} // namespace

/// Guards against a default limit of attempts that is lower than the one of the removed queue.
TEST_CASE("A job uses all attempts of its queue although the queue is removed meanwhile")
{
    const Meanwhile event = GENERATE(Meanwhile::Nothing, Meanwhile::OwnerLost, Meanwhile::AllRestarted);
    RemovedQueueCluster cluster;
    cluster.setAttempts(4);
    cluster.submitFailing();
    cluster.removeQueue();
    cluster.apply(event);
    REQUIRE(cluster.waitFor(Millis(20'000), [&] { return cluster.checker.starts() >= 3; }));
    cluster.setFailing(false);
    cluster.clock.runFor(Millis(3'000));
    cluster.setAttempts(4);
    CHECK(cluster.reaches(JobStatus::Succeeded));
    CHECK(cluster.checker.starts() == 4);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against a default limit of attempts that is higher than the one of the removed queue.
TEST_CASE("A task does not start beyond the limit of its removed queue")
{
    const Meanwhile event = GENERATE(Meanwhile::Nothing, Meanwhile::OwnerLost, Meanwhile::AllRestarted);
    const bool isGang = GENERATE(false, true);
    StepSpec spec = step(isGang ? 3 : 1);
    spec.gang = isGang;
    RemovedQueueCluster cluster;
    cluster.setAttempts(2);
    cluster.submitFailing(job({ spec }));
    cluster.removeQueue();
    cluster.apply(event);
    CHECK(cluster.reaches(JobStatus::Failed));
    cluster.clock.runFor(Millis(5'000));
    CHECK(cluster.checker.starts() == 2 * spec.count);
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against an owner that knows only the limit at the job's submission.
TEST_CASE("The limit in force when a queue was removed outlives all processes")
{
    RemovedQueueCluster cluster;
    cluster.setAttempts(4);
    cluster.submitFailing();
    cluster.setAttempts(2);
    cluster.removeQueue();
    cluster.apply(Meanwhile::AllRestarted);
    CHECK(cluster.reaches(JobStatus::Failed));
    cluster.clock.runFor(Millis(5'000));
    CHECK(cluster.checker.starts() == 2);
}

/// Guards against a limit that is compared only when an attempt fails.
TEST_CASE("A task does not start beyond a limit that was lowered after its last failure")
{
    RemovedQueueCluster cluster;
    cluster.setAttempts(5);
    StepSpec spec = step(1);
    spec.needs.milliCpu = 8'000;
    cluster.submitFailing(job({ spec }));
    REQUIRE(cluster.waitFor(Millis(5'000), [&] { return cluster.checker.starts() == 3; }));
    // The third attempt ends while no other can start.
    cluster.workers.refusesStarts = true;
    cluster.clock.runFor(Millis(1'000));
    cluster.setAttempts(3);
    cluster.workers.refusesStarts = false;
    CHECK(cluster.reaches(JobStatus::Failed));
    CHECK(cluster.checker.starts() == 3);
}

/// Guards against a limit that is assumed for jobs which an earlier version of the program stored.
TEST_CASE("A job whose limit is unknown neither fails nor starts again after a failure until its queue is back")
{
    const std::uint32_t maxAttempts = GENERATE(1, 4);
    RemovedQueueCluster cluster;
    cluster.removeQueue();
    cluster.apply(Meanwhile::AllRestarted);
    cluster.clock.runFor(Millis(10'000));
    cluster.setFailing(true);
    const JobSpec spec = job({ step(1) });
    cluster.checker.noteSubmitted(id, spec, maxAttempts);
    cluster.store.put(jobKey(id), encode(recordWithoutPolicy(spec)));
    REQUIRE(cluster.waitFor(Millis(2'000), [&] { return cluster.checker.starts() == 1; }));
    cluster.setFailing(false);
    cluster.clock.runFor(Millis(5'000));
    CHECK(cluster.checker.starts() == 1);
    CHECK(cluster.shows(id, JobStatus::Running));
    cluster.setAttempts(maxAttempts);
    CHECK(cluster.reaches(maxAttempts == 1 ? JobStatus::Failed : JobStatus::Succeeded));
    CHECK(cluster.checker.starts() == std::min(maxAttempts, 2U));
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against jobs of removed queues that precede all others: 0 is the most urgent priority.
TEST_CASE("A waiting job keeps the priority of its removed queue")
{
    const Meanwhile event = GENERATE(Meanwhile::Nothing, Meanwhile::OwnerLost, Meanwhile::AllRestarted);
    RemovedQueueCluster cluster;
    cluster.configure([](QueueSettings& queue) { queue.priority = 5; });
    StepSpec wide = step(4);
    wide.needs.milliCpu = 8'000;
    cluster.workers.refusesStarts = true;
    cluster.submit(0, "work", id, job({ wide }));
    cluster.clock.runFor(Millis(500));
    cluster.configure([](QueueSettings& queue) {
        queue.name = "remaining";
        queue.priority = 1;
    });
    cluster.apply(event);
    cluster.clock.runFor(Millis(10'000));
    const std::string urgent = jobId(2);
    cluster.submit(cluster.isUp(0) ? 0 : 1, "remaining", urgent, job({ wide }));
    cluster.clock.runFor(Millis(1'000));
    cluster.workers.runTimes = [](const Attempt&) { return Millis(2'000); };
    cluster.workers.refusesStarts = false;
    REQUIRE(cluster.waitFor(Millis(3'000), [&] { return cluster.checker.starts() == 4; }));
    CHECK_FALSE(cluster.checker.workerOf(urgent, {}).empty());
    CHECK(cluster.checker.workerOf(id, {}).empty());
}

/// Guards against settings of removed queues that accumulate, or that replace newer ones.
TEST_CASE("A configuration retains the last settings of removed queues until they are back")
{
    ServiceConfiguration first = smallConfiguration(1);
    first.queues.front().maxAttempts = 7;
    ServiceConfiguration second;
    second.version = 2;
    second.retainRemovedQueues(first);
    CHECK(second.queue("work") == nullptr);
    REQUIRE(second.lastKnownQueue("work"));
    CHECK(second.lastKnownQueue("work")->settings->maxAttempts == 7);
    ServiceConfiguration third;
    third.version = 3;
    third.retainRemovedQueues(second);
    REQUIRE(third.lastKnownQueue("work"));
    CHECK(third.lastKnownQueue("work")->policy() == first.queues.front().policy(1));
    ServiceConfiguration fourth = smallConfiguration(4);
    fourth.retainRemovedQueues(third);
    CHECK(fourth.removedQueues.empty());
    REQUIRE(fourth.lastKnownQueue("work"));
    CHECK(fourth.lastKnownQueue("work")->settings->maxAttempts == 3);
}

/// Guards against jobs that get other settings when the configuration changes than when they are loaded.
TEST_CASE("Looking up all queues gives the same settings as looking up each")
{
    ServiceConfiguration first = smallConfiguration(1);
    first.queues.front().maxAttempts = 7;
    first.queues.push_back(first.queues.front());
    first.queues.back().name = "removed";
    ServiceConfiguration second = smallConfiguration(2);
    second.retainRemovedQueues(first);
    const std::map<std::string_view, KnownQueue> all = second.lastKnownQueues();
    REQUIRE(all.size() == second.queues.size() + 1);
    for (const auto& [name, known] : all) {
        const std::optional<KnownQueue> single = second.lastKnownQueue(name);
        REQUIRE(single);
        CHECK(single->settings == known.settings);
        CHECK(single->version == known.version);
    }
    CHECK(all.at("removed").policy() == first.queues.back().policy(1));
}

/// Guards against memory that grows with each queue that operators ever removed.
TEST_CASE("The number of retained queues is bounded, and the earliest removals are dropped")
{
    ServiceConfiguration current;
    constexpr std::size_t removals = 1'100;
    for (std::size_t i = 0; i < removals; ++i) {
        ServiceConfiguration with;
        with.queues.push_back({ .name = std::to_string(i) });
        with.retainRemovedQueues(current);
        ServiceConfiguration without;
        without.retainRemovedQueues(with);
        current = without;
    }
    CHECK(current.removedQueues.size() == 1'000);
    CHECK_FALSE(current.lastKnownQueue("0"));
    CHECK(current.lastKnownQueue(std::to_string(removals - 1)));
}
