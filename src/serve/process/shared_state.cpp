#include "lanemoor/serve/process/shared_state.h"

#include "lanemoor/state/configuration_document.h"
#include "lanemoor/state/ledger_codec.h"

#include <algorithm>
#include <utility>

namespace lanemoor {

SharedState::SharedState(Settings settings, std::string holder, Metrics& metrics, EventLog& log)
    : m_settings(std::move(settings))
    , m_holder(std::move(holder))
    , m_metrics(metrics)
    , m_log(log)
{
}

void SharedState::acceptConfiguration(std::uint64_t version, const std::string& body)
{
    if (version <= snapshot()->configuration->revision)
        return;
    ConfigurationReader reader;
    std::optional<Configuration> configuration = reader.read(body, version);
    if (!configuration) {
        m_log.change("configuration-unreadable", { { "revision", static_cast<std::int64_t>(version) }, { "fault", formatFault("configuration", reader.faults().front()) } });
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (!m_snapshots.offerConfiguration(std::move(*configuration)))
        return;
    m_configuration = { .version = version, .body = body };
    publishRoutes();
    m_metrics.set(StateGauge::ConfigurationRevision, static_cast<double>(version));
    m_log.change("configuration-in-force", { { "revision", static_cast<std::int64_t>(version) } });
}

void SharedState::acceptLedger(std::uint64_t version, const std::string& body)
{
    if (version <= snapshot()->ledger->version)
        return;
    std::optional<Ledger> ledger = decodeLedger(body, version);
    if (!ledger) {
        m_log.change("ledger-unreadable", { { "version", static_cast<std::int64_t>(version) } });
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (!m_snapshots.offerLedger(std::move(*ledger)))
        return;
    m_ledger = { .version = version, .body = body };
    publishRoutes();
    m_metrics.set(StateGauge::LedgerVersion, static_cast<double>(version));
}

void SharedState::onList(Instances listed)
{
    {
        const std::lock_guard lock(m_mutex);
        m_merger.onList(std::move(listed));
    }
    m_listReadAt.store(currentInstant(), std::memory_order_release);
    refreshObservations();
}

void SharedState::onPeerReport(const std::string& peer, std::set<std::string> failing, std::set<std::string> leaving)
{
    const std::lock_guard lock(m_mutex);
    m_merger.onReport(peer, std::move(failing), std::move(leaving), currentInstant());
}

void SharedState::refreshObservations()
{
    const std::lock_guard lock(m_mutex);
    const Instant now = currentInstant();
    m_merger.onReport(m_settings.name, m_endpoints.failing(), m_endpoints.leaving(), now);
    const std::shared_ptr<const Snapshot> before = m_snapshots.load();
    Instances merged = m_merger.merge(*before->ledger, now);
    if (merged == *before->instances)
        return;
    m_snapshots.setInstances(std::move(merged));
    publishRoutes();
}

void SharedState::setShard(EntryShard shard)
{
    const std::lock_guard lock(m_mutex);
    if (m_shard == shard)
        return;
    m_shard = shard;
    publishRoutes();
}

EntryShard SharedState::shard() const
{
    const std::lock_guard lock(m_mutex);
    return m_shard;
}

AcceptedDocument SharedState::configurationDocument() const
{
    const std::lock_guard lock(m_mutex);
    return m_configuration;
}

AcceptedDocument SharedState::ledgerDocument() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger;
}

void SharedState::onStoreReachedByPeer(Instant instant) noexcept
{
    Instant known = m_storeReachedByPeerAt.load(std::memory_order_acquire);
    while (known < instant && !m_storeReachedByPeerAt.compare_exchange_weak(known, instant, std::memory_order_acq_rel)) { }
}

Instant SharedState::storeReachedByAnyAt() const noexcept
{
    return std::max(storeReachedAt(), m_storeReachedByPeerAt.load(std::memory_order_acquire));
}

void SharedState::setPeers(std::size_t known, std::size_t reporting, std::vector<PeerStatus> statuses)
{
    m_peersKnown.store(known, std::memory_order_release);
    m_peersReporting.store(reporting, std::memory_order_release);
    const std::lock_guard lock(m_mutex);
    m_peers = std::move(statuses);
}

std::vector<PeerStatus> SharedState::peers() const
{
    const std::lock_guard lock(m_mutex);
    return m_peers;
}

std::set<std::string> SharedState::locallyObservedLeaving() const
{
    std::set<std::string> leaving = m_endpoints.leaving();
    const std::lock_guard lock(m_mutex);
    leaving.merge(m_merger.listedLeaving());
    return leaving;
}

Readiness SharedState::readiness() const
{
    const ReadinessInputs inputs {
        .configurationRevision = snapshot()->configuration->revision,
        .hasShard = shard().shardCount > 0,
        .stopping = isStopping(),
        .storeReachedAt = storeReachedAt(),
        .peersKnown = m_peersKnown.load(std::memory_order_acquire),
        .peersReporting = m_peersReporting.load(std::memory_order_acquire),
    };
    return evaluateReadiness(inputs, currentInstant());
}

void SharedState::stop()
{
    m_stopping.store(true, std::memory_order_release);
}

void SharedState::quit()
{
    {
        const std::lock_guard lock(m_mutex);
        m_quitting.store(true, std::memory_order_release);
    }
    m_quitChanged.notify_all();
}

bool SharedState::pause(Millis time)
{
    std::unique_lock lock(m_mutex);
    return !m_quitChanged.wait_for(lock, time, [this] { return isQuitting(); });
}

void SharedState::publishRoutes()
{
    m_routes.store(std::make_shared<const RoutingTable>(*m_snapshots.load(), m_shard, m_endpoints), std::memory_order_release);
}

} // namespace lanemoor
