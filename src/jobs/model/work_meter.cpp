#include "lanemoor/jobs/model/work_meter.h"

#include <utility>

namespace lanemoor::jobs {

std::string_view nameOf(WorkKind kind) noexcept
{
    switch (kind) {
    case WorkKind::Placement:
        return "placement";
    case WorkKind::FleetPlan:
        return "fleet-plan";
    case WorkKind::Reports:
        return "reports";
    case WorkKind::Progress:
        return "progress";
    case WorkKind::StoreChanges:
        return "store-news";
    case WorkKind::RelayFrames:
        return "relay-frames";
    }
    return "unknown";
}

WorkMeter::WorkMeter(const EventLoop& loop)
    : m_loop(loop)
{
}

WorkMeter::Piece::Piece(WorkMeter* meter, WorkKind kind)
    : m_meter(meter)
    , m_kind(kind)
{
    if (!m_meter)
        return;
    m_outer = std::exchange(m_meter->m_current, this);
    m_begin = m_meter->m_loop.now();
}

WorkMeter::Piece::~Piece()
{
    if (!m_meter)
        return;
    const std::chrono::microseconds inclusive = m_meter->m_loop.now() - m_begin;
    const std::chrono::microseconds exclusive = inclusive - m_nested;
    const auto index = static_cast<std::size_t>(m_kind);
    m_meter->m_total.spent.at(index) += exclusive;
    m_meter->m_recent.spent.at(index) += exclusive;
    m_meter->m_current = m_outer;
    if (m_outer)
        m_outer->m_nested += inclusive;
    if (inclusive <= m_meter->m_recent.longest)
        return;
    m_meter->m_recent.longest = inclusive;
    m_meter->m_recent.longestPieceKind = m_kind;
}

WorkReading WorkMeter::takeRecent()
{
    return std::exchange(m_recent, {});
}

} // namespace lanemoor::jobs
