#pragma once
/// \file
/// A simulation of the platform's store and its faults.

#include "lanemoor/jobs/model/key_value_store.h"
#include "sim_loop.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lanemoor::model {

/// Faults of the store. Shares are probabilities per call.
struct StoreFaults {
    bool leasesPaused = false; ///< No lease expires.
    bool unresponsive = false; ///< Calls have no effect and get no response.
    bool refusing = false; ///< Calls are refused.
    double lostAnswers = 0; ///< Share of writes that take effect without a response.
    double lateWrites = 0; ///< Share of writes that take effect seconds later, without a response.
    Millis answerTime { 4 };
    double lostPages = 0; ///< Share of range pages without a response.
    std::string refusedRanges; ///< Range reads of keys with this prefix are refused; empty for none.
    std::size_t maxEvents = 0; ///< Events per watch response; 0 for unlimited.
};

/// \brief A linearizable store with revisions, leases, watches and a history that can be compacted.
class StoreModel {
public:
    StoreModel(SimClock& clock, std::mt19937_64& random);

    StoreFaults faults;

    /// \name Direct access, for operators, workers and tests
    ///@{
    void put(const std::string& key, const std::string& value, std::uint64_t lease = 0);
    void remove(const std::string& key);
    [[nodiscard]] const jobs::StoreItem* find(const std::string& key) const;
    [[nodiscard]] std::vector<jobs::StoreItem> itemsUnder(const std::string& prefix) const;

    /// \brief Drops the history and ends pending watches with an unknown outcome.
    void compact();

    /// \brief Ends all leases, as the platform may do.
    void revokeLeases();
    ///@}

    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }

private:
    friend class StoreClient;

    struct Lease {
        MonotonicInstant endsAt;
        Millis timeToLive { 0 };
    };

    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;
        std::function<void(jobs::ItemsResult)> done;
        TimerId timeout = 0;
    };

    jobs::CommitResult apply(const jobs::Transaction& transaction);
    [[nodiscard]] bool holds(const jobs::KeyRevision& condition) const;
    void change(jobs::StoreItem item);
    void expire();
    void endLease(std::uint64_t lease);
    [[nodiscard]] jobs::ItemsResult eventsAfter(const std::string& prefix, std::uint64_t after) const;
    void wakeWatches();

    SimClock& m_clock;
    std::mt19937_64& m_random;
    std::map<std::string, jobs::StoreItem> m_items;
    std::vector<jobs::StoreItem> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyFrom = 0;
    std::uint64_t m_lastLease = 0;
    std::uint64_t m_lastWatch = 0;
    std::uint64_t m_calls = 0;
    bool m_hasLeaseCheck = false; ///< A lease check is scheduled.
    std::map<std::uint64_t, Lease> m_leases;
    std::map<std::uint64_t, Watch> m_watches;
};

/// \brief The store client of one process.
class StoreClient final : public jobs::KeyValueStore {
public:
    StoreClient(StoreModel& store, SimProcess& process)
        : m_store(store)
        , m_process(process)
    {
    }

    bool resetting = false; ///< Calls are lost in transit and fail at once with an unknown outcome.
    bool watchesBlocked = false; ///< Watches get no response; other calls do.
    bool partitioned = false; ///< The process is partitioned from the store.
    Millis writeDelay { 0 }; ///< Writes of the process are carried out this late, without a response; 0 for no delay.
    /// Bandwidth for responses, which are transferred one after the other; 0 for unlimited.
    std::size_t linkBytesPerMs = 0;

    void read(const std::string& key, std::function<void(jobs::ReadResult)> done) override;
    void range(const std::string& prefix, const std::string& afterKey, Millis timeout, std::function<void(jobs::ItemsResult)> done) override;
    void watch(const std::string& prefix, std::uint64_t after, Millis wait, std::function<void(jobs::ItemsResult)> done) override;
    void fetch(jobs::DocumentQuery query, std::function<void(jobs::ItemsResult)> done) override;
    void commit(const jobs::Transaction& transaction, std::function<void(jobs::CommitResult)> done) override;
    void grantLease(Millis timeToLive, std::function<void(jobs::LeaseResult)> done) override;
    void renewLease(std::uint64_t lease, std::function<void(jobs::LeaseResult)> done) override;
    void endLease(std::uint64_t lease, std::function<void(jobs::LeaseResult)> done) override;

private:
    template <typename Result>
    void call(bool writes, std::function<Result()> operation, std::function<void(Result)> done, Millis timeout, const std::function<bool()>& onBodyStart = nullptr);

    void fetchRange(const std::string& prefix, const std::string& afterKey, Millis timeout, std::function<void(jobs::ItemsResult)> done, const std::function<bool()>& onBodyStart);
    void awaitEvents(const std::string& prefix, std::uint64_t after, Millis wait, std::function<void(jobs::ItemsResult)> done, const std::function<bool()>& onBodyStart);

    /// Transfers a response over the link. A response that has not begun to arrive by `deadline` is lost, because the adapters
    /// time the call out.
    template <typename Result>
    void transfer(const Result& result, MonotonicInstant deadline, const std::function<void(Result)>& answer, const std::function<bool()>& onBodyStart);

    StoreModel& m_store;
    SimProcess& m_process;
    MonotonicInstant m_linkFreeAt;
};

} // namespace lanemoor::model
