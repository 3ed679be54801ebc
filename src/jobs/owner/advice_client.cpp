#include "advice_client.h"

#include "lanemoor/jobs/model/fleet_control.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

constexpr std::size_t maxAnswers = 100'000; // About 100 bytes each.
constexpr std::size_t answersAfterEviction = maxAnswers * 3 / 4;
constexpr Millis minFailurePause { 100 };
constexpr std::uint32_t maxDoublings = 4; // Of the pause after consecutive failures.
constexpr Millis ticketMargin { 150 }; // Time for the start to reach the worker before the ticket expires.
/// Time for the next placement pass to use a ticket that is shorter than the margin and the call. The worker rejects it if it has expired.
constexpr Millis minTicketUse { 100 };

} // namespace

AdviceClient::AdviceClient(OwnerState& state)
    : m_state(state)
{
}

const StepAdvice& AdviceClient::adviceOn(const std::string& job, const StepId& step)
{
    static const StepAdvice none;
    const auto found = m_steps.find({ job, step });
    if (found == m_steps.end())
        return none;
    found->second.lastUsedAt = m_state.now();
    return found->second.advice;
}

void AdviceClient::query(const std::string& job, const StepId& step, const AdvicePolicy& policy, const std::vector<const WorkerRecord*>& workers)
{
    const Key key { job, step };
    if (workers.empty() || !m_pending.insert(key).second)
        return;
    Query query { .key = key, .policy = policy, .workers = {}, .queuedAt = m_state.now() };
    for (const WorkerRecord* worker : workers)
        query.workers.push_back({ worker->entry.id, worker->incarnation });
    m_queries.push_back(std::move(query));
    sendNext();
}

void AdviceClient::dropTicket(const std::string& job, const StepId& step, const WorkerRecord& worker)
{
    if (const auto found = m_steps.find({ job, step }); found != m_steps.end())
        found->second.advice.dropTicket(worker.incarnation);
}

/// \returns Whether no task of the step will start any more.
bool AdviceClient::isObsolete(const Key& key) const
{
    const OwnerJob* job = m_state.job(key.first);
    return !job || isFinal(job->state.status()) || !job->state.steps().contains(key.second);
}

void AdviceClient::sendNext()
{
    while (!m_isInFlight && !m_isPaused && !m_closed && !m_queries.empty()) {
        Query query = std::move(m_queries.front());
        m_queries.pop_front();
        if (isObsolete(query.key)) {
            m_pending.erase(query.key);
            eraseStep(query.key);
            continue;
        }
        m_isInFlight = true;
        std::vector<std::string> ids;
        for (const QueriedWorker& worker : query.workers)
            ids.push_back(worker.id);
        const auto& [job, step] = query.key;
        m_state.options.advisor->advise(job, step.occurrence, step.step, ids, [self = weak_from_this(), query, sentAt = m_state.now()](const Advice& advice) {
            const auto client = self.lock();
            if (client && !client->m_closed)
                client->handleAnswer(query, advice, sentAt);
        });
    }
}

/// An answer is about the incarnations of the time of the query: a later one under the same id is unasked.
void AdviceClient::handleAnswer(const Query& query, const Advice& advice, MonotonicInstant sentAt)
{
    m_isInFlight = false;
    m_pending.erase(query.key);
    logAnswer(query, advice, sentAt);
    if (m_state.options.adviceEnded)
        m_state.options.adviceEnded(advice.answered, m_state.now() - sentAt);
    if (!advice.answered) {
        pauseAfterFailure();
        return;
    }
    m_failures = 0;
    // The advisor may issue a ticket at any time between the call and its answer.
    const MonotonicInstant validUntil = std::max(sentAt + ticketValidity(query, advice) - ticketMargin, m_state.now() + minTicketUse);
    Step& step = m_steps[query.key];
    step.lastUsedAt = m_state.now();
    StepAdvice& known = step.advice;
    const std::size_t answersBefore = known.answers();
    for (const QueriedWorker& worker : query.workers) {
        const auto allowed = std::find_if(advice.workers.begin(), advice.workers.end(), [&](const AdvisedWorker& advised) { return advised.worker == worker.id; });
        if (allowed == advice.workers.end())
            known.refuse(worker.incarnation);
        else
            known.allow(worker.incarnation, allowed->ticket, validUntil);
    }
    m_answers += known.answers() - answersBefore;
    evict();
    m_state.requestPass();
    sendNext();
}

/// \returns The validity that the answer states, otherwise that of the queue's policy.
Millis AdviceClient::ticketValidity(const Query& query, const Advice& advice)
{
    return advice.validity.count() > 0 ? advice.validity : query.policy.validity;
}

void AdviceClient::pauseAfterFailure()
{
    m_isPaused = true;
    const Millis pause = minFailurePause * (1 << std::min(m_failures, maxDoublings));
    ++m_failures;
    m_state.options.loop->callAt(m_state.now() + pause, [self = weak_from_this()] {
        const auto client = self.lock();
        if (!client || client->m_closed)
            return;
        client->m_isPaused = false;
        client->m_state.requestPass();
        client->sendNext();
    });
}

/// Bounds the memory: drops the answers on obsolete steps, then those that were used least recently.
void AdviceClient::evict()
{
    if (m_answers <= maxAnswers)
        return;
    std::vector<std::pair<MonotonicInstant, Key>> byUse;
    for (const auto& [key, step] : m_steps)
        byUse.emplace_back(isObsolete(key) ? MonotonicInstant::min() : step.lastUsedAt, key);
    std::sort(byUse.begin(), byUse.end());
    for (const auto& [usedAt, key] : byUse) {
        if (m_answers <= answersAfterEviction && usedAt != MonotonicInstant::min())
            break;
        eraseStep(key);
    }
}

void AdviceClient::eraseStep(const Key& key)
{
    const auto found = m_steps.find(key);
    if (found == m_steps.end())
        return;
    m_answers -= found->second.advice.answers();
    m_steps.erase(found);
}

void AdviceClient::logAnswer(const Query& query, const Advice& advice, MonotonicInstant sentAt) const
{
    const auto millis = [](MonotonicInstant::duration time) { return std::chrono::duration_cast<Millis>(time).count(); };
    m_state.options.log->decision("advice-answered",
        { { "job", query.key.first }, { "step", std::int64_t { query.key.second.step } }, { "outcome", std::string(advice.answered ? "answered" : "failed") }, { "asked", static_cast<std::int64_t>(query.workers.size()) },
            { "allowed", static_cast<std::int64_t>(advice.workers.size()) }, { "ms", millis(m_state.now() - sentAt) }, { "queued_ms", millis(sentAt - query.queuedAt) }, { "valid_ms", std::int64_t { ticketValidity(query, advice).count() } } });
}

} // namespace lanemoor::jobs
