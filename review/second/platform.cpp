#include "platform.h"

#include <algorithm>
#include <cstdio>

namespace review {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int conflict = 409;
constexpr int misdirected = 421;
constexpr int notFound = 404;
constexpr Millis tickTime { 5 };
constexpr Millis stopTime { 100 };
constexpr Millis shortStart { 300 }; ///< Until a task that lasts is at work.
constexpr Millis entryLifetime { 4'500 }; ///< Three heartbeats.
constexpr Millis moveTime { 1'500 };
constexpr std::size_t maxListedEnds = 500;
constexpr std::int64_t clockAtBirth = 1'000;
constexpr int maxWait = 2'000;
const std::string loopback = "127.0.0.1";

std::string textOf(const json& body, const char* name)
{
    return body.is_object() ? body.value(name, "") : std::string();
}

std::int64_t numberOf(const json& body, const char* name)
{
    return body.is_object() ? body.value(name, std::int64_t { 0 }) : 0;
}

Millis since(Clock::time_point from)
{
    return std::chrono::duration_cast<Millis>(Clock::now() - from);
}

std::string checkpointText(Millis work, const std::string& worker)
{
    char text[32];
    std::snprintf(text, sizeof text, "%08llx%08zx", static_cast<unsigned long long>(work.count()), std::hash<std::string> {}(worker)&0xffffffffU);
    return text;
}

} // namespace

Platform::Platform(Record& record, Bounds bounds, std::function<RunPlan(const std::string&, std::uint64_t)> plan)
    : m_record(record)
    , m_bounds(bounds)
    , m_plan(std::move(plan))
    , m_store(record)
    , m_storeServer(std::make_unique<HttpServer>(loopback, [this](const Call& call) { return serveStore(call); }))
    , m_cloudServer(std::make_unique<HttpServer>(loopback, [this](const Call& call) { return serveCloud(call); }))
    , m_adviceServer(std::make_unique<HttpServer>(loopback, [this](const Call& call) { return serveAdvice(call); }))
    , m_ticker([this] { tick(); })
{
}

Platform::~Platform()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_ticker.join();
}

void Platform::addMachine(const MachineSettings& settings)
{
    auto machine = std::make_unique<Machine>();
    machine->settings = settings;
    machine->server = std::make_unique<HttpServer>(loopback, [this, target = machine.get()](const Call& call) { return serveWorker(*target, call); });
    const std::lock_guard lock(m_mutex);
    m_machines[settings.machine] = std::move(machine);
}

void Platform::begin()
{
    const std::lock_guard lock(m_mutex);
    for (auto& [name, machine] : m_machines)
        live(*machine);
}

void Platform::configure(const json& configuration)
{
    const std::lock_guard lock(m_mutex);
    m_store.put("op/config", configuration.dump());
    m_record.write("configuration-acknowledged", { { "version", configuration["version"] }, { "routes", configuration["routes"].size() } });
    m_changed.notify_all();
}

void Platform::setAdvised(const AdvicePolicy& policy, const std::set<std::string>& machines)
{
    const std::lock_guard lock(m_mutex);
    m_advice = policy;
    m_advised = machines;
}

std::string Platform::workerOf(const std::string& task)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, machine] : m_machines) {
        if (std::any_of(machine->running.begin(), machine->running.end(), [&](const RunState& run) { return run.task == task; }))
            return machine->id;
    }
    return {};
}

std::string Platform::workerOn(const std::string& machine)
{
    const std::lock_guard lock(m_mutex);
    return m_machines.at(machine)->id;
}

std::vector<RunEvent> Platform::events()
{
    const std::lock_guard lock(m_mutex);
    return m_events;
}

void Platform::live(Machine& machine)
{
    char id[32];
    std::snprintf(id, sizeof id, "i-%06llx", static_cast<unsigned long long>(++m_lastLife));
    machine.id = id;
    machine.state = "up";
    machine.bornAt = Clock::now();
    machine.backAt = {};
    machine.fence = 0;
    machine.leaseUntil = {};
    machine.lastEnd = 0;
    machine.ended.clear();
    machine.settled.clear();
    m_record.write("worker-up", { { "worker", machine.id }, { "machine", machine.settings.machine }, { "service", machine.settings.pool } });
    beat(machine);
}

