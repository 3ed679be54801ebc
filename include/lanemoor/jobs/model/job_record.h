#pragma once
/// \file
/// Stored records of jobs, their progress and their owner, with their keys and codecs.

#include "lanemoor/jobs/model/job_policy.h"
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
/// All keys that entry instances replicate have one prefix, so that one watch delivers every change in order. Keys that only owners
/// read are outside that prefix: a record of several hundred actions would otherwise be sent to every replica on each action.
///@{
constexpr std::string_view jobServicePrefix = "lanemoor/";
constexpr std::string_view jobKeyPrefix = "lanemoor/job/";
constexpr std::string_view progressKeyPrefix = "lanemoor/progress/";
constexpr std::string_view cancelKeyPrefix = "lanemoor/cancel/";
constexpr std::string_view ownershipPrefix = "lanemoor/ownership/";
constexpr std::string_view ownerKeyPrefix = "lanemoor/ownership/holder/"; ///< Keys bound to the owner's lease.
constexpr std::string_view termKeyPrefix = "lanemoor/ownership/term/"; ///< Keys that outlive the owner.

constexpr std::string_view ownerPrefix = "lanemoor-owner/";
constexpr std::string_view actionsKey = "lanemoor-owner/acts"; ///< Instances that the owner recently acted on.
constexpr std::string_view queueCountsKey = "lanemoor-owner/queue-counts";
[[nodiscard]] std::string waveKey(std::uint64_t wave); ///< Instances of a wave whose maintenance has begun.
[[nodiscard]] std::string jobKey(std::string_view id);
[[nodiscard]] std::string progressKey(std::string_view id);
[[nodiscard]] std::string cancelKey(std::string_view id);
///@}

/// An accepted job. Immutable.
struct JobRecord {
    std::string queue;
    std::string pool; ///< The queue's pool at submission; used if the queue is deleted.
    Instant acceptedAt; ///< By the clock of the entry instance that accepted it.
    JobSpec spec;
    std::string organisation; ///< The submitter's; empty: unknown, as no key was required. Unaffected when the organisation's keys are removed.
    std::optional<JobPolicy> policy; ///< The queue's policy at submission; used if the queue is deleted. Nothing: written by an earlier version.

    [[nodiscard]] bool operator==(const JobRecord&) const = default;
};

/// A caller that cancelled an id which the store did not have.
struct CancelRequester {
    std::string queue;
    std::string organisation; ///< Empty: unknown.
    bool isOpen = false; ///< The queue required no key.

    [[nodiscard]] auto operator<=>(const CancelRequester&) const = default;
};

/// A stored cancellation. Immutable, but requesters may be added while the job is absent.
struct CancelRecord {
    /// Set if the job was absent: its submission may still be under way, and only a job that one of the requesters may access is
    /// cancelled. Empty: unconditional.
    std::set<CancelRequester> requesters;

    [[nodiscard]] bool isUnconditional() const noexcept { return requesters.empty(); }
    [[nodiscard]] bool operator==(const CancelRecord&) const = default;
};

/// Consecutive worker crashes attributed to a task.
struct CrashCount {
    std::uint32_t confirmed = 0; ///< Crashes of incarnations that had acknowledged the start and have certainly ended.
    std::uint32_t unconfirmed = 0; ///< Crashes before which the start may not have arrived.

    [[nodiscard]] std::uint32_t total() const noexcept { return confirmed + unconfirmed; }
    [[nodiscard]] bool operator==(const CrashCount&) const = default;
};

/// A start of a suspect task for which it is not known yet whether the worker survived it or crashed. Stored, so that the next owner
/// can settle it.
struct Probation {
    std::uint64_t attempt = 0; ///< Attempt number.
    std::string worker; ///< Worker id.
    std::int64_t workerStartedAt = 0; ///< Identifies the incarnation; Unix ms; 0: not reported.
    bool isAcknowledged = false; ///< That incarnation acknowledged the start.
    bool isUnresponsive = false; ///< An owner saw the worker become unresponsive before it had survived the start.

