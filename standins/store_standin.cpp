#include "store_standin.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace lanemoor::standins {

namespace {

constexpr std::string_view valuePrefix = "/v1/kv/";
constexpr std::string_view leasePrefix = "/v1/leases/";
constexpr std::size_t maxValueBytes = 1024 * 1024;

HttpResponse versioned(unsigned status, std::uint64_t version, std::string body = {})
{
    HttpResponse response { status, {}, std::move(body) };
    response.headers.add("ETag", formatEntityTag(version));
    return response;
}

std::uint64_t numberIn(std::string_view target, std::string_view name)
{
    return parseDecimal(queryValue(target, name).value_or("0")).value_or(0);
}

} // namespace

void StoreStandin::setFaults(const StoreFaults& faults)
{
    {
        const std::lock_guard lock(m_mutex);
        m_faults = faults;
    }
    m_changed.notify_all();
}

std::uint64_t StoreStandin::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

bool StoreStandin::losesAnswer()
{
    if (m_faults.answersToLose == 0)
        return false;
    --m_faults.answersToLose;
    return true;
}

void StoreStandin::handle(HttpExchange& exchange)
{
    std::chrono::milliseconds delay { 0 };
    {
        const std::lock_guard lock(m_mutex);
        ++m_calls;
        delay = m_faults.delay;
        if (m_faults.unavailable) {
            exchange.abort();
            return;
        }
    }
    std::this_thread::sleep_for(delay);
    const std::string path(pathOf(exchange.request().target));
    const std::string& method = exchange.request().method;
    if (path.rfind(valuePrefix, 0) == 0 && method == "GET")
        answerGet(exchange, path.substr(valuePrefix.size()));
    else if (path.rfind(valuePrefix, 0) == 0 && method == "PUT")
        answerPut(exchange, path.substr(valuePrefix.size()));
    else if (path.rfind(leasePrefix, 0) == 0 && method == "POST")
        answerAcquire(exchange, path.substr(leasePrefix.size()));
    else if (path.rfind(leasePrefix, 0) == 0 && method == "DELETE")
        answerRelease(exchange, path.substr(leasePrefix.size()));
    else
        exchange.respond({ 404, {}, {} });
}

void StoreStandin::answerGet(HttpExchange& exchange, const std::string& key)
{
    const std::string& target = exchange.request().target;
    const std::uint64_t after = numberIn(target, "after");
    const std::chrono::milliseconds wait(numberIn(target, "waitMs"));
    std::unique_lock lock(m_mutex);
    const auto newer = [&] { return m_faults.unavailable || (m_values.count(key) > 0 && m_values[key].version > after); };
    m_changed.wait_for(lock, wait, newer);
    if (m_faults.unavailable) {
        exchange.abort();
        return;
    }
    const auto value = m_values.find(key);
    if (value != m_values.end() && value->second.version > after)
        exchange.respond(versioned(200, value->second.version, value->second.body));
    else
        exchange.respond({ value == m_values.end() && wait.count() == 0 ? 404U : 204U, {}, {} });
}

void StoreStandin::answerPut(HttpExchange& exchange, const std::string& key)
{
    const HttpRequest& request = exchange.request();
    const std::lock_guard lock(m_mutex);
    if (request.body.size() > maxValueBytes) {
        exchange.respond({ 413, {}, {} });
        return;
    }
    Value& value = m_values[key];
    const bool mustBeNew = request.headers.find("If-None-Match").has_value();
    const std::string expected = formatEntityTag(value.version);
    const bool permitted = mustBeNew ? value.version == 0 : request.headers.find("If-Match") == expected;
    if (!permitted) {
        exchange.respond(versioned(412, value.version));
        return;
    }
    ++value.version;
    value.body = request.body;
    m_changed.notify_all();
    if (losesAnswer())
        exchange.abort();
    else
        exchange.respond(versioned(200, value.version));
}

void StoreStandin::answerAcquire(HttpExchange& exchange, const std::string& name)
{
    const nlohmann::json body = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (!body.is_object() || !body.contains("holder") || !body.contains("ttlMs")) {
        exchange.respond({ 400, {}, {} });
        return;
    }
    const std::string holder = body["holder"].get<std::string>();
    const std::lock_guard lock(m_mutex);
    HeldLease& lease = m_leases[name];
    const Clock::time_point now = Clock::now();
    const bool free = lease.epoch == 0 || now >= lease.expiresAt;
    if (!free && lease.holder != holder) {
        exchange.respond({ 409, {}, {} });
        return;
    }
    if (lease.holder != holder)
        ++lease.epoch;
    lease.holder = holder;
    lease.expiresAt = now + std::chrono::milliseconds(body["ttlMs"].get<std::int64_t>());
    exchange.respond({ 200, {}, nlohmann::json({ { "epoch", lease.epoch } }).dump() });
}

void StoreStandin::answerRelease(HttpExchange& exchange, const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    const auto lease = m_leases.find(name);
    if (lease != m_leases.end() && queryValue(exchange.request().target, "holder") == std::string_view(lease->second.holder))
        lease->second.expiresAt = Clock::now();
    exchange.respond({ 204, {}, {} });
}

} // namespace lanemoor::standins
