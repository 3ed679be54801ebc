#include "advisor_model.h"

#include "workers_model.h"

#include <algorithm>

namespace lanemoor::model {

namespace {

using namespace jobs;

constexpr std::size_t maxWorkersPerCall = 100;
constexpr std::size_t maxWaitingCalls = 32;
constexpr Millis refusalTime { 2 };
constexpr Millis callTimeout { 2'000 }; // Client timeout.

} // namespace

std::string stepName(const std::string& job, std::uint32_t occurrence, std::uint32_t step)
{
    return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step);
}

void AdvisorModel::advise(const void* caller, const std::string& step, const std::vector<std::string>& workers, std::function<void(Advice)> done)
{
    ++m_calls;
    if (workers.size() > maxWorkersPerCall && onMisuse)
        onMisuse("a call to the advisor names " + std::to_string(workers.size()) + " workers");
    if (isSilent) {
        m_clock.after(callTimeout, [done] { done({}); });
        return;
    }
    Caller& queue = m_callers[caller];
    if (queue.waiting >= maxWaitingCalls || workers.size() > maxWorkersPerCall) {
        m_clock.after(refusalTime, [done] { done({}); });
        return;
    }
    ++queue.waiting;
    queue.freeAt = std::max(queue.freeAt, m_clock.now()) + decisionTime + timePerWorker * static_cast<int>(workers.size());
    m_clock.at(queue.freeAt, [this, caller, step, workers, done = std::move(done)] {
        --m_callers[caller].waiting;
        done(decide(step, workers));
    });
}

Advice AdvisorModel::decide(const std::string& step, const std::vector<std::string>& workers)
{
    Advice advice { .answered = true, .workers = {}, .validity = validity };
    for (const std::string& id : workers) {
        const WorkerModel* worker = find ? find(id) : nullptr;
        if (!worker || !worker->alive || (admits && !admits(*worker, step)))
            continue;
        const std::string ticket = "ticket-" + std::to_string(++m_lastTicket);
        m_tickets[ticket] = { .step = step, .incarnation = worker->incarnation, .validUntil = m_clock.now() + validity };
        advice.workers.push_back({ id, ticket });
    }
    return advice;
}

bool AdvisorModel::accepts(const WorkerModel& worker, const StartCommand& command) const
{
    if (!needsTicket || !needsTicket(command.attempt.job))
        return true;
    const auto ticket = m_tickets.find(command.ticket);
    return ticket != m_tickets.end() && ticket->second.incarnation == worker.incarnation && m_clock.now() < ticket->second.validUntil
        && ticket->second.step == stepName(command.attempt.job, command.attempt.task.occurrence, command.attempt.task.step);
}

} // namespace lanemoor::model
