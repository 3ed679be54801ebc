#pragma once
/// \file
/// Every job that the store holds, as an entry instance knows them.

#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/model/key_value_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lanemoor::jobs {

/// What the store holds of one job.
struct CatalogEntry {
    std::shared_ptr<const JobRecord> record; ///< Null while only other keys of the job are known.
    ProgressRecord progress;
    bool cancelled = false; ///< A caller asked for it; the status may be final for another reason.

    /// \returns The status to show to callers.
    [[nodiscard]] JobStatus status() const noexcept;
};

/// Hears which job changed, after the catalog has the change.
using CatalogObserver = std::function<void(const std::string& id)>;

/// \brief Jobs by id, fed with the items under the job service's prefix.
class JobCatalog {
public:
    /// \brief Takes in an item. One that can't be read is counted and otherwise ignored.
    /// \returns The id of the job that changed, or nothing.
    std::optional<std::string> apply(const StoreItem& item);

    /// \brief Forgets all jobs, without notice to the observer.
    void clear();

    /// \returns The job, or null.
    [[nodiscard]] const CatalogEntry* find(const std::string& id) const;

    /// \returns Jobs of `queue` that are accepted and have not begun. Jobs with due times count
    /// from the first.
    [[nodiscard]] std::uint64_t pending(const std::string& queue) const;

    /// \returns All jobs, ordered by id.
    [[nodiscard]] const std::map<std::string, CatalogEntry>& all() const noexcept { return m_jobs; }

    /// \returns Items that could not be read.
    [[nodiscard]] std::uint64_t unreadable() const noexcept { return m_unreadable; }

    void observe(CatalogObserver observer) { m_observer = std::move(observer); }

private:
    std::map<std::string, CatalogEntry> m_jobs;
    std::map<std::string, std::set<std::string>> m_queuedByQueue;
    std::uint64_t m_unreadable = 0;
    CatalogObserver m_observer;

    bool applyJob(const std::string& id, const StoreItem& item);
    bool applyProgress(const std::string& id, const StoreItem& item);
    void applyCancel(const std::string& id, const StoreItem& item);
    void index(const std::string& id);
};

} // namespace lanemoor::jobs
