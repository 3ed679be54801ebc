#pragma once
/// \file
/// The workers' entries in the store, and those that were removed of late.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/service_configuration.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lanemoor::jobs {

/// A worker's entry. One that was removed is kept for a while, since the worker may run on.
struct DirectoryEntry {
    WorkerEntry worker;
    MonotonicInstant knownSince; ///< When this process first heard of the life, which had begun by then.
    bool listed = true;
    MonotonicInstant removedAt; ///< Meaningful if not listed.
};

/// \brief Workers by the id of their life.
class WorkerDirectory {
public:
    explicit WorkerDirectory(const EventLoop& loop);

    /// \returns Whether it changes anything: a heartbeat alone does not.
    bool put(const WorkerEntry& worker);

    void remove(const std::string& id);

    /// \brief Drops entries that were removed, as a process that begins now would not know them.
    void forgetRemoved();

    /// \brief Drops entries that were removed so long ago that every lease there is over.
    void forgetOld();

    [[nodiscard]] const std::map<std::string, DirectoryEntry>& all() const noexcept { return m_entries; }

    /// \returns Pools in which a life has ended unannounced within the time that an owner may take to lose its ownership and be succeeded; nothing: this
    /// process has not observed the workers for that long.
    [[nodiscard]] std::optional<std::set<std::string>> poolsWithRecentEnds() const;

    /// \brief Sets who hears of changes.
    void observe(std::function<void(const std::string& id)> observer) { m_observer = std::move(observer); }

private:
    void noteEnd(const WorkerEntry& worker);

    const EventLoop& m_loop;
    MonotonicInstant m_observesSince;
    std::map<std::string, DirectoryEntry> m_entries;
    std::map<std::string, MonotonicInstant> m_lastEnds; ///< By pool: when a life was last found to be replaced or removed unannounced.
    std::function<void(const std::string& id)> m_observer;
};

} // namespace lanemoor::jobs
