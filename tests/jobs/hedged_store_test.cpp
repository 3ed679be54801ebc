/// Guards against writes that wait for their timeout of 1 s if the answer is lost: work that depended on them was dropped as too
/// late, which cost a third of a day's result. Covers the repeats that settle such writes, and the outcomes that they must not report.

#include "lanemoor/jobs/store/hedge_budget.h"
#include "lanemoor/jobs/store/hedged_store.h"
#include "standins/model/store_model.h"

#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::model;

namespace {

/// A store in which the test answers reads and transactions, listed in the order of the calls.
class ScriptedStore final : public KeyValueStore {
public:
    struct Commit {
        Transaction transaction;
        std::function<void(CommitResult)> done;
    };
    struct Read {
        std::string key;
        std::function<void(ReadResult)> done;
    };

    std::vector<Commit> commits;
    std::vector<Read> reads;

    void read(const std::string& key, std::function<void(ReadResult)> done) override { reads.push_back({ key, std::move(done) }); }
    void fetch(DocumentQuery, std::function<void(ItemsResult)>) override { }
    void commit(const Transaction& transaction, std::function<void(CommitResult)> done) override { commits.push_back({ transaction, std::move(done) }); }
    void range(const std::string&, const std::string&, Millis, std::function<void(ItemsResult)>) override { }
    void watch(const std::string&, std::uint64_t, Millis, std::function<void(ItemsResult)>) override { }
    void grantLease(Millis, std::function<void(LeaseResult)>) override { }
    void renewLease(std::uint64_t, std::function<void(LeaseResult)>) override { }
    void endLease(std::uint64_t, std::function<void(LeaseResult)>) override { }
};

constexpr Millis answerTime { 4 };
constexpr Millis overdue { 101 }; // An answer is never overdue before 100 ms.
constexpr Millis timeout { 1'000 };

/// A hedged store that has got its answers in 4 ms so far, and a transaction that writes `a` and `b` if the owner is unchanged.
struct Hedged {
    explicit Hedged(StoreOutageOptions options = {})
        : store(process, scripted, options)
    {
        for (int i = 0; i < 20; ++i) {
            store.commit(transaction, [](const CommitResult&) {});
            store.read("a", [](const ReadResult&) {});
            clock.runFor(answerTime);
            scripted.commits.back().done({ .outcome = StoreOutcome::Done, .revision = 1, .current = {} });
            scripted.reads.back().done({ .outcome = StoreOutcome::NotFound, .item = {} });
        }
        scripted.commits.clear();
        scripted.reads.clear();
    }

    void commit()
    {
        store.commit(transaction, [this](const CommitResult& result) {
            REQUIRE(!outcome);
            outcome = result;
        });
    }

    [[nodiscard]] static std::vector<StoreItem> currentOf(const std::string& value, std::uint64_t ownerRevision)
    {
        return { { .key = "owner", .value = "o", .revision = ownerRevision }, { .key = "a", .value = value, .revision = 9 }, { .key = "b", .value = "2", .revision = 9 } };
    }

    SimClock clock;
    SimProcess process { clock };
    ScriptedStore scripted;
    HedgedStore store;
    Transaction transaction { .expected = { { "owner", 5 }, { "a", 0 }, { "b", 7 } }, .writes = { { "a", "1", 0 }, { "b", "2", 0 } }, .removals = {} };
    std::optional<CommitResult> outcome;
};

CommitResult conflict(std::vector<StoreItem> current)
{
    return { .outcome = StoreOutcome::Conflict, .revision = 0, .current = std::move(current) };
}

} // namespace

TEST_CASE("A transaction whose answer is lost completes with its second try")
{
    Hedged hedged;
    hedged.commit();
    hedged.clock.runFor(overdue);
    REQUIRE(hedged.scripted.commits.size() == 2);
    CHECK(hedged.scripted.commits[1].transaction == hedged.transaction);

    SECTION("the first was carried out: the conflict shows its own values")
    {
        hedged.scripted.commits[1].done(conflict(Hedged::currentOf("1", 5)));
        REQUIRE(hedged.outcome);
        CHECK(hedged.outcome->outcome == StoreOutcome::Done);
        CHECK(hedged.outcome->revision == 9);
    }
    SECTION("the first never arrived")
    {
        hedged.scripted.commits[1].done({ .outcome = StoreOutcome::Done, .revision = 12, .current = {} });
        REQUIRE(hedged.outcome);
        CHECK(hedged.outcome->revision == 12);
        // The first try arrives late and conflicts with the second's values; its answer is ignored.
        hedged.scripted.commits[0].done(conflict(Hedged::currentOf("1", 5)));
    }
    CHECK(hedged.store.counts().settled == 1);
}

TEST_CASE("An outcome that a repeat can't prove is not reported as done")
{
    Hedged hedged;
    hedged.commit();
    hedged.clock.runFor(overdue);
    REQUIRE(hedged.scripted.commits.size() == 2);

    SECTION("another's value is a conflict")
    {
        hedged.scripted.commits[1].done(conflict(Hedged::currentOf("other", 5)));
        REQUIRE(hedged.outcome);
        CHECK(hedged.outcome->outcome == StoreOutcome::Conflict);
        CHECK(hedged.outcome->current.size() == 3);
    }
    SECTION("equal values under another owner may be that owner's")
    {
        hedged.scripted.commits[1].done(conflict(Hedged::currentOf("1", 6)));
        REQUIRE(hedged.outcome);
        CHECK(hedged.outcome->outcome == StoreOutcome::Unknown);
    }
    SECTION("equal values of two transactions are not ours")
    {
        std::vector<StoreItem> current = Hedged::currentOf("1", 5);
        current.back().revision = 11;
        hedged.scripted.commits[1].done(conflict(current));
        CHECK(hedged.outcome->outcome == StoreOutcome::Conflict);
    }
    SECTION("a refusal after an unanswered try stays unknown")
    {
        hedged.scripted.commits[1].done({ .outcome = StoreOutcome::NotDone });
        CHECK(!hedged.outcome);
        hedged.clock.runFor(timeout);
        hedged.scripted.commits[0].done({ .outcome = StoreOutcome::Unknown });
        REQUIRE(hedged.outcome);
        CHECK(hedged.outcome->outcome == StoreOutcome::Unknown);
    }
    SECTION("a lease that has expired by the second try may have been valid at the first")
    {
        hedged.scripted.commits[1].done({ .outcome = StoreOutcome::NotFound });
        CHECK(hedged.outcome->outcome == StoreOutcome::Unknown);
    }
    SECTION("refusals of all tries are a refusal")
    {
        hedged.scripted.commits[1].done({ .outcome = StoreOutcome::NotDone });
        hedged.scripted.commits[0].done({ .outcome = StoreOutcome::NotDone });
        CHECK(hedged.outcome->outcome == StoreOutcome::NotDone);
    }
}

TEST_CASE("If all answers to writes are lost, reads show that a transaction was applied")
{
    Hedged hedged;
    hedged.commit();
    hedged.clock.runFor(2 * overdue);
    REQUIRE(hedged.scripted.commits.size() == 2);
    REQUIRE(hedged.scripted.reads.size() == 2);
    CHECK(hedged.scripted.reads[0].key == "a");
    CHECK(hedged.scripted.reads[1].key == "b");
    const ReadResult ownA { .outcome = StoreOutcome::Done, .item = { .key = "a", .value = "1", .revision = 9 } };
    const ReadResult ownB { .outcome = StoreOutcome::Done, .item = { .key = "b", .value = "2", .revision = 9 } };

    SECTION("under the same owner")
    {
        hedged.scripted.reads[0].done(ownA);
        hedged.scripted.reads[1].done(ownB);
        CHECK(!hedged.outcome);
        REQUIRE(hedged.scripted.reads.size() == 3);
        hedged.scripted.reads[2].done({ .outcome = StoreOutcome::Done, .item = { .key = "owner", .value = "o", .revision = 5 } });
        REQUIRE(hedged.outcome);
        CHECK(hedged.outcome->outcome == StoreOutcome::Done);
        CHECK(hedged.outcome->revision == 9);
        CHECK(hedged.store.counts().confirmed == 1);
    }
    SECTION("not under another one")
    {
        hedged.scripted.reads[0].done(ownA);
        hedged.scripted.reads[1].done(ownB);
        hedged.scripted.reads[2].done({ .outcome = StoreOutcome::Done, .item = { .key = "owner", .value = "o", .revision = 6 } });
        CHECK(!hedged.outcome);
    }
    // Two entry instances stored one job with equal values; the other jobs of the second batch were reported as accepted, and lost.
    SECTION("not where only the first key has the value")
    {
        hedged.scripted.reads[0].done(ownA);
        hedged.scripted.reads[1].done({ .outcome = StoreOutcome::Done, .item = { .key = "b", .value = "0", .revision = 7 } });
        CHECK(!hedged.outcome);
        CHECK(hedged.scripted.commits.size() == 2);
    }
    SECTION("the transaction is sent again if it was not applied")
    {
        hedged.scripted.reads[0].done({ .outcome = StoreOutcome::NotFound, .item = {} });
        hedged.scripted.reads[1].done({ .outcome = StoreOutcome::Done, .item = { .key = "b", .value = "0", .revision = 7 } });
        CHECK(!hedged.outcome);
        CHECK(hedged.scripted.commits.size() == 3);
    }
    if (!hedged.outcome) {
        hedged.clock.runFor(timeout);
        hedged.scripted.commits[0].done({ .outcome = StoreOutcome::Unknown });
        REQUIRE(hedged.outcome);
        CHECK(hedged.outcome->outcome == StoreOutcome::Unknown);
    }
}

// Guards against a call that never ends because its connection and those of its repeats are lost at once.
TEST_CASE("A call whose tries all lose their connection ends")
{
    Hedged hedged;
    hedged.commit();
    hedged.scripted.commits[0].done({ .outcome = StoreOutcome::Unknown });
    CHECK(!hedged.outcome);
    REQUIRE(hedged.scripted.commits.size() == 2);
    hedged.scripted.commits[1].done({ .outcome = StoreOutcome::Unknown });
    CHECK(!hedged.outcome);
    REQUIRE(hedged.scripted.reads.size() == 2);
    hedged.scripted.reads[0].done({ .outcome = StoreOutcome::Unknown, .item = {} });
    CHECK(!hedged.outcome);
    hedged.scripted.reads[1].done({ .outcome = StoreOutcome::Unknown, .item = {} });
    REQUIRE(hedged.outcome);
    CHECK(hedged.outcome->outcome == StoreOutcome::Unknown);
}

TEST_CASE("Transactions that are not idempotent are sent once")
{
    CHECK(!isIdempotent({ .expected = { { "owner", 5 } }, .writes = { { "a", "1", 0 } }, .removals = {} }));
    CHECK(!isIdempotent({ .expected = { { "a", 5 } }, .writes = { { "a", "1", 0 } }, .removals = { "b" } }));
    CHECK(isIdempotent({ .expected = { { "owner", 5 }, { "a", 0 } }, .writes = { { "a", "1", 0 } }, .removals = {} }));
    Hedged hedged;
    hedged.transaction.expected = { { "owner", 5 } };
    hedged.commit();
    hedged.clock.runFor(3 * overdue);
    CHECK(hedged.scripted.commits.size() == 1);
}

TEST_CASE("Reads are repeated, and a refusal is reported at once")
{
    Hedged hedged;
    std::optional<StoreOutcome> outcome;
    hedged.store.read("k", [&](const ReadResult& result) { outcome = result.outcome; });
    hedged.clock.runFor(overdue);
    REQUIRE(hedged.scripted.reads.size() == 2);
    hedged.scripted.reads[1].done({ .outcome = StoreOutcome::NotFound, .item = {} });
    CHECK(outcome == StoreOutcome::NotFound);
    hedged.commit();
    hedged.scripted.commits[0].done({ .outcome = StoreOutcome::NotDone });
    CHECK(hedged.outcome->outcome == StoreOutcome::NotDone);
}

// Guards against repeats that add load to an overloaded store.
TEST_CASE("A slow store gets no more repeats than the budget")
{
    Hedged hedged;
    constexpr int calls = 300;
    constexpr Millis slow { 240 };
    int answered = 0;
    for (int i = 0; i < calls; ++i) {
        hedged.store.commit(hedged.transaction, [&](const CommitResult&) { ++answered; });
        const std::size_t first = hedged.scripted.commits.size() - 1;
        hedged.clock.after(slow, [&hedged, first] { hedged.scripted.commits[first].done({ .outcome = StoreOutcome::Done, .revision = 1, .current = {} }); });
        hedged.clock.runFor(Millis(10));
    }
    hedged.clock.runFor(timeout);
    CHECK(answered == calls);
    const std::size_t repeats = hedged.scripted.commits.size() - calls + hedged.scripted.reads.size();
    CHECK(repeats <= 20 + calls / 10);
}

TEST_CASE("If answers are lost, repeats that settle their calls continue beyond the burst")
{
    Hedged hedged;
    constexpr int calls = 100;
    int done = 0;
    for (int i = 0; i < calls; ++i) {
        hedged.store.commit(hedged.transaction, [&](const CommitResult& result) { done += result.outcome == StoreOutcome::Done ? 1 : 0; });
        hedged.clock.runFor(overdue);
        hedged.scripted.commits.back().done(conflict(Hedged::currentOf("1", 5)));
    }
    CHECK(done == calls);
}

TEST_CASE("When the store is available again, waiting calls are sent once more at once")
{
    Hedged hedged;
    hedged.commit();
    hedged.clock.runFor(2 * overdue);
    const std::size_t before = hedged.scripted.commits.size();
    hedged.store.resendWaiting(hedged.clock.now());
    REQUIRE(hedged.scripted.commits.size() == before + 1);
    hedged.store.resendWaiting(hedged.clock.now() + Millis(1));
    CHECK(hedged.scripted.commits.size() == before + 1);
    hedged.scripted.commits.back().done({ .outcome = StoreOutcome::Done, .revision = 12, .current = {} });
    CHECK(hedged.outcome->outcome == StoreOutcome::Done);
}
