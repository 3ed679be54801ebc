#include "fault_runner.h"

#include "soak_session.h"

#include <csignal>
#include <ostream>
#include <utility>

namespace lanemoor::soak {

namespace {

using nlohmann::json;

constexpr Millis burstLeadTime { 2 }; // Shorter than the store's response time, so that the burst is still in flight at SIGTERM.
constexpr Millis stopPollInterval { 20 };
constexpr Millis stopLimit { 12'000 }; // Twice the grace period in the settings.
constexpr Millis slowAnswer { 240 }; // 60 times the 4 ms of the store model; the default of the stand-in is 2 ms.
constexpr double lostShare = 0.35;
constexpr Millis hallDelay { 40 };
constexpr Millis slowWorker { 400 };

} // namespace

FaultRunner::FaultRunner(aio::AsioEventLoop& loop, SoakCluster& cluster, GuaranteeMonitor& guarantees, std::function<unsigned()> owner, std::function<void(unsigned)> beforeStop, std::ostream& record)
    : m_loop(loop)
    , m_cluster(cluster)
    , m_guarantees(guarantees)
    , m_owner(std::move(owner))
    , m_beforeStop(std::move(beforeStop))
    , m_record(record)
{
}

void FaultRunner::run(const std::vector<PlannedFault>& plan)
{
    for (const PlannedFault& fault : plan)
        after(fault.at, [this, fault] { begin(fault); });
}

bool FaultRunner::isOver() const
{
    return m_pending == 0 && m_disturbed.empty();
}

void FaultRunner::after(Millis time, std::function<void()> callback)
{
    ++m_pending;
    m_loop.callAt(m_loop.now() + time, [this, callback = std::move(callback)] {
        --m_pending;
        callback();
    });
}

void FaultRunner::begin(const PlannedFault& fault)
{
    ++m_faults;
    switch (fault.kind) {
    case FaultKind::PauseProcess:
    case FaultKind::KillProcess:
    case FaultKind::StopProcess:
        beginOnProcess(fault);
        return;
    case FaultKind::RefuseStore:
    case FaultKind::HangStore:
    case FaultKind::SlowStore:
    case FaultKind::LoseStoreAnswers:
    case FaultKind::DelayStoreWrites:
        beginOnStore(fault);
        return;
    case FaultKind::CutProcessFromStore:
    case FaultKind::ResetProcessFromStore:
    case FaultKind::StallProcessFromStore:
    case FaultKind::CutHallForward:
    case FaultKind::CutHallBackward:
    case FaultKind::CutGroups:
    case FaultKind::DelayHall:
        beginOnPath(fault);
        return;
    case FaultKind::KillWorker:
    case FaultKind::RestartWorker:
    case FaultKind::HangWorker:
    case FaultKind::SlowWorker:
        beginOnWorker(fault);
        return;
    case FaultKind::ChangeConfiguration:
        logFault(nameOf(fault.kind), { { "version", m_cluster.configurationVersion() + 1 } });
        m_cluster.configure();
        return;
    case FaultKind::EvacuateHall:
        evacuate(fault);
        return;
    case FaultKind::RefuseStarts:
        refuseStarts(fault);
        return;
    case FaultKind::HangAdvisor:
        hangAdvisor(fault);
        return;
    }
}

unsigned FaultRunner::processOf(const PlannedFault& fault) const
{
    const auto processes = static_cast<unsigned>(m_cluster.entries().size());
    const unsigned owner = fault.onOwner ? m_owner() : processes;
    return owner < processes ? owner : fault.target % processes;
}

void FaultRunner::beginOnProcess(const PlannedFault& fault)
{
    const unsigned process = processOf(fault);
    // At least one process stays undisturbed.
    if (m_disturbed.contains(process) || m_disturbed.size() + 1 >= m_cluster.entries().size())
        return;
    logFault(nameOf(fault.kind), { { "process", m_cluster.entries()[process].name }, { "ms", fault.duration.count() } });
    m_disturbed.insert(process);
    m_guarantees.noteFaults(unixNow() + fault.duration.count());
    if (fault.kind == FaultKind::PauseProcess)
        pause(process, fault.duration);
    else if (fault.kind == FaultKind::KillProcess)
        kill(process, fault.duration);
    else
        stop(process, fault.duration);
}

void FaultRunner::pause(unsigned process, Millis time)
{
    m_cluster.entries()[process].process->signal(SIGSTOP);
    after(time, [this, process] {
        m_cluster.entries()[process].process->signal(SIGCONT);
        m_disturbed.erase(process);
    });
}

void FaultRunner::kill(unsigned process, Millis time)
{
    SoakCluster::Entry& entry = m_cluster.entries()[process];
    entry.isKilled = true;
    entry.isReady = false;
    entry.process.reset();
    after(time, [this, process] { restart(process); });
}

void FaultRunner::stop(unsigned process, Millis time)
{
    m_beforeStop(process);
    after(burstLeadTime, [this, process, time] {
        SoakCluster::Entry& entry = m_cluster.entries()[process];
        entry.isStopping = true;
        entry.process->signal(SIGTERM);
        awaitStop(process, m_loop.now() + time, m_loop.now() + stopLimit);
    });
}

void FaultRunner::awaitStop(unsigned process, jobs::MonotonicInstant restartAt, jobs::MonotonicInstant limit)
{
    SoakCluster::Entry& entry = m_cluster.entries()[process];
    const jobs::MonotonicInstant now = m_loop.now();
    const bool hasEnded = entry.process->exitCode().has_value();
    if (hasEnded && now >= restartAt) {
        restart(process);
        return;
    }
    if (!hasEnded && now >= limit) {
        m_guarantees.noteStopTooLong(entry.name, unixNow());
        kill(process, Millis(0));
        return;
    }
    after(stopPollInterval, [this, process, restartAt, limit] { awaitStop(process, restartAt, limit); });
}

void FaultRunner::restart(unsigned process)
{
    m_guarantees.noteFaults(unixNow());
    m_cluster.startEntry(process);
    m_disturbed.erase(process);
}

void FaultRunner::beginOnStore(const PlannedFault& fault)
{
    json faults = json::object();
    if (fault.kind == FaultKind::RefuseStore)
        faults["refusing"] = true;
    else if (fault.kind == FaultKind::HangStore)
        faults["silent"] = true;
    else if (fault.kind == FaultKind::SlowStore)
        faults["answer_ms"] = slowAnswer.count();
    else if (fault.kind == FaultKind::LoseStoreAnswers)
        faults["lost_answers"] = lostShare;
    else
        faults["late_writes"] = lostShare;
    logFault(nameOf(fault.kind), { { "ms", fault.duration.count() } });
    m_guarantees.noteFaults(unixNow() + fault.duration.count());
    m_cluster.control("/store-faults", faults);
    after(fault.duration, [this] { m_cluster.control("/store-faults", json::object()); });
}

void FaultRunner::beginOnPath(const PlannedFault& fault)
{
    const unsigned process = processOf(fault);
    SoakCluster::Entry& entry = m_cluster.entries()[process];
    const unsigned hall = fault.hall % m_cluster.options().halls;
    logFault(nameOf(fault.kind), { { "process", entry.name }, { "hall", hallName(hall) }, { "ms", fault.duration.count() } });
    m_guarantees.noteFaults(unixNow() + fault.duration.count());
    const std::shared_ptr<Path>& toHall = entry.toHalls[hall];
    switch (fault.kind) {
    case FaultKind::CutProcessFromStore:
        cut(entry.toStore, { .cutForward = true, .cutBackward = true }, fault.duration);
        return;
    case FaultKind::ResetProcessFromStore:
        entry.toStore->reset();
        cut(entry.toStore, { .refusing = true }, fault.duration);
        return;
    case FaultKind::StallProcessFromStore:
        entry.toStore->stall();
        return;
    case FaultKind::CutHallForward:
        cut(toHall, { .cutForward = true }, fault.duration);
        return;
    case FaultKind::CutHallBackward:
        cut(toHall, { .cutBackward = true }, fault.duration);
        return;
    case FaultKind::DelayHall:
        cut(toHall, { .delay = hallDelay }, fault.duration);
        return;
    default:
        break;
    }
    // The group has every second process, including this one.
    for (std::size_t other = process % 2; other < m_cluster.entries().size(); other += 2)
        cut(m_cluster.entries()[other].toHalls[hall], { .cutForward = true, .cutBackward = true }, fault.duration);
}

void FaultRunner::cut(const std::shared_ptr<Path>& path, const PathFaults& faults, Millis time)
{
    path->faults = faults;
    after(time, [path] { path->faults = {}; });
}

void FaultRunner::beginOnWorker(const PlannedFault& fault)
{
    const std::string instance = m_cluster.instance(fault.target);
    logFault(nameOf(fault.kind), { { "instance", instance }, { "ms", fault.duration.count() } });
    if (fault.kind == FaultKind::KillWorker || fault.kind == FaultKind::RestartWorker) {
        m_cluster.control("/kill", { { "instance", instance }, { "back_ms", fault.duration.count() }, { "keeps_id", fault.kind == FaultKind::RestartWorker } });
        return;
    }
    const bool isUnresponsive = fault.kind == FaultKind::HangWorker;
    m_cluster.control("/worker-faults", { { "instance", instance }, { "mute", isUnresponsive }, { "answer_ms", isUnresponsive ? 0 : slowWorker.count() } });
    after(fault.duration, [this, instance] { m_cluster.control("/worker-faults", { { "instance", instance } }); });
}

void FaultRunner::refuseStarts(const PlannedFault& fault)
{
    logFault(nameOf(fault.kind), { { "ms", fault.duration.count() } });
    m_cluster.control("/refuse-starts", { { "on", true } });
    after(fault.duration, [this] { m_cluster.control("/refuse-starts", { { "on", false } }); });
}

void FaultRunner::hangAdvisor(const PlannedFault& fault)
{
    logFault(nameOf(fault.kind), { { "ms", fault.duration.count() } });
    m_cluster.control("/advisor-faults", { { "silent", true } });
    after(fault.duration, [this] { m_cluster.control("/advisor-faults", { { "silent", false } }); });
}

void FaultRunner::evacuate(const PlannedFault& fault)
{
    const std::string hall = hallName(fault.hall % m_cluster.options().halls);
    logFault(nameOf(fault.kind), { { "hall", hall }, { "ms", fault.duration.count() } });
    const std::string key = names::evacuationPrefix + hall;
    m_cluster.control("/put", { { "key", key }, { "value", "{}" } }, [this, hall](std::int64_t at) { m_guarantees.noteEvacuation(hall, at); });
    after(fault.duration, [this, hall, key] {
        m_guarantees.noteEvacuationOver(hall);
        m_cluster.control("/remove", { { "key", key } });
    });
}

void FaultRunner::logFault(std::string_view fault, const json& fields)
{
    json line { { "at", unixNow() }, { "event", "fault" }, { "kind", fault } };
    line.update(fields);
    m_record << line.dump() << std::endl;
}

} // namespace lanemoor::soak
