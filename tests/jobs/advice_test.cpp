/// Guards against jobs that never start although workers may run them: only the first 30 workers of a pool were ever named to the placement
/// advisor, and its answers outlived the incarnations that they were about.

#include "lanemoor/jobs/policy/step_advice.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

const std::string id = jobId(1);
constexpr MonotonicInstant start { std::chrono::seconds(100) };

/// Queue `advised` needs tickets, queue `work` does not. Only instances in `allowed` may run the steps of `advised`.
struct AdvisedCluster : SmallCluster {
    explicit AdvisedCluster(std::size_t instances = 40, std::size_t entries = 3)
        : SmallCluster(1, entries, instances, 0)
    {
        configureAdvised(2);
        workers.advisor.needsTicket = [this](const std::string& job) { return !unadvised.contains(job); };
        workers.advisor.admits = [this](const model::WorkerModel& worker, const std::string&) { return allowed.contains(worker.instance); };
        clock.runFor(Millis(1'000));
    }

    /// \param hasReserve Whether idle instances may move to a reserve.
    void configureAdvised(std::uint64_t version, bool hasAdvised = true, bool hasReserve = false)
    {
        ServiceConfiguration configuration = smallConfiguration(version);
        QueueSettings queue = configuration.queues.front();
        queue.name = "advised";
        queue.pathPrefix = "/a/";
        queue.advice = AdvicePolicy { .decisionTime = workers.advisor.decisionTime, .timePerWorker = workers.advisor.timePerWorker, .validity = workers.advisor.validity };
        if (hasAdvised)
            configuration.queues.push_back(queue);
        if (!hasReserve)
            configuration.pools = { { .name = "main" } };
        configure(configuration);
    }

    [[nodiscard]] std::string workerOn(const std::string& instance) { return workers.workerOn(instance)->entry.id; }

    void submitAdvised(std::uint64_t number, const JobSpec& spec) { submit(isUp(0) ? 0 : 1, "advised", jobId(number), spec); }

    /// \returns Whether tasks start until there are `count` starts.
    bool starts(std::uint64_t count, Millis time = Millis(3'000))
    {
        return waitFor(time, [&] { return checker.starts() >= count; });
    }

    std::set<std::string> allowed;
    std::set<std::string> unadvised; ///< Jobs of queue `work`.
};

JobSpec lasting()
{
    StepSpec spec = step(1);
    spec.longRunning = true;
    return job({ spec });
}

JobSpec gang(std::uint32_t members)
{
    StepSpec spec = step(members);
    spec.gang = true;
    spec.maxPerInstance = 1;
    return job({ spec });
}

AdviceCandidate unasked(bool hasRoom = true, bool isNear = true)
{
    return { .state = AdviceState::Unasked, .hasTicket = false, .hasRoom = hasRoom, .isNear = isNear };
}

AdviceCandidate allowed(bool hasTicket)
{
    return { .state = AdviceState::Allowed, .hasTicket = hasTicket, .hasRoom = true, .isNear = true };
}

} // namespace

/// Guards against a caller that names the same workers again and again.
TEST_CASE("A task starts on the only allowed worker wherever it is in the pool")
{
    const std::size_t instances = GENERATE(40, 110);
    AdvisedCluster cluster(instances);
    cluster.allowed = { "m-" + std::to_string(instances - 1) };
    cluster.submitAdvised(1, job({ step(1) }));
    CHECK(cluster.starts(1));
    CHECK(cluster.checker.workerOf(id, {}) == cluster.workerOn(*cluster.allowed.begin()));
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against advice that is not asked for again after an allowed worker is lost or full.
TEST_CASE("A task starts on another allowed worker when the known ones are lost or full")
{
    const bool isLost = GENERATE(false, true);
    AdvisedCluster cluster;
    cluster.allowed = { "m-0", "m-38", "m-39" };
    cluster.submitAdvised(1, lasting());
    REQUIRE(cluster.starts(1));
    StepSpec wide = step(1);
    wide.needs.milliCpu = 8'000;
    if (isLost)
        cluster.workers.crash(cluster.checker.workerOf(id, {}), Millis(60'000));
    cluster.clock.runFor(Millis(10'000));
    const std::uint64_t before = cluster.checker.starts();
    cluster.submitAdvised(2, job({ wide }));
    CHECK(cluster.starts(before + 1));
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against an answer on an incarnation that is taken for one on its successor.
TEST_CASE("A new incarnation on the only allowed instance is asked about at once")
{
    const bool keepsId = GENERATE(false, true);
    AdvisedCluster cluster(8);
    cluster.workers.advisor.validity = Millis(60'000);
    cluster.configureAdvised(3);
    cluster.allowed = { "m-3" };
    cluster.submitAdvised(1, lasting());
    REQUIRE(cluster.starts(1));
    cluster.clock.runFor(Millis(1'500));
    const std::string worker = cluster.workerOn("m-3");
    if (keepsId)
        cluster.workers.restart(worker, Millis(4'500));
    else
        cluster.workers.crash(worker, Millis(4'500));
    cluster.clock.runFor(Millis(4'500));
    CHECK(cluster.starts(2, Millis(4'000)));
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against a refusal that is kept for a later incarnation, which the advisor may allow.
TEST_CASE("A refusal ends with the incarnation")
{
    AdvisedCluster cluster(8);
    std::set<std::uint64_t> allowedIncarnations;
    cluster.workers.advisor.admits = [&](const model::WorkerModel& worker, const std::string&) { return allowedIncarnations.contains(worker.incarnation); };
    cluster.submitAdvised(1, job({ step(1) }));
    cluster.clock.runFor(Millis(3'000));
    REQUIRE(cluster.checker.starts() == 0);
    const std::string worker = cluster.workerOn("m-3");
    allowedIncarnations.insert(9);
    cluster.workers.restart(worker, Millis(1'000));
    CHECK(cluster.starts(1, Millis(8'000)));
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against calls that never end: a refusal does not change during an incarnation.
TEST_CASE("A step that no worker may run is asked about once for each worker, and again for workers that join")
{
    AdvisedCluster cluster;
    cluster.submitAdvised(1, job({ step(1) }));
    cluster.clock.runFor(Millis(5'000));
    const std::uint64_t calls = cluster.workers.advisor.calls();
    CHECK(calls == 2);
    cluster.clock.runFor(Millis(20'000));
    CHECK(cluster.workers.advisor.calls() == calls);
    const JobReport report = cluster.entry(cluster.owner().value()).job(id).value();
    REQUIRE(report.steps.front().wait);
    CHECK(report.steps.front().wait->needsAdvice);
    CHECK(report.steps.front().wait->asked == 40);
    CHECK(report.steps.front().wait->allowed == 0);
    cluster.allowed = { "m-new" };
    cluster.workers.addInstance("m-new", "main", "r-new", { .milliCpu = 8'000, .memoryMb = 16'000 });
    CHECK(cluster.starts(1));
}

/// Guards against a step without allowed workers that holds up all others.
TEST_CASE("Steps take turns at the advisor")
{
    AdvisedCluster cluster(110);
    cluster.workers.advisor.admits = [](const model::WorkerModel& worker, const std::string& step) { return step.starts_with(jobId(9)) && worker.instance == "m-0"; };
    for (std::uint64_t number = 1; number <= 4; ++number)
        cluster.submitAdvised(number, job({ step(1) }));
    cluster.clock.runFor(Millis(50));
    cluster.submitAdvised(9, job({ step(1) }));
    // One call of each of the four steps, and one of its own.
    CHECK(cluster.starts(1, Millis(1'200)));
}

/// Guards against a gang whose members wait for tickets one after another.
TEST_CASE("A gang starts when all its members can have tickets at the same time")
{
    AdvisedCluster cluster(110);
    cluster.workers.advisor.validity = Millis(1'000);
    cluster.configureAdvised(3);
    cluster.allowed = { "m-1", "m-55", "m-108", "m-109" };
    cluster.submitAdvised(1, gang(4));
    CHECK(cluster.starts(4, Millis(6'000)));
    CHECK(cluster.checker.breaches().empty());
}

/// Guards against an outage of the advisor that holds up more than the steps that need it, or that outlasts its end.
TEST_CASE("While the advisor is silent other jobs run, and afterwards the waiting ones start")
{
    AdvisedCluster cluster(8);
    cluster.allowed = { "m-5" };
    cluster.workers.advisor.isSilent = true;
    cluster.submitAdvised(1, job({ step(1) }));
    cluster.unadvised = { jobId(2) };
    cluster.submit(0, "work", jobId(2), job({ step(8) }));
    CHECK(cluster.starts(8, Millis(1'000)));
    cluster.clock.runFor(Millis(20'000));
    const std::uint64_t calls = cluster.workers.advisor.calls();
    CHECK(calls <= 12);
    cluster.workers.advisor.isSilent = false;
    CHECK(cluster.starts(9, Millis(5'000)));
}

/// Guards against a pool that shrinks while the advisor is silent: the waiting task is no demand, and its only allowed instance moves to the reserve.
TEST_CASE("An instance that may run a waiting task of a queue with advice stays in its pool")
{
    AdvisedCluster cluster(8);
    cluster.configureAdvised(3, true, true);
    cluster.allowed = { "m-5" };
    cluster.workers.advisor.isSilent = true;
    cluster.submitAdvised(1, job({ step(1) }));
    cluster.clock.runFor(Millis(20'000));
    cluster.workers.advisor.isSilent = false;
    CHECK(cluster.starts(1, Millis(10'000)));
}

/// Guards against a ticket that is used up by the margin for its transport.
TEST_CASE("A task starts with tickets that are shorter than a call")
{
    AdvisedCluster cluster;
    cluster.workers.advisor.validity = Millis(100);
    cluster.configureAdvised(3);
    cluster.allowed = { "m-39" };
    cluster.submitAdvised(1, job({ step(1) }));
    CHECK(cluster.starts(1));
}

/// Guards against a ticket that a worker rejects and that is used again until its time is over.
TEST_CASE("A rejected ticket is replaced")
{
    AdvisedCluster cluster(8);
    cluster.allowed = { "m-3" };
    StepSpec wide = step(2);
    wide.needs.milliCpu = 8'000;
    cluster.submitAdvised(1, job({ wide }));
    REQUIRE(cluster.starts(1));
    cluster.workers.advisor.revokeTickets();
    CHECK(cluster.starts(2, Millis(1'500)));
}

/// Guards against an owner that relies on its predecessor's answers.
TEST_CASE("A new owner asks the advisor anew, also while the queue is removed")
{
    AdvisedCluster cluster;
    cluster.allowed = { "m-39" };
    cluster.submitAdvised(1, lasting());
    REQUIRE(cluster.starts(1));
    cluster.configureAdvised(3, false);
    cluster.clock.runFor(Millis(500));
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        cluster.kill(i);
    cluster.workers.crash(cluster.checker.workerOf(id, {}), Millis(1'000));
    for (std::size_t i = 0; i < cluster.entries(); ++i)
        cluster.start(i);
    CHECK(cluster.starts(2, Millis(15'000)));
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("An answer holds for the incarnation, a ticket until it expires or is dropped")
{
    StepAdvice advice;
    CHECK(advice.stateOf(1) == AdviceState::Unasked);
    advice.allow(1, "t", start + Millis(100));
    advice.refuse(2);
    CHECK(advice.stateOf(2) == AdviceState::Refused);
    CHECK(advice.ticketOf(2, start) == nullptr);
    REQUIRE(advice.ticketOf(1, start));
    CHECK(*advice.ticketOf(1, start) == "t");
    CHECK(advice.ticketOf(1, start + Millis(100)) == nullptr);
    CHECK(advice.stateOf(1) == AdviceState::Allowed);
    advice.dropTicket(1);
    CHECK(advice.ticketOf(1, start) == nullptr);
    CHECK(advice.stateOf(1) == AdviceState::Allowed);
    CHECK(advice.answers() == 2);
}

TEST_CASE("The first call names few likely workers, later ones up to the platform's bound")
{
    std::vector<AdviceCandidate> candidates(300, unasked(true, false));
    candidates[200] = unasked(true, true);
    candidates[0] = unasked(false, true);
    const AdviceNeed need { .tasks = 1, .allowedPlaces = {} };
    const std::vector<std::size_t> first = selectForAdvice(candidates, need, 0);
    CHECK(first.size() == 30);
    CHECK(first.front() == 200);
    CHECK(std::find(first.begin(), first.end(), 0) == first.end());
    CHECK(selectForAdvice(candidates, need, 60).size() == 60);
    CHECK(selectForAdvice(candidates, need, 250).size() == 100);
}

TEST_CASE("No call is made while no worker that it could allow has room")
{
    const std::vector<AdviceCandidate> candidates { unasked(false), allowed(true), { .state = AdviceState::Refused, .hasTicket = false, .hasRoom = true, .isNear = true } };
    CHECK(selectForAdvice(candidates, { .tasks = 1, .allowedPlaces = {} }, 3).empty());
}

TEST_CASE("Tickets of allowed workers are renewed before others are asked about")
{
    const std::vector<AdviceCandidate> candidates { unasked(), allowed(false), allowed(true) };
    CHECK(selectForAdvice(candidates, { .tasks = 1, .allowedPlaces = { 1 } }, 3) == std::vector<std::size_t> { 1 });
    CHECK(selectForAdvice(candidates, { .tasks = 3, .allowedPlaces = { 1, 2 } }, 3) == std::vector<std::size_t> { 1, 0 });
    CHECK(selectForAdvice(candidates, { .tasks = 1, .allowedPlaces = { 2 } }, 3).empty());
    // A gang's tickets are renewed together, and those of an incomplete gang not at all.
    CHECK(selectForAdvice(candidates, { .isGang = true, .tasks = 2, .allowedPlaces = { 1, 2 } }, 3) == std::vector<std::size_t> { 1, 2 });
    CHECK(selectForAdvice(candidates, { .isGang = true, .tasks = 3, .allowedPlaces = { 1, 2 } }, 3) == std::vector<std::size_t> { 0 });
}
