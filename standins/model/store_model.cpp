#include "store_model.h"

#include <algorithm>
#include <memory>

namespace lanemoor::model {

namespace {

using namespace jobs;

constexpr Millis callTimeout { 1'000 }; // Client timeout, equal to that of the adapters.
constexpr std::size_t pageSize = 500;

bool hasPrefix(const std::string& key, const std::string& prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

constexpr std::size_t responseOverheadBytes = 200; // Size of a response without its items.

std::size_t bytesOf(const StoreItem& item)
{
    return item.key.size() + item.value.size();
}

std::size_t bytesOf(const ReadResult& result)
{
    return responseOverheadBytes + bytesOf(result.item);
}

std::size_t bytesOf(const ItemsResult& result)
{
    std::size_t bytes = responseOverheadBytes;
    for (const StoreItem& item : result.items)
        bytes += bytesOf(item);
    return bytes;
}

std::size_t bytesOf(const CommitResult&)
{
    return responseOverheadBytes;
}

std::size_t bytesOf(const LeaseResult&)
{
    return responseOverheadBytes;
}

} // namespace

StoreModel::StoreModel(SimClock& clock, std::mt19937_64& random)
    : m_clock(clock)
    , m_random(random)
{
}

const StoreItem* StoreModel::find(const std::string& key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? nullptr : &found->second;
}

std::vector<StoreItem> StoreModel::itemsUnder(const std::string& prefix) const
{
    std::vector<StoreItem> items;
    for (auto item = m_items.lower_bound(prefix); item != m_items.end() && hasPrefix(item->first, prefix); ++item)
        items.push_back(item->second);
    return items;
}

void StoreModel::put(const std::string& key, const std::string& value, std::uint64_t lease)
{
    static_cast<void>(apply({ .expected = {}, .writes = { { key, value, lease } }, .removals = {} }));
}

void StoreModel::remove(const std::string& key)
{
    static_cast<void>(apply({ .expected = {}, .writes = {}, .removals = { key } }));
}

void StoreModel::compact()
{
    m_history.clear();
    m_historyFrom = m_revision;
    for (auto& [id, watch] : std::exchange(m_watches, {})) {
        m_clock.cancel(watch.timeout);
        watch.done({ .outcome = StoreOutcome::Unknown, .items = {} });
    }
}

void StoreModel::revokeLeases()
{
    while (!m_leases.empty())
        endLease(m_leases.begin()->first);
}

bool StoreModel::holds(const KeyRevision& condition) const
{
    const StoreItem* item = find(condition.key);
    return condition.revision == (item ? item->revision : 0);
}

CommitResult StoreModel::apply(const Transaction& transaction)
{
    expire();
    if (!std::all_of(transaction.expected.begin(), transaction.expected.end(), [&](const KeyRevision& condition) { return holds(condition); })) {
        CommitResult result { .outcome = StoreOutcome::Conflict, .revision = 0, .current = {} };
        for (const KeyRevision& condition : transaction.expected) {
            const StoreItem* item = find(condition.key);
            result.current.push_back(item ? *item : StoreItem { .key = condition.key, .value = {} });
        }
        return result;
    }
    for (const StoreWrite& write : transaction.writes) {
        if (write.lease != 0 && !m_leases.contains(write.lease))
            return { .outcome = StoreOutcome::NotFound, .revision = 0, .current = {} };
    }
    ++m_revision;
    for (const StoreWrite& write : transaction.writes)
        change({ .key = write.key, .value = write.value, .revision = m_revision, .lease = write.lease });
    for (const std::string& key : transaction.removals)
        change({ .key = key, .value = {}, .revision = m_revision, .removed = true });
    wakeWatches();
    return { .outcome = StoreOutcome::Done, .revision = m_revision, .current = {} };
}

void StoreModel::change(StoreItem item)
{
    if (item.removed) {
        if (m_items.erase(item.key) == 0)
            return;
    } else {
        m_items[item.key] = item;
    }
    m_history.push_back(std::move(item));
}

void StoreModel::expire()
{
    constexpr Millis leaseCheckInterval { 100 }; // Interval at which leases are extended while they must not expire.
    if (faults.leasesPaused) {
        for (auto& [id, lease] : m_leases)
            lease.endsAt = m_clock.now() + lease.timeToLive;
        if (!std::exchange(m_hasLeaseCheck, true)) {
            m_clock.after(leaseCheckInterval, [this] {
                m_hasLeaseCheck = false;
                expire();
            });
        }
        return;
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [id, lease] : m_leases) {
        if (lease.endsAt <= m_clock.now())
            expired.push_back(id);
    }
    for (const std::uint64_t id : expired)
        endLease(id);
}

void StoreModel::endLease(std::uint64_t lease)
{
    if (m_leases.erase(lease) == 0)
        return;
    ++m_revision;
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const std::string& key : keys)
        change({ .key = key, .value = {}, .revision = m_revision, .removed = true });
    wakeWatches();
}

ItemsResult StoreModel::eventsAfter(const std::string& prefix, std::uint64_t after) const
{
    if (after < m_historyFrom)
        return { .outcome = StoreOutcome::HistoryGone, .items = {} };
    ItemsResult result { .outcome = StoreOutcome::Done, .items = {}, .storeRevision = m_revision };
    for (const StoreItem& item : m_history) {
        if (item.revision <= after || !hasPrefix(item.key, prefix))
            continue;
        // The next watch resumes after the last of these events. Events of one transaction are not split.
        if (faults.maxEvents > 0 && result.items.size() >= faults.maxEvents && item.revision != result.items.back().revision) {
            result.storeRevision = result.items.back().revision;
            return result;
        }
        result.items.push_back(item);
    }
    return result;
}

void StoreModel::wakeWatches()
{
    if (faults.unresponsive)
        return;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        ItemsResult result = eventsAfter(watch->second.prefix, watch->second.after);
        if (result.outcome == StoreOutcome::Done && result.items.empty()) {
            ++watch;
            continue;
        }
        m_clock.cancel(watch->second.timeout);
        m_clock.after(faults.answerTime / 2, [done = watch->second.done, result = std::move(result)] { done(result); });
        watch = m_watches.erase(watch);
    }
}

template <typename Result>
void StoreClient::transfer(const Result& result, MonotonicInstant deadline, const std::function<void(Result)>& answer, const std::function<bool()>& onBodyStart)
{
    SimClock& clock = m_store.m_clock;
    if (linkBytesPerMs == 0) {
        answer(result);
        return;
    }
    const MonotonicInstant begin = std::max(clock.now(), m_linkFreeAt);
    const MonotonicInstant end = begin + Millis(static_cast<Millis::rep>(bytesOf(result) / linkBytesPerMs));
    if (begin > deadline) {
        clock.at(std::max(clock.now(), deadline), [answer] { answer(Result {}); });
        return;
    }
    m_linkFreeAt = end;
    if (onBodyStart && end > begin) {
        const auto arrives = [this, result, end, length = end - begin, answer, onBodyStart](int) {
            if (onBodyStart()) {
                m_store.m_clock.at(std::max(end, m_store.m_clock.now()), [answer, result] { answer(result); });
                return;
            }
            m_linkFreeAt -= length;
            Result abandoned;
            abandoned.outcome = StoreOutcome::Abandoned;
            answer(abandoned);
        };
        clock.at(begin, [arrive = m_process.deliver<int>(arrives)] { arrive(0); });
        return;
    }
    clock.at(end, [answer, result] { answer(result); });
}

template <typename Result>
void StoreClient::call(bool writes, std::function<Result()> operation, std::function<void(Result)> done, Millis timeout, const std::function<bool()>& onBodyStart)
{
    const MonotonicInstant deadline = m_store.m_clock.now() + timeout;
    ++m_store.m_calls;
    const std::function<void(Result)> answer = m_process.deliver<Result>(std::move(done));
    SimClock& clock = m_store.m_clock;
    const StoreFaults& faults = m_store.faults;
    std::uniform_real_distribution<double> share(0, 1);
    if (resetting) {
        clock.after(Millis(1), [answer] { answer(Result {}); });
        return;
    }
    if (partitioned || faults.unresponsive) {
        clock.after(callTimeout, [answer] { answer(Result {}); });
        return;
    }
    if (faults.refusing) {
        clock.after(faults.answerTime, [answer] {
            Result refused;
            refused.outcome = StoreOutcome::NotDone;
            answer(refused);
        });
        return;
    }
    const bool isLate = writes && (writeDelay.count() > 0 || share(m_store.m_random) < faults.lateWrites);
    if (isLate) {
        std::uniform_int_distribution<int> pause(1'000, 6'000);
        const Millis delay = writeDelay.count() > 0 ? writeDelay : Millis(pause(m_store.m_random));
        clock.after(delay, [operation] { static_cast<void>(operation()); });
        clock.after(callTimeout, [answer] { answer(Result {}); });
        return;
    }
    const bool isAnswerLost = writes && share(m_store.m_random) < faults.lostAnswers;
    clock.after(faults.answerTime / 2, [this, operation, answer, isAnswerLost, deadline, onBodyStart] {
        m_store.expire();
        const Result result = operation();
        if (isAnswerLost)
            m_store.m_clock.after(callTimeout, [answer] { answer(Result {}); });
        else
            m_store.m_clock.after(m_store.faults.answerTime / 2, [this, answer, result, deadline, onBodyStart] { transfer(result, deadline, answer, onBodyStart); });
    });
}

void StoreClient::read(const std::string& key, std::function<void(ReadResult)> done)
{
    call<ReadResult>(
        false,
        [this, key]() -> ReadResult {
            const StoreItem* item = m_store.find(key);
            if (!item)
                return { .outcome = StoreOutcome::NotFound, .item = {}, .storeRevision = m_store.m_revision };
            return { .outcome = StoreOutcome::Done, .item = *item, .storeRevision = m_store.m_revision };
        },
        std::move(done), callTimeout);
}

void StoreClient::range(const std::string& prefix, const std::string& afterKey, Millis timeout, std::function<void(ItemsResult)> done)
{
    fetchRange(prefix, afterKey, timeout, std::move(done), nullptr);
}

void StoreClient::fetchRange(const std::string& prefix, const std::string& afterKey, Millis timeout, std::function<void(ItemsResult)> done, const std::function<bool()>& onBodyStart)
{
    if (m_store.faults.lostPages > 0 && std::uniform_real_distribution<double>(0, 1)(m_store.m_random) < m_store.faults.lostPages) {
        ++m_store.m_calls;
        m_store.m_clock.after(timeout, [answer = m_process.deliver<ItemsResult>(std::move(done))] { answer({}); });
        return;
    }
    const std::string& refused = m_store.faults.refusedRanges;
    if (!refused.empty() && hasPrefix(prefix, refused)) {
        ++m_store.m_calls;
        m_store.m_clock.after(m_store.faults.answerTime, [answer = m_process.deliver<ItemsResult>(std::move(done))] { answer({ .outcome = StoreOutcome::NotDone, .items = {} }); });
        return;
    }
    call<ItemsResult>(
        false,
        [this, prefix, afterKey]() -> ItemsResult {
            ItemsResult result { .outcome = StoreOutcome::Done, .items = {}, .storeRevision = m_store.m_revision };
            for (const StoreItem& item : m_store.itemsUnder(prefix)) {
                if (item.key <= afterKey)
                    continue;
                if (result.items.size() == pageSize) {
                    result.more = true;
                    break;
                }
                result.items.push_back(item);
            }
            return result;
        },
        std::move(done), timeout, onBodyStart);
}

void StoreClient::watch(const std::string& prefix, std::uint64_t after, Millis wait, std::function<void(ItemsResult)> done)
{
    awaitEvents(prefix, after, wait, std::move(done), nullptr);
}

void StoreClient::fetch(DocumentQuery query, std::function<void(ItemsResult)> done)
{
    if (query.after == 0 && query.unlessRevision > 0) {
        const auto compare = [this, key = query.key, unlessRevision = query.unlessRevision]() -> ItemsResult {
            const StoreItem* item = m_store.find(key);
            const bool isNewer = item && item->revision != unlessRevision;
            return { .outcome = StoreOutcome::Done, .items = isNewer ? std::vector<StoreItem> { *item } : std::vector<StoreItem> {} };
        };
        call<ItemsResult>(true, compare, std::move(done), query.timeout, query.onBodyStart);
        return;
    }
    if (query.after == 0)
        fetchRange(query.key, {}, query.timeout, std::move(done), query.onBodyStart);
    else
        awaitEvents(query.key, query.after, query.wait, std::move(done), query.onBodyStart);
}

void StoreClient::awaitEvents(const std::string& prefix, std::uint64_t after, Millis wait, std::function<void(ItemsResult)> done, const std::function<bool()>& onBodyStart)
{
    ++m_store.m_calls;
    SimClock& clock = m_store.m_clock;
    const std::function<void(ItemsResult)> delivered = m_process.deliver<ItemsResult>(std::move(done));
    const std::function<void(ItemsResult)> answer = [this, delivered, deadline = clock.now() + wait + callTimeout, onBodyStart](const ItemsResult& result) {
        if (partitioned)
            m_store.m_clock.at(deadline, [delivered] { delivered({}); });
        else
            transfer(result, deadline, delivered, onBodyStart);
    };
    if (resetting || partitioned || watchesBlocked || m_store.faults.unresponsive || m_store.faults.refusing) {
        clock.after(callTimeout, [delivered] { delivered({}); });
        return;
    }
    m_store.expire();
    ItemsResult now = m_store.eventsAfter(prefix, after);
    if (now.outcome != StoreOutcome::Done || !now.items.empty()) {
        clock.after(m_store.faults.answerTime, [answer, now] { answer(now); });
        return;
    }
    const std::uint64_t id = ++m_store.m_lastWatch;
    const TimerId timeout = clock.after(wait, [this, id, prefix, after, answer] {
        m_store.m_watches.erase(id);
        if (m_store.faults.unresponsive || partitioned)
            answer({});
        else
            answer(m_store.eventsAfter(prefix, after));
    });
    m_store.m_watches[id] = { prefix, after, answer, timeout };
}

void StoreClient::commit(const Transaction& transaction, std::function<void(CommitResult)> done)
{
    call<CommitResult>(
        true, [this, transaction] { return m_store.apply(transaction); }, std::move(done), callTimeout);
}

void StoreClient::grantLease(Millis timeToLive, std::function<void(LeaseResult)> done)
{
    call<LeaseResult>(
        true,
        [this, timeToLive]() -> LeaseResult {
            const std::uint64_t id = ++m_store.m_lastLease;
            m_store.m_leases[id] = { m_store.m_clock.now() + timeToLive, timeToLive };
            m_store.m_clock.after(timeToLive + Millis(1), [this] { m_store.expire(); });
            return { .outcome = StoreOutcome::Done, .lease = id, .timeToLive = timeToLive };
        },
        std::move(done), callTimeout);
}

void StoreClient::renewLease(std::uint64_t lease, std::function<void(LeaseResult)> done)
{
    call<LeaseResult>(
        true,
        [this, lease]() -> LeaseResult {
            const auto found = m_store.m_leases.find(lease);
            if (found == m_store.m_leases.end())
                return { .outcome = StoreOutcome::NotFound };
            found->second.endsAt = m_store.m_clock.now() + found->second.timeToLive;
            m_store.m_clock.after(found->second.timeToLive + Millis(1), [this] { m_store.expire(); });
            return { .outcome = StoreOutcome::Done, .lease = lease, .timeToLive = found->second.timeToLive };
        },
        std::move(done), callTimeout);
}

void StoreClient::endLease(std::uint64_t lease, std::function<void(LeaseResult)> done)
{
    call<LeaseResult>(
        true,
        [this, lease]() -> LeaseResult {
            m_store.endLease(lease);
            return { .outcome = StoreOutcome::Done, .lease = lease };
        },
        std::move(done), callTimeout);
}

} // namespace lanemoor::model
