#pragma once
/// \file
/// In-memory index of the jobs in the store, at an entry instance.

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

/// One job's record, progress and cancellation.
struct CatalogEntry {
    std::shared_ptr<const JobRecord> record; ///< Null until the job's own key was read.
    ProgressRecord progress;
    std::optional<CancelRecord> cancellation; ///< May be stored before the job, and then not apply to it.
    bool cancelled = false; ///< A cancellation applies to the job; the status may be final for another reason.

    /// \returns Whether a cancellation is stored for a job that is not.
    [[nodiscard]] bool isAbsentAndCancelled() const noexcept { return !record && cancellation; }

    /// \returns The status to show to callers.
    [[nodiscard]] JobStatus status() const noexcept;
};

/// Notified with a job's id after the catalog has applied a change to it.
using CatalogObserver = std::function<void(const std::string& id)>;

/// \brief Jobs by id, built from the store items under `jobServicePrefix`.
class JobCatalog {
public:
    /// \brief Applies an item. Unreadable items are counted and otherwise ignored.
    /// \returns The id of the job that changed, or nothing.
    std::optional<std::string> apply(const StoreItem& item);

    /// \brief Removes all jobs without notifying the observer.
    void clear();

    /// \returns The job, or null.
    [[nodiscard]] const CatalogEntry* find(const std::string& id) const;

    /// \returns The number of accepted jobs of `queue` that have not begun. Recurring jobs count as pending until their first occurrence
    /// begins.
    [[nodiscard]] std::uint64_t pending(const std::string& queue) const;

    /// \returns All jobs, ordered by id.
    [[nodiscard]] const std::map<std::string, CatalogEntry>& all() const noexcept { return m_jobs; }

    /// \returns The number of cancellations whose jobs are not stored.
    [[nodiscard]] std::size_t absentCancels() const noexcept { return m_absentCancels.size(); }

    /// \returns The number of unreadable items so far.
    [[nodiscard]] std::uint64_t unreadable() const noexcept { return m_unreadable; }

    void observe(CatalogObserver observer) { m_observer = std::move(observer); }

private:
    std::map<std::string, CatalogEntry> m_jobs;
    std::map<std::string, std::set<std::string>> m_queuedByQueue;
    std::set<std::string> m_absentCancels; ///< Ids of cancellations whose jobs are not stored.
    std::uint64_t m_unreadable = 0;
    CatalogObserver m_observer;

    bool applyJob(const std::string& id, const StoreItem& item);
    bool applyProgress(const std::string& id, const StoreItem& item);
    void applyCancel(const std::string& id, const StoreItem& item);
    void index(const std::string& id);
};

} // namespace lanemoor::jobs
