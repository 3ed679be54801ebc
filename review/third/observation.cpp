#include "observation.h"

#include <algorithm>
#include <map>

namespace lanemoor::review {

namespace {

constexpr Millis finishTime { 14'000 }; // `finish_s`, after the end of the traffic.
constexpr std::int64_t forgottenMs = 3'000;

bool isEnd(const std::string& event)
{
    return event == "done" || event == "failed" || event == "stopped" || event == "lapsed" || event == "dead";
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Observation::Observation(const std::vector<Json>& events)
    : m_events(events)
{
}

std::size_t Observation::startsOf(const std::string& job, std::int64_t fromMs) const
{
    return static_cast<std::size_t>(std::count_if(m_events.begin(), m_events.end(), [&](const Json& event) { return event.value("event", "") == "start" && event.value("task", "").rfind(job, 0) == 0 && event.value("at", std::int64_t { 0 }) >= fromMs; }));
}

std::set<std::string> Observation::upIn(const std::string& pool) const
{
    std::map<std::string, std::string> poolOf;
    for (const Json& event : m_events) {
        if (event.value("event", "") == "worker-started")
            poolOf[event.value("instance", "")] = event.value("pool", "");
        else if (event.value("event", "") == "worker-ended")
            poolOf.erase(event.value("instance", ""));
    }
    std::set<std::string> up;
    for (const auto& [instance, of] : poolOf) {
        if (of == pool)
            up.insert(instance);
    }
    return up;
}

std::size_t Observation::mostRunning(const std::set<std::string>& instances, std::int64_t fromMs) const
{
    std::set<std::pair<std::string, std::uint64_t>> running;
    std::size_t most = 0;
    bool hasBegun = false;
    for (const Json& event : m_events) {
        if (!hasBegun && event.value("at", std::int64_t { 0 }) >= fromMs) {
            hasBegun = true;
            most = running.size();
        }
        const std::string name = event.value("event", "");
        if (!instances.contains(event.value("instance", "")))
            continue;
        const std::pair run { event.value("task", ""), event.value("run", std::uint64_t { 0 }) };
        if (name == "start")
            running.insert(run);
        else if (isEnd(name))
            running.erase(run);
        if (hasBegun)
            most = std::max(most, running.size());
    }
    return hasBegun ? most : running.size();
}

Millis Observation::longestIdle(const std::string& job, std::int64_t fromMs, std::int64_t untilMs, std::size_t mostOthers) const
{
    std::set<std::pair<std::string, std::uint64_t>> running;
    std::int64_t idleSince = 0; // 0: it runs.
    std::int64_t longest = 0;
    bool hasStarted = false;
    const auto note = [&](std::int64_t at) {
        const bool isRunning = std::any_of(running.begin(), running.end(), [&](const auto& run) { return run.first.rfind(job, 0) == 0; });
        const bool isIdle = hasStarted && at >= fromMs && !isRunning && running.size() <= mostOthers;
        if (idleSince != 0)
            longest = std::max(longest, at - idleSince);
        if (!isIdle)
            idleSince = 0;
        else if (idleSince == 0)
            idleSince = at;
    };
    for (const Json& event : m_events) {
        const std::string name = event.value("event", "");
        const std::pair run { event.value("task", ""), event.value("run", std::uint64_t { 0 }) };
        if (event.value("at", untilMs) >= untilMs || (name != "start" && !isEnd(name)))
            continue;
        if (name == "start")
            running.insert(run);
        else
            running.erase(run);
        hasStarted = hasStarted || run.first.rfind(job, 0) == 0;
        note(event.value("at", untilMs));
    }
    note(untilMs);
    return Millis(longest);
}

void Observation::write(const std::vector<Json>& events, Record& record)
{
    for (const Json& event : events) {
        const std::string name = event.value("event", "");
        if (name == "start" || name == "act" || name == "worker-started" || name == "worker-ended" || isEnd(name))
            record.line("worker: " + event.dump());
    }
}

Json soundJob()
{
    return jobOf({ { "ms", 200 } }, { { "count", 1 }, { "cpu", 1'000 }, { "est_ms", 200 } });
}

bool submitSoundJobs(Cluster& cluster, std::uint64_t firstId, unsigned count, Millis gap)
{
    for (unsigned i = 0; i < count; ++i) {
        if (cluster.submit(i % cluster.processes(), "qa", idOf(firstId + i), soundJob()).status != 200)
            return false;
        pause(gap);
    }
    return true;
}

bool runSoundJobs(Cluster& cluster, unsigned count)
{
    constexpr std::uint64_t firstId = 0x1000;
    if (!submitSoundJobs(cluster, firstId, count, Millis(100)))
        return false;
    pause(Millis(2'000));
    for (unsigned i = 0; i < count; ++i) {
        if (cluster.stateOf("qa", idOf(firstId + i)) != "succeeded")
            return false;
    }
    return true;
}

bool isForgotten(Cluster& cluster, Record& record, const std::string& queue, const std::string& job, const std::set<std::string>& suitable)
{
    const auto until = std::chrono::steady_clock::now() + finishTime;
    std::string state;
    while (std::chrono::steady_clock::now() < until && state != "succeeded") {
        pause(Millis(250));
        const std::string now = cluster.stateOf(queue, job);
        if (now != state)
            record.line("GET /" + queue + '/' + job + " -> " + now);
        state = now;
    }
    const std::vector<Json> events = cluster.events();
    Observation::write(events, record);
    const Observation seen(events);
    const std::int64_t from = nowMs() - forgottenMs;
    const std::set<std::string> up = seen.upIn("alpha");
    std::set<std::string> room;
    std::set_intersection(up.begin(), up.end(), suitable.begin(), suitable.end(), std::inserter(room, room.end()));
    const std::size_t running = seen.mostRunning(up, from);
    record.line("job " + job + ": shown as " + state + "; starts in all " + std::to_string(seen.startsOf(job)) + "; workers of its service that are up " + std::to_string(up.size()) + ", suitable ones " + std::to_string(room.size()) + ", runs at once on them in the last 3 s at most " + std::to_string(running));
    // Each worker has 4 cores, and takes the job twice over; a run takes a core or two.
    return state != "succeeded" && seen.startsOf(job) == 0 && !room.empty() && running < up.size();
}

} // namespace lanemoor::review
