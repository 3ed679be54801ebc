#include "fair_placement.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

Resources times(const Resources& needs, std::size_t count)
{
    const auto factor = static_cast<std::int64_t>(count);
    return { .milliCpu = needs.milliCpu * factor, .memoryMb = needs.memoryMb * factor, .accelerators = needs.accelerators * factor };
}

const std::string& organisationOf(const PlacementCandidate& candidate)
{
    return candidate.job->state.record().organisation;
}

} // namespace

FairPlacement::FairPlacement(OwnerState& state, std::string pool, MonotonicInstant now, const PoolRoom& room, FairPlacementActions actions)
    : m_state(state)
    , m_pool(std::move(pool))
    , m_now(now)
    , m_room(room)
    , m_actions(std::move(actions))
    , m_configuration(state.configuration())
{
    findGroups();
}

void FairPlacement::findGroups()
{
    for (const auto& [name, group] : m_state.waitingJobs.groups()) {
        const OwnerJob& first = *group.jobs().begin()->second.job;
        if (first.pool == m_pool)
            m_groups.push_back({ .group = &group, .priority = first.priority(), .organisation = name.second });
    }
}

void FairPlacement::run(std::vector<PlacementCandidate> candidates)
{
    m_shares.emplace(demandsOf(m_room, candidates), m_room.capacity);
    std::map<std::pair<std::uint32_t, bool>, std::vector<PlacementCandidate>> levels;
    for (const PoolGroup& group : m_groups) {
        for (const bool infeasible : { false, true })
            levels[{ group.priority, infeasible }];
    }
    for (PlacementCandidate& candidate : candidates)
        levels[{ candidate.priority, candidate.infeasible }].push_back(std::move(candidate));
    for (auto& [level, ofLevel] : levels)
        placeLevel(level.first, level.second, std::move(ofLevel));
    noteDeficits();
    for (OwnerJob* job : m_startedJobs)
        m_state.endWait(*job);
    m_groups.clear();
    findGroups();
    countHeld();
}

void FairPlacement::countHeld()
{
    for (const PoolGroup& group : m_groups) {
        if (m_heldByQuota.contains(group.organisation))
            m_state.organisations.account(group.organisation).heldTasks += group.group->sums(false).tasks + group.group->sums(true).tasks;
    }
}

std::vector<OrganisationDemand> FairPlacement::demandsOf(const PoolRoom& room, const std::vector<PlacementCandidate>& candidates) const
{
    std::map<std::string, OrganisationDemand> demands;
    const auto demandOf = [&](const std::string& organisation) -> OrganisationDemand& {
        const auto [place, inserted] = demands.try_emplace(organisation);
        if (inserted)
            place->second = { .organisation = organisation, .weight = weightOf(organisation), .used = {}, .waiting = {} };
        return place->second;
    };
    for (const auto& [organisation, used] : room.used)
        demandOf(organisation).used = used;
    for (const PoolGroup& group : m_groups) {
        for (const bool infeasible : { false, true })
            demandOf(group.organisation).waiting += group.group->sums(infeasible).needs;
    }
    for (const PlacementCandidate& candidate : candidates) {
        if (!organisationOf(candidate).empty())
            demandOf(organisationOf(candidate)).waiting += times(footprint(candidate.job->state.spec(candidate.step.step)), candidate.tasks.size());
    }
    std::vector<OrganisationDemand> list;
    for (auto& [organisation, demand] : demands)
        list.push_back(std::move(demand));
    return list;
}

double FairPlacement::weightOf(const std::string& organisation) const
{
    const OrganisationSettings* settings = m_configuration->organisations.find(organisation);
    return settings ? settings->weight : 0;
}

void FairPlacement::placeLevel(std::uint32_t priority, bool infeasible, std::vector<PlacementCandidate> candidates)
{
    std::vector<Source> sources;
    for (PlacementCandidate& candidate : candidates)
        sources.push_back({ .head = { std::move(candidate) }, .group = nullptr, .next = {}, .end = {} });
    for (const PoolGroup& group : m_groups) {
        if (group.priority != priority)
            continue;
        Source source { .head = {}, .group = group.group, .next = group.group->begin(infeasible), .end = group.group->end(infeasible) };
        if (advance(source))
            sources.push_back(std::move(source));
    }
    m_sharesApply = true;
    placeAll(std::move(sources));
    std::vector<Source> deferred = std::exchange(m_deferred, {});
    m_sharesApply = false;
    if (!m_state.deficits.blocksOthers(m_pool, m_now)) {
        placeAll(std::move(deferred));
        return;
    }
    for (const Source& source : deferred) {
        for (const PlacementCandidate& candidate : source.head)
            m_actions.hold(candidate);
    }
}

