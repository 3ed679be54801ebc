#include "job_cluster.h"

#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/owner/ownership_manager.h"

#include <algorithm>
#include <cstdlib>

namespace lanemoor::model {

namespace {

using namespace jobs;

constexpr Millis cancelBound { 3'000 }; // From a job's cancel to the last start of its tasks.
constexpr Millis countBound { 5'000 }; // From the acceptance of a job until counts must cover it: 3 s, and a count may be 2 s old.
constexpr Millis evacuationBound { 5'000 }; // From an evacuation request to the last start in the data hall.
constexpr Millis readyDelay { 500 }; // From the start of a long-running task until the task is ready.
constexpr Millis absenceThreshold { 4'500 }; // Time without a worker after which a task counts against the disruption budget, whatever the cause.
constexpr Millis minHolderInterval { 3'000 }; // Between actions of two holders on one instance.
constexpr Millis previousQuotaTime { 3'000 }; // Time for which the previous quota still applies after a change.
constexpr double quotaSlack = 0.1; // Permitted excess as a share of a quota, beside one task: a new owner may not know all attempts of previous owners yet.
constexpr std::uint32_t minCrashesToFail = 2; // Worker crashes under a task from which the task may fail permanently.
constexpr std::uint32_t crashesToCountStarts = 3; // Worker crashes caused by a task, after which its further starts are counted.
constexpr std::uint32_t excessStartLimit = 3; // Counted starts from which the guarantee is violated.
constexpr Millis reconnectTime { 3'000 }; // Time without faults after which entries count as connected.
constexpr Millis previousLimitTime { 5'000 }; // From a new limit of attempts until it is in force.
constexpr Millis resendInterval { 500 }; // Between a caller's retries.

std::string nameOf(const std::string& job, const TaskId& task)
{
    return job + '/' + std::to_string(task.occurrence) + '/' + std::to_string(task.step) + '/' + std::to_string(task.index);
}

template <typename Item>
std::optional<Item> lookUp(const std::map<std::string, Item>& items, std::string_view text)
{
    const auto found = items.find(std::string(text));
    return found == items.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

std::optional<ServiceConfiguration> ModelDocuments::readConfiguration(std::string_view text) const
{
    return lookUp(configurations, text);
}

std::optional<WorkerEntry> ModelDocuments::readWorker(const std::string&, std::string_view text, WorkerEntryFault* fault) const
{
    std::optional<WorkerEntry> worker = lookUp(workers, text);
    if (fault)
        *fault = worker ? WorkerEntryFault::None : WorkerEntryFault::Unreadable;
    return worker;
}

std::optional<WaveRequest> ModelDocuments::readWave(std::string_view text) const
{
    return lookUp(waves, text);
}

void GuaranteeChecker::reportBreach(const std::string& rule, const std::string& detail)
{
    const auto passed = std::chrono::duration_cast<Millis>(m_clock.now().time_since_epoch()) - Millis(1'000'000);
    m_breaches.push_back({ rule, "at " + std::to_string(passed.count()) + " ms: " + detail });
    if (onBreach)
        onBreach(m_breaches.back());
}

void GuaranteeChecker::noteSubmitted(const std::string& id, const JobSpec& spec, std::uint32_t maxAttempts, const std::string& queue)
{
    Job& job = m_jobs[id];
    if (job.spec.steps.empty())
        job.submittedAt = m_clock.now();
    job.spec = spec;
    job.maxAttempts = maxAttempts;
    if (!queue.empty())
        job.queue = queue;
}

void GuaranteeChecker::noteLimit(const std::string& queue, std::uint32_t maxAttempts)
{
    std::vector<Limit>& limits = m_limits[queue];
    for (Limit& limit : limits)
        limit.until = limit.until.value_or(m_clock.now() + previousLimitTime);
    limits.push_back({ maxAttempts, std::nullopt });
}

void GuaranteeChecker::noteQueueRemoved(const std::string& queue)
{
    for (Limit& limit : m_limits[queue]) {
        if (limit.until && *limit.until > m_clock.now())
            limit.until.reset();
    }
}

std::vector<std::uint32_t> GuaranteeChecker::limitsSince(const Job& job, MonotonicInstant since) const
{
    const auto known = m_limits.find(job.queue);
    if (known == m_limits.end())
        return { job.maxAttempts };
    std::vector<std::uint32_t> limits;
    for (const Limit& limit : known->second) {
        if (!limit.until || *limit.until > since)
            limits.push_back(limit.maxAttempts);
    }
    std::sort(limits.begin(), limits.end());
    return limits;
}

void GuaranteeChecker::noteEvacuation(const std::string& dataHall, bool isRequested)
{
    if (isRequested)
        m_evacuatedSince.emplace(dataHall, m_clock.now());
    else
        m_evacuatedSince.erase(dataHall);
}

void GuaranteeChecker::noteFaults(MonotonicInstant end)
{
    m_connectedFrom = std::max(m_connectedFrom, end + reconnectTime);
}

void GuaranteeChecker::noteAccepted(const std::string& id, const std::string& queue)
{
    Job& job = m_jobs[id];
    job.queue = queue;
    if (!job.acceptedAt)
        job.acceptedAt = m_clock.now();
}

void GuaranteeChecker::noteCount(const std::string& queue, std::uint64_t pending, MonotonicInstant askedAt)
{
    if (askedAt < m_connectedFrom)
        return;
    const auto isWaiting = [&](const auto& entry) {
        const Job& job = entry.second;
        return job.queue == queue && job.acceptedAt && askedAt - *job.acceptedAt > countBound && !job.hasBegun && !job.cancelSent;
    };
    const auto waiting = static_cast<std::uint64_t>(std::count_if(m_jobs.begin(), m_jobs.end(), isWaiting));
    if (2 * pending < waiting)
        reportBreach("MIXED", queue + " has " + std::to_string(waiting) + " waiting jobs, the count is " + std::to_string(pending));
}

void GuaranteeChecker::noteCancelSent(const std::string& id)
{
    m_jobs[id].cancelSent = true;
}

void GuaranteeChecker::noteCancelled(const std::string& id)
{
    m_jobs[id].cancelledAt = m_clock.now();
}

const JobSpec* GuaranteeChecker::job(const std::string& id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second.spec;
}

bool GuaranteeChecker::hasSucceeded(const std::string& id) const
{
    const JobSpec& spec = m_jobs.at(id).spec;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < spec.steps[step].count; ++index) {
            if (!m_succeeded.contains({ id, { 0, step, index } }))
                return false;
        }
    }
    return true;
}

std::string GuaranteeChecker::workerOf(const std::string& id, const TaskId& task) const
{
    const auto found = m_running.find({ id, task });
    return found == m_running.end() || found->second.empty() ? std::string() : *found->second.begin();
}

void GuaranteeChecker::onStart(const std::string& worker, const StartCommand& command, bool late)
{
    ++m_starts;
    const Attempt& attempt = command.attempt;
    const Task task { attempt.job, attempt.task };
    const auto found = m_jobs.find(attempt.job);
    if (found == m_jobs.end()) {
        reportBreach("UNASKED", "no caller submitted " + attempt.job);
        return;
    }
    Job& job = found->second;
    job.hasBegun = true;
    const StepSpec& step = job.spec.steps[attempt.task.step];
    if (!m_running[task].empty())
        reportBreach("TWICE", nameOf(attempt.job, attempt.task) + " runs on " + *m_running[task].begin() + " and starts on " + worker);
    if (m_storedSuccess.contains(task))
        reportBreach("TWICE", nameOf(attempt.job, attempt.task) + " starts after its success was stored");
    else if (m_succeeded.contains(task) && !step.speculative)
        m_startsAfterSuccess.emplace(task, attempt.number);
    for (const std::uint32_t dependency : step.dependsOn) {
        for (std::uint32_t index = 0; index < job.spec.steps[dependency].count; ++index) {
            if (!m_succeeded.contains({ attempt.job, { attempt.task.occurrence, dependency, index } }))
                reportBreach("ORDER", nameOf(attempt.job, attempt.task) + " starts before its dependencies");
        }
    }
    // Entries that are not connected may not know a newer limit.
    const std::uint32_t maxAttempts = limitsSince(job, m_clock.now() >= m_connectedFrom ? m_clock.now() : job.submittedAt).back();
    if (!step.longRunning && m_storedFailures[task].size() >= maxAttempts)
        reportBreach("BUDGET", nameOf(attempt.job, attempt.task) + " starts after its last attempt");
    if (!late && m_clock.now() >= m_connectedFrom && workersCrashedBy(attempt.job, attempt.task) >= crashesToCountStarts && ++m_excessStarts[task] >= excessStartLimit)
        reportBreach("BUDGET", nameOf(attempt.job, attempt.task) + " starts repeatedly after it has crashed three workers");
    if (!late && job.cancelledAt && m_clock.now() - *job.cancelledAt > cancelBound)
        reportBreach("UNASKED", nameOf(attempt.job, attempt.task) + " starts though its job was cancelled");
    if (labelsOf && !step.requiredLabel.empty()) {
        const std::vector<std::string> labels = labelsOf(worker);
        if (std::find(labels.begin(), labels.end(), step.requiredLabel) == labels.end())
            reportBreach("ROUTE", nameOf(attempt.job, attempt.task) + " starts on " + worker + " without its label");
    }
    const auto evacuation = hallOf ? m_evacuatedSince.find(hallOf(worker)) : m_evacuatedSince.end();
    if (!late && evacuation != m_evacuatedSince.end() && m_clock.now() - evacuation->second > evacuationBound && m_clock.now() >= m_connectedFrom)
        reportBreach("EVAC", nameOf(attempt.job, attempt.task) + " starts on " + worker + " in a data hall that is being evacuated");
    if (step.gang)
        checkGangCheckpoint(command);
    m_running[task].insert(worker);
    checkQuota(attempt, step);
    m_absentSince.erase(task);
    if (m_takenDownUntil.contains(task))
        m_takenDownUntil[task] = m_clock.now() + readyDelay;
}

/// The members of one run of a gang must bring the same checkpoint.
void GuaranteeChecker::checkGangCheckpoint(const StartCommand& command)
{
    Attempt first = command.attempt;
    first.task.index = 0;
    const auto [known, isFirst] = m_gangCheckpoints.emplace(first, command.checkpoint);
    if (!isFirst && known->second != command.checkpoint)
        reportBreach("GANG", nameOf(command.attempt.job, command.attempt.task) + " brings checkpoint '" + command.checkpoint + "', another member '" + known->second + "'");
}

void GuaranteeChecker::noteQuota(const std::string& organisation, const Resources& quota)
{
    std::vector<Quota>& quotas = m_quotas[organisation];
    if (!quotas.empty())
        quotas.back().until = m_clock.now() + previousQuotaTime;
    quotas.push_back({ quota, std::nullopt });
}

void GuaranteeChecker::checkQuota(const Attempt& attempt, const StepSpec& step)
{
    const auto organisation = m_organisations.find(attempt.job);
    const auto quotas = organisation == m_organisations.end() ? m_quotas.end() : m_quotas.find(organisation->second);
    if (quotas == m_quotas.end())
        return;
    std::int64_t limit = 0;
    for (const Quota& quota : quotas->second)
        limit = std::max(limit, !quota.until || *quota.until > m_clock.now() ? quota.limit.milliCpu : 0);
    std::int64_t used = 0;
    for (const auto& [task, workers] : m_running) {
        const auto owner = m_organisations.find(task.first);
        if (owner != m_organisations.end() && owner->second == organisation->second)
            used += m_jobs.at(task.first).spec.steps[task.second.step].needs.milliCpu * static_cast<std::int64_t>(workers.size());
    }
    const auto allowed = static_cast<std::int64_t>(static_cast<double>(limit) * (1 + quotaSlack)) + step.needs.milliCpu;
    if (used > allowed)
        reportBreach("QUOTA", organisation->second + " has " + std::to_string(used) + " milli-cores running, its quota is " + std::to_string(limit) + " milli-cores");
}

void GuaranteeChecker::removeRunning(const std::string& worker, const Attempt& attempt)
{
    std::set<std::string>& running = m_running[{ attempt.job, attempt.task }];
    running.erase(worker);
    if (running.empty())
        m_absentSince[{ attempt.job, attempt.task }] = m_clock.now();
}

void GuaranteeChecker::checkBudget(const Attempt& attempt)
{
    const auto found = m_jobs.find(attempt.job);
    if (found == m_jobs.end() || found->second.cancelSent)
        return;
    const StepSpec& step = found->second.spec.steps[attempt.task.step];
    if (step.disruptionBudget == 0)
        return;
    std::uint32_t absent = 0;
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const Task other { attempt.job, { attempt.task.occurrence, attempt.task.step, index } };
        const auto takenDown = m_takenDownUntil.find(other);
        const auto absentSince = m_absentSince.find(other);
        const bool isAbsent = absentSince != m_absentSince.end() && m_clock.now() - absentSince->second >= absenceThreshold;
        const bool isTakenDown = takenDown != m_takenDownUntil.end() && takenDown->second > m_clock.now();
        if (index != attempt.task.index && (isAbsent || isTakenDown))
            ++absent;
    }
    if (absent >= step.disruptionBudget)
        reportBreach("AVAIL", nameOf(attempt.job, attempt.task) + " is taken down while " + std::to_string(absent) + " others are away");
}

void GuaranteeChecker::noteDeparture(const Attempt& attempt, const Departure& departure)
{
    const auto takenDown = m_takenDownUntil.find({ attempt.job, attempt.task });
    if (!departure.byCommand) {
        // The task has been ready again since the command, so that the command does not account for this end.
        if (takenDown != m_takenDownUntil.end() && takenDown->second <= m_clock.now())
            m_takenDownUntil.erase(takenDown);
        return;
    }
    if (departure.wasReady)
        checkBudget(attempt);
    m_takenDownUntil[{ attempt.job, attempt.task }] = MonotonicInstant::max();
}

/// The success of one gang member counts for all members.
void GuaranteeChecker::noteSuccess(const Attempt& attempt)
{
    m_succeeded.insert({ attempt.job, attempt.task });
    const JobSpec* spec = job(attempt.job);
    if (!spec || !spec->steps[attempt.task.step].gang)
        return;
    for (std::uint32_t index = 0; index < spec->steps[attempt.task.step].count; ++index)
        m_succeeded.insert({ attempt.job, { attempt.task.occurrence, attempt.task.step, index } });
}

void GuaranteeChecker::noteFailure(const Attempt& attempt)
{
    const JobSpec* spec = job(attempt.job);
    if (!spec || spec->steps[attempt.task.step].longRunning)
        return;
    const std::uint32_t index = spec->steps[attempt.task.step].gang ? 0 : attempt.task.index;
    m_failures[{ attempt.job, { attempt.task.occurrence, attempt.task.step, index } }].insert(attempt.number);
}

void GuaranteeChecker::onEnd(const std::string& worker, const Attempt& attempt, AttemptEnd end, const Departure& departure)
{
    removeRunning(worker, attempt);
    if (end == AttemptEnd::Succeeded)
        noteSuccess(attempt);
    if (end == AttemptEnd::Failed)
        noteFailure(attempt);
    noteDeparture(attempt, departure);
}

void GuaranteeChecker::onWorkerFailed(const std::string& worker, const Attempt& attempt, const Departure& departure)
{
    removeRunning(worker, attempt);
    noteDeparture(attempt, departure);
    if (!departure.byCommand)
        ++m_crashesUnder[{ attempt.job, attempt.task }];
}

void GuaranteeChecker::onFleetAction(const std::string& instance, const FleetHolder& holder)
{
    const auto last = m_lastAction.find(instance);
    if (last != m_lastAction.end()) {
        const auto& [epoch, at] = last->second;
        if (holder.epoch < epoch)
            reportBreach("ONE", instance + " accepts a call of an older holder");
        else if (holder.epoch > epoch && m_clock.now() - at < minHolderInterval)
            reportBreach("ONE", instance + " accepts calls of two holders within the minimum interval");
    }
    m_lastAction[instance] = { holder.epoch, m_clock.now() };
}

void GuaranteeChecker::noteWave(const WaveRequest& wave)
{
    m_maxConcurrent[wave.number] = wave.maxConcurrent;
}

void GuaranteeChecker::onMaintenance(const std::string& instance, std::uint64_t wave, Millis time)
{
    std::vector<MonotonicInstant>& backAt = m_backAt[wave];
    std::erase_if(backAt, [this](MonotonicInstant back) { return back <= m_clock.now(); });
    if (backAt.size() >= m_maxConcurrent[wave])
        reportBreach("LIMIT", instance + " is taken down beside " + std::to_string(backAt.size()) + " others of wave " + std::to_string(wave));
    backAt.push_back(m_clock.now() + time);
}

void GuaranteeChecker::onStored(const std::string&, const EndedAttempt& ended)
{
    const Task task { ended.attempt.job, ended.attempt.task };
    if (ended.end == AttemptEnd::Succeeded) {
        m_storedSuccess.insert(task);
        // A success counts only once it is stored: its worker may lose it before, and the task has to run again.
        const auto again = m_startsAfterSuccess.find(task);
        if (again != m_startsAfterSuccess.end() && ended.attempt.number < again->second)
            reportBreach("TWICE", nameOf(ended.attempt.job, ended.attempt.task) + " started again although attempt " + std::to_string(ended.attempt.number) + " had succeeded");
    }
    if (ended.end == AttemptEnd::Failed)
        m_storedFailures[task].insert(ended.attempt.number);
}

void GuaranteeChecker::onWorkerCrashed(const std::string&, const Attempt& attempt)
{
    ++m_crashesCaused[{ attempt.job, attempt.task }];
}

std::uint32_t GuaranteeChecker::workersCrashedBy(const std::string& id, const TaskId& task) const
{
    const auto found = m_crashesCaused.find({ id, task });
    return found == m_crashesCaused.end() ? 0 : found->second;
}

bool GuaranteeChecker::mayHaveFailed(const std::string& id) const
{
    const Job& job = m_jobs.at(id);
    const auto isOfJob = [&](const auto& entry) { return entry.first.first == id; };
    return std::any_of(m_failures.begin(), m_failures.end(), [&](const auto& entry) { return isOfJob(entry) && entry.second.size() >= limitsSince(job, job.submittedAt).front(); })
        || std::any_of(m_crashesUnder.begin(), m_crashesUnder.end(), [&](const auto& entry) { return isOfJob(entry) && entry.second >= minCrashesToFail; });
}

void GuaranteeChecker::noteMisuse(const std::string& detail)
{
    reportBreach("PROTOCOL", detail);
}

void GuaranteeChecker::onOverload(const std::string& worker, const Attempt& attempt)
{
    reportBreach("LIMIT", nameOf(attempt.job, attempt.task) + " starts on " + worker + " beyond its capacity");
}

JobCluster::JobCluster(std::uint64_t seed, std::size_t entries)
    : random(seed)
    , store(clock, random)
    , workers(clock, random)
    , peers(clock, random)
    , checker(clock)
    , m_log({ .discard = std::getenv("LANEMOOR_MODEL_LOG") == nullptr, .queueLines = 1'000'000, .decisionsPerSecond = 1'000'000 })
    , m_entries(entries)
{
    workers.checker = &checker;
    workers.advisor.onMisuse = [this](const std::string& detail) { checker.noteMisuse(detail); };
    workers.cuts = &peers.cuts;
    checker.onBreach = [this](const Breach& breach) { m_log.change("breach", { { "rule", breach.rule }, { "detail", breach.detail } }); };
    checker.labelsOf = [this](const std::string& worker) {
        const WorkerModel* model = workers.find(worker);
        return model ? model->entry.labels : std::vector<std::string> {};
    };
    checker.hallOf = [this](const std::string& worker) {
        const WorkerModel* model = workers.find(worker);
        return model ? model->entry.dataHall : std::string();
    };
    workers.runTimes = [](const Attempt&) { return Millis(500); };
    workers.stepOf = [this](const Attempt& attempt) {
        const JobSpec* job = checker.job(attempt.job);
        return job ? job->steps[attempt.task.step] : StepSpec {};
    };
    workers.onEntry = [this](const WorkerModel& worker) {
        documents.workers[worker.entry.id] = worker.entry;
        store.put(documents.workerPrefix() + worker.entry.id, worker.entry.id);
    };
    workers.onGone = [this](const std::string& worker) { store.remove(documents.workerPrefix() + worker); };
    for (std::size_t i = 0; i < entries; ++i)
        m_entries[i].name = "entry-" + std::to_string(i);
}

JobCluster::~JobCluster()
{
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        kill(i);
}

void JobCluster::start(std::size_t index)
{
    Entry& entry = m_entries[index];
    if (entry.service)
        return;
    entry.process = std::make_unique<SimProcess>(clock);
    entry.storeClient = std::make_unique<StoreClient>(store, *entry.process);
    entry.workerClient = std::make_unique<WorkerClient>(workers, *entry.process);
    entry.workerClient->dataHall = entry.dataHall;
    if (!entry.dataHall.empty())
        peers.place(entry.name, entry.dataHall);
    entry.fleetClient = std::make_unique<FleetClient>(workers, *entry.process);
    entry.port = std::make_unique<PeerPort>(peers, *entry.process, entry.name);
    JobServiceSettings settings;
    settings.policies = m_policies;
    settings.policies.relay.workersPerCore = m_workersPerCore;
    settings.machineCores = entry.cores;
    settings.dataHall = entry.dataHall;
    settings.name = entry.name;
    settings.evacuationTime = m_evacuationTime;
    entry.holder = holderOf(entry.name, entry.process->timeOfDay());
    entry.service = std::make_unique<JobService>(JobServiceParts { .loop = entry.process.get(),
                                                     .store = entry.storeClient.get(),
                                                     .workers = entry.workerClient.get(),
                                                     .peers = entry.port.get(),
                                                     .peerAddress = entry.name,
                                                     .fleet = entry.fleetClient.get(),
                                                     .advisor = entry.fleetClient.get(),
                                                     .documents = &documents,
                                                     .log = &m_log },
        settings);
    entry.service->start();
}

void JobCluster::kill(std::size_t index, bool silently)
{
    Entry& entry = m_entries[index];
    if (!entry.service)
        return;
    entry.port->close(silently);
    entry.process->kill();
    m_killed.push_back({ std::move(entry.process), std::move(entry.storeClient), std::move(entry.workerClient), std::move(entry.fleetClient), std::move(entry.port), std::move(entry.service) });
}

void JobCluster::freeze(std::size_t index)
{
    m_entries[index].process->freeze();
}

void JobCluster::thaw(std::size_t index)
{
    if (m_entries[index].process)
        m_entries[index].process->thaw();
}

void JobCluster::cutFromStore(std::size_t index, bool cut)
{
    if (m_entries[index].storeClient)
        m_entries[index].storeClient->partitioned = cut;
}

void JobCluster::cutWatches(std::size_t index, bool cut)
{
    if (m_entries[index].storeClient)
        m_entries[index].storeClient->watchesBlocked = cut;
}

void JobCluster::resetStoreCalls(std::size_t index, bool reset)
{
    if (m_entries[index].storeClient)
        m_entries[index].storeClient->resetting = reset;
}

void JobCluster::delayStoreWrites(std::size_t index, Millis delay)
{
    if (m_entries[index].storeClient)
        m_entries[index].storeClient->writeDelay = delay;
}

void JobCluster::setStoreLink(std::size_t index, std::size_t bytesPerMs)
{
    if (m_entries[index].storeClient)
        m_entries[index].storeClient->linkBytesPerMs = bytesPerMs;
}

std::optional<std::size_t> JobCluster::owner() const
{
    const StoreItem* item = store.find(std::string(ownerKeyPrefix) + "all");
    const std::optional<OwnerRecord> record = item ? decodeOwner(item->value) : std::nullopt;
    for (std::size_t i = 0; record && i < m_entries.size(); ++i) {
        if (m_entries[i].service && record->holder == m_entries[i].holder)
            return i;
    }
    return std::nullopt;
}

void JobCluster::configure(const ServiceConfiguration& configuration, std::size_t bytes)
{
    std::string text = "configuration-" + std::to_string(configuration.version);
    text.resize(std::max(text.size(), bytes), ' ');
    documents.configurations[text] = configuration;
    store.put(documents.configurationKey(), text);
}

void JobCluster::requestWave(const WaveRequest& wave)
{
    const std::string text = "wave-" + std::to_string(wave.number);
    documents.waves[text] = wave;
    checker.noteWave(wave);
    store.put(documents.wavePrefix() + std::to_string(wave.number), text);
}

void JobCluster::evacuate(const std::string& dataHall, bool isRequested)
{
    checker.noteEvacuation(dataHall, isRequested);
    const std::string key = documents.evacuationPrefix() + dataHall;
    if (isRequested)
        store.put(key, "{}");
    else
        store.remove(key);
}

void JobCluster::submit(std::size_t index, const std::string& queue, const std::string& id, const JobSpec& spec, const std::string& organisation)
{
    const auto retry = [this, queue, id, spec, organisation] {
        clock.after(resendInterval, [this, queue, id, spec, organisation] {
            std::uniform_int_distribution<std::size_t> any(0, m_entries.size() - 1);
            submit(any(random), queue, id, spec, organisation);
        });
    };
    if (!m_entries[index].service || !m_entries[index].service->takesRequests()) {
        retry();
        return;
    }
    const QueueSettings* settings = m_entries[index].service->configuration()->queue(queue);
    checker.noteSubmitted(id, spec, settings ? settings->maxAttempts : 1, queue);
    if (!organisation.empty())
        checker.noteOrganisation(id, organisation);
    const Caller caller { .queue = queue, .organisation = organisation, .isOpen = organisation.empty() };
    m_entries[index].service->submit(caller, id, spec, [this, id, queue, retry](AcceptOutcome outcome) {
        if (outcome != AcceptOutcome::Accepted) {
            retry();
            return;
        }
        m_accepted.insert(id);
        checker.noteAccepted(id, queue);
    });
}

void JobCluster::cancel(std::size_t index, const std::string& id)
{
    checker.noteCancelSent(id);
    m_entries[index].service->cancel(id, [this, id](LookupOutcome outcome) {
        // Callers take both answers for the acknowledgement.
        if (outcome == LookupOutcome::Done || outcome == LookupOutcome::NoSuchJob)
            checker.noteCancelled(id);
    });
}

std::optional<JobStatus> JobCluster::status(std::size_t index, const std::string& id)
{
    constexpr Millis answerTimeout { 2'000 };
    const auto answer = std::make_shared<std::optional<JobStatus>>();
    m_entries[index].service->status(id, [answer](LookupOutcome outcome, JobStatus status) {
        if (outcome == LookupOutcome::Done)
            *answer = status;
    });
    waitFor(answerTimeout, [answer] { return answer->has_value(); });
    return *answer;
}

std::optional<std::uint64_t> JobCluster::pending(std::size_t index, const std::string& queue)
{
    constexpr Millis answerTimeout { 2'000 };
    const auto answer = std::make_shared<std::optional<std::optional<std::uint64_t>>>();
    m_entries[index].service->pending(queue, [answer](std::optional<std::uint64_t> count) { *answer = count; });
    waitFor(answerTimeout, [answer] { return answer->has_value(); });
    return answer->value_or(std::nullopt);
}

void JobCluster::checkPending(std::size_t index, const std::string& queue)
{
    m_entries[index].service->pending(queue, [this, queue, askedAt = clock.now()](std::optional<std::uint64_t> count) {
        if (count)
            checker.noteCount(queue, *count, askedAt);
    });
}

bool JobCluster::waitFor(Millis time, const std::function<bool()>& condition)
{
    constexpr Millis step { 10 };
    const MonotonicInstant until = clock.now() + time;
    while (!condition()) {
        if (clock.now() >= until)
            return false;
        clock.runFor(step);
    }
    return true;
}

} // namespace lanemoor::model
