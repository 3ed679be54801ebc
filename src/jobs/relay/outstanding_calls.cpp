#include "outstanding_calls.h"

#include "lanemoor/jobs/model/response_time.h"

#include <utility>

namespace lanemoor::jobs {

void OutstandingCalls::add(std::uint64_t call, OutstandingCall outstanding)
{
    m_byWorker[outstanding.worker].calls.push_back(call);
    m_calls.emplace(call, std::move(outstanding));
}

std::optional<OutstandingCall> OutstandingCalls::take(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return std::nullopt;
    OutstandingCall outstanding = std::move(found->second);
    m_calls.erase(found);
    const auto workerCalls = m_byWorker.find(outstanding.worker);
    std::erase(workerCalls->second.calls, call);
    workerCalls->second.overdue -= outstanding.isOverdue ? 1 : 0;
    if (workerCalls->second.calls.empty())
        m_byWorker.erase(workerCalls);
    return outstanding;
}

void OutstandingCalls::removeCallsTo(const std::string& worker)
{
    const auto workerCalls = m_byWorker.find(worker);
    if (workerCalls == m_byWorker.end())
        return;
    for (const std::uint64_t call : workerCalls->second.calls)
        m_calls.erase(call);
    m_byWorker.erase(workerCalls);
}

std::vector<OutstandingCall> OutstandingCalls::markOverdue(const std::string& worker, MonotonicInstant now)
{
    std::vector<OutstandingCall> marked;
    const auto workerCalls = m_byWorker.find(worker);
    if (workerCalls == m_byWorker.end())
        return marked;
    for (const std::uint64_t call : workerCalls->second.calls) {
        OutstandingCall& outstanding = m_calls.at(call);
        if (outstanding.isOverdue || now - outstanding.expectedAt < ResponseTime::minOverdue)
            continue;
        outstanding.isOverdue = true;
        ++workerCalls->second.overdue;
        marked.push_back(outstanding);
    }
    return marked;
}

std::set<std::string> OutstandingCalls::overduePaths(const std::string& worker) const
{
    std::set<std::string> paths;
    const auto workerCalls = m_byWorker.find(worker);
    if (workerCalls == m_byWorker.end() || workerCalls->second.overdue == 0)
        return paths;
    for (const std::uint64_t call : workerCalls->second.calls) {
        const OutstandingCall& outstanding = m_calls.at(call);
        if (outstanding.isOverdue)
            paths.insert(outstanding.path);
    }
    return paths;
}

void OutstandingCalls::clear()
{
    m_calls.clear();
    m_byWorker.clear();
}

} // namespace lanemoor::jobs
