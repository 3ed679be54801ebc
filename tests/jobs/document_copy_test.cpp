/// A copy of one document of the store: what proves its age, and what it costs.

#include "lanemoor/jobs/store/document_copy.h"
#include "standins/model/store_model.h"

#include <catch2/catch.hpp>
#include <random>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::model;

namespace {

constexpr std::size_t narrowLink = 1'250; ///< Bytes a ms: 10 Mbit/s.

struct FollowedDocument {
    explicit FollowedDocument(std::size_t linkBytesPerMs = 0)
        : store(clock, random)
        , process(clock)
        , client(store, process)
        , copy(process, client, { .key = "a/document" }, { .changed = [this](const StoreItem& item) { note(item); }, .ended = [this](const DocumentReading& reading) { readings.push_back(reading); } })
    {
        client.linkBytesPerMs = linkBytesPerMs;
    }

    void put(std::size_t bytes)
    {
        store.put("a/document", std::string(bytes, 'x'));
        m_put = store.find("a/document")->revision;
        m_putAt = clock.now();
    }

    /// Checks the promise of the copy for some time, each ms.
    void run(Millis time)
    {
        std::size_t falseProofs = 0;
        for (Millis passed { 0 }; passed < time; passed += Millis(1)) {
            clock.runFor(Millis(1));
            falseProofs += m_held >= m_put || copy.provenAt() <= m_putAt ? 0 : 1;
            oldest = std::max(oldest, std::chrono::duration_cast<Millis>(clock.now() - copy.provenAt()));
        }
        CHECK(falseProofs == 0);
    }

    void note(const StoreItem& item)
    {
        CHECK(item.revision > m_held);
        m_held = item.revision;
    }

    [[nodiscard]] bool isNewest() const { return m_held == m_put; }

    std::mt19937_64 random { 1 };
    SimClock clock;
    StoreModel store;
    SimProcess process;
    StoreClient client;
    std::vector<DocumentReading> readings;
    DocumentCopy copy;
    Millis oldest { 0 }; ///< Age of the proof.

private:
    std::uint64_t m_put = 0;
    std::uint64_t m_held = 0;
    MonotonicInstant m_putAt;
};

} // namespace

// Guards against a document that is read again and again though it stays as it is.
TEST_CASE("A document that stays as it is is transferred once, and its proof stays young")
{
    FollowedDocument followed(narrowLink);
    followed.put(2'000'000);
    followed.copy.start();
    followed.run(Millis(4'000));
    REQUIRE(followed.isNewest());
    followed.oldest = Millis(0);
    followed.run(Millis(60'000));
    CHECK(followed.oldest < Millis(800));
    CHECK(followed.copy.counts().bytes < 2'100'000);
    CHECK(followed.copy.counts().comparisons > 80);
}

// Guards against a copy that follows a storm of large changes one by one, and falls behind for as long as the storm lasts.
TEST_CASE("Of large changes in quick succession the newest is read, and the proof stays younger than two transfers and a check")
{
    FollowedDocument followed(narrowLink);
    followed.put(1'000'000);
    followed.copy.start();
    followed.run(Millis(4'000));
    followed.oldest = Millis(0);
    for (int change = 0; change < 30; ++change) {
        followed.put(1'000'000);
        followed.run(Millis(330));
    }
    CHECK(followed.oldest < Millis(2 * 800 + 700 + 100));
    followed.run(Millis(2'000));
    CHECK(followed.isNewest());
}

// Guards against a document that is transferred twice because a check meets its change.
TEST_CASE("A change that both a watch and a check bring is transferred once")
{
    for (Millis at { 0 }; at < Millis(800); at += Millis(1)) {
        FollowedDocument followed(narrowLink);
        followed.store.faults.answerTime = Millis(40);
        followed.put(1'000'000);
        followed.copy.start();
        followed.run(Millis(2'000) + at);
        const std::uint64_t before = followed.copy.counts().bytes;
        followed.put(1'000'000);
        followed.run(Millis(1'500));
        CHECK(followed.isNewest());
        CHECK(followed.copy.counts().bytes - before < 1'100'000);
        CHECK(followed.clock.now() - followed.copy.provenAt() < Millis(900));
    }
}

// Guards against a watch that was cut silently and stands for a document that does not change.
TEST_CASE("A change is read by the next check while watches hear nothing")
{
    for (const std::size_t bytes : { 100, 1'000'000 }) {
        FollowedDocument followed;
        followed.put(bytes);
        followed.copy.start();
        followed.run(Millis(100));
        followed.client.watchesBlocked = true;
        followed.store.compact();
        followed.put(bytes);
        followed.run(Millis(800));
        CHECK(followed.isNewest());
    }
}

// Guards against reads that compare revisions for ever: their answers are lost with those of writes.
TEST_CASE("A document is read though all answers to transactions are lost")
{
    FollowedDocument followed;
    followed.put(1'000'000);
    followed.copy.start();
    followed.run(Millis(100));
    followed.store.faults.lostAnswers = 1;
    followed.put(1'000'000);
    followed.run(Millis(3'000));
    CHECK(followed.isNewest());
    CHECK(followed.clock.now() - followed.copy.provenAt() < Millis(800));
}

// Guards against lost answers that make a document's proof old at once.
TEST_CASE("A check whose answer does not begin is repeated before it times out")
{
    FollowedDocument followed;
    followed.put(100);
    followed.copy.start();
    followed.run(Millis(1'000));
    followed.client.partitioned = true;
    followed.run(Millis(600));
    followed.client.partitioned = false;
    followed.oldest = Millis(0);
    followed.run(Millis(3'000));
    CHECK(followed.oldest < Millis(1'500));
}

TEST_CASE("Copies of documents hold what they promise while the store, the link and the watches fail at random")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        FollowedDocument followed(seed % 2 == 0 ? narrowLink : 0);
        followed.random.seed(seed);
        std::uniform_int_distribution<int> percent(0, 99);
        followed.put(100);
        followed.copy.start();
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
        CHECK(followed.clock.now() - followed.copy.provenAt() < Millis(1'000));
    }
}
