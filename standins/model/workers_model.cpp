#include "workers_model.h"

#include <algorithm>

namespace lanemoor::model {

namespace {

using namespace jobs;

constexpr Millis callTime { 800 }; // Client timeout of commands.
constexpr Millis halfTrip { 1 };
constexpr Millis stopTime { 100 };
constexpr Millis shrinkInForce { 4'500 }; // By the platform's bounds: 3 s until an entry is connected, and a heartbeat of 1.5 s.
constexpr Millis betweenLives { 1'000 }; // From a planned end to the start of the instance's next worker.
constexpr Millis startOfService { 500 }; // From the start of a long-running task until the task is ready.
constexpr Millis longestLease { 10'000 };
constexpr std::uint32_t whole = 100;
constexpr Millis saveEvery { 500 }; // Interval between checkpoints of a task.
constexpr Millis restoreTime { 600 }; // Time to restore a checkpoint.
constexpr Millis clockAtStart { 1'000 }; // Clock value of a worker that restarts under its id.
constexpr std::int64_t firstStart = 1'700'000'000'000; // Unix ms at the epoch of the simulated clock.

} // namespace

WorkersModel::WorkersModel(SimClock& clock, std::mt19937_64& random)
    : m_clock(clock)
    , m_random(random)
{
}

void WorkersModel::addInstance(const std::string& id, const std::string& pool, const std::string& rack, Resources capacity, const std::string& kind, const std::string& dataHall)
{
    m_instances[id] = { .id = id, .pool = pool, .state = FleetState::Up, .dataHall = dataHall, .kind = kind, .rack = rack, .capacity = capacity, .worker = {} };
    beginLife(id);
}

void WorkersModel::beginLife(const std::string& instance)
{
    FleetInstance& on = m_instances[instance];
    on.state = FleetState::Up;
    if (m_reserves.contains(on.pool))
        return;
    ++m_lives;
    const std::string id = "i-" + std::to_string(m_lives);
    WorkerModel life;
    life.entry.address = "10.0.0.1:" + std::to_string(m_lives);
    life.life = m_lives;
    enter(instance, id, std::move(life));
}

/// Places a new incarnation on an instance and writes its entry.
void WorkersModel::enter(const std::string& instance, const std::string& id, WorkerModel life)
{
    FleetInstance& on = m_instances[instance];
    on.state = FleetState::Up;
    on.worker = id;
    const std::int64_t startedAt = firstStart + std::chrono::duration_cast<Millis>(m_clock.now().time_since_epoch()).count();
    life.entry = { .id = id, .address = life.entry.address, .pool = on.pool, .dataHall = on.dataHall, .capacity = on.capacity, .labels = { on.kind, on.rack }, .rack = on.rack, .startedAt = startedAt };
    life.largestOfLate = on.capacity;
    life.instance = instance;
    m_workers[id] = std::move(life);
    if (onEntry)
        onEntry(m_workers[id]);
}

void WorkersModel::restart(const std::string& worker, Millis returnsAfter)
{
    endAndReturn(worker, returnsAfter, [this, worker](const std::string& instance) {
        WorkerModel life;
        life.entry.address = m_workers[worker].entry.address;
        life.life = ++m_lives;
        life.clockBehind = std::chrono::duration_cast<Millis>(m_clock.now().time_since_epoch()) - clockAtStart;
        enter(instance, worker, std::move(life));
    });
}

WorkerModel* WorkersModel::find(const std::string& worker)
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

WorkerModel* WorkersModel::on(const std::string& instance)
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

bool WorkersModel::isLife(const std::string& worker, std::uint64_t life) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.life == life;
}

void WorkersModel::extendLease(WorkerModel& worker, std::int64_t until)
{
    if (until == 0)
        return;
    // Leases are capped at a max length.
    const MonotonicInstant end = std::min(instantOf(worker, until), m_clock.now() + longestLease);
    if (end <= worker.leaseUntil)
        return;
    worker.leaseUntil = end;
    m_clock.cancel(worker.lapse);
    worker.lapse = m_clock.at(end, [this, id = worker.entry.id] { lapse(id); });
}

/// \returns The newest checkpoint, which is the completed work in ms; empty if there is none.
std::string WorkersModel::checkpointOf(const WorkerModel::Run& run) const
{
    if (!saves || run.longRunning)
        return run.checkpoint;
    const auto worked = std::chrono::duration_cast<Millis>(m_clock.now() - run.startedAt);
    const Millis saved = worked / saveEvery * saveEvery;
    return saved.count() > 0 ? std::to_string((run.doneBefore + saved).count()) : run.checkpoint;
}

void WorkersModel::lapse(const std::string& worker)
{
    WorkerModel& model = m_workers[worker];
    model.lapsedUpTo = model.lastEnd;
    while (model.alive && !model.running.empty())
        endRun(model, Attempt(model.running.begin()->first), AttemptEnd::LeaseLapsed, false);
}

bool WorkersModel::isAtWork(const WorkerModel& worker, const WorkerModel::Run& run) const
{
    return run.longRunning && !worker.trouble.hanging && !worker.entry.draining && m_clock.now() - run.startedAt >= startOfService;
}

void WorkersModel::endRun(WorkerModel& worker, const Attempt& attempt, AttemptEnd end, bool byOrder)
{
    const auto run = worker.running.find(attempt);
    if (run == worker.running.end())
        return;
    m_clock.cancel(run->second.end);
    worker.ended.push_back({ .sequence = ++worker.lastEnd, .attempt = attempt, .end = end, .checkpoint = checkpointOf(run->second) });
    const Departure departure { byOrder, isAtWork(worker, run->second) };
    worker.running.erase(run);
    std::uint64_t& settled = worker.settled[{ attempt.job, attempt.task }];
    settled = std::max(settled, attempt.number);
    if (witness)
        witness->onEnd(worker.entry.id, attempt, end, departure);
    for (const std::function<void()>& renewal : std::exchange(worker.waiting, {}))
        renewal();
}

void WorkersModel::endLife(WorkerModel& worker, bool byOrder)
{
    if (!worker.alive)
        return;
    worker.alive = false;
    m_clock.cancel(worker.lapse);
    for (const auto& [attempt, run] : worker.running) {
        m_clock.cancel(run.end);
        if (witness)
            witness->onDead(worker.entry.id, attempt, { byOrder, isAtWork(worker, run) });
    }
    worker.running.clear();
    if (onGone)
        m_clock.after(Millis(byOrder ? 0 : 4'500), [this, id = worker.entry.id, life = worker.life] {
            if (isLife(id, life))
                onGone(id);
        });
}

void WorkersModel::crash(const std::string& worker, Millis returnsAfter)
{
    endAndReturn(worker, returnsAfter, [this](const std::string& instance) { beginLife(instance); });
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
        m_clock.after(returnsAfter, [this, id = id] { beginLife(id); });
    }
}

void WorkersModel::endAndReturn(const std::string& worker, Millis returnsAfter, std::function<void(const std::string& instance)> begin)
{
    WorkerModel* model = find(worker);
    if (!model || !model->alive)
        return;
    endLife(*model, false);
    FleetInstance& instance = m_instances[model->instance];
    instance.state = FleetState::Down;
    instance.worker.clear();
    m_clock.after(returnsAfter, [id = instance.id, begin = std::move(begin)] { begin(id); });
}

void WorkersModel::endByTask(const std::string& worker, const Attempt& attempt)
{
    const WorkerModel* model = find(worker);
    if (!model || !model->alive || !model->running.contains(attempt))
        return;
    if (witness)
        witness->onWorkerEnded(worker, attempt);
    crash(worker, backAfterEnd);
}

void WorkersModel::resize(const std::string& worker, const Resources& capacity)
{
    WorkerModel& model = m_workers[worker];
    const Resources before = model.largestOfLate;
    model.entry.capacity = capacity;
    model.largestOfLate = { .milliCpu = std::max(before.milliCpu, capacity.milliCpu), .memoryMb = std::max(before.memoryMb, capacity.memoryMb), .accelerators = std::max(before.accelerators, capacity.accelerators) };
    m_instances[model.instance].capacity = capacity;
    m_clock.after(shrinkInForce, [this, worker, capacity] {
        if (m_workers[worker].entry.capacity == capacity)
            m_workers[worker].largestOfLate = capacity;
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
    m_clock.after(serving, [this, worker, life = model->life] {
        if (isLife(worker, life))
            crash(worker, betweenLives);
    });
}

OrderResult WorkersModel::start(const std::string& worker, const StartOrder& order, bool late)
{
    WorkerModel& model = m_workers[worker];
    const OrderResult done { .outcome = OrderOutcome::Done, .workerClock = clockOf(model) };
    const auto refuse = [&](OrderOutcome outcome) { return OrderResult { .outcome = outcome, .workerClock = done.workerClock }; };
    if (order.epoch < model.epoch)
        return refuse(OrderOutcome::Fenced);
    model.epoch = order.epoch;
    if (model.running.contains(order.attempt))
        return done;
    const std::pair<std::string, TaskId> task { order.attempt.job, order.attempt.task };
    extendLease(model, order.leaseUntil);
    if (model.settled[task] >= order.attempt.number)
        return refuse(OrderOutcome::Superseded);
    if (instantOf(model, order.leaseUntil) <= m_clock.now())
        return refuse(OrderOutcome::LeaseOver);
    const StepSpec step = stepOf(order.attempt);
    Resources used;
    for (const auto& [attempt, run] : model.running)
        used += run.needs;
    used += step.needs;
    if (!model.entry.capacity.covers(used)) {
        if (guards)
            return refuse(OrderOutcome::NoRoom);
        // A delayed command is exempt from the check.
        if (witness && !late && !model.largestOfLate.covers(used))
            witness->onOverload(worker, order.attempt);
    }
    const bool isFar = !step.preferredRack.empty() && step.preferredRack != model.entry.rack;
    const Millis soundTime = isFar ? std::chrono::duration_cast<Millis>(runTimes(order.attempt) * farFactor) : runTimes(order.attempt);
    const Millis work = soundTime * model.trouble.slowBy;
    const bool restores = saves && !order.checkpoint.empty();
    const Millis doneBefore = restores ? std::min(Millis(std::stoll(order.checkpoint)), work) : Millis(0);
    const Millis time = work - doneBefore + (restores ? restoreTime : Millis(0));
    WorkerModel::Run run { .checkpoint = order.checkpoint, .startedAt = m_clock.now(), .endsAt = m_clock.now() + time, .needs = step.needs, .longRunning = step.longRunning, .doneBefore = doneBefore };
    std::uniform_real_distribution<double> share(0, 1);
    const AttemptEnd end = share(m_random) < model.trouble.failing ? AttemptEnd::Failed : AttemptEnd::Succeeded;
    if (!model.trouble.hanging && (!step.longRunning || end == AttemptEnd::Failed))
        run.end = m_clock.after(time, [this, worker, attempt = order.attempt, end] { endRun(m_workers[worker], Attempt(attempt), end, false); });
    model.running[order.attempt] = run;
    if (witness)
        witness->onStart(worker, order, late);
    if (!endsWorker || !endsWorker(order.attempt))
        return done;
    if (endsWorkerAfter == Millis(0))
        endByTask(worker, order.attempt);
    else
        m_clock.after(endsWorkerAfter, [this, worker, attempt = order.attempt] { endByTask(worker, attempt); });
    return done;
}

OrderResult WorkersModel::stop(const std::string& worker, const Attempt& attempt, std::uint64_t epoch, bool late)
{
    WorkerModel& model = m_workers[worker];
    if (epoch < model.epoch)
        return { .outcome = OrderOutcome::Fenced, .workerClock = clockOf(model) };
    model.epoch = epoch;
    std::uint64_t& settled = model.settled[{ attempt.job, attempt.task }];
    settled = std::max(settled, attempt.number);
    // A delayed command is exempt from the budget check.
    m_clock.after(stopTime, [this, worker, attempt, late, life = model.life] {
        if (isLife(worker, life))
            endRun(m_workers[worker], attempt, AttemptEnd::Stopped, !late);
    });
    return { .outcome = OrderOutcome::Done, .workerClock = clockOf(model) };
}

FleetOutcome WorkersModel::take(const std::string& instance, const FleetHolder& holder, const std::string& pool, FleetState state, Millis time)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return FleetOutcome::Refused;
    FleetInstance& on = found->second;
    if (witness)
        witness->onAct(instance, holder);
    if (on.state != FleetState::Up)
        return FleetOutcome::Busy;
    if (WorkerModel* worker = find(on.worker))
        endLife(*worker, true);
    on.worker.clear();
    on.pool = pool;
    on.state = state;
    m_clock.after(time, [this, instance] { beginLife(instance); });
    return FleetOutcome::Done;
}

void WorkerClient::order(const std::string& worker, const std::function<OrderResult(bool late)>& act, std::function<void(OrderResult)> done)
{
    const std::function<void(OrderResult)> answer = m_process.deliver<OrderResult>(std::move(done));
    SimClock& clock = m_workers.m_clock;
    WorkerModel* model = m_workers.find(worker);
    std::uniform_real_distribution<double> share(0, 1);
    if (!model || model->trouble.cutOff || model->trouble.dark || !callArrives(model->entry)) {
        clock.after(callTime, [answer] { answer({}); });
        return;
    }
    if (model->trouble.lostOrders > 0 && share(m_workers.m_random) < model->trouble.lostOrders) {
        clock.after(callTime, [answer] { answer({}); });
        return;
    }
    if (share(m_workers.m_random) < model->trouble.lateOrders) {
        std::uniform_int_distribution<int> pause(2'000, 12'000);
        // The command is bound to a connection to this incarnation and is dropped with it.
        clock.after(Millis(pause(m_workers.m_random)), [this, worker, act, life = model->life] {
            if (m_workers.isLife(worker, life) && m_workers.find(worker)->alive)
                static_cast<void>(act(true));
        });
        clock.after(callTime, [answer] { answer({}); });
        return;
    }
    const bool lost = share(m_workers.m_random) < model->trouble.lostAnswers;
    clock.after(halfTrip, [this, worker, act, answer, lost] {
        SimClock& later = m_workers.m_clock;
        const WorkerModel* reached = m_workers.find(worker);
        if (!reached->alive || reached->trouble.cutOff) {
            later.after(callTime, [answer] { answer({}); });
            return;
        }
        const OrderResult result = act(false);
        // A worker that crashed while starting the task sends no response.
        if (lost || !m_workers.find(worker)->alive || !answerArrives(m_workers.find(worker)->entry))
            later.after(callTime, [answer] { answer({}); });
        else
            later.after(halfTrip, [answer, result] { answer(result); });
    });
}

void WorkerClient::start(const WorkerLife& worker, const StartOrder& order, std::function<void(OrderResult)> done)
{
    this->order(
        worker.id, [this, id = worker.id, order](bool late) { return m_workers.start(id, order, late); }, std::move(done));
}

void WorkerClient::stop(const WorkerLife& worker, const Attempt& attempt, std::uint64_t epoch, std::function<void(OrderResult)> done)
{
    order(
        worker.id, [this, id = worker.id, attempt, epoch](bool late) { return m_workers.stop(id, attempt, epoch, late); }, std::move(done));
}

void WorkerClient::throttle(const WorkerLife& worker, const Attempt& attempt, std::uint32_t percent, std::uint64_t, std::function<void(OrderResult)> done)
{
    order(
        worker.id,
        [this, id = worker.id, attempt, percent](bool) -> OrderResult {
            WorkerModel& model = m_workers.m_workers[id];
            const auto run = model.running.find(attempt);
            if (run == model.running.end())
                return { .outcome = OrderOutcome::Rejected, .workerClock = m_workers.clockOf(model) };
            run->second.percentAllowed = percent;
            return { .outcome = OrderOutcome::Done, .workerClock = m_workers.clockOf(model) };
        },
        std::move(done));
}

void WorkerClient::renew(const WorkerLife& worker, const RenewOrder& order, std::function<void(RenewResult)> done)
{
    const std::function<void(RenewResult)> answer = m_process.deliver<RenewResult>(std::move(done));
    SimClock& clock = m_workers.m_clock;
    const auto unreachable = [this, id = worker.id] {
        const WorkerModel* model = m_workers.find(id);
        return !model || !model->alive || model->trouble.cutOff || model->trouble.dark;
    };
    const WorkerModel* target = m_workers.find(worker.id);
    std::uniform_real_distribution<double> share(0, 1);
    if (unreachable() || !callArrives(target->entry) || (target->trouble.lostRenewals > 0 && share(m_workers.m_random) < target->trouble.lostRenewals)) {
        clock.after(order.wait + callTime, [answer] { answer({}); });
        return;
    }
    const auto report = [this, id = worker.id, answer, unreachable, givenUpAt = clock.now() + order.wait + callTime](std::uint64_t life) {
        SimClock& later = m_workers.m_clock;
        const bool isCut = !answerArrives(m_workers.m_workers[id].entry);
        if (isCut || unreachable() || !m_workers.isLife(id, life)) {
            later.at(isCut ? givenUpAt : later.now() + callTime, [answer] { answer({}); });
            return;
        }
        const WorkerModel& model = m_workers.m_workers[id];
        RenewResult result { .outcome = OrderOutcome::Done, .workerClock = m_workers.clockOf(model), .startedAt = model.entry.startedAt, .running = {}, .ended = { model.ended.begin(), model.ended.end() } };
        for (const auto& [attempt, run] : model.running) {
            const auto passed = std::chrono::duration<double>(later.now() - run.startedAt + run.doneBefore);
            const auto all = std::chrono::duration<double>(run.longRunning ? MonotonicInstant::duration(startOfService) : run.endsAt - run.startedAt + run.doneBefore);
            const double done = model.trouble.hanging ? 0 : std::min(1.0, passed / all);
            result.running.push_back({ .attempt = attempt, .checkpoint = m_workers.checkpointOf(run), .percent = static_cast<std::uint32_t>(done * whole) });
        }
        later.after(halfTrip, [answer, result] { answer(result); });
    };
    clock.after(halfTrip, [this, id = worker.id, order, answer, report] {
        SimClock& later = m_workers.m_clock;
        WorkerModel& model = m_workers.m_workers[id];
        if (!model.alive) {
            report(model.life);
            return;
        }
        if (order.epoch < model.epoch) {
            later.after(halfTrip, [answer] { answer({ .outcome = OrderOutcome::Fenced, .running = {}, .ended = {} }); });
            return;
        }
        model.epoch = order.epoch;
        m_workers.extendLease(model, order.leaseUntil);
        while (!model.ended.empty() && model.ended.front().sequence <= order.endsStoredUpTo) {
            if (m_workers.witness && model.ended.front().sequence > model.lapsedUpTo)
                m_workers.witness->onStored(id, model.ended.front());
            model.ended.pop_front();
        }
        if (order.wait.count() == 0 || !model.ended.empty()) {
            report(model.life);
            return;
        }
        const auto answered = std::make_shared<bool>(false);
        const auto once = [answered, report, life = model.life] {
            if (!std::exchange(*answered, true))
                report(life);
        };
        model.waiting.push_back(once);
        later.after(order.wait, once);
    });
}

void WorkerClient::forget(const WorkerLife&)
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
        if (m_workers.unlisted.contains(instance.worker))
            list.instances.back().worker.clear();
    }
    m_workers.m_clock.after(halfTrip * 2, [answer, list] { answer(list); });
}

void FleetClient::send(const std::function<FleetOutcome()>& act, std::function<void(FleetOutcome)> done)
{
    const std::function<void(FleetOutcome)> answer = m_process.deliver<FleetOutcome>(std::move(done));
    std::uniform_real_distribution<double> share(0, 1);
    SimClock& clock = m_workers.m_clock;
    if (share(m_workers.m_random) < m_workers.fleetTrouble.dropped) {
        ++m_workers.m_dropped;
        clock.after(callTime, [answer] { answer(FleetOutcome::Unknown); });
        return;
    }
    const bool lost = share(m_workers.m_random) < m_workers.fleetTrouble.lostAnswers;
    clock.after(halfTrip, [this, act, answer, lost] {
        const FleetOutcome outcome = act();
        if (lost)
            m_workers.m_clock.after(callTime, [answer] { answer(FleetOutcome::Unknown); });
        else
            m_workers.m_clock.after(halfTrip, [answer, outcome] { answer(outcome); });
    });
}

void FleetClient::move(const std::string& instance, const std::string& pool, const FleetHolder& holder, std::function<void(FleetOutcome)> done)
{
    const auto act = [this, instance, pool, holder] { return m_workers.take(instance, holder, pool, FleetState::Moving, m_workers.moveTime); };
    send(act, std::move(done));
}

void FleetClient::maintain(const std::string& instance, std::uint64_t wave, const FleetHolder& holder, std::function<void(FleetOutcome)> done)
{
    const auto act = [this, instance, wave, holder] {
        std::set<std::string>& maintained = m_workers.m_maintained[wave];
        if (maintained.contains(instance))
            return FleetOutcome::Done;
        const FleetOutcome outcome = m_workers.take(instance, holder, m_workers.m_instances[instance].pool, FleetState::InMaintenance, m_workers.maintenanceTime);
        if (outcome != FleetOutcome::Done)
            return outcome;
        maintained.insert(instance);
        if (m_workers.witness)
            m_workers.witness->onMaintenance(instance, wave, m_workers.maintenanceTime);
        return outcome;
    };
    send(act, std::move(done));
}

void FleetClient::advise(const std::string&, std::uint32_t, std::uint32_t, const std::vector<std::string>& workers, std::function<void(Advice)> done)
{
    const std::function<void(Advice)> answer = m_process.deliver<Advice>(std::move(done));
    Advice advice { .answered = true, .workers = {}, .validity = Millis(3'000) };
    for (const std::string& worker : workers)
        advice.workers.push_back({ worker, "ticket" });
    m_workers.m_clock.after(Millis(10), [answer, advice] { answer(advice); });
}

} // namespace lanemoor::model
