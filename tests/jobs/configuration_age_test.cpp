/// An instance answers requests by a configuration only for a limited time after the last confirmation that it is the latest version;
/// after that it rejects them. Large documents must not prevent the confirmation.

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
constexpr Millis applyTime { 2'000 }; ///< Default of the setting configurationApplyMs.
constexpr Millis tick { 10 };
constexpr std::size_t slowLinkEntry = 1;

/// \returns A configuration with the queue `work` and a queue whose path contains the version.
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

    /// \returns Whether a request sent now may be answered by `version`.
    [[nodiscard]] bool mayServe(std::uint64_t version) const
    {
        const auto next = m_putAt.upper_bound(version);
        return next == m_putAt.end() || clock.now() <= next->second + applyTime;
    }

private:
    std::map<std::uint64_t, MonotonicInstant> m_putAt; ///< Time at which each version was written.
};

} // namespace

// Guards against requests answered by a configuration that was replaced longer ago than configurationApplyMs allows.
TEST_CASE("An instance that can't reach the store rejects requests once its configuration may have been replaced too long ago")
{
    ConfiguredCluster cluster;
    cluster.putRoute(2);
    cluster.clock.runFor(applyTime);
    REQUIRE(cluster.askRoute(1, 2).status == ok);
    cluster.cutFromStore(1, true);
    cluster.putRoute(3);
    for (const Millis pause : { applyTime + tick, applyTime }) {
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

// Guards against requests that wait in the backlog of a paused process and are then answered by its outdated configuration.
TEST_CASE("A paused instance answers no request by a configuration that was replaced during the pause")
{
    ConfiguredCluster cluster;
    cluster.putRoute(2);
    cluster.clock.runFor(applyTime);
    REQUIRE(cluster.askRoute(1, 2).status == ok);
    cluster.freeze(1);
    cluster.putRoute(3);
    cluster.clock.runFor(applyTime + tick);
    std::optional<unsigned> status;
    HttpRequest request { .method = "GET", .target = "/route-2/", .headers = {}, .body = {} };
    request.headers.add("Host", "h:80");
    platform::makeJobApiHandler(cluster.entry(1))(request, [&](const HttpResponse& response) { status = response.status; });
    CHECK(status == unavailable);
    cluster.thaw(1);
    CHECK(cluster.waitFor(Millis(1'000), [&] { return cluster.askRoute(1, 3).status == ok; }));
}

// Guards against jobs that one configuration admits, that wait to be written, and that are stored after its replacement.
TEST_CASE("A job that is no longer admitted when its batch is sent is not stored")
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
    CHECK(outcomes == std::map<std::uint64_t, AcceptOutcome> { { 1, AcceptOutcome::NotAccepted }, { 2, AcceptOutcome::Accepted } });
    CHECK(store.find(jobKey(jobId(1))) == nullptr);
    CHECK(intake.inFlight() == 0);
}

// Guards against configurations that apply late: a document does not cross the machine's link within the time of a call, or redundant
// reads take bandwidth from the read of the new version.
TEST_CASE("Successive large configurations are applied in time over a slow link")
{
    constexpr std::size_t bytesPerMs = 1'250; // 10 Mbit/s.
    constexpr std::size_t documentBytes = 1'000'000;
    constexpr Millis betweenChanges { 1'500 };
    ConfiguredCluster cluster;
    cluster.setStoreLink(slowLinkEntry, bytesPerMs);
    std::uint64_t version = 2;
    std::size_t rejected = 0;
    std::size_t asked = 0;
    for (; version <= 12; ++version) {
        cluster.putRoute(version, documentBytes);
        const MonotonicInstant next = cluster.clock.now() + betweenChanges;
        while (cluster.clock.now() < next) {
            cluster.clock.runFor(tick);
            for (std::uint64_t old = 2; old <= version; ++old) {
                const bool mayServe = cluster.mayServe(old);
                const unsigned status = cluster.askRoute(slowLinkEntry, old).status;
                INFO("version " << old << " of " << version);
                CHECK((mayServe || status != ok));
                rejected += status == unavailable ? 1 : 0;
                ++asked;
            }
        }
    }
    CHECK(rejected < asked / 10);
    cluster.clock.runFor(applyTime);
    CHECK(cluster.askRoute(slowLinkEntry, version - 1).status == ok);
}

// Guards against re-reads of an unchanged configuration that saturate the link, so that submissions wait behind them.
TEST_CASE("An unchanged large configuration leaves the link free for other calls")
{
    constexpr std::size_t bytesPerMs = 1'250;
    constexpr std::size_t documentBytes = 3'000'000; // Takes 2.4 s on the link, longer than the timeout of a call.
    constexpr Millis answerTime { 100 };
    ConfiguredCluster cluster;
    cluster.setStoreLink(slowLinkEntry, bytesPerMs);
    cluster.putRoute(2, documentBytes);
    cluster.clock.runFor(Millis(10'000));
    for (std::uint64_t number = 1; number <= 50; ++number) {
        cluster.clock.runFor(Millis(100));
        REQUIRE(cluster.askRoute(slowLinkEntry, 2).status == ok);
        cluster.submit(slowLinkEntry, "work", jobId(number), job({ step(1) }));
        CHECK(cluster.waitFor(answerTime, [&] { return cluster.accepted().contains(jobId(number)); }));
    }
}
