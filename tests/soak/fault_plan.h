#pragma once
/// \file
/// The fault plan of a soak run, generated from its seed.

#include "lanemoor/decisions/time.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace lanemoor::soak {

/// A fault or an operator's action.
enum class FaultKind {
    PauseProcess, ///< SIGSTOP, and SIGCONT at the end.
    KillProcess, ///< SIGKILL, and a restart at the end.
    StopProcess, ///< SIGTERM, and a restart once the process has ended and the duration has passed.
    RefuseStore,
    HangStore,
    SlowStore,
    LoseStoreAnswers,
    DelayStoreWrites,
    CutProcessFromStore,
    ResetProcessFromStore,
    StallProcessFromStore, ///< Open connections carry no more data; new ones work.
    CutHallForward, ///< Calls from a process to the workers of a data hall arrive late.
    CutHallBackward, ///< The responses to these calls arrive late.
    CutGroups, ///< A group of processes is partitioned from a data hall.
    DelayHall,
    KillWorker,
    RestartWorker, ///< The worker restarts under the same id.
    HangWorker,
    SlowWorker,
    ChangeConfiguration,
    EvacuateHall,
    RefuseStarts, ///< All workers refuse starts.
    HangAdvisor, ///< Calls to the placement advisor end without an answer.
};

/// \returns The name of `kind` in the fault log.
[[nodiscard]] std::string_view nameOf(FaultKind kind) noexcept;

/// One fault. `target` and `hall` are taken modulo the number of available targets.
struct PlannedFault {
    Millis at { 0 }; ///< Offset from the start of the run.
    Millis duration { 0 };
    FaultKind kind = FaultKind::PauseProcess;
    bool onOwner = false; ///< Targets the owner at the start of the fault instead of `target`.
    unsigned target = 0; ///< Number of a process, or of a worker's instance.
    unsigned hall = 0;

    [[nodiscard]] bool operator==(const PlannedFault&) const = default;
};

/// \brief Generates overlapping series of faults, each from its own random sequence.
///
/// Time is divided into cycles. In the last phase of each, only workers fail and operators act, so that bounds which hold
/// only for connected processes can be checked there; evacuations begin shortly before that phase.
/// \param seconds Time by which all faults are over. \returns The faults in order of their start.
[[nodiscard]] std::vector<PlannedFault> planFaults(std::uint64_t seed, unsigned seconds);

} // namespace lanemoor::soak
