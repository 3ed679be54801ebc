/// Processor time of a shard's owner on a simulated store and workers, by the size of the fleet.
/// The figures include the simulation, so that only their slope and its changes are meaningful.

#include "../tests/jobs/support.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace lanemoor;
using namespace lanemoor::jobs;

namespace {

constexpr double tasksPerInstance = 5; // Concurrent tasks of 640 ms each.
constexpr int seconds = 10;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Runs jobs of two steps of eight tasks that keep `instances` busy. \returns Processor time per task in microseconds.
double microsecondsPerTask(std::size_t instances)
{
    test::SmallCluster cluster(1, 1, instances, 0);
    cluster.workers.runTimes = [](const Attempt&) { return Millis(640); };
    StepSpec first = test::step(8);
    StepSpec second = test::step(8, { 0 });
    const double tasksPerSecond = static_cast<double>(instances) * tasksPerInstance / 0.64;
    const Millis pause(static_cast<std::int64_t>(16'000 / tasksPerSecond));
    std::uint64_t number = 0;
    const double before = processorSeconds();
    const MonotonicInstant end = cluster.clock.now() + std::chrono::seconds(seconds);
    while (cluster.clock.now() < end) {
        cluster.submit(0, "work", test::jobId(++number), test::job({ first, second }));
        cluster.clock.runFor(std::max(pause, Millis(1)));
    }
    cluster.clock.runFor(Millis(3'000));
    return (processorSeconds() - before) * 1e6 / static_cast<double>(cluster.checker.starts());
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount > 1) {
        std::printf("%zu instances: %.0f us a task\n", static_cast<std::size_t>(std::atoi(arguments[1])), microsecondsPerTask(static_cast<std::size_t>(std::atoi(arguments[1]))));
        return 0;
    }
    for (const std::size_t instances : { 40U, 120U, 360U })
        std::printf("%zu instances: %.0f us a task\n", instances, microsecondsPerTask(instances));
}
