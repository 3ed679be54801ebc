#pragma once
/// \file
/// What the owner keeps of one life of a worker.

#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/owner/worker_session.h"
#include "lanemoor/jobs/policy/placement.h"
#include "lanemoor/jobs/policy/reservations.h"
#include "lanemoor/jobs/policy/throttle.h"
#include "lanemoor/jobs/policy/unacknowledged_starts.h"
#include "lanemoor/jobs/policy/worker_health.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lanemoor::jobs {

/// One life of a worker and what the owner gave it.
struct WorkerBook {
    WorkerEntry entry;
    MonotonicInstant knownSince; ///< When this process first heard of the life.
    std::set<std::int64_t> formerStarts; ///< Of lives under this id that are over: what is still told of them counts for nothing.
    bool listed = true; ///< False: its entry is gone from the store, though it may live on.
    std::optional<MonotonicInstant> unlistedSince; ///< When the first complete list of instances that does not name the life was requested.
    std::shared_ptr<WorkerSession> session;
    Reservations bookings; ///< Attempts that are not over.
    std::map<Attempt, MonotonicInstant> strayStops; ///< Unwanted attempts, and when to stop them again.
    WorkerHealth health;
    std::optional<Attempt> probingAttempt; ///< The latest attempt that began while the worker was probing.
    UnacknowledgedStarts starts;
    Throttle throttle;
    bool met = false; ///< Its first report was taken in.
    bool endOrdered = false; ///< Its life ends by an order of this owner.
    bool endSettled = false; ///< Its end was attributed.
    bool evacuating = false; ///< It is to be emptied: no new work.
    MonotonicInstant evacuatingSince; ///< Meaningful while evacuating.
    bool hallEvacuated = false; ///< Its data hall is being evacuated: no new work.
    bool hallLost = false; ///< Its data hall was lost, and the worker is not taken back yet: no new work.
    MonotonicInstant noWorkBefore; ///< After it refused an order.
    MonotonicInstant youngUntil; ///< The latest start is on probation until then.
    MonotonicInstant livenessCheckDueAt; ///< When the answer to a liveness check is overdue.
    MonotonicInstant nextLivenessCheckAt; ///< No check is sent before this.
    std::string keptFor; ///< Label of the tasks that room was made for.
    MonotonicInstant keptUntil; ///< When other tasks may come again.

    /// \returns Capacity less what is booked.
    [[nodiscard]] Resources free() const;

    /// \returns Tasks of one step and occurrence that are booked.
    [[nodiscard]] std::uint32_t tasksOf(const std::string& job, const StepId& step) const;

    /// \returns Whether its data hall lets it have new work.
    [[nodiscard]] bool isHallOpen() const noexcept { return !hallEvacuated && !hallLost; }

    /// \returns Whether `entry` tells of the life that the session speaks with, as far as both say.
    [[nodiscard]] bool isEntryOfLife() const;

    /// \returns How many starts health lets the worker have now.
    [[nodiscard]] std::uint32_t startsLeft(MonotonicInstant now) const;

    /// \returns Whether new work may go there now.
    [[nodiscard]] bool isOpen(MonotonicInstant now) const;

    /// \returns Whether the worker has answered so recently that a suspect may be sent: an independent crash in the meantime is unlikely.
    [[nodiscard]] bool isVerifiedUp(MonotonicInstant now) const;

    /// \returns Whether the worker has answered so recently that it probably takes a suspect's start.
    [[nodiscard]] bool isProbablyUp(MonotonicInstant now) const;

    /// \returns Whether a recorded start may be sent: the worker is open, and its capacity still covers all bookings.
    [[nodiscard]] bool takesRecordedStart(MonotonicInstant now) const;

    /// \returns Whether the life has been known for so long that a list of instances has shown it, which then can prove its end.
    [[nodiscard]] bool isEstablished(MonotonicInstant now) const { return now >= establishedAt(); }

    [[nodiscard]] MonotonicInstant establishedAt() const;

    /// \brief Asks the worker for an answer, unless it was asked before and owes one.
    /// \param overdueAfter How long the answer may take.
    void checkLiveness(MonotonicInstant now, Millis overdueAfter);

    /// \brief The worker has answered. \returns Whether a liveness check waited for it.
    bool noteAnswer() noexcept;

    /// \returns The worker as placement sees it.
    [[nodiscard]] PlacementSite site(MonotonicInstant now) const;
};

} // namespace lanemoor::jobs
