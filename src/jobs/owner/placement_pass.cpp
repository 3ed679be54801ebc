#include "placement_pass.h"

#include <algorithm>
#include <tuple>

namespace lanemoor::jobs {

namespace {

constexpr Millis waitLogPause { 1'000 }; // Minimum time between two log lines on one waiting step.
/// Maximum steps per pass whose wait is explained, which inspects each worker of the pool. The log accepts 60 lines a second;
/// with a thousand waiting steps, the others follow in the next passes.
constexpr std::uint32_t maxWaitsExplained = 16;
/// Workers probed at once per waiting suspect: the emptiest worker may just have crashed.
constexpr std::size_t livenessChecksPerSuspect = 2;

} // namespace

PlacementPass::PlacementPass(OwnerState& state, CommandDispatcher& dispatcher, AdviceClient& advice, std::function<bool()> isSettled)
    : m_state(state)
    , m_dispatcher(dispatcher)
    , m_advice(advice)
    , m_isSettled(std::move(isSettled))
{
}

std::optional<MonotonicInstant> PlacementPass::run()
{
    m_candidates.clear();
    m_sites.clear();
    m_waiting.clear();
    m_nextPassAt.reset();
    m_waitsExplained = 0;
    m_jobsInspected = 0;
    const bool settled = m_isSettled();
    m_now = m_state.now();
    m_timeOfDay = m_state.options.loop->timeOfDay();
    m_configuration = m_state.configuration();
    m_areQuotasCurrent = !m_state.options.isConfigurationCurrent || m_state.options.isConfigurationCurrent();
    m_state.organisations.startPass();
    if (!settled)
        m_state.endInheritedWaits();
    m_state.waitingJobs.moveInfeasible(m_now);
    // Most jobs only run: a pass inspects just the jobs that changed or wait.
    for (auto next = m_state.candidateJobs.begin(); next != m_state.candidateJobs.end();) {
        OwnerJob& job = *(next++)->second;
        ++m_jobsInspected;
        if (isFinal(job.state.status())) {
            m_state.candidateJobs.erase(job.state.id());
            continue;
        }
        if (job.inherited && !settled) {
            noteUnseen(job);
            continue;
        }
        openDueOccurrences(job);
        if (m_state.beginWait(job, m_now))
            continue;
        collect(job);
    }
    for (const auto& [name, group] : m_state.waitingJobs.groups())
        m_candidates[group.jobs().begin()->second.job->pool];
    for (auto& [pool, candidates] : m_candidates)
        placePool(pool, candidates);
    return m_nextPassAt;
}

void PlacementPass::placePool(const std::string& pool, std::vector<Candidate>& candidates)
{
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.order() < b.order(); });
    if (isShared(candidates)) {
        placeShared(pool, std::move(candidates));
        return;
    }
    for (const Candidate& candidate : candidates)
        place(candidate, pool);
}

bool PlacementPass::isShared(const std::vector<Candidate>& candidates) const
{
    if (!m_state.options.admission.enabled)
        return false;
    return !m_state.waitingJobs.groups().empty() || std::any_of(candidates.begin(), candidates.end(), [](const Candidate& candidate) { return candidate.job->account != nullptr; });
}

void PlacementPass::placeShared(const std::string& pool, std::vector<Candidate> candidates)
{
    FairPlacement fair(m_state, pool, m_now, roomOf(sitesOf(pool)), { .place = [&](const Candidate& candidate) { place(candidate, pool); }, .hold = [&](const Candidate& candidate) { noteWaiting(candidate, pool, candidate.tasks.size()); } });
    m_fair = &fair;
    fair.run(std::move(candidates));
    m_fair = nullptr;
    for (const auto& [requirement, tasks] : fair.waiting()) {
        WaitingTasks& waiting = m_waiting[pool][requirement];
        waiting.milliCpu += tasks.milliCpu;
        waiting.backlogMilliCpu += tasks.backlogMilliCpu;
        waiting.largest.milliCpu = std::max(waiting.largest.milliCpu, tasks.largest.milliCpu);
        waiting.largest.memoryMb = std::max(waiting.largest.memoryMb, tasks.largest.memoryMb);
        waiting.largest.accelerators = std::max(waiting.largest.accelerators, tasks.largest.accelerators);
    }
}

