#include "hall_inventory.h"

#include "evacuation.h"

#include <algorithm>

namespace lanemoor::jobs {

HallInventory::HallInventory(const OwnerState& state, const FailureDomainStatus& status)
    : m_state(state)
    , m_status(status)
{
}

std::vector<HallReport> HallInventory::halls() const
{
    std::vector<HallReport> reports;
    for (const FailureDomain& hall : m_status.halls) {
        if (hall.state != FailureDomainState::Serving)
            reports.push_back(reportOf(hall));
    }
    return reports;
}

HallReport HallInventory::reportOf(const FailureDomain& hall) const
{
    const MonotonicInstant now = m_state.now();
    HallReport report { .dataHall = hall.dataHall, .state = hall.state, .forMillis = std::chrono::duration_cast<Millis>(now - hall.since).count(), .pools = {}, .emptyInMillis = std::nullopt };
    std::map<std::string, HallPoolReport> pools;
    MonotonicInstant expectedEmptyAt = now;
    for (const auto& [id, worker] : m_state.workers) {
        if (worker.entry.dataHall != hall.dataHall || (worker.session->hasIncarnationEnded() && worker.reservations.empty()))
            continue;
        HallPoolReport& pool = pools.try_emplace(worker.entry.pool, HallPoolReport { .pool = worker.entry.pool }).first->second;
        count(worker, pool);
        for (const auto& [attempt, reservation] : worker.reservations)
            expectedEmptyAt = reservation.step->longRunning ? expectedEmptyAt : std::max(expectedEmptyAt, reservation.expectedEnd);
    }
    bool endsByItself = true;
    for (auto& [name, pool] : pools) {
        endsByItself = endsByItself && pool.longTasks == 0;
        report.pools.push_back(std::move(pool));
    }
    if (endsByItself)
        report.emptyInMillis = std::chrono::duration_cast<Millis>(expectedEmptyAt - now).count();
    return report;
}

void HallInventory::count(const WorkerRecord& worker, HallPoolReport& pool) const
{
    ++pool.workers;
    const bool isUnreachable = worker.session->isUnresponsive() || worker.session->hasIncarnationEnded();
    for (const auto& [attempt, reservation] : worker.reservations) {
        const auto job = m_state.jobs.find(attempt.job);
        const TaskState* task = job == m_state.jobs.end() ? nullptr : job->second.state.find(attempt.task);
        const bool isStopping = task && task->live && task->live->number == attempt.number && task->live->phase == AttemptPhase::Stopping;
        pool.batchTasks += reservation.step->longRunning ? 0 : 1;
        pool.longTasks += reservation.step->longRunning ? 1 : 0;
        pool.stopping += isStopping ? 1 : 0;
        pool.unreachable += isUnreachable ? 1 : 0;
        const bool isHeld = reservation.step->longRunning && task && !isStopping && !mayDisrupt(m_state, job->second.state, attempt.task);
        pool.heldByBudget += isHeld ? 1 : 0;
    }
}

const FailureDomain* HallInventory::closedHallOf(const std::string& worker) const
{
    const auto found = m_state.workers.find(worker);
    const FailureDomain* hall = found == m_state.workers.end() ? nullptr : m_status.find(found->second.entry.dataHall);
    return hall && hall->state != FailureDomainState::Serving ? hall : nullptr;
}

std::vector<ClosedHallReport> HallInventory::closedFor(const std::vector<AttemptReport>& attempts, bool all) const
{
    std::vector<ClosedHallReport> reports;
    for (const FailureDomain& hall : m_status.halls) {
        if (hall.state == FailureDomainState::Serving)
            continue;
        const auto tasks = std::count_if(attempts.begin(), attempts.end(), [&](const AttemptReport& attempt) { return closedHallOf(attempt.worker) == &hall; });
        if (tasks > 0 || all)
            reports.push_back({ .dataHall = hall.dataHall, .state = std::string(nameOf(hall.state)), .tasks = static_cast<std::uint32_t>(tasks) });
    }
    return reports;
}

} // namespace lanemoor::jobs
