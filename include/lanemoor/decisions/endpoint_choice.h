#pragma once
/// \file
/// Load balancing: selects the endpoint for a request.

#include "lanemoor/decisions/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor {

/// State of an endpoint at the time of one selection.
struct EndpointCandidate {
    std::size_t index = 0; ///< Index used by the caller.
    std::uint32_t inFlight = 0; ///< Requests of this entry instance.
    std::uint32_t share = 0; ///< Max concurrent requests that this entry instance may send to it.
    bool ejected = false;
    bool sameDomainAsTried = false; ///< Shares a failure domain with an endpoint that failed this request.
    bool tried = false;

    [[nodiscard]] bool operator==(const EndpointCandidate&) const = default;
};

/// \brief Selects the endpoint with the smallest load relative to its share.
///
/// Endpoints already tried are skipped; those in a failure domain that failed the request
/// are selected last. `rotation` breaks ties, so that requests of all entry instances spread
/// over equal endpoints.
/// \returns The index of the selected candidate, or nothing if none has capacity.
[[nodiscard]] std::optional<std::size_t> chooseEndpoint(const std::vector<EndpointCandidate>& candidates, std::uint64_t rotation) noexcept;

/// \brief Divides the slots, connections or quota of `key` among the shards of the entry instances.
///
/// The shares add up to exactly `slots`, so that all entry instances together never exceed
/// them, without coordination. The remainder goes to shards in an order that depends on
/// the hash of `key`.
/// \param key Id of an instance or name of a team.
/// \param shard From 0 to `shardCount` - 1.
/// \returns The part of `slots` that belongs to `shard`.
[[nodiscard]] std::uint32_t shareOfShard(const std::string& key, std::uint32_t slots, std::uint32_t shard, std::uint32_t shardCount) noexcept;

} // namespace lanemoor
