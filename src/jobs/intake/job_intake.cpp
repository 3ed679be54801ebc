#include "lanemoor/jobs/intake/job_intake.h"

#include "lanemoor/jobs/intake/job_catalog.h"
#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/store/store_mirror.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

namespace {

/// Jobs in one transaction; each job needs a condition and a write.
constexpr std::size_t maxJobsPerBatch = maxTransactionEntries / 2;
/// Concurrent transactions, so that one slow answer delays only the jobs of its own batch.
constexpr std::size_t maxConcurrentBatches = 8;

/// Interval at which a job is sent to the store while it is unavailable; other jobs are rejected unsent.
constexpr Millis probeInterval { 500 };

/// An unanswered write may be carried out seconds later; delays of 6 s occur.
constexpr Millis unsettledWriteLifetime { 15'000 };

/// A job that waits to be stored.
struct WaitingJob {
    std::string id;
    std::string value;
    Caller caller; ///< The same for all submissions in `callbacks`.
    std::vector<std::function<void(AcceptOutcome)>> callbacks;
    std::function<bool()> isAdmitted; ///< Of the latest submission; null: always admitted.
    bool hasUnsettledWrite = false; ///< An earlier write of the job may still be carried out.

    void answer(AcceptOutcome outcome) const
    {
        for (const auto& done : callbacks)
            done(outcome);
    }
};

} // namespace

std::string_view nameOf(AcceptOutcome outcome) noexcept
{
    switch (outcome) {
    case AcceptOutcome::Accepted:
        return "accepted";
    case AcceptOutcome::NotAccepted:
        return "not-taken";
    case AcceptOutcome::Unknown:
        return "unknown";
    case AcceptOutcome::Foreign:
        return "foreign";
    case AcceptOutcome::Refused:
        return "refused";
    }
    return "unknown";
}

std::string_view nameOf(LookupOutcome outcome) noexcept
{
    switch (outcome) {
    case LookupOutcome::Done:
        return "done";
    case LookupOutcome::NoSuchJob:
        return "no-such-job";
    case LookupOutcome::Foreign:
        return "foreign";
    case LookupOutcome::Unavailable:
        return "unavailable";
    }
    return "unknown";
}

class JobIntake::Impl : public std::enable_shared_from_this<JobIntake::Impl> {
public:
    Impl(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, const JobCatalog& catalog)
        : m_loop(loop)
        , m_store(store)
        , m_mirror(mirror)
        , m_catalog(catalog)
    {
    }

    std::size_t inFlight = 0;

    [[nodiscard]] bool isStoreUnavailable() const { return m_unansweredSentAt && m_mirror.answeredAt() < *m_unansweredSentAt; }

    void noteAnswered(MonotonicInstant sentAt)
    {
        if (m_unansweredSentAt && sentAt > *m_unansweredSentAt)
            m_unansweredSentAt.reset();
    }

    void accept(const Caller& caller, const std::string& id, const JobRecord& record, std::function<bool()> isAdmitted, std::function<void(AcceptOutcome)> done)
    {
        if (const CatalogEntry* known = m_catalog.find(id); known && known->record) {
            done(mayAccess(caller, *known->record) ? AcceptOutcome::Accepted : AcceptOutcome::Foreign);
            return;
        }
        // Nothing is sent, so NotAccepted is certain unless an earlier write may still store the job; after Unknown a caller can only retry.
        if (isStoreUnavailable() && m_loop.now() < m_nextProbeAt) {
            done(mayBeStored(id) ? AcceptOutcome::Unknown : AcceptOutcome::NotAccepted);
            return;
        }
        const auto queued = std::find_if(m_queue.begin(), m_queue.end(), [&](const WaitingJob& job) { return job.id == id; });
        // It is undecided which caller's job will be stored; a retry gets a definite answer.
        if (queued != m_queue.end() && queued->caller != caller) {
            done(AcceptOutcome::Unknown);
            return;
        }
        ++inFlight;
        if (queued != m_queue.end()) {
            queued->callbacks.push_back(std::move(done));
            queued->isAdmitted = std::move(isAdmitted);
            return;
        }
        m_queue.push_back({ .id = id, .value = encode(record), .caller = caller, .callbacks = { std::move(done) }, .isAdmitted = std::move(isAdmitted), .hasUnsettledWrite = mayBeStored(id) });
        // Jobs submitted in the same iteration of the event loop share a batch.
        if (m_queue.size() == 1)
            m_loop.callAt(m_loop.now(), [self = shared_from_this()] { self->send(); });
    }

