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
/// A call whose first try ends without an answer after this time ends too, even if repeats are pending: callers rely on the
/// store's timeout of 1 s. A first try that ends sooner lost its connection, and is repeated.
constexpr Millis callTimeout { 900 };
/// A timer that fires later than this shows that the event loop was busy: answers may have arrived and not been read yet.
constexpr Millis maxTimerDelay { 20 };

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

/// \returns Whether `item` has the value and lease of `write`, at another revision than the transaction's condition requires.
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

/// \returns The one revision at which all written keys have the transaction's values; 0 if there is none.
std::uint64_t findAppliedRevision(const Transaction& transaction, const std::vector<StoreItem>& current)
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

bool otherConditionsHold(const Transaction& transaction, const std::vector<StoreItem>& current)
{
    const std::vector<KeyRevision> others = otherConditions(transaction);
    return std::all_of(others.begin(), others.end(), [&](const KeyRevision& condition) {
        const StoreItem* item = itemOf(current, condition.key);
        return condition.revision == (item ? item->revision : 0);
    });
}

/// A call of any kind that waits for an answer.
class WaitingCall {
public:
    virtual ~WaitingCall() = default;

    /// \returns The number of reads that confirm the call instead of repeating it; 0 if it can't be confirmed.
    [[nodiscard]] virtual unsigned readsToConfirm() const { return 0; }