void Platform::beat(Machine& machine)
{
    machine.nextBeat = Clock::now() + m_bounds.heartbeat;
    const json entry { { "service", machine.settings.pool }, { "address", machine.server->address() }, { "zone", machine.settings.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "capacity", { { "cpu", machine.settings.milliCpu }, { "mem_mb", machine.settings.memoryMb }, { "gpus", 0 } } },
        { "labels", { machine.settings.kind, machine.settings.rack } }, { "clock_ms", clockOf(machine) }, { "seq", ++machine.beats } };
    m_store.put("servers/" + machine.id, entry.dump());
    m_changed.notify_all();
}

void Platform::die(Machine& machine, const std::string& state)
{
    for (const RunState& run : machine.running)
        m_events.push_back({ m_record.now(), "dead", run.task, run.run, machine.id, {} });
    m_record.write("worker-dead", { { "worker", machine.id }, { "machine", machine.settings.machine }, { "state", state }, { "runs", machine.running.size() } });
    machine.running.clear();
    machine.id.clear();
    machine.state = state;
}

void Platform::crash(const std::string& worker, Millis backAfter)
{
    std::unique_lock lock(m_mutex);
    for (auto& [name, machine] : m_machines) {
        if (machine->id != worker)
            continue;
        die(*machine, "down");
        machine->backAt = backAfter.count() > 0 ? Clock::now() + backAfter : Clock::time_point {};
        machine->server->close();
        HttpServer* server = machine->server.get();
        m_goneEntries.emplace_back(Clock::now() + entryLifetime, worker); // After three heartbeats of silence.
        if (backAfter.count() > 0) {
            lock.unlock();
            std::this_thread::sleep_for(Millis(20));
            server->open();
        }
        return;
    }
}

std::int64_t Platform::clockOf(const Machine& machine) const
{
    return since(machine.bornAt).count() + clockAtBirth;
}

std::optional<Reply> Platform::serveStore(const Call& call)
{
    std::unique_lock lock(m_mutex);
    if (call.path == "/api/kv-watch") {
        const auto text = [&](const char* name) {
            const auto found = call.query.find(name);
            return found == call.query.end() ? std::string() : found->second;
        };
        const std::uint64_t after = std::strtoull(text("depends_on").c_str(), nullptr, 10);
        m_changed.wait_for(lock, Millis(std::atoi(text("wait_ms").c_str())), [&] { return m_stopping || m_store.hasEvents(text("path_prefix"), after); });
        return m_store.answer(call);
    }
    Reply reply = m_store.answer(call);
    m_changed.notify_all();
    return reply;
}

std::optional<Reply> Platform::serveCloud(const Call& call)
{
    const std::lock_guard lock(m_mutex);
    if (call.path != "/api/machines")
        return act(call.path, json::parse(call.body, nullptr, false), call);
    json machines = json::array();
    for (const auto& [name, machine] : m_machines) {
        const MachineSettings& settings = machine->settings;
        if (machine->state == "gone")
            continue;
        machines.push_back({ { "machine", name }, { "pool", settings.pool }, { "state", machine->state }, { "zone", settings.zone }, { "labels", { settings.kind, settings.rack } }, { "capacity", { { "cpu", settings.milliCpu }, { "mem_mb", settings.memoryMb }, { "gpus", 0 } } }, { "id", machine->id } });
    }
    return Reply { ok, json { { "machines", machines }, { "next_token", nullptr } }.dump() };
}

