#pragma once
/// \file
/// The faults of a run, as its seed determines them.

#include "lanemoor/decisions/time.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace lanemoor::soak {

/// What goes wrong, or what operators ask for.
enum class FaultKind {
    PauseProcess, ///< SIGSTOP, and SIGCONT at the end.
    KillProcess, ///< SIGKILL, and a restart at the end.
    StopProcess, ///< SIGTERM, and a restart once it has ended and the time is over.
    RefuseStore,
    SilenceStore,
    SlowStore,
    LoseStoreAnswers,
    DelayStoreWrites,
    CutProcessFromStore,
    ResetProcessFromStore,
    SilenceProcessFromStore, ///< Open connections are dead for good; new ones work.
    CutHallForward, ///< Calls of a process to the workers of a data hall arrive late.
    CutHallBackward, ///< The answers to them arrive late.
    CutGroups, ///< A group of processes and a data hall don't reach each other.
    DelayHall,
    KillWorker,
    RestartWorker, ///< It comes back under its id.
    MuteWorker,
    SlowWorker,
    ChangeConfiguration,
    EvacuateHall,
};

/// \returns A short name of `kind`.
[[nodiscard]] std::string_view nameOf(FaultKind kind) noexcept;

/// One fault. Numbers that choose a target are reduced to the number of targets there are.
struct PlannedFault {
    Millis at { 0 }; ///< From the beginning of the run.
    Millis duration { 0 };
    FaultKind kind = FaultKind::PauseProcess;
    bool onOwner = false; ///< Meets the process that owns when the fault begins, in place of `target`.
    unsigned target = 0; ///< Process, or instance of a worker.
    unsigned hall = 0;

    [[nodiscard]] bool operator==(const PlannedFault&) const = default;
};

/// \brief Makes overlapping series of faults, each from random numbers of its own.
///
/// Time is divided into cycles. In the last part of each, only workers fail and operators act, so that bounds which hold
/// only for processes in contact can be judged there; evacuations begin shortly before that part.
/// \param seconds All faults are over by then. \returns The faults in the order in which they begin.
[[nodiscard]] std::vector<PlannedFault> planFaults(std::uint64_t seed, unsigned seconds);

} // namespace lanemoor::soak
