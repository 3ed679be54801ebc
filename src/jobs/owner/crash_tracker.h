#pragma once
/// \file
/// Tracks which starts workers survive, and attributes the crashes of workers that do not.

#include "lanemoor/jobs/policy/crash_attribution.h"
#include "owner_state.h"

#include <optional>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// \brief Settles the probations of starts, also across changes of owner.
///
/// A start is on probation if its task is suspect or its worker is unresponsive. The probation is stored, and only the fate of the worker's
/// incarnation settles it: a response shows that the worker survived; proof that the incarnation has ended makes it a crash, which is
/// confirmed if the start had been acknowledged. An expired lease or the crash of an owner proves neither.
class CrashTracker {
public:
    CrashTracker(OwnerState& state, SchedulerCounts& counts);

    /// \brief Loads the probations that a previous owner stored with a job.
    void load(const OwnerJob& job);

    /// \brief Notes a running attempt that a previous owner started. Its worker may not have run it long enough to have survived the start.
    void noteAdopted(WorkerRecord& worker, OwnerJob& job, const Attempt& attempt, std::int64_t workerClock);

    /// \brief Notes a response: settles the starts that the worker survived or never received.
    void noteAnswer(WorkerRecord& worker);

    /// \brief Notes an unresponsive worker: puts the starts on probation that may have crashed it. Proof of its end takes a second
    /// or more, in which the owner may crash too.
    void noteUnresponsive(WorkerRecord& worker);

    /// \brief Notes an overdue response: the starts on probation at the worker may have crashed it. The note is stored, so that it survives
    /// a crash of this owner before the worker counts as unresponsive.
    void noteOverdue(WorkerRecord& worker);

    /// \brief Notes the expiry of the lease of an unresponsive worker, which may still be up: its probations outlast its attempts.
    void noteLeaseExpired(WorkerRecord& worker);

    /// \brief Notes the end of the incarnation: attributes its crash, unless the end was ordered or announced.
    /// \returns An attempt whose task fails permanently, if any.
    [[nodiscard]] std::optional<Attempt> noteIncarnationEnd(WorkerRecord& worker);

    /// \brief Notes that the worker has survived a start of the attempt's task, which clears the task.
    void noteSurvived(WorkerRecord& worker, OwnerJob& job, const Attempt& attempt);

    /// \brief To be called before tasks of previous owners start again: a worker that has not responded by now may have crashed
    /// under one of them.
    void noteUnansweredWorkers();

    /// \brief Settles probations at incarnations without a session.
    /// \param isProvedOver Whether all incarnations that may be up are known, so that an unknown one has ended.
    void settleUnknownIncarnations(bool isProvedOver);

    /// \returns The pause before the next start of a suspect task, which makes coinciding unrelated crashes less likely.
    [[nodiscard]] Millis retryPause(const Attempt& attempt) const;

private:
    /// A start on probation.
    struct ProbationStart {
        OwnerJob* job = nullptr;
        TaskId task;
        Probation probation;

        [[nodiscard]] Attempt attempt() const { return { job->state.id(), task, probation.attempt }; }
        /// \returns Whether this is the task's live attempt.
        [[nodiscard]] bool isLive() const;
    };

    [[nodiscard]] std::vector<ProbationStart> probationStartsAt(const std::string& worker);
    [[nodiscard]] std::vector<ProbationStart> probationStartsOf(const WorkerRecord& worker);
    [[nodiscard]] std::vector<LostAttempt> reservedAttempts(const WorkerRecord& worker) const;
    [[nodiscard]] std::vector<LostAttempt> lostAttempts(const WorkerRecord& worker, const std::vector<ProbationStart>& open) const;
    void noteInheritedFailure(const WorkerRecord& worker);
    [[nodiscard]] static bool isInferred(const ProbationStart& start, const WorkerRecord& worker);
    void withdraw(const ProbationStart& start, std::string_view reason);
    void attributeCrash(const Attempt& attempt, const std::string& worker, bool isConfirmed);
    void logCrash(const WorkerRecord& worker, const std::vector<LostAttempt>& lost, const CrashAttribution& attribution) const;
    [[nodiscard]] std::size_t aliveWorkerCount();

    OwnerState& m_state;
    SchedulerCounts& m_counts;
    CrashAttributor m_attributor;
    bool m_areInheritedTasksReleased = false; ///< Tasks of previous owners may start again.
    std::size_t m_aliveWorkerCount = 0;
    MonotonicInstant m_nextWorkerCountAt; ///< Next update of `m_aliveWorkerCount`.
};

} // namespace lanemoor::jobs
