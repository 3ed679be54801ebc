#pragma once
/// \file
/// A simulation of the platform's workers and instances and their faults.

#include "advisor_model.h"
#include "hall_cuts.h"
#include "lanemoor/jobs/model/fleet_control.h"
#include "lanemoor/jobs/model/service_configuration.h"
#include "lanemoor/jobs/model/worker_control.h"
#include "sim_loop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lanemoor::model {

/// Faults of a worker.
struct WorkerFaults {
    bool crashed = false; ///< Unreachable because of a crash; no command arrives.
    bool partitioned = false; ///< Unreachable, but its tasks continue.
    double lostAnswers = 0; ///< Share of commands that take effect without a response.
    double lostCommands = 0; ///< Share of commands without effect and response.
    double lateCommands = 0; ///< Share of commands that take effect seconds later, without a response.
    double lostRenewals = 0; ///< Share of renewals without effect and response.
    double lateRenewals = 0; ///< Share of renewals that take effect seconds later, without a response.
    Millis lateBy { 0 }; ///< Delay of late commands and renewals; 0: random.
    double failing = 0; ///< Share of tasks that fail.
    int slowdown = 1; ///< Factor on the run time of tasks.
    bool refusing = false; ///< Starts are refused without effect.
    bool stalled = false; ///< Tasks make no progress: those started meanwhile never end by themselves, and none is ready.
};

/// Faults of the fleet interface.
struct FleetFaults {
    double lostAnswers = 0; ///< Share of actions that take effect without a response.
    double dropped = 0; ///< Share of actions without effect and response.
};

/// Run time of an attempt without faults.
using RunTimes = std::function<Millis(const jobs::Attempt&)>;

/// Circumstances of an attempt's end.
struct Departure {
    bool byCommand = false; ///< Ended by a stop, a move or a maintenance.
    bool wasReady = false; ///< A long-running task that was ready.
};

/// Receives the events on workers and instances, for checks from outside.
class WorkerObserver {
public:
    virtual ~WorkerObserver() = default;
    /// \param late The command arrived long after it was sent.
    virtual void onStart(const std::string& worker, const jobs::StartCommand& command, bool late) = 0;
    virtual void onEnd(const std::string& worker, const jobs::Attempt& attempt, jobs::AttemptEnd end, const Departure& departure) = 0;
    /// \brief An attempt has ended because its worker has, planned or not.
    virtual void onWorkerFailed(const std::string& worker, const jobs::Attempt& attempt, const Departure& departure) = 0;
    virtual void onFleetAction(const std::string& instance, const jobs::FleetHolder& holder) = 0;
    virtual void onMaintenance(const std::string& instance, std::uint64_t wave, Millis time) = 0;
    virtual void onStored(const std::string& worker, const jobs::EndedAttempt& ended) = 0;
    /// \brief A poison task has crashed its worker.
    virtual void onWorkerCrashed(const std::string& worker, const jobs::Attempt& attempt) = 0;
    /// \brief A start exceeds the capacity of a worker that does not enforce it.
    virtual void onOverload(const std::string& worker, const jobs::Attempt& attempt) = 0;
};

/// One incarnation of a worker.
struct WorkerModel {
    struct Run {
        std::string checkpoint;
        MonotonicInstant startedAt;
        MonotonicInstant endsAt;
        TimerId end = 0;
        jobs::Resources needs;
        bool longRunning = false;
        std::uint32_t percentAllowed = 100;
        Millis doneBefore { 0 }; ///< Work done by previous attempts up to the restored checkpoint.
    };

    jobs::WorkerEntry entry;
    std::uint64_t incarnation = 0; ///< Unique over all incarnations, also those with the same id.
    Millis clockBehind { 0 }; ///< Lag of the worker's clock behind the simulated one.
    jobs::Resources recentMaxCapacity; ///< Maximum of the current and the previous capacity while entries may not know of a reduction yet.
    std::string instance;
    WorkerFaults faults;
    bool alive = true;
    std::uint64_t epoch = 0;
    MonotonicInstant leaseUntil;
    TimerId leaseTimer = 0;
    std::map<jobs::Attempt, Run> running;
    std::deque<jobs::EndedAttempt> ended;
    std::uint64_t lastEnd = 0;
    std::uint64_t expiredUpTo = 0; ///< Ends up to this one precede a lease expiry; their acknowledgements don't count as stored.
    std::map<std::pair<std::string, jobs::TaskId>, std::uint64_t> settled; ///< Highest stopped or ended attempt number, by task.
    std::vector<std::function<void()>> waiting; ///< Long-polling renewals, answered when an attempt ends.
};

