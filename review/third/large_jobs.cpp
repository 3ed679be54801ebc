#include "cases.h"

#include <algorithm>

namespace lanemoor::review {

namespace {

constexpr unsigned jobs = 60;
constexpr unsigned largeCount = 20'000; // The most tasks that the project accepts in a job.
constexpr unsigned smallCount = 20;
constexpr unsigned machinesToFault = 2; // "a tenth of the machines in use (two at least)"
constexpr unsigned endsToFault = 3;
constexpr std::chrono::seconds observed { 40 };

} // namespace

Verdict playLargeJobs(const CaseInput& input)
{
    Cluster cluster(input.options, input.record);
    if (!cluster.start(configurationOf(5, true)))
        return Verdict::NotRun;
    const unsigned count = input.hasTrouble ? largeCount : smallCount;
    for (unsigned i = 0; i < jobs; ++i) {
        cluster.submit(i % cluster.processes(), "qb", idOf(0x1000 + i), jobOf({ { "ms", 200 } }, { { "count", count }, { "cpu", 500 }, { "est_ms", 200 } }));
        cluster.tend();
    }
    const auto until = std::chrono::steady_clock::now() + observed;
    while (std::chrono::steady_clock::now() < until) {
        pause(Millis(20));
        cluster.tend();
    }
    const std::vector<unsigned> ends = cluster.ends();
    const auto often = std::count_if(ends.begin(), ends.end(), [](unsigned times) { return times >= endsToFault; });
    return often >= machinesToFault ? Verdict::Broken : Verdict::Held;
}

} // namespace lanemoor::review
