#pragma once
/// \file
/// The owner's calls to workers, made through relays if there are too many for one machine.

#include "lanemoor/jobs/model/admission_grants.h"
#include "lanemoor/jobs/model/entry_demand.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/worker_control.h"
#include "lanemoor/jobs/relay/peer_transport.h"
#include "lanemoor/jobs/relay/relay_plan.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lanemoor {
class EventLog;
} // namespace lanemoor

namespace lanemoor::jobs {

class WorkMeter;

/// Dependencies of `RelayedWorkers`. All of them must outlive it.
struct RelayedWorkersParts {
    EventLoop* loop = nullptr;
    PeerTransport* peers = nullptr; ///< Null: all calls are made directly.
    WorkerControl* direct = nullptr;
    EventLog* log = nullptr;
    WorkMeter* meter = nullptr; ///< Optional.
    std::function<void(const EntryDemand&)> demandReported; ///< Called with the demand at other entry instances. Optional.
};

/// Counters of this process since its start.
struct RelayCounts {
    std::uint64_t direct = 0; ///< Calls that this process made directly.
    std::uint64_t relayed = 0; ///< Calls that were sent to a relay.
    std::uint64_t unanswered = 0; ///< Relayed calls that timed out or whose relay failed.
    std::uint64_t relays = 0; ///< Currently in use.
    std::uint64_t pathChanges = 0; ///< Times that a path became unreachable for a data hall, or reachable again.
};

/// \brief Sends calls to relays in batches, and passes their answers to the callers.
///
/// A relay holds no durable state: each command carries the owner's epoch and each start its lease, so the
/// worker rejects a call that a relay makes too late. A relay that sends nothing for a while is considered
/// failed: its calls end with an unknown outcome, which the owner handles as for any unanswered call, and
/// its workers are reassigned at their next call.
class RelayedWorkers final : public WorkerControl {
public:
    /// \param ownHall Data hall of this process; empty: unknown.
    RelayedWorkers(RelayedWorkersParts parts, RelayOptions options, double ownCores, ReachabilityOptions reachability = {}, std::string ownHall = {});
    ~RelayedWorkers() override;
    RelayedWorkers(const RelayedWorkers&) = delete;
    RelayedWorkers& operator=(const RelayedWorkers&) = delete;

    /// \brief Starts to accept relays, at the beginning of a term.
    void activate();

    /// \brief Disconnects all relays; calls in flight end with an unknown outcome.
    void deactivate();

    void start(const WorkerIncarnation& worker, const StartCommand& command, std::function<void(CommandResult)> done) override;
    void stop(const WorkerIncarnation& worker, const Attempt& attempt, std::uint64_t epoch, std::function<void(CommandResult)> done) override;
    void renew(const WorkerIncarnation& worker, const RenewCommand& command, std::function<void(RenewResult)> done) override;
    void throttle(const WorkerIncarnation& worker, const Attempt& attempt, std::uint32_t percent, std::uint64_t epoch, std::function<void(CommandResult)> done) override;
    void noteOverdue(const WorkerIncarnation& worker) override;
    void closeConnections(const WorkerIncarnation& worker) override;

    /// \brief Sends every connected instance its share of the budgets; instances that connect later get it too.
    /// \returns The share of one instance, which is the same for all and also applies to this one.
    AdmissionGrants grant(const AdmissionGrants& grants);

    [[nodiscard]] RelayCounts counts() const noexcept;

    /// \returns The reachability of data halls over paths, from the outcomes of calls of this term.
    [[nodiscard]] std::shared_ptr<const Reachability> reachability() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