    [[nodiscard]] bool isKnown(const std::string& id)
    {
        const CatalogEntry* known = m_catalog.find(id);
        const bool isQueued = std::any_of(m_queue.begin(), m_queue.end(), [&](const WaitingJob& job) { return job.id == id; });
        return (known && known->record) || isQueued || mayBeStored(id);
    }

    void refuse(const Caller& caller, const std::string& id, const JobRecord& record, std::function<void(AcceptOutcome)> done)
    {
        ++inFlight;
        m_store.read(jobKey(id), [self = shared_from_this(), job = WaitingJob { .id = id, .value = encode(record), .caller = caller, .callbacks = { std::move(done) }, .isAdmitted = nullptr }](const ReadResult& result) {
            if (result.outcome == StoreOutcome::Done)
                self->finishStored(job, result.item);
            else
                self->finishRefused(job, result.outcome == StoreOutcome::NotFound);
        });
    }

private:
    /// Drops queued jobs that are no longer admitted; jobs queue up while the store or the event loop is slow.
    void dropUnadmitted()
    {
        const auto isAdmitted = [](const WaitingJob& job) { return !job.isAdmitted || job.isAdmitted(); };
        const auto dropped = std::stable_partition(m_queue.begin(), m_queue.end(), isAdmitted);
        const std::vector<WaitingJob> refused(std::make_move_iterator(dropped), std::make_move_iterator(m_queue.end()));
        m_queue.erase(dropped, m_queue.end());
        for (const WaitingJob& job : refused)
            finish(job, job.hasUnsettledWrite ? AcceptOutcome::Unknown : AcceptOutcome::NotAccepted);
    }

    void send()
    {
        dropUnadmitted();
        while (!m_queue.empty() && m_activeBatches < maxConcurrentBatches) {
            const std::size_t count = std::min(m_queue.size(), maxJobsPerBatch);
            std::vector<WaitingJob> batch(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(m_queue.begin() + static_cast<std::ptrdiff_t>(count)));
            m_queue.erase(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(count));
            commit(std::move(batch));
        }
    }

    void commit(std::vector<WaitingJob> batch)
    {
        Transaction transaction;
        for (const WaitingJob& job : batch) {
            transaction.expected.push_back({ jobKey(job.id), 0 });
            transaction.writes.push_back({ jobKey(job.id), job.value, 0 });
        }
        ++m_activeBatches;
        for (const WaitingJob& job : batch)
            m_unsettledWrites[job.id] = m_loop.now() + unsettledWriteLifetime;
        m_store.commit(transaction, [self = shared_from_this(), batch = std::move(batch), sentAt = m_loop.now()](const CommitResult& result) mutable {
            --self->m_activeBatches;
            if (result.outcome == StoreOutcome::Unknown)
                self->noteUnanswered(sentAt);
            else
                self->noteAnswered(sentAt);
            self->committed(std::move(batch), result);
            self->send();
        });
    }

    void committed(std::vector<WaitingJob> batch, const CommitResult& result)
    {
        switch (result.outcome) {
        case StoreOutcome::Done:
            for (const WaitingJob& job : batch)
                finishStored(job, { .key = jobKey(job.id), .value = job.value, .revision = result.revision });
            return;
        case StoreOutcome::Conflict:
            resolveConflict(std::move(batch), result.current);
            return;
        case StoreOutcome::NotDone:
            for (const WaitingJob& job : batch)
                finish(job, job.hasUnsettledWrite ? AcceptOutcome::Unknown : AcceptOutcome::NotAccepted);
            return;
        default:
            for (WaitingJob& job : batch)
                readBack(std::move(job));
        }
    }

    /// \returns Whether a pending or unanswered write may still store the job.
    [[nodiscard]] bool mayBeStored(const std::string& id)
    {
        const MonotonicInstant now = m_loop.now();
        std::erase_if(m_unsettledWrites, [&](const auto& job) { return now >= job.second; });
        return m_unsettledWrites.contains(id);
    }

