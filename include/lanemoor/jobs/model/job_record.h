#pragma once
/// \file
/// What the store holds of a job, its progress and the owner, and under which keys.

#include "lanemoor/jobs/model/job_spec.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// \name Keys
/// What entry instances copy lies under one prefix, so that one watch brings every change in its order. What only owners read lies
/// outside: a record of some hundred acts would otherwise go to every copy with each act.
///@{
constexpr std::string_view jobServicePrefix = "lanemoor/";
constexpr std::string_view jobKeyPrefix = "lanemoor/job/";
constexpr std::string_view progressKeyPrefix = "lanemoor/progress/";
constexpr std::string_view cancelKeyPrefix = "lanemoor/cancel/";
constexpr std::string_view ownershipPrefix = "lanemoor/ownership/";
constexpr std::string_view ownerKeyPrefix = "lanemoor/ownership/holder/"; ///< Bound to the owner's lease.
constexpr std::string_view termKeyPrefix = "lanemoor/ownership/term/"; ///< Outlasts the owner.

constexpr std::string_view ownerPrefix = "lanemoor-owner/";
constexpr std::string_view actsKey = "lanemoor-owner/acts"; ///< Instances that the owner acted on of late.
constexpr std::string_view queueCountsKey = "lanemoor-owner/queue-counts";
[[nodiscard]] std::string waveKey(std::uint64_t wave); ///< Instances of a wave whose maintenance began.
[[nodiscard]] std::string jobKey(std::string_view id);
[[nodiscard]] std::string progressKey(std::string_view id);
[[nodiscard]] std::string cancelKey(std::string_view id);
///@}

/// An accepted job. Immutable.
struct JobRecord {
    std::string queue;
    std::string pool; ///< Of the queue when the job came, for when the queue is gone.
    Instant acceptedAt; ///< By the clock of the entry instance that took it.
    JobSpec spec;
    std::string organisation; ///< That handed it in; empty: nobody was asked. Outlasts its keys.

    [[nodiscard]] bool operator==(const JobRecord&) const = default;
};

/// Consecutive worker crashes attributed to a task.
struct CrashCount {
    std::uint32_t confirmed = 0; ///< The worker had acknowledged the start, and its incarnation is proved to be over.
    std::uint32_t unconfirmed = 0; ///< The start may not have arrived.

    [[nodiscard]] std::uint32_t total() const noexcept { return confirmed + unconfirmed; }
    [[nodiscard]] bool operator==(const CrashCount&) const = default;
};

/// A start of a suspect task whose worker is not known to have survived it, nor to have crashed. Kept in the store, so that the next
/// owner can settle it.
struct Probation {
    std::uint64_t attempt = 0; ///< Number.
    std::string worker; ///< Id.
    std::int64_t workerStartedAt = 0; ///< Names the incarnation; Unix ms; 0: not reported.
    bool isAcknowledged = false; ///< That incarnation acknowledged the start.
    bool isSilent = false; ///< An owner saw the worker fall silent before it had survived the start.

    /// \returns Whether the end of the incarnation confirms a crash by the start. Without an owner that saw it fall silent, the
    /// incarnation may have ended long after the attempt.
    [[nodiscard]] bool confirmsCrash() const noexcept { return isAcknowledged && isSilent; }

    [[nodiscard]] bool operator==(const Probation&) const = default;
};

/// What is kept of a task that has not succeeded.
struct TaskRecord {
    std::vector<std::uint64_t> failedAttempts;
    std::string checkpoint;
    CrashCount crashes;
    std::vector<Probation> probations;
    bool givenUp = false; ///< Not started again: it crashes its workers.

    [[nodiscard]] bool operator==(const TaskRecord&) const = default;
};

/// Names one step in one occurrence.
struct StepId {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    [[nodiscard]] auto operator<=>(const StepId&) const = default;
};

/// How far a job has come. Only ever grows: a success stands, a failure counts.
struct ProgressRecord {
    JobStatus status = JobStatus::Queued;
    std::uint32_t occurrencesDone = 0; ///< The first ones; nothing else is kept of them.
    std::map<StepId, std::vector<bool>> succeeded; ///< By task index; steps without a success are absent.
    std::map<TaskId, TaskRecord> tasks;

    [[nodiscard]] bool operator==(const ProgressRecord&) const = default;
};

/// The owner of a shard.
struct OwnerRecord {
    std::string holder;
    std::uint64_t term = 0; ///< 1 for the first owner, one more for each later one.
    std::string peer; ///< Address where instances offer to relay its calls; empty: it takes no offers.

    [[nodiscard]] bool operator==(const OwnerRecord&) const = default;
};

/// A count may be this old when it is shown, by the platform's bound.
constexpr Millis maxCountAge { 2'000 };

/// Accepted jobs that have not begun, by queue.
struct QueueCounts {
    Instant countedAt; ///< By the owner's clock.
    std::map<std::string, std::uint64_t> pending;

    [[nodiscard]] bool operator==(const QueueCounts&) const = default;
};

/// \name Codecs
/// Compact protobuf. A text that can't be read gives nothing.
///@{
[[nodiscard]] std::string encode(const JobRecord& record);
[[nodiscard]] std::string encode(const ProgressRecord& record);
[[nodiscard]] std::string encode(const OwnerRecord& record);
[[nodiscard]] std::string encode(const QueueCounts& counts);
[[nodiscard]] std::string encode(const std::set<std::string>& instances);
[[nodiscard]] std::optional<std::set<std::string>> decodeInstances(std::string_view bytes);

/// \param ages How long ago each instance was acted on.
[[nodiscard]] std::string encodeActs(const std::map<std::string, Millis>& ages);
[[nodiscard]] std::optional<std::map<std::string, Millis>> decodeActs(std::string_view bytes);
[[nodiscard]] std::optional<JobRecord> decodeJob(std::string_view bytes);
[[nodiscard]] std::optional<ProgressRecord> decodeProgress(std::string_view bytes);
[[nodiscard]] std::optional<OwnerRecord> decodeOwner(std::string_view bytes);
[[nodiscard]] std::optional<QueueCounts> decodeQueueCounts(std::string_view bytes);
///@}

} // namespace lanemoor::jobs
