#pragma once
/// \file
/// Simulated links between entry instances that can break, drop messages silently and delay them.

#include "hall_cuts.h"
#include "lanemoor/jobs/relay/peer_transport.h"
#include "sim_loop.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lanemoor::model {

class PeerPort;

/// Faults of the links.
struct PeerFaults {
    std::set<std::string> partitioned; ///< Addresses whose messages are dropped silently in both directions.
    double unresponsiveShare = 0; ///< Share of new links that drop all messages silently.
    Millis delay { 1 }; ///< One-way latency.
};

/// \brief The network between entry instances.
class PeersModel {
public:
    PeersModel(SimClock& clock, std::mt19937_64& random)
        : m_clock(clock)
        , m_random(random)
    {
    }

    PeerFaults faults;
    HallCuts cuts; ///< Between data halls.

    /// \brief Sets the data hall of a process. Cuts don't affect a process without one.
    void place(const std::string& address, const std::string& dataHall) { m_halls[address] = dataHall; }

    /// \brief Resets every open link; both ends are notified.
    void resetAll();

    /// \brief Makes all open links drop messages silently; new links work.
    void makeAllUnresponsive();

private:
    friend class PeerPort;
    struct Wire;
    class End;

    void track(const std::shared_ptr<Wire>& wire);
    [[nodiscard]] bool carries(const std::string& from, const std::string& to) const;
    void endLater(const std::shared_ptr<Wire>& wire, std::size_t side);

    SimClock& m_clock;
    std::mt19937_64& m_random;
    std::map<std::string, PeerPort*> m_ports; ///< By address.
    std::vector<std::weak_ptr<Wire>> m_wires;
    std::map<std::string, std::string> m_halls; ///< By address.
};

/// \brief The network endpoint of one process.
class PeerPort final : public jobs::PeerTransport {
public:
    PeerPort(PeersModel& peers, SimProcess& process, std::string address);
    ~PeerPort() override;
    PeerPort(const PeerPort&) = delete;
    PeerPort& operator=(const PeerPort&) = delete;

    void accept(std::function<void(std::shared_ptr<jobs::PeerLink>)> accepted) override;
    [[nodiscard]] std::shared_ptr<jobs::PeerLink> connect(const std::string& address) override;

    /// \brief Closes all links at the end of the process. \param silently Peers are not notified, as after a power loss.
    void close(bool silently);

private:
    friend class PeersModel;

    PeersModel& m_peers;
    SimProcess& m_process;
    std::string m_address;
    std::function<void(std::shared_ptr<jobs::PeerLink>)> m_accepted;
    bool m_isClosed = false; ///< The process has ended.
    bool m_isPoweredOff = false; ///< The process has ended, and its machine does not respond to connection attempts.
};

} // namespace lanemoor::model
