#include "lanemoor/serve/process/background.h"

#include "lanemoor/decisions/endpoint_choice.h"

#include <algorithm>
#include <utility>

namespace lanemoor {

namespace {

constexpr Millis watchWait { 2'000 };
constexpr Millis pauseAfterFault { 500 };
constexpr Millis listInterval { 500 };
/// Renewals within one lease duration.
constexpr int renewalsPerLease = 3;

std::string shardLeaseName(std::uint32_t number)
{
    return "seat-" + std::to_string(number);
}

} // namespace

DocumentWatch::DocumentWatch(SharedState& state, std::unique_ptr<Store> store, std::string key, DocumentCallback callback)
    : m_state(state)
    , m_store(std::move(store))
    , m_key(std::move(key))
    , m_callback(std::move(callback))
{
}

void DocumentWatch::run()
{
    std::uint64_t seen = 0;
    while (!m_state.isQuitting()) {
        m_state.metrics().count(EventCounter::StoreCalls);
        const std::optional<StoredValue> value = m_store->watch(m_key, seen, watchWait);
        if (value) {
            m_state.onStoreReached();
            seen = std::max(seen, value->version);
            m_callback(value->version, value->body);
        } else if (m_store->lastFault() == StoreFault::NotFound) {
            m_state.onStoreReached();
        } else {
            m_state.metrics().count(EventCounter::StoreFaults);
            m_state.pause(pauseAfterFault);
        }
    }
}

ListPoller::ListPoller(SharedState& state, std::unique_ptr<Platform> platform)
    : m_state(state)
    , m_platform(std::move(platform))
{
}

void ListPoller::run()
{
    do {
        std::optional<Instances> listed = m_platform->list();
        const bool unavailable = !listed;
        if (unavailable != m_listUnavailable)
            m_state.log().change(unavailable ? "list-away" : "list-back");
        m_listUnavailable = unavailable;
        if (listed) {
            m_state.onList(std::move(*listed));
        } else {
            m_state.metrics().count(EventCounter::ListFaults);
            m_state.refreshObservations();
        }
    } while (m_state.pause(listInterval));
}

ShardLeaseManager::ShardLeaseManager(SharedState& state, std::unique_ptr<Store> store)
    : m_state(state)
    , m_store(std::move(store))
{
}

void ShardLeaseManager::run()
{
    const Millis interval = m_state.settings().leaseTime / renewalsPerLease;
    do {
        if (m_number)
            renew();
        else
            acquireAnyShard();
        if (m_number && currentInstant() >= m_usableFrom)
            m_state.setShard({ .number = *m_number, .shardCount = m_state.settings().shardCount });
    } while (m_state.pause(m_number && currentInstant() >= m_usableFrom ? interval : interval / renewalsPerLease));
    m_state.setShard({});
    if (m_number)
        m_store->release(shardLeaseName(*m_number), m_state.holder());
}

void ShardLeaseManager::acquireAnyShard()
{
    const std::uint32_t shardCount = m_state.settings().shardCount;
    for (std::uint32_t number = 0; number < shardCount; ++number) {
        m_state.metrics().count(EventCounter::StoreCalls);
        const std::optional<Lease> lease = m_store->acquire(shardLeaseName(number), m_state.holder(), m_state.settings().leaseTime);
        if (!lease && m_store->lastFault() != StoreFault::Conflict)
            return; // The store is unavailable; the next round retries.
        if (!lease)
            continue;
        const bool hadOtherHolder = lease->epoch > 1;
        m_number = number;
        m_lease = *lease;
        m_usableFrom = currentInstant() + (hadOtherHolder ? m_state.settings().leaseTime : Millis(0));
        m_state.log().change("seat-taken", { { "seat", std::int64_t { number } } });
        return;
    }
}

void ShardLeaseManager::renew()
{
    m_state.metrics().count(EventCounter::StoreCalls);
    const std::optional<Lease> lease = m_store->acquire(shardLeaseName(*m_number), m_state.holder(), m_state.settings().leaseTime);
    if (lease && lease->epoch == m_lease.epoch) {
        m_state.onStoreReached();
        m_lease = *lease;
        return;
    }
    if (lease || m_store->lastFault() == StoreFault::Conflict) {
        dropShard("another holder");
        return;
    }
    // The store is unreachable. Another instance can have acquired the shard only if a peer
    // has reached the store since the lease expired. Otherwise the shard is kept.
    m_state.metrics().count(EventCounter::StoreFaults);
    if (currentInstant() >= m_lease.expiresAt && m_state.storeReachedByAnyAt() > m_lease.expiresAt)
        dropShard("cut off from the store");
}

void ShardLeaseManager::dropShard(const char* reason)
{
    m_state.log().change("seat-lost", { { "seat", std::int64_t { *m_number } }, { "reason", std::string(reason) } });
    m_number.reset();
    m_state.setShard({});
}

} // namespace lanemoor
