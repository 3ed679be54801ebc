#include "lanemoor/jobs/store/hedged_store.h"

#include "lanemoor/jobs/model/response_time.h"
#include "lanemoor/jobs/store/hedge_budget.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <type_traits>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr unsigned maxHedges = 2;
/// A call whose first try ended without an answer ends then, whatever its repeats still wait for: callers count on the store's
/// time-out of 1 s. One that ended sooner lost its connection, and is repeated.
constexpr Millis giveUpAfter { 900 };
/// A timer that is later than this shows that the loop was busy: answers may have arrived and not been read yet.
constexpr Millis loopLag { 20 };

/// \returns Whether the store evaluated the call.
bool isAnswer(StoreOutcome outcome) noexcept
{
    return outcome != StoreOutcome::Unknown && outcome != StoreOutcome::NotDone;
}

const KeyRevision* conditionOn(const std::vector<KeyRevision>& conditions, const std::string& key)
{
    const auto found = std::find_if(conditions.begin(), conditions.end(), [&](const KeyRevision& condition) { return condition.key == key; });
    return found == conditions.end() ? nullptr : &*found;
}

const StoreItem* itemOf(const std::vector<StoreItem>& items, const std::string& key)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const StoreItem& item) { return item.key == key; });
    return found == items.end() ? nullptr : &*found;
}

bool writes(const Transaction& transaction, const std::string& key)
{
    return std::any_of(transaction.writes.begin(), transaction.writes.end(), [&](const StoreWrite& write) { return write.key == key; });
}

/// \returns Whether `item` is as `write` leaves it, and not as it was before.
bool isWrittenBy(const StoreItem& item, const StoreWrite& write, const Transaction& transaction)
{
    const KeyRevision* before = conditionOn(transaction.expected, write.key);
    return item.revision > 0 && before && item.revision != before->revision && item.value == write.value && item.lease == write.lease;
}

/// \returns The conditions on keys that the transaction does not write.
std::vector<KeyRevision> otherConditions(const Transaction& transaction)
{
    std::vector<KeyRevision> others;
    std::copy_if(transaction.expected.begin(), transaction.expected.end(), std::back_inserter(others), [&](const KeyRevision& condition) { return !writes(transaction, condition.key); });
    return others;
}

/// \returns The revision at which all keys stand as the transaction writes them; 0: they do not.
std::uint64_t revisionOfOwn(const Transaction& transaction, const std::vector<StoreItem>& current)
{
    std::uint64_t revision = 0;
    for (const StoreWrite& write : transaction.writes) {
        const StoreItem* item = itemOf(current, write.key);
        if (!item || !isWrittenBy(*item, write, transaction) || (revision != 0 && item->revision != revision))
            return 0;
        revision = item->revision;
    }
    return revision;
}

bool othersHold(const Transaction& transaction, const std::vector<StoreItem>& current)
{
    const std::vector<KeyRevision> others = otherConditions(transaction);
    return std::all_of(others.begin(), others.end(), [&](const KeyRevision& condition) {
        const StoreItem* item = itemOf(current, condition.key);
        return condition.revision == (item ? item->revision : 0);
    });
}

/// A call that waits for an answer, of any kind.
class WaitingCall {
public:
    virtual ~WaitingCall() = default;

    /// \returns Reads that it takes to confirm the call instead of repeating it; 0: it can't be confirmed.
    [[nodiscard]] virtual unsigned readsToConfirm() const { return 0; }

    MonotonicInstant startedAt;
    MonotonicInstant sentAt; ///< Of the last try.
    unsigned tries = 0;
    unsigned open = 0; ///< Tries, and reads of what was written, without an answer or time-out.
    unsigned hedges = 0; ///< Repeats within the budget.
    unsigned tokens = 0; ///< That they took.
    bool denied = false;
    bool mayBeDone = false; ///< A try ended without an answer.
    bool resent = false; ///< When the store was back.
    TimerId timer = 0; ///< 0: no repeat is due.
};

class ReadCall final : public WaitingCall {
public:
    std::string key;
    std::function<void(ReadResult)> done;
};

class CommitCall final : public WaitingCall {
public:
    [[nodiscard]] unsigned readsToConfirm() const override { return static_cast<unsigned>(transaction.writes.size() + otherConditions(transaction).size()); }

    Transaction transaction;
    std::function<void(CommitResult)> done;
};

} // namespace

bool isIdempotent(const Transaction& transaction)
{
    return !transaction.writes.empty() && transaction.removals.empty()
        && std::all_of(transaction.writes.begin(), transaction.writes.end(), [&](const StoreWrite& write) { return conditionOn(transaction.expected, write.key) != nullptr; });
}

