#pragma once
/// \file
/// Tracks which starts workers survive, and attributes the crashes of those that do not.

#include "lanemoor/jobs/policy/crash_attribution.h"
#include "owner_state.h"

#include <optional>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// \brief Settles the probations of starts, over changes of owner too.
///
/// A start is on probation if its task is suspect or its worker is silent. The probation is stored, and only the fate of the worker's
/// incarnation settles it: an answer shows that the worker survived, the proof that the incarnation is over makes it a crash, which is
/// confirmed if the start had been acknowledged. An expired lease or the loss of an owner proves neither.
class CrashTracker {
public:
    CrashTracker(OwnerState& state, SchedulerCounts& counts);

    /// \brief Takes over the probations that a previous owner left with a job.
    void load(const OwnerJob& job);

    /// \brief An attempt that a previous owner started was found running. Its worker may have survived the start for too short a time.
    void noteAdopted(WorkerBook& worker, OwnerJob& job, const Attempt& attempt, std::int64_t workerClock);

    /// \brief The worker has answered: settles the starts that it survived or never got.
    void noteAnswer(WorkerBook& worker);

    /// \brief A worker is silent: puts the starts on probation that it may not have survived. The proof that it is over takes a second
    /// and more, in which the owner may be lost too.
    void noteSilence(WorkerBook& worker);

    /// \brief A worker owes an answer: the starts on probation there may have crashed it. If this owner is lost before the worker is
    /// silent for certain, the next one knows.
    void noteOverdue(WorkerBook& worker);

    /// \brief The lease of a silent worker has expired, though it may live on: its probations outlast its attempts.
    void noteLeaseExpired(WorkerBook& worker);

    /// \brief The worker's incarnation is over: attributes its crash, unless its end was ordered or announced.
    /// \returns An attempt whose task fails permanently, if there is one.
    [[nodiscard]] std::optional<Attempt> noteOver(WorkerBook& worker);

    /// \brief The worker has survived a start of the attempt's task, which clears the task.
    void noteSurvived(WorkerBook& worker, OwnerJob& job, const Attempt& attempt);

    /// \brief Tasks of previous owners are about to start again: a worker that has not answered by now may have crashed under them.
    void noteUnanswering();

    /// \brief Settles probations at incarnations that no session speaks with.
    /// \param isProvedOver Whether all that may live is known, so that an absent one is over.
    void settleAbsent(bool isProvedOver);

    /// \returns How long a suspect task waits before its next start, so that independent crashes become rarer and fall out of step.
    [[nodiscard]] Millis retryPause(const Attempt& attempt) const;

private:
    /// A start on probation.
    struct OpenStart {
        OwnerJob* job = nullptr;
        TaskId task;
        Probation probation;

        [[nodiscard]] Attempt attempt() const { return { job->state.id(), task, probation.attempt }; }
        /// \returns Whether it is the task's live attempt.
        [[nodiscard]] bool isLive() const;
    };

    [[nodiscard]] std::vector<OpenStart> openStartsAt(const std::string& worker);
    [[nodiscard]] std::vector<OpenStart> openStartsOf(const WorkerBook& worker);
    [[nodiscard]] std::vector<LostAttempt> bookedAttempts(const WorkerBook& worker) const;
    [[nodiscard]] std::vector<LostAttempt> lostAttempts(const WorkerBook& worker, const std::vector<OpenStart>& open) const;
    void noteInheritedLoss(const WorkerBook& worker);
    [[nodiscard]] static bool isInferred(const OpenStart& start, const WorkerBook& worker);
    void withdraw(const OpenStart& start, std::string_view reason);
    void attributeCrash(const Attempt& attempt, const std::string& worker, bool isConfirmed);
    void logLoss(const WorkerBook& worker, const std::vector<LostAttempt>& lost, const CrashAttribution& verdict) const;
    [[nodiscard]] std::size_t livingWorkers();

    OwnerState& m_state;
    SchedulerCounts& m_counts;
    CrashAttributor m_attributor;
    bool m_isInheritedSettled = false; ///< Tasks of previous owners may start again.
    std::size_t m_livingWorkers = 0;
    MonotonicInstant m_countWorkersAt; ///< When the living workers are counted anew.
};

} // namespace lanemoor::jobs
