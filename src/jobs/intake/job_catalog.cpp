#include "lanemoor/jobs/intake/job_catalog.h"

#include "lanemoor/jobs/intake/caller_access.h"

namespace lanemoor::jobs {

namespace {

std::optional<std::string> idUnder(std::string_view prefix, const std::string& key)
{
    if (key.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    return key.substr(prefix.size());
}

} // namespace

JobStatus CatalogEntry::status() const noexcept
{
    if (isFinal(progress.status))
        return progress.status;
    return cancelled ? JobStatus::Cancelled : progress.status;
}

std::optional<std::string> JobCatalog::apply(const StoreItem& item)
{
    bool readable = true;
    std::optional<std::string> id;
    if ((id = idUnder(jobKeyPrefix, item.key)))
        readable = applyJob(*id, item);
    else if ((id = idUnder(progressKeyPrefix, item.key)))
        readable = applyProgress(*id, item);
    else if ((id = idUnder(cancelKeyPrefix, item.key)))
        applyCancel(*id, item);
    else
        return std::nullopt;
    if (!readable) {
        ++m_unreadable;
        return std::nullopt;
    }
    index(*id);
    if (m_observer)
        m_observer(*id);
    return id;
}

bool JobCatalog::applyJob(const std::string& id, const StoreItem& item)
{
    if (item.removed) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end())
            return true;
        if (found->second.record)
            m_queuedByQueue[found->second.record->queue].erase(id);
        m_jobs.erase(found);
        return true;
    }
    std::optional<JobRecord> record = decodeJob(item.value);
    if (!record)
        return false;
    CatalogEntry& entry = m_jobs[id];
    entry.record = std::make_shared<const JobRecord>(std::move(*record));
    entry.cancelled = entry.cancellation && appliesTo(*entry.cancellation, *entry.record);
    return true;
}

bool JobCatalog::applyProgress(const std::string& id, const StoreItem& item)
{
    if (item.removed)
        return true;
    std::optional<ProgressRecord> progress = decodeProgress(item.value);
    if (!progress)
        return false;
    m_jobs[id].progress = std::move(*progress);
    return true;
}

void JobCatalog::applyCancel(const std::string& id, const StoreItem& item)
{
    if (item.removed) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end() && found->second.isAbsentAndCancelled())
            m_jobs.erase(found);
        return;
    }
    CatalogEntry& entry = m_jobs[id];
    entry.cancellation = decodeCancel(item.value);
    entry.cancelled = entry.record && appliesTo(*entry.cancellation, *entry.record);
}

void JobCatalog::index(const std::string& id)
{
    const CatalogEntry* entry = find(id);
    if (entry && entry->isAbsentAndCancelled())
        m_absentCancels.insert(id);
    else
        m_absentCancels.erase(id);
    if (!entry || !entry->record)
        return;
    std::set<std::string>& queued = m_queuedByQueue[entry->record->queue];
    if (entry->status() == JobStatus::Queued)
        queued.insert(id);
    else
        queued.erase(id);
}

void JobCatalog::clear()
{
    m_jobs.clear();
    m_queuedByQueue.clear();
    m_absentCancels.clear();
}

const CatalogEntry* JobCatalog::find(const std::string& id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::uint64_t JobCatalog::pending(const std::string& queue) const
{
    const auto found = m_queuedByQueue.find(queue);
    return found == m_queuedByQueue.end() ? 0 : found->second.size();
}

} // namespace lanemoor::jobs
