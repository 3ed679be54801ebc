#include "lanemoor/jobs/store/store_mirror.h"

#include "partial_batch.h"

#include <algorithm>
#include <deque>
#include <set>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

namespace {

/// A page of 1 MB takes 1.1 s over a link of 10 Mbit/s; on most links an answer that takes longer than the minimum is lost.
constexpr Millis minPageTimeout { 1'000 };
constexpr Millis maxPageTimeout { 4'000 };

/// After an outage, an idle watch should soon confirm that the mirror is fresh: the owner starts no task before that.
constexpr Millis maxWatchTimeAfterOutage { 20 };

/// An upper bound of the store's revision at a time.
struct RevisionBound {
    std::uint64_t revision = 0;
    MonotonicInstant at;
};

/// Minimum time between two recorded bounds; more frequent ones hardly improve the known age.
constexpr Millis minBoundGap { 20 };
constexpr std::size_t maxBounds = 128;

} // namespace

class StoreMirror::Impl : public std::enable_shared_from_this<StoreMirror::Impl> {
public:
    Impl(EventLoop& loop, KeyValueStore& store, StoreMirrorOptions options, ItemObserver observer)
        : m_loop(loop)
        , m_store(store)
        , m_options(std::move(options))
        , m_observer(std::move(observer))
    {
    }

    /// Starts a new generation: answers to calls of earlier ones are ignored.
    void stop()
    {
        ++m_generation;
        m_call = Call::None;
        m_loop.cancel(m_gapTimer);
        m_gapTimer = 0;
        m_whenListed = nullptr;
    }

    void resume(std::function<void()> done)
    {
        stop();
        m_whenListed = std::move(done);
        list();
    }

    void setWatchOptions(Millis minWatchGap, Millis watchTime, bool resumesImmediately)
    {
        m_options.resumesImmediately = resumesImmediately;
        m_options.minWatchGap = minWatchGap;
        m_options.watchTime = watchTime;
        if (m_gapTimer == 0)
            return;
        m_loop.cancel(m_gapTimer);
        m_gapTimer = 0;
        watch();
    }

    void list()
    {
        m_listed.clear();
        m_listRevision = 0;
        m_listStart = m_loop.now();
        m_listedUpTo.clear();
        m_pageTimeout = minPageTimeout;
        listPage();
    }

    void retryNow(MonotonicInstant sentBefore)
    {
        if (m_call == Call::None || m_gapTimer != 0 || m_callSentAt >= sentBefore)
            return;
        ++m_generation;
        if (m_call == Call::List)
            listPage();
        else
            watchFor(std::min(m_options.watchTime, maxWatchTimeAfterOutage));
    }

    void noteStoreRevision(std::uint64_t storeRevision, MonotonicInstant askedAt)
    {
        if (storeRevision == 0 || askedAt <= freshAt)
            return;
        if (storeRevision <= m_watchRevision) {
            freshAt = askedAt;
            return;
        }
        if (m_bounds.size() == maxBounds || (!m_bounds.empty() && askedAt < m_bounds.back().at + minBoundGap))
            return;
        m_bounds.push_back({ storeRevision, askedAt });
    }

    bool loaded = false;
    std::uint64_t revision = 0;
    MonotonicInstant freshAt;
    MonotonicInstant answeredAt;
    StoreMirrorCounts counts;
    std::map<std::string, std::uint64_t> revisions;
    std::multimap<std::uint64_t, std::function<void()>> revisionWaiters;

    void applyItem(const StoreItem& item)
    {
        const auto known = revisions.find(item.key);
        if (known != revisions.end() && known->second >= item.revision)
            return;
        if (item.removed)
            revisions.erase(item.key);
        else
            revisions[item.key] = item.revision;
        m_observer(item);
    }

    void advance(std::uint64_t to)
    {
        if (to > revision)
            revision = to;
        while (!revisionWaiters.empty() && revisionWaiters.begin()->first <= revision) {
            const std::function<void()> reached = std::move(revisionWaiters.begin()->second);
            revisionWaiters.erase(revisionWaiters.begin());
            reached();
        }
    }

private:
    /// The current call, or the last one.
    enum class Call {
        None,
        List,
        Watch,
    };

    void retryLater(void (Impl::*step)())
    {
        m_loop.callAt(m_loop.now() + m_options.retryPause, [self = weak_from_this(), generation = m_generation, step] {
            if (const auto impl = self.lock(); impl && impl->m_generation == generation)
                (impl.get()->*step)();
        });
    }

    void listPage()
    {
        m_call = Call::List;
        m_callSentAt = m_loop.now();
        m_store.range(m_options.prefix, m_listedUpTo, m_pageTimeout, [self = weak_from_this(), generation = m_generation](const ItemsResult& result) {
            if (const auto impl = self.lock(); impl && impl->m_generation == generation)
                impl->listed(result);
        });
    }

    void listed(const ItemsResult& result)
    {
        // Only the failed page is read again: over a slow link, a listing that restarts after each failure may never complete.
        if (result.outcome != StoreOutcome::Done) {
            m_pageTimeout = std::min(2 * m_pageTimeout, maxPageTimeout);
            retryLater(&Impl::listPage);
            return;
        }
        m_pageTimeout = std::max(m_pageTimeout / 2, minPageTimeout);
        // Pages are no snapshot: the watch starts at the revision of the first page.
        if (m_listRevision == 0)
            m_listRevision = result.storeRevision;
        for (const StoreItem& item : result.items)
            m_listed.push_back(item);
        if (result.more && !result.items.empty()) {
            m_listedUpTo = result.items.back().key;
            listPage();
            return;
        }
        applyListing();
        loaded = true;
        freshAt = m_listStart;
        answeredAt = m_listStart;
        m_bounds.clear();
        m_watchRevision = m_listRevision;
        advance(m_listRevision);
        const std::uint64_t generation = m_generation;
        if (const std::function<void()> done = std::exchange(m_whenListed, nullptr))
            done();
        if (generation == m_generation)
            watch();
    }

    /// Removes known keys that are not listed, unless they were written since.
    void applyListing()
    {
        std::set<std::string> present;
        for (const StoreItem& item : m_listed)
            present.insert(item.key);
        std::vector<std::string> gone;
        for (const auto& [key, keyRevision] : revisions) {
            if (!present.contains(key) && keyRevision <= m_listRevision)
                gone.push_back(key);
        }
        for (const std::string& key : gone)
            applyItem({ .key = key, .value = {}, .revision = m_listRevision + 1, .removed = true });
        for (const StoreItem& item : m_listed)
            applyItem(item);
        m_listed.clear();
    }

    void watchAfterGap()
    {
        const MonotonicInstant earliest = m_callSentAt + m_options.minWatchGap;
        if (m_loop.now() >= earliest) {
            watch();
            return;
        }
        m_gapTimer = m_loop.callAt(earliest, [self = weak_from_this(), generation = m_generation] {
            const auto impl = self.lock();
            if (!impl || impl->m_generation != generation)
                return;
            impl->m_gapTimer = 0;
            impl->watch();
        });
    }

    void watch() { watchFor(m_options.watchTime); }

    void watchFor(Millis wait)
    {
        const MonotonicInstant sentAt = m_loop.now();
        m_call = Call::Watch;
        m_callSentAt = sentAt;
        m_store.watch(m_options.prefix, m_watchRevision, wait, [self = weak_from_this(), sentAt, generation = m_generation](const ItemsResult& result) {
            if (const auto impl = self.lock(); impl && impl->m_generation == generation)
                impl->watched(result, sentAt);
        });
    }

    void watched(const ItemsResult& result, MonotonicInstant sentAt)
    {
        if (result.outcome == StoreOutcome::HistoryGone) {
            list();
            return;
        }
        if (result.outcome != StoreOutcome::Done) {
            retryLater(&Impl::watch);
            return;
        }
        for (const StoreItem& item : result.items)
            applyItem(item);
        answeredAt = sentAt;
        if (result.storeRevision > m_watchRevision)
            m_watchRevision = result.storeRevision;
        const bool isPartial = mayBePartialBatch(result);
        ++counts.answers;
        counts.changes += result.items.size();
        counts.partialBatches += isPartial ? 1 : 0;
        if (!isPartial)
            freshAt = sentAt;
        applyBounds();
        const std::uint64_t generation = m_generation;
        advance(m_watchRevision);
        if (generation != m_generation)
            return;
        if (isPartial && m_options.resumesImmediately)
            watch();
        else
            watchAfterGap();
    }

    /// The mirror is as fresh as the newest bound that it has reached.
    void applyBounds()
    {
        while (!m_bounds.empty() && m_bounds.front().revision <= m_watchRevision) {
            freshAt = std::max(freshAt, m_bounds.front().at);
            m_bounds.pop_front();
        }
    }

    EventLoop& m_loop;
    KeyValueStore& m_store;
    StoreMirrorOptions m_options;
    ItemObserver m_observer;
    std::vector<StoreItem> m_listed;
    Millis m_pageTimeout = minPageTimeout; ///< Doubled after each failed page, halved after each received one.
    std::string m_listedUpTo; ///< Last key of the pages listed so far.
    std::uint64_t m_listRevision = 0;
    MonotonicInstant m_listStart;
    TimerId m_gapTimer = 0;
    Call m_call = Call::None;
    MonotonicInstant m_callSentAt;
    std::uint64_t m_watchRevision = 0; ///< Where the next watch continues.
    std::deque<RevisionBound> m_bounds; ///< Not reached yet, oldest first.
    std::uint64_t m_generation = 0; ///< Of the calls in progress.
    std::function<void()> m_whenListed;
};

StoreMirror::StoreMirror(EventLoop& loop, KeyValueStore& store, StoreMirrorOptions options, ItemObserver observer)
    : m_impl(std::make_shared<Impl>(loop, store, std::move(options), std::move(observer)))
{
}

StoreMirror::~StoreMirror()
{
    m_impl->stop();
}

void StoreMirror::start()
{
    m_impl->list();
}

void StoreMirror::pause()
{
    m_impl->stop();
}

void StoreMirror::resume(std::function<void()> done)
{
    m_impl->resume(std::move(done));
}

void StoreMirror::retryNow(MonotonicInstant sentBefore)
{
    m_impl->retryNow(sentBefore);
}

void StoreMirror::setWatchOptions(Millis minWatchGap, Millis watchTime, bool resumesImmediately)
{
    m_impl->setWatchOptions(minWatchGap, watchTime, resumesImmediately);
}

bool StoreMirror::isLoaded() const noexcept
{
    return m_impl->loaded;
}

std::uint64_t StoreMirror::revision() const noexcept
{
    return m_impl->revision;
}

MonotonicInstant StoreMirror::freshAt() const noexcept
{
    return m_impl->freshAt;
}

MonotonicInstant StoreMirror::answeredAt() const noexcept
{
    return m_impl->answeredAt;
}

void StoreMirror::noteStoreRevision(std::uint64_t revision, MonotonicInstant askedAt)
{
    m_impl->noteStoreRevision(revision, askedAt);
}

const StoreMirrorCounts& StoreMirror::counts() const noexcept
{
    return m_impl->counts;
}

std::uint64_t StoreMirror::revisionOf(const std::string& key) const
{
    const auto found = m_impl->revisions.find(key);
    return found == m_impl->revisions.end() ? 0 : found->second;
}

void StoreMirror::whenRevisionReached(std::uint64_t revision, std::function<void()> reached)
{
    m_impl->revisionWaiters.emplace(revision, std::move(reached));
    m_impl->advance(m_impl->revision);
}

void StoreMirror::noteWritten(const StoreItem& item)
{
    m_impl->applyItem(item);
}

void StoreMirror::clear()
{
    m_impl->revisions.clear();
}

} // namespace lanemoor::jobs
