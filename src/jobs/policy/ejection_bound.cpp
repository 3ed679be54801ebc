#include "lanemoor/jobs/policy/ejection_bound.h"

#include "lanemoor/jobs/model/service_configuration.h"
#include "lanemoor/jobs/policy/placement.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

std::uint32_t maxOutOfService(std::uint32_t workers, double share)
{
    return std::max(1U, static_cast<std::uint32_t>(share * static_cast<double>(workers)));
}

/// \returns The data hall of a worker, and its rack if it is known.
std::vector<std::pair<std::string, std::string>> domainsOf(const WorkerEntry& worker)
{
    std::vector<std::pair<std::string, std::string>> domains { { worker.dataHall, {} } };
    if (!worker.rack.empty())
        domains.emplace_back(worker.dataHall, worker.rack);
    return domains;
}

} // namespace

EjectionBound::EjectionBound(const WorkerHealthOptions& options, const std::vector<EjectionMember>& members, MinInstances minInstances)
    : m_options(options)
    , m_minInstances(std::move(minInstances))
{
    for (const EjectionMember& member : members)
        count(member);
}

void EjectionBound::count(const EjectionMember& member)
{
    const WorkerEntry& worker = *member.worker;
    std::vector<Group*> groups { &m_pools[worker.pool] };
    for (const Domain& domain : domainsOf(worker))
        groups.push_back(&m_domains[domain]);
    for (Group* group : groups) {
        ++group->workers;
        group->outOfService += member.outOfService ? 1 : 0;
        group->answering += member.answering ? 1 : 0;
    }
    if (member.outOfService)
        return;
    for (const auto& [need, minInstances] : m_minInstances) {
        if (need.first == worker.pool && (need.second.empty() || hasLabel(worker, need.second)))
            ++m_serving[need];
    }
}

std::vector<EjectionCandidate> EjectionBound::choose(std::vector<EjectionCandidate> candidates)
{
    std::stable_sort(candidates.begin(), candidates.end(), [](const EjectionCandidate& a, const EjectionCandidate& b) { return a.score > b.score; });
    std::vector<EjectionCandidate> chosen;
    for (const EjectionCandidate& candidate : candidates) {
        if (!admits(candidate))
            continue;
        countEjected(candidate.member);
        chosen.push_back(candidate);
    }
    return chosen;
}

bool EjectionBound::admits(const EjectionCandidate& candidate) const
{
    const EjectionMember& member = candidate.member;
    const WorkerEntry& worker = *member.worker;
    const std::vector<Domain> domains = domainsOf(worker);
    // If its neighbours do not answer either, the path to them is at fault.
    if (candidate.fault == HealthFault::Unanswered && std::any_of(domains.begin(), domains.end(), [&](const Domain& domain) { return isDomainUnresponsive(domain, member); }))
        return false;
    // It counts as out of service already.
    if (member.outOfService)
        return true;
    const Group& pool = m_pools.at(worker.pool);
    if (pool.outOfService >= maxOutOfService(pool.workers, m_options.maxShareOfPool) || pool.outOfService + 1 >= pool.workers)
        return false;
    const bool isDomainFull = std::any_of(domains.begin(), domains.end(), [&](const Domain& domain) {
        const Group& group = m_domains.at(domain);
        return group.outOfService >= maxOutOfService(group.workers, m_options.maxShareOfDomain);
    });
    return !isDomainFull && leavesMinInstances(member);
}

/// \returns Whether fewer than half of the other workers of a domain answer.
bool EjectionBound::isDomainUnresponsive(const Domain& domain, const EjectionMember& member) const
{
    const Group& group = m_domains.at(domain);
    const std::uint32_t others = group.workers - 1;
    const std::uint32_t answering = group.answering - (member.answering ? 1 : 0);
    return 2 * answering < others;
}

bool EjectionBound::leavesMinInstances(const EjectionMember& member) const
{
    const WorkerEntry& worker = *member.worker;
    return std::all_of(m_minInstances.begin(), m_minInstances.end(), [&](const auto& need) {
        const auto& [pool, label] = need.first;
        if (pool != worker.pool || (!label.empty() && !hasLabel(worker, label)))
            return true;
        const auto serving = m_serving.find(need.first);
        return serving != m_serving.end() && serving->second > need.second;
    });
}

void EjectionBound::countEjected(const EjectionMember& member)
{
    if (member.outOfService)
        return;
    const WorkerEntry& worker = *member.worker;
    ++m_pools.at(worker.pool).outOfService;
    for (const Domain& domain : domainsOf(worker))
        ++m_domains.at(domain).outOfService;
    for (auto& [need, serving] : m_serving) {
        if (need.first == worker.pool && (need.second.empty() || hasLabel(worker, need.second)))
            --serving;
    }
}

} // namespace lanemoor::jobs
