#include "peers_model.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lanemoor::model {

/// A connection with its two ends and its state.
struct PeersModel::Wire {
    std::array<std::weak_ptr<End>, 2> ends;
    std::array<std::string, 2> addresses;
    bool open = true;
    bool unresponsive = false;
    bool refused = false; ///< No process listened at the address.
};

/// One end of a connection.
class PeersModel::End final : public jobs::PeerLink {
public:
    End(PeersModel& peers, SimProcess& process, std::shared_ptr<Wire> wire, std::size_t side)
        : m_peers(peers)
        , m_process(process)
        , m_wire(std::move(wire))
        , m_side(side)
    {
    }

    void observe(jobs::PeerLinkObserver observer) override { *m_observer = std::move(observer); }

    void send(std::string frame) override
    {
        if (!m_wire->open || m_wire->unresponsive || isCut() || !m_peers.carries(m_wire->addresses[m_side], m_wire->addresses[1 - m_side]))
            return;
        m_peers.m_clock.after(m_peers.faults.delay, [wire = m_wire, side = 1 - m_side, frame = std::move(frame)] {
            const auto other = wire->ends[side].lock();
            if (other && wire->open && !wire->unresponsive)
                other->received(frame);
        });
    }

    [[nodiscard]] bool wasRefused() const noexcept override { return m_wire->refused; }

    void close() override
    {
        *m_observer = {};
        if (!std::exchange(m_wire->open, false) || m_wire->unresponsive || isCut() || !m_peers.carries(m_wire->addresses[m_side], m_wire->addresses[1 - m_side]))
            return;
        m_peers.endLater(m_wire, 1 - m_side);
    }

    void received(const std::string& frame)
    {
        m_process.deliver<std::string>([observer = m_observer](const std::string& text) {
            if (const auto receive = observer->received)
                receive(text);
        })(frame);
    }

    void ended()
    {
        m_process.deliver<bool>([observer = m_observer](bool) {
            const jobs::PeerLinkObserver last = std::exchange(*observer, {});
            if (last.closed)
                last.closed();
        })(true);
    }

private:
    [[nodiscard]] bool isCut() const
    {
        const std::set<std::string>& cut = m_peers.faults.partitioned;
        return std::any_of(m_wire->addresses.begin(), m_wire->addresses.end(), [&](const std::string& address) { return cut.contains(address); });
    }

    PeersModel& m_peers;
    SimProcess& m_process;
    std::shared_ptr<Wire> m_wire;
    std::size_t m_side;
    std::shared_ptr<jobs::PeerLinkObserver> m_observer = std::make_shared<jobs::PeerLinkObserver>();
};

void PeersModel::track(const std::shared_ptr<Wire>& wire)
{
    std::erase_if(m_wires, [](const std::weak_ptr<Wire>& known) { return known.expired(); });
    m_wires.push_back(wire);
}

bool PeersModel::carries(const std::string& from, const std::string& to) const
{
    const auto fromHall = m_halls.find(from);
    const auto toHall = m_halls.find(to);
    return fromHall == m_halls.end() || toHall == m_halls.end() || cuts.carries(fromHall->second, toHall->second);
}

void PeersModel::endLater(const std::shared_ptr<Wire>& wire, std::size_t side)
{
    m_clock.after(faults.delay, [wire, side] {
        if (const auto end = wire->ends[side].lock())
            end->ended();
    });
}

void PeersModel::resetAll()
{
    for (const std::weak_ptr<Wire>& known : m_wires) {
        const auto wire = known.lock();
        if (!wire || !std::exchange(wire->open, false))
            continue;
        endLater(wire, 0);
        endLater(wire, 1);
    }
}

void PeersModel::makeAllUnresponsive()
{
    for (const std::weak_ptr<Wire>& known : m_wires) {
        if (const auto wire = known.lock())
            wire->unresponsive = true;
    }
}

PeerPort::PeerPort(PeersModel& peers, SimProcess& process, std::string address)
    : m_peers(peers)
    , m_process(process)
    , m_address(std::move(address))
{
    m_peers.m_ports[m_address] = this;
}

PeerPort::~PeerPort()
{
    const auto found = m_peers.m_ports.find(m_address);
    if (found != m_peers.m_ports.end() && found->second == this)
        m_peers.m_ports.erase(found);
}

void PeerPort::accept(std::function<void(std::shared_ptr<jobs::PeerLink>)> accepted)
{
    m_accepted = std::move(accepted);
}

std::shared_ptr<jobs::PeerLink> PeerPort::connect(const std::string& address)
{
    const auto wire = std::make_shared<PeersModel::Wire>();
    const auto localEnd = std::make_shared<PeersModel::End>(m_peers, m_process, wire, 0);
    wire->addresses = { m_address, address };
    wire->ends[0] = localEnd;
    const auto listener = m_peers.m_ports.find(address);
    const std::set<std::string>& cut = m_peers.faults.partitioned;
    const bool isCut = !m_peers.carries(m_address, address) || !m_peers.carries(address, m_address);
    if (isCut || cut.contains(m_address) || cut.contains(address)) {
        wire->unresponsive = true;
        return localEnd;
    }
    if (listener != m_peers.m_ports.end() && listener->second->m_isPoweredOff) {
        wire->unresponsive = true;
        return localEnd;
    }
    if (listener == m_peers.m_ports.end() || !listener->second->m_accepted) {
        wire->open = false;
        wire->refused = listener == m_peers.m_ports.end() || listener->second->m_isClosed;
        m_peers.endLater(wire, 0);
        return localEnd;
    }
    PeerPort& port = *listener->second;
    const auto remoteEnd = std::make_shared<PeersModel::End>(m_peers, port.m_process, wire, 1);
    wire->ends[1] = remoteEnd;
    wire->unresponsive = std::bernoulli_distribution(m_peers.faults.unresponsiveShare)(m_peers.m_random);
    m_peers.track(wire);
    port.m_process.deliver<bool>([accepted = port.m_accepted, remoteEnd](bool) { accepted(remoteEnd); })(true);
    return localEnd;
}

void PeerPort::close(bool silently)
{
    m_accepted = nullptr;
    m_isClosed = true;
    m_isPoweredOff = silently;
    for (const std::weak_ptr<PeersModel::Wire>& known : m_peers.m_wires) {
        const auto wire = known.lock();
        if (!wire || (wire->addresses[0] != m_address && wire->addresses[1] != m_address))
            continue;
        if (silently) {
            wire->unresponsive = true;
            continue;
        }
        if (!std::exchange(wire->open, false))
            continue;
        m_peers.endLater(wire, wire->addresses[0] == m_address ? 1 : 0);
    }
}

} // namespace lanemoor::model
