#pragma once
/// \file
/// Makes calls to workers on behalf of an owner on another machine.

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

/// Dependencies of a relay. All of them must outlive it.
struct CommandRelayParts {
    EventLoop* loop = nullptr;
    PeerTransport* peers = nullptr; ///< Null: this process does not relay calls.
    WorkerControl* workers = nullptr;
    KeyValueStore* store = nullptr; ///< Source of the payloads that a call only refers to.
    EventLog* log = nullptr;
    /// Called when the owner's process has ended: its link broke, and a new connection was refused at once. Optional.
    std::function<void(const std::string& address)> ownerEnded;
    /// Returns the submissions to this instance since the last call, to be reported to the owner. Null: nothing is reported.
    std::function<std::vector<EntryDemand>()> takeDemand;
    std::function<void(const AdmissionGrants& grants)> granted; ///< Called with the budgets that this instance may admit. Optional.
};

/// \brief Registers with the owner, makes the calls that the owner requests, and returns the
/// answers in batches. The relay makes no decisions and holds no state of workers or tasks.
///
/// A call that arrives too late, for example after this machine was frozen, is not made:
/// it has already timed out at the owner.
class CommandRelay {
public:
    /// \param name Unique among the instances. \param cores Processor cores of this machine.
    /// \param dataHall Data hall of this machine; empty: unknown.
    CommandRelay(CommandRelayParts parts, std::string name, double cores, std::string dataHall = {});
    ~CommandRelay();
    CommandRelay(const CommandRelay&) = delete;
    CommandRelay& operator=(const CommandRelay&) = delete;

    /// \brief Connects to the owner at `address`; an empty address only disconnects. An unchanged address has no effect.
    void setOwner(const std::string& address);

    /// \brief Schedules a report of this instance's demand, at most one every 250 ms.
    void reportDemand();

    /// \brief Planned stop: accepts no more calls, and answers those in flight.
    void leave();

    /// \returns Number of calls in flight.
    [[nodiscard]] std::size_t inFlight() const noexcept;

    /// \returns Number of calls made since the start.
    [[nodiscard]] std::uint64_t calls() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
