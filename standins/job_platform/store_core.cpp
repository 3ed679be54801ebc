#include "store_core.h"

#include <algorithm>

namespace lanemoor::standin {

namespace {

using namespace jobs;

constexpr std::size_t pageSize = 500;
constexpr Millis historyTime { 20'000 };
constexpr Millis minLeaseTime { 1'000 };

} // namespace

CommitResult StoreCore::commit(const Transaction& transaction, MonotonicInstant now)
{
    expire(now);
    const bool allHold = std::all_of(transaction.expected.begin(), transaction.expected.end(), [this](const KeyRevision& condition) { return holds(condition); });
    if (!allHold) {
        CommitResult conflict { .outcome = StoreOutcome::Conflict, .revision = 0, .current = {} };
        for (const KeyRevision& condition : transaction.expected)
            conflict.current.push_back(current(condition.key));
        return conflict;
    }
    for (const StoreWrite& write : transaction.writes) {
        if (write.lease != 0 && !m_leases.contains(write.lease))
            return { .outcome = StoreOutcome::NotFound, .revision = 0, .current = {} };
    }
    ++m_revision;
    for (const StoreWrite& write : transaction.writes)
        change({ .key = write.key, .value = write.value, .revision = m_revision, .lease = write.lease }, now);
    for (const std::string& key : transaction.removals)
        change({ .key = key, .value = {}, .revision = m_revision, .removed = true }, now);
    return { .outcome = StoreOutcome::Done, .revision = m_revision, .current = {} };
}

ReadResult StoreCore::read(const std::string& key) const
{
    const auto found = m_items.find(key);
    if (found == m_items.end())
        return { .outcome = StoreOutcome::NotFound, .item = {}, .storeRevision = m_revision };
    return { .outcome = StoreOutcome::Done, .item = found->second, .storeRevision = m_revision };
}

ItemsResult StoreCore::range(const std::string& prefix, const std::string& afterKey) const
{
    ItemsResult result { .outcome = StoreOutcome::Done, .items = {}, .storeRevision = m_revision };
    auto item = afterKey < prefix ? m_items.lower_bound(prefix) : m_items.upper_bound(afterKey);
    for (; item != m_items.end() && item->first.starts_with(prefix); ++item) {
        if (result.items.size() == pageSize) {
            result.more = true;
            break;
        }
        result.items.push_back(item->second);
    }
    return result;
}

ItemsResult StoreCore::eventsAfter(const std::string& prefix, std::uint64_t after) const
{
    if (after < m_historyFrom)
        return { .outcome = StoreOutcome::HistoryGone, .items = {} };
    ItemsResult result { .outcome = StoreOutcome::Done, .items = {}, .storeRevision = m_revision };
    const auto first = std::partition_point(m_history.begin(), m_history.end(), [after](const Event& event) { return event.item.revision <= after; });
    for (auto event = first; event != m_history.end(); ++event) {
        if (event->item.key.starts_with(prefix))
            result.items.push_back(event->item);
    }
    return result;
}

LeaseResult StoreCore::grant(Millis timeToLive, MonotonicInstant now)
{
    const Millis granted = std::max(timeToLive, minLeaseTime);
    m_leases[++m_lastLease] = { now + granted, granted };
    return { .outcome = StoreOutcome::Done, .lease = m_lastLease, .timeToLive = granted };
}

LeaseResult StoreCore::renew(std::uint64_t lease, MonotonicInstant now)
{
    expire(now);
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return { .outcome = StoreOutcome::NotFound };
    found->second.endsAt = now + found->second.timeToLive;
    return { .outcome = StoreOutcome::Done, .lease = lease, .timeToLive = found->second.timeToLive };
}

LeaseResult StoreCore::end(std::uint64_t lease, MonotonicInstant now)
{
    if (!m_leases.contains(lease))
        return { .outcome = StoreOutcome::NotFound };
    removeLease(lease, now);
    return { .outcome = StoreOutcome::Done, .lease = lease };
}

bool StoreCore::expire(MonotonicInstant now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, lease] : m_leases) {
        if (lease.endsAt <= now)
            expired.push_back(id);
    }
    bool hasChanged = false;
    for (const std::uint64_t id : expired)
        hasChanged |= removeLease(id, now);
    while (!m_history.empty() && now - m_history.front().at > historyTime) {
        m_historyFrom = m_history.front().item.revision;
        m_history.pop_front();
    }
    return hasChanged;
}

bool StoreCore::holds(const KeyRevision& condition) const
{
    return condition.revision == current(condition.key).revision;
}

StoreItem StoreCore::current(const std::string& key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? StoreItem { .key = key, .value = {} } : found->second;
}

void StoreCore::change(StoreItem item, MonotonicInstant now)
{
    if (!item.removed)
        m_items[item.key] = item;
    else if (m_items.erase(item.key) == 0)
        return;
    m_history.push_back({ std::move(item), now });
}

bool StoreCore::removeLease(std::uint64_t lease, MonotonicInstant now)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    if (keys.empty())
        return false;
    ++m_revision;
    for (const std::string& key : keys)
        change({ .key = key, .value = {}, .revision = m_revision, .removed = true }, now);
    return true;
}

} // namespace lanemoor::standin
