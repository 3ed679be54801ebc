#include "advice_client.h"

#include "lanemoor/jobs/model/fleet_control.h"

namespace lanemoor::jobs {

namespace {

constexpr std::size_t maxWorkersPerQuery = 30; // The advisor's response time grows with each worker.
constexpr std::size_t maxCachedAnswers = 2'000; // About 100 bytes each, not counting the tickets.
constexpr Millis retryDelay { 100 };
constexpr Millis ticketMargin { 150 }; // Time for the start to reach the worker before the ticket expires.

} // namespace

AdviceClient::AdviceClient(OwnerState& state)
    : m_state(state)
{
}

const std::map<std::string, std::string>* AdviceClient::ticketsFor(const std::string& job, const StepId& step, const std::vector<std::string>& workers)
{
    const Key key { job, step };
    const auto found = m_answers.find(key);
    if (found != m_answers.end() && m_state.now() < found->second.validUntil)
        return &found->second.tickets;
    if (workers.empty() || !m_pending.insert(key).second)
        return nullptr;
    Query query { key, workers };
    if (query.workers.size() > maxWorkersPerQuery)
        query.workers.resize(maxWorkersPerQuery);
    m_queries.push_back(std::move(query));
    sendNext();
    return nullptr;
}

void AdviceClient::dropAnswer(const std::string& job, const StepId& step)
{
    m_answers.erase({ job, step });
}

void AdviceClient::sendNext()
{
    if (m_isInFlight || m_closed || m_queries.empty())
        return;
    const Query query = std::move(m_queries.front());
    m_queries.pop_front();
    const auto& [job, step] = query.key;
    if (!m_state.job(job) || isFinal(m_state.job(job)->state.status())) {
        m_pending.erase(query.key);
        sendNext();
        return;
    }
    m_isInFlight = true;
    const MonotonicInstant sentAt = m_state.now();
    m_state.options.advisor->advise(job, step.occurrence, step.step, query.workers, [self = weak_from_this(), key = query.key, sentAt](const Advice& advice) {
        const auto client = self.lock();
        if (!client || client->m_closed)
            return;
        client->m_isInFlight = false;
        client->m_pending.erase(key);
        if (!advice.answered) {
            client->m_state.options.loop->callAt(client->m_state.now() + retryDelay, [self] {
                if (const auto waiting = self.lock(); waiting && !waiting->m_closed) {
                    waiting->m_state.requestPass();
                    waiting->sendNext();
                }
            });
            return;
        }
        if (client->m_answers.size() >= maxCachedAnswers)
            std::erase_if(client->m_answers, [&](const auto& entry) { return entry.second.validUntil < client->m_state.now(); });
        Answer& answer = client->m_answers[key];
        answer.tickets.clear();
        for (const AdvisedWorker& worker : advice.workers)
            answer.tickets[worker.worker] = worker.ticket;
        answer.validUntil = sentAt + advice.validity - ticketMargin;
        client->m_state.requestPass();
        client->sendNext();
    });
}

} // namespace lanemoor::jobs
