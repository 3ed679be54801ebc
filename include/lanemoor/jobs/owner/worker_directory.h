#pragma once
/// \file
/// The workers' entries in the store, including recently removed ones.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/service_configuration.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lanemoor::jobs {

/// A worker's entry. A removed entry is kept for a while, since the worker may still be up.
struct DirectoryEntry {
    WorkerEntry worker;
    MonotonicInstant knownSince; ///< When this process first observed the incarnation, which had started by then.
    bool listed = true;
    MonotonicInstant removedAt; ///< Only valid if not `listed`.
};

/// \brief Worker entries by worker id.
class WorkerDirectory {
public:
    explicit WorkerDirectory(const EventLoop& loop);

    /// \returns Whether the entry has changed: a heartbeat alone is no change.
    bool put(const WorkerEntry& worker);

    void remove(const std::string& id);

    /// \brief Drops all removed entries, since a process that starts now would not have them.
    void dropRemoved();

    /// \brief Drops removed entries once all leases on their workers have expired.
    void dropExpired();

    [[nodiscard]] const std::map<std::string, DirectoryEntry>& all() const noexcept { return m_entries; }

    /// \returns The pools in which an incarnation has ended unannounced within the time that an owner may take to lose its ownership and be
    /// succeeded; nothing: this process has not observed the workers for that long.
    [[nodiscard]] std::optional<std::set<std::string>> poolsWithRecentEnds() const;

    /// \brief Sets the observer of changes.
    void observe(std::function<void(const std::string& id)> observer) { m_observer = std::move(observer); }

private:
    void noteEnd(const WorkerEntry& worker);

    const EventLoop& m_loop;
    MonotonicInstant m_observesSince;
    std::map<std::string, DirectoryEntry> m_entries;
    std::map<std::string, MonotonicInstant> m_lastEnds; ///< By pool: when an incarnation was last replaced or removed unannounced.
    std::function<void(const std::string& id)> m_observer;
};

} // namespace lanemoor::jobs
