#pragma once
/// \file
/// The store as the job service needs it: conditional transactions, ranges, watches and leases.

#include "lanemoor/decisions/time.h"
#include "lanemoor/jobs/model/event_loop.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// What came of a call to the store.
enum class StoreOutcome {
    Done,
    Conflict, ///< A condition did not hold; nothing was written.
    NotFound, ///< No such key or lease.
    HistoryGone, ///< A watch starts before what the store still remembers.
    NotDone, ///< Certainly not carried out: no connection, or the store refused the call.
    Unknown, ///< No usable answer; a write may have been carried out, or may be later.
    Abandoned, ///< The store answered, and the caller did not want the rest of the answer.
};

/// \returns A short name of `outcome` for logs and metrics.
[[nodiscard]] std::string_view nameOf(StoreOutcome outcome) noexcept;

/// A key with its value, or the news that it is gone.
struct StoreItem {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Of the last change to the key.
    std::uint64_t lease = 0; ///< 0: none.
    bool removed = false; ///< In events only.

    [[nodiscard]] bool operator==(const StoreItem&) const = default;
};

/// A condition: the key was last changed at `revision`; 0: the key is absent.
struct KeyRevision {
    std::string key;
    std::uint64_t revision = 0;

    [[nodiscard]] bool operator==(const KeyRevision&) const = default;
};

/// A value to be written, bound to `lease` unless that is 0.
struct StoreWrite {
    std::string key;
    std::string value;
    std::uint64_t lease = 0;

    [[nodiscard]] bool operator==(const StoreWrite&) const = default;
};

/// Entries of a transaction: conditions, writes and removals together.
constexpr std::size_t mostTransactionEntries = 32; // The platform's limit.

/// \brief All or nothing: the writes happen if every condition holds.
struct Transaction {
    std::vector<KeyRevision> expected;
    std::vector<StoreWrite> writes;
    std::vector<std::string> removals;

    [[nodiscard]] bool operator==(const Transaction&) const = default;
};

/// Answer to a read of one key.
struct ReadResult {
    StoreOutcome outcome = StoreOutcome::Unknown;
    StoreItem item;
    std::uint64_t storeRevision = 0; ///< Of the whole store at the time of the read.
};

/// Answer to a range or a watch.
struct ItemsResult {
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::vector<StoreItem> items; ///< In the order of keys (range) or of revisions (watch).
    bool more = false; ///< A range goes on after the last key.
    std::uint64_t storeRevision = 0; ///< Where a watch goes on.
};

/// A call for one document that may be large.
struct DocumentQuery {
    std::string key;
    std::uint64_t after = 0; ///< Only changes after this revision of the store; 0: the document as it is.
    std::uint64_t unless = 0; ///< Without `after`: nothing if the document's last change was this one; 0: the document in any case.
    Millis wait { 0 }; ///< With `after`: how long the store may wait for a change.
    Millis patience { 1'000 }; ///< Beyond `wait`, for the answer to begin.
    /// Called at most once, when the answer's body begins to arrive, unless all of it has come. \returns Whether the rest is wanted;
    /// otherwise the call ends as abandoned. May be null.
    std::function<bool()> begun;
};

/// Answer to a transaction.
struct CommitResult {
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::uint64_t revision = 0; ///< Of the writes, if done.
    std::vector<StoreItem> current; ///< After a conflict: the keys of the conditions as they are.
    bool isInferred = false; ///< Done by what the store holds: an equal write may have been carried out before this one was sent.
};

/// Answer to a call on a lease.
struct LeaseResult {
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::uint64_t lease = 0;
    Millis timeToLive { 0 }; ///< As the store set it; counts from the arrival of the call.
};

/// \brief The store. Each callback is called exactly once, never from within the call itself. An answer that has begun to arrive
/// in time is waited for as long as it keeps arriving.
class KeyValueStore {
public:
    virtual ~KeyValueStore() = default;

    virtual void read(const std::string& key, std::function<void(ReadResult)> done) = 0;

    /// \param afterKey The page starts behind this key; empty: at the beginning.
    /// \param patience The answer, of up to a megabyte, is waited for this long.
    virtual void range(const std::string& prefix, const std::string& afterKey, Millis patience, std::function<void(ItemsResult)> done) = 0;

    /// \brief Waits up to `wait` for changes under `prefix` after revision `after`.
    virtual void watch(const std::string& prefix, std::uint64_t after, Millis wait, std::function<void(ItemsResult)> done) = 0;

    /// \brief Reads a document. \param done With its changes in the order of revisions, or with the document alone. Items under longer
    /// keys that begin with its key may be among them. With `unless`, no revision of the store is told.
    virtual void fetch(DocumentQuery query, std::function<void(ItemsResult)> done) = 0;

    virtual void commit(const Transaction& transaction, std::function<void(CommitResult)> done) = 0;

    virtual void grantLease(Millis timeToLive, std::function<void(LeaseResult)> done) = 0;

    virtual void renewLease(std::uint64_t lease, std::function<void(LeaseResult)> done) = 0;

    virtual void endLease(std::uint64_t lease, std::function<void(LeaseResult)> done) = 0;
};

} // namespace lanemoor::jobs
