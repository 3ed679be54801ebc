#include "waiting_jobs.h"

#include "owner_state.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

std::pair<std::string, std::string> groupOf(const OwnerJob& job)
{
    return { job.state.record().queue, job.state.record().organisation };
}

Resources larger(const Resources& a, const Resources& b)
{
    return { .milliCpu = std::max(a.milliCpu, b.milliCpu), .memoryMb = std::max(a.memoryMb, b.memoryMb), .accelerators = std::max(a.accelerators, b.accelerators) };
}

} // namespace

void WaitingGroup::add(WaitingJob job, MonotonicInstant now)
{
    const bool infeasible = job.infeasibleFrom <= now;
    const OwnerJob& owned = *job.job;
    Key key { infeasible, owned.beyondRate, owned.objective, owned.state.id() };
    if (m_jobs.empty())
        m_largest = {};
    m_largest = larger(m_largest, job.largest);
    if (!infeasible && job.infeasibleFrom < MonotonicInstant::max())
        m_infeasibleFrom.emplace(job.infeasibleFrom, owned.state.id());
    updateSums(job, infeasible, 1);
    m_keys.insert_or_assign(owned.state.id(), key);
    m_jobs.insert_or_assign(std::move(key), std::move(job));
}

bool WaitingGroup::remove(const OwnerJob& job)
{
    const auto key = m_keys.find(job.state.id());
    if (key == m_keys.end())
        return false;
    const auto found = m_jobs.find(key->second);
    updateSums(found->second, std::get<0>(key->second), -1);
    m_jobs.erase(found);
    m_keys.erase(key);
    return true;
}

void WaitingGroup::moveInfeasible(MonotonicInstant now)
{
    while (!m_infeasibleFrom.empty() && m_infeasibleFrom.begin()->first <= now) {
        const std::string id = m_infeasibleFrom.begin()->second;
        m_infeasibleFrom.erase(m_infeasibleFrom.begin());
        const auto key = m_keys.find(id);
        if (key == m_keys.end() || std::get<0>(key->second))
            continue;
        auto node = m_jobs.extract(key->second);
        updateSums(node.mapped(), false, -1);
        updateSums(node.mapped(), true, 1);
        std::get<0>(node.key()) = true;
        key->second = node.key();
        m_jobs.insert(std::move(node));
    }
}

void WaitingGroup::updateSums(const WaitingJob& job, bool infeasible, int sign)
{
    Sums& sums = infeasible ? m_infeasible : m_timely;
    for (const auto& [requirement, milliCpu] : job.milliCpu) {
        std::int64_t& sum = sums.milliCpu[requirement];
        sum += sign * milliCpu;
        if (sum == 0)
            sums.milliCpu.erase(requirement);
    }
    if (sign > 0)
        sums.needs += job.needs;
    else
        sums.needs -= job.needs;
    sums.tasks += static_cast<std::uint32_t>(sign) * job.tasks;
    sums.work += sign * job.work;
    sums.jobs += static_cast<std::size_t>(sign);
}

void WaitingJobs::add(WaitingJob job, MonotonicInstant now)
{
    WaitingGroup& group = m_groups[groupOf(*job.job)];
    group.add(std::move(job), now);
}

bool WaitingJobs::remove(const OwnerJob& job)
{
    const auto found = m_groups.find(groupOf(job));
    if (found == m_groups.end() || !found->second.remove(job))
        return false;
    if (found->second.empty())
        m_groups.erase(found);
    return true;
}

void WaitingJobs::moveInfeasible(MonotonicInstant now)
{
    for (auto& [name, group] : m_groups)
        group.moveInfeasible(now);
}

} // namespace lanemoor::jobs
