#include "cases.h"
#include "proxies.h"

#include <map>
#include <set>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr Size size { .instances = 12, .reserve = 0, .halls = 6 };
constexpr unsigned entries = 3;
const std::string instance = "m-0"; ///< The only one of its pool in its rack.
const std::string neighbour = "m-1"; ///< The other one in that rack, of the other pool, which may be moved.
const std::string rack = "hall-0-rack-0";

constexpr int jobs = 16;
constexpr int tasksOfJob = 40;
constexpr int taskMillis = 4'000;
constexpr Millis slowTime { 4'400 }; ///< platform_slow: x = 60, for_s = 4.5.
constexpr int usualAnswerMillis = 4;
constexpr int slowFactor = 60;
constexpr Millis untilSlow { 2'500 }; ///< After the starts, before the ends.
constexpr Millis startTime { 20'000 };
constexpr Millis watchTime { 15'000 };

std::string bodyOf()
{
    return json({ { "spec", json({ { "ms", taskMillis } }).dump() }, { "steps", { { { "count", tasksOfJob }, { "cpu", 6 }, { "mem_mb", 16 }, { "est_ms", taskMillis }, { "constraints", rack } } } } }).dump();
}

std::string idOf(int number)
{
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

/// \returns How many tasks started again after a run that ended `done` and whose end was taken note of.
int countRunAgain(Deployment& deployment, const Run& run)
{
    std::map<std::string, std::pair<std::uint64_t, std::int64_t>> done; // Run and time of the end, by task.
    std::set<std::pair<std::string, std::uint64_t>> noted;
    std::map<std::string, std::uint64_t> again;
    for (const json& line : deployment.events()) {
        const std::string event = line.value("event", "");
        const std::string task = line.value("task", "");
        const auto number = line.value("run", std::uint64_t { 0 });
        if (event == "done")
            done.emplace(task, std::pair(number, line.at("at").get<std::int64_t>()));
        else if (event == "stored")
            noted.emplace(task, number);
        else if (event == "start" && done.contains(task) && number > done.at(task).first)
            again.emplace(task, number);
    }
    int count = 0;
    for (const auto& [task, number] : again) {
        const std::uint64_t first = done.at(task).first;
        if (!noted.contains({ task, first }))
            continue;
        run.record.write({ { "task", task }, { "ended done and noted, run", first }, { "started again, run", number } });
        ++count;
    }
    return count;
}

std::size_t countStarted(Deployment& deployment)
{
    std::size_t count = 0;
    for (const json& line : deployment.events())
        count += line.value("event", "") == "start" ? 1 : 0;
    return count;
}

} // namespace

bool endedRunsAgain(const Run& run)
{
    Deployment deployment(run.folders, run.record, size);
    WorkerProxy worker(deployment.workerAddress(instance));
    WorkerProxy other(deployment.workerAddress(neighbour));
    deployment.control("/store-faults", { { "answer_ms", usualAnswerMillis } });
    deployment.beginWorkers({ { instance, worker.address() }, { neighbour, other.address() } });
    for (unsigned entry = 0; entry < entries; ++entry)
        deployment.startEntry(entry, deployment.storeAddress());
    pause(Millis(2'000));
    for (int i = 0; i < jobs; ++i) {
        if (deployment.client(static_cast<unsigned>(i) % entries, "POST", "/alpha/" + idOf(i), bodyOf()).status != 200)
            throw std::runtime_error("a job was not accepted");
    }
    const auto deadline = Clock::now() + startTime;
    while (countStarted(deployment) < std::size_t { jobs } * tasksOfJob && Clock::now() < deadline)
        pause(Millis(20));
    if (countStarted(deployment) < std::size_t { jobs } * tasksOfJob)
        throw std::runtime_error("not all tasks have started");
    pause(untilSlow);
    if (run.hasTrouble)
        deployment.control("/store-faults", { { "answer_ms", slowFactor * usualAnswerMillis } });
    pause(slowTime);
    deployment.control("/store-faults", { { "answer_ms", usualAnswerMillis } });
    pause(watchTime);
    for (int i = 0; i < jobs; ++i)
        deployment.client(0, "GET", "/alpha/" + idOf(i));
    const int count = countRunAgain(deployment, run);
    run.record.write({ { "tasks that started again after an end done that was taken note of", count } });
    return count == 0;
}

} // namespace review
