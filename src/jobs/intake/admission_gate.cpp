#include "lanemoor/jobs/intake/admission_gate.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr Millis minRetryAfter { 1'000 };
constexpr Millis maxRetryAfter { 3'000 }; // Jobs lose most of their value to the caller within seconds.
constexpr double milli = 1'000;

Millis retryAfterOf(const AdmissionBudget& budget)
{
    return std::clamp(budget.expectedEnd - budget.limit, minRetryAfter, maxRetryAfter);
}

} // namespace

std::string_view nameOf(AdmissionBasis basis) noexcept
{
    switch (basis) {
    case AdmissionBasis::NoPressure:
        return "no-pressure";
    case AdmissionBasis::Budget:
        return "budget";
    case AdmissionBasis::SafeShare:
        return "safe-share";
    }
    return "unknown";
}

AdmissionGate::AdmissionGate(const std::string& name)
    : m_random(static_cast<std::minstd_rand::result_type>(std::hash<std::string> {}(name)))
{
}

void AdmissionGate::apply(AdmissionGrants grants, MonotonicInstant now)
{
    if (grants.term < m_term)
        return;
    m_term = grants.term;
    m_entries = std::max(grants.entries, 1U);
    m_grantedAt = now;
    m_expiresAt = now + grants.validity;
    std::map<Name, Budget> budgets;
    for (AdmissionBudget& granted : grants.budgets) {
        const Name name { granted.queue, granted.organisation };
        const auto before = m_budgets.find(name);
        Budget budget = before == m_budgets.end() ? Budget {} : std::move(before->second);
        budget.remaining = static_cast<double>(granted.workMillis);
        budget.refilledAt = now;
        budget.granted = std::move(granted);
        budget.threshold = nextThreshold(budget);
        budgets.emplace(name, std::move(budget));
    }
    m_budgets = std::move(budgets);
}

AdmissionDecision AdmissionGate::decide(const std::string& queue, const std::string& organisation, const JobSpec& job, double jobsPerSecond, MonotonicInstant now)
{
    const auto found = m_budgets.find({ queue, organisation });
    if (found == m_budgets.end() || now >= m_expiresAt + safeShareDuration || !hasObjective(job))
        return {};
    Budget& budget = found->second;
    AdmissionDecision decision { .admitted = false, .basis = AdmissionBasis::Budget, .budget = budget.granted, .grantAge = std::chrono::duration_cast<Millis>(now - m_grantedAt), .retryAfter = retryAfterOf(budget.granted) };
    if (now >= m_expiresAt) {
        decision.basis = AdmissionBasis::SafeShare;
        decision.admitted = budget.safeShare.tryConsume(std::max(jobsPerSecond / m_entries, 1.0), now);
        return decision;
    }
    refill(budget, now);
    decision.budget.workMillis = static_cast<std::int64_t>(budget.remaining);
    decision.admitted = budget.remaining >= budget.threshold;
    if (decision.admitted) {
        budget.remaining -= static_cast<double>(declaredWork(job)) / milli * budget.granted.correction;
        budget.threshold = nextThreshold(budget);
    }
    return decision;
}

void AdmissionGate::refill(Budget& budget, MonotonicInstant now) const
{
    const double elapsedMillis = std::chrono::duration<double, std::milli>(now - std::exchange(budget.refilledAt, now)).count();
    budget.remaining += elapsedMillis * static_cast<double>(budget.granted.milliCpu) / milli;
}

double AdmissionGate::nextThreshold(const Budget& budget)
{
    return std::uniform_real_distribution<double>(0, static_cast<double>(budget.granted.jobMillis))(m_random);
}

Millis AdmissionGate::retryAfter(const std::string& queue, const std::string& organisation) const
{
    const auto found = m_budgets.find({ queue, organisation });
    return found == m_budgets.end() ? minRetryAfter : retryAfterOf(found->second.granted);
}

} // namespace lanemoor::jobs
