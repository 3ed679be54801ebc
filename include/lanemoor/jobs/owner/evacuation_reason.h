#pragma once
/// \file
/// Reasons of the fleet controller to keep a worker empty.

#include "lanemoor/jobs/model/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lanemoor::jobs {

/// Why a worker is emptied and closed to new tasks.
enum class EvacuationReason {
    None, ///< No drain, call or wave in progress names the worker: a fault of the owner.
    Drain, ///< Its instance is drained for another pool.
    Move, ///< A call that moves its instance is in progress.
    UnansweredMove, ///< Such a call got no response and may still be carried out.
    Wave, ///< A maintenance wave needs its instance empty.
    RepeatedMaintenance, ///< The platform accepted a repeated maintenance request, which ended this worker or an earlier one.
};

/// Reasons by worker id.
using EvacuationReasons = std::map<std::string, EvacuationReason>;

[[nodiscard]] std::string_view nameOf(EvacuationReason reason) noexcept;

/// A worker whose evacuation has begun or ended.
struct WorkerEvacuation {
    std::string worker;
    bool isEvacuating = false; ///< From now on.

    [[nodiscard]] bool operator==(const WorkerEvacuation&) const = default;
};

/// Workers that are emptied and closed to new tasks.
struct EvacuationReading {
    std::map<EvacuationReason, std::uint32_t> workers; ///< Count by reason.
    Millis longest { 0 }; ///< Time since the earliest evacuation that has not ended.

    [[nodiscard]] bool operator==(const EvacuationReading&) const = default;
};

} // namespace lanemoor::jobs
