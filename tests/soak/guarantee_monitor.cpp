#include "guarantee_monitor.h"

#include "log_tail.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace lanemoor::soak {

namespace {

constexpr std::int64_t reconnectTime = 4'000; // ms after the end of a fault until processes count as connected again.
constexpr std::int64_t evacuationBound = 5'000; // ms from the acknowledgement of an evacuation to the last start.
constexpr std::int64_t cancelBound = 4'000; // ms from the acknowledgement of a cancel to the last start.
constexpr std::int64_t minOwnerInterval = 3'000; // ms between actions of two owners on one instance.
constexpr std::int64_t countBound = 5'000; // ms from the acceptance of a job until counts must cover it: 3 s, and a count may be 2 s old.
constexpr std::size_t maxWaitingShown = 3; // Jobs whose log lines are printed with a wrong count.
constexpr std::uint32_t minCrashesToFail = 2; // Worker crashes under a task from which its job may be reported as failed.

bool isFinal(const std::string& status)
{
    return status == "succeeded" || status == "failed" || status == "cancelled";
}

} // namespace

void GuaranteeMonitor::noteSubmitted(const SubmittedJob& job)
{
    m_jobs[job.id].spec = job;
}

void GuaranteeMonitor::noteAnswer(const std::string& id, Submission answer, std::int64_t at)
{
    Job& job = m_jobs[id];
    if (answer == Submission::Accepted && !job.accepted)
        job.acceptedAt = at;
    job.accepted |= answer == Submission::Accepted;
    job.unknown |= answer == Submission::Unknown;
}

void GuaranteeMonitor::noteStatus(const std::string& id, const std::string& status, std::int64_t at)
{
    Job& job = m_jobs[id];
    if (status.empty()) {
        if (!std::exchange(job.isReportedUnknown, true))
            reportBreach(guarantee::acceptedJobsKnown, "job " + id + " was accepted and is not known", { id }, at);
        return;
    }
    if (isFinal(job.status) && job.status != status)
        reportBreach(guarantee::statusIsTrue, "job " + id + " was " + job.status + " and is " + status, { id }, at);
    const bool isNew = job.status != status;
    job.status = status;
    if (isNew && isFinal(status))
        checkStatus(id, job, at);
}

void GuaranteeMonitor::checkStatus(const std::string& id, const Job& job, std::int64_t at)
{
    bool allSucceeded = true;
    bool hasCause = false;
    for (std::uint32_t step = 0; step < job.spec.tasks.size(); ++step) {
        for (std::uint32_t index = 0; index < job.spec.tasks[step]; ++index) {
            const Task& task = m_tasks[nameOf(id, step, index)];
            allSucceeded &= task.succeeded;
            hasCause |= task.failures >= job.spec.maxAttempts || task.crashes >= minCrashesToFail;
        }
    }
    if (job.status == "succeeded" && !allSucceeded)
        reportBreach(guarantee::statusIsTrue, "job " + id + " is shown as succeeded, but a task of it has not", { id }, at);
    if (job.status == "failed" && !hasCause)
        reportBreach(guarantee::statusIsTrue, "job " + id + " is shown as failed without a cause", { id }, at);
    if (job.status == "cancelled" && !job.cancelSent)
        reportBreach(guarantee::statusIsTrue, "job " + id + " is shown as cancelled, but nobody cancelled it", { id }, at);
}

void GuaranteeMonitor::noteCount(const std::string& entry, const std::string& queue, std::uint64_t pending, std::int64_t askedAt)
{
    if (!isConnected(askedAt))
        return;
    std::vector<std::string> waiting;
    for (const auto& [id, job] : m_jobs) {
        const bool isOld = job.accepted && askedAt - job.acceptedAt > countBound;
        if (isOld && job.spec.queue == queue && !job.hasStarted && !job.cancelSent && !isFinal(job.status))
            waiting.push_back(id);
    }
    m_countChecks += waiting.empty() ? 0 : 1;
    if (2 * pending >= waiting.size())
        return;
    const std::string detail = entry + " counts " + std::to_string(pending) + " waiting jobs of " + queue + ", " + std::to_string(waiting.size()) + " were accepted more than " + std::to_string(countBound) + " ms before and have not begun";
    waiting.resize(std::min(waiting.size(), maxWaitingShown));
    waiting.push_back(entry);
    reportBreach(guarantee::countsAreTrue, detail, waiting, askedAt);
}

void GuaranteeMonitor::noteClosedEarly(const std::string& entry, const std::string& id, std::int64_t at)
{
    reportBreach(guarantee::plannedStopsCutNothing, entry + " closed a connection before the answer on job " + id, { id, entry }, at);
}

