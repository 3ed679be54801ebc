#include "lanemoor/jobs/store/document_replica.h"

#include "partial_batch.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// A document whose answer does not begin in this time is requested again. Links of small machines may carry other answers first.
constexpr Millis answerStartTimeout { 1'000 };
/// Smaller documents are read, not compared: a comparison transfers only some hundred bytes, but counts against the store's rate
/// limit of writes, and a read of a small document costs little more.
constexpr std::size_t minComparedBytes = 64 * 1024;
constexpr std::size_t maxPendingChecks = 2;

} // namespace

std::string_view nameOf(DocumentCall call) noexcept
{
    switch (call) {
    case DocumentCall::Watch:
        return "watch";
    case DocumentCall::Read:
        return "read";
    case DocumentCall::Compare:
        return "compare";
    }
    return "unknown";
}

class DocumentReplica::Impl : public std::enable_shared_from_this<DocumentReplica::Impl> {
public:
    Impl(EventLoop& loop, KeyValueStore& store, DocumentReplicaOptions options, DocumentObserver observer)
        : m_loop(loop)
        , m_store(store)
        , m_options(std::move(options))
        , m_observer(std::move(observer))
    {
    }

    void start()
    {
        check(m_loop.now());
        checkLater();
    }

    void stop() { m_stopped = true; }

    void checkNow(MonotonicInstant sentBefore)
    {
        if (m_lastSentAt < sentBefore && m_transfers == 0)
            check(m_loop.now());
    }

    MonotonicInstant provenAt;
    MonotonicInstant answeredAt;
    DocumentReplicaCounts counts;

private:
    /// A call in progress.
    struct PendingCall {
        DocumentCallResult callResult;
        std::uint64_t replicaRevision = 0; ///< Of the replica when the call was sent.
        bool hasBegun = false; ///< Its answer is arriving.
        bool hasEnded = false;
    };

    using PendingCallPointer = std::shared_ptr<PendingCall>;

    PendingCallPointer send(DocumentCall call, MonotonicInstant dueAt)
    {
        auto pending = std::make_shared<PendingCall>(PendingCall { .callResult = { .call = call, .dueAt = dueAt, .sentAt = m_loop.now(), .endedAt = {} }, .replicaRevision = m_revision });
        m_lastSentAt = pending->callResult.sentAt;
        DocumentQuery query { .key = m_options.key, .timeout = answerStartTimeout, .onBodyStart = [self = weak_from_this(), pending] {
                                 const auto impl = self.lock();
                                 return impl && impl->beginTransfer(*pending);
                             } };
        if (call == DocumentCall::Watch) {
            query.after = m_watchRevision;
            query.wait = m_options.watchTime;
        } else if (call == DocumentCall::Compare) {
            query.unlessRevision = m_revision;
        }
        m_store.fetch(std::move(query), [self = weak_from_this(), pending](const ItemsResult& result) {
            if (const auto impl = self.lock(); impl && !impl->m_stopped)
                impl->ended(*pending, result);
        });
        return pending;
    }

    /// Records that an answer begins to arrive. \returns Whether to read the rest: there is one transfer at a time, and an answer
    /// requested before the replica changed may bring nothing new.
    bool beginTransfer(PendingCall& pending)
    {
        if (m_transfers > 0 || pending.replicaRevision != m_revision)
            return false;
        pending.hasBegun = true;
        ++m_transfers;
        return true;
    }

    void watch()
    {
        if (std::exchange(m_isWatching, true))
            return;
        ++counts.watches;
        static_cast<void>(send(DocumentCall::Watch, m_loop.now()));
    }

    /// Requests the document if it is newer than the replica.
    void check(MonotonicInstant dueAt)
    {
        const bool compares = m_bytes >= minComparedBytes && m_isHistoryAvailable;
        ++(compares ? counts.comparisons : counts.reads);
        ++m_pendingChecks;
        const PendingCallPointer pending = send(compares ? DocumentCall::Compare : DocumentCall::Read, dueAt);
        after(m_options.overdueAfter, [this, pending] {
            if (!pending->hasBegun && !pending->hasEnded && m_pendingChecks < maxPendingChecks && m_transfers == 0)
                check(m_loop.now());
        });
    }

    void ended(PendingCall& pending, const ItemsResult& result)
    {
        DocumentCallResult& callResult = pending.callResult;
        pending.hasEnded = true;
        m_transfers -= pending.hasBegun ? 1 : 0;
        callResult.outcome = result.outcome;
        callResult.endedAt = m_loop.now();
        callResult.bytes = bytesOf(result.items);
        counts.bytes += callResult.bytes;
        if (callResult.call == DocumentCall::Watch)
            m_isWatching = false;
        else
            --m_pendingChecks;
        if (result.outcome == StoreOutcome::Done)
            applyAnswer(callResult, result);
        else if (result.outcome == StoreOutcome::Abandoned)
            sendNext();
        else
            retryLater(callResult);
        if (m_observer.ended)
            m_observer.ended(callResult);
    }

