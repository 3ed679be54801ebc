#include "lanemoor/jobs/intake/job_lookup.h"

#include "lanemoor/jobs/intake/job_catalog.h"
#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/store/store_mirror.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

namespace {

using StatusCallback = std::function<void(LookupOutcome, JobStatus)>;

/// Callers that wait for one read of a job's progress.
struct PendingRead {
    std::vector<StatusCallback> callers;
};

} // namespace

class JobLookup::Impl : public std::enable_shared_from_this<JobLookup::Impl> {
public:
    Impl(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, const JobCatalog& catalog, std::function<bool()> isCurrent, JobLookupOptions options)
        : m_loop(loop)
        , m_store(store)
        , m_mirror(mirror)
        , m_catalog(catalog)
        , m_isCurrent(std::move(isCurrent))
        , m_options(options)
        , m_readTokens(options.readsPerSecond)
        , m_readTokensRefilledAt(loop.now())
    {
    }

    void status(const std::string& id, const StatusCallback& done)
    {
        const CatalogEntry* known = m_catalog.find(id);
        if (!known || !known->record) {
            readJob(id, done);
            return;
        }
        const auto pendingRead = m_reads.find(id);
        const bool isUpToDate = isFinal(known->status()) || !m_options.readsThrough || m_isCurrent() || isFresh(id);
        if (pendingRead != m_reads.end())
            pendingRead->second.callers.push_back(done);
        else if (isUpToDate || (m_options.holdsAllJobs && !tryConsumeReadToken()))
            done(LookupOutcome::Done, known->status());
        else
            readProgress(id, done);
    }

    std::size_t inFlight = 0;

private:
    /// Reads a job that is missing in the catalog.
    void readJob(const std::string& id, const StatusCallback& done)
    {
        ++inFlight;
        m_store.read(jobKey(id), [self = shared_from_this(), id, done](const ReadResult& result) {
            --self->inFlight;
            if (result.outcome == StoreOutcome::NotFound) {
                done(LookupOutcome::NoSuchJob, JobStatus::Queued);
                return;
            }
            if (result.outcome != StoreOutcome::Done) {
                done(LookupOutcome::Unavailable, JobStatus::Queued);
                return;
            }
            self->m_mirror.noteWritten(result.item);
            if (self->m_options.holdsAllJobs)
                done(LookupOutcome::Done, self->knownStatus(id));
            else
                self->readProgress(id, done);
        });
    }

    void readProgress(const std::string& id, const StatusCallback& done)
    {
        ++inFlight;
        m_reads[id].callers.push_back(done);
        m_store.read(progressKey(id), [self = shared_from_this(), id](const ReadResult& result) {
            if (result.outcome == StoreOutcome::Done)
                self->m_mirror.noteWritten(result.item);
            if (result.outcome == StoreOutcome::Done || result.outcome == StoreOutcome::NotFound)
                self->noteRead(id);
            self->answer(id);
        });
        m_loop.callAt(m_loop.now() + m_options.readTimeout, [self = weak_from_this(), id] {
            if (const auto impl = self.lock())
                impl->answer(id);
        });
    }

    /// Answers the callers that wait for a read of the job, with the status in the catalog.
    void answer(const std::string& id)
    {
        const auto found = m_reads.find(id);
        if (found == m_reads.end())
            return;
        const std::vector<StatusCallback> callers = std::move(found->second.callers);
        m_reads.erase(found);
        --inFlight;
        const LookupOutcome outcome = m_catalog.find(id) ? LookupOutcome::Done : LookupOutcome::Unavailable;
        for (const StatusCallback& caller : callers)
            caller(outcome, knownStatus(id));
    }

    [[nodiscard]] JobStatus knownStatus(const std::string& id) const
    {
        const CatalogEntry* entry = m_catalog.find(id);
        return entry ? entry->status() : JobStatus::Queued;
    }

    void noteRead(const std::string& id)
    {
        const MonotonicInstant now = m_loop.now();
        std::erase_if(m_readAt, [&](const auto& read) { return now - read.second > m_options.maxReadAge; });
        m_readAt[id] = now;
    }

    [[nodiscard]] bool isFresh(const std::string& id) const
    {
        const auto found = m_readAt.find(id);
        return found != m_readAt.end() && m_loop.now() - found->second <= m_options.maxReadAge;
    }

    /// Consumes a token of the read rate limit. \returns Whether there was one.
    [[nodiscard]] bool tryConsumeReadToken()
    {
        const MonotonicInstant now = m_loop.now();
        const double seconds = std::chrono::duration<double>(now - m_readTokensRefilledAt).count();
        m_readTokens = std::min(m_readTokens + seconds * m_options.readsPerSecond, m_options.readsPerSecond);
        m_readTokensRefilledAt = now;
        if (m_readTokens < 1)
            return false;
        m_readTokens -= 1;
        return true;
    }

    EventLoop& m_loop;
    KeyValueStore& m_store;
    StoreMirror& m_mirror;
    const JobCatalog& m_catalog;
    std::function<bool()> m_isCurrent;
    JobLookupOptions m_options;
    std::map<std::string, PendingRead> m_reads; ///< Pending reads, by job.
    std::map<std::string, MonotonicInstant> m_readAt; ///< Time of the latest read of recently read jobs.
    double m_readTokens;
    MonotonicInstant m_readTokensRefilledAt;
};

JobLookup::JobLookup(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, const JobCatalog& catalog, std::function<bool()> isCurrent, JobLookupOptions options)
    : m_impl(std::make_shared<Impl>(loop, store, mirror, catalog, std::move(isCurrent), options))
{
}

JobLookup::~JobLookup() = default;

std::size_t JobLookup::inFlight() const noexcept
{
    return m_impl->inFlight;
}

void JobLookup::status(const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done)
{
    m_impl->status(id, done);
}

} // namespace lanemoor::jobs