PoolRoom PlacementPass::roomOf(const PoolSites& sites) const
{
    std::map<const OrganisationAccount*, Resources> used;
    PoolRoom room;
    for (const WorkerRecord* record : sites.records) {
        if (record->isOpen(m_now) || !record->reservations.empty())
            room.capacity += record->entry.capacity;
        for (const auto& [account, resources] : record->reservations.usedByAccount())
            used[account] += resources;
    }
    for (const auto& [account, resources] : used)
        room.used[account->name] = resources;
    return room;
}

std::uint64_t PlacementPass::sitesInspected() const
{
    std::uint64_t inspected = 0;
    for (const auto& [pool, sites] : m_sites)
        inspected += sites.placer ? sites.placer->inspected() : 0;
    return inspected;
}

void PlacementPass::requestPassAt(MonotonicInstant when)
{
    if (!m_nextPassAt || when < *m_nextPassAt)
        m_nextPassAt = when;
}

void PlacementPass::openDueOccurrences(OwnerJob& job)
{
    job.state.openOccurrences(m_timeOfDay);
    if (const std::optional<Instant> due = job.state.nextDue())
        requestPassAt(m_now + std::max(Millis(1), *due - m_timeOfDay));
}

void PlacementPass::collect(OwnerJob& job)
{
    std::optional<bool> infeasible; // Determined when the first step of the job can start.
    const MonotonicInstant now = m_now;
    bool startsByTime = job.state.nextDue().has_value();
    for (const auto& [id, step] : job.state.steps()) {
        if (step.idle() == 0)
            continue;
        std::vector<TaskId> tasks = job.state.startable(id, now);
        if (tasks.size() < step.idle() && job.state.isUnblocked(id)) {
            for (const TaskState& task : step.tasks) {
                if (!task.succeeded && !task.live && task.notBefore > now) {
                    requestPassAt(task.notBefore);
                    startsByTime = true;
                }
            }
        }
        if (tasks.empty())
            continue;
        if (!infeasible) {
            infeasible = m_state.isInfeasible(job, now);
        }
        // The next failure may be beyond the unknown limit.
        if (!job.policy && job.state.hasFailures())
            std::erase_if(tasks, [&](const TaskId& task) { return job.state.failuresOf(task) > 0; });
        if (tasks.empty())
            continue;
        m_candidates[job.pool].push_back(
            { .priority = job.priority(), .infeasible = *infeasible, .beyondRate = job.beyondRate && m_state.options.placement.beyondRateLast, .objective = job.objective, .job = &job, .step = id, .tasks = std::move(tasks) });
    }
    if (!infeasible && !startsByTime)
        m_state.candidateJobs.erase(job.state.id());
}

/// Charges all idle tasks of an inherited job to the quota: they may run on workers that have not reported yet.
void PlacementPass::noteUnseen(const OwnerJob& job)
{
    if (!job.account)
        return;
    for (const auto& [id, step] : job.state.steps()) {
        if (step.idle() == 0 || !job.state.isUnblocked(id))
            continue;
        const Resources& needs = job.state.spec(id.step).needs;
        job.account->unseen += { .milliCpu = needs.milliCpu * step.idle(), .memoryMb = needs.memoryMb * step.idle(), .accelerators = needs.accelerators * step.idle() };
    }
}

/// Work that a quota holds back is not demand, since more instances would not help it. While the configuration may be
/// outdated, all work with a quota is held: the quota may have been lowered.
bool PlacementPass::isHeldByQuota(const Candidate& candidate, std::uint32_t tasks) const
{
    const OwnerJob& job = *candidate.job;
    const OrganisationSettings* organisation = job.account ? m_configuration->organisations.find(job.state.record().organisation) : nullptr;
    if (!organisation || organisation->quota == Resources {})
        return false;
    return !m_areQuotasCurrent || !fitsQuota(*job.account, organisation->quota, job.state.spec(candidate.step.step).needs, tasks);
}

void PlacementPass::noteHeld(const Candidate& candidate, const PoolSites& sites, std::size_t tasks)
{
    if (!candidate.isCountedByGroup())
        candidate.job->account->heldTasks += static_cast<std::uint32_t>(tasks);
    if (m_fair)
        m_fair->noteUnplaced(candidate, true);
    noteWait(candidate, sites, tasks, candidate.job->state.record().organisation);
}

