#pragma once
/// \file
/// The platform's list of instances and the actions on them, and its placement advisor.

#include "lanemoor/jobs/model/job_spec.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// State of an instance in the platform's list.
enum class FleetState {
    Up,
    Moving, ///< Between pools.
    InMaintenance,
    Down,
};

/// One instance in the platform's list, which may lag behind the actual state.
struct FleetInstance {
    std::string id;
    std::string pool;
    FleetState state = FleetState::Down;
    std::string dataHall;
    std::string kind; ///< Instances of one kind have the same hardware; a pool accepts one or more kinds.
    std::string rack;
    Resources capacity;
    std::string worker; ///< Id of the worker incarnation on it; empty: none.

    [[nodiscard]] bool operator==(const FleetInstance&) const = default;
};

/// Maximum age of a list when it arrives. A list that arrives this soon after an action may still show the instance's former state.
constexpr Millis maxFleetListLag { 1'200 };

/// Outcome of an action on an instance.
enum class FleetOutcome {
    Done,
    Fenced,
    Busy, ///< The instance is not up, or is leaving.
    NotInWave,
    Refused, ///< There is no such instance, or it can't join the pool.
    NotDone, ///< Certainly not carried out; may be retried.
    Unknown, ///< May have been carried out.
};

/// \returns A short name of `outcome`.
[[nodiscard]] std::string_view nameOf(FleetOutcome outcome) noexcept;

/// The sender of an action.
struct FleetHolder {
    std::string name;
    std::uint64_t epoch = 0; ///< Fencing token; increases with each holder.
};

/// Result of FleetControl::list.
struct FleetList {
    bool complete = false; ///< False: the platform did not answer; `instances` is empty.
    std::vector<FleetInstance> instances;
};

/// \brief Lists, moves and maintains instances. Each callback is called exactly once, after the call has returned.
class FleetControl {
public:
    virtual ~FleetControl() = default;
    virtual void list(std::function<void(FleetList)> done) = 0;

    /// \brief Moves an instance to another pool; all tasks on it are killed at once.
    virtual void move(const std::string& instance, const std::string& pool, const FleetHolder& holder, std::function<void(FleetOutcome)> done) = 0;

    /// \brief Begins an instance's maintenance; all tasks on it are killed at once.
    virtual void maintain(const std::string& instance, std::uint64_t wave, const FleetHolder& holder, std::function<void(FleetOutcome)> done) = 0;
};

/// A worker that may run a step, with the ticket that authorises it.
struct AdvisedWorker {
    std::string worker;
    std::string ticket;

    [[nodiscard]] bool operator==(const AdvisedWorker&) const = default;
};

/// Result of PlacementAdvisor::advise.
struct Advice {
    bool answered = false; ///< False: no answer; the call may be retried later.
    std::vector<AdvisedWorker> workers;
    Millis validity { 0 }; ///< Validity of the tickets.
};

/// \brief Decides which workers may run a step, by policies that only the platform has.
class PlacementAdvisor {
public:
    virtual ~PlacementAdvisor() = default;

    /// \param workers At most 100.
    virtual void advise(const std::string& job, std::uint32_t occurrence, std::uint32_t step, const std::vector<std::string>& workers, std::function<void(Advice)> done) = 0;
};

} // namespace lanemoor::jobs