class HedgedStore::Impl : public std::enable_shared_from_this<HedgedStore::Impl> {
public:
    Impl(EventLoop& loop, KeyValueStore& store, StoreOutageOptions options)
        : m_loop(loop)
        , m_store(store)
        , m_budget(options.hedgeShare, options.hedgeBurst)
    {
    }

    void read(const std::string& key, std::function<void(ReadResult)> done)
    {
        const auto call = std::make_shared<ReadCall>();
        call->key = key;
        call->done = std::move(done);
        begin(call);
    }

    void commit(const Transaction& transaction, std::function<void(CommitResult)> done)
    {
        const auto call = std::make_shared<CommitCall>();
        call->transaction = transaction;
        call->done = std::move(done);
        begin(call);
    }

    void resendWaiting(MonotonicInstant sentBefore)
    {
        const auto resend = [&](const auto& calls) {
            for (const auto& [id, call] : calls) {
                if (call->sentAt < sentBefore && !std::exchange(call->resent, true))
                    send(id, call);
            }
        };
        // Copies: an answer may not arrive within a call, but the next call may begin in its callback.
        resend(std::map(m_commits));
        resend(std::map(m_reads));
    }

    KeyValueStore& store() { return m_store; }

    HedgeCounts counts;

private:
    using CallId = std::uint64_t;
    template <typename Call>
    using Calls = std::map<CallId, std::shared_ptr<Call>>;

    Calls<ReadCall>& callsOf(const ReadCall&) { return m_reads; }
    Calls<CommitCall>& callsOf(const CommitCall&) { return m_commits; }
    ResponseTime& responsesOf(const ReadCall&) { return m_readTimes; }
    ResponseTime& responsesOf(const CommitCall&) { return m_commitTimes; }

    template <typename Call>
    void begin(const std::shared_ptr<Call>& call)
    {
        const CallId id = ++m_lastCall;
        call->startedAt = m_loop.now();
        callsOf(*call).emplace(id, call);
        m_budget.noteCall();
        send(id, call);
        scheduleHedge(id, call);
    }

    /// \returns A callback for a try; what it tells after the call has ended only counts as a response time.
    template <typename Call, typename Result>
    std::function<void(Result)> answerTo(CallId id, const std::shared_ptr<Call>& call)
    {
        return [self = weak_from_this(), id, call, attempt = call->tries, sentAt = call->sentAt](const Result& result) {
            const auto impl = self.lock();
            if (!impl)
                return;
            if (isAnswer(result.outcome))
                impl->responsesOf(*call).note(std::chrono::duration_cast<Millis>(impl->m_loop.now() - sentAt));
            if (impl->callsOf(*call).contains(id))
                impl->ended(id, call, attempt, result);
        };
    }

    void noteSent(WaitingCall& call)
    {
        ++call.tries;
        ++call.open;
        call.sentAt = m_loop.now();
    }

    void send(CallId id, const std::shared_ptr<ReadCall>& call)
    {
        noteSent(*call);
        m_store.read(call->key, answerTo<ReadCall, ReadResult>(id, call));
    }

    void send(CallId id, const std::shared_ptr<CommitCall>& call)
    {
        noteSent(*call);
        m_store.commit(call->transaction, answerTo<CommitCall, CommitResult>(id, call));
    }

    template <typename Call>
    void scheduleHedge(CallId id, const std::shared_ptr<Call>& call)
    {
        const MonotonicInstant due = m_loop.now() + responsesOf(*call).overdueAfter();
        wakeAt(id, call, due);
    }

    template <typename Call>
    void wakeAt(CallId id, const std::shared_ptr<Call>& call, MonotonicInstant due)
    {
        call->timer = m_loop.callAt(due, [self = weak_from_this(), id, call, due] {
            const auto impl = self.lock();
            if (!impl || !impl->callsOf(*call).contains(id))
                return;
            call->timer = 0;
            const MonotonicInstant now = impl->m_loop.now();
            if (now - due > loopLag)
                impl->wakeAt(id, call, now + loopLag);
            else
                impl->hedge(id, call);
        });
    }

    template <typename Call>
    void hedge(CallId id, const std::shared_ptr<Call>& call)
    {
        const bool confirms = call->hedges + 1 == maxHedges && call->readsToConfirm() > 0;
        const unsigned tokens = confirms ? call->readsToConfirm() : 1;
        if (!m_budget.take(tokens)) {
            call->denied = true;
            endIfOver(id, call);
            return;
        }
        ++call->hedges;
        call->tokens += tokens;
        if (confirms)
            confirm(id, call);
        else
            send(id, call);
        if (call->hedges < maxHedges)
            scheduleHedge(id, call);
    }

