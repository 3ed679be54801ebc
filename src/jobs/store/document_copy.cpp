#include "lanemoor/jobs/store/document_copy.h"

#include "answer_part.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// A document whose answer does not begin in this time is requested again. Links of small machines may carry other answers first.
constexpr Millis beginPatience { 1'000 };
/// Smaller documents are read, not compared: a comparison counts against the store's rate limit of writes, and a read transfers
/// little more than its some hundred bytes.
constexpr std::size_t comparedFrom = 64 * 1024;
constexpr std::size_t maxOpenChecks = 2;

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

class DocumentCopy::Impl : public std::enable_shared_from_this<DocumentCopy::Impl> {
public:
    Impl(EventLoop& loop, KeyValueStore& store, DocumentCopyOptions options, DocumentObserver observer)
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
    DocumentCopyCounts counts;

private:
    /// A call in progress.
    struct OpenCall {
        DocumentReading reading;
        std::uint64_t heldRevision = 0; ///< Of the replica when the call was sent.
        bool hasBegun = false; ///< Its answer is arriving.
        bool hasEnded = false;
    };

    using OpenCallPointer = std::shared_ptr<OpenCall>;

    OpenCallPointer send(DocumentCall call, MonotonicInstant dueAt)
    {
        auto open = std::make_shared<OpenCall>(OpenCall { .reading = { .call = call, .dueAt = dueAt, .sentAt = m_loop.now(), .endedAt = {} }, .heldRevision = m_revision });
        m_lastSentAt = open->reading.sentAt;
        DocumentQuery query { .key = m_options.key, .patience = beginPatience, .begun = [self = weak_from_this(), open] {
                                 const auto impl = self.lock();
                                 return impl && impl->beginTransfer(*open);
                             } };
        if (call == DocumentCall::Watch) {
            query.after = m_at;
            query.wait = m_options.watchTime;
        } else if (call == DocumentCall::Compare) {
            query.unless = m_revision;
        }
        m_store.fetch(std::move(query), [self = weak_from_this(), open](const ItemsResult& result) {
            if (const auto impl = self.lock(); impl && !impl->m_stopped)
                impl->ended(*open, result);
        });
        return open;
    }

    /// Records that an answer begins to arrive. \returns Whether to read the rest: there is one transfer at a time, and an answer
    /// requested before the replica changed may bring nothing new.
    bool beginTransfer(OpenCall& open)
    {
        if (m_transfers > 0 || open.heldRevision != m_revision)
            return false;
        open.hasBegun = true;
        ++m_transfers;
        return true;
    }

    void watch()
    {
        if (std::exchange(m_watches, true))
            return;
        ++counts.watches;
        static_cast<void>(send(DocumentCall::Watch, m_loop.now()));
    }

    /// Requests the document if it is newer than the replica.
    void check(MonotonicInstant dueAt)
    {
        const bool compares = m_bytes >= comparedFrom && m_knowsHistory;
        ++(compares ? counts.comparisons : counts.reads);
        ++m_openChecks;
        const OpenCallPointer open = send(compares ? DocumentCall::Compare : DocumentCall::Read, dueAt);
        after(m_options.overdueAfter, [this, open] {
            if (!open->hasBegun && !open->hasEnded && m_openChecks < maxOpenChecks && m_transfers == 0)
                check(m_loop.now());
        });
    }

    void ended(OpenCall& open, const ItemsResult& result)
    {
        DocumentReading& reading = open.reading;
        open.hasEnded = true;
        m_transfers -= open.hasBegun ? 1 : 0;
        reading.outcome = result.outcome;
        reading.endedAt = m_loop.now();
        reading.bytes = bytesOf(result.items);
        counts.bytes += reading.bytes;
        if (reading.call == DocumentCall::Watch)
            m_watches = false;
        else
            --m_openChecks;
        if (result.outcome == StoreOutcome::Done)
            take(reading, result);
        else if (result.outcome == StoreOutcome::Abandoned)
            askNext();
        else
            fail(reading);
        if (m_observer.ended)
            m_observer.ended(reading);
    }

    void take(DocumentReading& reading, const ItemsResult& result)
    {
        answeredAt = std::max(answeredAt, reading.sentAt);
        const bool isNew = note(result.items);
        const bool isWatch = reading.call == DocumentCall::Watch;
        const bool isPart = isWatch && mayBeAnswerPart(result);
        if (!isPart) {
            provenAt = std::max(provenAt, reading.sentAt);
            reading.newRevision = result.storeRevision;
        }
        // In a burst of large changes there may be newer versions by now; the newest is read instead of each one.
        if (isWatch)
            m_isBehind = m_isBehind || isPart;
        else
            m_isBehind = isNew && m_isLoaded && reading.bytes >= bytesOfAnswerPart;
        m_isLoaded = true;
        m_knowsHistory = m_knowsHistory || reading.call == DocumentCall::Read;
        m_at = std::max({ m_at, result.storeRevision, m_revision });
        askNext();
    }

    /// Sends the next call, unless an arriving answer determines it.
    void askNext()
    {
        if (m_transfers > 0)
            return;
        if (!m_isBehind)
            watch();
        else if (m_openChecks == 0)
            check(m_loop.now());
    }

    void fail(const DocumentReading& reading)
    {
        ++counts.unanswered;
        const bool isHistoryGone = reading.outcome == StoreOutcome::HistoryGone;
        m_isBehind = m_isBehind || isHistoryGone;
        // A comparison returns no revision to watch from, and its answer may be lost while answers to reads arrive.
        const bool isUnsettled = reading.call == DocumentCall::Compare && answeredAt < reading.sentAt;
        if (isHistoryGone || isUnsettled)
            m_knowsHistory = false;
        const MonotonicInstant dueAt = m_loop.now() + m_options.retryPause;
        after(m_options.retryPause, [this, dueAt, isWatch = reading.call == DocumentCall::Watch] {
            if (m_transfers > 0)
                return;
            if (isWatch && !m_isBehind)
                watch();
            else if (m_openChecks == 0)
                check(dueAt);
        });
    }

    /// Applies `items`. \returns Whether one of them is a newer document.
    bool note(const std::vector<StoreItem>& items)
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
            if (m_transfers == 0 && m_openChecks == 0)
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
    DocumentCopyOptions m_options;
    DocumentObserver m_observer;
    std::uint64_t m_at = 0; ///< Every change up to this revision of the store has been received.
    std::uint64_t m_revision = 0; ///< Of the document's last change.
    std::size_t m_bytes = 0; ///< Of the document.
    MonotonicInstant m_lastSentAt; ///< Of the latest call of any kind.
    std::size_t m_transfers = 0; ///< Answers that are arriving.
    std::size_t m_openChecks = 0;
    bool m_watches = false; ///< A watch is in progress.
    bool m_isBehind = false; ///< Newer versions may exist: no watch is sent until a check has found none.
    /// Whether the store's history is expected to reach back to `m_at`. If not, a read comes first, since comparisons return no
    /// revision to watch from.
    bool m_knowsHistory = false;
    bool m_isLoaded = false;
    bool m_stopped = false;
};

DocumentCopy::DocumentCopy(EventLoop& loop, KeyValueStore& store, DocumentCopyOptions options, DocumentObserver observer)
    : m_impl(std::make_shared<Impl>(loop, store, std::move(options), std::move(observer)))
{
}

DocumentCopy::~DocumentCopy()
{
    m_impl->stop();
}

void DocumentCopy::start()
{
    m_impl->start();
}

void DocumentCopy::checkNow(MonotonicInstant sentBefore)
{
    m_impl->checkNow(sentBefore);
}

MonotonicInstant DocumentCopy::provenAt() const noexcept
{
    return m_impl->provenAt;
}

MonotonicInstant DocumentCopy::answeredAt() const noexcept
{
    return m_impl->answeredAt;
}

const DocumentCopyCounts& DocumentCopy::counts() const noexcept
{
    return m_impl->counts;
}

} // namespace lanemoor::jobs
