#include "inherited_failures.h"

namespace lanemoor::jobs {

void InheritedFailures::reset(std::optional<std::set<std::string>> pools)
{
    m_isUnknown = !pools;
    m_pools = std::move(pools).value_or(std::set<std::string>());
    m_tasks.clear();
}

std::string InheritedFailures::text() const
{
    if (m_isUnknown)
        return "any";
    std::string text;
    for (const std::string& pool : m_pools)
        text += (text.empty() ? "" : ", ") + pool;
    return text;
}

} // namespace lanemoor::jobs
