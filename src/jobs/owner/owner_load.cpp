#include "owner_load.h"

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/model/work_meter.h"
#include "lanemoor/jobs/store/store_mirror.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr Millis tickInterval { 100 }; // Detects a stall as long as the renewal interval of the shortest lease.
constexpr Millis logInterval { 1'000 };

std::int64_t millis(std::chrono::microseconds time)
{
    return std::chrono::duration_cast<Millis>(time).count();
}

} // namespace

OwnerLoad::OwnerLoad(const JobSchedulerOptions& options, const SchedulerCounts& counts)
    : m_options(options)
    , m_counts(counts)
    , m_logged(counts)
{
}

void OwnerLoad::start()
{
    m_loggedAt = m_options.loop->now();
    tickLater();
}

void OwnerLoad::close()
{
    m_options.loop->cancel(std::exchange(m_timer, 0));
}

void OwnerLoad::tickLater()
{
    m_dueAt = m_options.loop->now() + tickInterval;
    m_timer = m_options.loop->callAt(m_dueAt, [weak = weak_from_this()] {
        if (const auto load = weak.lock())
            load->tick();
    });
}

void OwnerLoad::tick()
{
    m_timer = 0;
    const MonotonicInstant now = m_options.loop->now();
    m_maxDelay = std::max(m_maxDelay, now - m_dueAt);
    m_maxReplicaAge = std::max(m_maxReplicaAge, now - m_options.mirror->freshAt());
    if (now - m_loggedAt >= logInterval)
        writeLine(now);
    tickLater();
}

void OwnerLoad::writeLine(MonotonicInstant now)
{
    m_loggedAt = now;
    const WorkReading work = m_options.meter ? m_options.meter->takeRecent() : WorkReading {};
    m_options.log->decision("owner-load",
        { { "passes", static_cast<std::int64_t>(m_counts.passes - m_logged.passes) }, { "held_passes", static_cast<std::int64_t>(m_counts.heldPasses - m_logged.heldPasses) }, { "max_copy_age_ms", millis(std::exchange(m_maxReplicaAge, {})) }, { "starts", static_cast<std::int64_t>(m_counts.starts - m_logged.starts) }, { "sites_inspected", static_cast<std::int64_t>(m_counts.sitesInspected - m_logged.sitesInspected) },
            { "placement_ms", millis(work.of(WorkKind::Placement)) }, { "fleet_plan_ms", millis(work.of(WorkKind::FleetPlan)) }, { "reports_ms", millis(work.of(WorkKind::Reports)) },
            { "progress_ms", millis(work.of(WorkKind::Progress)) }, { "store_news_ms", millis(work.of(WorkKind::StoreChanges)) }, { "relay_frames_ms", millis(work.of(WorkKind::RelayFrames)) },
            { "longest_ms", millis(work.longest) }, { "longest", std::string(nameOf(work.longestPieceKind)) }, { "timer_late_ms", millis(std::exchange(m_maxDelay, {})) } });
    m_logged = m_counts;
}

} // namespace lanemoor::jobs
