#include "lanemoor/jobs/owner/job_retirement.h"

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/intake/job_catalog.h"
#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/owner/ownership_manager.h"
#include "lanemoor/jobs/store/store_mirror.h"

#include <array>
#include <map>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

namespace {

/// With ten jobs per scan, 50 jobs a second are removed. The busiest site submits 35 a second on average.
constexpr Millis scanInterval { 200 };
/// Covers calls in flight, and instances that are notified of the end a little later.
constexpr Millis retentionMargin { 5'000 };
/// Each job takes three removals of a transaction, and the ownership's condition takes one entry.
constexpr std::size_t maxJobsPerScan = (maxTransactionEntries - 1) / 3;
/// Each takes a condition and a removal.
constexpr std::size_t maxCancelsPerScan = (maxTransactionEntries - 1) / 2;

std::array<std::string, 3> keysOf(const std::string& id)
{
    return { std::string(jobKeyPrefix) + id, std::string(progressKeyPrefix) + id, std::string(cancelKeyPrefix) + id };
}

} // namespace

class JobRetirement::Impl : public std::enable_shared_from_this<JobRetirement::Impl> {
public:
    explicit Impl(JobRetirementOptions options)
        : m_options(options)
    {
    }

    void onJobChanged(const std::string& id)
    {
        const CatalogEntry* entry = m_options.catalog->find(id);
        if (!entry)
            m_finishedAt.erase(id);
        else if (isFinal(entry->progress.status))
            m_finishedAt.emplace(id, m_options.loop->now());
        if (entry && entry->isAbsentAndCancelled())
            m_absentCancelledAt.emplace(id, m_options.loop->now());
        else
            m_absentCancelledAt.erase(id);
    }

    void clear()
    {
        m_finishedAt.clear();
        m_absentCancelledAt.clear();
    }

    void scheduleScan()
    {
        m_options.loop->callAt(m_options.loop->now() + scanInterval, [self = weak_from_this()] {
            const auto impl = self.lock();
            if (!impl)
                return;
            impl->removeExpired();
            impl->scheduleScan();
        });
    }

private:
    void removeExpired()
    {
        if (m_removing || !m_options.ownership->isHeld())
            return;
        const std::vector<std::string> finished = expiredOf(m_finishedAt, maxJobsPerScan);
        const std::vector<std::string> absent = expiredOf(m_absentCancelledAt, maxCancelsPerScan);
        // Takes turns, so that neither kind waits for the other.
        m_isCancelsTurn = !m_isCancelsTurn;
        if (!absent.empty() && (m_isCancelsTurn || finished.empty()))
            removeCancels(absent);
        else if (!finished.empty())
            remove(finished);
    }

    /// \returns Up to `count` ids that are tracked for longer than the retention time.
    [[nodiscard]] std::vector<std::string> expiredOf(const std::map<std::string, MonotonicInstant>& tracked, std::size_t count) const
    {
        const MonotonicInstant now = m_options.loop->now();
        std::vector<std::string> expired;
        for (const auto& [id, at] : tracked) {
            if (now - at >= m_options.statusTime + retentionMargin && expired.size() < count)
                expired.push_back(id);
        }
        return expired;
    }

    /// Removes cancellations of jobs that are still absent. If one of the jobs was stored meanwhile nothing is removed, and the watch
    /// brings the job before the next scan or a later one.
    void removeCancels(const std::vector<std::string>& ids)
    {
        Transaction transaction { .expected = { m_options.ownership->condition() }, .writes = {}, .removals = {} };
        for (const std::string& id : ids) {
            transaction.expected.push_back({ jobKey(id), 0 });
            transaction.removals.push_back(cancelKey(id));
        }
        m_removing = true;
        m_options.store->commit(transaction, [self = weak_from_this(), ids](const CommitResult& result) {
            const auto impl = self.lock();
            if (!impl)
                return;
            impl->m_removing = false;
            if (result.outcome != StoreOutcome::Done)
                return;
            impl->m_options.log->decision("absent-cancels-retired", { { "cancels", static_cast<std::int64_t>(ids.size()) }, { "first", ids.front() }, { "revision", static_cast<std::int64_t>(result.revision) } });
            for (const std::string& id : ids)
                impl->m_options.mirror->noteWritten({ .key = cancelKey(id), .value = {}, .revision = result.revision, .removed = true });
        });
    }

    void remove(const std::vector<std::string>& ids)
    {
        Transaction transaction { .expected = { m_options.ownership->condition() }, .writes = {}, .removals = {} };
        for (const std::string& id : ids) {
            for (std::string& key : keysOf(id))
                transaction.removals.push_back(std::move(key));
        }
        m_removing = true;
        m_options.store->commit(transaction, [self = weak_from_this(), ids](const CommitResult& result) {
            if (const auto impl = self.lock())
                impl->onRemoved(ids, result);
        });
    }

    /// Without an answer the same jobs are removed again, which has no effect.
    void onRemoved(const std::vector<std::string>& ids, const CommitResult& result)
    {
        m_removing = false;
        if (result.outcome != StoreOutcome::Done)
            return;
        m_options.log->decision("jobs-retired", { { "jobs", static_cast<std::int64_t>(ids.size()) }, { "first", ids.front() }, { "revision", static_cast<std::int64_t>(result.revision) } });
        for (const std::string& id : ids) {
            for (const std::string& key : keysOf(id))
                m_options.mirror->noteWritten({ .key = key, .value = {}, .revision = result.revision, .removed = true });
        }
    }

    JobRetirementOptions m_options;
    std::map<std::string, MonotonicInstant> m_finishedAt; ///< Time when the job's end was observed, by job.
    std::map<std::string, MonotonicInstant> m_absentCancelledAt; ///< Time when the cancellation of a job that is not stored was observed, by job.
    bool m_removing = false;
    bool m_isCancelsTurn = false;
};

JobRetirement::JobRetirement(JobRetirementOptions options)
    : m_impl(std::make_shared<Impl>(options))
{
}

JobRetirement::~JobRetirement() = default;

void JobRetirement::start()
{
    m_impl->scheduleScan();
}

void JobRetirement::clear()
{
    m_impl->clear();
}

void JobRetirement::onJobChanged(const std::string& id)
{
    m_impl->onJobChanged(id);
}

} // namespace lanemoor::jobs
