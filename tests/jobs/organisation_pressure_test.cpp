/// One organisation submits many times its usual rate.
///
/// Guards against unlimited admission: accepted work was not compared with the capacity, and a full pool started the job with the
/// earliest objective first, regardless of its organisation. Thousands of accepted jobs were not served, and other organisations' jobs
/// in the pool were late. The tests compare runs with and without admission control.

#include "support.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr Millis taskTime { 500 };
constexpr Millis objective { 1'500 }; // smallConfiguration allows twice the duration of the one step, plus 500 ms.
constexpr std::uint32_t tasksOfJob = 4;
constexpr double weight = 200; ///< Jobs per second. No burst exceeds its organisation's rate, as in the recorded incidents.

std::string organisationName(std::size_t number)
{
    return "o" + std::to_string(number);
}

/// Results of the jobs of one organisation.
struct Outcome {
    std::size_t submitted = 0;
    std::size_t accepted = 0;
    std::size_t inTime = 0;
    std::size_t late = 0; ///< Accepted jobs that did not end within three times the objective.

    [[nodiscard]] double served() const { return submitted == 0 ? 1 : static_cast<double>(inTime) / static_cast<double>(submitted); }
};

struct PressureCluster : model::JobCluster {
    PressureCluster(std::uint64_t seed, std::size_t organisations, bool enabled, std::size_t instances = 8)
        : model::JobCluster(seed, 4)
        , outcomes(organisations)
    {
        setWorkersPerCore(1'000);
        Policies policies;
        policies.admission.enabled = enabled;
        setPolicies(policies);
        workers.addReserve("off");
        for (std::size_t i = 0; i < instances; ++i)
            workers.addInstance("m-" + std::to_string(i), "main", "r-" + std::to_string(i / 4), { .milliCpu = 8'000, .memoryMb = 16'000 });
        workers.runTimes = [](const Attempt&) { return taskTime; };
        applyQuota(0, {});
        for (std::size_t i = 0; i < entries(); ++i)
            start(i);
        clock.runFor(Millis(2'000));
    }

    void applyQuota(std::size_t limited, const Resources& quota)
    {
        ServiceConfiguration configuration = smallConfiguration(++m_version);
        std::vector<OrganisationSettings> list;
        for (std::size_t i = 0; i < outcomes.size(); ++i)
            list.push_back({ .name = organisationName(i), .keys = { ApiKeyDigest::of("key-" + std::to_string(i)) }, .weight = weight, .quota = i == limited ? quota : Resources {} });
        configuration.organisations = OrganisationTable(list);
        configure(configuration);
    }

    /// Submits one job as a caller does, and retries up to four times after the Retry-After time of each refusal.
    void call(std::size_t organisation)
    {
        const std::string id = jobId(++m_lastJob);
        m_jobs[id] = { .organisation = organisation, .submittedAt = clock.now() };
        ++outcomes[organisation].submitted;
        attempt(id, 4);
    }

    /// Runs the cluster while each organisation submits at its rate, in jobs a second.
    void runWithRates(Millis time, const std::vector<double>& rates)
    {
        constexpr Millis step { 20 };
        std::vector<double> inPhase(rates.size(), 0);
        std::vector<double>& accumulated = m_staggered.empty() ? inPhase : m_staggered;
        for (Millis passed(0); passed < time; passed += step) {
            for (std::size_t i = 0; i < rates.size(); ++i) {
                for (accumulated[i] += rates[i] * std::chrono::duration<double>(step).count(); accumulated[i] >= 1; accumulated[i] -= 1)
                    call(i);
            }
            clock.runFor(step);
            settle();
        }
    }

    /// From now on organisations submit one after the other instead of all at once.
    void stagger()
    {
        for (std::size_t i = 0; i < outcomes.size(); ++i)
            m_staggered.push_back(static_cast<double>(i) / static_cast<double>(outcomes.size()));
    }

    /// Counts the jobs that have ended since the last call.
    void settle()
    {
        for (auto job = m_jobs.begin(); job != m_jobs.end();) {
            Outcome& outcome = outcomes[job->second.organisation];
            const auto age = clock.now() - job->second.submittedAt;
            const bool done = checker.job(job->first) && checker.hasSucceeded(job->first);
            if (done && age <= objective)
                ++outcome.inTime;
            if (!done && age < 3 * objective) {
                ++job;
                continue;
            }
            if (!done && job->second.accepted) {
                ++outcome.late;
                m_late.push_back(job->first);
            }
            if (!job->second.accepted)
                m_refused.push_back(job->first);
            job = m_jobs.erase(job);
        }
    }

    /// \returns Number of accepted jobs that have not succeeded.
    [[nodiscard]] std::size_t unserved() const
    {
        return static_cast<std::size_t>(std::count_if(accepted.begin(), accepted.end(), [this](const std::string& id) { return !checker.hasSucceeded(id); }));
    }

    /// \returns Number of jobs that ran although every submission was refused.
    [[nodiscard]] std::size_t ranThoughRefused() const
    {
        return static_cast<std::size_t>(std::count_if(m_refused.begin(), m_refused.end(), [this](const std::string& id) { return !accepted.contains(id) && checker.job(id) && checker.hasSucceeded(id); }));
    }

    /// \returns The summed results of all organisations except the first `hotCount`.
    [[nodiscard]] Outcome others(std::size_t hotCount) const
    {
        Outcome sum;
        for (std::size_t i = hotCount; i < outcomes.size(); ++i) {
            sum.submitted += outcomes[i].submitted;
            sum.accepted += outcomes[i].accepted;
            sum.inTime += outcomes[i].inTime;
            sum.late += outcomes[i].late;
        }
        return sum;
    }

    void print(const char* name, std::size_t hotCount) const
    {
        if (std::getenv("LANEMOOR_SHOW") == nullptr)
            return;
        for (std::size_t i = 0; i < hotCount; ++i)
            std::printf("%s hot %zu: submitted %zu accepted %zu in time %zu late %zu\n", name, i, outcomes[i].submitted, outcomes[i].accepted, outcomes[i].inTime, outcomes[i].late);
        const Outcome rest = others(hotCount);
        std::printf("%s others: submitted %zu accepted %zu in time %zu late %zu, refused outcomes %llu\n", name, rest.submitted, rest.accepted, rest.inTime, rest.late, static_cast<unsigned long long>(refusals));
    }

    std::vector<Outcome> outcomes;
    std::set<std::string> accepted;
    std::uint64_t refusals = 0;

private:
    struct Job {
        std::size_t organisation = 0;
        MonotonicInstant submittedAt;
        bool accepted = false;
    };

    void attempt(const std::string& id, int left)
    {
        const std::size_t organisation = m_jobs.at(id).organisation;
        std::size_t index = std::uniform_int_distribution<std::size_t>(0, entries() - 1)(random);
        while (!isUp(index))
            index = (index + 1) % entries();
        const JobSpec spec = job({ step(tasksOfJob) });
        const Caller caller { .queue = "work", .organisation = organisationName(organisation) };
        checker.noteSubmitted(id, spec, 3);
        checker.noteOrganisation(id, caller.organisation);
        entry(index).submit(caller, id, spec, [this, id, left, organisation, index, caller](AcceptOutcome outcome) {
            refusals += outcome == AcceptOutcome::Refused ? 1 : 0;
            if (outcome == AcceptOutcome::Accepted) {
                ++outcomes[organisation].accepted;
                accepted.insert(id);
                if (const auto known = m_jobs.find(id); known != m_jobs.end())
                    known->second.accepted = true;
                return;
            }
            const Millis pause = outcome == AcceptOutcome::Refused ? entry(index).retryAfterRefusal(caller) : Millis(1'000);
            clock.after(pause, [this, id, left] {
                if (left > 0 && m_jobs.contains(id))
                    attempt(id, left - 1);
            });
        });
    }

    std::vector<double> m_staggered; ///< Fraction of the next job that each organisation has accumulated; empty: they submit in phase.
    std::uint64_t m_version = 1;
    std::uint64_t m_lastJob = 0;
    std::map<std::string, Job> m_jobs; ///< Jobs that have not succeeded and are not yet counted as late or refused.
    std::vector<std::string> m_refused;
    std::vector<std::string> m_late;
};

/// \returns Rates of `count` organisations that together use half of the pool's 32 jobs a second.
std::vector<double> usualRates(std::size_t count)
{
    return std::vector<double>(count, 16.0 / static_cast<double>(count));
}

void burst(PressureCluster& cluster, std::vector<double> rates, std::size_t hotCount, double times)
{
    cluster.runWithRates(Millis(2'000), rates);
    for (std::size_t i = 0; i < hotCount; ++i)
        rates[i] *= times;
    cluster.runWithRates(Millis(5'000), rates);
    for (std::size_t i = 0; i < hotCount; ++i)
        rates[i] /= times;
    cluster.runWithRates(Millis(2'000), rates);
    cluster.runWithRates(Millis(5'000), std::vector<double>(rates.size(), 0));
}

} // namespace

TEST_CASE("A large organisation's burst leaves other organisations their share")
{
    std::vector<double> rates = usualRates(20);
    rates[0] = 8;
    Outcome others[2];
    Outcome hotOutcomes[2];
    for (const bool enabled : { false, true }) {
        PressureCluster cluster(1, rates.size(), enabled);
        burst(cluster, rates, 1, 20);
        cluster.print(enabled ? "large, with" : "large, without", 1);
        others[enabled] = cluster.others(1);
        hotOutcomes[enabled] = cluster.outcomes[0];
        CHECK(cluster.ranThoughRefused() == 0);
        CHECK(cluster.checker.breaches().empty());
        if (!enabled)
            continue;
        CHECK(cluster.refusals > 0);
        REQUIRE(cluster.waitFor(Millis(30'000), [&] { return cluster.unserved() == 0; }));
    }
    CHECK(others[false].served() < 0.5);
    CHECK(others[true].served() > 0.98);
    CHECK(others[true].late == 0);
    CHECK(hotOutcomes[true].late * 5 < hotOutcomes[false].late);
    CHECK(hotOutcomes[true].inTime >= hotOutcomes[false].inTime);
}

TEST_CASE("Nearly all accepted jobs of a burst end within three times their objective")
{
    std::vector<double> rates = usualRates(20);
    rates[0] = 8;
    PressureCluster cluster(1, rates.size(), true);
    burst(cluster, rates, 1, 20);
    CHECK(cluster.outcomes[0].late <= cluster.outcomes[0].accepted / 50);
}

TEST_CASE("Bursts of a small organisation, and of two at once, leave other organisations their share")
{
    for (const std::size_t hotCount : { std::size_t { 1 }, std::size_t { 2 } }) {
        PressureCluster cluster(2, 20, true);
        burst(cluster, usualRates(20), hotCount, 100);
        cluster.print("small, with", hotCount);
        CHECK(cluster.refusals > 0);
        CHECK(cluster.others(hotCount).served() > 0.95);
        CHECK(cluster.ranThoughRefused() == 0);
        CHECK(cluster.checker.breaches().empty());
        REQUIRE(cluster.waitFor(Millis(30'000), [&] { return cluster.unserved() == 0; }));
    }
}

TEST_CASE("A burst among 180 organisations leaves the others their share")
{
    PressureCluster cluster(3, 180, true);
    cluster.stagger();
    std::vector<double> rates = usualRates(180);
    rates[0] = 4;
    burst(cluster, rates, 1, 30);
    cluster.print("180, with", 1);
    CHECK(cluster.others(1).submitted > 50);
    CHECK(cluster.refusals > 0);
    CHECK(cluster.others(1).served() > 0.95);
    CHECK(cluster.ranThoughRefused() == 0);
    REQUIRE(cluster.waitFor(Millis(30'000), [&] { return cluster.unserved() == 0; }));
}

TEST_CASE("A burst during a change of owner breaks no guarantee, and the new owner limits it again")
{
    PressureCluster cluster(4, 20, true);
    std::vector<double> rates = usualRates(20);
    rates[0] = 160;
    cluster.runWithRates(Millis(2'000), rates);
    cluster.kill(cluster.owner().value());
    cluster.runWithRates(Millis(3'000), rates);
    const std::uint64_t refusals = cluster.refusals;
    const std::size_t accepted = cluster.outcomes[0].accepted;
    cluster.runWithRates(Millis(2'000), rates);
    cluster.print("lost owner, with", 1);
    CHECK(cluster.refusals > refusals);
    CHECK(cluster.outcomes[0].accepted - accepted < 160);
    CHECK(cluster.ranThoughRefused() == 0);
    CHECK(cluster.checker.breaches().empty());
    REQUIRE(cluster.waitFor(Millis(60'000), [&] { return cluster.unserved() == 0; }));
}