Reply Platform::act(const std::string& path, const json& body, const Call& call)
{
    const auto found = m_machines.find(textOf(body, "machine"));
    if (found == m_machines.end())
        return { badRequest, "{}" };
    Machine& machine = *found->second;
    const auto holder = call.headers.find("lease-holder");
    const auto token = call.headers.find("fencing-token");
    m_record.write("act", { { "path", path }, { "body", body }, { "holder", holder == call.headers.end() ? "" : holder->second }, { "token", token == call.headers.end() ? "" : token->second } });
    if (machine.state != "up")
        return { conflict, R"({"reason":"busy"})" };
    if (path != "/api/machine-move")
        return { conflict, R"({"reason":"wave"})" };
    m_store.remove("servers/" + machine.id);
    die(machine, "moving");
    machine.settings.pool = textOf(body, "pool");
    machine.backAt = Clock::now() + moveTime;
    return { ok, "{}" };
}

std::optional<Reply> Platform::serveAdvice(const Call& call)
{
    const json body = json::parse(call.body, nullptr, false);
    const json workers = body.is_object() ? body.value("workers", json::array()) : json::array();
    std::unique_lock lock(m_mutex);
    const AdvicePolicy policy = m_advice.value_or(AdvicePolicy {});
    lock.unlock();
    std::this_thread::sleep_for(policy.decide + policy.each * static_cast<int>(workers.size()));
    lock.lock();
    json good = json::array();
    for (const json& worker : workers) {
        for (const auto& [name, machine] : m_machines) {
            if (machine->id != worker || !m_advised.contains(name))
                continue;
            const std::string ticket = textOf(body, "step") + '@' + machine->id + '#' + std::to_string(m_tickets.size());
            m_tickets[ticket] = Clock::now();
            good.push_back({ worker, ticket });
        }
    }
    m_record.write("advised", { { "step", textOf(body, "step") }, { "asked", workers.size() }, { "first", workers.empty() ? json() : workers.front() }, { "last", workers.empty() ? json() : workers.back() }, { "good", good.size() } });
    return Reply { ok, json { { "good", good }, { "valid_ms", policy.valid.count() } }.dump() };
}

/// \returns Whether the start brings a ticket for its step at this life that is still valid.
bool Platform::isAdmitted(const Machine& machine, const json& body) const
{
    if (!m_advice)
        return true;
    const std::string task = textOf(body, "task");
    const std::string ticket = textOf(body, "ticket");
    const auto found = m_tickets.find(ticket);
    const std::string wanted = task.substr(0, task.rfind('.')) + '@' + machine.id + '#';
    return found != m_tickets.end() && ticket.rfind(wanted, 0) == 0 && since(found->second) <= m_advice->valid;
}

std::optional<Reply> Platform::serveWorker(Machine& machine, const Call& call)
{
    std::unique_lock lock(m_mutex);
    if (machine.id.empty())
        return std::nullopt;
    const auto expected = call.headers.find("expect-instance");
    if (expected != call.headers.end() && expected->second != machine.id)
        return Reply { misdirected, "{}" };
    const json body = json::parse(call.body, nullptr, false);
    const std::int64_t fence = numberOf(body, "fence");
    if (fence < machine.fence)
        return Reply { conflict, json { { "clock_ms", clockOf(machine) }, { "reason", "fence" } }.dump() };
    machine.fence = fence;
    if (call.path == "/api/run-start")
        return start(machine, body);
    if (call.path == "/api/run-stop")
        return stop(machine, body);
    if (call.path == "/api/pace")
        return Reply { ok, json { { "clock_ms", clockOf(machine) } }.dump() };
    if (call.path != "/api/hold")
        return Reply { notFound, "{}" };
    hold(machine, body);
    const std::string life = machine.id;
    const std::int64_t wait = std::min<std::int64_t>(numberOf(body, "wait_ms"), maxWait);
    m_changed.wait_for(lock, Millis(wait), [&] { return m_stopping || machine.id != life || !machine.ended.empty(); });
    if (machine.id != life)
        return std::nullopt;
    return report(machine);
}

