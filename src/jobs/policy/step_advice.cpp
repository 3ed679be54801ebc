#include "lanemoor/jobs/policy/step_advice.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// The response time of a call grows with each worker in it.
constexpr std::size_t firstCallWorkers = 30;

/// \returns The max number of workers in a call after `answers` answers: each call may double their number.
std::size_t callSize(std::size_t answers)
{
    return std::clamp(answers, firstCallWorkers, maxWorkersPerAdviceCall);
}

/// \returns Candidates without an answer, likely ones first; none if none of them has room: they are asked once they have.
std::vector<std::size_t> unaskedByLikelihood(const std::vector<AdviceCandidate>& candidates)
{
    std::vector<std::size_t> unasked;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].state == AdviceState::Unasked)
            unasked.push_back(i);
    }
    std::stable_sort(unasked.begin(), unasked.end(), [&](std::size_t a, std::size_t b) { return std::pair(candidates[a].hasRoom, candidates[a].isNear) > std::pair(candidates[b].hasRoom, candidates[b].isNear); });
    if (!unasked.empty() && !candidates[unasked.front()].hasRoom)
        unasked.clear();
    return unasked;
}

/// \returns The allowed candidates whose tickets a call should renew.
std::vector<std::size_t> renewable(const std::vector<AdviceCandidate>& candidates, const AdviceNeed& need)
{
    const std::set<std::size_t> places(need.allowedPlaces.begin(), need.allowedPlaces.end());
    std::vector<std::size_t> expired;
    std::copy_if(places.begin(), places.end(), std::back_inserter(expired), [&](std::size_t index) { return !candidates[index].hasTicket; });
    if (!need.isGang || expired.empty())
        return expired;
    // All tickets of a gang are renewed together, so that none expires while others are awaited. Those of an incomplete gang are of no use.
    if (!need.isMet())
        return {};
    std::copy_if(places.begin(), places.end(), std::back_inserter(expired), [&](std::size_t index) { return candidates[index].hasTicket; });
    return expired;
}

} // namespace

AdviceState StepAdvice::stateOf(Incarnation incarnation) const
{
    const auto found = m_answers.find(incarnation);
    if (found == m_answers.end())
        return AdviceState::Unasked;
    return found->second.isAllowed ? AdviceState::Allowed : AdviceState::Refused;
}

const std::string* StepAdvice::ticketOf(Incarnation incarnation, MonotonicInstant now) const
{
    const auto found = m_answers.find(incarnation);
    const bool isValid = found != m_answers.end() && !found->second.ticket.empty() && now < found->second.validUntil;
    return isValid ? &found->second.ticket : nullptr;
}

void StepAdvice::allow(Incarnation incarnation, std::string ticket, MonotonicInstant validUntil)
{
    m_answers[incarnation] = { .isAllowed = true, .ticket = std::move(ticket), .validUntil = validUntil };
}

void StepAdvice::refuse(Incarnation incarnation)
{
    m_answers[incarnation] = {};
}

void StepAdvice::dropTicket(Incarnation incarnation)
{
    const auto found = m_answers.find(incarnation);
    if (found != m_answers.end())
        found->second.ticket.clear();
}

std::vector<std::size_t> selectForAdvice(const std::vector<AdviceCandidate>& candidates, const AdviceNeed& need, std::size_t answers)
{
    std::vector<std::size_t> selected = renewable(candidates, need);
    const std::size_t limit = std::min(std::max(callSize(answers), selected.size()), maxWorkersPerAdviceCall);
    if (!need.isMet()) {
        const std::vector<std::size_t> unasked = unaskedByLikelihood(candidates);
        selected.insert(selected.end(), unasked.begin(), unasked.end());
    }
    selected.resize(std::min(selected.size(), limit));
    return selected;
}

} // namespace lanemoor::jobs
