#include "lanemoor/jobs/policy/evacuation_moves.h"

#include <utility>

namespace lanemoor::jobs {

EvacuationMoves::EvacuationMoves(EvacuationMovesOptions options)
    : m_options(options)
{
}

std::vector<CapacityMove> EvacuationMoves::next(const std::vector<EmptiedInstance>& emptied, const std::string& reserve, std::size_t maxMoves, MonotonicInstant now)
{
    std::vector<CapacityMove> moves;
    std::map<std::string, MoveSchedule> schedules;
    for (const EmptiedInstance& each : emptied) {
        const auto known = m_schedules.find(each.instance);
        MoveSchedule schedule = known == m_schedules.end() ? MoveSchedule { .moveAt = now + m_options.minEmptyTime } : known->second;
        if (now >= schedule.moveAt && moves.size() < maxMoves) {
            moves.push_back({ .instance = each.instance, .from = each.pool, .to = reserve });
            schedule = { .moveAt = now + m_options.retryPause, .wasMoved = true };
        }
        schedules[each.instance] = schedule;
    }
    // Instances that are being moved are not listed as empty. A failed move is retried after the pause.
    for (const auto& [instance, schedule] : m_schedules) {
        if (schedule.wasMoved && now < schedule.moveAt)
            schedules.try_emplace(instance, schedule);
    }
    m_schedules = std::move(schedules);
    return moves;
}

} // namespace lanemoor::jobs
