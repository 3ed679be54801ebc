#pragma once
/// \file
/// Removes finished jobs from the store once their status need not be shown any more.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"

#include <memory>
#include <string>

namespace lanemoor {
class EventLog;
} // namespace lanemoor

namespace lanemoor::jobs {

class OwnershipManager;
class StoreMirror;

/// What a retirement works with. All of it outlives the retirement.
struct JobRetirementOptions {
    EventLoop* loop = nullptr;
    KeyValueStore* store = nullptr;
    StoreMirror* mirror = nullptr;
    const JobCatalog* catalog = nullptr;
    const OwnershipManager* ownership = nullptr;
    EventLog* log = nullptr;
    Millis statusTime { 120'000 }; ///< A finished job's status is shown at least this long.
};

/// \brief Forgets finished jobs, so that neither the store nor the copies grow for ever.
///
/// Every instance counts the time since it heard of a job's end; only the owner removes, under
/// the ownership's condition. A new owner that heard late removes late.
class JobRetirement {
public:
    explicit JobRetirement(JobRetirementOptions options);
    ~JobRetirement();
    JobRetirement(const JobRetirement&) = delete;
    JobRetirement& operator=(const JobRetirement&) = delete;

    /// \brief Begins to look for jobs to remove.
    void start();

    /// \brief Takes in that the catalog changed.
    void onJobChanged(const std::string& id);

    /// \brief Forgets all jobs: the catalog has been cleared.
    void clear();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
