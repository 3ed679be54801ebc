#include "lanemoor/decisions/admission.h"

#include <algorithm>

namespace lanemoor {

namespace {

/// While a batch request waits, at least one of this many starts is a batch request.
constexpr std::uint32_t maxStartsPerBatch = 5;
/// A new run time has a weight of 1 / `smoothingDivisor` in the moving average.
constexpr std::int64_t smoothingDivisor = 8;
/// Lower bound of the retry delay in refusals.
constexpr Millis minRetryDelay { 100 };
constexpr std::array<RequestClass, 2> urgentClasses { RequestClass::Check, RequestClass::Order };

std::size_t indexOf(RequestClass requestClass) noexcept
{
    return static_cast<std::size_t>(requestClass);
}

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionLimits limits)
    : m_limits(limits)
{
}

void AdmissionQueue::setQuota(const std::string& team, std::uint32_t quota)
{
    m_teams[team].quota = quota;
}

Millis AdmissionQueue::expectedRunTime(RequestClass requestClass) const noexcept
{
    return m_runTime[indexOf(requestClass)];
}

Millis AdmissionQueue::expectedWait(RequestClass requestClass) const noexcept
{
    if (m_started.size() < m_limits.slots)
        return Millis(0);
    if (m_limits.slots == 0)
        return minRetryDelay;
    // Batch requests wait behind all others; urgent requests wait behind urgent ones only.
    std::int64_t ahead = 0;
    for (std::size_t other = 0; other < requestClassCount; ++other) {
        const bool isBatch = other == indexOf(RequestClass::Batch);
        if (!isBatch || requestClass == RequestClass::Batch)
            ahead += m_waitingByClass[other] * m_runTime[other].count();
    }
    return Millis(ahead / m_limits.slots);
}

std::optional<AdmissionRefusal> AdmissionQueue::offer(const Ticket& ticket, Instant now)
{
    const Millis wait = expectedWait(ticket.requestClass);
    const Instant retryAt = now + std::max(wait, minRetryDelay);
    if (now + wait + expectedRunTime(ticket.requestClass) > ticket.deadline)
        return AdmissionRefusal { .reason = RequestRefusal::DeadlinePassed, .retryAt = retryAt };
    TeamQueue& team = m_teams[ticket.team];
    if (team.quota > 0 && team.inFlight >= team.quota && ticket.requestClass != RequestClass::Batch)
        return AdmissionRefusal { .reason = RequestRefusal::TeamOverQuota, .retryAt = retryAt };
    if (m_waiting.size() >= m_limits.maxWaiting)
        return AdmissionRefusal { .reason = RequestRefusal::QueueFull, .retryAt = retryAt };
    team.waiting[indexOf(ticket.requestClass)].insert({ .deadline = ticket.deadline, .id = ticket.id });
    ++m_waitingByClass[indexOf(ticket.requestClass)];
    m_waiting.emplace(ticket.id, ticket);
    return std::nullopt;
}

bool AdmissionQueue::anyWaiting(RequestClass requestClass) const noexcept
{
    return m_waitingByClass[indexOf(requestClass)] > 0;
}

std::optional<std::uint64_t> AdmissionQueue::nextWaiting(RequestClass requestClass) const
{
    const TeamQueue* best = nullptr;
    double bestShare = 0;
    for (const auto& [name, team] : m_teams) {
        const std::set<WaitingKey>& waiting = team.waiting[indexOf(requestClass)];
        if (waiting.empty() || (team.quota > 0 && team.inFlight >= team.quota))
            continue;
        const double share = static_cast<double>(team.inFlight) / std::max<std::uint32_t>(team.quota, 1);
        const bool hasEarlierDeadline = best && share == bestShare && waiting.begin()->deadline < best->waiting[indexOf(requestClass)].begin()->deadline;
        if (!best || share < bestShare || hasEarlierDeadline) {
            best = &team;
            bestShare = share;
        }
    }
    if (!best)
        return std::nullopt;
    return best->waiting[indexOf(requestClass)].begin()->id;
}

std::optional<std::uint64_t> AdmissionQueue::start(Instant now)
{
    if (m_started.size() >= m_limits.slots)
        return std::nullopt;
    std::optional<std::uint64_t> next;
    const bool isBatchDue = anyWaiting(RequestClass::Batch) && m_startsSinceBatch + 1 >= maxStartsPerBatch;
    if (isBatchDue)
        next = nextWaiting(RequestClass::Batch);
    for (const RequestClass urgent : urgentClasses) {
        if (!next)
            next = nextWaiting(urgent);
    }
    if (!next)
        next = nextWaiting(RequestClass::Batch);
    if (!next)
        return std::nullopt;
    const Ticket ticket = m_waiting.at(*next);
    removeWaiting(ticket);
    ++m_teams[ticket.team].inFlight;
    m_started.emplace(ticket.id, Started { .ticket = ticket, .at = now });
    m_startsSinceBatch = ticket.requestClass == RequestClass::Batch ? 0 : m_startsSinceBatch + 1;
    return next;
}

std::vector<ExpiredTicket> AdmissionQueue::expire(Instant now)
{
    std::vector<ExpiredTicket> expired;
    for (const auto& [id, ticket] : m_waiting) {
        if (now + expectedRunTime(ticket.requestClass) <= ticket.deadline)
            continue;
        const Instant retryAt = now + std::max(expectedWait(ticket.requestClass), minRetryDelay);
        expired.push_back({ .id = id, .refusal = { .reason = RequestRefusal::DeadlinePassed, .retryAt = retryAt } });
    }
    for (const ExpiredTicket& ticket : expired)
        cancel(ticket.id);
    return expired;
}

void AdmissionQueue::finish(std::uint64_t id, Instant now)
{
    const auto started = m_started.find(id);
    if (started == m_started.end())
        return;
    updateExpectedRunTime(started->second.ticket.requestClass, now - started->second.at);
    cancel(id);
}

void AdmissionQueue::cancel(std::uint64_t id)
{
    const auto waiting = m_waiting.find(id);
    if (waiting != m_waiting.end()) {
        const Ticket ticket = waiting->second;
        removeWaiting(ticket);
        return;
    }
    const auto started = m_started.find(id);
    if (started == m_started.end())
        return;
    --m_teams[started->second.ticket.team].inFlight;
    m_started.erase(started);
}

void AdmissionQueue::removeWaiting(const Ticket& ticket)
{
    m_teams[ticket.team].waiting[indexOf(ticket.requestClass)].erase({ .deadline = ticket.deadline, .id = ticket.id });
    --m_waitingByClass[indexOf(ticket.requestClass)];
    m_waiting.erase(ticket.id);
}

void AdmissionQueue::updateExpectedRunTime(RequestClass requestClass, Millis ran) noexcept
{
    Millis& known = m_runTime[indexOf(requestClass)];
    known += (ran - known) / smoothingDivisor;
}

} // namespace lanemoor