void Platform::hold(Machine& machine, const json& body)
{
    const auto acknowledged = static_cast<std::uint64_t>(numberOf(body, "acked_upto"));
    while (!machine.ended.empty() && machine.ended.front()[0].get<std::uint64_t>() <= acknowledged) {
        m_record.write("taken-note", { { "worker", machine.id }, { "end", machine.ended.front() } });
        const json& row = machine.ended.front();
        m_events.push_back({ m_record.now(), "noted-" + row[3].get<std::string>(), row[1].get<std::string>(), row[2].get<std::uint64_t>(), machine.id, {} });
        machine.ended.pop_front();
    }
    if (const std::int64_t until = numberOf(body, "deadline_ms"); until > 0)
        machine.leaseUntil = std::max(machine.leaseUntil, std::min(machine.bornAt + Millis(until - clockAtBirth), Clock::now() + m_bounds.holdMax));
}

Reply Platform::start(Machine& machine, const json& body)
{
    const auto answer = [&](int status, const char* reason) {
        json text { { "clock_ms", clockOf(machine) } };
        if (status != ok) {
            text["reason"] = reason;
            m_record.write("start-refused", { { "worker", machine.id }, { "task", textOf(body, "task") }, { "run", numberOf(body, "run") }, { "reason", reason } });
        }
        return Reply { status, text.dump() };
    };
    RunState run { .task = textOf(body, "task"), .run = static_cast<std::uint64_t>(numberOf(body, "run")), .checkpoint = textOf(body, "checkpoint") };
    if (std::any_of(machine.running.begin(), machine.running.end(), [&](const RunState& known) { return known.task == run.task && known.run == run.run; }))
        return answer(ok, "");
    hold(machine, { { "deadline_ms", numberOf(body, "deadline_ms") } });
    if (machine.settled[run.task] >= run.run)
        return answer(conflict, "old");
    if (numberOf(body, "deadline_ms") <= clockOf(machine))
        return answer(conflict, "late");
    if (!isAdmitted(machine, body))
        return answer(conflict, "ticket");
    run.plan = m_plan(run.task, run.run);
    run.saved = run.checkpoint;
    run.startedAt = Clock::now();
    run.atWork = run.plan.gang.empty();
    run.workSince = run.startedAt;
    m_events.push_back({ m_record.now(), "start", run.task, run.run, machine.id, run.checkpoint });
    m_record.write("start", { { "worker", machine.id }, { "machine", machine.settings.machine }, { "task", run.task }, { "run", run.run }, { "fence", machine.fence }, { "checkpoint", run.checkpoint } });
    machine.running.push_back(std::move(run));
    return answer(ok, "");
}

Reply Platform::stop(Machine& machine, const json& body)
{
    const std::string task = textOf(body, "task");
    const auto number = static_cast<std::uint64_t>(numberOf(body, "run"));
    m_record.write("stop", { { "worker", machine.id }, { "task", task }, { "run", number } });
    machine.settled[task] = std::max(machine.settled[task], number);
    for (RunState& run : machine.running) {
        if (run.task == task && run.run == number && run.stopAt == Clock::time_point {})
            run.stopAt = Clock::now() + stopTime;
    }
    return { ok, json { { "clock_ms", clockOf(machine) } }.dump() };
}

json Platform::percentOf(const RunState& run) const
{
    constexpr int full = 100;
    if (!run.atWork)
        return 0;
    if (run.plan.lasts)
        return since(run.workSince) >= shortStart ? full : 0;
    return std::min<std::int64_t>(full - 1, since(run.workSince).count() * full / std::max<std::int64_t>(run.plan.time.count(), 1));
}

Reply Platform::report(const Machine& machine) const
{
    json running = json::array();
    for (const RunState& run : machine.running)
        running.push_back({ run.task, run.run, run.saved, percentOf(run) });
    json ended = json::array();
    for (const json& row : machine.ended) {
        if (ended.size() < maxListedEnds)
            ended.push_back(row);
    }
    return { ok, json { { "clock_ms", clockOf(machine) }, { "running", running }, { "ended", ended } }.dump() };
}

