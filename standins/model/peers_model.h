#pragma once
/// \file
/// Links between entry instances, on a simulated clock: they break, go silent and carry late.

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

/// Troubles of the links.
struct PeersTrouble {
    std::set<std::string> cutOff; ///< Addresses that nothing reaches or leaves, without a word.
    double silenced = 0; ///< Share of new links that carry nothing, and do not say so.
    Millis delay { 1 }; ///< One way.
};

/// \brief The network between entry instances.
class PeersModel {
public:
    PeersModel(SimClock& clock, std::mt19937_64& random)
        : m_clock(clock)
        , m_random(random)
    {
    }

    PeersTrouble trouble;
    HallCuts cuts; ///< Between data halls.

    /// \brief Says where a process stands; without that, no cut concerns it.
    void place(const std::string& address, const std::string& dataHall) { m_halls[address] = dataHall; }

    /// \brief Breaks every open link at once; both ends are told.
    void resetAll();

    /// \brief Open links carry nothing from now on, and do not say so; new ones work.
    void silenceAll();

private:
    friend class PeerPort;
    struct Wire;
    class End;

    void note(const std::shared_ptr<Wire>& wire);
    [[nodiscard]] bool carries(const std::string& from, const std::string& to) const;
    void endLater(const std::shared_ptr<Wire>& wire, std::size_t side);

    SimClock& m_clock;
    std::mt19937_64& m_random;
    std::map<std::string, PeerPort*> m_ports; ///< By address.
    std::vector<std::weak_ptr<Wire>> m_wires;
    std::map<std::string, std::string> m_halls; ///< By address.
};

/// \brief One process's place in the network. Gone with the process.
class PeerPort final : public jobs::PeerTransport {
public:
    PeerPort(PeersModel& peers, SimProcess& process, std::string address);
    ~PeerPort() override;
    PeerPort(const PeerPort&) = delete;
    PeerPort& operator=(const PeerPort&) = delete;

    void accept(std::function<void(std::shared_ptr<jobs::PeerLink>)> accepted) override;
    [[nodiscard]] std::shared_ptr<jobs::PeerLink> connect(const std::string& address) override;

    /// \brief The process is gone. \param silently Its peers hear nothing of it, as after a loss of power.
    void close(bool silently);

private:
    friend class PeersModel;

    PeersModel& m_peers;
    SimProcess& m_process;
    std::string m_address;
    std::function<void(std::shared_ptr<jobs::PeerLink>)> m_accepted;
    bool m_isClosed = false; ///< Its process ended.
    bool m_isDark = false; ///< The same, and its machine says nothing.
};

} // namespace lanemoor::model
