#include "lanemoor/jobs/intake/job_canceller.h"

#include "lanemoor/jobs/intake/job_catalog.h"
#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/store/store_mirror.h"

#include <deque>
#include <vector>

namespace lanemoor::jobs {

namespace {

/// Cancellations of absent jobs that one instance stores within `absentCancelPeriod`. Callers may name any id, and the owner keeps each
/// cancellation about as long.
constexpr std::size_t maxAbsentCancels = 1'000;
constexpr Millis absentCancelPeriod { 120'000 };
/// Callers of different organisations that may cancel the same absent id, and so the max attempts to add one of them.
constexpr std::size_t maxCancelRequesters = 4;

using Answer = std::function<void(LookupOutcome)>;

/// \returns Whether the stored cancellation includes that of the caller.
bool covers(const CancelRecord& stored, const std::optional<Caller>& caller)
{
    return stored.isUnconditional() || (caller && stored.requesters.contains(requesterOf(*caller)));
}

} // namespace

class JobCanceller::Impl : public std::enable_shared_from_this<JobCanceller::Impl> {
public:
    Impl(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, const JobCatalog& catalog)
        : m_loop(loop)
        , m_store(store)
        , m_mirror(mirror)
        , m_catalog(catalog)
    {
    }

    void cancel(const std::optional<Caller>& caller, const std::string& id, const Answer& done)
    {
        const CatalogEntry* known = m_catalog.find(id);
        if (known && known->record && isFinal(known->status())) {
            done(LookupOutcome::Done);
            return;
        }
        ++inFlight;
        const auto answer = [self = shared_from_this(), done](LookupOutcome outcome) {
            --self->inFlight;
            done(outcome);
        };
        m_store.read(jobKey(id), [self = shared_from_this(), caller, id, answer](const ReadResult& result) {
            if (result.outcome == StoreOutcome::Done)
                self->cancelStored(caller, result.item, id, answer);
            else if (result.outcome == StoreOutcome::NotFound)
                self->cancelAbsent(caller, id, {}, answer);
            else
                answer(LookupOutcome::Unavailable);
        });
    }

    std::size_t inFlight = 0;

private:
    void cancelStored(const std::optional<Caller>& caller, const StoreItem& job, const std::string& id, const Answer& answer)
    {
        m_mirror.noteWritten(job);
        const std::optional<JobRecord> record = decodeJob(job.value);
        if (caller && record && !mayAccess(*caller, *record))
            answer(LookupOutcome::Foreign);
        else
            writeCancel(id, 0, answer);
    }

    /// \param replaced Revision of a conditional cancellation that is replaced; 0: none.
    void writeCancel(const std::string& id, std::uint64_t replaced, const Answer& answer)
    {
        const std::string value = encode(CancelRecord {});
        const Transaction transaction { .expected = { { cancelKey(id), replaced } }, .writes = { { cancelKey(id), value, 0 } }, .removals = {} };
        m_store.commit(transaction, [self = shared_from_this(), id, replaced, value, answer](const CommitResult& result) {
            switch (result.outcome) {
            case StoreOutcome::Done:
                self->m_mirror.noteWritten({ .key = cancelKey(id), .value = value, .revision = result.revision });
                answer(LookupOutcome::Done);
                return;
            case StoreOutcome::Conflict: {
                const StoreItem* current = findExisting(result.current, cancelKey(id));
                if (current && decodeCancel(current->value).isUnconditional())
                    answer(LookupOutcome::Done);
                else if (current && replaced == 0)
                    self->writeCancel(id, current->revision, answer);
                else
                    answer(LookupOutcome::Unavailable);
                return;
            }
            case StoreOutcome::Unknown:
                self->readCancel(id, {}, LookupOutcome::Done, answer);
                return;
            default:
                answer(LookupOutcome::Unavailable);
            }
        });
    }

