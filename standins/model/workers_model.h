#pragma once
/// \file
/// A model of the platform's workers and instances, with their failures.

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

/// How a worker fails.
struct WorkerTrouble {
    bool dark = false; ///< Silent, and nothing runs any more: it has crashed.
    bool cutOff = false; ///< Silent, but it runs on.
    double lostAnswers = 0; ///< Share of orders carried out and not answered.
    double lostOrders = 0; ///< Share of orders neither carried out nor answered.
    double lateOrders = 0; ///< Share of orders not answered and carried out seconds later.
    double lostRenewals = 0; ///< Share of renewals neither carried out nor answered.
    double failing = 0; ///< Share of tasks that fail.
    int slowBy = 1; ///< Tasks take so many times as long.
    bool hanging = false; ///< Tasks stand still.
};

/// How the interface to the instances fails.
struct FleetTrouble {
    double lostAnswers = 0; ///< Share of acts carried out and not answered.
    double dropped = 0; ///< Share of acts neither carried out nor answered.
};

/// How long an attempt takes, if nothing goes wrong.
using RunTimes = std::function<Millis(const jobs::Attempt&)>;

/// How an attempt came to its end.
struct Departure {
    bool byOrder = false; ///< By a stop, a move or a maintenance.
    bool wasAtWork = false; ///< A long-running task that was serving.
};

/// Hears what happens on workers, for checks from outside.
class WorkerWitness {
public:
    virtual ~WorkerWitness() = default;
    /// \param late The order was carried out long after it was sent.
    virtual void onStart(const std::string& worker, const jobs::StartCommand& order, bool late) = 0;
    virtual void onEnd(const std::string& worker, const jobs::Attempt& attempt, jobs::AttemptEnd end, const Departure& departure) = 0;
    virtual void onDead(const std::string& worker, const jobs::Attempt& attempt, const Departure& departure) = 0;
    virtual void onAct(const std::string& instance, const jobs::FleetHolder& holder) = 0;
    virtual void onMaintenance(const std::string& instance, std::uint64_t wave, Millis time) = 0;
    virtual void onStored(const std::string& worker, const jobs::EndedAttempt& ended) = 0;
    /// \brief A task has ended the worker that started it.
    virtual void onWorkerEnded(const std::string& worker, const jobs::Attempt& attempt) = 0;
    /// \brief A start takes a worker that does not guard its room over its capacity.
    virtual void onOverload(const std::string& worker, const jobs::Attempt& attempt) = 0;
};

/// One life of a worker.
struct WorkerModel {
    struct Run {
        std::string checkpoint;
        MonotonicInstant startedAt;
        MonotonicInstant endsAt;
        TimerId end = 0;
        jobs::Resources needs;
        bool longRunning = false;
        std::uint32_t percentAllowed = 100;
        Millis doneBefore { 0 }; ///< Of its work, by attempts whose checkpoint it goes on from.
    };

    jobs::WorkerEntry entry;
    std::uint64_t life = 0; ///< Unique over all lives, also those under one id.
    Millis clockBehind { 0 }; ///< Its clock stands this much before the simulated one.
    jobs::Resources largestOfLate; ///< Its room, and what it was before it shrank while instances may not know.
    std::string instance;
    WorkerTrouble trouble;
    bool alive = true;
    std::uint64_t epoch = 0;
    MonotonicInstant leaseUntil;
    TimerId lapse = 0;
    std::map<jobs::Attempt, Run> running;
    std::deque<jobs::EndedAttempt> ended;
    std::uint64_t lastEnd = 0;
    std::uint64_t lapsedUpTo = 0; ///< Ends up to this one came before a lapse of the lease: no note of them counts.
    std::map<std::pair<std::string, jobs::TaskId>, std::uint64_t> settled; ///< Highest attempt stopped or ended, by task.
    std::vector<std::function<void()>> waiting; ///< Renewals that wait for an end.
};

/// \brief All workers and instances.
class WorkersModel {
public:
    WorkersModel(SimClock& clock, std::mt19937_64& random);