PlacementPass::PoolSites& PlacementPass::sitesOf(const std::string& pool)
{
    PoolSites& sites = m_sites[pool];
    if (sites.placer)
        return sites;
    sites.records = m_state.workersOf(pool);
    std::vector<PlacementSite> list;
    list.reserve(sites.records.size());
    for (const WorkerRecord* record : sites.records) {
        list.push_back(record->site(m_now));
        sites.livenessChecks += m_now < record->livenessCheckDueAt ? 1 : 0;
        list.back().labelDemand = m_state.labelDemandOf(record->entry);
        if (!m_state.options.crashes.isolatesSuspects)
            list.back().suspects.clear();
    }
    sites.placer.emplace(std::move(list));
    return sites;
}

/// Fails the job of a task that must not start again. Its failures reach the limit if that was lowered or unknown when they were
/// reported; its crashes and unsettled probations reach theirs if a previous owner failed during the task's last probation.
bool PlacementPass::failExhausted(const Candidate& candidate)
{
    const std::optional<JobPolicy>& policy = candidate.job->policy;
    const bool hasFailed = policy && candidate.job->state.hasFailures() && std::any_of(candidate.tasks.begin(), candidate.tasks.end(), [&](const TaskId& task) { return m_dispatcher.failAtLimit(*candidate.job, task, policy->maxAttempts); });
    if (hasFailed)
        return true;
    const std::vector<TaskState>& states = candidate.job->state.steps().at(candidate.step).tasks;
    const auto exhausted = std::find_if(candidate.tasks.begin(), candidate.tasks.end(), [&](const TaskId& id) {
        const TaskState& task = states[id.index];
        return isExhausted(task.crashes, static_cast<std::uint32_t>(task.probations.size()), candidate.job->inherited);
    });
    if (exhausted == candidate.tasks.end())
        return false;
    m_dispatcher.failPermanently(*candidate.job, *exhausted);
    return true;
}

void PlacementPass::place(const Candidate& candidate, const std::string& pool)
{
    if (isFinal(candidate.job->state.status()) || failExhausted(candidate))
        return;
    PoolSites& sites = sitesOf(pool);
    const StepSpec& step = candidate.job->state.spec(candidate.step.step);
    // All members of a gang start together or not at all.
    if (isHeldByQuota(candidate, step.gang ? step.count : 1)) {
        noteHeld(candidate, sites, candidate.tasks.size());
        return;
    }
    const bool needsTickets = candidate.job->policy && candidate.job->policy->advice;
    // Fast path: most candidates of a full pool only wait.
    if (!needsTickets && !step.gang && !hasSuspects(candidate) && sites.placer->isKnownFull(step)) {
        m_stepAdvice = nullptr;
        if (m_fair)
            m_fair->noteUnplaced(candidate, false);
        noteWaiting(candidate, pool, candidate.tasks.size());
        noteWait(candidate, sites, candidate.tasks.size());
        return;
    }
    m_stepAdvice = needsTickets ? &m_advice.adviceOn(candidate.job->state.id(), candidate.step) : nullptr;
    if (step.gang)
        placeGang(candidate, sites, pool);
    else
        placeEach(candidate, sites, pool);
}

PlacementQuery PlacementPass::queryFor(const Candidate& candidate, const PoolSites& sites) const
{
    PlacementQuery query;
    query.quarantineKey = candidate.job->state.id();
    query.isStepAtFault = candidate.job->isStepAtFault(candidate.step.step);
    query.tasksOfStep = [&sites, &candidate](std::size_t index) { return sites.records[index]->tasksOf(candidate.job->state.id(), candidate.step); };
    if (m_stepAdvice)
        query.admits = [this, &sites](std::size_t index) { return m_stepAdvice->ticketOf(sites.records[index]->incarnation, m_now) != nullptr; };
    return query;
}

std::string PlacementPass::ticketFor(const WorkerRecord& record) const
{
    const std::string* ticket = m_stepAdvice ? m_stepAdvice->ticketOf(record.incarnation, m_now) : nullptr;
    return ticket ? *ticket : std::string();
}

/// A task waits for room near its data for as long as a run far from its data would take in addition. It then ends at most
/// twice as late as with the better choice.
bool PlacementPass::mayIgnoreRack(const Candidate& candidate)
{
    const PlacementOptions& options = m_state.options.placement;
    const StepSpec& step = candidate.job->state.spec(candidate.step.step);
    if (step.preferredRack.empty() || !options.waitsForRack || !m_state.racks.contains(step.preferredRack))
        return true;
    const auto waiting = m_state.waits.find({ candidate.job->state.id(), candidate.step });
    const MonotonicInstant since = waiting == m_state.waits.end() ? m_now : waiting->second.since;
    const double longer = (options.farFactor - 1) * m_state.forecast.ratio(candidate.job->state.record().queue);
    const MonotonicInstant until = since + std::chrono::duration_cast<Millis>(step.estimate * longer);
    if (m_now >= until)
        return true;
    requestPassAt(until);
    return false;
}

