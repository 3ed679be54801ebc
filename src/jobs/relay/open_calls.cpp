#include "open_calls.h"

#include "lanemoor/jobs/model/response_time.h"

#include <utility>

namespace lanemoor::jobs {

void OpenCalls::add(std::uint64_t call, OpenCall open)
{
    m_byWorker[open.worker].calls.push_back(call);
    m_calls.emplace(call, std::move(open));
}

std::optional<OpenCall> OpenCalls::take(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return std::nullopt;
    OpenCall open = std::move(found->second);
    m_calls.erase(found);
    const auto of = m_byWorker.find(open.worker);
    std::erase(of->second.calls, call);
    of->second.overdue -= open.isOverdue ? 1 : 0;
    if (of->second.calls.empty())
        m_byWorker.erase(of);
    return open;
}

void OpenCalls::forget(const std::string& worker)
{
    const auto of = m_byWorker.find(worker);
    if (of == m_byWorker.end())
        return;
    for (const std::uint64_t call : of->second.calls)
        m_calls.erase(call);
    m_byWorker.erase(of);
}

std::vector<OpenCall> OpenCalls::markOverdue(const std::string& worker, MonotonicInstant now)
{
    std::vector<OpenCall> marked;
    const auto of = m_byWorker.find(worker);
    if (of == m_byWorker.end())
        return marked;
    for (const std::uint64_t call : of->second.calls) {
        OpenCall& open = m_calls.at(call);
        if (open.isOverdue || now - open.expectedAt < ResponseTime::minOverdue)
            continue;
        open.isOverdue = true;
        ++of->second.overdue;
        marked.push_back(open);
    }
    return marked;
}

std::set<std::string> OpenCalls::overduePaths(const std::string& worker) const
{
    std::set<std::string> paths;
    const auto of = m_byWorker.find(worker);
    if (of == m_byWorker.end() || of->second.overdue == 0)
        return paths;
    for (const std::uint64_t call : of->second.calls) {
        const OpenCall& open = m_calls.at(call);
        if (open.isOverdue)
            paths.insert(open.path);
    }
    return paths;
}

void OpenCalls::clear()
{
    m_calls.clear();
    m_byWorker.clear();
}

} // namespace lanemoor::jobs
