#include "workers_model.h"

#include <algorithm>

namespace lanemoor::model {

namespace {

using namespace jobs;

constexpr Millis callTimeout { 800 }; // Client timeout of commands.
constexpr Millis oneWayLatency { 1 };
constexpr Millis stopTime { 100 };
constexpr Millis shrinkPropagationTime { 4'500 }; // The platform's bounds: 3 s until an entry is connected, and a heartbeat of 1.5 s.
constexpr Millis restartDelay { 1'000 }; // From a planned end to the start of the instance's next worker.
constexpr Millis readyDelay { 500 }; // From the start of a long-running task until the task is ready.
constexpr Millis maxLease { 10'000 };
constexpr std::size_t maxListedEnds = 500; // Ends in one status report.
constexpr std::uint32_t percentScale = 100;
constexpr Millis checkpointInterval { 500 }; // Interval between checkpoints of a task.
constexpr Millis checkpointRestoreTime { 600 }; // Time to restore a checkpoint.
constexpr Millis clockAtStart { 1'000 }; // Clock value of a worker that restarts under its id.
constexpr int minLateness = 2'000; // Of late commands, in ms, as the maximum.
constexpr int maxLateness = 12'000;
constexpr Millis maxLatenessAfterRestart { 6'000 }; // The platform's bound; within one incarnation, commands later than this have no effect either way.
constexpr std::int64_t simulationStart = 1'700'000'000'000; // Unix ms at the epoch of the simulated clock.

} // namespace

WorkersModel::WorkersModel(SimClock& clock, std::mt19937_64& random)
    : advisor(clock)
    , m_clock(clock)
    , m_random(random)
{
    advisor.find = [this](const std::string& worker) { return find(worker); };
}

void WorkersModel::addInstance(const std::string& id, const std::string& pool, const std::string& rack, Resources capacity, const std::string& kind, const std::string& dataHall)
{
    m_instances[id] = { .id = id, .pool = pool, .state = FleetState::Up, .dataHall = dataHall, .kind = kind, .rack = rack, .capacity = capacity, .worker = {} };
    startIncarnation(id);
}

void WorkersModel::startIncarnation(const std::string& instance)
{
    FleetInstance& target = m_instances[instance];
    target.state = FleetState::Up;
    if (m_reserves.contains(target.pool))
        return;
    ++m_lastIncarnation;
    const std::string id = "i-" + std::to_string(m_lastIncarnation);
    WorkerModel model;
    model.entry.address = "10.0.0.1:" + std::to_string(m_lastIncarnation);
    model.incarnation = m_lastIncarnation;
    placeIncarnation(instance, id, std::move(model));
}

/// Places a new incarnation on an instance and writes its entry.
void WorkersModel::placeIncarnation(const std::string& instance, const std::string& id, WorkerModel model)
{
    FleetInstance& target = m_instances[instance];
    target.state = FleetState::Up;
    target.worker = id;
    const std::int64_t startedAt = simulationStart + std::chrono::duration_cast<Millis>(m_clock.now().time_since_epoch()).count();
    model.entry = { .id = id, .address = model.entry.address, .pool = target.pool, .dataHall = target.dataHall, .capacity = target.capacity, .labels = { target.kind, target.rack }, .rack = target.rack, .startedAt = startedAt };
    model.recentMaxCapacity = target.capacity;
    model.instance = instance;
    m_workers[id] = std::move(model);
    if (onEntry)
        onEntry(m_workers[id]);
}

void WorkersModel::restart(const std::string& worker, Millis returnsAfter)
{
    endAndReturn(worker, returnsAfter, [this, worker](const std::string& instance) {
        WorkerModel model;
        model.entry.address = m_workers[worker].entry.address;
        model.incarnation = ++m_lastIncarnation;
        model.clockBehind = std::chrono::duration_cast<Millis>(m_clock.now().time_since_epoch()) - clockAtStart;
        placeIncarnation(instance, worker, std::move(model));
    });
}

WorkerModel* WorkersModel::find(const std::string& worker)
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

WorkerModel* WorkersModel::workerOn(const std::string& instance)
{
    return find(m_instances[instance].worker);
}

std::int64_t WorkersModel::clockOf(const WorkerModel& worker) const
{
    return (std::chrono::duration_cast<Millis>(m_clock.now().time_since_epoch()) - worker.clockBehind).count();
}

MonotonicInstant WorkersModel::instantOf(const WorkerModel& worker, std::int64_t clock)
{
    return MonotonicInstant(Millis(clock) + worker.clockBehind);
}

bool WorkersModel::isCurrentIncarnation(const std::string& worker, std::uint64_t incarnation) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.incarnation == incarnation;
}

void WorkersModel::extendLease(WorkerModel& worker, std::int64_t until)
{
    if (until == 0)
        return;
    const MonotonicInstant end = std::min(instantOf(worker, until), m_clock.now() + maxLease);
    if (end <= worker.leaseUntil)
        return;
    worker.leaseUntil = end;
    m_clock.cancel(worker.leaseTimer);
    worker.leaseTimer = m_clock.at(end, [this, id = worker.entry.id] { expireLease(id); });
}

/// \returns The newest checkpoint, which is the completed work in ms; empty if there is none.
std::string WorkersModel::checkpointOf(const WorkerModel::Run& run) const
{
    if (!savesCheckpoints || run.longRunning)
        return run.checkpoint;
    const auto worked = std::chrono::duration_cast<Millis>(m_clock.now() - run.startedAt);
    const Millis saved = worked / checkpointInterval * checkpointInterval;
    return saved.count() > 0 ? std::to_string((run.doneBefore + saved).count()) : run.checkpoint;
}

/// \returns The worker's status report, which lists the oldest ends if there are too many.
RenewResult WorkersModel::reportOf(const WorkerModel& worker) const
{
    const auto listed = static_cast<std::ptrdiff_t>(std::min(worker.ended.size(), maxListedEnds));
    RenewResult report { .outcome = CommandOutcome::Done, .workerClock = clockOf(worker), .startedAt = worker.entry.startedAt, .running = {}, .ended = { worker.ended.begin(), worker.ended.begin() + listed } };
    report.coverage = report.ended.size() < maxListedEnds ? ReportCoverage::Complete : ReportCoverage::Partial;
    for (const auto& [attempt, run] : worker.running) {
        const auto passed = std::chrono::duration<double>(m_clock.now() - run.startedAt + run.doneBefore);
        const auto all = std::chrono::duration<double>(run.longRunning ? MonotonicInstant::duration(readyDelay) : run.endsAt - run.startedAt + run.doneBefore);
        const double share = worker.faults.stalled ? 0 : std::min(1.0, passed / all);
        report.running.push_back({ .attempt = attempt, .checkpoint = checkpointOf(run), .percent = static_cast<std::uint32_t>(share * percentScale) });
    }
    return report;
}

void WorkersModel::expireLease(const std::string& worker)
{
    WorkerModel& model = m_workers[worker];
    model.expiredUpTo = model.lastEnd;
    while (model.alive && !model.running.empty())
        endRun(model, Attempt(model.running.begin()->first), AttemptEnd::LeaseExpired, false);
}

bool WorkersModel::isReady(const WorkerModel& worker, const WorkerModel::Run& run) const
{
    return run.longRunning && !worker.faults.stalled && !worker.entry.draining && m_clock.now() - run.startedAt >= readyDelay;
}

void WorkersModel::endRun(WorkerModel& worker, const Attempt& attempt, AttemptEnd end, bool byCommand)
{
    const auto run = worker.running.find(attempt);
    if (run == worker.running.end())
        return;
    m_clock.cancel(run->second.end);
    worker.ended.push_back({ .sequence = ++worker.lastEnd, .attempt = attempt, .end = end, .checkpoint = checkpointOf(run->second) });
    const Departure departure { byCommand, isReady(worker, run->second) };
    worker.running.erase(run);
    std::uint64_t& settled = worker.settled[{ attempt.job, attempt.task }];
    settled = std::max(settled, attempt.number);
    if (checker)
        checker->onEnd(worker.entry.id, attempt, end, departure);
    for (const std::function<void()>& renewal : std::exchange(worker.waiting, {}))
        renewal();
}

void WorkersModel::endIncarnation(WorkerModel& worker, bool byCommand)
{
    if (!worker.alive)
        return;
    worker.alive = false;
    m_clock.cancel(worker.leaseTimer);
    for (const auto& [attempt, run] : worker.running) {
        m_clock.cancel(run.end);
        if (checker)
            checker->onWorkerFailed(worker.entry.id, attempt, { byCommand, isReady(worker, run) });
    }
    worker.running.clear();
    if (onGone)
        m_clock.after(Millis(byCommand ? 0 : 4'500), [this, id = worker.entry.id, incarnation = worker.incarnation] {
            if (isCurrentIncarnation(id, incarnation))
                onGone(id);
        });
}

void WorkersModel::crash(const std::string& worker, Millis returnsAfter)
{
    endAndReturn(worker, returnsAfter, [this](const std::string& instance) { startIncarnation(instance); });
}

void WorkersModel::losePower(const std::string& dataHall, Millis returnsAfter)
{
    for (auto& [id, instance] : m_instances) {
        if (instance.dataHall != dataHall || instance.state != FleetState::Up)
            continue;
        if (!instance.worker.empty()) {
            crash(std::string(instance.worker), returnsAfter);
            continue;
        }
        instance.state = FleetState::Down;
        m_clock.after(returnsAfter, [this, id = id] { startIncarnation(id); });
    }
}

void WorkersModel::endAndReturn(const std::string& worker, Millis returnsAfter, std::function<void(const std::string& instance)> begin)
{
    WorkerModel* model = find(worker);
    if (!model || !model->alive)
        return;
    endIncarnation(*model, false);
    FleetInstance& instance = m_instances[model->instance];
    instance.state = FleetState::Down;
    instance.worker.clear();
    m_clock.after(returnsAfter, [id = instance.id, begin = std::move(begin)] { begin(id); });
}

void WorkersModel::crashByTask(const std::string& worker, const Attempt& attempt)
{
    const WorkerModel* model = find(worker);
    if (!model || !model->alive || !model->running.contains(attempt))
        return;
    if (checker)
        checker->onWorkerCrashed(worker, attempt);
    crash(worker, returnAfterCrash);
}

void WorkersModel::resize(const std::string& worker, const Resources& capacity)
{
    WorkerModel& model = m_workers[worker];
    const Resources before = model.recentMaxCapacity;
    model.entry.capacity = capacity;
    model.recentMaxCapacity = { .milliCpu = std::max(before.milliCpu, capacity.milliCpu), .memoryMb = std::max(before.memoryMb, capacity.memoryMb), .accelerators = std::max(before.accelerators, capacity.accelerators) };
    m_instances[model.instance].capacity = capacity;
    m_clock.after(shrinkPropagationTime, [this, worker, capacity] {
        if (m_workers[worker].entry.capacity == capacity)
            m_workers[worker].recentMaxCapacity = capacity;
    });
    if (model.alive && onEntry)
        onEntry(model);
}

void WorkersModel::leave(const std::string& worker, bool announced, Millis serving)
{
    WorkerModel* model = find(worker);
    if (!model || !model->alive)
        return;
    model->entry.draining = true;
    if (announced && onEntry)
        onEntry(*model);
    if (!announced && onGone)
        onGone(worker);
    m_clock.after(serving, [this, worker, incarnation = model->incarnation] {
        if (isCurrentIncarnation(worker, incarnation))
            crash(worker, restartDelay);
    });
}

CommandResult WorkersModel::start(const std::string& worker, const StartCommand& command, bool late)
{
    WorkerModel& model = m_workers[worker];
    const CommandResult done { .outcome = CommandOutcome::Done, .workerClock = clockOf(model) };
    if (refusesStarts || model.faults.refusing)
        return { .outcome = CommandOutcome::NotDone };
    const auto refuse = [&](CommandOutcome outcome) { return CommandResult { .outcome = outcome, .workerClock = done.workerClock }; };
    if (command.epoch < model.epoch)
        return refuse(CommandOutcome::Fenced);
    model.epoch = command.epoch;
    if (model.running.contains(command.attempt))
        return done;
    const std::pair<std::string, TaskId> task { command.attempt.job, command.attempt.task };
    extendLease(model, command.leaseUntil);
    if (model.settled[task] >= command.attempt.number)
        return refuse(CommandOutcome::Superseded);
    if (instantOf(model, command.leaseUntil) <= m_clock.now())
        return refuse(CommandOutcome::LeaseExpired);
    if (!advisor.accepts(model, command))
        return refuse(CommandOutcome::BadTicket);
    const StepSpec step = stepOf(command.attempt);
    Resources used;
    for (const auto& [attempt, run] : model.running)
        used += run.needs;
    used += step.needs;
    if (!model.entry.capacity.covers(used)) {
        if (enforcesCapacity)
            return refuse(CommandOutcome::NoRoom);
        // A command that arrived late is exempt from the check.
        if (checker && !late && !model.recentMaxCapacity.covers(used))
            checker->onOverload(worker, command.attempt);
    }
    const bool isFar = !step.preferredRack.empty() && step.preferredRack != model.entry.rack;
    const Millis nominalTime = isFar ? std::chrono::duration_cast<Millis>(runTimes(command.attempt) * farFactor) : runTimes(command.attempt);
    const Millis work = nominalTime * model.faults.slowdown;
    const bool restores = savesCheckpoints && !command.checkpoint.empty();
    const Millis doneBefore = restores ? std::min(Millis(std::stoll(command.checkpoint)), work) : Millis(0);
    const Millis time = work - doneBefore + (restores ? checkpointRestoreTime : Millis(0));
    WorkerModel::Run run { .checkpoint = command.checkpoint, .startedAt = m_clock.now(), .endsAt = m_clock.now() + time, .needs = step.needs, .longRunning = step.longRunning, .doneBefore = doneBefore };
    std::uniform_real_distribution<double> share(0, 1);
    const bool fails = share(m_random) < model.faults.failing || (failsEverywhere && failsEverywhere(command.attempt));
    const AttemptEnd end = fails ? AttemptEnd::Failed : AttemptEnd::Succeeded;
    if (!model.faults.stalled && (!step.longRunning || end == AttemptEnd::Failed))
        run.end = m_clock.after(time, [this, worker, attempt = command.attempt, end] { endRun(m_workers[worker], Attempt(attempt), end, false); });
    model.running[command.attempt] = run;
    if (checker)
        checker->onStart(worker, command, late);
    if (!crashesWorker || !crashesWorker(command.attempt))
        return done;
    if (crashesWorkerAfter == Millis(0))
        crashByTask(worker, command.attempt);
    else
        m_clock.after(crashesWorkerAfter, [this, worker, attempt = command.attempt] { crashByTask(worker, attempt); });
    return done;
}

CommandResult WorkersModel::stop(const std::string& worker, const Attempt& attempt, std::uint64_t epoch, bool late)
{
    WorkerModel& model = m_workers[worker];
    if (epoch < model.epoch)
        return { .outcome = CommandOutcome::Fenced, .workerClock = clockOf(model) };
    model.epoch = epoch;
    std::uint64_t& settled = model.settled[{ attempt.job, attempt.task }];
    settled = std::max(settled, attempt.number);
    // A command that arrived late is exempt from the budget check.
    m_clock.after(stopTime, [this, worker, attempt, late, incarnation = model.incarnation] {
        if (isCurrentIncarnation(worker, incarnation))
            endRun(m_workers[worker], attempt, AttemptEnd::Stopped, !late);
    });
    return { .outcome = CommandOutcome::Done, .workerClock = clockOf(model) };
}

/// \returns False if the epoch is outdated.
bool WorkersModel::renew(const std::string& worker, const RenewCommand& command)
{
    WorkerModel& model = m_workers[worker];
    if (command.epoch < model.epoch)
        return false;
    model.epoch = command.epoch;
    extendLease(model, command.leaseUntil);
    while (!model.ended.empty() && model.ended.front().sequence <= command.endsStoredUpTo) {
        if (checker && model.ended.front().sequence > model.expiredUpTo)
            checker->onStored(worker, model.ended.front());
        model.ended.pop_front();
    }
    return true;
}

/// Carries out a command late, at whichever incarnation then has the worker's id.
void WorkersModel::carryOutLate(const std::string& worker, std::function<void()> operation)
{
    const WorkerModel& model = m_workers[worker];
    const Millis lateness = model.faults.lateBy > Millis(0) ? model.faults.lateBy : Millis(std::uniform_int_distribution<int>(minLateness, maxLateness)(m_random));
    m_clock.after(lateness, [this, worker, operation = std::move(operation), incarnation = model.incarnation, lateness] {
        const bool reaches = isCurrentIncarnation(worker, incarnation) || lateness <= maxLatenessAfterRestart;
        if (reaches && m_workers[worker].alive)
            operation();
    });
}

FleetOutcome WorkersModel::takeDown(const std::string& instance, const FleetHolder& holder, const std::string& pool, FleetState state, Millis time)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return FleetOutcome::Refused;
    FleetInstance& target = found->second;
    if (checker)
        checker->onFleetAction(instance, holder);
    if (target.state != FleetState::Up)
        return FleetOutcome::Busy;
    if (WorkerModel* worker = find(target.worker))
        endIncarnation(*worker, true);
    target.worker.clear();
    target.pool = pool;
    target.state = state;
    m_clock.after(time, [this, instance] { startIncarnation(instance); });
    return FleetOutcome::Done;
}

void WorkerClient::sendCommand(const std::string& worker, const std::function<CommandResult(bool late)>& operation, std::function<void(CommandResult)> done)
{
    const std::function<void(CommandResult)> answer = m_process.deliver<CommandResult>(std::move(done));
    SimClock& clock = m_workers.m_clock;
    WorkerModel* model = m_workers.find(worker);
    std::uniform_real_distribution<double> share(0, 1);
    if (!model || model->faults.partitioned || model->faults.crashed || !callArrives(model->entry)) {
        clock.after(callTimeout, [answer] { answer({}); });
        return;
    }
    if (model->faults.lostCommands > 0 && share(m_workers.m_random) < model->faults.lostCommands) {
        clock.after(callTimeout, [answer] { answer({}); });
        return;
    }
    if (share(m_workers.m_random) < model->faults.lateCommands) {
        m_workers.carryOutLate(worker, [operation] { static_cast<void>(operation(true)); });
        clock.after(callTimeout, [answer] { answer({}); });
        return;
    }
    const bool isAnswerLost = share(m_workers.m_random) < model->faults.lostAnswers;
    clock.after(oneWayLatency, [this, worker, operation, answer, isAnswerLost] {
        SimClock& later = m_workers.m_clock;
        const WorkerModel* reached = m_workers.find(worker);
        if (!reached->alive || reached->faults.partitioned) {
            later.after(callTimeout, [answer] { answer({}); });
            return;
        }
        const CommandResult result = operation(false);
        // A worker that crashed while starting the task sends no response.
        if (isAnswerLost || !m_workers.find(worker)->alive || !answerArrives(m_workers.find(worker)->entry))
            later.after(callTimeout, [answer] { answer({}); });
        else
            later.after(oneWayLatency, [answer, result] { answer(result); });
    });
}

void WorkerClient::start(const WorkerIncarnation& worker, const StartCommand& command, std::function<void(CommandResult)> done)
{
    this->sendCommand(
        worker.id, [this, id = worker.id, command](bool late) { return m_workers.start(id, command, late); }, std::move(done));
}

void WorkerClient::stop(const WorkerIncarnation& worker, const Attempt& attempt, std::uint64_t epoch, std::function<void(CommandResult)> done)
{
    sendCommand(
        worker.id, [this, id = worker.id, attempt, epoch](bool late) { return m_workers.stop(id, attempt, epoch, late); }, std::move(done));
}

void WorkerClient::throttle(const WorkerIncarnation& worker, const Attempt& attempt, std::uint32_t percent, std::uint64_t, std::function<void(CommandResult)> done)
{
    sendCommand(
        worker.id,
        [this, id = worker.id, attempt, percent](bool) -> CommandResult {
            WorkerModel& model = m_workers.m_workers[id];
            const auto run = model.running.find(attempt);
            if (run == model.running.end())
                return { .outcome = CommandOutcome::Rejected, .workerClock = m_workers.clockOf(model) };
            run->second.percentAllowed = percent;
            return { .outcome = CommandOutcome::Done, .workerClock = m_workers.clockOf(model) };
        },
        std::move(done));
}

void WorkerClient::renew(const WorkerIncarnation& worker, const RenewCommand& command, std::function<void(RenewResult)> done)
{
    const std::function<void(RenewResult)> answer = m_process.deliver<RenewResult>(std::move(done));
    SimClock& clock = m_workers.m_clock;
    const auto unreachable = [this, id = worker.id] {
        const WorkerModel* model = m_workers.find(id);
        return !model || !model->alive || model->faults.partitioned || model->faults.crashed;
    };
    const WorkerModel* target = m_workers.find(worker.id);
    std::uniform_real_distribution<double> share(0, 1);
    if (unreachable() || !callArrives(target->entry) || (target->faults.lostRenewals > 0 && share(m_workers.m_random) < target->faults.lostRenewals)) {
        clock.after(command.wait + callTimeout, [answer] { answer({}); });
        return;
    }
    if (target->faults.lateRenewals > 0 && share(m_workers.m_random) < target->faults.lateRenewals) {
        m_workers.carryOutLate(worker.id, [this, id = worker.id, command] { m_workers.renew(id, command); });
        clock.after(command.wait + callTimeout, [answer] { answer({}); });
        return;
    }
    const auto report = [this, id = worker.id, answer, unreachable, timesOutAt = clock.now() + command.wait + callTimeout](std::uint64_t incarnation) {
        SimClock& later = m_workers.m_clock;
        const bool isCut = !answerArrives(m_workers.m_workers[id].entry);
        if (isCut || unreachable() || !m_workers.isCurrentIncarnation(id, incarnation)) {
            later.at(isCut ? timesOutAt : later.now() + callTimeout, [answer] { answer({}); });
            return;
        }
        later.after(oneWayLatency, [answer, result = m_workers.reportOf(m_workers.m_workers[id])] { answer(result); });
    };
    clock.after(oneWayLatency, [this, id = worker.id, command, answer, report] {
        SimClock& later = m_workers.m_clock;
        WorkerModel& model = m_workers.m_workers[id];
        if (!model.alive) {
            report(model.incarnation);
            return;
        }
        if (!m_workers.renew(id, command)) {
            later.after(oneWayLatency, [answer] { answer({ .outcome = CommandOutcome::Fenced, .running = {}, .ended = {} }); });
            return;
        }
        if (command.wait.count() == 0 || !model.ended.empty()) {
            report(model.incarnation);
            return;
        }
        const auto answered = std::make_shared<bool>(false);
        const auto once = [answered, report, incarnation = model.incarnation] {
            if (!std::exchange(*answered, true))
                report(incarnation);
        };
        model.waiting.push_back(once);
        later.after(command.wait, once);
    });
}

void WorkerClient::closeConnections(const WorkerIncarnation&)
{
}

void FleetClient::list(std::function<void(FleetList)> done)
{
    const std::function<void(FleetList)> answer = m_process.deliver<FleetList>(std::move(done));
    FleetList list { .complete = true, .instances = {} };
    for (const auto& [id, instance] : m_workers.m_instances) {
        if (m_workers.hidden.contains(id))
            continue;
        list.instances.push_back(instance);
        const auto misnamed = m_workers.misnamed.find(id);
        if (misnamed != m_workers.misnamed.end())
            list.instances.back().worker = misnamed->second;
        if (m_workers.unlisted.contains(instance.worker))
            list.instances.back().worker.clear();
    }
    m_workers.m_clock.after(oneWayLatency * 2, [answer, list] { answer(list); });
}

void FleetClient::send(const std::function<FleetOutcome()>& operation, std::function<void(FleetOutcome)> done)
{
    const std::function<void(FleetOutcome)> answer = m_process.deliver<FleetOutcome>(std::move(done));
    std::uniform_real_distribution<double> share(0, 1);
    SimClock& clock = m_workers.m_clock;
    if (share(m_workers.m_random) < m_workers.fleetFaults.dropped) {
        ++m_workers.m_dropped;
        clock.after(callTimeout, [answer] { answer(FleetOutcome::Unknown); });
        return;
    }
    const bool isAnswerLost = share(m_workers.m_random) < m_workers.fleetFaults.lostAnswers;
    clock.after(oneWayLatency, [this, operation, answer, isAnswerLost] {
        const FleetOutcome outcome = operation();
        if (isAnswerLost)
            m_workers.m_clock.after(callTimeout, [answer] { answer(FleetOutcome::Unknown); });
        else
            m_workers.m_clock.after(oneWayLatency, [answer, outcome] { answer(outcome); });
    });
}

void FleetClient::move(const std::string& instance, const std::string& pool, const FleetHolder& holder, std::function<void(FleetOutcome)> done)
{
    const auto operation = [this, instance, pool, holder] { return m_workers.takeDown(instance, holder, pool, FleetState::Moving, m_workers.moveTime); };
    send(operation, std::move(done));
}

void FleetClient::maintain(const std::string& instance, std::uint64_t wave, const FleetHolder& holder, std::function<void(FleetOutcome)> done)
{
    const auto operation = [this, instance, wave, holder] {
        std::set<std::string>& maintained = m_workers.m_maintained[wave];
        if (maintained.contains(instance))
            return FleetOutcome::Done;
        const FleetOutcome outcome = m_workers.takeDown(instance, holder, m_workers.m_instances[instance].pool, FleetState::InMaintenance, m_workers.maintenanceTime);
        if (outcome != FleetOutcome::Done)
            return outcome;
        maintained.insert(instance);
        if (m_workers.checker)
            m_workers.checker->onMaintenance(instance, wave, m_workers.maintenanceTime);
        return outcome;
    };
    send(operation, std::move(done));
}

void FleetClient::advise(const std::string& job, std::uint32_t occurrence, std::uint32_t step, const std::vector<std::string>& workers, std::function<void(Advice)> done)
{
    m_workers.advisor.advise(this, stepName(job, occurrence, step), workers, m_process.deliver<Advice>(std::move(done)));
}

} // namespace lanemoor::model