void PlacementPass::placeEach(const Candidate& candidate, PoolSites& sites, const std::string& pool)
{
    const StepSpec& step = candidate.job->state.spec(candidate.step.step);
    PlacementQuery query = queryFor(candidate, sites);
    query.nearOnly = !mayIgnoreRack(candidate);
    std::map<std::string, std::uint32_t> byHall;
    if (step.longRunning && m_state.options.placement.spreadsOverHalls) {
        byHall = tasksByHall(candidate);
        query.tasksByHall = &byHall;
    }
    for (std::size_t i = 0; i < candidate.tasks.size(); ++i) {
        const TaskId& task = candidate.tasks[i];
        if (m_fair && i >= FairPlacement::maxTasksTogether && !m_fair->mayStartMore(candidate)) {
            m_fair->defer(candidate, i);
            return;
        }
        if (isHeldByQuota(candidate, 1)) {
            noteHeld(candidate, sites, candidate.tasks.size() - i);
            return;
        }
        query.avoidWorker = candidate.job->state.find(task)->avoidWorker;
        query.suspectedCrashes = suspectedCrashesOf(candidate, task);
        if (step.longRunning)
            query.quarantineKey = quarantineKey({ candidate.job->state.id(), task, 0 }, true);
        const std::optional<std::size_t> site = choose(step, query, sites);
        // Other tasks of the step need no verified worker, and may share workers that are closed to the suspect.
        if (!site && query.suspectedCrashes > 0) {
            if (!sites.placer->choose(step, query))
                noteUnplaced(candidate, sites, pool, query, 1);
            continue;
        }
        if (!site) {
            noteUnplaced(candidate, sites, pool, query, candidate.tasks.size() - i);
            return;
        }
        WorkerRecord& record = *sites.records[*site];
        if (!m_dispatcher.start(*candidate.job, task, candidate.job->state.nextAttempt(task), record, ticketFor(record)))
            continue;
        reserveAt(sites, *site, step, query);
        ++byHall[record.entry.dataHall];
        if (m_fair)
            m_fair->noteStarted(candidate, footprint(step));
    }
}

/// \returns The step's live tasks by data hall. Takes one look-up per task, independent of the fleet's size.
std::map<std::string, std::uint32_t> PlacementPass::tasksByHall(const Candidate& candidate) const
{
    std::map<std::string, std::uint32_t> tasks;
    for (const TaskState& task : candidate.job->state.steps().at(candidate.step).tasks) {
        const WorkerRecord* record = task.live ? m_state.worker(task.live->worker) : nullptr;
        if (record && record->isHallOpen())
            ++tasks[record->entry.dataHall];
    }
    return tasks;
}

std::optional<std::size_t> PlacementPass::choose(const StepSpec& step, const PlacementQuery& query, PoolSites& sites)
{
    if (query.suspectedCrashes == 0)
        return sites.placer->choose(step, query);
    const std::optional<std::size_t> verified = chooseLive(step, query, sites);
    if (!verified)
        checkLiveness(step, query, sites);
    return verified;
}

/// \returns The query, narrowed to sites that pass `admits` and at which the outcome of a suspect's start can be determined.
PlacementQuery PlacementPass::narrowed(const PlacementQuery& query, const PoolSites& sites, std::function<bool(const WorkerRecord&)> admits) const
{
    PlacementQuery narrow = query;
    const bool mustBeEstablished = query.suspectedCrashes >= crashesToIsolate;
    narrow.admits = [this, &sites, mustBeEstablished, mayTake = query.admits, admits = std::move(admits)](std::size_t index) {
        const WorkerRecord& record = *sites.records[index];
        return (!mustBeEstablished || record.isEstablished(m_now)) && admits(record) && (!mayTake || mayTake(index));
    };
    return narrow;
}