    void ended(CallId id, const std::shared_ptr<ReadCall>& call, unsigned attempt, const ReadResult& result)
    {
        --call->open;
        if (isAnswer(result.outcome))
            settle(id, call, result, attempt);
        else
            noteEndedWithout(id, call, result.outcome);
    }

    void ended(CallId id, const std::shared_ptr<CommitCall>& call, unsigned attempt, const CommitResult& result)
    {
        --call->open;
        if (isAnswer(result.outcome))
            settle(id, call, call->tries > 1 ? judged(*call, result) : result, attempt);
        else
            noteEndedWithout(id, call, result.outcome);
    }

    /// \returns What an answer to one of several tries says of the transaction.
    [[nodiscard]] static CommitResult judged(const CommitCall& call, const CommitResult& result)
    {
        if (result.outcome == StoreOutcome::Done)
            return result;
        const CommitResult unknown { .outcome = StoreOutcome::Unknown, .revision = 0, .current = {} };
        if (result.outcome != StoreOutcome::Conflict)
            return call.mayBeDone || call.open > 0 ? unknown : result;
        const std::uint64_t revision = revisionOfOwn(call.transaction, result.current);
        if (revision == 0)
            return result;
        return othersHold(call.transaction, result.current) ? CommitResult { .outcome = StoreOutcome::Done, .revision = revision, .current = {}, .isInferred = true } : unknown;
    }

    template <typename Call>
    void noteEndedWithout(CallId id, const std::shared_ptr<Call>& call, StoreOutcome outcome)
    {
        call->mayBeDone = call->mayBeDone || outcome == StoreOutcome::Unknown;
        // A connection that was lost: there is nothing left to wait for.
        if (call->open == 0 && call->mayBeDone && call->timer != 0 && !isLate(*call)) {
            m_loop.cancel(std::exchange(call->timer, 0));
            hedge(id, call);
            return;
        }
        endIfOver(id, call);
    }

    [[nodiscard]] bool isLate(const WaitingCall& call) const { return m_loop.now() - call.startedAt >= giveUpAfter; }

    /// Ends a call that no try can settle any more, or whose time is over.
    template <typename Call>
    void endIfOver(CallId id, const std::shared_ptr<Call>& call)
    {
        if (call->open > 0 && !(call->mayBeDone && isLate(*call)))
            return;
        const StoreOutcome outcome = call->mayBeDone ? StoreOutcome::Unknown : StoreOutcome::NotDone;
        if (call->hedges > 0)
            ++counts.unanswered;
        using Result = std::conditional_t<std::is_same_v<Call, ReadCall>, ReadResult, CommitResult>;
        Result result;
        result.outcome = outcome;
        finish(id, call, std::move(result));
    }

    template <typename Call, typename Result>
    void settle(CallId id, const std::shared_ptr<Call>& call, Result result, unsigned attempt)
    {
        if (call->hedges > 0 && attempt > 1) {
            ++counts.settled;
            m_budget.giveBack(call->tokens);
        } else if (call->hedges > 0) {
            ++counts.overtaken;
        }
        finish(id, call, std::move(result));
    }

    template <typename Call, typename Result>
    void finish(CallId id, const std::shared_ptr<Call>& call, Result result)
    {
        if (call->denied)
            ++counts.denied;
        m_loop.cancel(std::exchange(call->timer, 0));
        callsOf(*call).erase(id);
        const auto done = std::move(call->done);
        done(std::move(result));
    }

    void confirm(CallId, const std::shared_ptr<ReadCall>&) { }

    /// What the reads of a transaction's keys told so far.
    struct Readings {
        std::vector<StoreItem> items;
        std::size_t open = 0;
        bool isWhole = true; ///< No read failed.
    };

    /// Reads all that the transaction writes: one key alone may have got an equal value from another transaction.
    void confirm(CallId id, const std::shared_ptr<CommitCall>& call)
    {
        const auto readings = std::make_shared<Readings>();
        readings->open = call->transaction.writes.size();
        for (const StoreWrite& write : call->transaction.writes) {
            readFor(id, call, write.key, [this, id, call, readings, key = write.key](const ReadResult& result) {
                readings->isWhole = readings->isWhole && (result.outcome == StoreOutcome::Done || result.outcome == StoreOutcome::NotFound);
                readings->items.push_back(result.outcome == StoreOutcome::Done ? result.item : StoreItem { .key = key, .value = {} });
                if (--readings->open == 0)
                    noteReadings(id, call, *readings);
            });
        }
    }

