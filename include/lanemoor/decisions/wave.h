#pragma once
/// \file
/// Plans maintenance waves.

#include "lanemoor/decisions/disruption_guard.h"
#include "lanemoor/decisions/fleet_view.h"
#include "lanemoor/decisions/membership.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lanemoor {

/// \returns Whether `entry`'s instance is due for maintenance: a wave was asked for
/// since it was maintained, or its period is about to end.
[[nodiscard]] bool isDue(const LedgerEntry& entry, const Maintenance& maintenance, Instant now) noexcept;

/// How far a wave has come.
struct WaveProgress {
    std::uint32_t due = 0; ///< Instances still to be maintained, those under way included.
    std::uint32_t absent = 0; ///< Would be due, but are lost to failure now; not in `due`.
    std::uint32_t underWay = 0; ///< Under a maintenance grant.
    std::uint32_t lost = 0; ///< Under a maintenance grant whose deadline has passed.
    std::uint32_t overdue = 0; ///< Not maintained within the period.

    [[nodiscard]] bool operator==(const WaveProgress&) const = default;
};

/// \returns How far maintenance has come over the whole fleet.
[[nodiscard]] WaveProgress waveProgress(const FleetView& view) noexcept;

/// \brief Plans which instances are taken for maintenance now.
///
/// Spare instances go first. In each pool those of the largest failure domain in
/// service go next, since taking them costs the budget least; the guard answers
/// for each one, so failures arriving during a wave slow or stop it.
class WavePlanner {
public:
    /// \brief Names the pools that need members lent so that their wave can go on.
    ///
    /// Each pool with work gets one of the free instances; what is left goes where it saves
    /// most time, if it saves enough for one more move by the operators' weights.
    /// \returns Pools that hold a loan first, then those with most work.
    [[nodiscard]] std::vector<PoolBoost> boosts(const FleetView& view, const FleetIndex& index) const;

    /// \returns Instances to take now, each permitted and counted by `guard`.
    [[nodiscard]] std::vector<std::string> next(const FleetView& view, const FleetIndex& index, DisruptionGuard& guard) const;
};

} // namespace lanemoor