    /// \returns Whether the end of the incarnation confirms a crash by the start. If no owner saw the worker become unresponsive, the
    /// incarnation may have ended long after the attempt.
    [[nodiscard]] bool confirmsCrash() const noexcept { return isAcknowledged && isUnresponsive; }

    [[nodiscard]] bool operator==(const Probation&) const = default;
};

/// Stored state of a task that has not succeeded.
struct TaskRecord {
    std::vector<std::uint64_t> failedAttempts;
    std::string checkpoint;
    CrashCount crashes;
    std::vector<Probation> probations;
    bool failedPermanently = false; ///< The task crashes its workers and is not started again.

    [[nodiscard]] bool operator==(const TaskRecord&) const = default;
};

/// Identifies one step in one occurrence.
struct StepId {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    [[nodiscard]] auto operator<=>(const StepId&) const = default;
};

/// Progress of a job. Grows monotonically: recorded successes and failures are final.
struct ProgressRecord {
    JobStatus status = JobStatus::Queued;
    bool isStartPlanned = false; ///< Some task may have been started; the status is Running only once a worker has confirmed that.
    std::uint32_t occurrencesDone = 0; ///< Number of leading occurrences that are finished; no other state of them is stored.
    std::map<StepId, std::vector<bool>> succeeded; ///< Per step, by task index; steps without a success are absent.
    std::map<TaskId, TaskRecord> tasks;
    std::optional<JobPolicy> policy; ///< The queue's newest policy; used if the queue is deleted. Nothing: JobRecord::policy is the newest.

    [[nodiscard]] bool operator==(const ProgressRecord&) const = default;
};

/// The owner of a shard.
struct OwnerRecord {
    std::string holder;
    std::uint64_t term = 0; ///< 1 for the first owner, one more for each later one.
    std::string peer; ///< Address to which instances connect to relay its calls; empty: it uses no relays.

    [[nodiscard]] bool operator==(const OwnerRecord&) const = default;
};

/// The platform's limit on the age of a published count.
constexpr Millis maxCountAge { 2'000 };

/// Accepted jobs that have not begun, by queue.
struct QueueCounts {
    Instant countedAt; ///< By the owner's clock.
    std::map<std::string, std::uint64_t> pending;

    [[nodiscard]] bool operator==(const QueueCounts&) const = default;
};

/// \name Codecs
/// Records are encoded as protobuf. Decoders return nothing for unreadable bytes.
///@{
[[nodiscard]] std::string encode(const JobRecord& record);
[[nodiscard]] std::string encode(const ProgressRecord& record);
[[nodiscard]] std::string encode(const OwnerRecord& record);
[[nodiscard]] std::string encode(const QueueCounts& counts);
[[nodiscard]] std::string encode(const CancelRecord& record);
[[nodiscard]] std::string encode(const std::set<std::string>& instances);
[[nodiscard]] std::optional<std::set<std::string>> decodeInstances(std::string_view bytes);

/// \param ages Time since the latest action on each instance.
[[nodiscard]] std::string encodeActionAges(const std::map<std::string, Millis>& ages);
[[nodiscard]] std::optional<std::map<std::string, Millis>> decodeActionAges(std::string_view bytes);
[[nodiscard]] std::optional<JobRecord> decodeJob(std::string_view bytes);
[[nodiscard]] std::optional<ProgressRecord> decodeProgress(std::string_view bytes);
[[nodiscard]] std::optional<OwnerRecord> decodeOwner(std::string_view bytes);
[[nodiscard]] std::optional<QueueCounts> decodeQueueCounts(std::string_view bytes);
[[nodiscard]] CancelRecord decodeCancel(std::string_view bytes); ///< Unconditional if unreadable, since the job must not run.
///@}

} // namespace lanemoor::jobs
