#pragma once
/// \file
/// Decides whether pools keep enough instances for their peaks between them. Pure.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/policy/sliding_extreme.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// Weights of peak reservation.
struct PeakReservationOptions {
    /// A peak counts for this long: several cycles of load that changes by turns within some seconds each.
    Millis memory { 30'000 };
    /// Peaks are reserved if all of them together take at most this share of the fleet. Beyond it pools have to share
    /// instances over time.
    double maxFleetShare = 0.5;

    [[nodiscard]] bool operator==(const PeakReservationOptions&) const = default;
};

/// What a pool needs now, in thousandths of a core.
struct PoolNeed {
    std::string pool;
    double needed = 0;
    double size = 0; ///< Of its sound instances.

    [[nodiscard]] bool operator==(const PoolNeed&) const = default;
};

/// \brief Remembers the peak need of each pool.
///
/// On a fleet with ample room, instances that follow each turn of load are moved twice a cycle, are missing while they
/// move, and save little; there, each pool keeps what its peak takes. A pool that has not had its peak yet keeps the share
/// of its largest size that the peak of any other pool takes, and while load has been observed for less than the memory, the share of
/// its largest size that is not observed yet.
///
/// \code
/// peaks.update({ { .pool = "a", .needed = 900, .size = 10'000 } }, 20'000, now, now - Millis(27'000));
/// const double kept = peaks.reservedFor("a"); // 1'000: a tenth of the memory is not observed yet.
/// \endcode
class PeakReservation {
public:
    explicit PeakReservation(PeakReservationOptions options = {});

    /// \brief Notes what all pools need now.
    /// \param fleet Processor time of all instances, those of the reserve included.
    /// \param loadSince When the first job arrived; nothing: none has.
    void update(const std::vector<PoolNeed>& needs, double fleet, MonotonicInstant now, std::optional<MonotonicInstant> loadSince);

    /// \returns Whether the peaks of all pools fit together, as of the last update.
    [[nodiscard]] bool hasAmpleRoom() const noexcept { return !m_isScarce; }

    /// \returns What the pool keeps, in thousandths of a core; 0 if room is scarce.
    [[nodiscard]] double reservedFor(const std::string& pool) const;

private:
    struct Pool {
        double largestSize = 0; ///< Seen so far; instances that are still starting make a pool small at first.
        SlidingExtreme<double, std::less_equal<>> peak;
        double reserved = 0;
    };

    [[nodiscard]] double unobservedShare(MonotonicInstant now, std::optional<MonotonicInstant> loadSince) const;

    PeakReservationOptions m_options;
    std::map<std::string, Pool> m_pools;
    bool m_isScarce = true;
};

} // namespace lanemoor::jobs