    RunTimes runTimes;
    bool saves = false; ///< Batch tasks save checkpoints, from which their next attempts go on.
    bool guards = true; ///< Workers refuse what does not fit.
    double farFactor = 2.0; ///< Work away from the rack of its data takes this many times as long.
    /// \returns What a task needs; the model knows it as a real worker does from the payload.
    std::function<jobs::StepSpec(const jobs::Attempt&)> stepOf;
    /// \returns Whether an attempt ends the worker that starts it; null: none does.
    std::function<bool(const jobs::Attempt&)> endsWorker;
    Millis endsWorkerAfter { 10 }; ///< 0: before the start is answered.
    Millis backAfterEnd { 2'500 }; ///< The instance of a worker that a task has ended is up again.
    WorkerWitness* witness = nullptr;
    std::function<void(const WorkerModel&)> onEntry; ///< A worker's entry is to be written.
    std::function<void(const std::string& worker)> onGone; ///< A worker's entry is to be removed.
    FleetTrouble fleetTrouble;
    const HallCuts* cuts = nullptr; ///< Between data halls; null: none.
    std::set<std::string> hidden; ///< Instances that the list leaves out.
    std::set<std::string> unlisted; ///< Lives that the list of instances leaves out.
    Millis moveTime { 1'500 };
    Millis maintenanceTime { 2'000 };

    /// \brief Adds an instance; a worker starts on it unless its pool is a reserve.
    void addInstance(const std::string& id, const std::string& pool, const std::string& rack, jobs::Resources capacity, const std::string& kind = "a", const std::string& dataHall = "hall");

    void addReserve(const std::string& pool) { m_reserves.insert(pool); }

    /// \returns The life on an instance, or null.
    [[nodiscard]] WorkerModel* on(const std::string& instance);
    [[nodiscard]] WorkerModel* find(const std::string& worker);

    /// \brief Ends a life with all that runs there; `returnsAfter` it the instance is up again.
    void crash(const std::string& worker, Millis returnsAfter);

    /// \brief Cuts the power of a data hall: all lives there end, and the instances, also those that are off, are up again after
    /// `returnsAfter`, with new lives.
    void losePower(const std::string& dataHall, Millis returnsAfter);

    /// \brief Ends a life with all that runs there; `returnsAfter` it another one begins under the same id, which knows nothing of
    /// the first and counts anew. Its entry stays for as long as that of any silent worker.
    void restart(const std::string& worker, Millis returnsAfter);

    /// \brief Changes the room of a living worker, which its entry shows at once.
    void resize(const std::string& worker, const jobs::Resources& capacity);

    /// \brief A planned end: the worker serves on for `serving`, then ends, and its instance is
    /// up again with a new life.
    /// \param announced Its entry says that it drains; if not, the entry is removed at once.
    void leave(const std::string& worker, bool announced, Millis serving);

    /// \returns Acts on instances that were neither carried out nor answered.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

    [[nodiscard]] const std::map<std::string, jobs::FleetInstance>& instances() const noexcept { return m_instances; }
    [[nodiscard]] std::map<std::string, WorkerModel>& workers() noexcept { return m_workers; }

private:
    friend class WorkerClient;
    friend class FleetClient;

    jobs::CommandResult start(const std::string& worker, const jobs::StartCommand& order, bool late);
    jobs::CommandResult stop(const std::string& worker, const jobs::Attempt& attempt, std::uint64_t epoch, bool late);
    void beginLife(const std::string& instance);
    /// Ends a life; `begin` gets its instance `returnsAfter` it.
    void endAndReturn(const std::string& worker, Millis returnsAfter, std::function<void(const std::string& instance)> begin);
    void enter(const std::string& instance, const std::string& id, WorkerModel life);
    void endLife(WorkerModel& worker, bool byOrder);
    void endByTask(const std::string& worker, const jobs::Attempt& attempt);
    void extendLease(WorkerModel& worker, std::int64_t until);
    void endRun(WorkerModel& worker, const jobs::Attempt& attempt, jobs::AttemptEnd end, bool byOrder);
    [[nodiscard]] bool isAtWork(const WorkerModel& worker, const WorkerModel::Run& run) const;
    [[nodiscard]] std::string checkpointOf(const WorkerModel::Run& run) const;
    void lapse(const std::string& worker);
    [[nodiscard]] std::int64_t clockOf(const WorkerModel& worker) const;
    [[nodiscard]] static MonotonicInstant instantOf(const WorkerModel& worker, std::int64_t clock);
    [[nodiscard]] bool isLife(const std::string& worker, std::uint64_t life) const;
    jobs::FleetOutcome take(const std::string& instance, const jobs::FleetHolder& holder, const std::string& pool, jobs::FleetState state, Millis time);

    SimClock& m_clock;
    std::mt19937_64& m_random;
    std::map<std::string, WorkerModel> m_workers; ///< By id of the life; those that are over stay.
    std::map<std::string, jobs::FleetInstance> m_instances;
    std::set<std::string> m_reserves;
    std::map<std::uint64_t, std::set<std::string>> m_maintained; ///< By wave.
    std::uint64_t m_lives = 0;
    std::uint64_t m_dropped = 0;
};

/// \brief One process's way to the workers.
class WorkerClient final : public jobs::WorkerControl {
public:
    WorkerClient(WorkersModel& workers, SimProcess& process)
        : m_workers(workers)
        , m_process(process)
    {
    }

    std::string dataHall; ///< Of the process; empty: cuts do not concern it.

    void start(const jobs::WorkerIncarnation& worker, const jobs::StartCommand& order, std::function<void(jobs::CommandResult)> done) override;
    void stop(const jobs::WorkerIncarnation& worker, const jobs::Attempt& attempt, std::uint64_t epoch, std::function<void(jobs::CommandResult)> done) override;
    void renew(const jobs::WorkerIncarnation& worker, const jobs::RenewCommand& order, std::function<void(jobs::RenewResult)> done) override;
    void throttle(const jobs::WorkerIncarnation& worker, const jobs::Attempt& attempt, std::uint32_t percent, std::uint64_t epoch, std::function<void(jobs::CommandResult)> done) override;
    void forget(const jobs::WorkerIncarnation& worker) override;

private:
    void order(const std::string& worker, const std::function<jobs::CommandResult(bool late)>& act, std::function<void(jobs::CommandResult)> done);

    /// \returns Whether a call to the worker arrives, or its answer does.
    [[nodiscard]] bool callArrives(const jobs::WorkerEntry& worker) const { return !m_workers.cuts || m_workers.cuts->carries(dataHall, worker.dataHall); }
    [[nodiscard]] bool answerArrives(const jobs::WorkerEntry& worker) const { return !m_workers.cuts || m_workers.cuts->carries(worker.dataHall, dataHall); }

    WorkersModel& m_workers;
    SimProcess& m_process;
};

/// \brief One process's way to the instances.
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
    /// Sends an act, and its answer back, as far as the trouble lets them through.
    void send(const std::function<jobs::FleetOutcome()>& act, std::function<void(jobs::FleetOutcome)> done);

    WorkersModel& m_workers;
    SimProcess& m_process;
};

} // namespace lanemoor::model
