#pragma once
/// \file
/// A model of the platform's store, with its failures.

#include "lanemoor/jobs/model/key_value_store.h"
#include "sim_loop.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lanemoor::model {

/// How the store fails. Shares are of the calls.
struct StoreTrouble {
    bool leasesWait = false; ///< Leases do not run out meanwhile.
    bool silent = false; ///< Calls do nothing and get no answer.
    bool refusing = false; ///< Calls are refused.
    double lostAnswers = 0; ///< Of writes: carried out, and not answered.
    double lateWrites = 0; ///< Of writes: not answered, and carried out seconds later.
    Millis answerTime { 4 };
    double lostPages = 0; ///< Of pages of a range: not answered.
    std::string refusedRanges; ///< Ranges of keys with this prefix are refused; empty: none.
    std::size_t mostEvents = 0; ///< That one answer of a watch brings; 0: all there are.
};

/// \brief The store: linearizable, with revisions, leases, watches and a short history.
class StoreModel {
public:
    StoreModel(SimClock& clock, std::mt19937_64& random);

    StoreTrouble trouble;

    /// \name Direct access, for operators, workers and tests
    ///@{
    void put(const std::string& key, const std::string& value, std::uint64_t lease = 0);
    void remove(const std::string& key);
    [[nodiscard]] const jobs::StoreItem* find(const std::string& key) const;
    [[nodiscard]] std::vector<jobs::StoreItem> under(const std::string& prefix) const;

    /// \brief Forgets its history; watches that wait are cut.
    void compact();

    /// \brief Ends all leases at once, as the platform may.
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
    bool m_looksAgain = false; ///< A look at leases that wait is due.
    std::map<std::uint64_t, Lease> m_leases;
    std::map<std::uint64_t, Watch> m_watches;
};

/// \brief One process's way to the store.
class StoreClient final : public jobs::KeyValueStore {
public:
    StoreClient(StoreModel& store, SimProcess& process)
        : m_store(store)
        , m_process(process)
    {
    }

    bool resetting = false; ///< Calls are lost on their way and fail at once, without an answer.
    bool watchesCutOff = false; ///< Watches get no answer; all else does.
    bool cutOff = false; ///< This process does not reach the store.
    /// What the machine's link carries of the store's answers, one after the other; 0: answers take no time on it.
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
    void call(bool writes, std::function<Result()> act, std::function<void(Result)> done, Millis timeout, const std::function<bool()>& begun = nullptr);

    void list(const std::string& prefix, const std::string& afterKey, Millis timeout, std::function<void(jobs::ItemsResult)> done, const std::function<bool()>& begun);
    void await(const std::string& prefix, std::uint64_t after, Millis wait, std::function<void(jobs::ItemsResult)> done, const std::function<bool()>& begun);

    /// Brings an answer over the link. One that has not begun to arrive by `deadline` is lost, as the adapters give the call up.
    template <typename Result>
    void transfer(const Result& result, MonotonicInstant deadline, const std::function<void(Result)>& answer, const std::function<bool()>& begun);

    StoreModel& m_store;
    SimProcess& m_process;
    MonotonicInstant m_linkFreeAt;
};

} // namespace lanemoor::model