void FairPlacement::placeAll(std::vector<Source> sources)
{
    // A heap of the sources' heads: the first head in placement order is taken next.
    const auto comesLater = [](const Source& a, const Source& b) { return b.head.front().order() < a.head.front().order(); };
    std::make_heap(sources.begin(), sources.end(), comesLater);
    while (!sources.empty()) {
        std::pop_heap(sources.begin(), sources.end(), comesLater);
        Source& source = sources.back();
        if (!mayStartMore(source.head.front())) {
            m_deferred.push_back(std::move(source));
            sources.pop_back();
            continue;
        }
        placeHead(source);
        if (advance(source))
            std::push_heap(sources.begin(), sources.end(), comesLater);
        else
            sources.pop_back();
    }
}

void FairPlacement::placeHead(Source& source)
{
    OwnerJob& job = *source.head.front().job;
    for (const PlacementCandidate& candidate : source.head)
        m_actions.place(candidate);
    if (!source.group)
        return;
    if (job.state.isUnattempted())
        ++source.misses;
    else
        m_startedJobs.push_back(&job);
}

/// Makes the group's next job the head of the source. \returns False at the end of the group or at its limit of misses.
bool FairPlacement::advance(Source& source) const
{
    source.head.clear();
    while (source.group && source.next != source.end && source.misses < m_state.options.admission.missesOfGroup) {
        source.head = candidatesOf(*source.next);
        ++source.next;
        if (!source.head.empty())
            return true;
        ++source.misses;
    }
    return false;
}

std::vector<PlacementCandidate> FairPlacement::candidatesOf(const WaitingGroup::Jobs::value_type& waiting) const
{
    std::vector<PlacementCandidate> candidates;
    OwnerJob& job = *waiting.second.job;
    for (const auto& [id, step] : job.state.steps()) {
        std::vector<TaskId> tasks = job.state.startable(id, m_now);
        if (tasks.empty())
            continue;
        candidates.push_back({ .priority = job.priority(), .infeasible = std::get<0>(waiting.first), .beyondRate = std::get<1>(waiting.first) && m_state.options.placement.beyondRateLast, .objective = job.objective, .job = &job, .step = id, .tasks = std::move(tasks), .fromGroup = true });
    }
    return candidates;
}

bool FairPlacement::mayStartMore(const PlacementCandidate& candidate) const
{
    const std::string& organisation = organisationOf(candidate);
    return !m_sharesApply || organisation.empty() || !m_shares->hasReachedShare(organisation);
}

void FairPlacement::noteStarted(const PlacementCandidate& candidate, const Resources& needs)
{
    m_shares->noteStarted(organisationOf(candidate), needs);
}

void FairPlacement::noteUnplaced(const PlacementCandidate& candidate, bool heldByQuota)
{
    const std::string& organisation = organisationOf(candidate);
    if (!heldByQuota && candidate.job->state.spec(candidate.step.step).requiredLabel.empty())
        m_unplaced.insert(organisation);
    if (heldByQuota && candidate.fromGroup)
        m_heldByQuota.insert(organisation);
}

void FairPlacement::defer(const PlacementCandidate& candidate, std::size_t first)
{
    PlacementCandidate remaining = candidate;
    remaining.tasks.erase(remaining.tasks.begin(), remaining.tasks.begin() + static_cast<std::ptrdiff_t>(first));
    m_deferred.push_back({ .head = { std::move(remaining) }, .group = nullptr, .next = {}, .end = {} });
}

void FairPlacement::noteDeficits()
{
    for (const OrganisationShare& share : m_shares->all()) {
        const bool isUnserved = share.waits && share.isBelow() && !m_shares->hasStarted(share.organisation) && m_unplaced.contains(share.organisation);
        m_state.deficits.note(m_pool, share.organisation, isUnserved, m_now);
    }
}

std::map<Requirement, WaitingTasks> FairPlacement::waiting() const
{
    std::map<Requirement, WaitingTasks> waiting;
    for (const PoolGroup& group : m_groups) {
        if (m_heldByQuota.contains(group.organisation))
            continue;
        for (const bool infeasible : { false, true }) {
            for (const auto& [requirement, milliCpu] : group.group->sums(infeasible).milliCpu) {
                WaitingTasks& tasks = waiting[requirement];
                (infeasible ? tasks.backlogMilliCpu : tasks.milliCpu) += milliCpu;
                tasks.largest = group.group->largest();
            }
        }
    }
    return waiting;
}

} // namespace lanemoor::jobs