void GuaranteeMonitor::noteEvent(const nlohmann::json& event)
{
    const std::string kind = event.value("event", "");
    if (kind == "start") {
        noteStart(event);
        return;
    }
    if (kind == "act") {
        noteAction(event);
        return;
    }
    if (!event.contains("task"))
        return;
    Task& task = m_tasks[event["task"].get<std::string>()];
    if (kind == "stored") {
        noteStored(task, event);
        return;
    }
    if (kind == "failure-stored") {
        ++task.failuresStored;
        return;
    }
    task.running.erase(event.value("worker", ""));
    task.succeeded |= kind == "done";
    task.failures += kind == "failed" ? 1 : 0;
    task.crashes += kind == "dead" ? 1 : 0;
}

/// A success counts only once it is stored: its worker may lose it before, and the task has to run again.
void GuaranteeMonitor::noteStored(Task& task, const nlohmann::json& event)
{
    task.successStored = true;
    const std::string name = event.value("task", "");
    const auto attempt = event.value("run", std::uint64_t { 0 });
    if (attempt < task.startAfterSuccess)
        reportBreach(guarantee::noneAfterSuccess, "task " + name + " started again as attempt " + std::to_string(task.startAfterSuccess) + " although attempt " + std::to_string(attempt) + " had succeeded", { parse(name).job }, timeOf(event));
}

void GuaranteeMonitor::noteStart(const nlohmann::json& event)
{
    ++m_starts;
    const std::string name = event.value("task", "");
    const std::string worker = event.value("worker", "");
    const std::int64_t at = timeOf(event);
    const TaskName parsed = parse(name);
    Task& task = m_tasks[name];
    for (const auto& [other, attempt] : task.running)
        reportBreach(guarantee::oneAttemptAtOnce, "task " + name + " runs on " + other + " as attempt " + std::to_string(attempt) + " and starts on " + worker, { parsed.job }, at);
    if (task.successStored)
        reportBreach(guarantee::noneAfterSuccess, "task " + name + " starts on " + worker + " after its success was acknowledged", { parsed.job }, at);
    else if (task.succeeded)
        task.startAfterSuccess = event.value("run", std::uint64_t { 0 });
    m_lastStart[event.value("hall", "")] = at;
    task.running[worker] = event.value("run", std::uint64_t { 0 });
    const auto found = m_jobs.find(parsed.job);
    if (found == m_jobs.end()) {
        reportBreach(guarantee::nothingUnasked, "task " + name + " starts, but nobody submitted its job", { parsed.job }, at);
        return;
    }
    found->second.hasStarted = true;
    if (task.failuresStored >= found->second.spec.maxAttempts)
        reportBreach(guarantee::attemptsAreBounded, "task " + name + " starts after " + std::to_string(task.failuresStored) + " of its attempts have failed", { parsed.job }, at);
    checkOrder(found->second, parsed, at);
    checkCancelled(found->second, name, at);
    checkEvacuation(event, at);
}

void GuaranteeMonitor::checkOrder(const Job& job, const TaskName& name, std::int64_t at)
{
    if (name.step == 0 || name.step >= job.spec.tasks.size())
        return;
    for (std::uint32_t index = 0; index < job.spec.tasks[name.step - 1]; ++index) {
        if (!m_tasks[nameOf(name.job, name.step - 1, index)].succeeded)
            reportBreach(guarantee::stepsInOrder, "step " + std::to_string(name.step) + " of job " + name.job + " starts before the one before it has succeeded", { name.job }, at);
    }
}

void GuaranteeMonitor::checkCancelled(const Job& job, const std::string& task, std::int64_t at)
{
    if (job.cancelledAt && at - *job.cancelledAt > cancelBound && isConnected(at))
        reportBreach(guarantee::nothingUnasked, "task " + task + " starts " + std::to_string(at - *job.cancelledAt) + " ms after its job was cancelled", { job.spec.id }, at);
}

void GuaranteeMonitor::checkEvacuation(const nlohmann::json& event, std::int64_t at)
{
    if (m_evacuatedSince.empty() || !isConnected(at))
        return;
    ++m_evacuationChecks;
    const auto evacuated = m_evacuatedSince.find(event.value("hall", ""));
    if (evacuated == m_evacuatedSince.end() || at - evacuated->second <= evacuationBound)
        return;
    const std::string name = event.value("task", "");
    reportBreach(guarantee::evacuatedHallsRest, "task " + name + " starts in " + evacuated->first + ' ' + std::to_string(at - evacuated->second) + " ms after its evacuation was acknowledged", { parse(name).job, evacuated->first }, at);
}

