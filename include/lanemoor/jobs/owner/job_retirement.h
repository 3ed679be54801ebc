#pragma once
/// \file
/// Removes finished jobs, and cancellations of absent ones, from the store once their retention time has passed.

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

/// Dependencies and settings of JobRetirement. The objects must outlive it.
struct JobRetirementOptions {
    EventLoop* loop = nullptr;
    KeyValueStore* store = nullptr;
    StoreMirror* mirror = nullptr;
    const JobCatalog* catalog = nullptr;
    const OwnershipManager* ownership = nullptr;
    EventLog* log = nullptr;
    Millis statusTime { 120'000 }; ///< Minimum retention of a finished job's status.
};

/// \brief Removes finished jobs, and cancellations whose jobs were never stored, which bounds the size of the store and of its replicas.
///
/// Every instance measures the time since it was notified of a job's end. Only the owner removes jobs, under the
/// condition of its ownership. A new owner that was notified late removes late.
class JobRetirement {
public:
    explicit JobRetirement(JobRetirementOptions options);
    ~JobRetirement();
    JobRetirement(const JobRetirement&) = delete;
    JobRetirement& operator=(const JobRetirement&) = delete;

    /// \brief Starts the periodic scan for jobs to remove.
    void start();

    /// \brief Handles a change of a job in the catalog.
    void onJobChanged(const std::string& id);

    /// \brief Drops all tracked jobs after the catalog has been cleared.
    void clear();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
