#include "cases.h"

#include <cstdio>

namespace review {

namespace {

constexpr int ok = 200;
constexpr Millis startTimeout { 20'000 };
const std::string serviceName = "counter-api";
const std::string queueName = "elig-check";

/// Adds machines in racks of four, named m-01 and so on.
void addMachines(Platform& platform, unsigned count, const std::string& pool = serviceName)
{
    constexpr unsigned perRack = 4;
    for (unsigned i = 0; i < count; ++i) {
        char name[16];
        std::snprintf(name, sizeof name, "m-%02u", i + 1);
        platform.addMachine({ .machine = name, .pool = pool, .zone = "sala-a", .rack = "r1-" + std::to_string(i / perRack) });
    }
}

/// Sets the platform up and starts the entry processes. \returns Whether they are ready.
bool begin(Platform& platform, const Entries& entries, const json& firstConfiguration)
{
    platform.configure(firstConfiguration);
    platform.begin();
    const bool isReady = entries.awaitReady(startTimeout);
    std::this_thread::sleep_for(Millis(3'000)); // An owner, and sessions with all workers.
    return isReady;
}

std::string pathOf(const std::string& id)
{
    return '/' + queueName + '/' + id;
}

json oneStep(unsigned count, unsigned estimate)
{
    return { { "count", count }, { "cpu", 1'800 }, { "mem_mb", 5'100 }, { "est_ms", estimate } };
}

std::string jobText(const json& step)
{
    return json { { "spec", "(text)" }, { "steps", json::array({ step }) } }.dump();
}

std::string taskOf(const std::string& id)
{
    return id + ".0.0.0";
}

std::string stateOf(Entries& entries, const std::string& queue, const std::string& id)
{
    const Reply reply = entries.call("GET", '/' + queue + '/' + id, {});
    const json body = json::parse(reply.body, nullptr, false);
    return reply.status == ok && body.is_object() ? body.value("state", "") : std::to_string(reply.status);
}

/// Two queues' routes are removed while a job of each runs, and come back. Tasks of the first queue always fail, and a task of the second
/// fails three times and is done at the fourth.
Outcome runAttempts(const Environment& environment, Record& record)
{
    const std::string alwaysFails = "5c0e7a21d94b36f8";
    const std::string failsThrice = "5c0e7a21d94b36f9";
    const std::string sheetService = "skjema";
    constexpr unsigned few = 2;
    constexpr unsigned many = 4;
    constexpr unsigned usualJobs = 40;
    Platform platform(record, {}, [&](const std::string& task, std::uint64_t run) {
        if (task.rfind("00", 0) == 0)
            return RunPlan { .time = Millis(300) };
        const bool fails = task.rfind(alwaysFails, 0) == 0 || run < many;
        return RunPlan { .time = Millis(1'500), .end = fails ? "failed" : "done" };
    });
    addMachines(platform, 9, sheetService);
    Entries entries(environment, platform, record, tellelag);
    const json services = json::array({ service(sheetService) });
    const json remaining = route("addr-check", sheetService, few);
    const json all = json::array({ route("form-check", sheetService, few), route("house-reconcile", sheetService, many), remaining });
    if (!begin(platform, entries, configuration(7, all, services)))
        return Outcome::NotRun;
    // Usual jobs, so that those whose runs fail are under a twentieth of each queue.
    for (unsigned i = 0; i < usualJobs; ++i) {
        char usual[32];
        std::snprintf(usual, sizeof usual, "%016x", i);
        if (entries.call("POST", (i % 2 == 0 ? "/form-check/" : "/house-reconcile/") + std::string(usual), jobText(oneStep(1, 300))).status != ok)
            return Outcome::NotRun;
    }
    if (entries.call("POST", "/form-check/" + alwaysFails, jobText(oneStep(1, 1'500))).status != ok || entries.call("POST", "/house-reconcile/" + failsThrice, jobText(oneStep(1, 1'500))).status != ok)
        return Outcome::NotRun;
    if (!waitUntil(Millis(5'000), [&] { return countOf(platform, taskOf(alwaysFails), "start") == 1 && countOf(platform, taskOf(failsThrice), "start") == 1; }))
        return Outcome::NotRun;
    if (environment.isTroubled)
        platform.configure(configuration(9, json::array({ remaining }), services));
    std::this_thread::sleep_for(Millis(9'000));
    if (environment.isTroubled)
        platform.configure(configuration(12, all, services));
    std::this_thread::sleep_for(Millis(6'000));
    const std::string shown = stateOf(entries, "house-reconcile", failsThrice);
    const std::size_t failures = countOf(platform, taskOf(failsThrice), "failed");
    const bool isOverBudget = countOf(platform, taskOf(alwaysFails), "noted-failed") >= few && countOf(platform, taskOf(alwaysFails), "start") > few;
    const bool isLost = shown == "failed" && failures < many;
    record.write("state", { { "job", failsThrice }, { "state", shown }, { "failed_runs", failures }, { "max_attempts", many }, { "starts_of_other", countOf(platform, taskOf(alwaysFails), "start") }, { "max_attempts_of_other", few } });
    if (shown != "failed" && shown != "succeeded")
        return Outcome::NotRun;
    return isLost || isOverBudget ? Outcome::Broken : Outcome::Held;
}

json routeWithAdvice(const AdvicePolicy& policy)
{
    json queue = route(queueName, serviceName, 3);
    queue["advice"] = { { "decide_ms", policy.decide.count() }, { "each_ms", policy.each.count() }, { "valid_ms", policy.valid.count() } };
    return queue;
}

/// Only some workers may run the steps of a queue with advice; the first of them is lost for good.
Outcome runAdvice(const Environment& environment, Record& record)
{
    const std::string id = "7a21d94b36f85c0e";
    const std::string task = taskOf(id);
    Platform platform(record, {}, [](const std::string&, std::uint64_t) { return RunPlan { .time = Millis(1'000) }; });
    addMachines(platform, 40);
    const AdvicePolicy policy;
    platform.setAdvised(policy, { "m-03", "m-39", "m-40" });
    Entries entries(environment, platform, record, montevideoGrown);
    if (!begin(platform, entries, configuration(7, json::array({ routeWithAdvice(policy) }), json::array({ service(serviceName) }))))
        return Outcome::NotRun;
    if (environment.isTroubled)
        platform.crash(platform.workerOn("m-03"), Millis(0));
    std::this_thread::sleep_for(Millis(10'000)); // Calm again.
    if (entries.call("POST", pathOf(id), jobText(oneStep(1, 1'000))).status != ok)
        return Outcome::NotRun;
    const bool hasStarted = waitUntil(Millis(30'000), [&] { return countOf(platform, task, "start") > 0; });
    record.write("state", { { "job", id }, { "state", stateOf(entries, queueName, id) }, { "started", hasStarted } });
    return hasStarted ? Outcome::Held : Outcome::Broken;
}

/// One machine's worker may run a lasting task of a queue with advice. It crashes, and a new life comes up there.
Outcome runLives(const Environment& environment, Record& record)
{
    const std::string id = "0c5e7a21d94b36f8";
    const std::string task = taskOf(id);
    Platform platform(record, {}, [](const std::string&, std::uint64_t) { return RunPlan { .lasts = true }; });
    addMachines(platform, 8);
    const AdvicePolicy policy { .valid = Millis(30'000) };
    platform.setAdvised(policy, { "m-03" });
    Entries entries(environment, platform, record, montevideo);
    if (!begin(platform, entries, configuration(7, json::array({ routeWithAdvice(policy) }), json::array({ service(serviceName) }))))
        return Outcome::NotRun;
    json step = oneStep(1, 500);
    step["long_running"] = true;
    if (entries.call("POST", pathOf(id), jobText(step)).status != ok || !waitUntil(Millis(5'000), [&] { return !platform.workerOf(task).empty(); }))
        return Outcome::NotRun;
    std::this_thread::sleep_for(Millis(1'500));
    if (environment.isTroubled)
        platform.crash(platform.workerOn("m-03"), Millis(4'500));
    std::this_thread::sleep_for(Millis(12'500)); // The worker is back for 8 s.
    const bool runs = waitUntil(Millis(6'000), [&] { return !platform.workerOf(task).empty(); });
    record.write("state", { { "task", task }, { "runs", runs }, { "starts", countOf(platform, task, "start") } });
    // For the record only: when it starts again.
    static_cast<void>(waitUntil(Millis(20'000), [&] { return !platform.workerOf(task).empty(); }));
    return runs ? Outcome::Held : Outcome::Broken;
}

/// One worker of twelve fails the run that it has, a member of a gang that saves its progress.
Outcome runGang(const Environment& environment, Record& record)
{
    const std::string id = "36f85c0e7a21d94b";
    const std::string sheetService = "liquida";
    constexpr unsigned members = 3;
    constexpr std::int64_t calmAfterMs = 10'000; // More than three times `contact_ms`.
    const bool isTroubled = environment.isTroubled;
    Platform platform(record, {}, [isTroubled, id](const std::string& task, std::uint64_t run) {
        const bool fails = isTroubled && run == 1 && task == id + ".0.0.1";
        return RunPlan { .time = Millis(fails ? 2'300 : 5'000), .end = fails ? "failed" : "done", .saves = true, .gang = id, .gangSize = members, .breaksGang = fails };
    });
    addMachines(platform, 12, sheetService);
    Entries entries(environment, platform, record, montevideo);
    if (!begin(platform, entries, configuration(7, json::array({ route(queueName, sheetService, 3) }), json::array({ service(sheetService) }))))
        return Outcome::NotRun;
    json step = oneStep(members, 5'000);
    step["gang"] = true;
    step["checkpointing"] = true;
    step["anti_affinity"] = 1;
    if (entries.call("POST", pathOf(id), jobText(step)).status != ok || !waitUntil(Millis(5'000), [&] { return countOf(platform, taskOf(id), "start") > 0; }))
        return Outcome::NotRun;
    std::this_thread::sleep_for(Millis(23'000));
    std::int64_t disturbedAt = 0;
    std::size_t calmAlone = 0;
    for (const RunEvent& event : platform.events()) {
        if (event.what == "failed")
            disturbedAt = event.at;
        calmAlone += event.what == "alone" && event.at > disturbedAt + calmAfterMs ? 1 : 0;
    }
    record.write("state", { { "job", id }, { "state", stateOf(entries, queueName, id) }, { "failed_at", disturbedAt }, { "alone_in_calm", calmAlone } });
    if (isTroubled && disturbedAt == 0)
        return Outcome::NotRun;
    return calmAlone > 0 ? Outcome::Broken : Outcome::Held;
}

} // namespace

const std::map<std::string, Case>& cases()
{
    static const std::map<std::string, Case> all { { "attempts", runAttempts }, { "advice", runAdvice }, { "gang", runGang }, { "lives", runLives } };
    return all;
}

} // namespace review
