#pragma once
/// \file
/// The current state, read without locks.

#include "lanemoor/decisions/fleet_view.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace lanemoor {

/// \brief One version of the configuration, ledger and instances. Immutable once published.
struct Snapshot {
    std::shared_ptr<const Configuration> configuration = std::make_shared<const Configuration>();
    std::shared_ptr<const Ledger> ledger = std::make_shared<const Ledger>();
    std::shared_ptr<const Instances> instances = std::make_shared<const Instances>();

    /// \returns A view of this snapshot, which must not outlive the snapshot.
    [[nodiscard]] FleetView view(Instant now) const noexcept
    {
        return { .configuration = *configuration, .ledger = *ledger, .instances = *instances, .now = now };
    }
};

/// \brief Publishes snapshots by read-copy-update.
///
/// Readers get the current snapshot with one atomic load and keep it as long as they need
/// it. Writers copy, change and publish it under a lock. Versions of configuration and
/// ledger never decrease: a version that is not newer is refused.
class SnapshotHolder {
public:
    /// \returns The current snapshot; never null.
    [[nodiscard]] std::shared_ptr<const Snapshot> load() const noexcept { return m_current.load(std::memory_order_acquire); }

    /// \brief Publishes `configuration` if it is newer than the current one.
    /// \returns Whether it was published.
    bool offerConfiguration(Configuration configuration);

    /// \brief Publishes `ledger` if it is newer than the current one.
    /// \returns Whether it was published.
    bool offerLedger(Ledger ledger);

    void setInstances(Instances instances);

private:
    std::mutex m_writeMutex;
    std::atomic<std::shared_ptr<const Snapshot>> m_current { std::make_shared<const Snapshot>() };
};

} // namespace lanemoor
