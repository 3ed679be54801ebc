#pragma once
/// \file
/// The owner's record of one incarnation of a worker.

#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/owner/worker_session.h"
#include "lanemoor/jobs/policy/placement.h"
#include "lanemoor/jobs/policy/reservations.h"
#include "lanemoor/jobs/policy/throttle.h"
#include "lanemoor/jobs/policy/unacknowledged_starts.h"
#include "lanemoor/jobs/policy/worker_health.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lanemoor::jobs {

/// One incarnation of a worker and its reservations, commands and health.
struct WorkerRecord {
    WorkerEntry entry;
    MonotonicInstant knownSince; ///< When this process first observed the incarnation.
    std::set<std::int64_t> previousStarts; ///< Start times of ended incarnations with this id; later reports on them are ignored.
    bool listed = true; ///< False: the entry was removed from the store, though the worker may still be up.
    std::optional<MonotonicInstant> unlistedSince; ///< Request time of the first complete list of instances without this incarnation.
    std::shared_ptr<WorkerSession> session;
    std::uint64_t incarnation = 0; ///< Number of the incarnation, unique within the term.
    Reservations reservations; ///< Attempts that have not ended.
    std::map<Attempt, MonotonicInstant> strayStops; ///< Unwanted attempts, with the time of the next stop command.
    WorkerHealth health;
    std::optional<Attempt> probingAttempt; ///< The latest attempt started while the worker was probing.
    UnacknowledgedStarts starts;
    Throttle throttle;
    bool hasReported = false; ///< Its first report was processed.
    bool isEndOrdered = false; ///< This owner has ordered the end of the incarnation.
    bool isEndAttributed = false; ///< The end of the incarnation was attributed.
    bool evacuating = false; ///< Being emptied: not open for new tasks.
    MonotonicInstant evacuatingSince; ///< Only valid while `evacuating`.
    bool hallEvacuated = false; ///< The data hall is being evacuated: not open for new tasks.
    bool hallLost = false; ///< The data hall was lost, and the worker is not readmitted yet: not open for new tasks.
    MonotonicInstant closedUntil; ///< Not open before this, since the worker refused a command.
    MonotonicInstant probationUntil; ///< End of the probation of the latest start.
    MonotonicInstant livenessCheckDueAt; ///< Deadline of the pending liveness check.
    MonotonicInstant nextLivenessCheckAt; ///< Time of the next liveness check at the earliest.
    std::string reservedForLabel; ///< Label of the tasks that the worker is reserved for.
    MonotonicInstant reservedUntil; ///< End of this reservation.

    /// \returns The capacity that is not reserved.
    [[nodiscard]] Resources free() const;

    /// \returns The number of reserved tasks of one step and occurrence.
    [[nodiscard]] std::uint32_t tasksOf(const std::string& job, const StepId& step) const;

    /// \returns Whether its data hall accepts new tasks.
    [[nodiscard]] bool isHallOpen() const noexcept { return !hallEvacuated && !hallLost; }

    /// \returns Whether `entry` describes the incarnation of the session, as far as the start times are known.
    [[nodiscard]] bool isEntryOfIncarnation() const;

    /// \returns The number of starts that the health of the worker currently allows.
    [[nodiscard]] std::uint32_t startsLeft(MonotonicInstant now) const;

    /// \returns Whether the worker is open for new tasks.
    [[nodiscard]] bool isOpen(MonotonicInstant now) const;

    /// \returns Whether the last response is recent enough to send a suspect task: an unrelated crash since then is unlikely.
    [[nodiscard]] bool isVerifiedUp(MonotonicInstant now) const;

    /// \returns Whether the last response is recent enough that the worker probably accepts the start of a suspect task.
    [[nodiscard]] bool isProbablyUp(MonotonicInstant now) const;

    /// \returns Whether a recorded start may be sent: the worker is open, and its capacity still covers all reservations.
    [[nodiscard]] bool acceptsRecordedStart(MonotonicInstant now) const;

    /// \returns Whether the incarnation is old enough to appear in a list of instances, so that a later list without it proves its end.
    [[nodiscard]] bool isEstablished(MonotonicInstant now) const { return now >= establishedAt(); }

    [[nodiscard]] MonotonicInstant establishedAt() const;

    /// \brief Sends a liveness check, unless one is pending or was sent recently.
    /// \param overdueAfter Time after which the response is overdue.
    void checkLiveness(MonotonicInstant now, Millis overdueAfter);

    /// \brief Notes a response of the worker. \returns Whether a liveness check was pending.
    bool noteAnswer() noexcept;

    /// \returns The input of placement for this worker.
    [[nodiscard]] PlacementSite site(MonotonicInstant now) const;
};

} // namespace lanemoor::jobs
