#include "lanemoor/serve/process/readiness.h"

namespace lanemoor {

namespace {

/// A configuration change must be in force everywhere within this time.
constexpr Millis freshFor = std::chrono::seconds(5);

} // namespace

const char* describe(Readiness readiness) noexcept
{
    switch (readiness) {
    case Readiness::Ready:
        return "ready";
    case Readiness::NoConfiguration:
        return "no configuration was received yet";
    case Readiness::NoSeat:
        return "no seat among the entry instances is free";
    case Readiness::CutOff:
        return "neither the store nor most other entry instances can be reached";
    case Readiness::Stopping:
        return "being stopped";
    }
    return "unknown";
}

Readiness judgeReadiness(const StandingFacts& facts, Instant now) noexcept
{
    if (facts.stopping)
        return Readiness::Stopping;
    if (facts.configurationRevision == 0)
        return Readiness::NoConfiguration;
    if (!facts.hasSeat)
        return Readiness::NoSeat;
    const bool storeFresh = now < facts.storeReachedAt + freshFor;
    const bool hearsMost = 2 * (facts.peersHeard + 1) > facts.peersKnown + 1;
    return storeFresh || hearsMost ? Readiness::Ready : Readiness::CutOff;
}

} // namespace lanemoor
