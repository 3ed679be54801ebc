#pragma once
/// \file
/// The observed state of an instance.

#include "lanemoor/decisions/labels.h"
#include "lanemoor/decisions/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// A kind of failure domain, from the smallest to the largest.
enum class FailureDomain {
    None, ///< No failure has to be survived.
    Instance,
    Rack,
    DataHall,
};

/// State of an instance in the platform's list.
enum class InstanceState {
    Live,
    Leaving, ///< The platform reclaims the instance soon; no new work is sent to it.
    Gone,
};

/// \brief One instance as last observed. Immutable once in a snapshot.
struct Instance {
    std::string id;
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    std::string dataHall;
    std::string rack; ///< Unique across all data halls.
    LabelSet labels;
    InstanceState state = InstanceState::Live;
    std::uint64_t bootId = 0; ///< Changes with each reboot.
    bool failing = false; ///< Reported by entry instances because it fails its requests.
    std::optional<Instant> unhealthySince; ///< Since when it has been observed unhealthy; nothing while healthy.
    bool drained = false; ///< The platform reports it drained and idle.
    std::uint32_t slots = 8; ///< Max concurrent requests of all entry instances together.
    std::uint32_t connections = 64; ///< Max concurrent connections of all entry instances together.
    std::uint32_t longSessions = 0; ///< Listener requests that it holds open.

    [[nodiscard]] bool operator==(const Instance&) const = default;
};

/// \returns Whether `instance` is live and does not fail its requests.
[[nodiscard]] inline bool isHealthy(const Instance& instance) noexcept
{
    return instance.state == InstanceState::Live && !instance.failing;
}

/// \returns The name of the failure domain of kind `kind` that contains `instance`;
/// its id for `Instance` and `None`.
[[nodiscard]] std::string_view domainOf(const Instance& instance, FailureDomain kind) noexcept;

/// The instances of a fleet, ordered by id.
using Instances = std::vector<Instance>;

/// \param instances Ordered by id.
/// \returns The instance with `id`, or null.
[[nodiscard]] const Instance* findInstance(const Instances& instances, std::string_view id) noexcept;

} // namespace lanemoor
