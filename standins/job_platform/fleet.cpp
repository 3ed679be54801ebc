#include "fleet.h"

#include "wire_text.h"

#include <algorithm>
#include <utility>

namespace lanemoor::standin {

namespace {

using namespace jobs;
using nlohmann::json;

constexpr Millis moveTime { 1'500 };
constexpr Millis maintenanceTime { 2'000 };
constexpr Millis entryRetention { 4'500 }; // Time for which the entry of a crashed worker stays in the store.
constexpr std::size_t pageSize = 100;
const HttpAddress anyPort { "127.0.0.1", 0 };

json capacityOf(const InstanceSettings& settings)
{
    return { { "cpu", settings.milliCpu }, { "mem_mb", settings.memoryMb }, { "gpus", 0 } };
}

} // namespace

Fleet::Fleet(aio::AsioEventLoop& loop, StoreService& store, EventWriter& events, const Advisor& advisor)
    : m_loop(loop)
    , m_store(store)
    , m_events(events)
    , m_advisor(advisor)
    , m_listener(loop, { .address = anyPort }, [this](const HttpRequest& request, const aio::HttpResponder& respond) { serve(request, respond); })
{
}

void Fleet::add(const InstanceSettings& settings)
{
    Instance& instance = m_instances[settings.id];
    instance.settings = settings;
    instance.listener = std::make_unique<aio::HttpListener>(m_loop, aio::HttpListenerOptions { .address = anyPort }, [this, &instance](const HttpRequest& request, const aio::HttpResponder& respond) { serveWorker(instance, request, respond); });
    instance.address = "127.0.0.1:" + std::to_string(instance.listener->port());
}

void Fleet::begin(const std::map<std::string, std::string>& addresses)
{
    for (const auto& [id, address] : addresses) {
        if (const auto found = m_instances.find(id); found != m_instances.end())
            found->second.address = address;
    }
    for (const auto& [id, instance] : m_instances)
        beginWorker(id, {});
}

std::map<std::string, std::uint16_t> Fleet::workerPorts() const
{
    std::map<std::string, std::uint16_t> ports;
    for (const auto& [id, instance] : m_instances)
        ports[id] = instance.listener->port();
    return ports;
}

void Fleet::beginWorker(const std::string& instance, const std::string& previousId)
{
    Instance& target = m_instances[instance];
    target.state = "up";
    if (m_reserves.contains(target.settings.pool))
        return;
    const std::string id = previousId.empty() ? "w-" + std::to_string(++m_lastWorker) : previousId;
    const std::int64_t startedAt = m_loop.timeOfDay().time_since_epoch().count();
    target.worker = std::make_unique<Worker>(m_loop, m_events, m_advisor, WorkerIdentity { .id = id, .instance = instance, .dataHall = target.settings.dataHall, .startedAt = startedAt });
    const json entry { { "address", target.address }, { "service", target.settings.pool }, { "zone", target.settings.dataHall }, { "state", "ready" }, { "capacity", capacityOf(target.settings) }, { "labels", { target.settings.kind, target.settings.rack } }, { "born", startedAt } };
    m_store.put("servers/" + id, entry.dump());
    m_events.write("worker-started", { { "worker", id }, { "instance", instance }, { "pool", target.settings.pool } });
}

void Fleet::endWorker(Instance& instance)
{
    if (!instance.worker)
        return;
    m_events.write("worker-ended", { { "worker", instance.worker->identity().id }, { "instance", instance.settings.id } });
    instance.worker.reset();
    instance.unanswered.clear();
    instance.faults = {};
}

bool Fleet::kill(const std::string& instance, Millis backAfter, bool keepsId)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end() || !found->second.worker)
        return false;
    const std::string id = found->second.worker->identity().id;
    endWorker(found->second);
    found->second.state = "down";
    if (!keepsId)
        removeEntryLater(id);
    m_loop.callAt(m_loop.now() + backAfter, [this, instance, previousId = keepsId ? id : std::string()] { beginWorker(instance, previousId); });
    return true;
}

void Fleet::removeEntryLater(const std::string& worker)
{
    m_loop.callAt(m_loop.now() + entryRetention, [this, worker] { m_store.remove("servers/" + worker); });
}

const WorkerIdentity* Fleet::workerOf(const std::string& id) const
{
    const auto found = std::find_if(m_instances.begin(), m_instances.end(), [&](const auto& entry) { return entry.second.worker && entry.second.worker->identity().id == id; });
    return found == m_instances.end() ? nullptr : &found->second.worker->identity();
}

bool Fleet::setFaults(const std::string& instance, const WorkerFaults& faults)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return false;
    found->second.faults = faults;
    found->second.unanswered.clear();
    return true;
}

void Fleet::serveWorker(Instance& instance, const HttpRequest& request, const aio::HttpResponder& respond)
{
    // Dropping the responder closes the connection without a response.
    if (!instance.worker)
        return;
    if (instance.faults.unresponsive) {
        instance.unanswered.push_back(respond);
        return;
    }
    if (request.headers.find("Expect-Instance") != instance.worker->identity().id) {
        respond(answerJson(status::misdirected, json::object()));
        return;
    }
    if (m_isRefusingStarts && pathOf(request.target) == "/api/run-start") {
        respond(answerJson(status::unavailable, json::object()));
        return;
    }
    if (instance.faults.answerTime.count() == 0) {
        callWorker(*instance.worker, request, respond);
        return;
    }
    m_loop.callAt(m_loop.now() + instance.faults.answerTime, [&instance, request, respond, startedAt = instance.worker->identity().startedAt] {
        if (instance.worker && instance.worker->identity().startedAt == startedAt)
            callWorker(*instance.worker, request, respond);
    });
}

void Fleet::callWorker(Worker& worker, const HttpRequest& request, const aio::HttpResponder& respond)
{
    const json body = objectIn(request);
    const std::string_view path = pathOf(request.target);
    if (path == "/api/run-start")
        worker.start(body, respond);
    else if (path == "/api/run-stop")
        worker.stop(body, respond);
    else if (path == "/api/hold")
        worker.hold(body, respond);
    else if (path == "/api/pace")
        worker.pace(body, respond);
    else
        respond(answerJson(status::badRequest, json::object()));
}

void Fleet::serve(const HttpRequest& request, const aio::HttpResponder& respond)
{
    const std::string_view path = pathOf(request.target);
    if (path == "/api/machines")
        respond(list(request));
    else if (path == "/api/machine-move")
        respond(move(request));
    else if (path == "/api/machine-upkeep")
        respond(maintain(request));
    else
        respond(answerJson(status::notFound, json::object()));
}

HttpResponse Fleet::list(const HttpRequest& request) const
{
    const std::string after = queryText(request, "page_token");
    json machines = json::array();
    std::string next;
    for (auto found = m_instances.upper_bound(after); found != m_instances.end(); ++found) {
        if (machines.size() == pageSize) {
            next = machines.back()["machine"];
            break;
        }
        const InstanceSettings& settings = found->second.settings;
        machines.push_back({ { "machine", settings.id }, { "pool", settings.pool }, { "state", found->second.state }, { "zone", settings.dataHall }, { "labels", { settings.kind, settings.rack } }, { "capacity", capacityOf(settings) }, { "id", found->second.worker ? found->second.worker->identity().id : "" } });
    }
    return answerJson(status::ok, { { "machines", machines }, { "next_token", next } });
}

HttpResponse Fleet::move(const HttpRequest& request)
{
    const json body = objectIn(request);
    const auto found = m_instances.find(textIn(body, "machine"));
    const std::string pool = textIn(body, "pool");
    if (found == m_instances.end() || pool.empty())
        return answerJson(status::badRequest, json::object());
    return takeDown(found->second, request, pool, "moving", moveTime);
}

HttpResponse Fleet::maintain(const HttpRequest& request)
{
    const json body = objectIn(request);
    const std::int64_t number = integerIn(body, "wave");
    const auto found = m_instances.find(textIn(body, "machine"));
    if (found == m_instances.end())
        return answerJson(status::badRequest, json::object());
    const json wave = json::parse(m_store.value("op/wave/" + std::to_string(number)), nullptr, false);
    const json listed = wave.is_object() ? wave.value("machines", json::array()) : json::array();
    if (std::find(listed.begin(), listed.end(), found->first) == listed.end())
        return answerConflict("wave");
    const std::pair<std::int64_t, std::string> key { number, found->first };
    if (m_maintained.contains(key))
        return answerJson(status::ok, json::object());
    HttpResponse response = takeDown(found->second, request, found->second.settings.pool, "upkeep", maintenanceTime);
    if (response.status == status::ok)
        m_maintained.insert(key);
    return response;
}

HttpResponse Fleet::takeDown(Instance& instance, const HttpRequest& request, const std::string& pool, const char* state, Millis time)
{
    const std::string holder(request.headers.find("Lease-Holder").value_or(std::string_view()));
    const auto fence = static_cast<std::int64_t>(parseDecimal(request.headers.find("Fencing-Token").value_or(std::string_view())).value_or(0));
    m_events.write("act", { { "instance", instance.settings.id }, { "holder", holder }, { "fence", fence }, { "pool", pool }, { "state", state } });
    if (fence < instance.fence)
        return answerConflict("fence");
    instance.fence = fence;
    if (instance.state != std::string_view("up"))
        return answerConflict("busy");
    if (instance.worker)
        m_store.remove("servers/" + instance.worker->identity().id);
    endWorker(instance);
    instance.settings.pool = pool;
    instance.state = state;
    m_loop.callAt(m_loop.now() + time, [this, id = instance.settings.id] { beginWorker(id, {}); });
    return answerJson(status::ok, json::object());
}

} // namespace lanemoor::standin
