#pragma once
/// \file
/// The platform's list of instances, and the acts on them.

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

/// One instance in the platform's list, which lags.
struct FleetInstance {
    std::string id;
    std::string pool;
    FleetState state = FleetState::Down;
    std::string dataHall;
    std::string kind; ///< Instances of one kind are alike; pools take one or more kinds.
    std::string rack;
    Resources capacity;
    std::string worker; ///< Id of the worker's life on it; empty: none.

    [[nodiscard]] bool operator==(const FleetInstance&) const = default;
};

/// A list may be this much older than the answer that brings it: after an act it may still show
/// the instance as it was.
constexpr Millis fleetListLag { 1'200 };

/// What came of an act on an instance.
enum class FleetOutcome {
    Done,
    Fenced,
    Busy, ///< Not up, or leaving.
    NotInWave,
    Refused, ///< No such instance, or a pool that it can't join.
    NotDone, ///< Certainly not carried out; try again.
    Unknown, ///< It may have been carried out.
};

/// \returns A short name of `outcome`.
[[nodiscard]] std::string_view nameOf(FleetOutcome outcome) noexcept;

/// Who sends an act.
struct FleetHolder {
    std::string name;
    std::uint64_t epoch = 0; ///< Rises with each holder.
};

/// Answer to a call for the whole list.
struct FleetList {
    bool complete = false; ///< False: the platform did not answer; `instances` is empty.
    std::vector<FleetInstance> instances;
};

/// \brief The instances. Each callback is called exactly once, never from within the call.
class FleetControl {
public:
    virtual ~FleetControl() = default;
    virtual void list(std::function<void(FleetList)> done) = 0;

    /// \brief Moves an instance to another pool; all that runs there dies at once.
    virtual void move(const std::string& instance, const std::string& pool, const FleetHolder& holder, std::function<void(FleetOutcome)> done) = 0;

    /// \brief Begins an instance's maintenance; all that runs there dies at once.
    virtual void maintain(const std::string& instance, std::uint64_t wave, const FleetHolder& holder, std::function<void(FleetOutcome)> done) = 0;
};

/// A worker that may run a step, with the ticket that proves it.
struct AdvisedWorker {
    std::string worker;
    std::string ticket;

    [[nodiscard]] bool operator==(const AdvisedWorker&) const = default;
};

/// Answer of the placement advisor.
struct Advice {
    bool answered = false; ///< False: ask again later.
    std::vector<AdvisedWorker> workers;
    Millis validity { 0 }; ///< Of the tickets.
};

/// \brief Says which workers may run a step, under policies that only the platform knows.
class PlacementAdvisor {
public:
    virtual ~PlacementAdvisor() = default;

    /// \param workers At most 100.
    virtual void advise(const std::string& job, std::uint32_t occurrence, std::uint32_t step, const std::vector<std::string>& workers, std::function<void(Advice)> done) = 0;
};

} // namespace lanemoor::jobs
