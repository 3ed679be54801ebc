#include "advice_desk.h"

#include "lanemoor/jobs/model/fleet_control.h"

namespace lanemoor::jobs {

namespace {

constexpr std::size_t mostWorkersAsked = 30; // The advisor's response time grows with each worker.
constexpr std::size_t mostAnswersKept = 2'000; // About 100 bytes each, not counting the tickets.
constexpr Millis pauseAfterNoAnswer { 100 };
constexpr Millis ticketMargin { 150 }; // Time for the start to reach the worker before the ticket expires.

} // namespace

AdviceDesk::AdviceDesk(OwnerState& state)
    : m_state(state)
{
}

const std::map<std::string, std::string>* AdviceDesk::ticketsFor(const std::string& job, const StepId& step, const std::vector<std::string>& workers)
{
    const Key key { job, step };
    const auto found = m_answers.find(key);
    if (found != m_answers.end() && m_state.now() < found->second.validUntil)
        return &found->second.tickets;
    if (workers.empty() || !m_asked.insert(key).second)
        return nullptr;
    Question question { key, workers };
    if (question.workers.size() > mostWorkersAsked)
        question.workers.resize(mostWorkersAsked);
    m_questions.push_back(std::move(question));
    askNext();
    return nullptr;
}

void AdviceDesk::forget(const std::string& job, const StepId& step)
{
    m_answers.erase({ job, step });
}

void AdviceDesk::askNext()
{
    if (m_asking || m_closed || m_questions.empty())
        return;
    const Question question = std::move(m_questions.front());
    m_questions.pop_front();
    const auto& [job, step] = question.key;
    if (!m_state.job(job) || isFinal(m_state.job(job)->state.status())) {
        m_asked.erase(question.key);
        askNext();
        return;
    }
    m_asking = true;
    const MonotonicInstant sentAt = m_state.now();
    m_state.options.advisor->advise(job, step.occurrence, step.step, question.workers, [self = weak_from_this(), key = question.key, sentAt](const Advice& advice) {
        const auto desk = self.lock();
        if (!desk || desk->m_closed)
            return;
        desk->m_asking = false;
        desk->m_asked.erase(key);
        if (!advice.answered) {
            desk->m_state.options.loop->callAt(desk->m_state.now() + pauseAfterNoAnswer, [self] {
                if (const auto waiting = self.lock(); waiting && !waiting->m_closed) {
                    waiting->m_state.requestPass();
                    waiting->askNext();
                }
            });
            return;
        }
        if (desk->m_answers.size() >= mostAnswersKept)
            std::erase_if(desk->m_answers, [&](const auto& entry) { return entry.second.validUntil < desk->m_state.now(); });
        Answer& answer = desk->m_answers[key];
        answer.tickets.clear();
        for (const AdvisedWorker& worker : advice.workers)
            answer.tickets[worker.worker] = worker.ticket;
        answer.validUntil = sentAt + advice.validity - ticketMargin;
        desk->m_state.requestPass();
        desk->askNext();
    });
}

} // namespace lanemoor::jobs
