#pragma once
/// \file
/// A replica of one document of the store, with a bound on its age.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/key_value_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lanemoor::jobs {

/// Options of a replica.
struct DocumentReplicaOptions {
    std::string key;
    Millis checkEvery { 700 }; ///< Between two checks for a newer document.
    Millis overdueAfter { 250 }; ///< A check whose answer has not begun after this time is repeated once.
    Millis watchTime { 20'000 }; ///< How long a watch waits for a change before it is renewed.
    Millis retryPause { 150 }; ///< After a failed call.
};

/// Kinds of calls for the document.
enum class DocumentCall {
    Watch, ///< Answered as soon as the document changes.
    Read, ///< Answered with the document.
    Compare, ///< Answered with the document only if it is newer than the replica.
};

/// \returns A short name of `call` for logs and metrics.
[[nodiscard]] std::string_view nameOf(DocumentCall call) noexcept;

/// Result of a call.
struct DocumentCallResult {
    DocumentCall call = DocumentCall::Read;
    StoreOutcome outcome = StoreOutcome::Unknown;
    MonotonicInstant dueAt; ///< When the call was due; `sentAt` is later if the event loop was busy.
    MonotonicInstant sentAt;
    MonotonicInstant endedAt;
    std::size_t bytes = 0; ///< Of the keys and values in the answer.
    /// Upper bound of the store's revision when the call was sent; 0: the answer contains no such bound.
    std::uint64_t newRevision = 0;

    [[nodiscard]] bool operator==(const DocumentCallResult&) const = default;
};

/// Counts since the start.
struct DocumentReplicaCounts {
    std::uint64_t watches = 0;
    std::uint64_t reads = 0;
    std::uint64_t comparisons = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t bytes = 0;

    [[nodiscard]] bool operator==(const DocumentReplicaCounts&) const = default;
};

/// Callbacks of a replica, called on the event loop.
struct DocumentObserver {
    std::function<void(const StoreItem&)> changed; ///< Called with each newer document.
    std::function<void(const DocumentCallResult&)> ended; ///< Called when a call ends; may be null.
};

/// \brief Keeps a replica of one document of the store up to date.
///
/// A watch delivers changes. In addition the replica checks for a newer document every `checkEvery`, because an idle watch can't
/// be distinguished from one whose connection was lost without an error. Checks of a large document are conditional on a newer
/// revision, so that a check without a change transfers some hundred bytes.
///
/// The transfer of a document may take longer than the time between two checks. So there is one transfer at a time, and no call is
/// sent while an answer arrives. A large answer to a watch may end before the newest version; the replica then checks repeatedly
/// until there is nothing newer, which skips the versions in between.
class DocumentReplica {
public:
    DocumentReplica(EventLoop& loop, KeyValueStore& store, DocumentReplicaOptions options, DocumentObserver observer);
    ~DocumentReplica();
    DocumentReplica(const DocumentReplica&) = delete;
    DocumentReplica& operator=(const DocumentReplica&) = delete;

    /// \brief Starts to read and to watch the document.
    void start();

    /// \brief Checks at once, unless a call was sent at or after `sentBefore` or an answer is arriving. For use when the store
    /// becomes available again.
    void checkNow(MonotonicInstant sentBefore);

    /// \returns The latest time at which the replica is known to have been current.
    [[nodiscard]] MonotonicInstant provenAt() const noexcept;

    /// \returns When the latest answered call was sent.
    [[nodiscard]] MonotonicInstant answeredAt() const noexcept;

    [[nodiscard]] const DocumentReplicaCounts& counts() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
