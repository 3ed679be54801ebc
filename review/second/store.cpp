#include "platform.h"

#include <google/protobuf/stubs/strutil.h>
#include <utility>

namespace review {

namespace {

constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int conditionFailed = 412;
constexpr int badRequest = 400;
constexpr std::size_t maxEvents = 500;
constexpr std::size_t maxHistory = 50'000;

std::string queryOf(const Call& call, const char* name)
{
    const auto found = call.query.find(name);
    return found == call.query.end() ? std::string() : found->second;
}

std::uint64_t numberOf(const Call& call, const char* name)
{
    return std::strtoull(queryOf(call, name).c_str(), nullptr, 10);
}

bool beginsWith(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

Record::Record(const std::string& file)
    : m_file(file, std::ios::trunc)
{
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - m_start).count();
}

void Record::write(const std::string& event, const json& fields)
{
    const std::lock_guard lock(m_mutex);
    m_file << now() << ' ' << event << ' ' << fields.dump() << std::endl;
}

Store::Store(Record& record)
    : m_record(record)
{
}

void Store::write(const std::string& key, Item item)
{
    const auto known = m_items.find(key);
    item.revision = m_revision;
    item.made = known == m_items.end() ? m_revision : known->second.made;
    m_items[key] = item;
    m_history.push_back({ .key = key, .revision = m_revision, .gone = false, .item = item });
    if (m_history.size() > maxHistory)
        m_history.pop_front();
}

void Store::erase(const std::string& key)
{
    if (m_items.erase(key) > 0)
        m_history.push_back({ .key = key, .revision = m_revision, .gone = true, .item = {} });
}

std::uint64_t Store::put(const std::string& key, const std::string& value)
{
    ++m_revision;
    Item item;
    google::protobuf::Base64Escape(value, &item.value);
    write(key, item);
    return m_revision;
}

void Store::remove(const std::string& key)
{
    ++m_revision;
    erase(key);
}

void Store::endLease(std::uint64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    ++m_revision;
    for (const std::string& key : keys)
        erase(key);
    m_record.write("lease-over", { { "lease", lease }, { "keys", keys } });
}

void Store::expire()
{
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : m_leases) {
        if (lease.endsAt <= Clock::now())
            over.push_back(id);
    }
    for (const std::uint64_t id : over)
        endLease(id);
}

bool Store::hasEvents(const std::string& prefix, std::uint64_t after) const
{
    for (auto event = m_history.rbegin(); event != m_history.rend() && event->revision > after; ++event) {
        if (beginsWith(event->key, prefix))
            return true;
    }
    return false;
}

Reply Store::read(const std::string& key) const
{
    const auto found = m_items.find(key);
    if (found == m_items.end())
        return { notFound, json { { "at", m_revision } }.dump() };
    const Item& item = found->second;
    return { ok, json { { "key", key }, { "value", item.value }, { "rev", item.revision }, { "made", item.made }, { "lease", item.lease }, { "at", m_revision } }.dump() };
}

Reply Store::range(const std::string& prefix, const std::string& after) const
{
    json items = json::array();
    bool more = false;
    for (const auto& [key, item] : m_items) {
        if (!beginsWith(key, prefix) || key <= after)
            continue;
        more = items.size() == maxEvents;
        if (more)
            break;
        items.push_back({ { "key", key }, { "value", item.value }, { "rev", item.revision }, { "made", item.made }, { "lease", item.lease } });
    }
    return { ok, json { { "items", items }, { "more", more }, { "at", m_revision } }.dump() };
}

Reply Store::watched(const std::string& prefix, std::uint64_t after) const
{
    json events = json::array();
    std::uint64_t at = m_revision;
    for (const Event& event : m_history) {
        if (event.revision <= after || !beginsWith(event.key, prefix))
            continue;
        // Events of one revision stay together.
        if (events.size() >= maxEvents && event.revision != events.back()["rev"]) {
            at = events.back()["rev"];
            break;
        }
        if (event.gone)
            events.push_back({ { "key", event.key }, { "rev", event.revision }, { "gone", true } });
        else
            events.push_back({ { "key", event.key }, { "value", event.item.value }, { "rev", event.revision }, { "made", event.item.made }, { "lease", event.item.lease } });
    }
    return { ok, json { { "events", events }, { "at", at } }.dump() };
}

Reply Store::commit(const json& body)
{
    bool holds = true;
    json current = json::array();
    for (const json& row : body.value("expected_rev", json::array())) {
        const std::string key = row.value("key", "");
        const auto found = m_items.find(key);
        holds = holds && (found == m_items.end() ? 0 : found->second.revision) == row.value("rev", std::uint64_t { 0 });
        if (found != m_items.end())
            current.push_back({ { "key", key }, { "value", found->second.value }, { "rev", found->second.revision }, { "made", found->second.made }, { "lease", found->second.lease } });
    }
    if (!holds)
        return { conditionFailed, json { { "items", current } }.dump() };
    const json puts = body.value("put", json::array());
    for (const json& row : puts) {
        const std::uint64_t lease = row.value("lease", std::uint64_t { 0 });
        if (lease != 0 && !m_leases.contains(lease))
            return { notFound, "{}" };
    }
    const json removals = body.value("remove", json::array());
    if (!puts.empty() || !removals.empty())
        ++m_revision;
    for (const json& row : puts)
        write(row.value("key", ""), { .value = row.value("value", ""), .lease = row.value("lease", std::uint64_t { 0 }) });
    for (const json& key : removals)
        erase(key.get<std::string>());
    return { ok, json { { "rev", m_revision } }.dump() };
}

Reply Store::lease(const Call& call)
{
    static const std::string keep = "/api/kv-keep/";
    static const std::string over = "/api/kv-lease-end/";
    if (call.path == "/api/kv-lease") {
        const Millis time(json::parse(call.body, nullptr, false).value("ttl_ms", 0));
        m_leases[++m_lastLease] = { time, Clock::now() + time };
        return { ok, json { { "lease", m_lastLease }, { "ttl_ms", time.count() } }.dump() };
    }
    const bool isKept = beginsWith(call.path, keep);
    const std::uint64_t id = std::strtoull(call.path.substr(isKept ? keep.size() : over.size()).c_str(), nullptr, 10);
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return { notFound, "{}" };
    if (!isKept) {
        endLease(id);
        return { ok, "{}" };
    }
    found->second.endsAt = Clock::now() + found->second.time;
    return { ok, json { { "ttl_ms", found->second.time.count() } }.dump() };
}

Reply Store::answer(const Call& call)
{
    if (call.path == "/api/kv-key")
        return read(queryOf(call, "key"));
    if (call.path == "/api/kv-range")
        return range(queryOf(call, "path_prefix"), queryOf(call, "depends_on"));
    if (call.path == "/api/kv-watch")
        return watched(queryOf(call, "path_prefix"), numberOf(call, "depends_on"));
    if (call.path == "/api/kv-txn")
        return commit(json::parse(call.body, nullptr, false));
    if (beginsWith(call.path, "/api/kv-"))
        return lease(call);
    return { badRequest, "{}" };
}

} // namespace review
