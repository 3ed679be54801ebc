#include "cases.h"
#include "observation.h"
#include "small_platform.h"

#include <algorithm>

namespace lanemoor::review {

namespace {

constexpr Millis timeBefore { 14'000 }; // The clock of a worker that has been up for a while.
constexpr unsigned workerCount = 8;
constexpr Millis downTime { 300 };
constexpr Millis cutTime { 5'500 }; // The most that the site files list for `servers`.
constexpr Millis entryTime { 4'500 }; // Three heartbeats: the store drops the entry of a worker that has been silent for so long.
constexpr Millis observed { 25'000 };
constexpr std::int64_t taskMs = 20'000;

Json listOf(const std::vector<std::shared_ptr<SmallWorker>>& workers)
{
    Json machines = Json::array();
    for (const auto& worker : workers) {
        const Json entry = worker->entry();
        machines.push_back({ { "machine", "machine-of-" + worker->id() }, { "pool", "alpha" }, { "state", "up" }, { "zone", "hall-0" }, { "labels", entry["labels"] }, { "capacity", entry["capacity"] }, { "id", worker->id() } });
    }
    return { { "machines", machines }, { "next_token", "" } };
}

/// Watches for two runs of a task at a time. \returns Whether there were.
bool runTwice(const std::vector<std::shared_ptr<SmallWorker>>& workers, Record& record, Millis time)
{
    const auto until = std::chrono::steady_clock::now() + time;
    std::size_t polls = 0;
    while (std::chrono::steady_clock::now() < until) {
        std::vector<std::string> tasks;
        for (const auto& worker : workers) {
            const std::vector<std::string> running = worker->running();
            tasks.insert(tasks.end(), running.begin(), running.end());
        }
        std::sort(tasks.begin(), tasks.end());
        const auto twice = std::adjacent_find(tasks.begin(), tasks.end());
        if (twice != tasks.end() && ++polls == 1)
            record.line("two runs of " + *twice + " go at the same time on workers that are up");
        pause(Millis(20));
    }
    record.line("time with two runs at once: some " + std::to_string(polls * 20) + " ms");
    return polls > 0;
}

} // namespace

Verdict playRestartedWorker(const CaseInput& input)
{
    ClusterOptions options = input.options;
    options.instances = 0; // The workers are those of this case; the store is the project's stand-in.
    Cluster cluster(options, input.record);
    std::vector<std::shared_ptr<SmallWorker>> workers;
    for (unsigned i = 0; i < workerCount; ++i)
        workers.push_back(std::make_shared<SmallWorker>("w-" + std::to_string(i), input.record));
    // The servers' threads use these until this program ends.
    static std::vector<std::shared_ptr<SmallWorker>> kept;
    kept = workers;
    static SmallServer fleet([](const std::string& method, const std::string&, const std::string&, const std::string&) { return Answer { .status = method == "GET" ? 200 : 409, .body = method == "GET" ? listOf(kept).dump() : R"({"reason":"busy"})" }; });
    cluster.fleetProxy = fleet.endpoint();
    for (const auto& worker : workers)
        cluster.put("servers/" + worker->id(), worker->entry());
    Json configuration = configurationOf(5, false);
    configuration["routes"].erase(1);
    configuration["services"].erase(1);
    if (!cluster.start(configuration))
        return Verdict::NotRun;
    pause(timeBefore);
    SmallWorker& struck = *workers.front();
    // The first choice of the placement is the first worker by its id; a job before shows it.
    if (cluster.submit(0, "qa", idOf(0xa0), jobOf({ { "ms", 300 } }, { { "count", 1 }, { "cpu", 500 }, { "est_ms", 300 } })).status != 200)
        return Verdict::NotRun;
    pause(Millis(1'500));
    if (input.hasTrouble) {
        struck.cutAnswers(true);
        struck.restart();
        pause(downTime);
    }
    cluster.submit(1, "qa", idOf(0xa1), jobOf({ { "ms", taskMs } }, { { "count", 1 }, { "cpu", 500 }, { "est_ms", taskMs } }));
    const bool isTwiceEarly = runTwice(workers, input.record, entryTime - downTime);
    if (input.hasTrouble)
        cluster.remove("servers/" + struck.id());
    const bool isTwice = runTwice(workers, input.record, cutTime - entryTime + downTime) || isTwiceEarly;
    const std::vector<std::string> stillRunning = struck.running();
    if (input.hasTrouble && !isTwice && stillRunning.empty())
        return Verdict::NotRun; // The start did not reach the worker in its new life.
    if (input.hasTrouble) {
        struck.cutAnswers(false);
        cluster.put("servers/" + struck.id(), struck.entry());
    }
    const bool isTwiceLater = runTwice(workers, input.record, observed);
    input.record.line("job " + idOf(0xa1) + ": " + cluster.stateOf("qa", idOf(0xa1)));
    return isTwice || isTwiceLater ? Verdict::Broken : Verdict::Held;
}

} // namespace lanemoor::review
