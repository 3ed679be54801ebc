#include "lanemoor/jobs/store/observed_store.h"

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/store/store_condition_tracker.h"

#include <utility>
#include <vector>

namespace lanemoor::jobs {

class ObservedStore::Impl : public std::enable_shared_from_this<ObservedStore::Impl> {
public:
    Impl(EventLoop& loop, KeyValueStore& decorated, EventLog& log)
        : store(decorated)
        , tracker(loop.now())
        , current(std::make_shared<const StoreCondition>(tracker.condition()))
        , m_loop(loop)
        , m_log(log)
    {
    }

    /// \returns `done`, wrapped so that the result of the call is recorded after it.
    template <typename Result>
    std::function<void(Result)> wrapCallback(StoreCallKind kind, std::function<void(Result)> done)
    {
        return [self = weak_from_this(), kind, sentAt = m_loop.now(), done = std::move(done)](Result result) {
            const StoreOutcome outcome = result.outcome;
            done(std::move(result));
            if (const auto impl = self.lock())
                impl->note(kind, outcome, sentAt);
        };
    }

    KeyValueStore& store;
    StoreConditionTracker tracker;
    std::shared_ptr<const StoreCondition> current;
    std::vector<StoreConditionObserver> observers;

private:
    void note(StoreCallKind kind, StoreOutcome outcome, MonotonicInstant sentAt)
    {
        const MonotonicInstant now = m_loop.now();
        if (!tracker.note(kind, outcome, sentAt, now))
            return;
        const std::shared_ptr<const StoreCondition> from = std::exchange(current, std::make_shared<const StoreCondition>(tracker.condition()));
        const auto since = [&](MonotonicInstant at) { return std::chrono::duration_cast<Millis>(now - at).count(); };
        m_log.change("store-condition",
            { { "from", std::string(nameOf(from->state)) }, { "to", std::string(nameOf(current->state)) }, { "evidence", std::string(nameOf(kind)) + ' ' + std::string(nameOf(outcome)) }, { "age_ms", since(sentAt) }, { "lasted_ms", since(from->since) } });
        for (const StoreConditionObserver& observer : observers)
            observer(*from, *current);
    }

    EventLoop& m_loop;
    EventLog& m_log;
};

ObservedStore::ObservedStore(EventLoop& loop, KeyValueStore& store, EventLog& log)
    : m_impl(std::make_shared<Impl>(loop, store, log))
{
}

ObservedStore::~ObservedStore() = default;

void ObservedStore::read(const std::string& key, std::function<void(ReadResult)> done)
{
    m_impl->store.read(key, m_impl->wrapCallback(StoreCallKind::Read, std::move(done)));
}

void ObservedStore::range(const std::string& prefix, const std::string& afterKey, Millis timeout, std::function<void(ItemsResult)> done)
{
    m_impl->store.range(prefix, afterKey, timeout, m_impl->wrapCallback(StoreCallKind::Read, std::move(done)));
}

void ObservedStore::watch(const std::string& prefix, std::uint64_t after, Millis wait, std::function<void(ItemsResult)> done)
{
    m_impl->store.watch(prefix, after, wait, m_impl->wrapCallback(StoreCallKind::Read, std::move(done)));
}

void ObservedStore::fetch(DocumentQuery query, std::function<void(ItemsResult)> done)
{
    // A conditional fetch is sent as a transaction, which counts as a write.
    const StoreCallKind kind = query.unlessRevision > 0 ? StoreCallKind::Write : StoreCallKind::Read;
    m_impl->store.fetch(std::move(query), m_impl->wrapCallback(kind, std::move(done)));
}

void ObservedStore::commit(const Transaction& transaction, std::function<void(CommitResult)> done)
{
    m_impl->store.commit(transaction, m_impl->wrapCallback(StoreCallKind::Write, std::move(done)));
}

void ObservedStore::grantLease(Millis timeToLive, std::function<void(LeaseResult)> done)
{
    m_impl->store.grantLease(timeToLive, m_impl->wrapCallback(StoreCallKind::Write, std::move(done)));
}

void ObservedStore::renewLease(std::uint64_t lease, std::function<void(LeaseResult)> done)
{
    m_impl->store.renewLease(lease, m_impl->wrapCallback(StoreCallKind::Write, std::move(done)));
}

void ObservedStore::endLease(std::uint64_t lease, std::function<void(LeaseResult)> done)
{
    m_impl->store.endLease(lease, m_impl->wrapCallback(StoreCallKind::Write, std::move(done)));
}

void ObservedStore::observe(StoreConditionObserver observer)
{
    m_impl->observers.push_back(std::move(observer));
}

std::shared_ptr<const StoreCondition> ObservedStore::condition() const
{
    return m_impl->current;
}

MonotonicInstant ObservedStore::answeredAt() const noexcept
{
    return m_impl->tracker.answeredAt();
}

} // namespace lanemoor::jobs
