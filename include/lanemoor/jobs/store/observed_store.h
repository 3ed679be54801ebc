#pragma once
/// \file
/// Derives the state of the store from the calls of this process, and reports its changes.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/model/store_condition.h"

#include <functional>
#include <memory>

namespace lanemoor {
class EventLog;
} // namespace lanemoor

namespace lanemoor::jobs {

/// Called on a change, after the callback of the call that showed it.
using StoreConditionObserver = std::function<void(const StoreCondition& from, const StoreCondition& to)>;

/// \brief Decorates a store: passes each call on, and derives the `StoreCondition` from the results of all calls. Each change is
/// logged as one line (`store-condition`).
class ObservedStore final : public KeyValueStore {
public:
    /// \param store Must outlive this object, as must `loop` and `log`.
    ObservedStore(EventLoop& loop, KeyValueStore& store, EventLog& log);
    ~ObservedStore() override;
    ObservedStore(const ObservedStore&) = delete;
    ObservedStore& operator=(const ObservedStore&) = delete;

    void read(const std::string& key, std::function<void(ReadResult)> done) override;
    void range(const std::string& prefix, const std::string& afterKey, Millis timeout, std::function<void(ItemsResult)> done) override;
    void watch(const std::string& prefix, std::uint64_t after, Millis wait, std::function<void(ItemsResult)> done) override;
    void fetch(DocumentQuery query, std::function<void(ItemsResult)> done) override;
    void commit(const Transaction& transaction, std::function<void(CommitResult)> done) override;
    void grantLease(Millis timeToLive, std::function<void(LeaseResult)> done) override;
    void renewLease(std::uint64_t lease, std::function<void(LeaseResult)> done) override;
    void endLease(std::uint64_t lease, std::function<void(LeaseResult)> done) override;

    /// \brief Adds an observer; all are called in the order in which they were added.
    void observe(StoreConditionObserver observer);

    /// \returns The current condition; never null.
    [[nodiscard]] std::shared_ptr<const StoreCondition> condition() const;

    /// \returns When the latest answered call was sent.
    [[nodiscard]] MonotonicInstant answeredAt() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