/// Chooses only among probably live workers: the crash of a dead worker would be attributed to the suspect.
std::optional<std::size_t> PlacementPass::chooseLive(const StepSpec& step, const PlacementQuery& query, const PoolSites& sites) const
{
    return sites.placer->choose(step, narrowed(query, sites, [this](const WorkerRecord& record) { return record.isProbablyUp(m_now); }));
}

/// Probes a few workers. The suspect starts in the pass after the first answer.
void PlacementPass::checkLiveness(const StepSpec& step, const PlacementQuery& query, PoolSites& sites)
{
    ++sites.waitingSuspects;
    const PlacementQuery unasked = narrowed(query, sites, [this](const WorkerRecord& record) { return m_now >= record.nextLivenessCheckAt; });
    while (sites.livenessChecks < livenessChecksPerSuspect * sites.waitingSuspects) {
        const std::optional<std::size_t> site = sites.placer->choose(step, unasked);
        if (!site)
            return;
        WorkerRecord& record = *sites.records[*site];
        record.checkLiveness(m_now, m_state.responses.overdueAfter());
        requestPassAt(record.livenessCheckDueAt);
        ++sites.livenessChecks;
    }
}

bool PlacementPass::hasSuspects(const Candidate& candidate) const
{
    const std::vector<TaskState>& states = candidate.job->state.steps().at(candidate.step).tasks;
    return m_state.options.crashes.isolatesSuspects && std::any_of(candidate.tasks.begin(), candidate.tasks.end(), [&](const TaskId& task) { return states[task.index].suspectedCrashes() > 0; });
}

/// \returns Crashes that the task may have caused; 0 if placement does not isolate suspects.
std::uint32_t PlacementPass::suspectedCrashesOf(const Candidate& candidate, const TaskId& task) const
{
    return m_state.options.crashes.isolatesSuspects ? candidate.job->state.find(task)->suspectedCrashes() : 0;
}

void PlacementPass::reserveAt(PoolSites& sites, std::size_t site, const StepSpec& step, const PlacementQuery& query)
{
    sites.placer->reserve(site, step);
    if (query.suspectedCrashes > 0)
        sites.placer->noteSuspect(site, query.quarantineKey, query.suspectedCrashes);
}

/// Handles tasks without a place. While the advisor is asked about more workers, the tasks are no demand: they may not need more instances.
void PlacementPass::noteUnplaced(const Candidate& candidate, PoolSites& sites, const std::string& pool, const PlacementQuery& query, std::size_t tasks)
{
    requestAdvice(candidate, sites, query, tasks);
    const bool awaitsAdvice = m_stepAdvice && m_advice.isPending(candidate.job->state.id(), candidate.step);
    if (!awaitsAdvice && m_fair)
        m_fair->noteUnplaced(candidate, false);
    if (!awaitsAdvice)
        noteWaiting(candidate, pool, tasks);
    if (!awaitsAdvice || m_advice.isFailing())
        noteWait(candidate, sites, tasks);
}

/// Asks the advisor for tickets, and about workers without an answer as long as tasks have no place on the allowed ones.
void PlacementPass::requestAdvice(const Candidate& candidate, PoolSites& sites, const PlacementQuery& query, std::size_t tasks)
{
    const std::string& job = candidate.job->state.id();
    if (!m_stepAdvice || m_advice.isPending(job, candidate.step))
        return;
    const StepSpec& step = candidate.job->state.spec(candidate.step.step);
    std::vector<AdviceCandidate> candidates;
    std::vector<const WorkerRecord*> workers;
    std::vector<std::size_t> candidateOfSite(sites.records.size());
    for (std::size_t i = 0; i < sites.records.size(); ++i) {
        const WorkerRecord& record = *sites.records[i];
        const PlacementSite& site = sites.placer->sites()[i];
        if (!site.open || record.entry.draining || !record.entry.capacity.covers(footprint(step)) || (!step.requiredLabel.empty() && !hasLabel(record.entry, step.requiredLabel)))
            continue;
        candidateOfSite[i] = candidates.size();
        candidates.push_back({ .state = m_stepAdvice->stateOf(record.incarnation), .hasTicket = m_stepAdvice->ticketOf(record.incarnation, m_now) != nullptr, .hasRoom = site.free.covers(footprint(step)), .isNear = step.preferredRack.empty() || hasLabel(record.entry, step.preferredRack) });
        workers.push_back(&record);
    }
    AdviceNeed need { .isGang = step.gang, .tasks = tasks, .allowedPlaces = {} };
    for (const std::size_t site : placesOnAllowed(candidate, sites, query, tasks))
        need.allowedPlaces.push_back(candidateOfSite[site]);
    std::vector<const WorkerRecord*> asked;
    for (const std::size_t index : selectForAdvice(candidates, need, m_stepAdvice->answers()))
        asked.push_back(workers[index]);
    m_advice.query(job, candidate.step, *candidate.job->policy->advice, asked);
}

