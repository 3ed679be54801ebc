#pragma once
/// \file
/// A watch cache of all keys under a prefix.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/key_value_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lanemoor::jobs {

/// Options of a mirror.
struct StoreMirrorOptions {
    std::string prefix;
    Millis watchTime { 2'000 }; ///< How long a watch waits for a change before it is renewed.
    Millis retryPause { 200 }; ///< After a failed call.
    Millis minWatchGap { 0 }; ///< Minimum time between two watches: each call has a cost, so changes are batched.
    bool resumesImmediately = false; ///< Watches again without delay after a partial batch; false: a lag is accepted.
};

/// Counts of a mirror, for logs and metrics.
struct StoreMirrorCounts {
    std::uint64_t answers = 0; ///< Answers to watches.
    std::uint64_t changes = 0; ///< Changes in these answers.
    std::uint64_t partialBatches = 0; ///< Answers that may have been a partial batch of the changes.

    [[nodiscard]] bool operator==(const StoreMirrorCounts&) const = default;
};

/// Called with each change of a key. `removed` items carry the key only.
using ItemObserver = std::function<void(const StoreItem&)>;

/// \brief Lists a prefix, then watches it. Lists again on `resume`, or when the store's history no longer reaches back far enough.
///
/// The observer is notified of each change once, in the order of revisions, including changes found by a second
/// listing. Writes of this process can be applied ahead of the watch by `noteWritten`.
///
/// An answer to a watch holds some hundred changes at most. A partial batch shows only how far the mirror has read, not that it
/// is fresh. Freshness then follows from revisions of the whole store that other calls reported (`noteStoreRevision`), once the
/// mirror has reached them.
class StoreMirror {
public:
    StoreMirror(EventLoop& loop, KeyValueStore& store, StoreMirrorOptions options, ItemObserver observer);
    ~StoreMirror();
    StoreMirror(const StoreMirror&) = delete;
    StoreMirror& operator=(const StoreMirror&) = delete;

    /// \brief Starts to list and to watch.
    void start();

    /// \brief Stops watching: the mirror keeps its content, which becomes stale.
    void pause();

    /// \brief Lists and watches again, or for the first time. \param done Called once the mirror holds all
    /// that the store held at the time of this call, unless the mirror is paused before.
    void resume(std::function<void()> done);

    /// \brief Sets the minimum time between two watches, how long a watch waits for a change, and whether the next one follows a
    /// partial batch without delay. Ends a current wait between two watches.
    void setWatchOptions(Millis minWatchGap, Millis watchTime, bool resumesImmediately);

    /// \brief Resends the current call, or the one that waits for its retry, at once if it was sent before `sentBefore`. For use
    /// when the store becomes available again.
    void retryNow(MonotonicInstant sentBefore);

    /// \returns Whether a listing has been completed.
    [[nodiscard]] bool isLoaded() const noexcept;

    /// \returns The revision up to which every change has been received.
    [[nodiscard]] std::uint64_t revision() const noexcept;

    /// \returns The time as of which the mirror holds all that the store held.
    [[nodiscard]] MonotonicInstant freshAt() const noexcept;

    /// \returns When the latest answered listing or watch was sent. The content may be older.
    [[nodiscard]] MonotonicInstant answeredAt() const noexcept;

    /// \brief Records that the store was at `revision` or an earlier one when a call was sent at `askedAt`.
    void noteStoreRevision(std::uint64_t revision, MonotonicInstant askedAt);

    [[nodiscard]] const StoreMirrorCounts& counts() const noexcept;

    /// \returns Revision of `key`, or 0 if it is absent.
    [[nodiscard]] std::uint64_t revisionOf(const std::string& key) const;

    /// \brief Calls `reached` once every change up to `revision` has been received.
    void whenRevisionReached(std::uint64_t revision, std::function<void()> reached);

    /// \brief Applies an item that this process wrote or read, ahead of the watch.
    void noteWritten(const StoreItem& item);

    /// \brief Removes all keys without notifying the observer. Only for a mirror that is not watching.
    void clear();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
