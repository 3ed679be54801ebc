#pragma once
/// \file
/// Chooses the instances that a maintenance wave takes next. Pure.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/fleet_control.h"
#include "lanemoor/jobs/model/service_configuration.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// An instance as maintenance sees it.
struct MaintenanceCandidate {
    std::string instance;
    std::string pool;
    std::string worker; ///< Id of the life on it; empty: none is known.
    bool reserve = false; ///< Its pool is off.
    bool up = true; ///< As the list says; others can't be taken.
    bool evacuating = false;
    std::uint32_t attempts = 0; ///< Not over on its worker.
    bool pinned = false; ///< It runs tasks that last and need an instance of its kind.
    bool lastOfKind = false; ///< No other sound instance of its pool is of its kind.
    MonotonicInstant evacuatingSince; ///< Meaningful while evacuating.
};

/// What to do next.
struct MaintenanceStep {
    std::vector<std::string> evacuate; ///< Workers to be emptied.
    std::vector<std::string> maintain; ///< Empty instances whose maintenance may begin now.
    std::vector<std::string> release; ///< Workers that can't be emptied for now, and may have work again.

    [[nodiscard]] bool operator==(const MaintenanceStep&) const = default;
};

/// \brief One wave under way.
class MaintenancePlan {
public:
    /// \param done Instances whose maintenance began before.
    /// \param now Counts as the time when the wave was asked for.
    MaintenancePlan(WaveRequest wave, std::set<std::string> done, MonotonicInstant now);

    /// \brief Chooses what to do now: instances that are off or empty first, then those with
    /// the fewest attempts, never more of one pool than it can spare.
    /// \param hasShortage Whether a pool lacks instances: then the wave takes no more than it
    /// must to end in time.
    [[nodiscard]] MaintenanceStep next(const std::vector<MaintenanceCandidate>& fleet, bool hasShortage, MonotonicInstant now);

    /// \brief Notes that an order was sent; the instance counts as down until it is answered.
    void noteOrdered(const std::string& instance);

    /// \brief Notes that the platform took the order.
    /// \param backBy When the instance is surely back.
    void noteBegun(const std::string& instance, MonotonicInstant backBy);

    /// \brief Notes that an instance may be down: a former owner ordered it of late, or an order
    /// got no answer.
    /// \param backBy When the instance is surely back.
    void noteMayBeDown(const std::string& instance, MonotonicInstant backBy);

    /// \brief Notes that the platform refused the order; it may be tried again at `retryAt`.
    void noteRefused(const std::string& instance, MonotonicInstant retryAt);

    /// \brief Notes that an instance of the wave is no more.
    void noteGone(const std::string& instance);

    /// \returns Whether the maintenance of every instance began.
    [[nodiscard]] bool isFinished() const noexcept;

    [[nodiscard]] const WaveRequest& wave() const noexcept { return m_wave; }
    [[nodiscard]] const std::set<std::string>& done() const noexcept { return m_done; }

private:
    [[nodiscard]] std::uint32_t pace(MonotonicInstant now) const;
    [[nodiscard]] std::uint32_t down(MonotonicInstant now) const;

    WaveRequest m_wave;
    MonotonicInstant m_paceBy; ///< When the wave should be over if it is paced.
    std::set<std::string> m_done;
    std::set<std::string> m_ordered; ///< Not answered yet.
    std::map<std::string, MonotonicInstant> m_backBy;
    std::map<std::string, MonotonicInstant> m_retryAt;
};

} // namespace lanemoor::jobs
