/// Reachability of data halls over paths, and workers that only some paths reach.
///
/// Guards against workers that are considered unresponsive while some path still reaches them: in a partition between two of three
/// data halls, calls to 374 workers went through relays that could not reach them, one after another, and their instances were
/// replaced although relays of the third data hall reached all of them.

#include "lanemoor/jobs/policy/reachability.h"
#include "lanemoor/jobs/relay/relay_plan.h"
#include "support.h"

#include <catch2/catch.hpp>
#include <set>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr MonotonicInstant now { std::chrono::seconds(100) };

std::string worker(std::size_t i)
{
    return "w" + std::to_string(i);
}

/// Two paths from hall-b, and the number of hall-a.
struct Table {
    Table()
    {
        table.setPath("r", "hall-b");
        table.setPath("s", "hall-b");
    }

    std::optional<PathChange> unanswered(std::size_t i, Millis after, const std::string& path = "r") { return table.noteUnanswered(path, hall, worker(i), now + after, now + after + Millis(100)); }

    ReachabilityTable table { ReachabilityOptions {} };
    std::size_t hall = table.hallOf("hall-a");
};

/// Relays in three data halls, and workers in hall-a.
struct Plan {
    explicit Plan(std::size_t relaysInHall = 2, double workersPerCore = 10)
        : plan({ .workersPerCore = workersPerCore }, 0.1, {}, "hall-b")
    {
        for (const char* hall : { "a", "b", "c" }) {
            for (std::size_t i = 0; i < relaysInHall; ++i)
                plan.addRelay(hall + std::to_string(i), 1.0, std::string("hall-") + hall);
        }
    }

    std::string pathOf(std::size_t i, Millis after = Millis(0)) { return plan.relayOf(worker(i), now + after, "hall-a"); }

    /// Makes a path unreachable by evidence of two workers.
    void cut(const std::string& path, Millis after = Millis(0))
    {
        for (std::size_t i = 0; i < 2; ++i)
            plan.noteEvidence(path, path + worker(i), "hall-a", now + after, now + after + Millis(100));
    }

    std::map<std::string, std::size_t> spread(std::size_t workers, Millis after = Millis(200))
    {
        std::map<std::string, std::size_t> byPath;
        for (std::size_t i = 0; i < workers; ++i)
            ++byPath[pathOf(i, after)];
        return byPath;
    }

    RelayPlan plan;
};

