#include "store_service.h"

#include "wire_text.h"

#include <google/protobuf/stubs/strutil.h>
#include <utility>

namespace lanemoor::standin {

namespace {

using namespace jobs;
using nlohmann::json;

constexpr Millis leaseCheck { 20 };
constexpr int minLateWriteDelay = 1'000; // In ms, as the maximum.
constexpr int maxLateWriteDelay = 6'000;
constexpr std::string_view keepPath = "/api/kv-keep/";
constexpr std::string_view endPath = "/api/kv-lease-end/";

json formatItem(const StoreItem& item)
{
    std::string value;
    google::protobuf::Base64Escape(item.value, &value);
    json object { { "key", item.key }, { "value", value }, { "rev", item.revision }, { "lease", item.lease } };
    if (item.removed)
        object["gone"] = true;
    return object;
}

json formatItems(const std::vector<StoreItem>& items)
{
    json list = json::array();
    for (const StoreItem& item : items)
        list.push_back(formatItem(item));
    return list;
}

unsigned statusOf(StoreOutcome outcome)
{
    switch (outcome) {
    case StoreOutcome::Done:
        return status::ok;
    case StoreOutcome::Conflict:
        return status::conditionFailed;
    case StoreOutcome::NotFound:
        return status::notFound;
    case StoreOutcome::HistoryGone:
        return status::gone;
    case StoreOutcome::NotDone:
    case StoreOutcome::Unknown:
    case StoreOutcome::Abandoned:
        break;
    }
    return status::unavailable;
}

HttpResponse formatEvents(const ItemsResult& result)
{
    return answerJson(statusOf(result.outcome), { { "events", formatItems(result.items) }, { "at", result.storeRevision } });
}

HttpResponse formatLease(const LeaseResult& result)
{
    return answerJson(statusOf(result.outcome), { { "lease", result.lease }, { "ttl_ms", result.timeToLive.count() } });
}

HttpResponse formatRead(const ReadResult& result)
{
    json body = result.outcome == StoreOutcome::Done ? formatItem(result.item) : json::object();
    body["at"] = result.storeRevision;
    return answerJson(statusOf(result.outcome), body);
}

/// \returns The transaction in a body, or nullopt if the body is malformed or has too many entries.
std::optional<Transaction> readTransaction(const json& body)
{
    Transaction transaction;
    for (const json& condition : body.value("expected_rev", json::array()))
        transaction.expected.push_back({ textIn(condition, "key"), static_cast<std::uint64_t>(integerIn(condition, "rev")) });
    for (const json& entry : body.value("put", json::array())) {
        StoreWrite write { .key = textIn(entry, "key"), .value = {}, .lease = static_cast<std::uint64_t>(integerIn(entry, "lease")) };
        if (!google::protobuf::Base64Unescape(textIn(entry, "value"), &write.value))
            return std::nullopt;
        transaction.writes.push_back(std::move(write));
    }
    for (const json& key : body.value("remove", json::array()))
        transaction.removals.push_back(key.is_string() ? key.get<std::string>() : std::string());
    const std::size_t entries = transaction.expected.size() + transaction.writes.size() + transaction.removals.size();
    return entries <= maxTransactionEntries ? std::optional(std::move(transaction)) : std::nullopt;
}

std::uint64_t leaseIn(std::string_view path, std::string_view prefix)
{
    return parseDecimal(path.substr(prefix.size())).value_or(0);
}

} // namespace

StoreService::StoreService(aio::AsioEventLoop& loop, std::uint64_t seed)
    : m_loop(loop)
    , m_random(seed)
    , m_listener(loop, { .address = { "127.0.0.1", 0 } }, [this](const HttpRequest& request, const aio::HttpResponder& respond) { serve(request, respond); })
{
    expireLeases();
}

void StoreService::setFaults(const StoreFaults& faults)
{
    m_faults = faults;
    m_unanswered.clear();
    wakeWatches();
}

std::uint64_t StoreService::put(const std::string& key, const std::string& value)
{
    const CommitResult result = m_core.commit({ .expected = {}, .writes = { { key, value, 0 } }, .removals = {} }, m_loop.now());
    wakeWatches();
    return result.revision;
}

void StoreService::remove(const std::string& key)
{
    static_cast<void>(m_core.commit({ .expected = {}, .writes = {}, .removals = { key } }, m_loop.now()));
    wakeWatches();
}

void StoreService::serve(const HttpRequest& request, const aio::HttpResponder& respond)
{
    if (m_faults.unresponsive)
        m_unanswered.push_back(respond);
    else if (m_faults.refusing)
        answer(respond, answerJson(status::unavailable, json::object()));
    else
        dispatch(request, respond);
}

void StoreService::dispatch(const HttpRequest& request, const aio::HttpResponder& respond)
{
    if (request.method != "GET")
        write(request, respond);
    else if (pathOf(request.target) == "/api/kv-watch")
        watch(request, respond);
    else
        answer(respond, execute(request));
}

void StoreService::write(const HttpRequest& request, const aio::HttpResponder& respond)
{
    std::uniform_real_distribution<double> share(0, 1);
    const bool isLate = share(m_random) < m_faults.lateWrites;
    const bool isAnswerLost = share(m_random) < m_faults.lostAnswers;
    if (isLate) {
        const Millis delay(std::uniform_int_distribution<int>(minLateWriteDelay, maxLateWriteDelay)(m_random));
        m_unanswered.push_back(respond);
        m_loop.callAt(m_loop.now() + delay, [this, request] { static_cast<void>(execute(request)); });
        return;
    }
    HttpResponse response = execute(request);
    if (isAnswerLost)
        m_unanswered.push_back(respond);
    else
        answer(respond, std::move(response));
}

void StoreService::watch(const HttpRequest& request, const aio::HttpResponder& respond)
{
    const std::string prefix = queryText(request, "path_prefix");
    const std::uint64_t after = queryNumber(request, "depends_on");
    const ItemsResult events = m_core.eventsAfter(prefix, after);
    if (events.outcome != StoreOutcome::Done || !events.items.empty()) {
        answer(respond, formatEvents(events));
        return;
    }
    const std::uint64_t id = ++m_lastWatch;
    const Millis wait(static_cast<std::int64_t>(queryNumber(request, "wait_ms")));
    const TimerId timeout = m_loop.callAt(m_loop.now() + wait, [this, id] { endWatch(id); });
    m_watches[id] = { prefix, after, respond, timeout };
}

void StoreService::endWatch(std::uint64_t id)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end())
        return;
    const Watch watch = found->second;
    m_watches.erase(found);
    m_loop.cancel(watch.timeout);
    if (m_faults.unresponsive)
        m_unanswered.push_back(watch.respond);
    else
        answer(watch.respond, formatEvents(m_core.eventsAfter(watch.prefix, watch.after)));
}

