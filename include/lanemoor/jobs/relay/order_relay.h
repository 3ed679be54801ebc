#pragma once
/// \file
/// Carries calls to workers for an owner on another machine.

#include "lanemoor/jobs/model/entry_demand.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/model/worker_control.h"
#include "lanemoor/jobs/relay/peer_transport.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lanemoor {
class EventLog;
} // namespace lanemoor

namespace lanemoor::jobs {

struct AdmissionGrants;

/// What a relay works with. All of it outlives the relay.
struct OrderRelayParts {
    EventLoop* loop = nullptr;
    PeerTransport* peers = nullptr; ///< Null: this process relays nothing.
    WorkerControl* workers = nullptr;
    KeyValueStore* store = nullptr; ///< For payloads that the owner does not send along.
    EventLog* log = nullptr;
    /// Hears that the owner's process is gone: its link broke, and a new one was refused at once. Null: nobody is told.
    std::function<void(const std::string& address)> ownerGone;
    /// Gives what this instance was asked for since the last call, for the owner. Null: nothing is reported.
    std::function<std::vector<EntryDemand>()> takeDemand;
    std::function<void(const AdmissionGrants& grants)> granted; ///< Hears what this instance may admit. Null: nobody is told.
};

/// \brief Offers itself to the owner, makes the calls that the owner asks for, and sends the
/// answers back in groups. It decides nothing and remembers nothing.
///
/// A call that took too long from the owner to here, as after a freeze of this machine, is not made:
/// the owner has long given it up.
class OrderRelay {
public:
    /// \param name Unique among the instances. \param cores Processor time of this machine. \param dataHall Where it stands; empty:
    /// not known.
    OrderRelay(OrderRelayParts parts, std::string name, double cores, std::string dataHall = {});
    ~OrderRelay();
    OrderRelay(const OrderRelay&) = delete;
    OrderRelay& operator=(const OrderRelay&) = delete;

    /// \brief Offers itself to the owner at `address`; empty: to nobody. The same address changes nothing.
    void follow(const std::string& address);

    /// \brief Reports what this instance was asked for soon, at most once in 250 ms.
    void reportDemand();

    /// \brief Planned stop: takes no more calls, and answers those under way.
    void leave();

    /// \returns Calls under way.
    [[nodiscard]] std::size_t inFlight() const noexcept;

    /// \returns Calls made since the start.
    [[nodiscard]] std::uint64_t calls() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
