#include "lanemoor/serve/process/peer_link.h"

#include "generated/lanemoor.pb.h"
#include "lanemoor/serve/process/peer_keys.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>
#include <vector>
#include <zmq.hpp>

namespace lanemoor {

namespace {

constexpr Millis sendInterval { 500 };
/// A peer counts as reporting for this long after its last message.
constexpr Millis reportValidity { 3'000 };
/// A peer without messages for this long is removed, unless the settings name it.
constexpr Millis peerRemovalTimeout { 60'000 };
/// A peer that lags for this long is sent the documents; normally it reads them from the store.
constexpr Millis lagTolerance { 1'200 };
constexpr int maxQueuedMessages = 16; ///< Max queued messages for one peer; further ones are dropped.
constexpr std::size_t maxPeers = 64;
constexpr std::size_t maxMessageBytes = 4 * 1024 * 1024;

/// Connection and last reported state of one peer.
struct Peer {
    std::string address;
    std::unique_ptr<zmq::socket_t> socket;
    std::string name; ///< Empty until the first message.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t configurationRevision = 0;
    std::uint64_t ledgerVersion = 0;
    Instant lastReportAt;
    Instant laggingSince; ///< The clock's epoch if the peer doesn't lag.
    bool fromSettings = false;
};

std::string addressOf(const PeerAddress& peer)
{
    return "tcp://" + peer.ip + ':' + std::to_string(peer.port);
}

bool isPeerAddress(const std::string& text)
{
    constexpr std::size_t maxAddressBytes = 64;
    return text.rfind("tcp://", 0) == 0 && text.size() < maxAddressBytes && text.find('*') == std::string::npos;
}

template <typename Strings>
std::set<std::string> setOf(const Strings& strings)
{
    return { strings.begin(), strings.end() };
}

} // namespace

class PeerLink::Impl {
public:
    explicit Impl(SharedState& state)
        : m_state(state)
        , m_receiver(m_context, zmq::socket_type::pull)
        , m_incarnation(static_cast<std::uint64_t>(currentInstant().time_since_epoch().count()))
    {
        m_receiver.set(zmq::sockopt::linger, 0);
        m_receiver.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(maxMessageBytes));
        const PeerListenSettings& listen = state.settings().peer;
        if (!listen.keyFile.empty())
            useKeys(listen.keyFile);
        try {
            m_receiver.bind("tcp://" + listen.ip + ':' + (listen.port == 0 ? "*" : std::to_string(listen.port)));
        } catch (const zmq::error_t& error) {
            throw std::runtime_error("peer address: " + std::string(error.what()));
        }
        m_address = m_receiver.get(zmq::sockopt::last_endpoint);
        for (const PeerAddress& peer : state.settings().peers)
            addPeer(addressOf(peer), true);
    }

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }

    void run()
    {
        Instant nextSend = currentInstant();
        while (!m_state.isQuitting()) {
            const auto left = std::max<std::int64_t>(0, (nextSend - currentInstant()).count());
            zmq::pollitem_t item { m_receiver.handle(), 0, ZMQ_POLLIN, 0 };
            zmq::poll(&item, 1, Millis(left));
            while (receiveOne()) { }
            if (currentInstant() < nextSend)
                continue;
            nextSend = currentInstant() + sendInterval;
            removeStalePeers();
            sendAll();
        }
    }

private:
    void useKeys(const std::string& file)
    {
        m_keys = readPeerKeys(file);
        if (!m_keys)
            throw std::runtime_error("peer keys: " + file + " can't be read");
        m_authenticator = std::make_unique<PeerAuthenticator>(m_context, m_keys->publicKey);
        m_receiver.set(zmq::sockopt::curve_server, true);
        m_receiver.set(zmq::sockopt::curve_secretkey, m_keys->secretKey);
        m_receiver.set(zmq::sockopt::zap_domain, "peers");
    }

    void addPeer(const std::string& address, bool fromSettings)
    {
        const bool usable = isPeerAddress(address) && address != m_address && m_peers.size() < maxPeers;
        if (!usable || m_peers.contains(address))
            return;
        Peer peer;
        peer.address = address;
        peer.fromSettings = fromSettings;
        peer.lastReportAt = currentInstant();
        peer.socket = std::make_unique<zmq::socket_t>(m_context, zmq::socket_type::push);
        peer.socket->set(zmq::sockopt::linger, 0);
        peer.socket->set(zmq::sockopt::sndhwm, maxQueuedMessages);
        if (m_keys) {
            peer.socket->set(zmq::sockopt::curve_serverkey, m_keys->publicKey);
            peer.socket->set(zmq::sockopt::curve_publickey, m_keys->publicKey);
            peer.socket->set(zmq::sockopt::curve_secretkey, m_keys->secretKey);
        }
        try {
            peer.socket->connect(address);
        } catch (const zmq::error_t&) {
            m_state.metrics().count(EventCounter::PeerMessagesBad);
            return;
        }
        m_peers.emplace(address, std::move(peer));
    }

    void removeStalePeers()
    {
        const Instant now = currentInstant();
        std::erase_if(m_peers, [&](const auto& known) { return !known.second.fromSettings && now >= known.second.lastReportAt + peerRemovalTimeout; });
        const auto isNamed = [](const auto& known) { return !known.second.name.empty(); };
        const auto isReporting = [&](const auto& known) { return isNamed(known) && now < known.second.lastReportAt + reportValidity; };
        std::vector<PeerStatus> statuses;
        for (const auto& [address, peer] : m_peers)
            statuses.push_back({ .name = peer.name, .address = address, .configurationRevision = peer.configurationRevision, .ledgerVersion = peer.ledgerVersion, .lastReportAt = peer.lastReportAt });
        m_state.setPeers(m_peers.size(), static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), isReporting)), std::move(statuses));
    }

    [[nodiscard]] bool receiveOne()
    {
        zmq::message_t message;
        if (!m_receiver.recv(message, zmq::recv_flags::dontwait))
            return false;
        wire::PeerState state;
        const bool readable = state.ParseFromArray(message.data(), static_cast<int>(message.size())) && isPeerAddress(state.peer_address()) && !state.entry().empty();
        m_state.metrics().count(readable ? EventCounter::PeerMessagesReceived : EventCounter::PeerMessagesBad);
        if (readable)
            acceptReport(state);
        return true;
    }

    void acceptReport(const wire::PeerState& state)
    {
        addPeer(state.peer_address(), false);
        const auto known = m_peers.find(state.peer_address());
        if (known == m_peers.end())
            return;
        Peer& peer = known->second;
        const bool older = std::pair(state.incarnation(), state.sequence()) <= std::pair(peer.incarnation, peer.sequence);
        if (older)
            return;
        peer.name = state.entry();
        peer.incarnation = state.incarnation();
        peer.sequence = state.sequence();
        peer.configurationRevision = state.configuration_revision();
        peer.ledgerVersion = state.ledger_version();
        peer.lastReportAt = currentInstant();
        for (const std::string& address : state.known_peers())
            addPeer(address, false);
        m_state.onPeerReport(peer.name, setOf(state.failing_instances()), setOf(state.leaving_instances()));
        // Clocks may differ slightly; a time in the future is capped to now.
        m_state.onStoreReachedByPeer(std::min(Instant(Millis(state.store_reached_ms())), currentInstant()));
        if (state.has_configuration())
            m_state.acceptConfiguration(state.configuration().version(), state.configuration().body());
        if (state.has_ledger())
            m_state.acceptLedger(state.ledger().version(), state.ledger().body());
    }

    void sendAll()
    {
        wire::PeerState state;
        state.set_entry(m_state.settings().name);
        state.set_incarnation(m_incarnation);
        state.set_sequence(++m_sequence);
        state.set_peer_address(m_address);
        const AcceptedDocument configuration = m_state.configurationDocument();
        const AcceptedDocument ledger = m_state.ledgerDocument();
        state.set_configuration_revision(configuration.version);
        state.set_ledger_version(ledger.version);
        state.set_store_reached_ms(m_state.storeReachedByAnyAt().time_since_epoch().count());
        for (const auto& [address, peer] : m_peers) {
            if (!peer.name.empty())
                state.add_known_peers(address);
        }
        for (const std::string& id : m_state.endpoints().failing())
            state.add_failing_instances(id);
        for (const std::string& id : m_state.locallyObservedLeaving())
            state.add_leaving_instances(id);
        for (auto& [address, peer] : m_peers)
            sendTo(peer, state, configuration, ledger);
    }

    void sendTo(Peer& peer, wire::PeerState state, const AcceptedDocument& configuration, const AcceptedDocument& ledger)
    {
        const Instant now = currentInstant();
        const bool isLagging = !peer.name.empty() && (peer.configurationRevision < configuration.version || peer.ledgerVersion < ledger.version);
        if (!isLagging)
            peer.laggingSince = Instant {};
        else if (peer.laggingSince == Instant {})
            peer.laggingSince = now;
        const bool needsDocuments = isLagging && now >= peer.laggingSince + lagTolerance;
        if (needsDocuments && peer.configurationRevision < configuration.version) {
            state.mutable_configuration()->set_version(configuration.version);
            state.mutable_configuration()->set_body(configuration.body);
        }
        if (needsDocuments && peer.ledgerVersion < ledger.version) {
            state.mutable_ledger()->set_version(ledger.version);
            state.mutable_ledger()->set_body(ledger.body);
        }
        const std::string bytes = state.SerializeAsString();
        if (!peer.socket->send(zmq::buffer(bytes), zmq::send_flags::dontwait))
            return;
        m_state.metrics().count(EventCounter::PeerMessagesSent);
        m_state.metrics().count(EventCounter::PeerBytesSent, bytes.size());
    }

    SharedState& m_state;
    zmq::context_t m_context;
    std::optional<PeerKeys> m_keys;
    std::unique_ptr<PeerAuthenticator> m_authenticator;
    zmq::socket_t m_receiver;
    std::string m_address;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::map<std::string, Peer> m_peers; ///< By address.
};

PeerLink::PeerLink(SharedState& state)
    : m_impl(std::make_unique<Impl>(state))
{
}

PeerLink::~PeerLink() = default;

const std::string& PeerLink::address() const noexcept
{
    return m_impl->address();
}

void PeerLink::run()
{
    m_impl->run();
}

} // namespace lanemoor
