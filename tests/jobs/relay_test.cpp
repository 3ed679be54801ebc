/// Calls to workers that other entry instances carry for the owner.

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/relay/order_relay.h"
#include "lanemoor/jobs/relay/relayed_workers.h"
#include "support.h"

#include <catch2/catch.hpp>
#include <set>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr MonotonicInstant now { std::chrono::seconds(100) };

/// Workers that note who called them last, and answer when they are told to.
class NotingWorkers final : public WorkerControl {
public:
    explicit NotingWorkers(EventLoop& loop)
        : m_loop(loop)
    {
    }

    std::vector<std::string> starts; ///< Payloads.
    std::vector<std::string> renewals; ///< Ids of lives.
    std::vector<std::string> forgotten;

    void start(const WorkerLife&, const StartOrder& order, std::function<void(OrderResult)> done) override
    {
        starts.push_back(order.payload);
        m_loop.callAt(m_loop.now(), [done] { done({ .outcome = OrderOutcome::Done, .workerClock = 7 }); });
    }

    void stop(const WorkerLife&, const Attempt&, std::uint64_t, std::function<void(OrderResult)> done) override
    {
        m_loop.callAt(m_loop.now(), [done] { done({ .outcome = OrderOutcome::Done }); });
    }

    void renew(const WorkerLife& worker, const RenewOrder&, std::function<void(RenewResult)> done) override
    {
        renewals.push_back(worker.id);
        RenewResult result { .outcome = OrderOutcome::Done, .workerClock = 9, .running = {}, .ended = {} };
        result.running.push_back({ .attempt = { "job", { 1, 2, 3 }, 4 }, .checkpoint = "half", .percent = 50, .load = 5 });
        result.ended.push_back({ .sequence = 6, .attempt = { "job", { 0, 1, 2 }, 3 }, .end = AttemptEnd::GangBroken, .checkpoint = "c" });
        m_loop.callAt(m_loop.now(), [done, result] { done(result); });
    }

    void throttle(const WorkerLife&, const Attempt&, std::uint32_t, std::uint64_t, std::function<void(OrderResult)> done) override
    {
        m_loop.callAt(m_loop.now(), [done] { done({ .outcome = OrderOutcome::Done }); });
    }

    void forget(const WorkerLife& worker) override { forgotten.push_back(worker.id); }

private:
    EventLoop& m_loop;
};

/// An owner and two relays on a simulated network.
struct Link {
    Link()
    {
        owner.activate();
        first.follow("owner");
        second.follow("owner");
        clock.runFor(Millis(50));
    }

