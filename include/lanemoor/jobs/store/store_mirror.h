#pragma once
/// \file
/// A copy of all keys under a prefix, kept up to date by a watch.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/key_value_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lanemoor::jobs {

/// How a mirror reads its prefix.
struct StoreMirrorOptions {
    std::string prefix;
    Millis watchTime { 2'000 }; ///< A watch that hears nothing is asked again after this.
    Millis retryPause { 200 }; ///< Between calls that failed.
    Millis leastGap { 0 }; ///< Between two watches: each call is paid for, so changes travel together.
    bool resumesImmediately = false; ///< Polls again without delay after a truncated batch; false: a lag is accepted.
};

/// What a mirror has read, for logs and metrics.
struct StoreMirrorCounts {
    std::uint64_t answers = 0; ///< Of watches.
    std::uint64_t changes = 0; ///< That these brought.
    std::uint64_t parts = 0; ///< Answers that may have brought a part of the changes.

    [[nodiscard]] bool operator==(const StoreMirrorCounts&) const = default;
};

/// Tells what became of one key. `removed` items carry the key only.
using ItemObserver = std::function<void(const StoreItem&)>;

/// \brief Lists a prefix, then watches it; after a cut or lost history it lists again.
///
/// The observer hears each change once, in the order of revisions, also those that a second
/// listing brings. Changes that this process wrote itself can be told ahead by `noteWritten`.
///
/// One answer of a watch brings some hundred changes at the most. An answer that may be a part proves only how far the copy
/// reaches, not that it is fresh: that is then proved by revisions of the whole store that other calls told
/// (`noteStoreRevision`), once the copy has reached them.
class StoreMirror {
public:
    StoreMirror(EventLoop& loop, KeyValueStore& store, StoreMirrorOptions options, ItemObserver observer);
    ~StoreMirror();
    StoreMirror(const StoreMirror&) = delete;
    StoreMirror& operator=(const StoreMirror&) = delete;

    /// \brief Begins to list and to watch.
    void start();

    /// \brief Stops to watch: the copy stays as it is and grows old.
    void pause();

    /// \brief Lists and watches again, or for the first time. \param done Called once the copy holds all
    /// that the store held when this was called, unless it is paused before.
    void resume(std::function<void()> done);

    /// \brief Sets the least time between two watches, how long a watch waits for a change, and whether the next one follows a
    /// truncated batch without delay; a pause under way is cut short.
    void setPace(Millis leastGap, Millis watchTime, bool resumesImmediately);

    /// \brief Sends the call that is under way, or that waits for its retry, again at once if it was sent before `sentBefore`. For
    /// the moment at which the store answers again.
    void retryNow(MonotonicInstant sentBefore);

    /// \returns Whether a listing has been completed.
    [[nodiscard]] bool isLoaded() const noexcept;

    /// \returns The revision up to which every change has been heard.
    [[nodiscard]] std::uint64_t revision() const noexcept;

    /// \returns The time as of which the copy holds all that the store held.
    [[nodiscard]] MonotonicInstant freshAt() const noexcept;

    /// \returns When the store last answered a list or a watch, counted from before the call. The copy may be older.
    [[nodiscard]] MonotonicInstant answeredAt() const noexcept;

    /// \brief Notes that the store stood at `revision` or before when a call was sent at `askedAt`.
    void noteStoreRevision(std::uint64_t revision, MonotonicInstant askedAt);

    [[nodiscard]] const StoreMirrorCounts& counts() const noexcept;

    /// \returns Revision of `key`, or 0 if it is absent.
    [[nodiscard]] std::uint64_t revisionOf(const std::string& key) const;

    /// \brief Calls `reached` once every change up to `revision` has been heard.
    void whenAt(std::uint64_t revision, std::function<void()> reached);

    /// \brief Notes what this process wrote or read, ahead of the watch.
    void noteWritten(const StoreItem& item);

    /// \brief Forgets all keys, without notice to the observer. Only for a copy that is not watched.
    void clear();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
