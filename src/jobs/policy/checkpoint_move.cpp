#include "lanemoor/jobs/policy/checkpoint_move.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

constexpr std::int64_t fullPercent = 100;

} // namespace

Millis timeLeft(const CheckpointedAttempt& attempt) noexcept
{
    const std::int64_t done = std::min<std::int64_t>(attempt.percent, fullPercent);
    // Declared times are off by half and more; the attempt's own progress is accurate.
    if (done > 0)
        return attempt.elapsed * (fullPercent - done) / done;
    return std::max(attempt.declaredLeft, Millis(0));
}

bool isWorthMoving(const CheckpointedAttempt& attempt, const CheckpointMoveCost& cost) noexcept
{
    return timeLeft(attempt) > cost.restore + cost.stopAndStart;
}

} // namespace lanemoor::jobs
