#include "lanemoor/jobs/model/job_spec.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

bool hasBadNumber(const StepSpec& step)
{
    return step.needs.milliCpu < 0 || step.needs.memoryMb < 0 || step.needs.accelerators < 0 || step.estimate.count() < 0
        || step.latencyTarget.count() < 0;
}

bool isOutOfRange(const StepSpec& step)
{
    return !Resources { .milliCpu = maxResource, .memoryMb = maxResource, .accelerators = maxResource }.covers(step.needs) || step.estimate > maxDuration || step.latencyTarget > maxDuration;
}

/// \returns Whether the steps can be ordered so that each follows what it depends on.
bool isAcyclic(const std::vector<StepSpec>& steps)
{
    std::vector<bool> placed(steps.size(), false);
    std::size_t count = 0;
    for (bool progress = true; progress;) {
        progress = false;
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const auto isPlaced = [&](std::uint32_t step) { return placed[step]; };
            if (placed[i] || !std::all_of(steps[i].dependsOn.begin(), steps[i].dependsOn.end(), isPlaced))
                continue;
            placed[i] = true;
            progress = true;
            ++count;
        }
    }
    return count == steps.size();
}

std::optional<JobFault> faultOf(const StepSpec& step, std::size_t steps)
{
    if (step.count == 0)
        return JobFault::EmptyStep;
    if (hasBadNumber(step))
        return JobFault::BadNumber;
    if (isOutOfRange(step))
        return JobFault::OutOfRange;
    for (const std::uint32_t dependency : step.dependsOn) {
        if (dependency >= steps)
            return JobFault::UnknownDependency;
    }
    return std::nullopt;
}

} // namespace

bool Resources::covers(const Resources& needed) const noexcept
{
    return needed.milliCpu <= milliCpu && needed.memoryMb <= memoryMb && needed.accelerators <= accelerators;
}

Resources& Resources::operator+=(const Resources& other) noexcept
{
    milliCpu += other.milliCpu;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other) noexcept
{
    milliCpu -= other.milliCpu;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

std::string_view describe(JobFault fault) noexcept
{
    switch (fault) {
    case JobFault::Malformed:
        return "the job is not an object of the expected form";
    case JobFault::BadId:
        return "a job's id has 16 lower-case hexadecimal digits";
    case JobFault::PayloadTooLong:
        return "the payload has more than 4000 bytes";
    case JobFault::NoSteps:
        return "the job has no steps";
    case JobFault::TooManyTasks:
        return "the job has more than 20000 tasks";
    case JobFault::EmptyStep:
        return "a step has no tasks";
    case JobFault::UnknownDependency:
        return "a step depends on a step that is not there";
    case JobFault::CyclicDependency:
        return "steps depend on each other in a circle";
    case JobFault::BadNumber:
        return "a number is negative or not whole";
    case JobFault::OutOfRange:
        return "a number is beyond its limit: 10^9 for a resource, 365 days for a time, 1000 years for a start";
    }
    return "unknown fault";
}

std::optional<JobFault> faultOf(const JobSpec& job)
{
    if (job.payload.size() > maxPayloadBytes)
        return JobFault::PayloadTooLong;
    if (job.steps.empty())
        return JobFault::NoSteps;
    std::uint64_t tasks = 0;
    for (const StepSpec& step : job.steps) {
        if (const std::optional<JobFault> fault = faultOf(step, job.steps.size()))
            return fault;
        tasks += step.count;
    }
    if (job.interval.count() < 0)
        return JobFault::BadNumber;
    // The product of the counts may exceed 64 bits.
    if (tasks > maxTasksPerJob || job.occurrences > maxTasksPerJob / tasks)
        return JobFault::TooManyTasks;
    if (job.interval > maxDuration || !isInRange(job.firstStart))
        return JobFault::OutOfRange;
    if (!isAcyclic(job.steps))
        return JobFault::CyclicDependency;
    return std::nullopt;
}

bool isInRange(Instant instant) noexcept
{
    return instant <= maxStart && instant.time_since_epoch() >= -maxStart.time_since_epoch();
}

bool isJobId(std::string_view text) noexcept
{
    constexpr std::size_t idDigits = 16;
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == idDigits && std::all_of(text.begin(), text.end(), isDigit);
}

std::string_view nameOf(JobStatus status) noexcept
{
    switch (status) {
    case JobStatus::Queued:
        return "queued";
    case JobStatus::Running:
        return "running";
    case JobStatus::Succeeded:
        return "succeeded";
    case JobStatus::Failed:
        return "failed";
    case JobStatus::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

Millis criticalPathDuration(const JobSpec& spec)
{
    std::vector<Millis> ends(spec.steps.size(), Millis(0));
    // Dependencies may point forwards, so the longest path is found by relaxation.
    for (std::size_t round = 0; round < spec.steps.size(); ++round) {
        for (std::size_t i = 0; i < spec.steps.size(); ++i) {
            Millis begin(0);
            for (const std::uint32_t dependency : spec.steps[i].dependsOn)
                begin = std::max(begin, ends[dependency]);
            ends[i] = std::min(begin + spec.steps[i].estimate, maxDuration);
        }
    }
    return ends.empty() ? Millis(0) : *std::max_element(ends.begin(), ends.end());
}

std::int64_t declaredWork(const StepSpec& step) noexcept
{
    // The product may exceed 64 bits; below the limit it is exact.
    const double work = static_cast<double>(step.count) * static_cast<double>(step.needs.milliCpu) * static_cast<double>(step.estimate.count());
    return work < static_cast<double>(maxDeclaredWork) ? static_cast<std::int64_t>(work) : maxDeclaredWork;
}

std::int64_t declaredWork(const JobSpec& job) noexcept
{
    std::int64_t work = 0;
    for (const StepSpec& step : job.steps)
        work = std::min(work + declaredWork(step), maxDeclaredWork);
    return work;
}

bool hasObjective(const JobSpec& job) noexcept
{
    return job.occurrences == 0 && std::none_of(job.steps.begin(), job.steps.end(), [](const StepSpec& step) { return step.longRunning; });
}

} // namespace lanemoor::jobs
