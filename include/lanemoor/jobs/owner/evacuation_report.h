#pragma once
/// \file
/// What operators are shown of data halls that are evacuated or lost: values, and their JSON.

#include "lanemoor/jobs/policy/failure_domains.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// What remains of one pool in a data hall, and why.
struct HallPoolReport {
    std::string pool;
    std::uint32_t workers = 0; ///< Of instances that have not left the pool.
    std::uint32_t batchTasks = 0; ///< Attempts that end by themselves.
    std::uint32_t longTasks = 0; ///< Attempts that are to be moved.
    std::uint32_t heldByBudget = 0; ///< Of the long ones, those that the disruption budget of their step holds back now.
    std::uint32_t stopping = 0; ///< Attempts being stopped.
    std::uint32_t unreachable = 0; ///< Attempts at workers that do not answer, until their lease is over.

    [[nodiscard]] std::uint32_t tasks() const noexcept { return batchTasks + longTasks; }

    [[nodiscard]] bool operator==(const HallPoolReport&) const = default;
};

/// A data hall that does not serve.
struct HallReport {
    std::string dataHall;
    FailureDomainState state = FailureDomainState::Evacuating;
    std::int64_t forMillis = 0; ///< Since the state began, as the owner read it.
    std::vector<HallPoolReport> pools;
    std::optional<std::int64_t> emptyInMillis; ///< By declared times and what is observed; nothing: long-running tasks remain.

    [[nodiscard]] std::uint32_t tasks() const noexcept;

    [[nodiscard]] bool operator==(const HallReport&) const = default;
};

/// All data halls that do not serve. Only the owner knows what remains there.
struct EvacuationsReport {
    bool ownedHere = false;
    std::string owner; ///< Empty: nobody, as far as is known.
    bool confirmed = false; ///< The requests were read recently enough for starts.
    std::int64_t ageMillis = 0; ///< Since the requests were last asked for.
    std::vector<HallReport> halls;

    [[nodiscard]] bool operator==(const EvacuationsReport&) const = default;
};

/// \returns JSON for operators.
[[nodiscard]] std::string formatEvacuations(const EvacuationsReport& report);

} // namespace lanemoor::jobs
