#include "owner_load.h"

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/model/work_meter.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr Millis tickEvery { 100 }; // A hold-up as long as the shortest lease's renewal is seen.
constexpr Millis tellEvery { 1'000 };

std::int64_t millis(std::chrono::microseconds time)
{
    return std::chrono::duration_cast<Millis>(time).count();
}

} // namespace

OwnerLoad::OwnerLoad(const JobSchedulerOptions& options, const SchedulerCounts& counts)
    : m_options(options)
    , m_counts(counts)
    , m_told(counts)
{
}

void OwnerLoad::start()
{
    m_toldAt = m_options.loop->now();
    tickLater();
}

void OwnerLoad::close()
{
    m_options.loop->cancel(std::exchange(m_timer, 0));
}

void OwnerLoad::tickLater()
{
    m_dueAt = m_options.loop->now() + tickEvery;
    m_timer = m_options.loop->callAt(m_dueAt, [weak = weak_from_this()] {
        if (const auto load = weak.lock())
            load->tick();
    });
}

void OwnerLoad::tick()
{
    m_timer = 0;
    const MonotonicInstant now = m_options.loop->now();
    m_latest = std::max(m_latest, now - m_dueAt);
    if (now - m_toldAt >= tellEvery)
        tell(now);
    tickLater();
}

void OwnerLoad::tell(MonotonicInstant now)
{
    m_toldAt = now;
    const WorkReading work = m_options.meter ? m_options.meter->takeRecent() : WorkReading {};
    m_options.log->decision("owner-load",
        { { "passes", static_cast<std::int64_t>(m_counts.passes - m_told.passes) }, { "starts", static_cast<std::int64_t>(m_counts.starts - m_told.starts) }, { "sites_inspected", static_cast<std::int64_t>(m_counts.sitesInspected - m_told.sitesInspected) },
            { "placement_ms", millis(work.of(WorkKind::Placement)) }, { "fleet_plan_ms", millis(work.of(WorkKind::FleetPlan)) }, { "reports_ms", millis(work.of(WorkKind::Reports)) },
            { "progress_ms", millis(work.of(WorkKind::Progress)) }, { "store_news_ms", millis(work.of(WorkKind::StoreChanges)) }, { "relay_frames_ms", millis(work.of(WorkKind::RelayFrames)) },
            { "longest_ms", millis(work.longest) }, { "longest", std::string(nameOf(work.longestKind)) }, { "timer_late_ms", millis(std::exchange(m_latest, {})) } });
    m_told = m_counts;
}

} // namespace lanemoor::jobs
