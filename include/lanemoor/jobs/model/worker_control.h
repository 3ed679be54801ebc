#pragma once
/// \file
/// Commands to workers and their results.

#include "lanemoor/decisions/time.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/job_spec.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// \brief One incarnation of a worker. A restarted worker is a new incarnation; its id and address may be the same as before.
struct WorkerIncarnation {
    std::string id; ///< Worker id; a later incarnation may have the same one.
    std::string address; ///< IP:port.
    /// Start time by its own wall clock, Unix ms; 0: not reported. Distinguishes incarnations with the same id, but does not order them,
    /// since that clock may jump.
    std::int64_t startedAt = 0;
    std::string dataHall; ///< Empty: unknown.

    [[nodiscard]] bool operator==(const WorkerIncarnation&) const = default;
};

/// Identifies one attempt of one task.
struct Attempt {
    std::string job;
    TaskId task;
    std::uint64_t number = 0; ///< Increases with each start of the task; members of a gang share it.

    [[nodiscard]] auto operator<=>(const Attempt&) const = default;
};

/// Outcome of a command to a worker.
enum class CommandOutcome {
    Done,
    Fenced, ///< The worker has received a command with a higher epoch.
    Superseded, ///< The worker already has an attempt of the task with the same or a higher number.
    LeaseExpired, ///< The lease in the command had expired.
    NoRoom, ///< The worker enforces its capacity, and the task exceeds what is free.
    BadTicket,
    OtherIncarnation, ///< Another incarnation answers at this address; the addressed one has ended.
    NotDone, ///< Certainly not carried out.
    Rejected, ///< The worker can't read the command.
    Unknown, ///< No usable answer; the command may have been carried out, or may be carried out later.
};

/// \returns A short name of `outcome` for logs and metrics.
[[nodiscard]] std::string_view nameOf(CommandOutcome outcome) noexcept;

/// How an attempt ended.
enum class AttemptEnd {
    Succeeded,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken, ///< Another member of its gang ended.
    GangIncomplete, ///< The other members of its gang did not start in time.
};

/// \returns A short name of `end`.
[[nodiscard]] std::string_view nameOf(AttemptEnd end) noexcept;

/// An attempt that runs at a worker.
struct RunningAttempt {
    Attempt attempt;
    std::string checkpoint; ///< Empty: none.
    std::uint32_t percent = 0; ///< Progress; 100 for a long-running task that is running.
    std::int64_t load = 0; ///< Tail latency in ms for a serving task, else thousandths of a core in use.

    [[nodiscard]] bool operator==(const RunningAttempt&) const = default;
};

/// An attempt that ended at a worker.
struct EndedAttempt {
    std::uint64_t sequence = 0; ///< Counts from 1 within a worker incarnation.
    Attempt attempt;
    AttemptEnd end = AttemptEnd::Stopped;
    std::string checkpoint;

    [[nodiscard]] bool operator==(const EndedAttempt&) const = default;
};

/// Command to start an attempt.
struct StartCommand {
    Attempt attempt;
    std::string payload;
    std::int64_t leaseUntil = 0; ///< On the worker's clock, ms.
    std::uint64_t epoch = 0; ///< The sending owner's fencing token.
    std::string checkpoint;
    std::string ticket; ///< Ticket of the placement advisor; empty: none required.
};

/// Command to renew the lease on all attempts at a worker; the result lists running and ended attempts.
struct RenewCommand {
    std::int64_t leaseUntil = 0; ///< On the worker's clock, ms; 0: don't change the lease.
    std::uint64_t epoch = 0;
    std::uint64_t endsStoredUpTo = 0; ///< The worker discards ended attempts with sequences up to this one.
    Millis wait { 0 }; ///< How long the worker may delay its answer until an attempt ends.
};

/// Result of a start, a stop or a throttle.
struct CommandResult {
    CommandOutcome outcome = CommandOutcome::Unknown;
    std::int64_t workerClock = 0; ///< The worker's clock, ms; 0: not reported.
};

/// Whether a status report lists every end that the worker has not discarded.
enum class ReportCoverage {
    Partial, ///< Later ends may be missing: an attempt that is not listed may have ended.
    Complete, ///< An attempt that is not listed neither runs nor has ended since the last acknowledged end.
};

/// Result of a renewal: the worker's status report.
struct RenewResult {
    CommandOutcome outcome = CommandOutcome::Unknown;
    std::int64_t workerClock = 0;
    std::int64_t startedAt = 0; ///< Start time of the answering incarnation by its own wall clock, Unix ms; 0: not reported.
    std::vector<RunningAttempt> running; ///< All running attempts.
    std::vector<EndedAttempt> ended; ///< Ordered by sequence; the oldest ones if the report is partial.
    ReportCoverage coverage = ReportCoverage::Partial; ///< Partial unless the decoder can prove otherwise.
};

/// \brief Sends commands to workers. Each callback is called exactly once, after the call has returned.
class WorkerControl {
public:
    virtual ~WorkerControl() = default;
    virtual void start(const WorkerIncarnation& worker, const StartCommand& command, std::function<void(CommandResult)> done) = 0;
    virtual void stop(const WorkerIncarnation& worker, const Attempt& attempt, std::uint64_t epoch, std::function<void(CommandResult)> done) = 0;
    virtual void renew(const WorkerIncarnation& worker, const RenewCommand& command, std::function<void(RenewResult)> done) = 0;

    /// \param percent Limit on the attempt's speed.
    virtual void throttle(const WorkerIncarnation& worker, const Attempt& attempt, std::uint32_t percent, std::uint64_t epoch, std::function<void(CommandResult)> done) = 0;

    /// \brief Notes that a call to the worker is overdue; later calls take another path, if there is one.
    virtual void noteOverdue(const WorkerIncarnation& /*worker*/) { }

    /// \brief Closes the connections to an incarnation that has ended.
    virtual void closeConnections(const WorkerIncarnation& worker) = 0;
};

} // namespace lanemoor::jobs
