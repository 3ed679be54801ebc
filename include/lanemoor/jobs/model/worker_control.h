#pragma once
/// \file
/// Orders to workers, and what workers answer.

#include "lanemoor/decisions/time.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/job_spec.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// \brief One life of a worker. A restarted worker is another life, under the same id and at the same address or not.
struct WorkerLife {
    std::string id; ///< Of the worker: a later life may have it again.
    std::string address; ///< IP:port.
    /// When it started by its own time of day, Unix ms; 0: not told. It tells the lives of one id apart and says nothing of which
    /// came first, since that clock may jump.
    std::int64_t startedAt = 0;
    std::string dataHall; ///< Empty: not known.

    [[nodiscard]] bool operator==(const WorkerLife&) const = default;
};

/// One attempt of one task, as workers name it.
struct Attempt {
    std::string job;
    TaskId task;
    std::uint64_t number = 0; ///< Rises with each start of the task; members of a gang share it.

    [[nodiscard]] auto operator<=>(const Attempt&) const = default;
};

/// What came of an order to a worker.
enum class OrderOutcome {
    Done,
    Fenced, ///< A later owner has been there.
    Superseded, ///< A run of the same or a higher number was there already.
    LeaseOver, ///< The lease that came with it was over.
    NoRoom,
    BadTicket,
    OtherLife, ///< Another life answers at this address: the life meant is over there.
    NotDone, ///< Certainly not carried out.
    Rejected, ///< The worker can't read it.
    Unknown, ///< No usable answer; it may have been carried out, or may be later.
};

/// \returns A short name of `outcome` for logs and metrics.
[[nodiscard]] std::string_view nameOf(OrderOutcome outcome) noexcept;

/// How an attempt ended.
enum class AttemptEnd {
    Succeeded,
    Failed,
    Stopped,
    LeaseLapsed,
    GangBroken, ///< Another member of its gang ended.
    GangIncomplete, ///< It waited in vain for the other members.
};

/// \returns A short name of `end`.
[[nodiscard]] std::string_view nameOf(AttemptEnd end) noexcept;

/// An attempt that runs at a worker.
struct RunningAttempt {
    Attempt attempt;
    std::string checkpoint; ///< Empty: none.
    std::uint32_t percent = 0; ///< Done; 100 for a long-running task that is at work.
    std::int64_t load = 0; ///< Tail latency in ms for a serving task, else thousandths of a core in use.

    [[nodiscard]] bool operator==(const RunningAttempt&) const = default;
};

/// An attempt that ended at a worker.
struct EndedAttempt {
    std::uint64_t sequence = 0; ///< Rises from 1 within a life.
    Attempt attempt;
    AttemptEnd end = AttemptEnd::Stopped;
    std::string checkpoint;

    [[nodiscard]] bool operator==(const EndedAttempt&) const = default;
};

/// A start of an attempt.
struct StartOrder {
    Attempt attempt;
    std::string payload;
    std::int64_t leaseUntil = 0; ///< On the worker's clock, ms.
    std::uint64_t epoch = 0; ///< Of the owner that sends it.
    std::string checkpoint;
    std::string ticket; ///< From the placement advisor; empty: none needed.
};

/// A renewal of the lease on all that runs at a worker, which also asks what runs and ended.
struct RenewOrder {
    std::int64_t leaseUntil = 0; ///< On the worker's clock, ms; 0: leave it.
    std::uint64_t epoch = 0;
    std::uint64_t endsStoredUpTo = 0; ///< The worker forgets ends up to this sequence.
    Millis wait { 0 }; ///< The answer may wait this long for an end.
};

/// Answer to a start, a stop or a throttle.
struct OrderResult {
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::int64_t workerClock = 0; ///< 0: not told.
};

/// Answer to a renewal.
struct RenewResult {
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::int64_t workerClock = 0;
    std::int64_t startedAt = 0; ///< Of the life that answers, Unix ms by its time of day; 0: not told.
    std::vector<RunningAttempt> running;
    std::vector<EndedAttempt> ended; ///< Ordered by sequence.
};

/// \brief Speaks to workers. Each callback is called exactly once, never from within the call.
class WorkerControl {
public:
    virtual ~WorkerControl() = default;
    virtual void start(const WorkerLife& worker, const StartOrder& order, std::function<void(OrderResult)> done) = 0;
    virtual void stop(const WorkerLife& worker, const Attempt& attempt, std::uint64_t epoch, std::function<void(OrderResult)> done) = 0;
    virtual void renew(const WorkerLife& worker, const RenewOrder& order, std::function<void(RenewResult)> done) = 0;

    /// \param percent Share of its speed that the attempt may use.
    virtual void throttle(const WorkerLife& worker, const Attempt& attempt, std::uint32_t percent, std::uint64_t epoch, std::function<void(OrderResult)> done) = 0;

    /// \brief A call to the worker is overdue: calls to it that follow take another path, where there is one.
    virtual void noteOverdue(const WorkerLife& /*worker*/) { }

    /// \brief Closes the connections to a life that is over.
    virtual void forget(const WorkerLife& worker) = 0;
};

} // namespace lanemoor::jobs
