/// Shares of organisations. Guards against a burst of one organisation that takes a whole pool while others wait.

#include "lanemoor/jobs/policy/organisation_share.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lanemoor;
using namespace lanemoor::jobs;

namespace {

constexpr Resources pool { .milliCpu = 100'000, .memoryMb = 400'000 };

OrganisationDemand cores(const std::string& name, double weight, std::int64_t used, std::int64_t waiting)
{
    return { .organisation = name, .weight = weight, .used = { .milliCpu = used * 1'000 }, .waiting = { .milliCpu = waiting * 1'000 } };
}

std::vector<OrganisationDemand> anyDemands()
{
    const auto amounts = [] { return Resources { .milliCpu = *rc::gen::inRange(0, 60'000), .memoryMb = *rc::gen::inRange(0, 200'000), .accelerators = *rc::gen::inRange(0, 3) }; };
    std::vector<OrganisationDemand> demands(static_cast<std::size_t>(*rc::gen::inRange(1, 12)));
    for (std::size_t i = 0; i < demands.size(); ++i)
        demands[i] = { .organisation = std::to_string(i), .weight = static_cast<double>(*rc::gen::inRange(0, 4)), .used = {}, .waiting = amounts() };
    return demands;
}

} // namespace

TEST_CASE("A burst gets what others leave of a pool, and no more")
{
    const std::vector<OrganisationShare> shares = sharesOf({ cores("hot", 1, 90, 900), cores("small", 1, 5, 5), cores("medium", 1, 5, 35) }, pool);
    CHECK(shares[0].share == Approx(0.5));
    CHECK(shares[1].share == Approx(0.1));
    CHECK(shares[2].share == Approx(0.4));
    CHECK_FALSE(shares[0].isBelow());
    CHECK(shares[1].isBelow());
}

TEST_CASE("Shares go by weight, and organisations without one count as the mean")
{
    const std::vector<OrganisationShare> shares = sharesOf({ cores("a", 3, 0, 900), cores("b", 1, 0, 900), cores("c", 0, 0, 900) }, pool);
    CHECK(shares[0].share == Approx(0.5));
    CHECK(shares[1].share == Approx(1.0 / 6));
    CHECK(shares[2].share == Approx(1.0 / 3));
    CHECK(sharesOf({ cores("a", 0, 0, 900), cores("b", 0, 0, 900) }, pool)[0].share == Approx(0.5));
}

TEST_CASE("Shares count the resource that an organisation takes most of")
{
    // One asks for memory, the other for processor time: both get more than half.
    const std::vector<OrganisationShare> shares = sharesOf({ { .organisation = "memory", .weight = 1, .used = {}, .waiting = { .milliCpu = 50'000, .memoryMb = 800'000 } }, cores("cores", 1, 0, 900) }, pool);
    CHECK(shares[0].share == Approx(0.8));
    CHECK(shares[1].share == Approx(0.8));
}

TEST_CASE("Shares of any demands fit into the pool, cover no more than is asked for, and leave no requested capacity unused")
{
    CHECK(rc::check([] {
        const std::vector<OrganisationDemand> demands = anyDemands();
        const Resources capacity { .milliCpu = 100'000, .memoryMb = 400'000, .accelerators = 4 };
        const std::vector<OrganisationShare> shares = sharesOf(demands, capacity);
        double milliCpu = 0;
        double memory = 0;
        double accelerators = 0;
        bool anyoneShort = false;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            const Resources& asked = demands[i].waiting;
            const double demand = std::max({ static_cast<double>(asked.milliCpu) / 100'000, static_cast<double>(asked.memoryMb) / 400'000, static_cast<double>(asked.accelerators) / 4 });
            RC_ASSERT(shares[i].share <= demand + 1e-6);
            const double part = demand > 0 ? shares[i].share / demand : 0;
            milliCpu += part * static_cast<double>(asked.milliCpu) / 100'000;
            memory += part * static_cast<double>(asked.memoryMb) / 400'000;
            accelerators += part * static_cast<double>(asked.accelerators) / 4;
            anyoneShort = anyoneShort || shares[i].share < demand - 1e-6;
        }
        RC_ASSERT(std::max({ milliCpu, memory, accelerators }) <= 1 + 1e-6);
        RC_ASSERT(!anyoneShort || std::max({ milliCpu, memory, accelerators }) >= 1 - 1e-6);
    }));
}

TEST_CASE("No organisation starts a task beyond its share while another one with waiting work is below its own")
{
    CHECK(rc::check([] {
        std::vector<OrganisationDemand> demands(static_cast<std::size_t>(*rc::gen::inRange(2, 8)));
        for (std::size_t i = 0; i < demands.size(); ++i)
            demands[i] = cores(std::to_string(i), *rc::gen::inRange(0, 4), 0, *rc::gen::inRange(0, 200));
        PoolShares shares(demands, pool);
        std::int64_t free = 100;
        while (free > 0) {
            const auto next = std::find_if(demands.begin(), demands.end(), [&](const OrganisationDemand& demand) { return demand.waiting.milliCpu > 0 && !shares.hasReachedShare(demand.organisation); });
            if (next == demands.end())
                break;
            next->waiting.milliCpu -= 1'000;
            shares.noteStarted(next->organisation, { .milliCpu = 1'000 });
            --free;
        }
        // No organisation gets more than a task above its share while another one that waits lacks a task of its own.
        for (const OrganisationShare& share : shares.all())
            RC_ASSERT(share.use <= share.share + 0.01 + 1e-9);
        for (std::size_t i = 0; i < demands.size(); ++i)
            RC_ASSERT(free == 0 || demands[i].waiting.milliCpu == 0 || !shares.all()[i].isBelow());
    }));
}

TEST_CASE("An organisation whose wide tasks find no room holds others back for a bounded time")
{
    ShareDeficits deficits(Millis(2'000));
    const MonotonicInstant begin { std::chrono::seconds(100) };
    std::int64_t heldMillis = 0;
    for (Millis at(0); at < Millis(9'000); at += Millis(10)) {
        deficits.note("p", "wide", true, begin + at);
        heldMillis += deficits.blocksOthers("p", begin + at) ? 10 : 0;
        if (at < ShareDeficits::starvedAfter)
            CHECK(heldMillis == 0);
    }
    CHECK(heldMillis == 4'000); // Two claims of 2 s each.
    CHECK_FALSE(deficits.blocksOthers("other", begin + Millis(1'000)));
    deficits.note("p", "wide", false, begin + Millis(9'000));
    CHECK_FALSE(deficits.blocksOthers("p", begin + Millis(9'000)));
}
