#include "lanemoor/jobs/policy/evacuation_moves.h"

#include <utility>

namespace lanemoor::jobs {

EvacuationMoves::EvacuationMoves(EvacuationMovesOptions options)
    : m_options(options)
{
}

std::vector<CapacityMove> EvacuationMoves::next(const std::vector<EmptiedInstance>& emptied, const std::string& reserve, std::size_t mostMoves, MonotonicInstant now)
{
    std::vector<CapacityMove> moves;
    std::map<std::string, Turn> turns;
    for (const EmptiedInstance& each : emptied) {
        const auto known = m_turns.find(each.instance);
        Turn turn = known == m_turns.end() ? Turn { .moveAt = now + m_options.emptyBefore } : known->second;
        if (now >= turn.moveAt && moves.size() < mostMoves) {
            moves.push_back({ .instance = each.instance, .from = each.pool, .to = reserve });
            turn = { .moveAt = now + m_options.retryPause, .wasMoved = true };
        }
        turns[each.instance] = turn;
    }
    // Instances that are being moved are not listed as empty. A failed move is retried after the pause.
    for (const auto& [instance, turn] : m_turns) {
        if (turn.wasMoved && now < turn.moveAt)
            turns.try_emplace(instance, turn);
    }
    m_turns = std::move(turns);
    return moves;
}

} // namespace lanemoor::jobs
