#include "owner_state.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

/// For jobs whose queue is gone: what the platform's configurations usually allow.
constexpr std::uint32_t attemptsWithoutQueue = 3;

} // namespace

OwnerJob* OwnerState::job(const std::string& id)
{
    const auto found = jobs.find(id);
    return found == jobs.end() ? nullptr : &found->second;
}

WorkerBook* OwnerState::worker(const std::string& id)
{
    const auto found = workers.find(id);
    return found == workers.end() ? nullptr : &found->second;
}

std::string OwnerState::poolOf(const JobState& job) const
{
    const QueueSettings* queue = configuration()->queue(job.record().queue);
    return queue ? queue->pool : job.record().pool;
}

std::uint32_t OwnerState::mostAttemptsOf(const JobState& job) const
{
    const QueueSettings* queue = configuration()->queue(job.record().queue);
    return queue ? std::max(queue->mostAttempts, 1U) : attemptsWithoutQueue;
}

std::string nameOf(const Attempt& attempt)
{
    return attempt.job + '/' + std::to_string(attempt.task.occurrence) + '/' + std::to_string(attempt.task.step) + '/' + std::to_string(attempt.task.index) + '#'
        + std::to_string(attempt.number);
}

} // namespace lanemoor::jobs