/// A cluster in three data halls, each with two entry instances and four workers.
struct ThreeHalls : model::JobCluster {
    explicit ThreeHalls(std::uint64_t seed = 1, double workersPerCore = 4, bool enabled = true)
        : model::JobCluster(seed, 6)
    {
        setWorkersPerCore(workersPerCore);
        Policies policies;
        policies.reachability.enabled = enabled;
        setPolicies(policies);
        workers.addReserve("off");
        for (std::size_t i = 0; i < 12; ++i)
            workers.addInstance("m-" + std::to_string(i), "main", "r-" + std::to_string(i % 3), { .milliCpu = 8'000, .memoryMb = 16'000 }, "a", hall(i));
        configure(smallConfiguration());
        for (std::size_t i = 0; i < entries(); ++i) {
            setDataHall(i, hall(i));
            start(i);
        }
        clock.runFor(Millis(1'000));
        submitLoad(Millis(2'000));
    }

    static const std::string& hall(std::size_t i) { return threeHalls.at(i % threeHalls.size()); }

    /// \returns The data hall of the owner, and the two others.
    std::array<std::string, 3> hallsByOwner()
    {
        const std::size_t owner = *this->owner();
        return { hall(owner), hall(owner + 1), hall(owner + 2) };
    }

    /// Submits more work than two data halls can run. \returns Starts by data hall.
    std::map<std::string, std::uint64_t> submitLoad(Millis time)
    {
        std::map<std::string, std::set<std::pair<std::string, Attempt>>> seen;
        const MonotonicInstant until = clock.now() + time;
        while (clock.now() < until) {
            ++number;
            submit(number % entries(), "work", jobId(number), job({ step(18) }));
            for (int i = 0; i < 5; ++i) {
                clock.runFor(Millis(20));
                for (const auto& [id, each] : workers.workers()) {
                    for (const auto& [attempt, run] : each.running)
                        seen[each.entry.dataHall].insert({ id, attempt });
                }
            }
        }
        std::map<std::string, std::uint64_t> starts;
        for (const auto& [dataHall, attempts] : seen)
            starts[dataHall] = attempts.size();
        return starts;
    }

    [[nodiscard]] bool ownerShows(const std::string& line) { return entry(*owner()).metrics().find(line + '\n') != std::string::npos; }

    /// Checks that all accepted jobs succeed and that no guarantee is violated.
    void checkAllSucceed()
    {
        for (const std::string& id : accepted())
            CHECK(waitFor(Millis(20'000), [&] { return owner() && status(*owner(), id) == JobStatus::Succeeded; }));
        CHECK(checker.breaches().empty());
    }

    std::uint64_t number = 0;
};

} // namespace

TEST_CASE("One unanswered worker is no evidence against a path, two are")
{
    Table table;
    CHECK_FALSE(table.unanswered(0, Millis(0)));
    CHECK_FALSE(table.unanswered(0, Millis(50)));
    CHECK(table.table.rank("r", table.hall, now) == PathRank::MayReach);
    const std::optional<PathChange> change = table.unanswered(1, Millis(100));
    REQUIRE(change);
    CHECK(change->evidence == std::vector<std::string> { "w0", "w1" });
    CHECK(change->evidenceSince == now);
    CHECK(table.table.rank("r", table.hall, now) == PathRank::Unreachable);
    // Another path from hall-b is probably partitioned too; hall-b itself is still reachable.
    CHECK(table.table.rank("s", table.hall, now) == PathRank::LikelyUnreachable);
    CHECK(table.table.snapshot(now).isUnreachable("hall-a"));
    CHECK_FALSE(table.table.snapshot(now).isUnreachable("hall-b"));
}

TEST_CASE("An answer that came after the missing one was due clears the path")
{
    Table table;
    CHECK_FALSE(table.unanswered(0, Millis(0)));
    table.table.noteAnswered("r", table.hall, worker(5), now + Millis(200));
    CHECK_FALSE(table.unanswered(1, Millis(150))); // Was due before that answer.
    CHECK_FALSE(table.unanswered(2, Millis(250)));
    CHECK(table.unanswered(3, Millis(260)));
}

TEST_CASE("Evidence expires, and a crashed worker is evidence against few paths")
{
    Table table;
    CHECK_FALSE(table.unanswered(0, Millis(0)));
    CHECK_FALSE(table.unanswered(1, Millis(10'000)));
    for (int i = 0; i < 10; ++i)
        table.table.setPath("p" + std::to_string(i), "hall-c");
    std::size_t cut = 0;
    for (int i = 0; i < 10; ++i) {
        const std::string path = "p" + std::to_string(i);
        table.unanswered(7, Millis(20'000), path);
        cut += table.unanswered(8, Millis(20'000), path) ? 1 : 0;
    }
    CHECK(cut <= 3);
}

TEST_CASE("Unreachable paths are retried one by one for a pair of data halls, at increasing intervals")
{
    Table table;
    table.unanswered(0, Millis(0));
    table.unanswered(1, Millis(0));
    table.unanswered(2, Millis(0), "s");
    table.unanswered(3, Millis(0), "s");
    CHECK_FALSE(table.table.takeRetry(table.hall, now + Millis(200)));
    std::vector<Millis> at;
    std::set<std::string> paths;
    for (Millis passed(0); passed < Millis(5'000); passed += Millis(10)) {
        if (const std::optional<std::string> path = table.table.takeRetry(table.hall, now + passed)) {
            at.push_back(passed);
            paths.insert(*path);
        }
    }
    REQUIRE(at.size() >= 5);
    CHECK(at.size() <= 8);
    CHECK(at[1] - at[0] < at[3] - at[2]);
    CHECK(at.back() - at[at.size() - 2] <= Millis(1'000));
    CHECK(paths == std::set<std::string> { "r", "s" });
    // A path that is reachable again suggests that the other path of the same data hall is too.
    const std::optional<PathChange> back = table.table.noteAnswered("s", table.hall, worker(3), now + Millis(5'000));
    REQUIRE(back);
    CHECK(back->to == PathState::Reachable);
    CHECK(table.table.rank("r", table.hall, now + Millis(5'000)) == PathRank::MayReach);
    CHECK_FALSE(table.table.hasUnreachablePath(table.hall));
    CHECK_FALSE(table.table.takeRetry(table.hall, now + Millis(9'000)));
}

TEST_CASE("All workers of a data hall leave a path that does not reach it, and others keep theirs")
{
    Plan plan;
    std::map<std::string, std::string> others;
    for (std::size_t i = 0; i < 50; ++i)
        static_cast<void>(plan.plan.relayOf("other" + std::to_string(i), now, "hall-b"));
    const std::string path = plan.spread(10).rbegin()->first;
    REQUIRE(path.substr(0, 1) != "a");
    for (std::size_t i = 0; i < 50; ++i)
        others[worker(i)] = plan.plan.relayOf("other" + std::to_string(i), now, "hall-b");
    plan.cut(path);
    for (const auto& [other, workers] : plan.spread(10))
        CHECK(other.substr(0, 1) != path.substr(0, 1)); // Paths of the same data hall may be partitioned too.
    for (std::size_t i = 0; i < 50; ++i)
        CHECK(plan.plan.relayOf("other" + std::to_string(i), now + Millis(200), "hall-b") == others[worker(i)]);
}

TEST_CASE("Unused relays are used while the relays in use do not reach a data hall")
{
    // One large relay in hall-b has capacity for all 60 workers.
    RelayPlan plan({ .workersPerCore = 10 }, 0.1, {}, "hall-b");
    plan.addRelay("large", 8.0, "hall-b");
    plan.addRelay("small-a", 1.0, "hall-a");
    plan.addRelay("small-c", 1.0, "hall-c");
    std::map<std::string, std::size_t> byPath;
    const auto spread = [&](Millis after) {
        byPath.clear();
        for (std::size_t i = 0; i < 60; ++i)
            ++byPath[plan.relayOf(worker(i), now + after, i < 15 ? "hall-a" : "hall-b")];
    };
    spread(Millis(0));
    spread(Millis(1));
    REQUIRE(byPath["large"] == 60);
    for (std::size_t i = 0; i < 2; ++i)
        plan.noteEvidence("large", worker(i), "hall-a", now, now + Millis(100));
    spread(Millis(200));
    CHECK(byPath["large"] == 45);
    CHECK(byPath["small-a"] + byPath["small-c"] == 15);
    CHECK(plan.relaysInUse() == 3);
    plan.noteAnswered("large", worker(0), now + Millis(300), "hall-a");
    spread(Millis(400));
    CHECK(byPath["large"] == 60);
    CHECK(plan.relaysInUse() == 1);
}

TEST_CASE("No relay serves more than twice its capacity because of a partition")
{
    Plan plan(1);
    static_cast<void>(plan.spread(30, Millis(0)));
    plan.cut("b0");
    plan.cut("c0");
    CHECK(plan.spread(30)["a0"] <= 20);
}

TEST_CASE("An owner that calls all workers itself takes relays for a data hall that it does not reach")
{
    Plan plan(2, 1'000);
    CHECK(plan.spread(30, Millis(0))[""] == 30);
    plan.cut("");
    const std::map<std::string, std::size_t> during = plan.spread(30);
    CHECK(during.count("") == 0);
    CHECK(during.count("b0") + during.count("b1") == 0);
    CHECK(plan.plan.relayOf("near", now, "hall-b").empty());
    plan.plan.noteAnswered("", worker(0), now + Millis(500), "hall-a");
    CHECK(plan.spread(30, Millis(600))[""] == 30);
}

TEST_CASE("The call after an overdue one takes a path that starts in another data hall")
{
    Plan plan;
    CHECK(plan.plan.alternativePath("hall-a", { "b0" }, now).value_or("") == "a0");
    CHECK(plan.plan.alternativePath("hall-a", { "b0", "a0" }, now).value_or("") == "c0");
    CHECK_FALSE(plan.plan.alternativePath("", { "b0" }, now));
}

/// With 588 relays and 6,000 workers, a call must not iterate over them unless its worker needs another path.
TEST_CASE("A partition on the largest fleet reassigns its workers at their next calls")
{
    RelayPlan plan({}, 0.5, {}, "hall-0");
    for (std::size_t i = 0; i < 588; ++i)
        plan.addRelay("entry-" + std::to_string(i), i % 6 == 0 ? 0.5 : 0.12, "hall-" + std::to_string(i % 5));
    const auto callAll = [&](Millis after) {
        std::map<std::string, std::size_t> byPath;
        for (std::size_t i = 0; i < 6'000; ++i)
            ++byPath[plan.relayOf(worker(i), now + after, "hall-" + std::to_string(i % 5))];
        return byPath;
    };
    static_cast<void>(callAll(Millis(0)));
    const std::map<std::string, std::size_t> before = callAll(Millis(1));
    std::set<std::string> cut;
    for (const auto& [path, workers] : before) {
        const bool isOfHall = !path.empty() && std::stoul(path.substr(path.find('-') + 1)) % 5 == 0;
        for (std::size_t i = 0; isOfHall && i < 2; ++i)
            plan.noteEvidence(path, path + worker(i), "hall-1", now, now + Millis(100));
        if (isOfHall)
            cut.insert(path);
    }
    REQUIRE_FALSE(cut.empty());
    static_cast<void>(callAll(Millis(200)));
    for (std::size_t i = 1; i < 6'000; i += 5)
        CHECK(cut.count(plan.relayOf(worker(i), now + Millis(300), "hall-1")) == 0);
}

TEST_CASE("While two data halls are partitioned from each other, workers of both run tasks through the third one")
{
    for (const double workersPerCore : { 4.0, 130.0 }) {
        CAPTURE(workersPerCore);
        ThreeHalls cluster(1, workersPerCore);
        const auto [near, far, third] = cluster.hallsByOwner();
        cluster.peers.cuts.set(near, far, true);
        static_cast<void>(cluster.submitLoad(Millis(1'500)));
        for (int second = 0; second < 4; ++second) {
            CAPTURE(second);
            const std::map<std::string, std::uint64_t> starts = cluster.submitLoad(Millis(1'000));
            CHECK(starts.at(far) >= starts.at(near) / 2);
        }
        CHECK(cluster.ownerShows("lanemoor_task_lapses_total 0"));
        CHECK(cluster.entry(*cluster.owner()).metrics().find("lanemoor_hall_paths{data_hall=\"" + far + "\",state=\"unreachable\"}") != std::string::npos);
        CHECK_FALSE(cluster.ownerShows("lanemoor_path_changes_total 0"));
        cluster.peers.cuts.clear();
        static_cast<void>(cluster.submitLoad(Millis(2'000)));
        cluster.checkAllSucceed();
    }
}

TEST_CASE("A one-way partition is routed around too")
{
    for (const bool isFromOwner : { true, false }) {
        CAPTURE(isFromOwner);
        ThreeHalls cluster(2);
        const auto [near, far, third] = cluster.hallsByOwner();
        cluster.peers.cuts.setOneWay(isFromOwner ? near : far, isFromOwner ? far : near, true);
        static_cast<void>(cluster.submitLoad(Millis(1'500)));
        const std::map<std::string, std::uint64_t> starts = cluster.submitLoad(Millis(2'000));
        CHECK(starts.at(far) >= starts.at(near) / 2);
        cluster.checkAllSucceed();
    }
}

TEST_CASE("A partition that heals and recurs while workers change their paths has no lasting effect")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        ThreeHalls cluster(seed);
        const auto [near, far, third] = cluster.hallsByOwner();
        for (int round = 0; round < 6; ++round) {
            cluster.peers.cuts.set(near, far, round % 2 == 0);
            static_cast<void>(cluster.submitLoad(Millis(150 * static_cast<int>(seed) + 100 * round)));
        }
        cluster.peers.cuts.clear();
        static_cast<void>(cluster.submitLoad(Millis(2'500)));
        CHECK(cluster.ownerShows("lanemoor_relay_calls_unanswered_total 0") == false);
        cluster.checkAllSucceed();
    }
}

TEST_CASE("The successor of an owner that fails during a partition reaches all workers")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        ThreeHalls cluster(seed);
        const auto [near, far, third] = cluster.hallsByOwner();
        cluster.peers.cuts.set(near, far, true);
        static_cast<void>(cluster.submitLoad(Millis(700)));
        cluster.kill(*cluster.owner(), seed % 2 == 0);
        static_cast<void>(cluster.submitLoad(Millis(4'000)));
        const std::map<std::string, std::uint64_t> starts = cluster.submitLoad(Millis(2'000));
        for (const std::string& dataHall : { near, far, third }) {
            CAPTURE(dataHall);
            CHECK(starts.count(dataHall) == 1);
        }
        cluster.peers.cuts.clear();
        cluster.checkAllSucceed();
    }
}

TEST_CASE("While a data hall is partitioned from all others, the others run tasks, and it recovers afterwards")
{
    ThreeHalls cluster(4);
    const auto [near, far, third] = cluster.hallsByOwner();
    cluster.peers.cuts.set(near, far, true);
    cluster.peers.cuts.set(third, far, true);
    static_cast<void>(cluster.submitLoad(Millis(3'000)));
    const std::map<std::string, std::uint64_t> starts = cluster.submitLoad(Millis(2'000));
    CHECK(starts.at(near) > 0);
    CHECK(starts.at(third) > 0);
    cluster.peers.cuts.clear();
    static_cast<void>(cluster.submitLoad(Millis(3'000)));
    const std::map<std::string, std::uint64_t> after = cluster.submitLoad(Millis(1'000));
    CHECK(after.at(far) >= after.at(near) / 2);
    cluster.checkAllSucceed();
}
