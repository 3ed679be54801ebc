#pragma once
/// \file
/// Decides whether pools keep enough instances for their load peaks. Pure.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/policy/sliding_extreme.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// Settings of peak reservation.
struct PeakReservationOptions {
    /// Window of the peak: several cycles of a load that alternates between pools every few seconds.
    Millis memory { 30'000 };
    /// Peaks are reserved if their sum is at most this share of the fleet. Otherwise pools have to share instances over time.
    double maxFleetShare = 0.5;

    [[nodiscard]] bool operator==(const PeakReservationOptions&) const = default;
};

/// Current need of a pool, in thousandths of a core.
struct PoolNeed {
    std::string pool;
    double needed = 0;
    double size = 0; ///< Of its healthy instances.

    [[nodiscard]] bool operator==(const PoolNeed&) const = default;
};

/// \brief Tracks the peak need of each pool.
///
/// On a fleet with ample room, instances that follow an alternating load move twice a cycle, are missing while they move, and
/// save little. Each pool therefore keeps its peak need. Since a pool may not have had a peak yet, it keeps at least the same share of
/// its largest size as the pool whose peak takes the largest share. While load has been observed for less than the window, a pool
/// also keeps at least as large a share of its largest size as the part of the window that is not observed yet.
///
/// \code
/// peaks.update({ { .pool = "a", .needed = 900, .size = 10'000 } }, 20'000, now, now - Millis(27'000));
/// const double kept = peaks.reservedFor("a"); // 1'000: a tenth of the window is not observed yet.
/// \endcode
class PeakReservation {
public:
    explicit PeakReservation(PeakReservationOptions options = {});

    /// \brief Updates the needs of all pools.
    /// \param fleet Processor time of all instances, including the reserve.
    /// \param loadSince Arrival of the first job; empty: no job has arrived.
    void update(const std::vector<PoolNeed>& needs, double fleet, MonotonicInstant now, std::optional<MonotonicInstant> loadSince);

    /// \returns Whether the peaks of all pools fit together, as of the last update.
    [[nodiscard]] bool hasAmpleRoom() const noexcept { return !m_isScarce; }

    /// \returns Capacity that the pool keeps, in thousandths of a core; 0 if room is scarce.
    [[nodiscard]] double reservedFor(const std::string& pool) const;

private:
    struct Pool {
        double largestSize = 0; ///< So far; a pool looks small at first, while its instances start.
        SlidingExtreme<double, std::less_equal<>> peak;
        double reserved = 0;
    };

    [[nodiscard]] double unobservedShare(MonotonicInstant now, std::optional<MonotonicInstant> loadSince) const;

    PeakReservationOptions m_options;
    std::map<std::string, Pool> m_pools;
    bool m_isScarce = true;
};

} // namespace lanemoor::jobs
