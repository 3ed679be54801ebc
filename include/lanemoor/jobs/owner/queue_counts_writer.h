#pragma once
/// \file
/// Publishes counts of waiting jobs for entry instances without a replica of the jobs.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"
#include "lanemoor/jobs/model/service_configuration.h"

#include <functional>
#include <memory>

namespace lanemoor::jobs {

class OwnershipManager;

/// Dependencies and settings of a QueueCountsWriter. The objects must outlive it.
struct QueueCountsWriterOptions {
    EventLoop* loop = nullptr;
    KeyValueStore* store = nullptr;
    const JobCatalog* catalog = nullptr;
    const OwnershipManager* ownership = nullptr;
    std::function<std::shared_ptr<const ServiceConfiguration>()> configuration;
    std::function<bool()> isCurrent; ///< Whether the replica of the jobs is fresh enough to count.
    Millis writeEvery { 1'000 }; ///< Half of the maximum age of a count.
};

/// \brief Writes the counts of all queues to the store while this instance holds the ownership.
class QueueCountsWriter {
public:
    explicit QueueCountsWriter(QueueCountsWriterOptions options);
    ~QueueCountsWriter();
    QueueCountsWriter(const QueueCountsWriter&) = delete;
    QueueCountsWriter& operator=(const QueueCountsWriter&) = delete;

    /// \brief Starts periodic writing; counts are written only while the ownership is held.
    void start();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
