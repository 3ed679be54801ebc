#pragma once
/// \file
/// The owner's calls to workers, carried by relays where there are too many for one machine.

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

/// What relayed calls work with. All of it outlives them.
struct RelayedWorkersParts {
    EventLoop* loop = nullptr;
    PeerTransport* peers = nullptr; ///< Null: every call is made directly.
    WorkerControl* direct = nullptr;
    EventLog* log = nullptr;
    WorkMeter* meter = nullptr; ///< Null: work is not measured.
    std::function<void(const EntryDemand&)> demanded; ///< Hears what other entry instances were asked for. Null: nobody is told.
};

/// Counts of one process since its start.
struct RelayCounts {
    std::uint64_t direct = 0; ///< Calls that this process made itself.
    std::uint64_t relayed = 0; ///< Calls that a relay was given.
    std::uint64_t unanswered = 0; ///< Of them, those that had no answer in time, or whose relay was lost.
    std::uint64_t relays = 0; ///< In use now.
    std::uint64_t pathChanges = 0; ///< Paths that became unreachable for a data hall, or reachable again.
};

/// \brief Hands calls to relays, in groups, and their answers back.
///
/// A relay keeps nothing that must last: the owner's epoch stands in each order and its lease in each
/// start, so that a call which a relay carries out late is fenced or late at the worker. A relay that
/// says nothing for a while is lost: its calls are answered as unknown, which the owner settles as for
/// any call without an answer, and its workers are given to others at their next call.
class RelayedWorkers final : public WorkerControl {
public:
    /// \param ownHall Data hall of this process; empty: not known.
    RelayedWorkers(RelayedWorkersParts parts, RelayOptions options, double ownCores, ReachabilityOptions reachability = {}, std::string ownHall = {});
    ~RelayedWorkers() override;
    RelayedWorkers(const RelayedWorkers&) = delete;
    RelayedWorkers& operator=(const RelayedWorkers&) = delete;

    /// \brief Begins to take relays in, at the beginning of a term.
    void activate();

    /// \brief Lets all relays go; calls under way are answered as unknown.
    void deactivate();

    void start(const WorkerIncarnation& worker, const StartCommand& order, std::function<void(CommandResult)> done) override;
    void stop(const WorkerIncarnation& worker, const Attempt& attempt, std::uint64_t epoch, std::function<void(CommandResult)> done) override;
    void renew(const WorkerIncarnation& worker, const RenewCommand& order, std::function<void(RenewResult)> done) override;
    void throttle(const WorkerIncarnation& worker, const Attempt& attempt, std::uint32_t percent, std::uint64_t epoch, std::function<void(CommandResult)> done) override;
    void noteOverdue(const WorkerIncarnation& worker) override;
    void forget(const WorkerIncarnation& worker) override;

    /// \brief Sends each linked instance its part of what all may admit; those that link later get it too.
    /// \returns The part of one instance, this one included.
    AdmissionGrants grant(const AdmissionGrants& grants);

    [[nodiscard]] RelayCounts counts() const noexcept;

    /// \returns Which data halls are reached over which paths, by the outcome of calls of this term.
    [[nodiscard]] std::shared_ptr<const Reachability> reachability() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