/// \returns The sites that up to `tasks` tasks would be placed on if each allowed worker had a valid ticket, once for each task.
std::vector<std::size_t> PlacementPass::placesOnAllowed(const Candidate& candidate, PoolSites& sites, PlacementQuery query, std::size_t tasks) const
{
    const StepSpec& step = candidate.job->state.spec(candidate.step.step);
    std::map<std::size_t, std::uint32_t> placed;
    std::vector<std::size_t> chosen;
    query.admits = [this, &sites](std::size_t index) { return m_stepAdvice->stateOf(sites.records[index]->incarnation) == AdviceState::Allowed; };
    query.tasksOfStep = [&placed, tasksOfStep = query.tasksOfStep](std::size_t index) {
        const auto found = placed.find(index);
        return tasksOfStep(index) + (found == placed.end() ? 0 : found->second);
    };
    while (chosen.size() < tasks) {
        const std::optional<std::size_t> site = sites.placer->choose(step, query);
        if (!site)
            break;
        sites.placer->reserve(*site, step);
        ++placed[*site];
        chosen.push_back(*site);
    }
    for (const std::size_t site : chosen)
        sites.placer->release(site, step);
    return chosen;
}

/// Adds waiting tasks to the demand, unless they are too large for any instance.
void PlacementPass::noteWaiting(const Candidate& candidate, const std::string& pool, std::size_t tasks)
{
    if (candidate.isCountedByGroup())
        return;
    const StepSpec& step = candidate.job->state.spec(candidate.step.step);
    const Resources needs = footprint(step);
    const std::optional<std::int64_t> milliCpu = m_state.instanceTimeOf(step);
    if (!milliCpu)
        return;
    for (const Requirement& requirement : requirementsOf(step)) {
        WaitingTasks& waiting = m_waiting[pool][requirement];
        std::int64_t& demand = candidate.infeasible ? waiting.backlogMilliCpu : waiting.milliCpu;
        demand += *milliCpu * static_cast<std::int64_t>(tasks);
        waiting.largest.milliCpu = std::max(waiting.largest.milliCpu, needs.milliCpu);
        waiting.largest.memoryMb = std::max(waiting.largest.memoryMb, needs.memoryMb);
        waiting.largest.accelerators = std::max(waiting.largest.accelerators, needs.accelerators);
    }
}

