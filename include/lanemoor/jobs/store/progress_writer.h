#pragma once
/// \file
/// Writes the progress of jobs to the store, on condition of the ownership.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/model/key_value_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

class StoreMirror;
class WorkMeter;

/// Callbacks of a writer.
struct ProgressSource {
    /// \returns The newest progress of a job, or nothing if the job is unknown.
    std::function<std::optional<ProgressRecord>(const std::string& id)> read;
    std::function<bool()> mayWrite; ///< Whether the ownership is held.
    std::function<void()> superseded; ///< Called when the store shows another owner.
    WorkMeter* meter = nullptr; ///< Null: work is not metered.
};

/// Changed jobs that are not in the store yet.
struct UnsavedChanges {
    std::size_t jobs = 0;
    std::optional<MonotonicInstant> oldest; ///< When the first of them changed; nothing if there are none.

    [[nodiscard]] bool operator==(const UnsavedChanges&) const = default;
};

/// \brief Writes the progress of changed jobs, many in one transaction and a few transactions at once, but never one job in two
/// of them. Each write is conditional on the revision that it replaces, so that a write applied late undoes nothing.
class ProgressWriter {
public:
    /// \param condition Revision of the ownership; each write depends on it.
    ProgressWriter(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, KeyRevision condition, ProgressSource source);
    ~ProgressWriter();
    ProgressWriter(const ProgressWriter&) = delete;
    ProgressWriter& operator=(const ProgressWriter&) = delete;

    /// \brief Marks a job as changed; it is written soon.
    void markChanged(const std::string& id);

    /// \brief Calls `stored` once all changes that are marked now are in the store.
    void whenStored(std::function<void()> stored);

    /// \brief Calls `stored` once the changes of one job that are marked now are in the store, regardless of other jobs.
    void whenJobStored(const std::string& id, std::function<void()> stored);

    /// \returns The newest revision of a write of this writer: the ownership lasted then, so it is below the epochs of all later owners;
    /// 0: none.
    [[nodiscard]] std::uint64_t newestRevision() const noexcept;

    /// \returns Jobs that are marked and not yet stored.
    [[nodiscard]] UnsavedChanges unsaved() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
