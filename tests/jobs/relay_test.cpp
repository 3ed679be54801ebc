/// Calls to workers that other entry instances relay for the owner.

#include "jobs/relay/relay_codec.h"
#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/relay/command_relay.h"
#include "lanemoor/jobs/relay/relayed_workers.h"
#include "support.h"

#include <catch2/catch.hpp>
#include <set>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr MonotonicInstant now { std::chrono::seconds(100) };

/// Records the calls to workers, and answers each with success.
class RecordingWorkers final : public WorkerControl {
public:
    explicit RecordingWorkers(EventLoop& loop)
        : m_loop(loop)
    {
    }

    std::vector<std::string> starts; ///< Payloads.
    std::vector<std::string> renewals; ///< Worker ids.
    std::vector<std::string> forgotten;
    ReportCoverage coverage = ReportCoverage::Complete; ///< Of the answers to renewals.

    void start(const WorkerIncarnation&, const StartCommand& command, std::function<void(CommandResult)> done) override
    {
        starts.push_back(command.payload);
        m_loop.callAt(m_loop.now(), [done] { done({ .outcome = CommandOutcome::Done, .workerClock = 7 }); });
    }

    void stop(const WorkerIncarnation&, const Attempt&, std::uint64_t, std::function<void(CommandResult)> done) override
    {
        m_loop.callAt(m_loop.now(), [done] { done({ .outcome = CommandOutcome::Done }); });
    }

    void renew(const WorkerIncarnation& worker, const RenewCommand&, std::function<void(RenewResult)> done) override
    {
        renewals.push_back(worker.id);
        RenewResult result { .outcome = CommandOutcome::Done, .workerClock = 9, .running = {}, .ended = {}, .coverage = coverage };
        result.running.push_back({ .attempt = { "job", { 1, 2, 3 }, 4 }, .checkpoint = "half", .percent = 50, .load = 5 });
        result.ended.push_back({ .sequence = 6, .attempt = { "job", { 0, 1, 2 }, 3 }, .end = AttemptEnd::GangBroken, .checkpoint = "c" });
        m_loop.callAt(m_loop.now(), [done, result] { done(result); });
    }

    void throttle(const WorkerIncarnation&, const Attempt&, std::uint32_t, std::uint64_t, std::function<void(CommandResult)> done) override
    {
        m_loop.callAt(m_loop.now(), [done] { done({ .outcome = CommandOutcome::Done }); });
    }

    void closeConnections(const WorkerIncarnation& worker) override { forgotten.push_back(worker.id); }

private:
    EventLoop& m_loop;
};

/// An owner and two relays on a simulated network.
struct RelayFixture {
    RelayFixture()
    {
        owner.activate();
        first.setOwner("owner");
        second.setOwner("owner");
        clock.runFor(Millis(50));
    }

    /// Sends one renewal to each of `workers` workers. The results go to `outcomes`, by worker id.
    void renewAll(std::size_t workers)
    {
        for (std::size_t i = 0; i < workers; ++i) {
            const WorkerIncarnation worker { "w" + std::to_string(i), "10.0.0.1:1" };
            owner.renew(worker, { .leaseUntil = 1, .epoch = 2, .endsStoredUpTo = 3, .wait = Millis(0) }, [this, id = worker.id](const RenewResult& result) { outcomes[id] = result; });
        }
    }

    std::mt19937_64 random { 1 };
    model::SimClock clock;
    model::PeersModel peers { clock, random };
    model::StoreModel storeModel { clock, random };
    EventLog log { { .discard = true } };
    model::SimProcess ownerProcess { clock };
    model::SimProcess firstProcess { clock };
    model::SimProcess secondProcess { clock };
    model::StoreClient store { storeModel, firstProcess };
    model::PeerPort ownerPort { peers, ownerProcess, "owner" };
    model::PeerPort firstPort { peers, firstProcess, "first" };
    model::PeerPort secondPort { peers, secondProcess, "second" };
    RecordingWorkers direct { ownerProcess };
    RecordingWorkers byFirst { firstProcess };
    RecordingWorkers bySecond { secondProcess };
    RelayedWorkers owner { { .loop = &ownerProcess, .peers = &ownerPort, .direct = &direct, .log = &log }, { .workersPerCore = 4 }, 1.0 };
    CommandRelay first { { .loop = &firstProcess, .peers = &firstPort, .workers = &byFirst, .store = &store, .log = &log }, "first", 1.0 };
    CommandRelay second { { .loop = &secondProcess, .peers = &secondPort, .workers = &bySecond, .store = &store, .log = &log }, "second", 1.0 };
    std::map<std::string, RenewResult> outcomes;
};

} // namespace

