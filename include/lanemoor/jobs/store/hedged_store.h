#pragma once
/// \file
/// Repeats calls to the store whose answers are overdue.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/store/store_outage_options.h"

#include <cstdint>
#include <memory>

namespace lanemoor::jobs {

/// Outcomes of overdue calls.
struct HedgeCounts {
    std::uint64_t settled = 0; ///< A repeat was answered first.
    std::uint64_t confirmed = 0; ///< Reads showed that the transaction had been applied.
    std::uint64_t overtaken = 0; ///< The first try was answered before its repeats.
    std::uint64_t unanswered = 0; ///< No try was answered.
    std::uint64_t denied = 0; ///< The budget did not allow a repeat.

    [[nodiscard]] bool operator==(const HedgeCounts&) const = default;
};

/// \brief Decorates a store: an idempotent transaction or a read is sent again when its answer is overdue by the response times
/// observed so far, and the first usable answer counts.
///
/// A transaction is idempotent if each key that it writes has a condition on its own revision, and it removes nothing: it is
/// applied at most once, whichever try arrives first. After a repeat
/// - a conflict in which all written keys have this transaction's values, at one revision, counts as done if all other
///   conditions still hold; if one of those does not, the outcome is unknown;
/// - a refusal or an expired lease leaves the outcome unknown while an earlier try may have been applied.
///
/// The second repeat of a transaction reads back all that it writes, which settles it even if the answers to all writes are lost.
/// Ranges, watches, documents and calls on leases pass through: they are large, wait anyway, or are repeated by their callers.
class HedgedStore final : public KeyValueStore {
public:
    /// \param store Must outlive this object.
    HedgedStore(EventLoop& loop, KeyValueStore& store, StoreOutageOptions options);
    ~HedgedStore() override;
    HedgedStore(const HedgedStore&) = delete;
    HedgedStore& operator=(const HedgedStore&) = delete;

    void read(const std::string& key, std::function<void(ReadResult)> done) override;
    void range(const std::string& prefix, const std::string& afterKey, Millis timeout, std::function<void(ItemsResult)> done) override;
    void watch(const std::string& prefix, std::uint64_t after, Millis wait, std::function<void(ItemsResult)> done) override;
    void fetch(DocumentQuery query, std::function<void(ItemsResult)> done) override;
    void commit(const Transaction& transaction, std::function<void(CommitResult)> done) override;
    void grantLease(Millis timeToLive, std::function<void(LeaseResult)> done) override;
    void renewLease(std::uint64_t lease, std::function<void(LeaseResult)> done) override;
    void endLease(std::uint64_t lease, std::function<void(LeaseResult)> done) override;

    /// \brief Sends each waiting call once more without a token, if its last try was sent before `sentBefore`. For use when the
    /// store becomes available again: earlier tries would only end at their timeouts.
    void resendWaiting(MonotonicInstant sentBefore);

    [[nodiscard]] const HedgeCounts& counts() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

/// \returns Whether `transaction` is applied at most once, however often it is sent.
[[nodiscard]] bool isIdempotent(const Transaction& transaction);

} // namespace lanemoor::jobs
