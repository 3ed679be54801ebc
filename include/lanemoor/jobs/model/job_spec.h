#pragma once
/// \file
/// A job as its caller describes it: steps of tasks, with what each task needs.

#include "lanemoor/decisions/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// What a task needs, or an instance has.
struct Resources {
    std::int64_t milliCpu = 0; ///< Thousandths of a core.
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    [[nodiscard]] bool operator==(const Resources&) const = default;

    /// \returns Whether `needed` fits into this.
    [[nodiscard]] bool covers(const Resources& needed) const noexcept;

    Resources& operator+=(const Resources& other) noexcept;
    Resources& operator-=(const Resources& other) noexcept;
};

/// A step: `count` tasks that are alike.
struct StepSpec {
    std::uint32_t count = 0;
    Resources needs; ///< Of each task.
    Millis estimate { 0 }; ///< Of a task's run time, as the caller guesses.
    std::vector<std::uint32_t> dependsOn; ///< Steps of which every task must have succeeded.
    bool checkpointing = false;
    bool gang = false; ///< The tasks work only all together.
    bool sameRack = false; ///< A gang slows down if spread over racks.
    std::string requiredLabel; ///< An instance must have it; empty: any instance will do.
    std::string preferredRack; ///< Where the data lies; tasks are slower elsewhere.
    std::uint32_t mostPerInstance = 0; ///< Tasks on one instance; 0: no limit.
    bool speculative = false; ///< Copies may run side by side.
    bool longRunning = false; ///< Runs until the job is cancelled; restarted however it ends.
    std::string image; ///< Tasks of one image behave alike.
    Millis latencyTarget { 0 }; ///< For the tail of a serving task's own answers; 0: does not serve.
    bool bestEffort = false; ///< Takes what processor time the others leave.
    std::uint32_t disruptionBudget = 0; ///< Tasks of a long-running step that may be away at once; 0: no budget.

    [[nodiscard]] bool operator==(const StepSpec&) const = default;
};

/// A job.
struct JobSpec {
    std::string payload; ///< Handed to each task as it is.
    std::vector<StepSpec> steps;
    std::uint32_t occurrences = 0; ///< Times that the steps run; 0: once, at once.
    Instant firstStart; ///< Due time of the first occurrence.
    Millis interval { 0 }; ///< Between due times.

    [[nodiscard]] bool operator==(const JobSpec&) const = default;
};

/// What is wrong with a job's description.
enum class JobFault {
    Malformed, ///< Not an object of the expected form.
    BadId,
    PayloadTooLong,
    NoSteps,
    TooManyTasks,
    EmptyStep,
    UnknownDependency,
    CyclicDependency,
    BadNumber,
};

/// \returns A short English text for `fault`.
[[nodiscard]] std::string_view describe(JobFault fault) noexcept;

constexpr std::size_t mostPayloadBytes = 4'000; // The platform's limit for what a task is handed.
constexpr std::uint32_t mostTasksOfJob = 20'000; // Keeps one job's progress below a tenth of a value's limit.

/// \returns What is wrong with `job`, or nothing.
[[nodiscard]] std::optional<JobFault> faultOf(const JobSpec& job);

/// \returns Whether `text` is 16 lower-case hexadecimal digits.
[[nodiscard]] bool isJobId(std::string_view text) noexcept;

/// Names one task of a job.
struct TaskId {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    [[nodiscard]] auto operator<=>(const TaskId&) const = default;
};

/// How a job stands.
enum class JobStatus {
    Queued, ///< None of its tasks has begun.
    Running,
    Succeeded,
    Failed,
    Cancelled,
};

/// \returns Whether nothing more will run under a job of this status.
[[nodiscard]] constexpr bool isFinal(JobStatus status) noexcept
{
    return status == JobStatus::Succeeded || status == JobStatus::Failed || status == JobStatus::Cancelled;
}

/// \returns A short name of `status`.
[[nodiscard]] std::string_view nameOf(JobStatus status) noexcept;

/// \returns The sum of estimates along the longest chain of steps.
[[nodiscard]] Millis longestChain(const JobSpec& spec);

/// \returns Declared work of all tasks of one occurrence, thousandths of a core times ms.
[[nodiscard]] std::int64_t declaredWork(const JobSpec& job) noexcept;

/// \returns Whether the job has an objective: one that recurs or lasts has none.
[[nodiscard]] bool hasObjective(const JobSpec& job) noexcept;

} // namespace lanemoor::jobs
