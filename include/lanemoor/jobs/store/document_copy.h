#pragma once
/// \file
/// A copy of one document of the store, with the proof of how old it may be.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/key_value_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lanemoor::jobs {

/// How a document is followed.
struct DocumentCopyOptions {
    std::string key;
    Millis checkEvery { 700 }; ///< Between two checks that the store holds no newer document.
    Millis overdueAfter { 250 }; ///< A check of whose answer nothing has come after this time is repeated once.
    Millis watchTime { 20'000 }; ///< A watch that hears nothing is asked again after this.
    Millis retryPause { 150 }; ///< Between calls that failed.
};

/// What a call asks the store.
enum class DocumentCall {
    Watch, ///< To answer as soon as the document changes.
    Read, ///< For the document.
    Compare, ///< For the document if it is a newer one than the copy.
};

/// \returns A short name of `call` for logs and metrics.
[[nodiscard]] std::string_view nameOf(DocumentCall call) noexcept;

/// A call that has ended.
struct DocumentReading {
    DocumentCall call = DocumentCall::Read;
    StoreOutcome outcome = StoreOutcome::Unknown;
    MonotonicInstant dueAt; ///< When it should have been sent; later than this it was sent if the event loop was busy.
    MonotonicInstant sentAt;
    MonotonicInstant endedAt;
    std::size_t bytes = 0; ///< Of keys and values that it brought.
    /// A revision that the store had not passed when the call was sent; 0: the answer tells none.
    std::uint64_t newRevision = 0;

    [[nodiscard]] bool operator==(const DocumentReading&) const = default;
};

/// Counts since the start.
struct DocumentCopyCounts {
    std::uint64_t watches = 0;
    std::uint64_t reads = 0;
    std::uint64_t comparisons = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t bytes = 0;

    [[nodiscard]] bool operator==(const DocumentCopyCounts&) const = default;
};

/// Who hears of the document. Both are called on the event loop.
struct DocumentObserver {
    std::function<void(const StoreItem&)> changed; ///< A newer document.
    std::function<void(const DocumentReading&)> ended; ///< A call ended; may be null.
};

/// \brief Follows one document of the store.
///
/// A watch brings changes. Beside it the store is asked every `checkEvery` whether it holds a newer document: a watch that hears
/// nothing can't be told from one that was cut silently. A large document is asked for on condition that it is newer, so that a
/// check that finds no change costs some hundred bytes.
///
/// A document may take longer over the machine's link than the time between two checks. So it is transferred once at a time:
/// while an answer arrives, nothing else is asked. A large answer of a watch may end before the newest version; checks then
/// follow each other until one finds nothing newer, and bring the newest version in place of all in between.
class DocumentCopy {
public:
    DocumentCopy(EventLoop& loop, KeyValueStore& store, DocumentCopyOptions options, DocumentObserver observer);
    ~DocumentCopy();
    DocumentCopy(const DocumentCopy&) = delete;
    DocumentCopy& operator=(const DocumentCopy&) = delete;

    /// \brief Begins to read.
    void start();

    /// \brief Asks the store now, unless a call that was sent later than `sentBefore` is under way. For the moment at which the
    /// store answers again.
    void checkNow(MonotonicInstant sentBefore);

    /// \returns The latest time at which the store is known to have held no newer document than the copy.
    [[nodiscard]] MonotonicInstant provenAt() const noexcept;

    /// \returns When the latest call that the store answered was sent.
    [[nodiscard]] MonotonicInstant answeredAt() const noexcept;

    [[nodiscard]] const DocumentCopyCounts& counts() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
