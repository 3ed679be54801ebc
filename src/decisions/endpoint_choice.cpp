#include "lanemoor/decisions/endpoint_choice.h"

#include <string_view>
#include <tuple>

namespace lanemoor {

namespace {

/// FNV-1a. Unlike `std::hash`, it gives the same result on every entry instance.
std::uint64_t stableHash(std::string_view text) noexcept
{
    constexpr std::uint64_t offsetBasis = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offsetBasis;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= prime;
    }
    return hash;
}

} // namespace

std::optional<std::size_t> chooseEndpoint(const std::vector<EndpointCandidate>& candidates, std::uint64_t rotation) noexcept
{
    const EndpointCandidate* best = nullptr;
    std::tuple<bool, double> bestRank;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const EndpointCandidate& candidate = candidates[(i + rotation) % candidates.size()];
        if (candidate.tried || candidate.ejected || candidate.inFlight >= candidate.share)
            continue;
        const double load = static_cast<double>(candidate.inFlight) / candidate.share;
        const std::tuple<bool, double> rank { candidate.sameDomainAsTried, load };
        if (!best || rank < bestRank) {
            best = &candidate;
            bestRank = rank;
        }
    }
    if (!best)
        return std::nullopt;
    return best->index;
}

std::uint32_t shareOfShard(const std::string& key, std::uint32_t slots, std::uint32_t shard, std::uint32_t shardCount) noexcept
{
    if (shardCount == 0 || shard >= shardCount)
        return 0;
    const std::uint32_t base = slots / shardCount;
    const std::uint32_t remainder = slots % shardCount;
    const auto first = static_cast<std::uint32_t>(stableHash(key) % shardCount);
    const std::uint32_t position = (shard + shardCount - first) % shardCount;
    return base + (position < remainder ? 1 : 0);
}

} // namespace lanemoor
