#include "lanemoor/jobs/policy/organisation_use.h"

#include <algorithm>
#include <chrono>

namespace lanemoor::jobs {

namespace {

/// \returns Whether one resource permits the start. \param limit 0: no limit.
bool fits(std::int64_t used, std::int64_t limit, std::int64_t each, std::int64_t tasks)
{
    if (limit <= 0 || each <= 0 || used + each * tasks <= limit)
        return true;
    const bool usesLessThanHalf = used * 2 < limit;
    return usesLessThanHalf && used + each * (tasks - 1) <= limit;
}

} // namespace

bool RateMeter::tryConsume(double perSecond, MonotonicInstant now)
{
    if (perSecond <= 0)
        return true;
    const double maximum = std::max(perSecond, 1.0);
    m_left = m_countedAt ? std::min(maximum, m_left + std::chrono::duration<double>(now - *m_countedAt).count() * perSecond) : maximum;
    m_countedAt = now;
    if (m_left < 1)
        return false;
    m_left -= 1;
    return true;
}

bool fitsQuota(const OrganisationAccount& account, const Resources& quota, const Resources& each, std::uint32_t tasks)
{
    Resources used = account.used;
    used += account.unseen;
    return fits(used.milliCpu, quota.milliCpu, each.milliCpu, tasks) && fits(used.memoryMb, quota.memoryMb, each.memoryMb, tasks)
        && fits(used.accelerators, quota.accelerators, each.accelerators, tasks);
}

double shareWithinQuota(const OrganisationAccount& account, const Resources& quota, const JobSpec& job)
{
    double share = 1;
    const auto limit = [&share](std::int64_t used, std::int64_t maximum, std::int64_t wanted) {
        if (maximum > 0 && wanted > 0)
            share = std::min(share, std::max(static_cast<double>(maximum - used) / static_cast<double>(wanted), 0.0));
    };
    for (const StepSpec& step : job.steps) {
        const std::int64_t count = step.count;
        limit(account.used.milliCpu, quota.milliCpu, step.needs.milliCpu * count);
        limit(account.used.memoryMb, quota.memoryMb, step.needs.memoryMb * count);
        limit(account.used.accelerators, quota.accelerators, step.needs.accelerators * count);
    }
    return share;
}

OrganisationAccount& OrganisationUse::account(const std::string& name)
{
    OrganisationAccount& account = m_accounts[name];
    if (account.name.empty())
        account.name = name;
    return account;
}

void OrganisationUse::startPass() noexcept
{
    for (auto& [name, account] : m_accounts) {
        account.unseen = {};
        account.heldTasks = 0;
    }
}

} // namespace lanemoor::jobs