void GuaranteeMonitor::noteAction(const nlohmann::json& event)
{
    const std::string instance = event.value("instance", "");
    const std::int64_t fence = event.value("fence", std::int64_t { 0 });
    const std::int64_t at = timeOf(event);
    const auto last = m_lastAction.find(instance);
    if (last != m_lastAction.end() && last->second.first != fence && at - last->second.second < minOwnerInterval)
        reportBreach(guarantee::ownersApart, "instance " + instance + " is acted on under epochs " + std::to_string(last->second.first) + " and " + std::to_string(fence) + " within " + std::to_string(at - last->second.second) + " ms", { instance }, at);
    m_lastAction[instance] = { fence, at };
}

void GuaranteeMonitor::noteFaults(std::int64_t until)
{
    m_faultsUntil = std::max(m_faultsUntil, until);
}

void GuaranteeMonitor::noteConfiguration(const std::string& entry, std::uint64_t version, std::int64_t at)
{
    std::uint64_t& highest = m_configurations[entry];
    if (version < highest)
        reportBreach(guarantee::configurationNeverReverts, entry + " takes configuration " + std::to_string(version) + " after " + std::to_string(highest), { entry }, at);
    highest = std::max(highest, version);
}

void GuaranteeMonitor::noteStopTooLong(const std::string& entry, std::int64_t at)
{
    reportBreach(guarantee::plannedStopsEnd, entry + " was asked to stop and runs on", { entry }, at);
}

void GuaranteeMonitor::noteNotServing(const std::string& entry, const std::string& detail, std::int64_t at)
{
    reportBreach(guarantee::servesAgain, entry + ": " + detail, { entry }, at);
}

void GuaranteeMonitor::noteStillClosed(const std::string& owner, std::optional<std::int64_t> workers, std::int64_t at)
{
    const std::string detail = workers ? "keeps " + std::to_string(*workers) + " workers closed" : "has not reported the use of the fleet";
    reportBreach(guarantee::workersOpenAgain, owner + ' ' + detail, { owner }, at);
}

std::vector<std::string> GuaranteeMonitor::unfinishedJobs() const
{
    std::vector<std::string> open;
    for (const auto& [id, job] : m_jobs) {
        if (job.accepted && !isFinal(job.status))
            open.push_back(id);
    }
    return open;
}

bool GuaranteeMonitor::hasSucceeded(const std::string& id) const
{
    const auto found = m_jobs.find(id);
    return found != m_jobs.end() && found->second.status == "succeeded";
}

void GuaranteeMonitor::finish(std::int64_t at)
{
    for (const std::string& id : unfinishedJobs())
        reportBreach(guarantee::acceptedJobsEnd, "job " + id + " was accepted and is " + (m_jobs[id].status.empty() ? "without a status" : m_jobs[id].status), { id }, at);
    for (const auto& [id, job] : m_jobs) {
        if (!job.accepted && !job.unknown && job.hasStarted)
            reportBreach(guarantee::refusalsAreTrue, "job " + id + " runs though it was only refused", { id }, at);
    }
}

std::int64_t GuaranteeMonitor::lastStartIn(const std::string& dataHall) const
{
    const auto found = m_lastStart.find(dataHall);
    return found == m_lastStart.end() ? 0 : found->second;
}

std::size_t GuaranteeMonitor::accepted() const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto& job) { return job.second.accepted; }));
}

GuaranteeMonitor::TaskName GuaranteeMonitor::parse(const std::string& task)
{
    TaskName name;
    name.job = task.substr(0, task.find('.'));
    const std::size_t occurrence = task.find('.');
    const std::size_t step = occurrence == std::string::npos ? occurrence : task.find('.', occurrence + 1);
    if (step != std::string::npos)
        name.step = static_cast<std::uint32_t>(std::strtoul(task.c_str() + step + 1, nullptr, 10));
    return name;
}

std::string GuaranteeMonitor::nameOf(const std::string& job, std::uint32_t step, std::uint32_t index)
{
    return job + ".0." + std::to_string(step) + '.' + std::to_string(index);
}

bool GuaranteeMonitor::isConnected(std::int64_t at) const noexcept
{
    return at >= m_faultsUntil + reconnectTime;
}

void GuaranteeMonitor::reportBreach(const char* guarantee, std::string detail, std::vector<std::string> ids, std::int64_t at)
{
    m_breaches.push_back({ .guarantee = guarantee, .detail = std::move(detail), .ids = std::move(ids), .at = at });
}

} // namespace lanemoor::soak