    void applyAnswer(DocumentCallResult& callResult, const ItemsResult& result)
    {
        answeredAt = std::max(answeredAt, callResult.sentAt);
        const bool isNew = applyItems(result.items);
        const bool isWatch = callResult.call == DocumentCall::Watch;
        const bool isPartial = isWatch && mayBePartialBatch(result);
        if (!isPartial) {
            provenAt = std::max(provenAt, callResult.sentAt);
            callResult.newRevision = result.storeRevision;
        }
        // In a burst of large changes there may be newer versions by now; the newest is read instead of each one.
        if (isWatch)
            m_isLagging = m_isLagging || isPartial;
        else
            m_isLagging = isNew && m_isLoaded && callResult.bytes >= minPartialBatchBytes;
        m_isLoaded = true;
        m_isHistoryAvailable = m_isHistoryAvailable || callResult.call == DocumentCall::Read;
        m_watchRevision = std::max({ m_watchRevision, result.storeRevision, m_revision });
        sendNext();
    }

    /// Sends the next call, unless an arriving answer determines it.
    void sendNext()
    {
        if (m_transfers > 0)
            return;
        if (!m_isLagging)
            watch();
        else if (m_pendingChecks == 0)
            check(m_loop.now());
    }

    void retryLater(const DocumentCallResult& callResult)
    {
        ++counts.unanswered;
        const bool isHistoryGone = callResult.outcome == StoreOutcome::HistoryGone;
        m_isLagging = m_isLagging || isHistoryGone;
        // A comparison returns no revision to watch from, and its answer may be lost while answers to reads arrive.
        const bool isUnsettled = callResult.call == DocumentCall::Compare && answeredAt < callResult.sentAt;
        if (isHistoryGone || isUnsettled)
            m_isHistoryAvailable = false;
        const MonotonicInstant dueAt = m_loop.now() + m_options.retryPause;
        after(m_options.retryPause, [this, dueAt, isWatch = callResult.call == DocumentCall::Watch] {
            if (m_transfers > 0)
                return;
            if (isWatch && !m_isLagging)
                watch();
            else if (m_pendingChecks == 0)
                check(dueAt);
        });
    }

    /// Applies `items`. \returns Whether one of them is a newer document.
    bool applyItems(const std::vector<StoreItem>& items)
    {
        bool isNew = false;
        for (const StoreItem& item : items) {
            if (item.key != m_options.key || item.revision <= m_revision)
                continue;
            m_revision = item.revision;
            m_bytes = item.value.size();
            isNew = true;
            if (!item.removed)
                m_observer.changed(item);
        }
        return isNew;
    }

    /// Schedules the next check regardless of the results of other calls. An arriving answer determines the next call instead.
    void checkLater()
    {
        const MonotonicInstant dueAt = m_loop.now() + m_options.checkEvery;
        after(m_options.checkEvery, [this, dueAt] {
            if (m_transfers == 0 && m_pendingChecks == 0)
                check(dueAt);
            checkLater();
        });
    }

    template <typename Step>
    void after(Millis pause, Step step)
    {
        m_loop.callAt(m_loop.now() + pause, [self = weak_from_this(), step = std::move(step)] {
            if (const auto impl = self.lock(); impl && !impl->m_stopped)
                step();
        });
    }

    EventLoop& m_loop;
    KeyValueStore& m_store;
    DocumentReplicaOptions m_options;
    DocumentObserver m_observer;
    std::uint64_t m_watchRevision = 0; ///< Every change up to this revision of the store has been received.
    std::uint64_t m_revision = 0; ///< Of the document's last change.
    std::size_t m_bytes = 0; ///< Of the document.
    MonotonicInstant m_lastSentAt; ///< Of the latest call of any kind.
    std::size_t m_transfers = 0; ///< Answers that are arriving.
    std::size_t m_pendingChecks = 0;
    bool m_isWatching = false; ///< A watch is in progress.
    bool m_isLagging = false; ///< Newer versions may exist: no watch is sent until a check has found none.
    /// Whether the store's history is expected to reach back to `m_watchRevision`. If not, a read comes first, since comparisons return no
    /// revision to watch from.
    bool m_isHistoryAvailable = false;
    bool m_isLoaded = false;
    bool m_stopped = false;
};

DocumentReplica::DocumentReplica(EventLoop& loop, KeyValueStore& store, DocumentReplicaOptions options, DocumentObserver observer)
    : m_impl(std::make_shared<Impl>(loop, store, std::move(options), std::move(observer)))
{
}

DocumentReplica::~DocumentReplica()
{
    m_impl->stop();
}

void DocumentReplica::start()
{
    m_impl->start();
}

void DocumentReplica::checkNow(MonotonicInstant sentBefore)
{
    m_impl->checkNow(sentBefore);
}

MonotonicInstant DocumentReplica::provenAt() const noexcept
{
    return m_impl->provenAt;
}

MonotonicInstant DocumentReplica::answeredAt() const noexcept
{
    return m_impl->answeredAt;
}

const DocumentReplicaCounts& DocumentReplica::counts() const noexcept
{
    return m_impl->counts;
}

} // namespace lanemoor::jobs
