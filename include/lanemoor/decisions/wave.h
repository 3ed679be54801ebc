#pragma once
/// \file
/// Planning of maintenance waves.

#include "lanemoor/decisions/disruption_guard.h"
#include "lanemoor/decisions/fleet_view.h"
#include "lanemoor/decisions/membership.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lanemoor {

/// \returns Whether `entry`'s instance is due for maintenance: a wave was requested since
/// its last maintenance, or at most a seventh of its period is left.
/// An instance under a grant is not due.
[[nodiscard]] bool isDue(const LedgerEntry& entry, const Maintenance& maintenance, Instant now) noexcept;

/// Progress of a wave.
struct WaveProgress {
    std::uint32_t due = 0; ///< Instances still to be maintained, including those under way.
    std::uint32_t absent = 0; ///< Due, but currently out of service; not counted in `due`.
    std::uint32_t underWay = 0; ///< Under a maintenance grant.
    std::uint32_t lost = 0; ///< Under a maintenance grant whose deadline has passed.
    std::uint32_t overdue = 0; ///< Not maintained within the period.

    [[nodiscard]] bool operator==(const WaveProgress&) const = default;
};

/// \returns The progress of maintenance over the whole fleet.
[[nodiscard]] WaveProgress waveProgress(const FleetView& view) noexcept;

/// \brief Selects the instances to maintain now.
///
/// Spare instances go first, then in each pool the members of the largest failure domain
/// in service, because removing them uses the least budget. The guard checks every
/// instance, so that failures during a wave slow it down or stop it.
class WavePlanner {
public:
    /// \brief Lists the pools that need extra members so that their wave can proceed.
    ///
    /// Each pool with eligible members gets one of the free instances. The others go to the
    /// pools where they save the most maintenance rounds, if the operators' weights justify
    /// another move.
    /// \returns Pools that already have a loan first, then those with the most instances left to maintain.
    [[nodiscard]] std::vector<PoolBoost> boosts(const FleetView& view, const FleetIndex& index) const;

    /// \returns Instances to maintain now. `guard` permits each and counts it as out of service.
    [[nodiscard]] std::vector<std::string> next(const FleetView& view, const FleetIndex& index, DisruptionGuard& guard) const;
};

} // namespace lanemoor