void Platform::end(Machine& machine, std::size_t index, const std::string& how)
{
    const RunState run = machine.running[index];
    machine.running.erase(machine.running.begin() + static_cast<std::ptrdiff_t>(index));
    machine.settled[run.task] = std::max(machine.settled[run.task], run.run);
    machine.ended.push_back({ ++machine.lastEnd, run.task, run.run, how, run.saved });
    m_events.push_back({ m_record.now(), how, run.task, run.run, machine.id, run.saved });
    m_record.write("end", { { "worker", machine.id }, { "task", run.task }, { "run", run.run }, { "how", how }, { "saved", run.saved } });
    m_changed.notify_all();
}

void Platform::tick()
{
    while (true) {
        std::this_thread::sleep_for(tickTime);
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
        m_store.expire();
        while (!m_goneEntries.empty() && m_goneEntries.front().first <= Clock::now()) {
            m_store.remove("servers/" + m_goneEntries.front().second);
            m_goneEntries.pop_front();
        }
        for (auto& [name, machine] : m_machines)
            tickMachine(*machine);
        tickGangs();
        m_changed.notify_all();
    }
}

void Platform::tickMachine(Machine& machine)
{
    const Clock::time_point now = Clock::now();
    if (machine.id.empty()) {
        if (machine.backAt != Clock::time_point {} && now >= machine.backAt)
            live(machine);
        return;
    }
    if (now >= machine.nextBeat)
        beat(machine);
    const bool isLapsed = now >= machine.leaseUntil;
    for (std::size_t i = machine.running.size(); i-- > 0;) {
        RunState& run = machine.running[i];
        const Millis worked = run.atWork ? since(run.workSince) : Millis(0);
        if (run.atWork && run.plan.saves && worked >= m_bounds.saveEvery)
            run.saved = checkpointText(worked / m_bounds.saveEvery * m_bounds.saveEvery, machine.id);
        if (isLapsed)
            end(machine, i, "lapsed");
        else if (run.stopAt != Clock::time_point {} && now >= run.stopAt)
            end(machine, i, "stopped");
        else if (!run.atWork && since(run.startedAt) >= m_bounds.gang)
            end(machine, i, "alone");
        else if (run.atWork && !run.plan.lasts && worked >= run.plan.time && (run.plan.gang.empty() || run.plan.breaksGang))
            end(machine, i, run.plan.end);
    }
}

/// The members of a gang work from the moment at which all of one run are present with the same checkpoint, and end jointly.
void Platform::tickGangs()
{
    using Members = std::vector<std::pair<Machine*, std::size_t>>;
    std::map<std::string, Members> waiting;
    std::map<std::string, Members> working;
    for (auto& [name, machine] : m_machines) {
        for (std::size_t i = 0; i < machine->running.size(); ++i) {
            const RunState& run = machine->running[i];
            if (run.plan.gang.empty())
                continue;
            const std::string key = run.plan.gang + '#' + std::to_string(run.run);
            if (run.atWork)
                working[key].emplace_back(machine.get(), i);
            else
                waiting[key + '#' + run.checkpoint].emplace_back(machine.get(), i);
        }
    }
    for (const auto& [key, members] : waiting)
        startGang(members);
    for (auto& [key, members] : working) {
        const RunPlan plan = members.front().first->running[members.front().second].plan;
        const bool isBroken = members.size() < plan.gangSize;
        const bool isDone = std::all_of(members.begin(), members.end(), [](const auto& member) {
            const RunState& run = member.first->running[member.second];
            return since(run.workSince) >= run.plan.time;
        });
        if (!isBroken && !isDone)
            continue;
        // From the highest index, so that the others stay valid.
        std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) { return a.second > b.second; });
        for (const auto& [machine, index] : members)
            end(*machine, index, isBroken ? "broken" : "done");
    }
}

void Platform::startGang(const std::vector<std::pair<Machine*, std::size_t>>& members)
{
    const unsigned size = members.front().first->running[members.front().second].plan.gangSize;
    if (members.size() < size)
        return;
    for (const auto& [machine, index] : members) {
        machine->running[index].atWork = true;
        machine->running[index].workSince = Clock::now();
    }
}

} // namespace review