    /// Stores the cancellation of a job that the store does not have.
    /// \param known The cancellation that the store has already, with its value; its revision is 0 if there is none.
    void cancelAbsent(const std::optional<Caller>& caller, const std::string& id, const StoreItem& known, const Answer& answer)
    {
        CancelRecord record;
        if (caller && known.revision > 0)
            record = decodeCancel(known.value);
        if (caller)
            record.requesters.insert(requesterOf(*caller));
        if (record.requesters.size() > maxCancelRequesters || !consumeAbsentCancel()) {
            answer(LookupOutcome::Unavailable);
            return;
        }
        const Transaction transaction { .expected = { { jobKey(id), 0 }, { cancelKey(id), known.revision } }, .writes = { { cancelKey(id), encode(record), 0 } }, .removals = {} };
        m_store.commit(transaction, [self = shared_from_this(), caller, id, attempted = known.revision, answer](const CommitResult& result) {
            // The replica learns of the cancellation from its watch: an instance without one would never learn of its removal.
            if (result.outcome == StoreOutcome::Done)
                answer(LookupOutcome::NoSuchJob);
            else if (result.outcome == StoreOutcome::Conflict)
                self->resolveAbsentConflict(caller, id, attempted, result.current, answer);
            else if (result.outcome == StoreOutcome::Unknown)
                self->readCancel(id, caller, LookupOutcome::NoSuchJob, answer);
            else
                answer(LookupOutcome::Unavailable);
        });
    }

    /// \param attempted Revision of the cancellation that the failed write would have replaced.
    void resolveAbsentConflict(const std::optional<Caller>& caller, const std::string& id, std::uint64_t attempted, const std::vector<StoreItem>& current, const Answer& answer)
    {
        const StoreItem* cancellation = findExisting(current, cancelKey(id));
        if (const StoreItem* job = findExisting(current, jobKey(id)))
            cancelStored(caller, *job, id, answer);
        else if (cancellation && covers(decodeCancel(cancellation->value), caller))
            answer(LookupOutcome::NoSuchJob);
        else if (cancellation && cancellation->revision != attempted)
            cancelAbsent(caller, id, *cancellation, answer);
        else
            answer(LookupOutcome::Unavailable);
    }

    /// Reads back a cancellation whose write got no answer.
    void readCancel(const std::string& id, const std::optional<Caller>& caller, LookupOutcome outcome, const Answer& answer)
    {
        m_store.read(cancelKey(id), [self = shared_from_this(), caller, outcome, answer](const ReadResult& result) {
            const bool isStored = result.outcome == StoreOutcome::Done && covers(decodeCancel(result.item.value), caller);
            if (isStored && outcome == LookupOutcome::Done)
                self->m_mirror.noteWritten(result.item);
            answer(isStored ? outcome : LookupOutcome::Unavailable);
        });
    }

    /// \returns Whether another cancellation of an absent job may be stored.
    [[nodiscard]] bool consumeAbsentCancel()
    {
        const MonotonicInstant now = m_loop.now();
        while (!m_absentCancels.empty() && m_absentCancels.front() <= now)
            m_absentCancels.pop_front();
        if (m_absentCancels.size() >= maxAbsentCancels)
            return false;
        m_absentCancels.push_back(now + absentCancelPeriod);
        return true;
    }

    EventLoop& m_loop;
    KeyValueStore& m_store;
    StoreMirror& m_mirror;
    const JobCatalog& m_catalog;
    std::deque<MonotonicInstant> m_absentCancels; ///< When each stored cancellation of an absent job ceases to count.
};

JobCanceller::JobCanceller(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, const JobCatalog& catalog)
    : m_impl(std::make_shared<Impl>(loop, store, mirror, catalog))
{
}

JobCanceller::~JobCanceller() = default;

void JobCanceller::cancel(const std::optional<Caller>& caller, const std::string& id, const std::function<void(LookupOutcome)>& done)
{
    m_impl->cancel(caller, id, done);
}

std::size_t JobCanceller::inFlight() const noexcept
{
    return m_impl->inFlight;
}

} // namespace lanemoor::jobs