/// \brief All workers and instances.
class WorkersModel {
public:
    WorkersModel(SimClock& clock, std::mt19937_64& random);

    AdvisorModel advisor;
    RunTimes runTimes;
    bool savesCheckpoints = false; ///< Batch tasks save checkpoints from which their next attempts resume.
    bool enforcesCapacity = true; ///< Workers refuse starts beyond their capacity.
    bool refusesStarts = false; ///< All workers refuse starts without effect.
    double farFactor = 2.0; ///< Factor on the run time of tasks outside their preferred rack.
    /// \returns The specification of an attempt's step, which a real worker has from the payload.
    std::function<jobs::StepSpec(const jobs::Attempt&)> stepOf;
    /// \returns Whether an attempt fails on every worker; null if no attempt does.
    std::function<bool(const jobs::Attempt&)> failsEverywhere;
    /// \returns Whether an attempt crashes its worker; null if no attempt does.
    std::function<bool(const jobs::Attempt&)> crashesWorker;
    Millis crashesWorkerAfter { 10 }; ///< Time from the start to the crash; 0 for a crash before the response to the start.
    Millis returnAfterCrash { 2'500 }; ///< Time from a crash by a poison task until the instance is up again.
    WorkerObserver* checker = nullptr;
    std::function<void(const WorkerModel&)> onEntry; ///< Writes a worker's entry to the store.
    std::function<void(const std::string& worker)> onGone; ///< Removes a worker's entry from the store.
    FleetFaults fleetFaults;
    const HallCuts* cuts = nullptr; ///< Cuts between data halls; may be null.
    std::set<std::string> hidden; ///< Instances missing from the fleet list.
    std::set<std::string> unlisted; ///< Worker ids missing from the fleet list.
    std::map<std::string, std::string> misnamed; ///< Wrong worker ids in the fleet list, by instance.
    Millis moveTime { 1'500 };
    Millis maintenanceTime { 2'000 };

    /// \brief Adds an instance; a worker starts on it unless its pool is a reserve.
    void addInstance(const std::string& id, const std::string& pool, const std::string& rack, jobs::Resources capacity, const std::string& kind = "a", const std::string& dataHall = "hall");

    void addReserve(const std::string& pool) { m_reserves.insert(pool); }

    /// \returns The current worker on an instance, or null.
    [[nodiscard]] WorkerModel* workerOn(const std::string& instance);
    [[nodiscard]] WorkerModel* find(const std::string& worker);

    /// \brief Crashes a worker with all its attempts. The instance is up again after `returnsAfter`.
    void crash(const std::string& worker, Millis returnsAfter);

    /// \brief Cuts the power of a data hall: all its workers crash, and its instances, also those without a worker, are up again
    /// after `returnsAfter` with new workers.
    void losePower(const std::string& dataHall, Millis returnsAfter);

    /// \brief Crashes a worker with all its attempts. After `returnsAfter` a new incarnation starts under the same id, without
    /// state and with a clock of its own. The entry stays as long as that of any unresponsive worker.
    void restart(const std::string& worker, Millis returnsAfter);

    /// \brief Changes the capacity of a running worker and updates its entry at once.
    void resize(const std::string& worker, const jobs::Resources& capacity);

    /// \brief Drains a worker for `serving` and then ends it. The instance is up again later with a new worker.
    /// \param announced The entry shows the drain; otherwise the entry is removed at once.
    void leave(const std::string& worker, bool announced, Millis serving);

    /// \returns The number of actions on instances without effect and response.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

    [[nodiscard]] const std::map<std::string, jobs::FleetInstance>& instances() const noexcept { return m_instances; }
    [[nodiscard]] std::map<std::string, WorkerModel>& workers() noexcept { return m_workers; }

    /// \returns Whether the maintenance of an instance in a wave has begun.
    [[nodiscard]] bool wasMaintained(const std::string& instance, std::uint64_t wave) const
    {
        const auto found = m_maintained.find(wave);
        return found != m_maintained.end() && found->second.contains(instance);
    }

private:
    friend class WorkerClient;
    friend class FleetClient;

    jobs::CommandResult start(const std::string& worker, const jobs::StartCommand& command, bool late);
    jobs::CommandResult stop(const std::string& worker, const jobs::Attempt& attempt, std::uint64_t epoch, bool late);
    bool renew(const std::string& worker, const jobs::RenewCommand& command);
    void carryOutLate(const std::string& worker, std::function<void()> operation);
    void startIncarnation(const std::string& instance);
    /// Ends an incarnation and calls `begin` with its instance after `returnsAfter`.
    void endAndReturn(const std::string& worker, Millis returnsAfter, std::function<void(const std::string& instance)> begin);
    void placeIncarnation(const std::string& instance, const std::string& id, WorkerModel model);
    void endIncarnation(WorkerModel& worker, bool byCommand);
    void crashByTask(const std::string& worker, const jobs::Attempt& attempt);
    void extendLease(WorkerModel& worker, std::int64_t until);
    void endRun(WorkerModel& worker, const jobs::Attempt& attempt, jobs::AttemptEnd end, bool byCommand);
    [[nodiscard]] bool isReady(const WorkerModel& worker, const WorkerModel::Run& run) const;
    [[nodiscard]] std::string checkpointOf(const WorkerModel::Run& run) const;
    [[nodiscard]] jobs::RenewResult reportOf(const WorkerModel& worker) const;
    void expireLease(const std::string& worker);
    [[nodiscard]] std::int64_t clockOf(const WorkerModel& worker) const;
    [[nodiscard]] static MonotonicInstant instantOf(const WorkerModel& worker, std::int64_t clock);
    [[nodiscard]] bool isCurrentIncarnation(const std::string& worker, std::uint64_t incarnation) const;
    jobs::FleetOutcome takeDown(const std::string& instance, const jobs::FleetHolder& holder, const std::string& pool, jobs::FleetState state, Millis time);

    SimClock& m_clock;
    std::mt19937_64& m_random;
    std::map<std::string, WorkerModel> m_workers; ///< By worker id; ended workers stay.
    std::map<std::string, jobs::FleetInstance> m_instances;
    std::set<std::string> m_reserves;
    std::map<std::uint64_t, std::set<std::string>> m_maintained; ///< By wave.
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_dropped = 0;
};

/// \brief The worker client of one process.
class WorkerClient final : public jobs::WorkerControl {
public:
    WorkerClient(WorkersModel& workers, SimProcess& process)
        : m_workers(workers)
        , m_process(process)
    {
    }

    std::string dataHall; ///< Data hall of the process; empty if cuts don't affect it.

    void start(const jobs::WorkerIncarnation& worker, const jobs::StartCommand& command, std::function<void(jobs::CommandResult)> done) override;
    void stop(const jobs::WorkerIncarnation& worker, const jobs::Attempt& attempt, std::uint64_t epoch, std::function<void(jobs::CommandResult)> done) override;
    void renew(const jobs::WorkerIncarnation& worker, const jobs::RenewCommand& command, std::function<void(jobs::RenewResult)> done) override;
    void throttle(const jobs::WorkerIncarnation& worker, const jobs::Attempt& attempt, std::uint32_t percent, std::uint64_t epoch, std::function<void(jobs::CommandResult)> done) override;
    void closeConnections(const jobs::WorkerIncarnation& worker) override;

private:
    void sendCommand(const std::string& worker, const std::function<jobs::CommandResult(bool late)>& operation, std::function<void(jobs::CommandResult)> done);

    /// \returns Whether a call to the worker arrives despite the cuts.
    [[nodiscard]] bool callArrives(const jobs::WorkerEntry& worker) const { return !m_workers.cuts || m_workers.cuts->carries(dataHall, worker.dataHall); }
    [[nodiscard]] bool answerArrives(const jobs::WorkerEntry& worker) const { return !m_workers.cuts || m_workers.cuts->carries(worker.dataHall, dataHall); }

    WorkersModel& m_workers;
    SimProcess& m_process;
};

/// \brief The fleet client of one process.
class FleetClient final : public jobs::FleetControl, public jobs::PlacementAdvisor {
public:
    FleetClient(WorkersModel& workers, SimProcess& process)
        : m_workers(workers)
        , m_process(process)
    {
    }

    void list(std::function<void(jobs::FleetList)> done) override;
    void move(const std::string& instance, const std::string& pool, const jobs::FleetHolder& holder, std::function<void(jobs::FleetOutcome)> done) override;
    void maintain(const std::string& instance, std::uint64_t wave, const jobs::FleetHolder& holder, std::function<void(jobs::FleetOutcome)> done) override;
    void advise(const std::string& job, std::uint32_t occurrence, std::uint32_t step, const std::vector<std::string>& workers, std::function<void(jobs::Advice)> done) override;

private:
    /// Sends an action and delivers the response, subject to the faults.
    void send(const std::function<jobs::FleetOutcome()>& operation, std::function<void(jobs::FleetOutcome)> done);

    WorkersModel& m_workers;
    SimProcess& m_process;
};

} // namespace lanemoor::model