    MonotonicInstant startedAt;
    MonotonicInstant sentAt; ///< Of the last try.
    unsigned tries = 0;
    unsigned outstanding = 0; ///< Tries, and reads that confirm the call, without an answer or timeout.
    unsigned hedges = 0; ///< Repeats within the budget.
    unsigned tokens = 0; ///< Taken by these repeats.
    bool denied = false;
    bool mayBeApplied = false; ///< A try ended with an unknown outcome.
    bool isResent = false; ///< After the store became available again.
    TimerId timer = 0; ///< 0: no repeat is scheduled.
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
                if (call->sentAt < sentBefore && !std::exchange(call->isResent, true))
                    send(id, call);
            }
        };
        // Iterates over copies: answers don't arrive within a call, but their callbacks may begin further calls.
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

    /// \returns A callback for a try. An answer after the end of the call only counts as a response time.
    template <typename Call, typename Result>
    std::function<void(Result)> callbackForTry(CallId id, const std::shared_ptr<Call>& call)
    {
        return [self = weak_from_this(), id, call, tryNumber = call->tries, sentAt = call->sentAt](const Result& result) {
            const auto impl = self.lock();
            if (!impl)
                return;
            if (isAnswer(result.outcome))
                impl->responsesOf(*call).note(std::chrono::duration_cast<Millis>(impl->m_loop.now() - sentAt));
            if (impl->callsOf(*call).contains(id))
                impl->ended(id, call, tryNumber, result);
        };
    }

    void noteSent(WaitingCall& call)
    {
        ++call.tries;
        ++call.outstanding;
        call.sentAt = m_loop.now();
    }

    void send(CallId id, const std::shared_ptr<ReadCall>& call)
    {
        noteSent(*call);
        m_store.read(call->key, callbackForTry<ReadCall, ReadResult>(id, call));
    }

    void send(CallId id, const std::shared_ptr<CommitCall>& call)
    {
        noteSent(*call);
        m_store.commit(call->transaction, callbackForTry<CommitCall, CommitResult>(id, call));
    }

    template <typename Call>
    void scheduleHedge(CallId id, const std::shared_ptr<Call>& call)
    {
        const MonotonicInstant due = m_loop.now() + responsesOf(*call).overdueAfter();
        scheduleHedgeAt(id, call, due);
    }

    template <typename Call>
    void scheduleHedgeAt(CallId id, const std::shared_ptr<Call>& call, MonotonicInstant due)
    {
        call->timer = m_loop.callAt(due, [self = weak_from_this(), id, call, due] {
            const auto impl = self.lock();
            if (!impl || !impl->callsOf(*call).contains(id))
                return;
            call->timer = 0;
            const MonotonicInstant now = impl->m_loop.now();
            if (now - due > maxTimerDelay)
                impl->scheduleHedgeAt(id, call, now + maxTimerDelay);
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
            endIfExhausted(id, call);
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

    void ended(CallId id, const std::shared_ptr<ReadCall>& call, unsigned tryNumber, const ReadResult& result)
    {
        --call->outstanding;
        if (isAnswer(result.outcome))
            settle(id, call, result, tryNumber);
        else
            onUnanswered(id, call, result.outcome);
    }

    void ended(CallId id, const std::shared_ptr<CommitCall>& call, unsigned tryNumber, const CommitResult& result)
    {
        --call->outstanding;
        if (isAnswer(result.outcome))
            settle(id, call, call->tries > 1 ? interpretAnswer(*call, result) : result, tryNumber);
        else
            onUnanswered(id, call, result.outcome);
    }

    /// \returns The outcome of the transaction, as shown by an answer to one of several tries.
    [[nodiscard]] static CommitResult interpretAnswer(const CommitCall& call, const CommitResult& result)
    {
        if (result.outcome == StoreOutcome::Done)
            return result;
        const CommitResult unknown { .outcome = StoreOutcome::Unknown, .revision = 0, .current = {} };
        if (result.outcome != StoreOutcome::Conflict)
            return call.mayBeApplied || call.outstanding > 0 ? unknown : result;
        const std::uint64_t revision = findAppliedRevision(call.transaction, result.current);
        if (revision == 0)
            return result;
        return otherConditionsHold(call.transaction, result.current) ? CommitResult { .outcome = StoreOutcome::Done, .revision = revision, .current = {}, .isInferred = true } : unknown;
    }

    template <typename Call>
    void onUnanswered(CallId id, const std::shared_ptr<Call>& call, StoreOutcome outcome)
    {
        call->mayBeApplied = call->mayBeApplied || outcome == StoreOutcome::Unknown;
        // The connection was lost: no answer is pending.
        if (call->outstanding == 0 && call->mayBeApplied && call->timer != 0 && !isTimedOut(*call)) {
            m_loop.cancel(std::exchange(call->timer, 0));
            hedge(id, call);
            return;
        }
        endIfExhausted(id, call);
    }

    [[nodiscard]] bool isTimedOut(const WaitingCall& call) const { return m_loop.now() - call.startedAt >= callTimeout; }

    /// Ends a call that has no outstanding try left, or has timed out.
    template <typename Call>
    void endIfExhausted(CallId id, const std::shared_ptr<Call>& call)
    {
        if (call->outstanding > 0 && !(call->mayBeApplied && isTimedOut(*call)))
            return;
        const StoreOutcome outcome = call->mayBeApplied ? StoreOutcome::Unknown : StoreOutcome::NotDone;
        if (call->hedges > 0)
            ++counts.unanswered;
        using Result = std::conditional_t<std::is_same_v<Call, ReadCall>, ReadResult, CommitResult>;
        Result result;
        result.outcome = outcome;
        finish(id, call, std::move(result));
    }

    template <typename Call, typename Result>
    void settle(CallId id, const std::shared_ptr<Call>& call, Result result, unsigned tryNumber)
    {
        if (call->hedges > 0 && tryNumber > 1) {
            ++counts.settled;
            m_budget.refund(call->tokens);
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

    /// Results so far of the reads of a transaction's keys.
    struct ReadBack {
        std::vector<StoreItem> items;
        std::size_t outstanding = 0;
        bool isComplete = true; ///< No read failed.
    };

    /// Reads all written keys: a single one may have received an equal value from another transaction.
    void confirm(CallId id, const std::shared_ptr<CommitCall>& call)
    {
        const auto readBack = std::make_shared<ReadBack>();
        readBack->outstanding = call->transaction.writes.size();
        for (const StoreWrite& write : call->transaction.writes) {
            readFor(id, call, write.key, [this, id, call, readBack, key = write.key](const ReadResult& result) {
                readBack->isComplete = readBack->isComplete && (result.outcome == StoreOutcome::Done || result.outcome == StoreOutcome::NotFound);
                readBack->items.push_back(result.outcome == StoreOutcome::Done ? result.item : StoreItem { .key = key, .value = {} });
                if (--readBack->outstanding == 0)
                    evaluateReadBack(id, call, *readBack);
            });
        }
    }

    void evaluateReadBack(CallId id, const std::shared_ptr<CommitCall>& call, const ReadBack& readBack)
    {
        const Transaction& transaction = call->transaction;
        const auto isAsBefore = [&](const StoreItem& item) { return conditionOn(transaction.expected, item.key)->revision == item.revision; };
        const std::uint64_t revision = readBack.isComplete ? findAppliedRevision(transaction, readBack.items) : 0;
        if (revision != 0)
            confirmOtherConditions(id, call, otherConditions(transaction), revision);
        else if (readBack.isComplete && std::all_of(readBack.items.begin(), readBack.items.end(), isAsBefore))
            send(id, call);
        else
            endIfExhausted(id, call);
    }

    /// A condition that holds after the written keys were read also held before: its key was not written in between.
    void confirmOtherConditions(CallId id, const std::shared_ptr<CommitCall>& call, std::vector<KeyRevision> others, std::uint64_t revision)
    {
        if (others.empty()) {
            ++counts.confirmed;
            m_budget.refund(call->tokens);
            finish(id, call, CommitResult { .outcome = StoreOutcome::Done, .revision = revision, .current = {}, .isInferred = true });
            return;
        }
        const KeyRevision condition = std::move(others.back());
        others.pop_back();
        readFor(id, call, condition.key, [this, id, call, condition, revision, others = std::move(others)](const ReadResult& result) {
            const bool isKnown = result.outcome == StoreOutcome::Done || result.outcome == StoreOutcome::NotFound;
            if (isKnown && condition.revision == result.item.revision)
                confirmOtherConditions(id, call, others, revision);
            else
                endIfExhausted(id, call);
        });
    }

    /// Reads a key for a waiting call.
    void readFor(CallId id, const std::shared_ptr<CommitCall>& call, const std::string& key, std::function<void(const ReadResult&)> then)
    {
        ++call->outstanding;
        m_store.read(key, [self = weak_from_this(), id, call, then = std::move(then)](const ReadResult& result) {
            --call->outstanding;
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
