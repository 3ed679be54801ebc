#pragma once
/// \file
/// Attributes worker crashes to the tasks whose start the worker did not survive. Pure: time is passed in.

#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/model/worker_control.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// A worker survives a start if it still answers this long after acknowledging it. The probation shrinks from the maximum to the
/// minimum as independent crashes become frequent.
constexpr Millis minProbation { 50 };
constexpr Millis maxProbation { 1'000 };

/// With this many crashes a task shares a worker with no other suspect, and no other task starts beside it until the worker has
/// survived its start: the next crash is then attributed to this task alone.
constexpr std::uint32_t crashesToIsolate = 2;

/// Crashes after which a task fails even if another task may have caused them: the platform allows two more starts after the
/// third crash.
constexpr std::uint32_t maxCrashes = 5;

/// Min confirmed crashes before a task may fail, required by the platform's owners.
constexpr std::uint32_t minConfirmedCrashes = 2;

/// \returns The crash limit for a job. \param inherited A previous owner had the job and may have lost the record of one crash.
[[nodiscard]] constexpr std::uint32_t maxCrashesOf(bool inherited) noexcept
{
    return inherited ? maxCrashes - 1 : maxCrashes;
}

/// Crashes count towards the rate of independent crashes for this long. A poison task restarts about every two seconds, which
/// puts three of its crashes into one window.
constexpr Millis crashWindow { 5'000 };

/// Settings for poison tasks.
struct CrashOptions {
    bool isolatesSuspects = true; ///< Places suspects apart from other tasks.
    std::uint32_t crashesToFail = 3; ///< Consecutive confirmed crashes with which a task fails if no other task explains them.

    [[nodiscard]] bool operator==(const CrashOptions&) const = default;
};

/// \returns Key of the unit that fails together with an attempt's task: its job, or the task alone if it is long-running, since
/// its job goes on without it.
[[nodiscard]] std::string quarantineKey(const Attempt& attempt, bool isLongRunning);

/// \returns Whether the evidence suffices to fail a task without another crash.
[[nodiscard]] bool isExhausted(const CrashCount& crashes, std::uint32_t unsettledProbations, bool isInherited) noexcept;

/// An attempt that was running when its worker crashed.
struct LostAttempt {
    Attempt attempt;
    bool isLongRunning = false;
    /// Worker clock time between the acknowledgement of the start and the last answer; empty: the start was not acknowledged.
    std::optional<Millis> survived;
    bool isAdopted = false; ///< Found running by this owner: `survived` counts from then on, and the earlier run time is unknown.
    bool isInherited = false; ///< Its job was accepted under a previous owner.
    CrashCount before; ///< Consecutive crashes attributed to its task before this one.

    [[nodiscard]] bool operator==(const LostAttempt&) const = default;
};

/// \returns Crashes of the task including this one, which is confirmed only if the start was acknowledged.
[[nodiscard]] CrashCount crashesAfter(const LostAttempt& lost) noexcept;

/// Result of attributing one crash.
struct CrashAttribution {
    std::vector<LostAttempt> suspects; ///< The crash counts against their tasks.
    std::vector<LostAttempt> possibleSuspects; ///< Unacknowledged starts beside acknowledged ones, and adopted attempts: unconfirmed crashes of their tasks.
    std::optional<Attempt> failed; ///< A suspect whose task fails permanently.
    std::uint32_t crashesNeeded = 0; ///< Consecutive confirmed crashes with which a task would fail.

    [[nodiscard]] bool operator==(const CrashAttribution&) const = default;
};

/// \brief Attributes worker crashes one by one.
///
/// Tasks that crash together repeatedly are separated by placement, not by counting: a task fails only if it has more consecutive
/// crashes than any suspect that would not fail with it. An unacknowledged start is suspect only if no acknowledged one is, and
/// never fails a task alone. The more workers crash independently, the shorter the probation and the higher the number of crashes
/// required.
class CrashAttributor {
public:
    /// \param since Start of this owner's term. Earlier crashes are unknown.
    CrashAttributor(const CrashOptions& options, MonotonicInstant since)
        : m_options(options)
        , m_rateKnownFrom(since + crashWindow)
    {
    }

    /// \brief Attributes the crash of a worker that was neither stopped by command nor announced its end.
    /// \param lost Attempts at the worker; empty: the worker was idle.
    /// \param workers Number of workers that are up.
    CrashAttribution attribute(const std::vector<LostAttempt>& lost, std::size_t workers, MonotonicInstant now);

    /// \returns How long a worker must answer after a start to count as having survived it: short enough that an independent
    /// crash in that time is rare at the current rate.
    [[nodiscard]] Millis probation(std::size_t workers, MonotonicInstant now);

private:
    [[nodiscard]] double crashesPerSecond(std::size_t crashes, std::size_t workers) const;
    [[nodiscard]] Millis probationAt(double crashesPerSecond) const;
    [[nodiscard]] std::uint32_t crashesNeeded(double crashesPerSecond, MonotonicInstant now) const;
    void forgetOld(MonotonicInstant now);

    CrashOptions m_options;
    MonotonicInstant m_rateKnownFrom;
    std::deque<MonotonicInstant> m_unexplained; ///< Recent crashes without a suspect that had crashed a worker before.
};

} // namespace lanemoor::jobs
