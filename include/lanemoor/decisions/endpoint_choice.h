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
/// are selected last. `turn` breaks ties, so that requests of all entry instances spread
/// over equal endpoints.
/// \returns The index of the selected candidate, or nothing if none has capacity.
[[nodiscard]] std::optional<std::size_t> chooseEndpoint(const std::vector<EndpointCandidate>& candidates, std::uint64_t rotation) noexcept;

/// \brief Divides the slots of an instance among the shards of the entry instances.
///
/// The shares add up to exactly `slots`, so that all entry instances together never exceed
/// them, without coordination. The remainder goes to shards in an order that depends on
/// the hash of the instance's id.
/// \param seat Shard number, from 0 to `seats` - 1.
/// \returns Max concurrent requests that the entry instance on `seat` may send to the instance.
[[nodiscard]] std::uint32_t shareOfShard(const std::string& key, std::uint32_t slots, std::uint32_t shard, std::uint32_t shardCount) noexcept;

} // namespace lanemoor
