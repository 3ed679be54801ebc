#include "lanemoor/jobs/policy/retry_advice.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

constexpr Millis second { 1'000 };

} // namespace

Millis expectedDrain(const RefusalSituation& situation) noexcept
{
    if (situation.refused == 0)
        return Millis(0);
    const double share = static_cast<double>(std::min(situation.waiting, situation.refused)) / static_cast<double>(situation.refused);
    return Millis(static_cast<Millis::rep>(share * static_cast<double>(situation.lasted.count())));
}

Millis adviseRetry(const RefusalSituation& situation, std::minstd_rand& random)
{
    const Millis drain = std::clamp(expectedDrain(situation), minRetryAfter, maxRetryAfter);
    const auto window = (drain + second - Millis(1)) / second;
    const Millis chosen = second * std::uniform_int_distribution<Millis::rep>(1, window)(random);
    const Millis useful = second * (situation.useful / second);
    return std::clamp(chosen, minRetryAfter, std::max(useful, minRetryAfter));
}

} // namespace lanemoor::jobs
