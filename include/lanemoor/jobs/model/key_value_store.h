#pragma once
/// \file
/// Interface to the key-value store: conditional transactions, ranges, watches and leases.

#include "lanemoor/decisions/time.h"
#include "lanemoor/jobs/model/event_loop.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// Outcome of a call to the store.
enum class StoreOutcome {
    Done,
    Conflict, ///< A condition did not hold; nothing was written.
    NotFound, ///< No such key or lease.
    HistoryGone, ///< The watch starts at a revision that the store has compacted.
    NotDone, ///< Certainly not carried out: no connection, or the store refused the call.
    Unknown, ///< No usable answer; a write may have been carried out, or may be carried out later.
    Abandoned, ///< The store began to answer, and the caller declined the rest of the answer.
};

/// \returns A short name of `outcome` for logs and metrics.
[[nodiscard]] std::string_view nameOf(StoreOutcome outcome) noexcept;

/// A key with its value, or its removal.
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

/// Limit on the sum of a transaction's conditions, writes and removals.
constexpr std::size_t maxTransactionEntries = 32; // The platform's limit.

/// \brief An atomic transaction: the writes and removals are applied if every condition holds.
struct Transaction {
    std::vector<KeyRevision> expected;
    std::vector<StoreWrite> writes;
    std::vector<std::string> removals;

    [[nodiscard]] bool operator==(const Transaction&) const = default;
};

/// Result of a read of one key.
struct ReadResult {
    StoreOutcome outcome = StoreOutcome::Unknown;
    StoreItem item;
    std::uint64_t storeRevision = 0; ///< Revision of the whole store at the time of the read.
};

/// Result of a range or a watch.
struct ItemsResult {
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::vector<StoreItem> items; ///< In the order of keys (range) or of revisions (watch).
    bool more = false; ///< The range has more items after the last key.
    std::uint64_t storeRevision = 0; ///< The revision after which a watch continues.
};

/// A read of one document that may be large.
struct DocumentQuery {
    std::string key;
    std::uint64_t after = 0; ///< Only changes after this revision of the store; 0: the current document.
    std::uint64_t unlessRevision = 0; ///< Without `after`: nothing if the document was last changed at this revision; 0: always the document.
    Millis wait { 0 }; ///< With `after`: how long the store may wait for a change.
    Millis timeout { 1'000 }; ///< Timeout for the first bytes of the answer, in addition to `wait`.
    /// Called at most once, when a first part of the answer's body has arrived, but not all of it. \returns Whether to receive the rest;
    /// if false, the call ends with Abandoned. May be null.
    std::function<bool()> onBodyStart;
};

/// Result of a transaction.
struct CommitResult {
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::uint64_t revision = 0; ///< Revision of the writes, if done.
    std::vector<StoreItem> current; ///< After a conflict: the current items of the keys in the conditions.
    bool isInferred = false; ///< The outcome Done was inferred from the store's content; an equal earlier write may have produced it.
};

/// \returns The item of a key that exists, or null.
[[nodiscard]] inline const StoreItem* findExisting(const std::vector<StoreItem>& items, std::string_view key) noexcept
{
    const auto found = std::find_if(items.begin(), items.end(), [key](const StoreItem& item) { return item.key == key && item.revision > 0; });
    return found == items.end() ? nullptr : &*found;
}

/// Result of a call on a lease.
struct LeaseResult {
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::uint64_t lease = 0;
    Millis timeToLive { 0 }; ///< As set by the store; counts from the arrival of the call.
};

/// \brief The key-value store. Each callback is called exactly once, after the call has returned. An answer that begins to arrive
/// within the timeout is received as long as data keeps arriving.
class KeyValueStore {
public:
    virtual ~KeyValueStore() = default;

    virtual void read(const std::string& key, std::function<void(ReadResult)> done) = 0;

    /// \param afterKey The page starts after this key; empty: at the beginning.
    /// \param timeout Timeout for the answer, which has up to a megabyte.
    virtual void range(const std::string& prefix, const std::string& afterKey, Millis timeout, std::function<void(ItemsResult)> done) = 0;

    /// \brief Waits up to `wait` for changes under `prefix` after revision `after`.
    virtual void watch(const std::string& prefix, std::uint64_t after, Millis wait, std::function<void(ItemsResult)> done) = 0;

    /// \brief Reads a document. \param done Called with the document's changes in the order of revisions, or with the document alone. The
    /// result may include items whose keys begin with the document's key. With `unlessRevision`, `storeRevision` is not set.
    virtual void fetch(DocumentQuery query, std::function<void(ItemsResult)> done) = 0;

    virtual void commit(const Transaction& transaction, std::function<void(CommitResult)> done) = 0;

    virtual void grantLease(Millis timeToLive, std::function<void(LeaseResult)> done) = 0;

    virtual void renewLease(std::uint64_t lease, std::function<void(LeaseResult)> done) = 0;

    virtual void endLease(std::uint64_t lease, std::function<void(LeaseResult)> done) = 0;
};

} // namespace lanemoor::jobs
