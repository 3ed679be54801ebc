#include "lanemoor/jobs/store/store_condition_tracker.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

/// Calls of one kind fail if this many are unanswered over at least this time. Simultaneous failures may have one cause, such as a
/// closed connection.
constexpr std::uint32_t minFailures = 2;
constexpr Millis minFailureDuration { 100 };

} // namespace

std::string_view nameOf(StoreCallKind kind) noexcept
{
    return kind == StoreCallKind::Read ? "read" : "write";
}

StoreConditionTracker::StoreConditionTracker(MonotonicInstant now) noexcept
    : m_condition { .state = StoreState::Writing, .since = now }
{
}

bool StoreConditionTracker::note(StoreCallKind kind, StoreOutcome outcome, MonotonicInstant sentAt, MonotonicInstant now) noexcept
{
    if (outcome == StoreOutcome::NotDone || outcome == StoreOutcome::Unknown)
        noteFailed(kind, outcome, sentAt);
    else
        noteAnswered(kind, sentAt);
    const StoreState state = stateAt(now);
    if (state == m_condition.state)
        return false;
    const std::optional<MonotonicInstant> failedSince = evidenceOf(kind).failedSince;
    m_condition = { .state = state, .since = failedSince.value_or(sentAt) };
    return true;
}

MonotonicInstant StoreConditionTracker::answeredAt() const noexcept
{
    return std::max(m_evidence[0].answeredAt, m_evidence[1].answeredAt);
}

void StoreConditionTracker::noteAnswered(StoreCallKind kind, MonotonicInstant sentAt) noexcept
{
    Evidence& evidence = evidenceOf(kind);
    evidence.answeredAt = std::max(evidence.answeredAt, sentAt);
    // An answer to a call sent before the first failure does not show that the outage is over.
    if (evidence.failedSince && sentAt <= *evidence.failedSince)
        return;
    evidence = { .answeredAt = evidence.answeredAt };
    if (!isOutage(m_condition.state) || sentAt <= m_condition.since)
        return;
    // Calls sent during the outage still time out, and are no evidence for the time after it.
    for (Evidence& each : m_evidence)
        each = { .answeredAt = std::max(each.answeredAt, sentAt) };
}

void StoreConditionTracker::noteFailed(StoreCallKind kind, StoreOutcome outcome, MonotonicInstant sentAt) noexcept
{
    Evidence& evidence = evidenceOf(kind);
    if (sentAt <= evidence.answeredAt)
        return;
    evidence.failedSince = std::min(evidence.failedSince.value_or(sentAt), sentAt);
    ++evidence.failures;
    m_lastFailure = outcome;
}

bool StoreConditionTracker::isFailing(const Evidence& evidence, MonotonicInstant now) noexcept
{
    return evidence.failures >= minFailures && now - *evidence.failedSince >= minFailureDuration;
}

StoreState StoreConditionTracker::stateAt(MonotonicInstant now) noexcept
{
    const Evidence& reads = evidenceOf(StoreCallKind::Read);
    const Evidence& writes = evidenceOf(StoreCallKind::Write);
    const bool readsFail = isFailing(reads, now);
    const bool writesFail = isFailing(writes, now);
    if (!readsFail && !writesFail)
        return StoreState::Writing;
    if (writesFail && reads.answeredAt > *writes.failedSince)
        return StoreState::ReadingOnly;
    if (readsFail && !writesFail && writes.answeredAt > *reads.failedSince)
        return StoreState::Writing;
    return m_lastFailure == StoreOutcome::NotDone ? StoreState::Refused : StoreState::Unresponsive;
}

} // namespace lanemoor::jobs
