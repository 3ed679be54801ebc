#pragma once
/// \file
/// Which endpoint gets a request.

#include "lanemoor/decisions/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor {

/// An endpoint as it stands for one choice.
struct EndpointCandidate {
    std::size_t index = 0; ///< The caller's own number for it.
    std::uint32_t inFlight = 0; ///< Of this entry instance.
    std::uint32_t share = 0; ///< Requests at once that this entry instance may give it.
    bool ejected = false;
    bool sameDomainAsTried = false; ///< Stands in a failure domain that has failed this request.
    bool tried = false;

    [[nodiscard]] bool operator==(const EndpointCandidate&) const = default;
};

/// \brief Chooses the endpoint with the smallest load relative to its share.
///
/// Endpoints tried before are left out; those in a failure domain that has failed the
/// request come last. Equal ones are told apart by `turn`, so that entry instances
/// and requests spread over them.
/// \returns The chosen candidate's index, or nothing if none has room.
[[nodiscard]] std::optional<std::size_t> chooseEndpoint(const std::vector<EndpointCandidate>& candidates, std::uint64_t turn) noexcept;

/// \brief Shares the slots of an instance among the seats of the entry instances.
///
/// The shares of all seats add up to `slots` exactly, so all entries together never
/// exceed them, with no message exchanged. What does not divide evenly goes to seats
/// in an order that differs from instance to instance.
/// \param seat From 0 to `seats` - 1.
/// \returns Requests at once that the entry on `seat` may give the instance.
[[nodiscard]] std::uint32_t shareOfSeat(const std::string& instance, std::uint32_t slots, std::uint32_t seat, std::uint32_t seats) noexcept;

} // namespace lanemoor
