#pragma once
/// \file
/// Decides which of a lost worker's attempts may have ended it, and which task is given up. Pure: time is passed in.

#include "lanemoor/jobs/model/worker_control.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// A worker that is heard of so long after it confirmed an attempt has survived its start, at the least and at the most. Workers were
/// seen to end 10 ms after the start that ended them; while hardly any are lost there is time to see some end later.
constexpr Millis leastTrial { 50 };
constexpr Millis longestTrial { 1'000 };

/// A task with so many lost workers runs beside no other suspect, and nothing else starts beside it until the worker has
/// survived it: the next loss then speaks against this task alone. With one lost worker a task is mostly one
/// that was there by chance; it is only placed beside others last.
constexpr std::uint32_t lossesToIsolate = 2;

/// A task is given up after so many workers whatever else may explain it: the platform's owners allow two more starts after the
/// third lost worker.
constexpr std::uint32_t mostLosses = 5;

/// \returns The same for a job. \param inherited An earlier owner had it, which may have taken the knowledge of a loss with it.
[[nodiscard]] constexpr std::uint32_t mostLossesOf(bool inherited) noexcept
{
    return inherited ? mostLosses - 1 : mostLosses;
}

/// Losses count so long towards how often workers end by themselves. A task that ends its workers comes back every two
/// seconds, so its own three losses fall into it.
constexpr Millis lossMemory { 5'000 };

/// Weights of what is done about tasks that end their workers.
struct LossOptions {
    bool keepsSuspectsApart = true; ///< Whether suspects are placed away from others; without it they are only counted.
    /// Workers lost in a row with which a task is given up, if nothing else explains them.
    std::uint32_t lossesToGiveUp = 3;

    [[nodiscard]] bool operator==(const LossOptions&) const = default;
};

/// \returns A name of what is given up together with an attempt's task: its job, or the task alone if it is long-running, since
/// its job goes on without it.
[[nodiscard]] std::string accusedOf(const Attempt& attempt, bool longRunning);

/// An attempt that was not over when its worker was lost.
struct LostAttempt {
    Attempt attempt;
    bool longRunning = false;
    /// How long, on the worker's clock, it was heard of after it had confirmed the attempt; nothing: it never confirmed it.
    std::optional<Millis> survived;
    bool adopted = false; ///< Found running by this owner: the worker had survived its start before.
    bool inherited = false; ///< An earlier owner had its job.
    std::uint32_t lossesBefore = 0; ///< Workers lost in a row by its task, before this one.

    [[nodiscard]] bool operator==(const LostAttempt&) const = default;
};

/// What a loss means for the attempts that were there.
struct LossVerdict {
    std::vector<LostAttempt> suspects; ///< The loss counts against their tasks.
    std::optional<Attempt> givenUp; ///< One of them.
    std::uint32_t lossesNeeded = 0; ///< Workers lost in a row with which a task would have been given up.

    [[nodiscard]] bool operator==(const LossVerdict&) const = default;
};

/// \brief Judges one lost worker after the other.
///
/// Tasks that are lost together again and again are told apart by being placed apart, not by being counted: a task is
/// given up only if it has lost more workers in a row than any other suspect that would not be given up with it. Workers also end by themselves:
/// the more of them do, the sooner after a start a loss must come to count, and the more losses in a row it takes.
class LossJudge {
public:
    /// \param since When this owner's term began: of losses before that it knows nothing.
    LossJudge(const LossOptions& options, MonotonicInstant since)
        : m_options(options)
        , m_knowsLateLossesAt(since + lossMemory)
    {
    }

    /// \brief Judges the loss of a worker that ended though nobody ordered or announced it.
    /// \param lost The attempts that were there; none: the worker was idle.
    /// \param workers Of the fleet, that live.
    LossVerdict judge(const std::vector<LostAttempt>& lost, std::size_t workers, MonotonicInstant now);

    /// \returns How long a worker must be heard of after a start to have survived it: so short that one
    /// which ends by itself meanwhile is rare, by the losses of late.
    [[nodiscard]] Millis trial(std::size_t workers, MonotonicInstant now);

private:
    [[nodiscard]] double lossesASecond(std::size_t losses, std::size_t workers) const;
    [[nodiscard]] Millis trialAt(double lossesASecond) const;
    [[nodiscard]] std::uint32_t lossesNeeded(double lossesASecond, MonotonicInstant now) const;
    void forgetOld(MonotonicInstant now);

    LossOptions m_options;
    MonotonicInstant m_knowsLateLossesAt;
    std::deque<MonotonicInstant> m_unexplained; ///< Losses of late whose suspects had lost no worker before.
};

} // namespace lanemoor::jobs
