#include "lanemoor/state/snapshot.h"

#include <utility>

namespace lanemoor {

bool SnapshotHolder::offerConfiguration(Configuration configuration)
{
    const std::lock_guard lock(m_writeMutex);
    Snapshot next = *load();
    if (configuration.revision <= next.configuration->revision)
        return false;
    next.configuration = std::make_shared<const Configuration>(std::move(configuration));
    m_current.store(std::make_shared<const Snapshot>(std::move(next)), std::memory_order_release);
    return true;
}

bool SnapshotHolder::offerLedger(Ledger ledger)
{
    const std::lock_guard lock(m_writeMutex);
    Snapshot next = *load();
    if (ledger.version <= next.ledger->version)
        return false;
    next.ledger = std::make_shared<const Ledger>(std::move(ledger));
    m_current.store(std::make_shared<const Snapshot>(std::move(next)), std::memory_order_release);
    return true;
}

void SnapshotHolder::setInstances(Instances instances)
{
    const std::lock_guard lock(m_writeMutex);
    Snapshot next = *load();
    next.instances = std::make_shared<const Instances>(std::move(instances));
    m_current.store(std::make_shared<const Snapshot>(std::move(next)), std::memory_order_release);
}

} // namespace lanemoor
