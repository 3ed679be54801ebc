#include "fleet_standin.h"

#include "lanemoor/net/http_connection.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <vector>

namespace lanemoor::standins {

namespace {

constexpr std::chrono::milliseconds observeInterval { 50 };
constexpr std::chrono::milliseconds callLimit { 500 };
constexpr std::size_t maxAnswerBytes = 65536;
constexpr std::string_view listPath = "/v1/instances";

/// \returns The worker's response body; empty if the worker can't be reached.
std::string callWorker(const HttpAddress& address, const std::string& method, const std::string& target)
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.headers.add("Connection", "close");
    HttpConnection connection(address);
    BufferSink sink(maxAnswerBytes);
    const ExchangeOptions options { std::chrono::system_clock::now() + callLimit };
    const ExchangeResult result = connection.exchange(request, sink, options);
    return result.fault == ExchangeFault::None ? sink.response().body : std::string();
}

} // namespace

FleetStandin::FleetStandin(std::chrono::milliseconds lag)
    : m_lag(lag)
    , m_observer([this] { observe(); })
{
}

FleetStandin::~FleetStandin()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_observer.join();
}

void FleetStandin::setListUnavailable(bool unavailable)
{
    const std::lock_guard lock(m_mutex);
    m_listUnavailable = unavailable;
}

void FleetStandin::handle(HttpExchange& exchange)
{
    const std::string path(pathOf(exchange.request().target));
    if (path == listPath && exchange.request().method == "POST") {
        registerWorker(exchange);
        return;
    }
    if (path == listPath) {
        const std::lock_guard lock(m_mutex);
        if (m_listUnavailable)
            exchange.abort();
        else
            answerList(exchange);
        return;
    }
    const std::string rest = path.substr(listPath.size() + 1);
    const std::size_t slash = rest.find('/');
    if (slash == std::string::npos)
        exchange.respond({ 404, {}, {} });
    else
        control(exchange, rest.substr(0, slash), rest.substr(slash + 1));
}

void FleetStandin::answerList(HttpExchange& exchange)
{
    HttpResponse response { 200, {}, listing() };
    const std::string tag = '"' + std::to_string(std::hash<std::string>()(response.body)) + '"';
    if (exchange.request().headers.find("If-None-Match") == std::string_view(tag))
        response = { 304, {}, {} };
    response.headers.add("ETag", tag);
    exchange.respond(response);
}

void FleetStandin::registerWorker(HttpExchange& exchange)
{
    const nlohmann::json json = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (!json.is_object()) {
        exchange.respond({ 400, {}, {} });
        return;
    }
    const std::lock_guard lock(m_mutex);
    Worker& worker = m_workers[json["id"].get<std::string>()];
    worker.address = { json["ip"].get<std::string>(), json["port"].get<std::uint16_t>() };
    worker.description = json.dump();
    worker.isObserved = json.value("observed", true);
    exchange.respond({ 204, {}, {} });
}

void FleetStandin::control(HttpExchange& exchange, const std::string& id, const std::string& action)
{
    const std::string& target = exchange.request().target;
    const std::uint64_t grant = parseDecimal(queryValue(target, "grant").value_or("0")).value_or(0);
    const std::uint64_t epoch = parseDecimal(queryValue(target, "epoch").value_or("0")).value_or(0);
    HttpAddress address;
    {
        const std::lock_guard lock(m_mutex);
        const auto worker = m_workers.find(id);
        if (worker == m_workers.end() || epoch < m_newestEpoch[id]) {
            exchange.respond({ worker == m_workers.end() ? 404U : 409U, {}, {} });
            return;
        }
        m_newestEpoch[id] = epoch;
        address = worker->second.address;
        // A reboot is idempotent per grant.
        if (action == "reboot" && !m_rebooted.emplace(id, grant).second) {
            exchange.respond({ 202, {}, {} });
            return;
        }
    }
    callWorker(address, "POST", "/platform/" + action);
    exchange.respond({ 202, {}, {} });
}

std::string FleetStandin::listing() const
{
    const Clock::time_point shown = Clock::now() - m_lag;
    const std::string* text = nullptr;
    for (const Listing& listing : m_listings) {
        if (listing.at <= shown || !text)
            text = &listing.text;
    }
    return text ? *text : "[]";
}

void FleetStandin::observe()
{
    while (true) {
        std::vector<std::pair<std::string, HttpAddress>> workers;
        std::map<std::string, std::string> states;
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping)
                return;
            for (const auto& [id, worker] : m_workers) {
                if (worker.isObserved)
                    workers.emplace_back(id, worker.address);
                else
                    states[id] = "{}";
            }
        }
        for (const auto& [id, address] : workers)
            states[id] = callWorker(address, "GET", "/platform/state");
        recordListing(states);
        std::this_thread::sleep_for(observeInterval);
    }
}

void FleetStandin::recordListing(const std::map<std::string, std::string>& states)
{
    nlohmann::json list = nlohmann::json::array();
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, state] : states) {
        const nlohmann::json reported = nlohmann::json::parse(state, nullptr, false);
        if (!reported.is_object())
            continue;
        nlohmann::json one = nlohmann::json::parse(m_workers[id].description);
        one.update(reported);
        list.push_back(std::move(one));
    }
    m_listings.push_back({ Clock::now(), list.dump() });
    while (m_listings.size() > 1 && m_listings[1].at <= Clock::now() - m_lag)
        m_listings.pop_front();
}

} // namespace lanemoor::standins