/// Guards against attempts that the owner takes for vanished since a relay's answer lost the mark of a partial report.
TEST_CASE("Relays pass on whether a status report is complete")
{
    RelayFixture fixture;
    const ReportCoverage coverage = GENERATE(ReportCoverage::Complete, ReportCoverage::Partial);
    for (RecordingWorkers* workers : { &fixture.direct, &fixture.byFirst, &fixture.bySecond })
        workers->coverage = coverage;
    fixture.renewAll(10);
    fixture.clock.runFor(Millis(200));
    REQUIRE(!fixture.byFirst.renewals.empty());
    for (const auto& [worker, result] : fixture.outcomes)
        CHECK(result.coverage == coverage);
}

/// Guards against answers of relays of an earlier version, which know no partial reports: only an empty list of ends proves that
/// there are no others.
TEST_CASE("Answers of relays that do not mark complete reports are partial unless they list no end")
{
    wire::RelayAnswer answer;
    CHECK(renewResultOf(answer).coverage == ReportCoverage::Complete);
    answer.add_ended();
    CHECK(renewResultOf(answer).coverage == ReportCoverage::Partial);
    answer.set_complete(true);
    CHECK(renewResultOf(answer).coverage == ReportCoverage::Complete);
}

TEST_CASE("As long as the owner's machine can carry all calls, there are no relays in use")
{
    RelayPlan plan({ .workersPerCore = 10 }, 0.5);
    plan.addRelay("large", 0.5);
    for (int i = 0; i < 5; ++i)
        CHECK(plan.relayOf("w" + std::to_string(i), now).empty());
    CHECK(plan.relaysInUse() == 0);
    CHECK(plan.relayOf("w5", now) == "large");
    CHECK(plan.relaysInUse() == 1);
    // Workers that were called directly are assigned to it too.
    CHECK(plan.relayOf("w0", now) == "large");
}

TEST_CASE("Machines with the most processor time relay first, and each by what it has")
{
    RelayPlan plan({ .workersPerCore = 10 }, 0.1);
    plan.addRelay("a-small", 0.2);
    plan.addRelay("b-large", 1.0);
    plan.addRelay("c-large", 1.0);
    std::map<std::string, int> byRelay;
    for (int round = 0; round < 2; ++round) {
        byRelay.clear();
        for (int i = 0; i < 20; ++i)
            ++byRelay[plan.relayOf("w" + std::to_string(i), now)];
    }
    CHECK(byRelay.count("a-small") == 0);
    CHECK(byRelay["b-large"] >= 8);
    CHECK(byRelay["c-large"] >= 8);
    for (int i = 20; i < 23; ++i)
        static_cast<void>(plan.relayOf("w" + std::to_string(i), now));
    CHECK(plan.relaysInUse() == 3);
}

TEST_CASE("A relay that joins late gets its share of workers from the others")
{
    RelayPlan plan({ .workersPerCore = 10 }, 0.1);
    plan.addRelay("early", 2.0);
    for (int i = 0; i < 40; ++i)
        static_cast<void>(plan.relayOf("w" + std::to_string(i), now));
    plan.addRelay("late", 2.0);
    std::map<std::string, int> byRelay;
    for (int i = 0; i < 40; ++i)
        ++byRelay[plan.relayOf("w" + std::to_string(i), now)];
    CHECK(byRelay["late"] >= 14);
    CHECK(byRelay["early"] + byRelay["late"] == 40);
}

TEST_CASE("The workers of a removed relay are reassigned, or called directly")
{
    RelayPlan plan({ .workersPerCore = 10 }, 0.1);
    plan.addRelay("a", 1.0);
    plan.addRelay("b", 1.0);
    std::set<std::string> used;
    CHECK(plan.relayOf("w0", now).empty()); // The owner's machine has capacity for one worker.
    for (int i = 1; i < 15; ++i)
        used.insert(plan.relayOf("w" + std::to_string(i), now));
    CHECK(used == std::set<std::string> { "a", "b" });
    plan.removeRelay("a");
    for (int i = 0; i < 15; ++i)
        CHECK(plan.relayOf("w" + std::to_string(i), now) == "b");
    plan.removeRelay("b");
    CHECK(plan.relayOf("w1", now).empty());
}

