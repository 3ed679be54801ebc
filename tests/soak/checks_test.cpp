// Tests of the soak's guarantee checks and fault plan. A check that never fires would let every soak run pass.
#include "soak/fault_plan.h"
#include "soak/guarantee_monitor.h"

#include <catch2/catch.hpp>

using namespace lanemoor::soak;

namespace {

constexpr const char* job = "00000000000000aa";

nlohmann::json event(const char* kind, std::int64_t at, const char* worker = "w-1", const char* task = "00000000000000aa.0.0.0")
{
    return { { "event", kind }, { "at", at }, { "worker", worker }, { "task", task }, { "run", 1 }, { "hall", "hall-0" } };
}

GuaranteeMonitor withJob()
{
    GuaranteeMonitor guarantees;
    guarantees.noteSubmitted({ .id = job, .tasks = { 1, 1 }, .maxAttempts = 3 });
    return guarantees;
}

std::vector<std::string> brokenIn(const GuaranteeMonitor& guarantees)
{
    std::vector<std::string> broken;
    for (const Breach& breach : guarantees.breaches())
        broken.push_back(breach.guarantee);
    return broken;
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("The soak detects two concurrent attempts of a task, but not successive ones")
{
    GuaranteeMonitor guarantees = withJob();
    guarantees.noteEvent(event("start", 1));
    guarantees.noteEvent(event("lapsed", 2));
    guarantees.noteEvent(event("start", 3, "w-2"));
    CHECK(guarantees.breaches().empty());
    guarantees.noteEvent(event("start", 4, "w-3"));
    CHECK(brokenIn(guarantees) == Names { guarantee::oneAttemptAtOnce });
}

/// Guards against a limit of failures that no run of the soak would check.
TEST_CASE("The soak detects a start after as many acknowledged failures as the limit")
{
    GuaranteeMonitor guarantees = withJob();
    for (std::int64_t at = 0; at < 30; at += 10) {
        guarantees.noteEvent(event("start", at + 1));
        guarantees.noteEvent(event("failed", at + 2));
        CHECK(guarantees.breaches().empty());
        guarantees.noteEvent(event("failure-stored", at + 3));
    }
    CHECK(guarantees.breaches().empty());
    guarantees.noteEvent(event("start", 40));
    CHECK(brokenIn(guarantees) == Names { guarantee::attemptsAreBounded });
}

TEST_CASE("The soak detects a start after an acknowledged success")
{
    GuaranteeMonitor guarantees = withJob();
    guarantees.noteEvent(event("start", 1));
    guarantees.noteEvent(event("done", 2));
    guarantees.noteEvent(event("start", 3));
    guarantees.noteEvent(event("done", 4));
    CHECK(guarantees.breaches().empty());
    guarantees.noteEvent(event("stored", 5));
    guarantees.noteEvent(event("start", 6));
    CHECK(brokenIn(guarantees) == Names { guarantee::noneAfterSuccess });
}

/// Guards against runs that pass although a task starts again before its success is acknowledged.
TEST_CASE("The soak detects a success that is acknowledged after its task has started again")
{
    GuaranteeMonitor guarantees = withJob();
    guarantees.noteEvent(event("start", 1));
    guarantees.noteEvent(event("done", 2));
    nlohmann::json again = event("start", 3);
    again["run"] = 2;
    guarantees.noteEvent(again);
    CHECK(guarantees.breaches().empty());
    guarantees.noteEvent(event("stored", 4));
    CHECK(brokenIn(guarantees) == Names { guarantee::noneAfterSuccess });
}

TEST_CASE("The soak detects a count of waiting jobs that is too low, while processes are connected")
{
    GuaranteeMonitor guarantees;
    for (const char* id : { "a", "b", "c" }) {
        guarantees.noteSubmitted({ .id = id, .tasks = { 1 }, .maxAttempts = 3, .queue = "alpha" });
        guarantees.noteAnswer(id, Submission::Accepted, 1'000);
    }
    guarantees.noteCount("entry", "alpha", 0, 6'000); // The jobs may be missing in a count that is 2 s old.
    guarantees.noteCount("entry", "beta", 0, 7'000);
    guarantees.noteCount("entry", "alpha", 2, 7'000);
    CHECK(guarantees.breaches().empty());
    guarantees.noteFaults(7'000);
    guarantees.noteCount("entry", "alpha", 1, 8'000);
    CHECK(guarantees.breaches().empty());
    guarantees.noteCount("entry", "alpha", 1, 12'000);
    CHECK(brokenIn(guarantees) == Names { guarantee::countsAreTrue });
    guarantees.noteEvent(event("start", 12'500, "w-1", "a.0.0.0"));
    guarantees.noteCount("entry", "alpha", 1, 13'000);
    CHECK(guarantees.breaches().size() == 1);
}

TEST_CASE("The soak detects a step that starts before the step it depends on")
{
    GuaranteeMonitor guarantees = withJob();
    guarantees.noteEvent(event("start", 1, "w-1", "00000000000000aa.0.1.0"));
    CHECK(brokenIn(guarantees) == Names { guarantee::stepsInOrder });
}

TEST_CASE("The soak detects accepted jobs that never end, are unknown to the service, or have a wrong status")
{
    GuaranteeMonitor guarantees = withJob();
    guarantees.noteAnswer(job, Submission::Accepted, 1);
    guarantees.noteStatus(job, "running", 1);
    CHECK(guarantees.unfinishedJobs() == Names { job });
    guarantees.noteStatus(job, "", 2);
    guarantees.noteStatus(job, "", 2);
    guarantees.finish(3);
    CHECK(brokenIn(guarantees) == Names { guarantee::acceptedJobsKnown, guarantee::acceptedJobsEnd });
    for (const char* status : { "succeeded", "failed", "cancelled" }) {
        GuaranteeMonitor others = withJob();
        others.noteAnswer(job, Submission::Accepted, 1);
        others.noteStatus(job, status, 1);
        CHECK(brokenIn(others) == Names { guarantee::statusIsTrue });
    }
}

TEST_CASE("The soak detects a refused job that runs, unless an answer to its submission was lost")
{
    GuaranteeMonitor refused = withJob();
    refused.noteAnswer(job, Submission::Refused, 1);
    refused.noteEvent(event("start", 1));
    refused.finish(2);
    CHECK(brokenIn(refused) == Names { guarantee::refusalsAreTrue });
    GuaranteeMonitor lost = withJob();
    lost.noteAnswer(job, Submission::Refused, 1);
    lost.noteAnswer(job, Submission::Unknown, 1);
    lost.noteEvent(event("start", 1));
    lost.finish(2);
    CHECK(lost.breaches().empty());
}

TEST_CASE("The soak detects late starts in evacuated halls and of cancelled jobs, but not shortly after faults")
{
    for (const bool hasFaults : { false, true }) {
        GuaranteeMonitor guarantees = withJob();
        if (hasFaults)
            guarantees.noteFaults(14'000);
        guarantees.noteEvacuation("hall-0", 10'000);
        guarantees.noteEvent(event("start", 15'000));
        guarantees.noteEvent(event("lapsed", 15'000));
        CHECK(guarantees.breaches().empty());
        guarantees.noteCancelled(job, 10'000);
        guarantees.noteEvent(event("start", 15'001));
        CHECK(brokenIn(guarantees) == (hasFaults ? Names {} : Names { guarantee::nothingUnasked, guarantee::evacuatedHallsRest }));
    }
}

TEST_CASE("The soak detects a configuration that reverts, and acts of two owners within the min interval")
{
    GuaranteeMonitor guarantees;
    guarantees.noteConfiguration("entry-0", 2, 1);
    guarantees.noteConfiguration("entry-1", 1, 2);
    CHECK(guarantees.breaches().empty());
    guarantees.noteConfiguration("entry-0", 1, 3);
    const auto act = [](std::int64_t at, int fence) { return nlohmann::json { { "event", "act" }, { "at", at }, { "instance", "m-0" }, { "fence", fence } }; };
    guarantees.noteEvent(act(10'000, 1));
    guarantees.noteEvent(act(13'000, 2));
    guarantees.noteEvent(act(15'999, 3));
    CHECK(brokenIn(guarantees) == Names { guarantee::configurationNeverReverts, guarantee::ownersApart });
}

TEST_CASE("The soak detects workers that stay closed to tasks, and an owner that does not report them")
{
    GuaranteeMonitor guarantees = withJob();
    guarantees.noteStillClosed("entry-0", 2, 1);
    guarantees.noteStillClosed("entry-0", std::nullopt, 1);
    CHECK(brokenIn(guarantees) == Names { guarantee::workersOpenAgain, guarantee::workersOpenAgain });
}

TEST_CASE("A seed determines the fault plan, whose calm phases disturb neither processes nor the store")
{
    constexpr unsigned seconds = 60;
    CHECK(planFaults(7, seconds) == planFaults(7, seconds));
    CHECK(planFaults(7, seconds) != planFaults(8, seconds));
    for (const PlannedFault& fault : planFaults(7, seconds)) {
        CHECK(fault.at + fault.duration <= std::chrono::seconds(seconds));
        const bool isAllowedInCalm = fault.kind >= FaultKind::KillWorker;
        CHECK((isAllowedInCalm || (fault.at + fault.duration) % lanemoor::Millis(38'000) <= lanemoor::Millis(18'000)));
    }
}