    /// Renews `workers` lives once. \returns The outcomes so far, by life.
    void renewAll(std::size_t workers)
    {
        for (std::size_t i = 0; i < workers; ++i) {
            const WorkerLife life { "w" + std::to_string(i), "10.0.0.1:1" };
            owner.renew(life, { .leaseUntil = 1, .epoch = 2, .endsStoredUpTo = 3, .wait = Millis(0) }, [this, id = life.id](const RenewResult& result) { outcomes[id] = result; });
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
    NotingWorkers direct { ownerProcess };
    NotingWorkers byFirst { firstProcess };
    NotingWorkers bySecond { secondProcess };
    RelayedWorkers owner { { .loop = &ownerProcess, .peers = &ownerPort, .direct = &direct, .log = &log }, { .workersPerCore = 4 }, 1.0 };
    OrderRelay first { { .loop = &firstProcess, .peers = &firstPort, .workers = &byFirst, .store = &store, .log = &log }, "first", 1.0 };
    OrderRelay second { { .loop = &secondProcess, .peers = &secondPort, .workers = &bySecond, .store = &store, .log = &log }, "second", 1.0 };
    std::map<std::string, RenewResult> outcomes;
};

} // namespace

TEST_CASE("As long as the owner's machine can carry all calls, there are no relays in use")
{
    RelayPlan plan({ .workersPerCore = 10 }, 0.5);
    plan.addRelay("large", 0.5);
    for (int i = 0; i < 5; ++i)
        CHECK(plan.relayOf("w" + std::to_string(i), now).empty());
    CHECK(plan.relaysInUse() == 0);
    CHECK(plan.relayOf("w5", now) == "large");
    CHECK(plan.relaysInUse() == 1);
    // Those that were called directly get it too.
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

TEST_CASE("A relay that comes late takes its share from the others")
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

TEST_CASE("The workers of a relay that is gone get others, or are called directly")
{
    RelayPlan plan({ .workersPerCore = 10 }, 0.1);
    plan.addRelay("a", 1.0);
    plan.addRelay("b", 1.0);
    std::set<std::string> used;
    CHECK(plan.relayOf("w0", now).empty()); // One worker the owner's machine carries.
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

TEST_CASE("A relay through which worker after worker does not answer rests, and gets no new workers meanwhile")
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
    // Afterwards it is tried with one worker, and with its share once that one has answered.
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

TEST_CASE("Relays are let go only when the others have room to spare")
{
    RelayPlan plan({ .workersPerCore = 10, .shrinkAt = 1.5 }, 0.1);
    for (const char* name : { "a", "b", "c" })
        plan.addRelay(name, 1.0);
    for (int i = 0; i < 25; ++i)
        static_cast<void>(plan.relayOf("w" + std::to_string(i), now));
    CHECK(plan.relaysInUse() == 3);
    for (int i = 24; i >= 18; --i)
        plan.forget("w" + std::to_string(i));
    CHECK(plan.relaysInUse() == 3);
    for (int i = 17; i >= 13; --i)
        plan.forget("w" + std::to_string(i));
    CHECK(plan.relaysInUse() == 2);
    for (int i = 12; i >= 0; --i)
        plan.forget("w" + std::to_string(i));
    CHECK(plan.relaysInUse() == 0);
}

TEST_CASE("Calls and answers arrive whole through relays")
{
    Link link;
    link.renewAll(8);
    link.clock.runFor(Millis(100));
    REQUIRE(link.outcomes.size() == 8);
    CHECK(link.byFirst.renewals.size() + link.bySecond.renewals.size() >= 4);
    CHECK(link.owner.counts().relays == 2);
    const RenewResult& result = link.outcomes["w7"];
    CHECK(result.outcome == OrderOutcome::Done);
    CHECK(result.workerClock == 9);
    CHECK(result.running == std::vector<RunningAttempt> { { .attempt = { "job", { 1, 2, 3 }, 4 }, .checkpoint = "half", .percent = 50, .load = 5 } });
    CHECK(result.ended == std::vector<EndedAttempt> { { .sequence = 6, .attempt = { "job", { 0, 1, 2 }, 3 }, .end = AttemptEnd::GangBroken, .checkpoint = "c" } });
    link.owner.forget({ "w7", "10.0.0.1:1" });
    link.clock.runFor(Millis(20));
    CHECK(link.byFirst.forgotten.size() + link.bySecond.forgotten.size() == 1);
}

TEST_CASE("A long payload is read from the store by the relay, once")
{
    Link link;
    const std::string payload(3'000, 'x');
    link.storeModel.put(jobKey("job"), encode(JobRecord { .queue = "q", .pool = "p", .acceptedAt = {}, .spec = job({ step(3) }) }));
    JobRecord record { .queue = "q", .pool = "p", .acceptedAt = {}, .spec = job({ step(3) }) };
    record.spec.payload = payload;
    link.storeModel.put(jobKey("job"), encode(record));
    link.renewAll(8);
    link.clock.runFor(Millis(100));
    std::vector<OrderOutcome> outcomes;
    for (std::uint32_t i = 0; i < 8; ++i) {
        const StartOrder order { .attempt = { "job", { 0, 0, i }, 1 }, .payload = payload, .leaseUntil = 5, .epoch = 2, .checkpoint = {}, .ticket = {} };
        link.owner.start({ "w" + std::to_string(i), "10.0.0.1:1" }, order, [&](const OrderResult& result) { outcomes.push_back(result.outcome); });
    }
    link.clock.runFor(Millis(200));
    CHECK(outcomes == std::vector<OrderOutcome>(8, OrderOutcome::Done));
    REQUIRE(link.byFirst.starts.size() + link.bySecond.starts.size() == 8);
    for (const std::string& started : link.byFirst.starts)
        CHECK(started == payload);
}

// Guards against starts that a relay sends after a pause, when cancels and evacuations that came meanwhile forbid them.
TEST_CASE("A relay that is paused while it waits for a payload does not send the start afterwards")
{
    for (int pauseAfter = 0; pauseAfter < 20; ++pauseAfter) {
        Link link;
        link.renewAll(8);
        link.clock.runFor(Millis(100));
        const std::string payload(3'000, 'x');
        JobRecord record { .queue = "q", .pool = "p", .acceptedAt = {}, .spec = job({ step(8) }) };
        record.spec.payload = payload;
        link.storeModel.put(jobKey("job"), encode(record));
        for (std::uint32_t i = 0; i < 8; ++i) {
            const StartOrder order { .attempt = { "job", { 0, 0, i }, 1 }, .payload = payload, .leaseUntil = 5, .epoch = 2, .checkpoint = {}, .ticket = {} };
            link.owner.start({ "w" + std::to_string(i), "10.0.0.1:1" }, order, [](const OrderResult&) {});
        }
        link.clock.runFor(Millis(pauseAfter));
        const std::size_t before = link.byFirst.starts.size() + link.bySecond.starts.size();
        for (model::SimProcess* process : { &link.firstProcess, &link.secondProcess })
            process->freeze();
        link.clock.runFor(Millis(3'000));
        for (model::SimProcess* process : { &link.firstProcess, &link.secondProcess })
            process->thaw();
        link.clock.runFor(Millis(20));
        CHECK(link.byFirst.starts.size() + link.bySecond.starts.size() == before);
    }
}

TEST_CASE("A payload that the store does not give the relay travels with the call")
{
    Link link;
    link.renewAll(8);
    link.clock.runFor(Millis(100));
    link.store.partitioned = true; // Both relays ask by the same client here.
    const std::string payload(3'000, 'x');
    std::vector<OrderOutcome> outcomes;
    const auto startAll = [&](std::uint64_t number) {
        for (std::uint32_t i = 0; i < 8; ++i) {
            const StartOrder order { .attempt = { "job", { 0, 0, i }, number }, .payload = payload, .leaseUntil = 5, .epoch = 2, .checkpoint = {}, .ticket = {} };
            link.owner.start({ "w" + std::to_string(i), "10.0.0.1:1" }, order, [&](const OrderResult& result) { outcomes.push_back(result.outcome); });
        }
    };
    startAll(1);
    link.clock.runFor(Millis(400));
    CHECK(outcomes == std::vector<OrderOutcome>(8, OrderOutcome::Done));
    REQUIRE(link.byFirst.starts.size() + link.bySecond.starts.size() == 8);
    for (const std::string& started : link.byFirst.starts)
        CHECK(started == payload);
    // The next ones do not wait for the store at all.
    startAll(2);
    link.clock.runFor(Millis(40));
    CHECK(outcomes.size() == 16);
    // A payload that comes after all starts nothing a second time.
    link.store.partitioned = false;
    link.clock.runFor(Millis(3'000));
    CHECK(link.byFirst.starts.size() + link.bySecond.starts.size() == 16);
}

TEST_CASE("The calls of a relay that goes silent are unknown within a second, and its workers are called by others")
{
    Link link;
    link.renewAll(8);
    link.clock.runFor(Millis(100));
    link.peers.faults.partitioned = { "first" };
    link.outcomes.clear();
    link.renewAll(8);
    link.clock.runFor(Millis(1'100));
    REQUIRE(link.outcomes.size() == 8);
    std::size_t unknown = 0;
    for (const auto& [id, result] : link.outcomes)
        unknown += result.outcome == OrderOutcome::Unknown ? 1 : 0;
    CHECK(unknown >= 3);
    CHECK(unknown <= 5);
    link.outcomes.clear();
    link.renewAll(8);
    link.clock.runFor(Millis(50));
    REQUIRE(link.outcomes.size() == 8);
    for (const auto& [id, result] : link.outcomes)
        CHECK(result.outcome == OrderOutcome::Done);
    // It is taken in again once it is reached.
    link.peers.faults.partitioned.clear();
    link.clock.runFor(Millis(7'000));
    link.renewAll(8);
    link.clock.runFor(Millis(50));
    CHECK(link.owner.counts().relays == 2);
}

TEST_CASE("A connection that goes silent for good is replaced")
{
    Link link;
    link.renewAll(8);
    link.clock.runFor(Millis(100));
    link.peers.silenceAll();
    link.renewAll(8);
    link.clock.runFor(Millis(8'000));
    link.outcomes.clear();
    link.renewAll(8);
    link.clock.runFor(Millis(50));
    CHECK(link.owner.counts().relays == 2);
    for (const auto& [id, result] : link.outcomes)
        CHECK(result.outcome == OrderOutcome::Done);
}

TEST_CASE("A relay that was frozen does not carry out what it finds waiting")
{
    Link link;
    link.renewAll(8);
    link.clock.runFor(Millis(100));
    link.firstProcess.freeze();
    const std::size_t before = link.byFirst.renewals.size();
    link.renewAll(8);
    link.clock.runFor(Millis(700));
    link.firstProcess.thaw();
    link.clock.runFor(Millis(50));
    CHECK(link.byFirst.renewals.size() == before);
}

TEST_CASE("A relay that leaves answers what it has and gets no more")
{
    Link link;
    link.renewAll(8);
    link.clock.runFor(Millis(100));
    link.first.leave();
    link.clock.runFor(Millis(50));
    const std::size_t before = link.byFirst.renewals.size();
    link.outcomes.clear();
    link.renewAll(8);
    link.clock.runFor(Millis(50));
    CHECK(link.byFirst.renewals.size() == before);
    REQUIRE(link.outcomes.size() == 8);
    for (const auto& [id, result] : link.outcomes)
        CHECK(result.outcome == OrderOutcome::Done);
    CHECK(link.first.inFlight() == 0);
}

TEST_CASE("Jobs run through relays, also when one is lost in the middle")
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

TEST_CASE("Without a lost owner or relay nothing lapses and nothing is in doubt")
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
