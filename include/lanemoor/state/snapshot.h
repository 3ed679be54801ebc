#pragma once
/// \file
/// The newest version of the state, read without locks.

#include "lanemoor/decisions/fleet_view.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace lanemoor {

/// \brief One version of everything that decisions see. Immutable once published.
struct Snapshot {
    std::shared_ptr<const Configuration> configuration = std::make_shared<const Configuration>();
    std::shared_ptr<const Ledger> ledger = std::make_shared<const Ledger>();
    std::shared_ptr<const Instances> instances = std::make_shared<const Instances>();

    /// \returns A view that must not outlive this snapshot.
    [[nodiscard]] FleetView view(Instant now) const noexcept
    {
        return { .configuration = *configuration, .ledger = *ledger, .instances = *instances, .now = now };
    }
};

/// \brief Publishes snapshots by read-copy-update.
///
/// Readers take the newest snapshot with one atomic load and keep it as long as they
/// need it. Writers copy, change and publish under a lock. Configuration and ledger
/// only ever go forward: an older version is refused.
class SnapshotHolder {
public:
    /// \returns The newest snapshot; never null.
    [[nodiscard]] std::shared_ptr<const Snapshot> load() const noexcept { return m_current.load(std::memory_order_acquire); }

    /// \returns Whether `configuration` is newer than the one in force and now is in force.
    bool offerConfiguration(Configuration configuration);

    /// \returns Whether `ledger` is newer than the one known and now is known.
    bool offerLedger(Ledger ledger);

    void setInstances(Instances instances);

private:
    std::mutex m_writers;
    std::atomic<std::shared_ptr<const Snapshot>> m_current { std::make_shared<const Snapshot>() };
};

} // namespace lanemoor
