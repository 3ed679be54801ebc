#pragma once
/// \file
/// What is observed of an instance.

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
    None, ///< No domain: the loss of an instance is not provided for.
    Instance,
    Rack,
    DataHall,
};

/// State of an instance as the platform's list tells it.
enum class InstanceState {
    Live,
    Leaving, ///< The platform takes it back soon; no new work.
    Gone,
};

/// \brief One instance as last observed. Immutable once in a snapshot.
struct Instance {
    std::string id;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    std::string dataHall;
    std::string rack; ///< Unique over all data halls.
    LabelSet labels;
    InstanceState state = InstanceState::Live;
    std::uint64_t bootId = 0; ///< Changes with each reboot.
    bool failing = false; ///< Ejected by the entries, or quarantined: fails what it is given.
    std::optional<Instant> outSince; ///< When it was first seen not live or failing; nothing while well.
    bool drained = false; ///< The platform reports it drained and idle.
    std::uint32_t slots = 8; ///< Requests at once, over all entries.
    std::uint32_t connections = 64; ///< Connections at once, over all entries.
    std::uint32_t longSessions = 0; ///< Standing listeners held by it.

    [[nodiscard]] bool operator==(const Instance&) const = default;
};

/// \returns Whether `instance` is live and does not fail its work.
[[nodiscard]] inline bool isHealthy(const Instance& instance) noexcept
{
    return instance.state == InstanceState::Live && !instance.failing;
}

/// \returns The name of the domain of kind `kind` that `instance` lies in; its
/// own id for `Instance` and `None`.
[[nodiscard]] std::string_view domainOf(const Instance& instance, FailureDomain kind) noexcept;

/// The instances of a fleet, ordered by id.
using Instances = std::vector<Instance>;

/// \returns The instance with `id`, or null. \param instances Ordered by id.
[[nodiscard]] const Instance* findInstance(const Instances& instances, std::string_view id) noexcept;

} // namespace lanemoor