    void noteUnanswered(MonotonicInstant sentAt)
    {
        m_unansweredSentAt = sentAt;
        m_nextProbeAt = m_loop.now() + probeInterval;
    }

    /// Finishes the jobs that were stored before and sends the others again.
    void resolveConflict(std::vector<WaitingJob> batch, const std::vector<StoreItem>& current)
    {
        std::vector<WaitingJob> remaining;
        for (WaitingJob& job : batch) {
            if (const StoreItem* stored = findExisting(current, jobKey(job.id)))
                finishStored(job, *stored);
            else
                remaining.push_back(std::move(job));
        }
        if (!remaining.empty() && remaining.size() < batch.size())
            commit(std::move(remaining));
        else
            // The conflict names none of the keys, so each job's outcome is read back.
            for (WaitingJob& job : remaining)
                readBack(std::move(job));
    }

    void readBack(WaitingJob job)
    {
        const std::string key = jobKey(job.id);
        m_store.read(key, [self = shared_from_this(), job = std::move(job), sentAt = m_loop.now()](const ReadResult& result) {
            if (result.outcome == StoreOutcome::Done || result.outcome == StoreOutcome::NotFound)
                self->noteAnswered(sentAt);
            if (result.outcome == StoreOutcome::Done)
                self->finishStored(job, result.item);
            else
                self->finish(job, AcceptOutcome::Unknown);
        });
    }

    void finishStored(const WaitingJob& job, const StoreItem& item)
    {
        m_mirror.noteWritten(item);
        const std::optional<JobRecord> stored = item.value == job.value ? std::nullopt : decodeJob(item.value);
        finish(job, !stored || mayAccess(job.caller, *stored) ? AcceptOutcome::Accepted : AcceptOutcome::Foreign);
    }

    void finish(const WaitingJob& job, AcceptOutcome outcome)
    {
        inFlight -= job.callbacks.size();
        if (outcome != AcceptOutcome::Unknown)
            m_unsettledWrites.erase(job.id);
        job.answer(outcome);
    }

    /// Another submission of the id may have been sent to the store meanwhile. Its write stays unsettled, and Refused would be wrong.
    void finishRefused(const WaitingJob& job, bool isAbsent)
    {
        inFlight -= job.callbacks.size();
        job.answer(isAbsent && !isKnown(job.id) ? AcceptOutcome::Refused : AcceptOutcome::Unknown);
    }

    EventLoop& m_loop;
    KeyValueStore& m_store;
    StoreMirror& m_mirror;
    const JobCatalog& m_catalog;
    std::optional<MonotonicInstant> m_unansweredSentAt; ///< When the last write without an answer was sent.
    MonotonicInstant m_nextProbeAt;
    std::map<std::string, MonotonicInstant> m_unsettledWrites; ///< Jobs with an unsettled write, and the time until which it may be carried out.
    std::vector<WaitingJob> m_queue;
    std::size_t m_activeBatches = 0;
};

JobIntake::JobIntake(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, const JobCatalog& catalog)
    : m_impl(std::make_shared<Impl>(loop, store, mirror, catalog))
{
}

JobIntake::~JobIntake() = default;

void JobIntake::accept(const Caller& caller, const std::string& id, const JobRecord& record, std::function<bool()> isAdmitted, std::function<void(AcceptOutcome)> done)
{
    m_impl->accept(caller, id, record, std::move(isAdmitted), std::move(done));
}

bool JobIntake::isKnown(const std::string& id)
{
    return m_impl->isKnown(id);
}

void JobIntake::refuse(const Caller& caller, const std::string& id, const JobRecord& record, std::function<void(AcceptOutcome)> done)
{
    m_impl->refuse(caller, id, record, std::move(done));
}

void JobIntake::noteAnswered(MonotonicInstant sentAt)
{
    m_impl->noteAnswered(sentAt);
}

bool JobIntake::isStoreUnavailable() const noexcept
{
    return m_impl->isStoreUnavailable();
}

std::size_t JobIntake::inFlight() const noexcept
{
    return m_impl->inFlight;
}

} // namespace lanemoor::jobs