    void noteReadings(CallId id, const std::shared_ptr<CommitCall>& call, const Readings& readings)
    {
        const Transaction& transaction = call->transaction;
        const auto isAsBefore = [&](const StoreItem& item) { return conditionOn(transaction.expected, item.key)->revision == item.revision; };
        const std::uint64_t revision = readings.isWhole ? revisionOfOwn(transaction, readings.items) : 0;
        if (revision != 0)
            confirmOthers(id, call, otherConditions(transaction), revision);
        else if (readings.isWhole && std::all_of(readings.items.begin(), readings.items.end(), isAsBefore))
            send(id, call);
        else
            endIfOver(id, call);
    }

    /// A condition that holds after the key was read held before as well: nobody else wrote the key in between.
    void confirmOthers(CallId id, const std::shared_ptr<CommitCall>& call, std::vector<KeyRevision> others, std::uint64_t revision)
    {
        if (others.empty()) {
            ++counts.confirmed;
            m_budget.giveBack(call->tokens);
            finish(id, call, CommitResult { .outcome = StoreOutcome::Done, .revision = revision, .current = {}, .isInferred = true });
            return;
        }
        const KeyRevision condition = std::move(others.back());
        others.pop_back();
        readFor(id, call, condition.key, [this, id, call, condition, revision, others = std::move(others)](const ReadResult& result) {
            const bool isKnown = result.outcome == StoreOutcome::Done || result.outcome == StoreOutcome::NotFound;
            if (isKnown && condition.revision == result.item.revision)
                confirmOthers(id, call, others, revision);
            else
                endIfOver(id, call);
        });
    }

    /// Reads a key for a call that still waits.
    void readFor(CallId id, const std::shared_ptr<CommitCall>& call, const std::string& key, std::function<void(const ReadResult&)> then)
    {
        ++call->open;
        m_store.read(key, [self = weak_from_this(), id, call, then = std::move(then)](const ReadResult& result) {
            --call->open;
            const auto impl = self.lock();
            if (impl && impl->m_commits.contains(id))
                then(result);
        });
    }

    EventLoop& m_loop;
    KeyValueStore& m_store;
    HedgeBudget m_budget;
    ResponseTime m_readTimes;
    ResponseTime m_commitTimes;
    CallId m_lastCall = 0;
    Calls<ReadCall> m_reads;
    Calls<CommitCall> m_commits;
};

HedgedStore::HedgedStore(EventLoop& loop, KeyValueStore& store, StoreOutageOptions options)
    : m_impl(std::make_shared<Impl>(loop, store, options))
{
}

HedgedStore::~HedgedStore() = default;

void HedgedStore::read(const std::string& key, std::function<void(ReadResult)> done)
{
    m_impl->read(key, std::move(done));
}

void HedgedStore::range(const std::string& prefix, const std::string& afterKey, Millis timeout, std::function<void(ItemsResult)> done)
{
    m_impl->store().range(prefix, afterKey, timeout, std::move(done));
}

void HedgedStore::watch(const std::string& prefix, std::uint64_t after, Millis wait, std::function<void(ItemsResult)> done)
{
    m_impl->store().watch(prefix, after, wait, std::move(done));
}

void HedgedStore::fetch(DocumentQuery query, std::function<void(ItemsResult)> done)
{
    m_impl->store().fetch(std::move(query), std::move(done));
}

void HedgedStore::commit(const Transaction& transaction, std::function<void(CommitResult)> done)
{
    if (isIdempotent(transaction))
        m_impl->commit(transaction, std::move(done));
    else
        m_impl->store().commit(transaction, std::move(done));
}

void HedgedStore::grantLease(Millis timeToLive, std::function<void(LeaseResult)> done)
{
    m_impl->store().grantLease(timeToLive, std::move(done));
}

void HedgedStore::renewLease(std::uint64_t lease, std::function<void(LeaseResult)> done)
{
    m_impl->store().renewLease(lease, std::move(done));
}

void HedgedStore::endLease(std::uint64_t lease, std::function<void(LeaseResult)> done)
{
    m_impl->store().endLease(lease, std::move(done));
}

void HedgedStore::resendWaiting(MonotonicInstant sentBefore)
{
    m_impl->resendWaiting(sentBefore);
}

const HedgeCounts& HedgedStore::counts() const noexcept
{
    return m_impl->counts;
}

} // namespace lanemoor::jobs
