// Tests of the soak's guarantee checks and fault plan. A check that never fires would let every soak run pass.
#include "soak/fault_plan.h"
#include "soak/promises.h"

#include <catch2/catch.hpp>

using namespace lanemoor::soak;

namespace {

constexpr const char* job = "00000000000000aa";

nlohmann::json event(const char* kind, std::int64_t at, const char* worker = "w-1", const char* task = "00000000000000aa.0.0.0")
{
    return { { "event", kind }, { "at", at }, { "worker", worker }, { "task", task }, { "run", 1 }, { "hall", "hall-0" } };
}

Promises withJob()
{
    Promises promises;
    promises.noteSubmitted({ .id = job, .tasks = { 1, 1 }, .mostAttempts = 3 });
    return promises;
}

std::vector<std::string> brokenIn(const Promises& promises)
{
    std::vector<std::string> broken;
    for (const Breach& breach : promises.breaches())
        broken.push_back(breach.promise);
    return broken;
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("The soak notices two attempts at once, and none where the first has ended")
{
    Promises promises = withJob();
    promises.noteEvent(event("start", 1));
    promises.noteEvent(event("lapsed", 2));
    promises.noteEvent(event("start", 3, "w-2"));
    CHECK(promises.breaches().empty());
    promises.noteEvent(event("start", 4, "w-3"));
    CHECK(brokenIn(promises) == Names { promise::oneAttemptAtOnce });
}

TEST_CASE("The soak notices a start after an acknowledged success")
{
    Promises promises = withJob();
    promises.noteEvent(event("start", 1));
    promises.noteEvent(event("done", 2));
    promises.noteEvent(event("start", 3));
    promises.noteEvent(event("done", 4));
    CHECK(promises.breaches().empty());
    promises.noteEvent(event("stored", 5));
    promises.noteEvent(event("start", 6));
    CHECK(brokenIn(promises) == Names { promise::noneAfterSuccess });
}

TEST_CASE("The soak notices a step that starts before the one it depends on")
{
    Promises promises = withJob();
    promises.noteEvent(event("start", 1, "w-1", "00000000000000aa.0.1.0"));
    CHECK(brokenIn(promises) == Names { promise::stepsInOrder });
}

TEST_CASE("The soak notices accepted jobs that do not end, are not known, or are shown as what they are not")
{
    Promises promises = withJob();
    promises.noteAnswer(job, Submission::Accepted);
    promises.noteStatus(job, "running", 1);
    CHECK(promises.openJobs() == Names { job });
    promises.noteStatus(job, "", 2);
    promises.noteStatus(job, "", 2);
    promises.finish(3);
    CHECK(brokenIn(promises) == Names { promise::acceptedJobsKnown, promise::acceptedJobsEnd });
    for (const char* status : { "succeeded", "failed", "cancelled" }) {
        Promises others = withJob();
        others.noteAnswer(job, Submission::Accepted);
        others.noteStatus(job, status, 1);
        CHECK(brokenIn(others) == Names { promise::statusIsTrue });
    }
}

TEST_CASE("The soak notices a refused job that runs, but not one whose answer was lost")
{
    Promises refused = withJob();
    refused.noteAnswer(job, Submission::Refused);
    refused.noteEvent(event("start", 1));
    refused.finish(2);
    CHECK(brokenIn(refused) == Names { promise::refusalsAreTrue });
    Promises lost = withJob();
    lost.noteAnswer(job, Submission::Refused);
    lost.noteAnswer(job, Submission::Unknown);
    lost.noteEvent(event("start", 1));
    lost.finish(2);
    CHECK(lost.breaches().empty());
}

TEST_CASE("The soak notices late starts in evacuated halls and of cancelled jobs, but not of processes out of contact")
{
    for (const bool inTrouble : { false, true }) {
        Promises promises = withJob();
        if (inTrouble)
            promises.noteTrouble(14'000);
        promises.noteEvacuation("hall-0", 10'000);
        promises.noteEvent(event("start", 15'000));
        promises.noteEvent(event("lapsed", 15'000));
        CHECK(promises.breaches().empty());
        promises.noteCancelled(job, 10'000);
        promises.noteEvent(event("start", 15'001));
        CHECK(brokenIn(promises) == (inTrouble ? Names {} : Names { promise::nothingUnasked, promise::evacuatedHallsRest }));
    }
}

TEST_CASE("The soak notices a configuration that reverts and acts of two owners within their interval")
{
    Promises promises;
    promises.noteConfiguration("entry-0", 2, 1);
    promises.noteConfiguration("entry-1", 1, 2);
    CHECK(promises.breaches().empty());
    promises.noteConfiguration("entry-0", 1, 3);
    const auto act = [](std::int64_t at, int fence) { return nlohmann::json { { "event", "act" }, { "at", at }, { "instance", "m-0" }, { "fence", fence } }; };
    promises.noteEvent(act(10'000, 1));
    promises.noteEvent(act(13'000, 2));
    promises.noteEvent(act(15'999, 3));
    CHECK(brokenIn(promises) == Names { promise::configurationNeverReverts, promise::ownersApart });
}

TEST_CASE("A seed determines the soak's plan, whose calm parts meet neither processes nor store")
{
    constexpr unsigned seconds = 60;
    CHECK(planFaults(7, seconds) == planFaults(7, seconds));
    CHECK(planFaults(7, seconds) != planFaults(8, seconds));
    for (const PlannedFault& fault : planFaults(7, seconds)) {
        CHECK(fault.at + fault.duration <= std::chrono::seconds(seconds));
        const bool isAllowedInCalm = fault.kind >= FaultKind::KillWorker;
        CHECK((isAllowedInCalm || (fault.at + fault.duration) % lanemoor::Millis(30'000) <= lanemoor::Millis(18'000)));
    }
}
