/// Admission control: budgets by expected service time, and their enforcement at entry instances.

#include "lanemoor/jobs/intake/admission_gate.h"
#include "lanemoor/jobs/policy/expected_service.h"
#include "platform/adapters.h"
#include "support.h"

#include <catch2/catch.hpp>

using namespace lanemoor;
using namespace lanemoor::jobs;
using namespace lanemoor::jobs::test;

namespace {

constexpr MonotonicInstant begin { std::chrono::seconds(100) };
constexpr TypicalJob typical { .workMillis = 2'000, .criticalPath = Millis(500), .allowed = Millis(1'500) };

AcceptedWork accepted(const std::string& organisation, std::int64_t workMillis, std::int64_t runningMilliCpu = 0)
{
    return { .queue = "q", .organisation = organisation, .weight = 1, .workMillis = workMillis, .runningMilliCpu = runningMilliCpu, .typical = typical };
}

AdmissionGrants grants(std::int64_t workMillis, std::int64_t milliCpu, std::uint64_t term = 1)
{
    return { .term = term, .validity = Millis(2'000), .entries = 4, .budgets = { { .queue = "q", .organisation = "hot", .workMillis = workMillis, .milliCpu = milliCpu, .jobMillis = 2'000, .expectedEnd = Millis(3'500), .limit = Millis(1'500) } } };
}

/// \returns A job of 2,000 ms of a core.
JobSpec usualJob()
{
    return job({ step(4) });
}

int countAdmitted(AdmissionGate& gate, int jobs, MonotonicInstant now, const std::string& organisation = "hot")
{
    int admitted = 0;
    for (int i = 0; i < jobs; ++i)
        admitted += gate.decide("q", organisation, usualJob(), 0, now).admitted ? 1 : 0;
    return admitted;
}

} // namespace

TEST_CASE("A pool that can serve all accepted work has no admission budgets")
{
    const ExpectedService service(AdmissionOptions {}, 64'000);
    CHECK(service.budgets({ accepted("a", 10'000), accepted("b", 20'000) }).empty());
    CHECK(service.budgets({}).empty());
}

TEST_CASE("A burst is limited to its organisation's share without limiting others")
{
    const ExpectedService service(AdmissionOptions {}, 64'000);
    const std::vector<AdmissionBudget> budgets = service.budgets({ accepted("hot", 500'000, 50'000), accepted("other", 10'000, 5'000) });
    REQUIRE(budgets.size() == 1);
    CHECK(budgets[0].organisation == "hot");
    CHECK(budgets[0].workMillis < 0);
    CHECK(budgets[0].expectedEnd > budgets[0].limit);
    CHECK(budgets[0].milliCpu == 0);
    // The other organisation needs 6.7 of 54.4 cores to meet its objective; the rest is the share.
    CHECK(budgets[0].sharePermille == Approx(877).margin(2));
}

TEST_CASE("Only organisations below their share are admitted up to three times the objective")
{
    const ExpectedService service(AdmissionOptions {}, 64'000);
    const std::vector<AdmissionBudget> below = service.budgets({ accepted("a", 35'000, 10'000), accepted("b", 500'000, 44'000) });
    const std::vector<AdmissionBudget> atShare = service.budgets({ accepted("a", 70'000, 27'200), accepted("b", 500'000, 27'200) });
    REQUIRE(below.size() == 2);
    REQUIRE(atShare.size() == 2);
    CHECK(below[0].limit == 3 * typical.allowed);
    CHECK(below[0].workMillis > 0);
    CHECK(atShare[0].limit == Millis(1'200)); // With a margin before the objective.
    CHECK(atShare[0].workMillis < 0);
}

TEST_CASE("A gate admits its budget and refill, and organisations without a budget without limit")
{
    AdmissionGate gate("entry-1");
    CHECK(countAdmitted(gate, 100, begin) == 100);
    gate.apply(grants(20'000, 4'000), begin);
    CHECK(countAdmitted(gate, 100, begin, "other") == 100);
    const int first = countAdmitted(gate, 100, begin);
    CHECK(first >= 10);
    CHECK(first <= 11);
    const int second = countAdmitted(gate, 100, begin + Millis(1'500)); // 6,000 ms of a core more.
    CHECK(second >= 2);
    CHECK(second <= 4);
    const AdmissionDecision decision = gate.decide("q", "hot", usualJob(), 0, begin + Millis(1'500));
    CHECK_FALSE(decision.admitted);
    CHECK(decision.basis == AdmissionBasis::Budget);
    CHECK(decision.retryAfter == Millis(2'000));
    CHECK(gate.decide("q", "hot", job({ longStep(2) }), 0, begin + Millis(1'500)).admitted);
}

TEST_CASE("A budget split over many entry instances admits no more than the whole")
{
    int admitted = 0;
    constexpr int entries = 400;
    for (int i = 0; i < entries; ++i) {
        AdmissionGate gate("entry-" + std::to_string(i));
        gate.apply(grants(200, 0), begin); // A tenth of a job each.
        admitted += countAdmitted(gate, 20, begin);
    }
    CHECK(admitted > entries / 20);
    CHECK(admitted < entries / 5);
}

TEST_CASE("After a grant expires the safe share applies, and a grant of an earlier term is ignored")
{
    AdmissionGate gate("entry-1");
    gate.apply(grants(0, 0, 2), begin);
    gate.apply(grants(1'000'000, 0, 1), begin);
    CHECK(countAdmitted(gate, 10, begin) <= 1);
    const MonotonicInstant expired = begin + Millis(2'000);
    const AdmissionDecision decision = gate.decide("q", "hot", usualJob(), 8, expired);
    CHECK(decision.admitted);
    CHECK(decision.basis == AdmissionBasis::SafeShare);
    CHECK(gate.decide("q", "hot", usualJob(), 8, expired).admitted); // Two a second: eight over four instances.
    CHECK_FALSE(gate.decide("q", "hot", usualJob(), 8, expired).admitted);
    CHECK(gate.decide("q", "hot", usualJob(), 8, expired + Millis(500)).admitted);
    CHECK(countAdmitted(gate, 10, expired + AdmissionGate::safeShareDuration) == 10);
}

TEST_CASE("A grant is sent again when a value changes by more than a tenth or the names change")
{
    const AdmissionGrants before = grants(1'000, 4'000);
    CHECK_FALSE(differsSignificantly(before, grants(1'050, 4'000)));
    CHECK(differsSignificantly(before, grants(1'200, 4'000)));
    CHECK(differsSignificantly(before, grants(1'000, 4'000, 2)));
    AdmissionGrants none = before;
    none.budgets.clear();
    CHECK(differsSignificantly(before, none));
    CHECK(grantsPerEntry(before, 4).budgets[0].workMillis == 250);
}
