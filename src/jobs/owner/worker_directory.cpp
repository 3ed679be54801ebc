#include "lanemoor/jobs/owner/worker_directory.h"

namespace lanemoor::jobs {

namespace {

/// By the platform's bound, a worker's lease lasts at most 10 s; clocks may be slow by 2%.
constexpr Millis removedEntryRetention { 12'000 };

/// Max time from the crash of a worker to the takeover by an owner without a record of it: one second until the worker counts as
/// unresponsive, one until an owner without the store resigns, and some until its successor has read the store. Changes during a store
/// outage are found at the takeover.
constexpr Millis recentEndWindow { 12'000 };

} // namespace

WorkerDirectory::WorkerDirectory(const EventLoop& loop)
    : m_loop(loop)
    , m_observesSince(loop.now())
{
}

bool WorkerDirectory::put(const WorkerEntry& worker)
{
    const auto found = m_entries.find(worker.id);
    if (found != m_entries.end() && found->second.listed && found->second.worker == worker)
        return false;
    const bool isSameIncarnation = found != m_entries.end() && found->second.worker.startedAt == worker.startedAt;
    if (found != m_entries.end() && found->second.listed && !isSameIncarnation)
        noteEnd(found->second.worker);
    const MonotonicInstant knownSince = isSameIncarnation ? found->second.knownSince : m_loop.now();
    m_entries[worker.id] = { .worker = worker, .knownSince = knownSince };
    if (m_observer)
        m_observer(worker.id);
    return true;
}

void WorkerDirectory::remove(const std::string& id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || !found->second.listed)
        return;
    found->second.listed = false;
    found->second.removedAt = m_loop.now();
    noteEnd(found->second.worker);
    if (m_observer)
        m_observer(id);
}

/// A draining worker gets its last start seconds before its entry is removed.
void WorkerDirectory::noteEnd(const WorkerEntry& worker)
{
    if (!worker.draining)
        m_lastEnds[worker.pool] = m_loop.now();
}

std::optional<std::set<std::string>> WorkerDirectory::poolsWithRecentEnds() const
{
    const MonotonicInstant from = m_loop.now() - recentEndWindow;
    if (m_observesSince > from)
        return std::nullopt;
    std::set<std::string> pools;
    for (const auto& [pool, endedAt] : m_lastEnds) {
        if (endedAt >= from)
            pools.insert(pool);
    }
    return pools;
}

void WorkerDirectory::dropRemoved()
{
    std::erase_if(m_entries, [](const auto& entry) { return !entry.second.listed; });
}

void WorkerDirectory::dropExpired()
{
    const MonotonicInstant now = m_loop.now();
    std::erase_if(m_entries, [&](const auto& entry) { return !entry.second.listed && now - entry.second.removedAt > removedEntryRetention; });
}

} // namespace lanemoor::jobs
