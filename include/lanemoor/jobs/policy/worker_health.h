#pragma once
/// \file
/// Judges workers by how calls to them and attempts there end. Pure: time is passed in.

#include "lanemoor/decisions/ejection_backoff.h"
#include "lanemoor/jobs/model/event_loop.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace lanemoor::jobs {

/// How workers are judged.
struct WorkerHealthOptions {
    bool enabled = true; ///< False: only failures of tasks are judged, and no bound holds.
    double mostOfPool = 0.2; ///< Share of a pool's workers that may be left out at once.
    double mostOfDomain = 0.5; ///< The same of a rack and of a data hall.
    Millis firstBackoff { 2'000 };
    Millis longestBackoff { 16'000 };
    double lateFactor = 4; ///< A run time of so many times the median of its peers is late.

    [[nodiscard]] bool operator==(const WorkerHealthOptions&) const = default;
};

/// What speaks against a worker.
enum class HealthFault : std::uint8_t {
    None,
    Failures, ///< Tasks of several jobs failed in a row.
    Unanswered, ///< Starts and stops got no answer.
    Slow, ///< Tasks took far longer than at its peers.
};

[[nodiscard]] std::string_view nameOf(HealthFault fault) noexcept;

/// What was observed of a worker within the window.
struct WorkerEvidence {
    std::int32_t calls = 0; ///< Starts and stops.
    std::int32_t unanswered = 0; ///< Of them, those whose answer was overdue and has not come since.
    std::int32_t ends = 0; ///< Whose run time was compared with that of peers.
    std::int32_t lateEnds = 0; ///< Of them, those that took far longer.

    WorkerEvidence& operator+=(const WorkerEvidence& other) noexcept;
    [[nodiscard]] bool operator==(const WorkerEvidence&) const = default;
};

/// A judgement and what it rests on.
struct WorkerHealthScore {
    HealthFault fault = HealthFault::None; ///< For which the worker is left out, or should be.
    double score = 0; ///< From 0 (sound) to 1.
    WorkerEvidence evidence;
    std::uint32_t failures = 0; ///< Of tasks since the last success.
    bool ejected = false;
    bool probing = false; ///< It takes one task at a time, to show that it is sound again.
    MonotonicInstant ejectedUntil; ///< Meaningful while ejected.

    [[nodiscard]] bool operator==(const WorkerHealthScore&) const = default;
};

/// \brief The health of one incarnation of a worker.
///
/// It only judges: whether the worker is left out is decided by `EjectionBound`, which knows the others.
///
/// \code
/// health.noteUnanswered(now);
/// if (health.fault(now) != HealthFault::None && bound.admits(worker))
///     health.eject(health.fault(now), options, now);
/// \endcode
class WorkerHealth {
public:
    /// \name Evidence
    ///@{
    /// \brief A task has succeeded.
    void noteSuccess(MonotonicInstant now);

    /// \brief A task of `job` has failed.
    void noteFailure(const std::string& job, MonotonicInstant now);

    /// \brief A start was answered, whatever the answer.
    void noteStartAnswered(MonotonicInstant now);

    /// \brief A stop was answered.
    void noteStopAnswered(MonotonicInstant now);

    /// \brief The answer to a start or stop is overdue.
    void noteUnanswered(MonotonicInstant now);

    /// \brief An answer that was overdue has come.
    void noteLateAnswer(MonotonicInstant now);

    /// \brief A task has ended. \param late It took far longer than at the worker's peers.
    void noteRunTime(bool late, MonotonicInstant now);
    ///@}

    /// \returns What the worker should be left out for now; `None` also while it is.
    [[nodiscard]] HealthFault fault(MonotonicInstant now) const;

    /// \returns How clearly the evidence speaks against the worker, from 0 to 1. Few samples have little weight.
    [[nodiscard]] double score(MonotonicInstant now) const;

    /// \brief Leaves the worker out for a backoff, after which one task at a time probes it.
    void eject(HealthFault fault, const WorkerHealthOptions& options, MonotonicInstant now);

    /// \brief The evidence goes on before a task has probed the worker: it is left out for another first backoff, without doubling.
    void postponeProbe(const WorkerHealthOptions& options, MonotonicInstant now);

    /// \returns Whether the worker gets no work now.
    [[nodiscard]] bool isEjected(MonotonicInstant now) const noexcept { return now < m_backoff.until(); }

    /// \returns Whether it gets one attempt at a time, to show that it is sound again.
    [[nodiscard]] bool isProbing(MonotonicInstant now) const noexcept { return isOut(now) && !isEjected(now); }

    /// \returns Whether it is ejected or probing.
    [[nodiscard]] bool isOut(MonotonicInstant now) const noexcept;

    /// \returns When the last backoff is over; the epoch of the clock if there was none.
    [[nodiscard]] MonotonicInstant ejectedUntil() const noexcept { return m_backoff.until(); }

    /// \returns Whether it has shown that it is sound since the last ejection, or was never ejected.
    [[nodiscard]] bool wasReadmitted() const noexcept { return m_ejectedFor == HealthFault::None; }

    /// \returns The judgement with its evidence, for operators.
    [[nodiscard]] WorkerHealthScore report(MonotonicInstant now) const;

private:
    static constexpr std::int64_t windowSeconds = 10;

    /// Evidence of one second.
    struct Slot {
        std::int64_t second = -1;
        WorkerEvidence evidence;
    };

    void add(const WorkerEvidence& evidence, MonotonicInstant now);
    void strike(HealthFault fault, MonotonicInstant now);
    void readmit();
    [[nodiscard]] WorkerEvidence evidence(MonotonicInstant now) const;
    [[nodiscard]] bool isFailing() const noexcept;

    std::array<Slot, windowSeconds> m_window;
    std::set<std::string> m_failedJobs; ///< Since the last success.
    std::uint32_t m_failures = 0; ///< Since the last success.
    HealthFault m_ejectedFor = HealthFault::None; ///< `None`: it was readmitted.
    HealthFault m_strike = HealthFault::None; ///< The probing task failed by this.
    EjectionBackoff<MonotonicInstant> m_backoff;
    WorkerHealthScore m_verdict; ///< For which it was left out last.
};

} // namespace lanemoor::jobs
