/// \file
/// Demonstration of the job service on real processes on loopback and a stand-in for the platform. Jobs are submitted and
/// followed to their end while a worker and the owner are killed and a data hall is evacuated. Exits non-zero on any violation.

#include "soak/soak_session.h"

#include <algorithm>
#include <exception>
#include <filesystem>
#include <iomanip>
#include <iostream>

using namespace lanemoor;
using namespace lanemoor::soak;

namespace {

constexpr unsigned processes = 3;
constexpr unsigned workers = 12;
constexpr Millis submissionTime { 3'000 };
constexpr Millis killDelay { 1'000 };
constexpr Millis restartAfter { 1'000 };
constexpr Millis limit { 30'000 };
constexpr Millis evacuationBound { 5'000 };
constexpr Millis watchedAfterBound { 3'000 };
const std::string evacuated = hallName(0);

/// Prints results as table rows and counts violations.
class Table {
public:
    void add(const std::string& what, const std::string& seen, bool good)
    {
        std::cout << (good ? "  ok    " : "  WRONG ") << std::left << std::setw(58) << what << seen << std::endl;
        m_violations += good ? 0 : 1;
    }

    [[nodiscard]] int violations() const noexcept { return m_violations; }

private:
    int m_violations = 0;
};

std::string inMilliseconds(std::int64_t time)
{
    return std::to_string(time) + " ms";
}

void runFor(SoakSession& session, Millis time)
{
    static_cast<void>(session.waitFor(time, [] { return false; }));
}

void showStart(SoakSession& session, Table& table)
{
    const std::int64_t begin = unixNow();
    session.start();
    table.add("three entry instances, a dozen workers, the first job", "ended after " + inMilliseconds(unixNow() - begin), true);
}

void killOwner(SoakSession& session, Table& table)
{
    const unsigned owner = session.owner();
    SoakCluster::Entry& entry = session.cluster().entries()[owner];
    session.guarantees().noteFaults(unixNow() + restartAfter.count());
    entry.isKilled = true;
    entry.isReady = false;
    entry.process.reset();
    const std::int64_t killed = unixNow();
    const bool succeeded = session.waitFor(limit, [&] { return session.owner() != owner; });
    table.add("the owner, " + entry.name + ", killed", succeeded ? session.cluster().entries()[session.owner()].name + " owns after " + inMilliseconds(unixNow() - killed) : "no successor", succeeded);
    runFor(session, restartAfter);
    session.cluster().startEntry(owner);
    const std::int64_t started = unixNow();
    const bool isBack = session.waitFor(limit, [&] { return session.areAllReady(); });
    table.add(entry.name + " started again", isBack ? "takes requests after " + inMilliseconds(unixNow() - started) : "is not ready", isBack);
}

void showFailures(SoakSession& session, Table& table)
{
    session.callers().submitUntil(session.loop().now() + submissionTime);
    runFor(session, killDelay);
    bool isKilled = false;
    session.cluster().control("/kill", { { "instance", session.cluster().instance(0) }, { "back_ms", restartAfter.count() } }, [&isKilled](std::int64_t) { isKilled = true; });
    table.add("a worker killed among running jobs", session.cluster().instance(0), session.waitFor(limit, [&isKilled] { return isKilled; }));
    killOwner(session, table);
    runFor(session, submissionTime - killDelay);
    const bool allEnded = session.waitFor(limit, [&session] { return session.guarantees().unfinishedJobs().empty(); });
    const std::string seen = std::to_string(session.guarantees().accepted()) + " accepted, " + std::to_string(session.guarantees().unfinishedJobs().size()) + " not ended, " + std::to_string(session.guarantees().starts()) + " starts";
    table.add("jobs submitted all along, watched to their end", seen, allEnded);
}

void showEvacuation(SoakSession& session, Table& table)
{
    // Time after which the owner's crash no longer suspends the time bounds.
    constexpr Millis reconnectTime { 4'000 };
    runFor(session, reconnectTime);
    std::int64_t acknowledged = 0;
    session.callers().submitUntil(session.loop().now() + evacuationBound + watchedAfterBound);
    session.cluster().control("/put", { { "key", names::evacuationPrefix + evacuated }, { "value", "{}" } }, [&](std::int64_t at) {
        acknowledged = at;
        session.guarantees().noteEvacuation(evacuated, at);
    });
    runFor(session, evacuationBound + watchedAfterBound);
    const std::int64_t last = session.guarantees().lastStartIn(evacuated);
    const std::string seen = last > acknowledged ? "last start there after " + inMilliseconds(last - acknowledged) : "no start there any more";
    table.add(evacuated + " evacuated, allowed until " + inMilliseconds(evacuationBound.count()), seen, acknowledged > 0 && last - acknowledged <= evacuationBound.count());
    session.guarantees().noteEvacuationOver(evacuated);
    session.cluster().control("/remove", { { "key", names::evacuationPrefix + evacuated } });
    const std::int64_t over = unixNow();
    session.callers().submitUntil(session.loop().now() + submissionTime);
    const bool servesAgain = session.waitFor(limit, [&session, over] { return session.guarantees().lastStartIn(evacuated) > over; });
    table.add("the request withdrawn", servesAgain ? "first start there after " + inMilliseconds(session.guarantees().lastStartIn(evacuated) - over) : "no start there", servesAgain);
}

void showEnd(SoakSession& session, Table& table)
{
    static_cast<void>(session.waitFor(submissionTime, [&session] { return session.guarantees().unfinishedJobs().empty(); }));
    static_cast<void>(session.waitFor(limit, [&session] { return session.guarantees().unfinishedJobs().empty(); }));
    const std::int64_t begin = unixNow();
    session.stopAll();
    session.guarantees().finish(unixNow());
    table.add("all entry instances asked to stop", "ended after " + inMilliseconds(unixNow() - begin), true);
    const std::vector<Breach>& breaches = session.guarantees().breaches();
    for (const Breach& breach : breaches)
        table.add(breach.guarantee, breach.detail, false);
    table.add("promises broken over " + std::to_string(session.guarantees().accepted()) + " accepted jobs", std::to_string(breaches.size()), breaches.empty());
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 2) {
        std::cerr << "usage: job_demo BUILD-FOLDER\n";
        return 2;
    }
    Table table;
    std::cout << "lanemoor demonstration: the job service\n";
    try {
        const std::string folder = makeFolder({});
        {
            SoakSession session({ .programs = arguments[1], .folder = folder, .processes = processes, .instances = workers });
            showStart(session, table);
            showFailures(session, table);
            showEvacuation(session, table);
            showEnd(session, table);
        }
        std::filesystem::remove_all(folder);
    } catch (const std::exception& error) {
        table.add("the demonstration", error.what(), false);
    }
    std::cout << (table.violations() == 0 ? "no violation\n" : "VIOLATIONS: " + std::to_string(table.violations()) + '\n');
    return table.violations() == 0 ? 0 : 1;
}