/// Records and logs why a step waits, at a limited rate.
void PlacementPass::noteWait(const Candidate& candidate, const PoolSites& sites, std::size_t tasks, const std::string& heldByQuotaOf)
{
    const MonotonicInstant now = m_now;
    const auto [explainedUntil, isNew] = candidate.job->waitExplainedUntil.try_emplace(candidate.step);
    if (!isNew && (now < explainedUntil->second || m_waitsExplained == maxWaitsExplained))
        return;
    OwnerState::WaitingStep& waiting = m_state.waits.try_emplace({ candidate.job->state.id(), candidate.step }, OwnerState::WaitingStep { .since = now, .wait = {} }).first->second;
    if (m_waitsExplained == maxWaitsExplained)
        return;
    ++m_waitsExplained;
    const StepSpec& step = candidate.job->state.spec(candidate.step.step);
    const std::vector<PlacementSite>& list = sites.placer->sites();
    StepWait wait { .tasks = static_cast<std::uint32_t>(tasks), .workers = static_cast<std::uint32_t>(list.size()), .label = step.requiredLabel, .rack = step.preferredRack, .heldByQuotaOf = heldByQuotaOf, .needsAdvice = m_stepAdvice != nullptr };
    for (std::size_t i = 0; i < list.size(); ++i) {
        const bool hasRoom = list[i].open && list[i].free.covers(footprint(step));
        const bool isLabelled = step.requiredLabel.empty() || hasLabel(*list[i].worker, step.requiredLabel);
        wait.open += list[i].open ? 1 : 0;
        wait.withRoom += hasRoom ? 1 : 0;
        wait.labelled += isLabelled ? 1 : 0;
        wait.labelledWithRoom += isLabelled && hasRoom ? 1 : 0;
        wait.near += !step.preferredRack.empty() && list[i].worker->rack == step.preferredRack ? 1 : 0;
        if (m_stepAdvice) {
            const AdviceState advice = m_stepAdvice->stateOf(sites.records[i]->incarnation);
            wait.asked += advice != AdviceState::Unasked ? 1 : 0;
            wait.allowed += advice == AdviceState::Allowed ? 1 : 0;
        }
        wait.belowSpread += step.maxPerInstance == 0 || sites.records[i]->tasksOf(candidate.job->state.id(), candidate.step) < step.maxPerInstance ? 1 : 0;
    }
    waiting.wait = wait;
    explainedUntil->second = now + waitLogPause;
    m_state.options.log->decision("step-waits",
        { { "job", candidate.job->state.id() }, { "step", std::int64_t { candidate.step.step } }, { "tasks", std::int64_t { wait.tasks } }, { "sites", std::int64_t { wait.workers } }, { "open", std::int64_t { wait.open } },
            { "with_room", std::int64_t { wait.withRoom } }, { "label", wait.label }, { "labelled", std::int64_t { wait.labelled } }, { "labelled_with_room", std::int64_t { wait.labelledWithRoom } }, { "rack", wait.rack }, { "held_by_quota_of", wait.heldByQuotaOf }, { "needs_advice", std::int64_t { wait.needsAdvice } }, { "asked", std::int64_t { wait.asked } }, { "allowed", std::int64_t { wait.allowed } }, { "near", std::int64_t { wait.near } }, { "below_spread_limit", std::int64_t { wait.belowSpread } }, { "memory_mb", step.needs.memoryMb }, { "milli_cpu", footprint(step).milliCpu } });
}

void PlacementPass::placeGang(const Candidate& candidate, PoolSites& sites, const std::string& pool)
{
    const StepSpec& step = candidate.job->state.spec(candidate.step.step);
    // All or nothing: no member starts while one is still live or not yet startable.
    if (candidate.tasks.size() < step.count)
        return;
    if (step.sameRack) {
        std::vector<std::string> racks;
        for (const WorkerRecord* record : sites.records)
            racks.push_back(record->entry.rack);
        std::sort(racks.begin(), racks.end());
        racks.erase(std::unique(racks.begin(), racks.end()), racks.end());
        for (const std::string& rack : racks) {
            if (placeGangIn(candidate, sites, rack))
                return;
        }
    }
    if (placeGangIn(candidate, sites, {}))
        return;
    noteUnplaced(candidate, sites, pool, queryFor(candidate, sites), step.count);
}

bool PlacementPass::placeGangIn(const Candidate& candidate, PoolSites& sites, const std::string& rack)
{
    JobState& job = candidate.job->state;
    const StepSpec& step = job.spec(candidate.step.step);
    PlacementQuery query = queryFor(candidate, sites);
    query.rack = rack;
    std::vector<std::size_t> chosen;
    std::map<std::size_t, std::uint32_t> members;
    bool hasSuspect = false;
    query.tasksOfStep = [&](std::size_t index) { return members[index]; };
    for (std::size_t i = 0; i < candidate.tasks.size(); ++i) {
        // A gang needs all its sites at once, so its suspects are not isolated from other tasks.
        query.suspectedCrashes = std::min(suspectedCrashesOf(candidate, candidate.tasks[i]), crashesToIsolate - 1);
        std::optional<std::size_t> site;
        if (query.suspectedCrashes > 0)
            site = chooseLive(step, query, sites);
        hasSuspect = hasSuspect || query.suspectedCrashes > 0;
        if (!site)
            site = sites.placer->choose(step, query);
        if (!site)
            break;
        sites.placer->reserve(*site, step);
        ++members[*site];
        chosen.push_back(*site);
    }
    if (chosen.size() < candidate.tasks.size() || !m_state.mayStart(*candidate.job)) {
        for (const std::size_t site : chosen)
            sites.placer->release(site, step);
        return false;
    }
    const std::uint64_t number = job.nextAttempt(candidate.tasks.front());
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        WorkerRecord& record = *sites.records[chosen[i]];
        m_dispatcher.start(*candidate.job, candidate.tasks[i], number, record, ticketFor(record), hasSuspect);
        if (m_fair)
            m_fair->noteStarted(candidate, footprint(step));
    }
    return true;
}

} // namespace lanemoor::jobs
