#pragma once
/// \file
/// Derives the state of the store from the results of calls. Pure: time is passed in.

#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/model/store_condition.h"

#include <array>
#include <cstdint>
#include <optional>

namespace lanemoor::jobs {

/// Whether a call may change the store. Calls on leases count as writes, watches as reads.
enum class StoreCallKind : std::uint8_t {
    Read,
    Write,
};

/// \returns A short name of `kind` for logs.
[[nodiscard]] std::string_view nameOf(StoreCallKind kind) noexcept;

/// \brief Detects an outage of the store: calls fail, and no call sent after the first failed one is answered. A single lost call
/// changes nothing; one answered call ends the outage.
class StoreConditionTracker {
public:
    explicit StoreConditionTracker(MonotonicInstant now) noexcept;

    /// \brief Records the result of a call. \returns Whether the state changed.
    bool note(StoreCallKind kind, StoreOutcome outcome, MonotonicInstant sentAt, MonotonicInstant now) noexcept;

    [[nodiscard]] const StoreCondition& condition() const noexcept { return m_condition; }

    /// \returns When the latest answered call was sent.
    [[nodiscard]] MonotonicInstant answeredAt() const noexcept;

private:
    struct Evidence {
        MonotonicInstant answeredAt; ///< When the latest answered call was sent.
        std::optional<MonotonicInstant> failedSince; ///< When the first failed call after that was sent.
        std::uint32_t failures = 0;
    };

    [[nodiscard]] Evidence& evidenceOf(StoreCallKind kind) noexcept { return m_evidence[static_cast<std::size_t>(kind)]; }
    [[nodiscard]] static bool isFailing(const Evidence& evidence, MonotonicInstant now) noexcept;
    void noteAnswered(StoreCallKind kind, MonotonicInstant sentAt) noexcept;
    void noteFailed(StoreCallKind kind, StoreOutcome outcome, MonotonicInstant sentAt) noexcept;
    [[nodiscard]] StoreState stateAt(MonotonicInstant now) noexcept;

    StoreCondition m_condition;
    std::array<Evidence, 2> m_evidence;
    StoreOutcome m_lastFailure = StoreOutcome::Unknown;
};

} // namespace lanemoor::jobs
