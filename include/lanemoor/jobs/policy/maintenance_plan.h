#pragma once
/// \file
/// Chooses the next instances of a maintenance wave. Pure.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/fleet_control.h"
#include "lanemoor/jobs/model/service_configuration.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// State of an instance for maintenance planning.
struct MaintenanceCandidate {
    std::string instance;
    std::string pool;
    std::string worker; ///< Id of its worker incarnation; empty: unknown.
    bool reserve = false; ///< Its pool is the reserve, whose instances are off.
    bool up = true; ///< According to the instance list; other instances cannot be maintained.
    bool inMaintenance = false; ///< According to the instance list.
    bool evacuating = false;
    std::uint32_t attempts = 0; ///< Unfinished attempts at its worker.
    bool pinned = false; ///< It has long-running tasks that need an instance of its kind.
    bool lastOfKind = false; ///< No other healthy instance of its pool is of its kind.
    MonotonicInstant evacuatingSince; ///< Meaningful only while evacuating.
};

/// Actions to take now.
struct MaintenanceStep {
    std::vector<std::string> evacuate; ///< Workers to evacuate.
    std::vector<std::string> maintain; ///< Empty instances whose maintenance may start now.
    std::vector<std::string> release; ///< Workers that cannot be emptied for now and may get tasks again.

    [[nodiscard]] bool operator==(const MaintenanceStep&) const = default;
};

/// \brief An active maintenance wave.
class MaintenancePlan {
public:
    /// \param done Instances whose maintenance has started already.
    /// \param now Taken as the time of the wave request.
    MaintenancePlan(WaveRequest wave, std::set<std::string> done, MonotonicInstant now);

    /// \brief Chooses the next actions: instances that are off or empty first, then those with the fewest attempts, within the
    /// limit of each pool.
    /// \param hasShortage Whether a pool lacks instances: the wave then takes only as many as it needs to end in time.
    [[nodiscard]] MaintenanceStep next(const std::vector<MaintenanceCandidate>& fleet, bool hasShortage, MonotonicInstant now);

    /// \brief Records that a maintenance request was sent; the instance counts as down until it is answered.
    void noteRequested(const std::string& instance);

    /// \brief Records that the platform accepted the request.
    /// \param backBy Latest time at which the instance is back.
    void noteAccepted(const std::string& instance, MonotonicInstant backBy);

    /// \brief Records that an instance may be down: a previous owner requested its maintenance recently, or a request was not
    /// answered.
    /// \param backBy Latest time at which the instance is back.
    void noteMayBeDown(const std::string& instance, MonotonicInstant backBy);

    /// \brief Records that an earlier request of another owner may have been carried out for any instance that is not done.
    void noteMayBeMaintained();

    /// \returns Whether an earlier request may have been carried out: the acceptance of the next one then does not identify the worker that
    /// has ended.
    [[nodiscard]] bool mayBeMaintained(const std::string& instance) const { return m_mayBeMaintained.contains(instance); }

    /// \brief Records that the platform refused the request; it may be retried at `retryAt`.
    void noteRefused(const std::string& instance, MonotonicInstant retryAt);

    /// \brief Records that the platform does not maintain an instance in this wave.
    void noteRemoved(const std::string& instance);

    /// \brief Applies a complete list of the fleet. An instance counts as removed once lists that were requested after the wave, and over a
    /// longer time than lists lag, do not name it: it may have joined shortly before the wave.
    /// \returns The instances that count as removed by this list.
    std::vector<std::string> noteList(const std::set<std::string>& listed, MonotonicInstant requestedAt);

    /// \returns Whether the maintenance of every instance has started.
    [[nodiscard]] bool isFinished() const noexcept;

    [[nodiscard]] const WaveRequest& wave() const noexcept { return m_wave; }
    [[nodiscard]] const std::set<std::string>& done() const noexcept { return m_done; }

    /// \returns The workers that this wave needs empty, by instance.
    [[nodiscard]] const std::map<std::string, std::string>& workersToEvacuate() const noexcept { return m_workersToEvacuate; }

private:
    void dropIfReplaced(const MaintenanceCandidate& candidate);
    [[nodiscard]] bool mayBeDown(const std::string& instance, MonotonicInstant now) const;
    [[nodiscard]] bool isDue(const MaintenanceCandidate& candidate, MonotonicInstant now) const;
    [[nodiscard]] std::uint32_t requiredConcurrency(MonotonicInstant now) const;
    [[nodiscard]] std::uint32_t down(MonotonicInstant now) const;

    WaveRequest m_wave;
    MonotonicInstant m_requestedBy; ///< The wave was requested before this time.
    MonotonicInstant m_paceDeadline; ///< Planned end of the wave while it is paced.
    std::set<std::string> m_done;
    std::set<std::string> m_requested; ///< Requested and not answered yet.
    std::map<std::string, std::string> m_workersToEvacuate; ///< By instance, until the maintenance is accepted or put off or the list shows another worker.
    std::set<std::string> m_mayBeMaintained; ///< An earlier request may have been carried out.
    std::map<std::string, MonotonicInstant> m_backBy;
    std::map<std::string, MonotonicInstant> m_retryAt;
    std::map<std::string, MonotonicInstant> m_unlistedSince; ///< When the first of the lists that do not name an instance was requested.
};

} // namespace lanemoor::jobs