TEST_CASE("A worker that does not answer through one relay is called through another")
{
    RelayPlan plan({ .workersPerCore = 10 }, 0.1);
    plan.addRelay("a", 1.0);
    plan.addRelay("b", 1.0);
    for (int round = 0; round < 2; ++round) {
        for (int i = 0; i < 15; ++i)
            static_cast<void>(plan.relayOf("w" + std::to_string(i), now));
    }
    const std::string before = plan.relayOf("w3", now);
    plan.noteUnanswered(before, "w3", now);
    CHECK(plan.relayOf("w3", now) != before);
}

TEST_CASE("A relay with consecutive unanswered calls is suspended and gets no workers meanwhile")
{
    RelayPlan plan({ .workersPerCore = 10 }, 0.1);
    plan.addRelay("a", 2.0);
    plan.addRelay("b", 2.0);
    for (int i = 0; i < 30; ++i)
        static_cast<void>(plan.relayOf("w" + std::to_string(i), now));
    for (int i = 0; i < 30; ++i) {
        if (plan.relayOf("w" + std::to_string(i), now) == "a")
            plan.noteUnanswered("a", "w" + std::to_string(i), now);
    }
    for (int i = 0; i < 40; ++i)
        CHECK(plan.relayOf("w" + std::to_string(i), now + Millis(4'000)) == "b");
    // After the suspension it gets one worker, and its full share once that worker answers.
    const auto workersOfA = [&](MonotonicInstant when) {
        int workers = 0;
        for (int i = 0; i < 40; ++i)
            workers += plan.relayOf("w" + std::to_string(i), when) == "a" ? 1 : 0;
        return workers;
    };
    CHECK(workersOfA(now + Millis(6'000)) <= 2);
    CHECK(workersOfA(now + Millis(6'000)) >= 1);
    plan.noteAnswered("a");
    CHECK(workersOfA(now + Millis(6'100)) >= 14);
}

TEST_CASE("Relays are released only when the others have spare capacity")
{
    RelayPlan plan({ .workersPerCore = 10, .shrinkAt = 1.5 }, 0.1);
    for (const char* name : { "a", "b", "c" })
        plan.addRelay(name, 1.0);
    for (int i = 0; i < 25; ++i)
        static_cast<void>(plan.relayOf("w" + std::to_string(i), now));
    CHECK(plan.relaysInUse() == 3);
    for (int i = 24; i >= 18; --i)
        plan.removeWorker("w" + std::to_string(i));
    CHECK(plan.relaysInUse() == 3);
    for (int i = 17; i >= 13; --i)
        plan.removeWorker("w" + std::to_string(i));
    CHECK(plan.relaysInUse() == 2);
    for (int i = 12; i >= 0; --i)
        plan.removeWorker("w" + std::to_string(i));
    CHECK(plan.relaysInUse() == 0);
}

TEST_CASE("Calls and answers pass through relays unchanged")
{
    RelayFixture fixture;
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(100));
    REQUIRE(fixture.outcomes.size() == 8);
    CHECK(fixture.byFirst.renewals.size() + fixture.bySecond.renewals.size() >= 4);
    CHECK(fixture.owner.counts().relays == 2);
    const RenewResult& result = fixture.outcomes["w7"];
    CHECK(result.outcome == CommandOutcome::Done);
    CHECK(result.workerClock == 9);
    CHECK(result.running == std::vector<RunningAttempt> { { .attempt = { "job", { 1, 2, 3 }, 4 }, .checkpoint = "half", .percent = 50, .load = 5 } });
    CHECK(result.ended == std::vector<EndedAttempt> { { .sequence = 6, .attempt = { "job", { 0, 1, 2 }, 3 }, .end = AttemptEnd::GangBroken, .checkpoint = "c" } });
    fixture.owner.closeConnections({ "w7", "10.0.0.1:1" });
    fixture.clock.runFor(Millis(20));
    CHECK(fixture.byFirst.forgotten.size() + fixture.bySecond.forgotten.size() == 1);
}

TEST_CASE("A long payload is read from the store by the relay, once")
{
    RelayFixture fixture;
    const std::string payload(3'000, 'x');
    fixture.storeModel.put(jobKey("job"), encode(JobRecord { .queue = "q", .pool = "p", .acceptedAt = {}, .spec = job({ step(3) }) }));
    JobRecord record { .queue = "q", .pool = "p", .acceptedAt = {}, .spec = job({ step(3) }) };
    record.spec.payload = payload;
    fixture.storeModel.put(jobKey("job"), encode(record));
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(100));
    std::vector<CommandOutcome> outcomes;
    for (std::uint32_t i = 0; i < 8; ++i) {
        const StartCommand command { .attempt = { "job", { 0, 0, i }, 1 }, .payload = payload, .leaseUntil = 5, .epoch = 2, .checkpoint = {}, .ticket = {} };
        fixture.owner.start({ "w" + std::to_string(i), "10.0.0.1:1" }, command, [&](const CommandResult& result) { outcomes.push_back(result.outcome); });
    }
    fixture.clock.runFor(Millis(200));
    CHECK(outcomes == std::vector<CommandOutcome>(8, CommandOutcome::Done));
    REQUIRE(fixture.byFirst.starts.size() + fixture.bySecond.starts.size() == 8);
    for (const std::string& started : fixture.byFirst.starts)
        CHECK(started == payload);
}

// Guards against starts that a relay sends after a pause, although cancels or evacuations forbid them meanwhile.
TEST_CASE("A relay that is paused while it waits for a payload does not send the start afterwards")
{
    for (int pauseAfter = 0; pauseAfter < 20; ++pauseAfter) {
        RelayFixture fixture;
        fixture.renewAll(8);
        fixture.clock.runFor(Millis(100));
        const std::string payload(3'000, 'x');
        JobRecord record { .queue = "q", .pool = "p", .acceptedAt = {}, .spec = job({ step(8) }) };
        record.spec.payload = payload;
        fixture.storeModel.put(jobKey("job"), encode(record));
        for (std::uint32_t i = 0; i < 8; ++i) {
            const StartCommand command { .attempt = { "job", { 0, 0, i }, 1 }, .payload = payload, .leaseUntil = 5, .epoch = 2, .checkpoint = {}, .ticket = {} };
            fixture.owner.start({ "w" + std::to_string(i), "10.0.0.1:1" }, command, [](const CommandResult&) {});
        }
        fixture.clock.runFor(Millis(pauseAfter));
        const std::size_t before = fixture.byFirst.starts.size() + fixture.bySecond.starts.size();
        for (model::SimProcess* process : { &fixture.firstProcess, &fixture.secondProcess })
            process->freeze();
        fixture.clock.runFor(Millis(3'000));
        for (model::SimProcess* process : { &fixture.firstProcess, &fixture.secondProcess })
            process->thaw();
        fixture.clock.runFor(Millis(20));
        CHECK(fixture.byFirst.starts.size() + fixture.bySecond.starts.size() == before);
    }
}

TEST_CASE("A payload that the relay can't read from the store is sent with the call")
{
    RelayFixture fixture;
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(100));
    fixture.store.partitioned = true; // Both relays use the same client here.
    const std::string payload(3'000, 'x');
    std::vector<CommandOutcome> outcomes;
    const auto startAll = [&](std::uint64_t number) {
        for (std::uint32_t i = 0; i < 8; ++i) {
            const StartCommand command { .attempt = { "job", { 0, 0, i }, number }, .payload = payload, .leaseUntil = 5, .epoch = 2, .checkpoint = {}, .ticket = {} };
            fixture.owner.start({ "w" + std::to_string(i), "10.0.0.1:1" }, command, [&](const CommandResult& result) { outcomes.push_back(result.outcome); });
        }
    };
    startAll(1);
    fixture.clock.runFor(Millis(400));
    CHECK(outcomes == std::vector<CommandOutcome>(8, CommandOutcome::Done));
    REQUIRE(fixture.byFirst.starts.size() + fixture.bySecond.starts.size() == 8);
    for (const std::string& started : fixture.byFirst.starts)
        CHECK(started == payload);
    // The next starts do not wait for the store.
    startAll(2);
    fixture.clock.runFor(Millis(40));
    CHECK(outcomes.size() == 16);
    // A payload that arrives late does not start the task a second time.
    fixture.store.partitioned = false;
    fixture.clock.runFor(Millis(3'000));
    CHECK(fixture.byFirst.starts.size() + fixture.bySecond.starts.size() == 16);
}

TEST_CASE("The calls of an unresponsive relay end as unknown within a second, and other relays call its workers")
{
    RelayFixture fixture;
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(100));
    fixture.peers.faults.partitioned = { "first" };
    fixture.outcomes.clear();
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(1'100));
    REQUIRE(fixture.outcomes.size() == 8);
    std::size_t unknown = 0;
    for (const auto& [id, result] : fixture.outcomes)
        unknown += result.outcome == CommandOutcome::Unknown ? 1 : 0;
    CHECK(unknown >= 3);
    CHECK(unknown <= 5);
    fixture.outcomes.clear();
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(50));
    REQUIRE(fixture.outcomes.size() == 8);
    for (const auto& [id, result] : fixture.outcomes)
        CHECK(result.outcome == CommandOutcome::Done);
    // The relay is used again once it is reachable.
    fixture.peers.faults.partitioned.clear();
    fixture.clock.runFor(Millis(7'000));
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(50));
    CHECK(fixture.owner.counts().relays == 2);
}

TEST_CASE("A connection that stays unresponsive is replaced")
{
    RelayFixture fixture;
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(100));
    fixture.peers.makeAllUnresponsive();
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(8'000));
    fixture.outcomes.clear();
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(50));
    CHECK(fixture.owner.counts().relays == 2);
    for (const auto& [id, result] : fixture.outcomes)
        CHECK(result.outcome == CommandOutcome::Done);
}

TEST_CASE("A relay that was frozen does not make the calls that queued up meanwhile")
{
    RelayFixture fixture;
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(100));
    fixture.firstProcess.freeze();
    const std::size_t before = fixture.byFirst.renewals.size();
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(700));
    fixture.firstProcess.thaw();
    fixture.clock.runFor(Millis(50));
    CHECK(fixture.byFirst.renewals.size() == before);
}

TEST_CASE("A relay that leaves answers its pending calls and gets no new ones")
{
    RelayFixture fixture;
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(100));
    fixture.first.leave();
    fixture.clock.runFor(Millis(50));
    const std::size_t before = fixture.byFirst.renewals.size();
    fixture.outcomes.clear();
    fixture.renewAll(8);
    fixture.clock.runFor(Millis(50));
    CHECK(fixture.byFirst.renewals.size() == before);
    REQUIRE(fixture.outcomes.size() == 8);
    for (const auto& [id, result] : fixture.outcomes)
        CHECK(result.outcome == CommandOutcome::Done);
    CHECK(fixture.first.inFlight() == 0);
}

TEST_CASE("Jobs run through relays, even if a relay fails meanwhile")
{
    SmallCluster cluster(7, 3, 6, 0, 1);
    for (std::uint64_t i = 1; i <= 6; ++i)
        cluster.submit(i % 3, "work", jobId(i), job({ step(4), step(2, { 0 }) }));
    cluster.clock.runFor(Millis(300));
    const std::size_t owner = cluster.owner().value();
    const std::string metrics = cluster.entry(owner).metrics();
    CHECK(metrics.find("lanemoor_relays_in_use 2") != std::string::npos);
    cluster.kill((owner + 1) % 3, true);
    for (std::uint64_t i = 1; i <= 6; ++i)
        CHECK(cluster.waitFor(Millis(10'000), [&] { return cluster.shows(jobId(i), JobStatus::Succeeded, owner); }));
    CHECK(cluster.checker.breaches().empty());
}

TEST_CASE("Without a failure of owner or relays no lease expires and every start is acknowledged")
{
    SmallCluster cluster(8, 3, 6, 0, 1);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        cluster.submit(i % 3, "work", jobId(i), job({ step(4) }));
        cluster.clock.runFor(Millis(250));
    }
    cluster.clock.runFor(Millis(4'000));
    const std::string metrics = cluster.entry(cluster.owner().value()).metrics();
    CHECK(metrics.find("lanemoor_task_start_doubts_total 0") != std::string::npos);
    CHECK(metrics.find("lanemoor_task_lapses_total 0") != std::string::npos);
    CHECK(metrics.find("lanemoor_relay_calls_unanswered_total 0") != std::string::npos);
}
