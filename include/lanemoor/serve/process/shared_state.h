#pragma once
/// \file
/// State shared by the threads of one entry instance.

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/adapters/metrics.h"
#include "lanemoor/serve/process/endpoint_registry.h"
#include "lanemoor/serve/process/readiness.h"
#include "lanemoor/serve/version/routing_table.h"
#include "lanemoor/state/observation_merger.h"
#include "lanemoor/state/settings.h"
#include "lanemoor/state/snapshot.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// \name Store keys and leases
///@{
inline constexpr std::string_view configurationKey = "configuration";
inline constexpr std::string_view ledgerKey = "ledger";
inline constexpr std::string_view controlLease = "control";
///@}

/// The last accepted version of a store document, kept to send it to peers.
struct AcceptedDocument {
    std::uint64_t version = 0;
    std::string body;
};

/// The last reported status of another entry instance.
struct PeerStatus {
    std::string name;
    std::string address;
    std::uint64_t configurationRevision = 0;
    std::uint64_t ledgerVersion = 0;
    Instant lastReportAt;
};

/// \brief State of the process, shared by its threads. Thread-safe.
class SharedState {
public:
    SharedState(Settings settings, std::string holder, Metrics& metrics, EventLog& log);

    [[nodiscard]] const Settings& settings() const noexcept { return m_settings; }

    /// \returns The name of this incarnation as a lease holder, unique across restarts.
    [[nodiscard]] const std::string& holder() const noexcept { return m_holder; }
    [[nodiscard]] Metrics& metrics() noexcept { return m_metrics; }
    [[nodiscard]] EventLog& log() noexcept { return m_log; }
    [[nodiscard]] EndpointRegistry& endpoints() noexcept { return m_endpoints; }

    /// \name Versions in force
    ///@{
    [[nodiscard]] std::shared_ptr<const Snapshot> snapshot() const noexcept { return m_snapshots.load(); }
    [[nodiscard]] std::shared_ptr<const RoutingTable> routes() const noexcept { return m_routes.load(std::memory_order_acquire); }

    /// \brief Accepts a configuration from the store or a peer; ignores an older one.
    void acceptConfiguration(std::uint64_t version, const std::string& body);

    /// \brief Accepts a ledger from the store or a peer; ignores an older one.
    void acceptLedger(std::uint64_t version, const std::string& body);

    void onList(Instances listed);
    void onPeerReport(const std::string& peer, std::set<std::string> failing, std::set<std::string> leaving);

    /// \brief Merges all observations again and publishes the result.
    void refreshObservations();

    void setShard(EntryShard shard);
    [[nodiscard]] EntryShard shard() const;

    /// \returns Instances that this entry instance, not a peer, found leaving.
    [[nodiscard]] std::set<std::string> locallyObservedLeaving() const;

    [[nodiscard]] AcceptedDocument configurationDocument() const;
    [[nodiscard]] AcceptedDocument ledgerDocument() const;
    ///@}

    /// \name Contact with the store, the platform and peers
    ///@{
    void onStoreReached() noexcept { m_storeReachedAt.store(currentInstant(), std::memory_order_release); }
    [[nodiscard]] Instant storeReachedAt() const noexcept { return m_storeReachedAt.load(std::memory_order_acquire); }
    /// \brief Records that another entry instance reached the store at `instant`.
    void onStoreReachedByPeer(Instant instant) noexcept;
    /// \returns The last known time at which this or any other entry instance reached the store.
    [[nodiscard]] Instant storeReachedByAnyAt() const noexcept;
    [[nodiscard]] Instant listReadAt() const noexcept { return m_listReadAt.load(std::memory_order_acquire); }
    /// \param known The number of all known peers.
    /// \param reporting The number of peers that reported within the last seconds.
    void setPeers(std::size_t known, std::size_t reporting, std::vector<PeerStatus> statuses);
    [[nodiscard]] std::vector<PeerStatus> peers() const;
    [[nodiscard]] Readiness readiness() const;
    ///@}

    /// \name Stopping
    ///@{
    void stop();
    [[nodiscard]] bool isStopping() const noexcept { return m_stopping.load(std::memory_order_acquire); }

    /// \brief Ends the background threads. Called after the last request has ended.
    void quit();
    [[nodiscard]] bool isQuitting() const noexcept { return m_quitting.load(std::memory_order_acquire); }

    /// \brief Sleeps for `time` or until `quit` is called.
    /// \returns False if the process is quitting.
    bool pause(Millis time);
    ///@}

private:
    void publishRoutes();

    Settings m_settings;
    std::string m_holder;
    Metrics& m_metrics;
    EventLog& m_log;
    EndpointRegistry m_endpoints;
    SnapshotHolder m_snapshots;
    std::atomic<std::shared_ptr<const RoutingTable>> m_routes { std::make_shared<const RoutingTable>() };
    mutable std::mutex m_mutex;
    std::condition_variable m_quitChanged;
    ObservationMerger m_merger;
    AcceptedDocument m_configuration;
    AcceptedDocument m_ledger;
    EntryShard m_shard;
    std::vector<PeerStatus> m_peers;
    std::atomic<Instant> m_storeReachedAt { Instant {} };
    std::atomic<Instant> m_storeReachedByPeerAt { Instant {} };
    std::atomic<Instant> m_listReadAt { Instant {} };
    std::atomic<std::size_t> m_peersKnown { 0 };
    std::atomic<std::size_t> m_peersReporting { 0 };
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_quitting { false };
};

} // namespace lanemoor
