#pragma once
/// \file
/// Stores the progress of jobs under the owner's condition.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/model/key_value_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

class StoreMirror;
class WorkMeter;

/// What the writer asks of its owner.
struct ProgressSource {
    /// \returns The newest progress of a job, or nothing if it is known no more.
    std::function<std::optional<ProgressRecord>(const std::string& id)> read;
    std::function<bool()> mayWrite; ///< Whether the ownership is held.
    std::function<void()> superseded; ///< The store says that the ownership is another's.
    WorkMeter* meter = nullptr; ///< Null: work is not measured.
};

/// Changed jobs that are not in the store yet.
struct UnsavedChanges {
    std::size_t jobs = 0;
    std::optional<MonotonicInstant> oldest; ///< When the first of them changed; nothing: there are none.

    [[nodiscard]] bool operator==(const UnsavedChanges&) const = default;
};

/// \brief Writes the progress of changed jobs, many in one transaction and a few transactions at
/// once, never one job in two of them. Each write carries the revision it replaces, so that one which is carried out late
/// undoes nothing.
class ProgressWriter {
public:
    /// \param condition Of the ownership under which this writer writes.
    ProgressWriter(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, KeyRevision condition, ProgressSource source);
    ~ProgressWriter();
    ProgressWriter(const ProgressWriter&) = delete;
    ProgressWriter& operator=(const ProgressWriter&) = delete;

    /// \brief Marks a job as changed; it is written soon.
    void markChanged(const std::string& id);

    /// \brief Calls `stored` once all that is marked now is in the store.
    void whenStored(std::function<void()> stored);

    /// \brief Calls `stored` once what is marked now of one job is in the store, whatever waits of others.
    void whenJobStored(const std::string& id, std::function<void()> stored);

    /// \returns Jobs marked and not yet stored.
    [[nodiscard]] UnsavedChanges unsaved() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