void StoreService::wakeWatches()
{
    if (m_faults.unresponsive)
        return;
    std::vector<std::uint64_t> due;
    for (const auto& [id, watch] : m_watches) {
        const ItemsResult events = m_core.eventsAfter(watch.prefix, watch.after);
        if (events.outcome != StoreOutcome::Done || !events.items.empty())
            due.push_back(id);
    }
    for (const std::uint64_t id : due)
        endWatch(id);
}

HttpResponse StoreService::execute(const HttpRequest& request)
{
    const MonotonicInstant now = m_loop.now();
    const std::string_view path = pathOf(request.target);
    if (path == "/api/kv-key")
        return formatRead(m_core.read(queryText(request, "key")));
    if (path == "/api/kv-range") {
        const ItemsResult result = m_core.range(queryText(request, "path_prefix"), queryText(request, "depends_on"));
        return answerJson(status::ok, { { "items", formatItems(result.items) }, { "more", result.more }, { "at", result.storeRevision } });
    }
    if (path == "/api/kv-txn")
        return commit(objectIn(request));
    if (path == "/api/kv-lease")
        return formatLease(m_core.grant(Millis(integerIn(objectIn(request), "ttl_ms")), now));
    if (path.starts_with(keepPath))
        return formatLease(m_core.renew(leaseIn(path, keepPath), now));
    if (!path.starts_with(endPath))
        return answerJson(status::badRequest, json::object());
    const LeaseResult ended = m_core.end(leaseIn(path, endPath), now);
    wakeWatches();
    return formatLease(ended);
}

HttpResponse StoreService::commit(const json& body)
{
    const std::optional<Transaction> transaction = readTransaction(body);
    if (!transaction)
        return answerJson(status::badRequest, json::object());
    const CommitResult result = m_core.commit(*transaction, m_loop.now());
    wakeWatches();
    return answerJson(statusOf(result.outcome), { { "rev", result.revision }, { "items", formatItems(result.current) } });
}

void StoreService::expireLeases()
{
    if (m_core.expire(m_loop.now()))
        wakeWatches();
    m_loop.callAt(m_loop.now() + leaseCheck, [this] { expireLeases(); });
}

void StoreService::answer(const aio::HttpResponder& respond, HttpResponse response)
{
    m_loop.callAt(m_loop.now() + m_faults.answerTime, [respond, response = std::move(response)] { respond(response); });
}

} // namespace lanemoor::standin
