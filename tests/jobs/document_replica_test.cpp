/// The replica of one document of the store: the bound on its age, and what it transfers.

#include "lanemoor/jobs/store/document_replica.h"
#include "standins/model/store_model.h"

#include <catch2/catch.hpp>
#include <random>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::model;

namespace {

constexpr std::size_t slowLink = 1'250; ///< Bytes per ms: 10 Mbit/s.

struct FollowedDocument {
    explicit FollowedDocument(std::size_t linkBytesPerMs = 0)
        : store(clock, random)
        , process(clock)
        , client(store, process)
        , replica(process, client, { .key = "a/document" }, { .changed = [this](const StoreItem& item) { note(item); }, .ended = [this](const DocumentCallResult& callResult) { callResults.push_back(callResult); } })
    {
        client.linkBytesPerMs = linkBytesPerMs;
    }

    void put(std::size_t bytes)
    {
        store.put("a/document", std::string(bytes, 'x'));
        m_putRevision = store.find("a/document")->revision;
        m_putAt = clock.now();
    }

    /// Runs for some time and checks the replica's guarantee each ms.
    void run(Millis time)
    {
        std::size_t falseReports = 0;
        for (Millis passed { 0 }; passed < time; passed += Millis(1)) {
            clock.runFor(Millis(1));
            falseReports += m_replicaRevision >= m_putRevision || replica.provenAt() <= m_putAt ? 0 : 1;
            maxAge = std::max(maxAge, std::chrono::duration_cast<Millis>(clock.now() - replica.provenAt()));
        }
        CHECK(falseReports == 0);
    }

    void note(const StoreItem& item)
    {
        CHECK(item.revision > m_replicaRevision);
        m_replicaRevision = item.revision;
    }

    [[nodiscard]] bool isNewest() const { return m_replicaRevision == m_putRevision; }

    std::mt19937_64 random { 1 };
    SimClock clock;
    StoreModel store;
    SimProcess process;
    StoreClient client;
    std::vector<DocumentCallResult> callResults;
    DocumentReplica replica;
    Millis maxAge { 0 }; ///< Longest time since the replica was last known to be current.

private:
    std::uint64_t m_putRevision = 0;
    std::uint64_t m_replicaRevision = 0;
    MonotonicInstant m_putAt;
};

} // namespace

// Guards against repeated transfers of an unchanged document.
TEST_CASE("An unchanged document is transferred once, and its replica stays fresh")
{
    FollowedDocument followed(slowLink);
    followed.put(2'000'000);
    followed.replica.start();
    followed.run(Millis(4'000));
    REQUIRE(followed.isNewest());
    followed.maxAge = Millis(0);
    followed.run(Millis(60'000));
    CHECK(followed.maxAge < Millis(800));
    CHECK(followed.replica.counts().bytes < 2'100'000);
    CHECK(followed.replica.counts().comparisons > 80);
}

// Guards against a replica that transfers each of many large changes, and lags until the burst ends.
TEST_CASE("Of large changes in quick succession the newest is read, and the replica's age stays below two transfers and a check")
{
    FollowedDocument followed(slowLink);
    followed.put(1'000'000);
    followed.replica.start();
    followed.run(Millis(4'000));
    followed.maxAge = Millis(0);
    for (int change = 0; change < 30; ++change) {
        followed.put(1'000'000);
        followed.run(Millis(330));
    }
    CHECK(followed.maxAge < Millis(2 * 800 + 700 + 100));
    followed.run(Millis(2'000));
    CHECK(followed.isNewest());
}

// Guards against a document that is transferred twice because a check coincides with its change.
TEST_CASE("A change found by both a watch and a check is transferred once")
{
    for (Millis at { 0 }; at < Millis(800); at += Millis(1)) {
        FollowedDocument followed(slowLink);
        followed.store.faults.answerTime = Millis(40);
        followed.put(1'000'000);
        followed.replica.start();
        followed.run(Millis(2'000) + at);
        const std::uint64_t before = followed.replica.counts().bytes;
        followed.put(1'000'000);
        followed.run(Millis(1'500));
        CHECK(followed.isNewest());
        CHECK(followed.replica.counts().bytes - before < 1'100'000);
        CHECK(followed.clock.now() - followed.replica.provenAt() < Millis(900));
    }
}

// Guards against a watch whose connection was lost without an error, and whose silence is taken for an unchanged document.
TEST_CASE("A change is read by the next check while watches report nothing")
{
    for (const std::size_t bytes : { 100, 1'000'000 }) {
        FollowedDocument followed;
        followed.put(bytes);
        followed.replica.start();
        followed.run(Millis(100));
        followed.client.watchesBlocked = true;
        followed.store.compact();
        followed.put(bytes);
        followed.run(Millis(800));
        CHECK(followed.isNewest());
    }
}

// Guards against endless comparisons of revisions: their answers are lost with those of writes.
TEST_CASE("A document is read though all answers to transactions are lost")
{
    FollowedDocument followed;
    followed.put(1'000'000);
    followed.replica.start();
    followed.run(Millis(100));
    followed.store.faults.lostAnswers = 1;
    followed.put(1'000'000);
    followed.run(Millis(3'000));
    CHECK(followed.isNewest());
    CHECK(followed.clock.now() - followed.replica.provenAt() < Millis(800));
}

// Guards against a single lost answer that lets the replica become stale.
TEST_CASE("A check whose answer does not begin is repeated before it times out")
{
    FollowedDocument followed;
    followed.put(100);
    followed.replica.start();
    followed.run(Millis(1'000));
    followed.client.partitioned = true;
    followed.run(Millis(600));
    followed.client.partitioned = false;
    followed.maxAge = Millis(0);
    followed.run(Millis(3'000));
    CHECK(followed.maxAge < Millis(1'500));
}

TEST_CASE("Replicas of documents keep their guarantees while the store, the link and the watches fail at random")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        FollowedDocument followed(seed % 2 == 0 ? slowLink : 0);
        followed.random.seed(seed);
        std::uniform_int_distribution<int> percent(0, 99);
        followed.put(100);
        followed.replica.start();
        for (int round = 0; round < 100; ++round) {
            if (percent(followed.random) < 30)
                followed.put(percent(followed.random) < 50 ? 100 : 1'000'000);
            if (percent(followed.random) < 5)
                followed.store.compact();
            followed.client.partitioned = percent(followed.random) < 10;
            followed.client.watchesBlocked = percent(followed.random) < 10;
            followed.store.faults.lostAnswers = percent(followed.random) < 10 ? 0.5 : 0;
            followed.run(Millis(50 + 10 * percent(followed.random)));
        }
        followed.client.partitioned = false;
        followed.client.watchesBlocked = false;
        followed.store.faults.lostAnswers = 0;
        followed.run(Millis(5'000));
        CHECK(followed.isNewest());
        CHECK(followed.clock.now() - followed.replica.provenAt() < Millis(1'000));
    }
}
