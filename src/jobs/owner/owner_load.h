#pragma once
/// \file
/// Tells the log each second what the owner spends its time on.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/owner/job_scheduler.h"

#include <memory>

namespace lanemoor::jobs {

/// \brief Writes `owner-load` once a second, from its construction to `close`.
///
/// A timer that is late shows that the thread, or its machine, had no time: work that no kind accounts for
/// included.
class OwnerLoad : public std::enable_shared_from_this<OwnerLoad> {
public:
    OwnerLoad(const JobSchedulerOptions& options, const SchedulerCounts& counts);

    void start();
    void close();

private:
    void tickLater();
    void tick();
    void tell(MonotonicInstant now);

    const JobSchedulerOptions& m_options;
    const SchedulerCounts& m_counts;
    TimerId m_timer = 0;
    MonotonicInstant m_dueAt;
    MonotonicInstant m_toldAt;
    std::chrono::microseconds m_latest {}; ///< Of the timer, since the last line.
    SchedulerCounts m_told; ///< At the last line.
};

} // namespace lanemoor::jobs
