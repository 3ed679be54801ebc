#pragma once
/// \file
/// Publishes counts of waiting jobs for entry instances without a copy of the jobs.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"
#include "lanemoor/jobs/model/service_configuration.h"

#include <functional>
#include <memory>

namespace lanemoor::jobs {

class OwnershipManager;

/// What a writer of counts works with. All of it outlives the writer.
struct QueueCountsWriterOptions {
    EventLoop* loop = nullptr;
    KeyValueStore* store = nullptr;
    const JobCatalog* catalog = nullptr;
    const OwnershipManager* ownership = nullptr;
    std::function<std::shared_ptr<const ServiceConfiguration>()> configuration;
    std::function<bool()> isCurrent; ///< Whether the copy of the jobs is fresh enough to count.
    Millis writeEvery { 1'000 }; ///< Half of the age that a count may have.
};

/// \brief Writes the counts of all queues to the store while this instance owns the jobs.
class QueueCountsWriter {
public:
    explicit QueueCountsWriter(QueueCountsWriterOptions options);
    ~QueueCountsWriter();
    QueueCountsWriter(const QueueCountsWriter&) = delete;
    QueueCountsWriter& operator=(const QueueCountsWriter&) = delete;

    /// \brief Starts to write whenever the ownership is held.
    void start();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
