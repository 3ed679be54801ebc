#pragma once
/// \file
/// Access of a process to the store: the platform's adapter with its decorators.

#include "lanemoor/jobs/store/hedged_store.h"
#include "lanemoor/jobs/store/observed_store.h"
#include "lanemoor/jobs/store/store_outage_options.h"

#include <memory>
#include <optional>

namespace lanemoor::jobs {

/// \brief Observes every call to the platform's store, and repeats calls whose answers are overdue.
class StoreAccess {
public:
    /// \param platform Must outlive this object, like `loop` and `log`.
    StoreAccess(EventLoop& loop, KeyValueStore& platform, EventLog& log, const StoreOutageOptions& options);

    /// \returns The decorated store; the platform's adapter itself if the decorators are disabled.
    [[nodiscard]] KeyValueStore& store() noexcept;

    /// \brief Adds an observer of the store's condition; it is never called if the decorators are disabled.
    void observe(StoreConditionObserver observer);

    /// \returns The latest condition; never null.
    [[nodiscard]] std::shared_ptr<const StoreCondition> condition() const;

    /// \returns When the latest answered call was sent.
    [[nodiscard]] MonotonicInstant answeredAt() const noexcept;

    /// \brief Resends pending reads and transactions that were last sent before `sentBefore`.
    void resendWaiting(MonotonicInstant sentBefore);

    [[nodiscard]] HedgeCounts hedges() const noexcept;

private:
    KeyValueStore& m_platform;
    std::optional<ObservedStore> m_observed;
    std::optional<HedgedStore> m_hedged;
};

} // namespace lanemoor::jobs
