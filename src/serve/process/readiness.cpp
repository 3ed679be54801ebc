#include "lanemoor/serve/process/readiness.h"

namespace lanemoor {

namespace {

/// A configuration change must be in force everywhere within this time, so an entry instance
/// whose last contact with the store is older may have missed one.
constexpr Millis maxStoreContactAge = std::chrono::seconds(5);

} // namespace

const char* describe(Readiness readiness) noexcept
{
    switch (readiness) {
    case Readiness::Ready:
        return "ready";
    case Readiness::NoConfiguration:
        return "no configuration was received yet";
    case Readiness::NoShard:
        return "no seat among the entry instances is free";
    case Readiness::Partitioned:
        return "neither the store nor most other entry instances can be reached";
    case Readiness::Stopping:
        return "being stopped";
    }
    return "unknown";
}

Readiness evaluateReadiness(const ReadinessInputs& inputs, Instant now) noexcept
{
    if (inputs.stopping)
        return Readiness::Stopping;
    if (inputs.configurationRevision == 0)
        return Readiness::NoConfiguration;
    if (!inputs.hasShard)
        return Readiness::NoShard;
    const bool isStoreReachable = now < inputs.storeReachedAt + maxStoreContactAge;
    const bool reachesMajority = 2 * (inputs.peersReporting + 1) > inputs.peersKnown + 1;
    return isStoreReachable || reachesMajority ? Readiness::Ready : Readiness::Partitioned;
}

} // namespace lanemoor
