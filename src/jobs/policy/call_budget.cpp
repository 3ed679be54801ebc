#include "lanemoor/jobs/policy/call_budget.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace lanemoor::jobs {

CallBudget::CallBudget(double perSecond, MonotonicInstant now)
    : m_perSecond(perSecond)
    , m_tokens(perSecond)
    , m_filledAt(now)
{
}

std::size_t CallBudget::available(MonotonicInstant now)
{
    if (m_perSecond <= 0)
        return std::numeric_limits<std::size_t>::max();
    const double passed = std::chrono::duration<double>(now - m_filledAt).count();
    m_filledAt = now;
    m_tokens = std::min(m_tokens + passed * m_perSecond, m_perSecond);
    return static_cast<std::size_t>(std::max(m_tokens, 0.0));
}

void CallBudget::consume(std::size_t calls)
{
    m_tokens -= static_cast<double>(calls);
}

} // namespace lanemoor::jobs
