#pragma once
/// \file
/// The way of one process to the store: the platform's adapter behind its decorators.

#include "lanemoor/jobs/store/hedged_store.h"
#include "lanemoor/jobs/store/observed_store.h"
#include "lanemoor/jobs/store/store_outage_options.h"

#include <memory>
#include <optional>

namespace lanemoor::jobs {

/// \brief Observes every call to the platform's store, and repeats those whose answers are overdue.
class StoreAccess {
public:
    /// \param platform Outlives this object, as do `loop` and `log`.
    StoreAccess(EventLoop& loop, KeyValueStore& platform, EventLog& log, const StoreOutageOptions& options);

    /// \returns What the service calls; the platform's adapter itself if this part is switched off.
    [[nodiscard]] KeyValueStore& store() noexcept;

    /// \brief Adds an observer of the store's condition; it is never called if this part is switched off.
    void observe(StoreConditionObserver observer);

    /// \returns The newest condition; never null.
    [[nodiscard]] std::shared_ptr<const StoreCondition> condition() const;

    /// \returns When the newest answered call was sent.
    [[nodiscard]] MonotonicInstant answeredAt() const noexcept;

    /// \brief Sends waiting reads and transactions that were last sent before `sentBefore` once more.
    void resendWaiting(MonotonicInstant sentBefore);

    [[nodiscard]] HedgeCounts hedges() const noexcept;

private:
    KeyValueStore& m_platform;
    std::optional<ObservedStore> m_observed;
    std::optional<HedgedStore> m_hedged;
};

} // namespace lanemoor::jobs
