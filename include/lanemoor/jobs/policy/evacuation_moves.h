#pragma once
/// \file
/// Chooses the empty instances of evacuated data halls that leave their pools for the reserve. Pure.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/policy/capacity_plan.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// An instance of an evacuated data hall that is up and runs nothing.
struct EmptiedInstance {
    std::string instance;
    std::string pool;

    [[nodiscard]] bool operator==(const EmptiedInstance&) const = default;
};

/// Weights of the moves.
struct EvacuationMovesOptions {
    /// A request that is withdrawn at once should cost no moves; an instance that stands idle costs as much as a move in about this time.
    Millis emptyBefore { 1'200 };
    Millis retryPause { 5'000 }; ///< Between two moves of one instance, of which the first failed.

    [[nodiscard]] bool operator==(const EvacuationMovesOptions&) const = default;
};

/// \brief Remembers since when instances are empty, and powers them off with the acts that the pools' own moves leave.
class EvacuationMoves {
public:
    explicit EvacuationMoves(EvacuationMovesOptions options = {});

    /// \param emptied All that are empty and not being moved now. \param reserve The pool whose instances are off.
    /// \param mostMoves What the platform takes beside the moves of instances that replace these.
    [[nodiscard]] std::vector<CapacityMove> next(const std::vector<EmptiedInstance>& emptied, const std::string& reserve, std::size_t mostMoves, MonotonicInstant now);

private:
    struct Turn {
        MonotonicInstant moveAt; ///< It does not leave before this.
        bool wasMoved = false;
    };

    EvacuationMovesOptions m_options;
    std::map<std::string, Turn> m_turns; ///< By instance.
};

} // namespace lanemoor::jobs
