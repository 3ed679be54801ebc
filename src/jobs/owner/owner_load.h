#pragma once
/// \file
/// Logs once a second how much time the owner spends on each kind of work.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/owner/job_scheduler.h"

#include <memory>

namespace lanemoor::jobs {

/// \brief Writes an `owner-load` event once a second, from `start` to `close`.
///
/// A late timer shows that the thread or its machine was overloaded, also by work that no kind accounts
/// for.
class OwnerLoad : public std::enable_shared_from_this<OwnerLoad> {
public:
    OwnerLoad(const JobSchedulerOptions& options, const SchedulerCounts& counts);

    void start();
    void close();

private:
    void tickLater();
    void tick();
    void writeLine(MonotonicInstant now);

    const JobSchedulerOptions& m_options;
    const SchedulerCounts& m_counts;
    TimerId m_timer = 0;
    MonotonicInstant m_dueAt;
    MonotonicInstant m_loggedAt;
    std::chrono::microseconds m_maxDelay {}; ///< Maximum delay of the timer since the last line.
    std::chrono::microseconds m_maxReplicaAge {}; ///< Maximum age of the replica of the jobs since the last line, as of each tick.
    SchedulerCounts m_logged; ///< Counts at the last line.
};

} // namespace lanemoor::jobs
