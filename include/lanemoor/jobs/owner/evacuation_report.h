#pragma once
/// \file
/// Report for operators on data halls that are evacuated or lost, and its JSON format.

#include "lanemoor/jobs/policy/failure_domains.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// Attempts that remain in one pool of a data hall, by reason.
struct HallPoolReport {
    std::string pool;
    std::uint32_t workers = 0; ///< Workers whose incarnation has not ended or that still have attempts.
    std::uint32_t batchTasks = 0; ///< Attempts of batch tasks.
    std::uint32_t longTasks = 0; ///< Attempts of long-running tasks, which must be moved.
    std::uint32_t heldByBudget = 0; ///< Long-running attempts that the disruption budget of their step currently protects.
    std::uint32_t stopping = 0; ///< Attempts being stopped.
    std::uint32_t unreachable = 0; ///< Attempts on unresponsive workers; they count until their lease expires.

    [[nodiscard]] std::uint32_t tasks() const noexcept { return batchTasks + longTasks; }

    [[nodiscard]] bool operator==(const HallPoolReport&) const = default;
};

/// A data hall that is evacuated or lost.
struct HallReport {
    std::string dataHall;
    FailureDomainState state = FailureDomainState::Evacuating;
    std::int64_t forMillis = 0; ///< Time in this state, as observed by the owner.
    std::vector<HallPoolReport> pools;
    std::optional<std::int64_t> emptyInMillis; ///< Expected time until the hall is empty, by declared and observed run times; nothing while long-running tasks remain.

    [[nodiscard]] std::uint32_t tasks() const noexcept;

    [[nodiscard]] bool operator==(const HallReport&) const = default;
};

/// All data halls that are evacuated or lost. Only the owner has this information.
struct EvacuationsReport {
    bool ownedHere = false;
    std::string owner; ///< Empty: no known owner.
    bool confirmed = false; ///< The requests were read recently enough to allow starts.
    std::int64_t ageMillis = 0; ///< Time since the requests were last read.
    std::vector<HallReport> halls;

    [[nodiscard]] bool operator==(const EvacuationsReport&) const = default;
};

/// \returns JSON for operators.
[[nodiscard]] std::string formatEvacuations(const EvacuationsReport& report);

} // namespace lanemoor::jobs
