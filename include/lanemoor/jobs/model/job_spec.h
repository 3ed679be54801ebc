#pragma once
/// \file
/// A job's specification: steps of tasks with their resource needs and constraints.

#include "lanemoor/decisions/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// Resources that a task needs or an instance has.
struct Resources {
    std::int64_t milliCpu = 0; ///< Thousandths of a core.
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    [[nodiscard]] bool operator==(const Resources&) const = default;

    /// \returns Whether `needed` fits into these resources.
    [[nodiscard]] bool covers(const Resources& needed) const noexcept;

    Resources& operator+=(const Resources& other) noexcept;
    Resources& operator-=(const Resources& other) noexcept;
};

/// A step: `count` identical tasks.
struct StepSpec {
    std::uint32_t count = 0;
    Resources needs; ///< Of each task.
    Millis estimate { 0 }; ///< The caller's estimate of a task's run time.
    std::vector<std::uint32_t> dependsOn; ///< Steps of which every task must have succeeded.
    bool checkpointing = false;
    bool gang = false; ///< The tasks must all run at the same time.
    bool sameRack = false; ///< A gang that is slower if spread over racks.
    std::string requiredLabel; ///< Label that the instance must have; empty: any instance.
    std::string preferredRack; ///< The rack with the data; tasks are slower elsewhere.
    std::uint32_t maxPerInstance = 0; ///< Maximum number of these tasks on one instance; 0: no limit.
    bool speculative = false; ///< Copies of a task may run concurrently.
    bool longRunning = false; ///< Runs until the job is cancelled; restarted however it ends.
    std::string image; ///< Tasks of one image are assumed to behave alike.
    Millis latencyTarget { 0 }; ///< For the tail latency of a serving task's responses; 0: does not serve.
    bool bestEffort = false; ///< Uses only processor time that other tasks leave idle.
    std::uint32_t disruptionBudget = 0; ///< Maximum number of unavailable tasks of a long-running step; 0: no budget.

    [[nodiscard]] bool operator==(const StepSpec&) const = default;
};

struct JobSpec {
    std::string payload; ///< Passed unchanged to each task.
    std::vector<StepSpec> steps;
    std::uint32_t occurrences = 0; ///< Number of times that the steps run; 0: once, immediately.
    Instant firstStart; ///< Due time of the first occurrence.
    Millis interval { 0 }; ///< Between due times.

    [[nodiscard]] bool operator==(const JobSpec&) const = default;
};

/// The first fault found in a job's specification.
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
    OutOfRange, ///< A number is beyond its limit.
};

/// \returns A short English text for `fault`.
[[nodiscard]] std::string_view describe(JobFault fault) noexcept;

constexpr std::size_t maxPayloadBytes = 4'000; // The platform's limit on a task's payload.
constexpr std::uint32_t maxTasksPerJob = 20'000; // Keeps a job's progress record below a tenth of the store's size limit for a value.

constexpr std::int64_t maxResource = 1'000'000'000; // Of each kind, of a task or an instance. Products of two of them fit into 64 bits.
constexpr Millis maxDuration { std::chrono::hours(24 * 365) }; // The sums over all tasks of a job stay within the range of the clocks.
constexpr Instant maxStart { std::chrono::hours(24 * 365 * 1'000) }; // Due times of all occurrences stay within the range of the clocks.

/// \returns Whether computations with the instant stay within the range of the clocks.
[[nodiscard]] bool isInRange(Instant instant) noexcept;

/// \returns A fault of `job`, or nothing. Records from the store are checked too: another version may have written them.
[[nodiscard]] std::optional<JobFault> faultOf(const JobSpec& job);

/// \returns Whether `text` is 16 lower-case hexadecimal digits.
[[nodiscard]] bool isJobId(std::string_view text) noexcept;

/// Identifies one task of a job.
struct TaskId {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    [[nodiscard]] auto operator<=>(const TaskId&) const = default;
};

/// Status of a job.
enum class JobStatus {
    Queued, ///< None of its tasks has begun.
    Running,
    Succeeded,
    Failed,
    Cancelled,
};

/// \returns Whether no task of a job with this status will start any more.
[[nodiscard]] constexpr bool isFinal(JobStatus status) noexcept
{
    return status == JobStatus::Succeeded || status == JobStatus::Failed || status == JobStatus::Cancelled;
}

/// \returns A short name of `status`.
[[nodiscard]] std::string_view nameOf(JobStatus status) noexcept;

/// \returns The duration of the critical path: the largest sum of estimates along a chain of dependent steps, up to `maxDuration`.
[[nodiscard]] Millis criticalPathDuration(const JobSpec& spec);

constexpr std::int64_t maxDeclaredWork = 1'000'000'000'000'000; // 11,000 core-days. Sums over thousands of jobs fit into 64 bits.

/// \returns The declared work of all tasks of a step, in thousandths of a core times ms, up to `maxDeclaredWork`.
[[nodiscard]] std::int64_t declaredWork(const StepSpec& step) noexcept;

/// \returns The declared work of all tasks of one occurrence, in thousandths of a core times ms, up to `maxDeclaredWork`.
[[nodiscard]] std::int64_t declaredWork(const JobSpec& job) noexcept;

/// \returns Whether the job has a completion-time objective; recurring and long-running jobs have none.
[[nodiscard]] bool hasObjective(const JobSpec& job) noexcept;

} // namespace lanemoor::jobs
