#pragma once
/// \file
/// The data of the platform's store: keys, history and leases. Callers pass the current time.

#include "lanemoor/jobs/model/key_value_store.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::standin {

/// \brief A linearizable key-value store with revisions, leases and a bounded history.
class StoreCore {
public:
    /// \brief Commits all writes and removals if every condition holds and every referenced lease is valid.
    [[nodiscard]] jobs::CommitResult commit(const jobs::Transaction& transaction, jobs::MonotonicInstant now);

    [[nodiscard]] jobs::ReadResult read(const std::string& key) const;
    [[nodiscard]] jobs::ItemsResult range(const std::string& prefix, const std::string& afterKey) const;

    /// \returns The changes under `prefix` after revision `after`, or HistoryGone if the history no longer has them.
    [[nodiscard]] jobs::ItemsResult eventsAfter(const std::string& prefix, std::uint64_t after) const;

    [[nodiscard]] jobs::LeaseResult grant(Millis timeToLive, jobs::MonotonicInstant now);
    [[nodiscard]] jobs::LeaseResult renew(std::uint64_t lease, jobs::MonotonicInstant now);
    [[nodiscard]] jobs::LeaseResult end(std::uint64_t lease, jobs::MonotonicInstant now);

    /// \brief Ends the expired leases and drops old history.
    /// \returns Whether a key has changed.
    bool expire(jobs::MonotonicInstant now);

    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

private:
    struct Lease {
        jobs::MonotonicInstant endsAt;
        Millis timeToLive { 0 };
    };

    struct Event {
        jobs::StoreItem item;
        jobs::MonotonicInstant at;
    };

    [[nodiscard]] bool holds(const jobs::KeyRevision& condition) const;
    [[nodiscard]] jobs::StoreItem current(const std::string& key) const;
    void change(jobs::StoreItem item, jobs::MonotonicInstant now);
    bool removeLease(std::uint64_t lease, jobs::MonotonicInstant now);

    std::map<std::string, jobs::StoreItem> m_items;
    std::deque<Event> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyFrom = 0;
    std::uint64_t m_lastLease = 0;
};

} // namespace lanemoor::standin
