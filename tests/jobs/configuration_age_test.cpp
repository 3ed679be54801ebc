/// Configurations are in force by the age of their proof: an instance that can't know whether its configuration is the newest
/// turns requests away, and large documents don't keep it from knowing.

#include "lanemoor/jobs/intake/job_catalog.h"
#include "lanemoor/jobs/store/store_mirror.h"
#include "platform/adapters.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr unsigned ok = 200;
constexpr unsigned unavailable = 503;
constexpr Millis applyTime { 2'000 }; ///< Of settings that name none.
constexpr Millis step10 { 10 };
constexpr std::size_t narrowEntry = 1;

/// \returns The queue `work` and another one whose path names the version.
ServiceConfiguration withRoute(std::uint64_t version)
{
    ServiceConfiguration configuration = smallConfiguration(version);
    QueueSettings route = configuration.queues.front();
    route.name = "route-" + std::to_string(version);
    route.pathPrefix = "/route-" + std::to_string(version) + "/";
    configuration.queues.push_back(route);
    return configuration;
}

struct ConfiguredCluster : SmallCluster {
    HttpResponse ask(std::size_t entry, const std::string& target)
    {
        HttpRequest request { .method = "GET", .target = target, .headers = {}, .body = {} };
        request.headers.add("Host", "h:80");
        std::optional<HttpResponse> answer;
        platform::makeJobApiHandler(this->entry(entry))(request, [&](HttpResponse response) { answer = std::move(response); });
        REQUIRE(waitFor(Millis(3'000), [&] { return answer.has_value(); }));
        return *answer;
    }

    HttpResponse askRoute(std::size_t entry, std::uint64_t version) { return ask(entry, "/route-" + std::to_string(version) + "/"); }

    void putRoute(std::uint64_t version, std::size_t bytes = 0)
    {
        configure(withRoute(version), bytes);
        m_putAt[version] = clock.now();
    }

    /// \returns Whether a request that is sent now may be answered by `version`.
    [[nodiscard]] bool mayServe(std::uint64_t version) const
    {
        const auto next = m_putAt.upper_bound(version);
        return next == m_putAt.end() || clock.now() <= next->second + applyTime;
    }

private:
    std::map<std::uint64_t, MonotonicInstant> m_putAt; ///< When each version was acknowledged.
};

} // namespace

// Guards against requests that an instance answers by a configuration that was replaced longer ago than operators allow.
TEST_CASE("An instance that does not reach the store answers no request by a configuration that may have been replaced too long ago")
{
    ConfiguredCluster cluster;
    cluster.putRoute(2);
    cluster.clock.runFor(applyTime);
    REQUIRE(cluster.askRoute(1, 2).status == ok);
    cluster.cutFromStore(1, true);
    cluster.putRoute(3);
    for (const Millis pause : { applyTime + step10, applyTime }) {
        cluster.clock.runFor(pause);
        for (const std::string target : { "/route-2/", "/q/", "/none/" }) {
            INFO(target);
            const HttpResponse answer = cluster.ask(1, target);
            CHECK(answer.status == unavailable);
            CHECK(answer.headers.find("Retry-After").has_value());
        }
    }
    CHECK_FALSE(cluster.entry(1).isReady());
    cluster.cutFromStore(1, false);
    CHECK(cluster.waitFor(applyTime, [&] { return cluster.askRoute(1, 3).status == ok; }));
}

// Guards against requests that wait in the backlog of a process which was paused, and are answered by what it knew before.
TEST_CASE("An instance that was paused answers no request by a configuration that was replaced meanwhile")
{
    ConfiguredCluster cluster;
    cluster.putRoute(2);
    cluster.clock.runFor(applyTime);
    REQUIRE(cluster.askRoute(1, 2).status == ok);
    cluster.freeze(1);
    cluster.putRoute(3);
    cluster.clock.runFor(applyTime + step10);
    std::optional<unsigned> status;
    HttpRequest request { .method = "GET", .target = "/route-2/", .headers = {}, .body = {} };
    request.headers.add("Host", "h:80");
    platform::makeJobApiHandler(cluster.entry(1))(request, [&](const HttpResponse& response) { status = response.status; });
    CHECK(status == unavailable);
    cluster.thaw(1);
    CHECK(cluster.waitFor(Millis(1'000), [&] { return cluster.askRoute(1, 3).status == ok; }));
}

// Guards against jobs that are let in by a configuration, wait to be written, and are kept when it has been replaced.
TEST_CASE("A job that is no longer let in when it is sent to the store is not sent")
{
    std::mt19937_64 random(1);
    model::SimClock clock;
    model::StoreModel store(clock, random);
    model::SimProcess process(clock);
    model::StoreClient client(store, process);
    StoreMirror mirror(process, client, { .prefix = "a/" }, [](const StoreItem&) {});
    JobCatalog catalog;
    JobIntake intake(process, client, mirror, catalog);
    bool isAdmitted = true;
    std::map<std::uint64_t, AcceptOutcome> outcomes;
    const auto accept = [&](std::uint64_t number, const std::function<bool()>& admitted) {
        const JobRecord record { .queue = "work", .pool = "main", .acceptedAt = {}, .spec = job({ step(1) }) };
        intake.accept({ .queue = "work", .organisation = {} }, jobId(number), record, admitted, [&outcomes, number](AcceptOutcome outcome) { outcomes[number] = outcome; });
    };
    accept(1, [&] { return isAdmitted; });
    accept(2, nullptr);
    isAdmitted = false;
    clock.runFor(Millis(100));
    CHECK(outcomes == std::map<std::uint64_t, AcceptOutcome> { { 1, AcceptOutcome::NotTaken }, { 2, AcceptOutcome::Accepted } });
    CHECK(store.find(jobKey(jobId(1))) == nullptr);
    CHECK(intake.inFlight() == 0);
}

// Guards against configurations that are in force late because the document does not get over the machine's link within the time
// of a call, and because reads that bring nothing new take the link from the one that does.
TEST_CASE("Large configurations that follow each other are in force in time over a narrow link")
{
    constexpr std::size_t bytesPerMs = 1'250; // 10 Mbit/s.
    constexpr std::size_t documentBytes = 1'000'000;
    constexpr Millis betweenChanges { 1'500 };
    ConfiguredCluster cluster;
    cluster.setStoreLink(narrowEntry, bytesPerMs);
    std::uint64_t version = 2;
    std::size_t turnedAway = 0;
    std::size_t asked = 0;
    for (; version <= 12; ++version) {
        cluster.putRoute(version, documentBytes);
        const MonotonicInstant next = cluster.clock.now() + betweenChanges;
        while (cluster.clock.now() < next) {
            cluster.clock.runFor(step10);
            for (std::uint64_t old = 2; old <= version; ++old) {
                const bool mayServe = cluster.mayServe(old);
                const unsigned status = cluster.askRoute(narrowEntry, old).status;
                INFO("version " << old << " of " << version);
                CHECK((mayServe || status != ok));
                turnedAway += status == unavailable ? 1 : 0;
                ++asked;
            }
        }
    }
    CHECK(turnedAway < asked / 10);
    cluster.clock.runFor(applyTime);
    CHECK(cluster.askRoute(narrowEntry, version - 1).status == ok);
}

// Guards against a link that is filled by reading a configuration that has not changed: submissions wait behind it.
TEST_CASE("A large configuration that stays as it is leaves the link to other calls")
{
    constexpr std::size_t bytesPerMs = 1'250;
    constexpr std::size_t documentBytes = 3'000'000; // Takes longer than a call may.
    constexpr Millis answerTime { 100 };
    ConfiguredCluster cluster;
    cluster.setStoreLink(narrowEntry, bytesPerMs);
    cluster.putRoute(2, documentBytes);
    cluster.clock.runFor(Millis(10'000));
    for (std::uint64_t number = 1; number <= 50; ++number) {
        cluster.clock.runFor(Millis(100));
        REQUIRE(cluster.askRoute(narrowEntry, 2).status == ok);
        cluster.submit(narrowEntry, "work", jobId(number), job({ step(1) }));
        CHECK(cluster.waitFor(answerTime, [&] { return cluster.accepted().contains(jobId(number)); }));
    }
}
