#pragma once
/// \file
/// Scores workers by the outcomes of calls to them and of attempts there. Pure: time is passed in.

#include "lanemoor/decisions/ejection_backoff.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/policy/step_outcomes.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// Settings of health scoring and ejection.
struct WorkerHealthOptions {
    bool enabled = true; ///< False: only task failures are scored.
    double maxShareOfPool = 0.2; ///< Max share of a pool's workers that is ejected at once.
    double maxShareOfDomain = 0.5; ///< The same for a rack and for a data hall.
    Millis firstBackoff { 2'000 };
    Millis maxBackoff { 16'000 };
    double lateFactor = 4; ///< A run time above this multiple of its peers' median is late.

    [[nodiscard]] bool operator==(const WorkerHealthOptions&) const = default;
};

/// Reason for ejecting a worker.
enum class HealthFault : std::uint8_t {
    None,
    Failures, ///< Tasks of several jobs failed in a row.
    Unanswered, ///< Starts and stops were not answered.
    Slow, ///< Run times were far longer than at other workers.
};

[[nodiscard]] std::string_view nameOf(HealthFault fault) noexcept;

/// Observations of a worker within the window.
struct WorkerEvidence {
    std::int32_t calls = 0; ///< Starts and stops.
    std::int32_t unanswered = 0; ///< Calls whose answer is overdue and has not come since.
    std::int32_t ends = 0; ///< Attempts whose run time was compared with that of peers.
    std::int32_t lateEnds = 0; ///< Attempts that took far longer.

    WorkerEvidence& operator+=(const WorkerEvidence& other) noexcept;
    [[nodiscard]] bool operator==(const WorkerEvidence&) const = default;
};

/// Health score and the evidence for it.
struct WorkerHealthScore {
    HealthFault fault = HealthFault::None; ///< Why the worker is, or should be, ejected.
    double score = 0; ///< From 0 (healthy) to 1.
    WorkerEvidence evidence;
    std::uint32_t failures = 0; ///< Failed tasks since the last success, without those attributed to their steps.
    bool ejected = false;
    bool probing = false; ///< It gets one task at a time, to show that it is healthy again.
    MonotonicInstant ejectedUntil; ///< Meaningful only while ejected.

    [[nodiscard]] bool operator==(const WorkerHealthScore&) const = default;
};

/// \brief Health of one incarnation of a worker.
///
/// It only scores the worker. `EjectionBound`, which has the state of all workers, decides on the ejection.
///
/// \code
/// health.noteUnanswered(now);
/// const HealthFault fault = health.fault(now);
/// if (fault != HealthFault::None && !bound.choose({ { .member = member, .fault = fault, .score = health.score(now) } }).empty())
///     health.eject(fault, options, now);
/// \endcode
class WorkerHealth {
public:
    /// \name Evidence
    ///@{
    /// \brief Records a task that succeeded.
    void noteSuccess(MonotonicInstant now);

    /// \brief Records a failed task of `job`.
    /// \param step Outcomes of its step, which decide on the attribution of the failure at any later time; null: it counts against the worker.
    void noteFailure(const std::string& job, MonotonicInstant now, std::shared_ptr<const StepOutcomes> step = nullptr);

    /// \brief Records an answer to a start, accepted or refused.
    void noteStartAnswered(MonotonicInstant now);

    /// \brief Records an answer to a stop.
    void noteStopAnswered(MonotonicInstant now);

    /// \brief Records that the answer to a start or stop is overdue.
    void noteUnanswered(MonotonicInstant now);

    /// \brief Records an answer that was overdue.
    void noteLateAnswer(MonotonicInstant now);

    /// \brief Records an ended task. \param late Its run time was far longer than at the worker's peers.
    void noteRunTime(bool late, MonotonicInstant now);
    ///@}

    /// \returns The fault for which the worker should be ejected now; `None` also while it is ejected.
    [[nodiscard]] HealthFault fault(MonotonicInstant now) const;

    /// \returns Strength of the evidence against the worker, from 0 to 1. Few samples have little weight.
    [[nodiscard]] double score(MonotonicInstant now) const;

    /// \brief Ejects the worker for a backoff, after which it is probed with one task at a time.
    void eject(HealthFault fault, const WorkerHealthOptions& options, MonotonicInstant now);

    /// \brief Extends the ejection by one first backoff, without doubling it, if more evidence comes before a task has probed the
    /// worker.
    void postponeProbe(const WorkerHealthOptions& options, MonotonicInstant now);

    /// \returns Whether the last ejection was based only on failures that are attributed to their steps by now.
    [[nodiscard]] bool isEjectionUnfounded() const;

    /// \brief Revokes the last ejection: the worker is back in service, or probed again if a probe had failed.
    void revokeEjection(MonotonicInstant now);

    /// \returns Whether the worker gets no task now.
    [[nodiscard]] bool isEjected(MonotonicInstant now) const noexcept { return now < m_backoff.until(); }

    /// \returns Whether it gets one attempt at a time, to show that it is healthy again.
    [[nodiscard]] bool isProbing(MonotonicInstant now) const noexcept { return isOutOfService(now) && !isEjected(now); }

    /// \returns Whether it is ejected or probing.
    [[nodiscard]] bool isOutOfService(MonotonicInstant now) const noexcept;

    /// \returns End of the last backoff; the epoch of the clock if there was none.
    [[nodiscard]] MonotonicInstant ejectedUntil() const noexcept { return m_backoff.until(); }

    /// \returns Whether it was found healthy since the last ejection, or was never ejected.
    [[nodiscard]] bool wasReadmitted() const noexcept { return m_ejectedFor == HealthFault::None; }

    /// \returns The current score with its evidence, for operators.
    [[nodiscard]] WorkerHealthScore report(MonotonicInstant now) const;

private:
    static constexpr std::int64_t windowSeconds = 10;

    /// Evidence of one second.
    struct Slot {
        std::int64_t second = -1;
        WorkerEvidence evidence;
    };

    /// Failed tasks of one step.
    struct StepFailures {
        std::string job;
        std::shared_ptr<const StepOutcomes> step; ///< Null: unknown.
        std::uint32_t tasks = 0;

        [[nodiscard]] bool isAttributedToStep() const noexcept { return step && step->isStepAtFault(); }
    };

    void add(const WorkerEvidence& evidence, MonotonicInstant now);
    void noteProbeFault(HealthFault fault, MonotonicInstant now);
    void readmit();
    [[nodiscard]] WorkerEvidence evidence(MonotonicInstant now) const;
    [[nodiscard]] bool isFailing() const noexcept;
    [[nodiscard]] std::uint32_t failures() const noexcept;

    std::array<Slot, windowSeconds> m_window;
    std::vector<StepFailures> m_failures; ///< Since the last success, the latest steps last.
    std::vector<StepFailures> m_ejectionFailures; ///< Failures that the last ejection was based on.
    HealthFault m_ejectedFor = HealthFault::None; ///< `None`: it was readmitted.
    HealthFault m_probeFault = HealthFault::None; ///< Fault that a probe has shown.
    bool m_hasFailedProbe = false; ///< The last ejection followed a failed probe.
    EjectionBackoff<MonotonicInstant> m_backoff;
    WorkerHealthScore m_ejectionScore; ///< Score at the last ejection.
};

} // namespace lanemoor::jobs
