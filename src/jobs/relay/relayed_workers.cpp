#include "lanemoor/jobs/relay/relayed_workers.h"

#include "admission_codec.h"
#include "demand_codec.h"
#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/model/work_meter.h"
#include "outstanding_calls.h"
#include "reachability_log.h"
#include "relay_codec.h"
#include "relay_times.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace lanemoor::jobs {

namespace {

constexpr Millis checkInterval { 100 }; // Between checks for unresponsive links and calls that time out.
/// A relay's call to a worker ends within 0.8 s; network delay and batching are added to that.
constexpr Millis callTimeout { 1'100 };
/// For this time after a relay could not read a payload from the store, its calls include payloads.
constexpr Millis inlinePayloadTime { 5'000 };
/// With a timer delay above this, this process was stalled itself, and missing answers are no evidence against relays.
constexpr Millis maxTimerDelay { 300 };
/// Reachability is published at each change, and at this interval to update its timestamps.
constexpr Millis publishInterval { 1'000 };

} // namespace

class RelayedWorkers::Impl : public std::enable_shared_from_this<RelayedWorkers::Impl> {
public:
    Impl(RelayedWorkersParts parts, RelayOptions options, double ownCores, ReachabilityOptions reachability, std::string ownHall)
        : m_parts(std::move(parts))
        , m_options(options)
        , m_ownCores(ownCores)
        , m_reachability(reachability)
        , m_ownHall(std::move(ownHall))
        , m_plan(options, ownCores, reachability, m_ownHall)
        , m_reachabilityLog(*parts.log)
    {
    }

    void activate()
    {
        if (!m_parts.peers || m_options.workersPerCore <= 0)
            return;
        m_active = true;
        ++m_term;
        m_parts.peers->accept([self = weak_from_this()](std::shared_ptr<PeerLink> link) {
            if (const auto impl = self.lock(); impl && impl->m_active)
                impl->accepted(std::move(link));
            else
                link->close();
        });
        m_checkedAt = m_parts.loop->now();
        scheduleCheck();
    }

    void deactivate()
    {
        m_active = false;
        for (auto& [number, relay] : m_relays)
            relay.link->close();
        m_relays.clear();
        m_byName.clear();
        m_grants.reset();
        m_plan = RelayPlan(m_options, m_ownCores, m_reachability, m_ownHall);
        m_outstandingCalls.clear();
        m_reachabilityLog.reset();
        std::vector<std::uint64_t> all;
        for (const auto& [call, pending] : m_pendingCalls)
            all.push_back(call);
        for (const std::uint64_t call : all)
            endAsUnknown(call);
    }

    using Done = std::variant<std::function<void(CommandResult)>, std::function<void(RenewResult)>>;

    /// A call through a relay, whose message the caller fills in.
    struct RelayedCall {
        wire::RelayCall* message = nullptr; ///< Null: call the worker directly.
        std::uint64_t relay = 0; ///< Number of the link.
        bool canReadStore = true; ///< False for some time after the relay could not read a payload.
        std::uint64_t call = 0;
    };

    /// \param wait Max time that the worker may wait before it answers.
    RelayedCall prepareCall(const WorkerIncarnation& worker, Millis wait, Done& done)
    {
        const WorkMeter::Piece piece(m_parts.meter, WorkKind::RelayFrames);
        const std::string name = m_active ? pathTo(worker) : std::string();
        logRelayCount();
        const auto relay = m_byName.find(name);
        if (name.empty() || relay == m_byName.end()) {
            ++m_counts.direct;
            if (m_active && m_reachability.enabled)
                done = trackDirectCall(worker, wait, std::move(done));
            return {};
        }
        return prepareCallVia(relay->second, worker, wait, std::move(done));
    }

    RelayedCall prepareCallVia(std::uint64_t relay, const WorkerIncarnation& worker, Millis wait, Done done)
    {
        const MonotonicInstant now = m_parts.loop->now();
        ++m_counts.relayed;
        const std::uint64_t call = ++m_lastCall;
        Relay& used = m_relays.at(relay);
        if (m_reachability.enabled)
            m_outstandingCalls.add(call, { .path = used.name, .worker = worker.id, .dataHall = hallOf(worker), .expectedAt = now + wait });
        m_pendingCalls.emplace(call, PendingCall { .relay = relay, .worker = worker.id, .deadline = now + wait + callTimeout, .done = std::move(done) });
        // After a pause the timeout starts at the first call: idle links have few heartbeats.
        if (now - used.lastCallAt >= activeLinkTimeout)
            used.lastReceivedAt = now;
        used.lastCallAt = now;
        wire::RelayCall* message = used.frame.add_calls();
        message->set_call(call);
        scheduleSend(used);
        return { message, relay, now >= used.inlinePayloadUntil, call };
    }

    /// Renews through a relay or directly, and retries an unreachable path to the worker's data hall if one is due.
    void renew(const WorkerIncarnation& worker, const RenewCommand& command, std::function<void(RenewResult)> done)
    {
        Done wrapped(std::move(done));
        if (wire::RelayCall* message = prepareCall(worker, command.wait, wrapped).message)
            fill(*message, worker, command);
        else
            direct().renew(worker, command, std::move(std::get<std::function<void(RenewResult)>>(wrapped)));
        if (!m_active || !m_reachability.enabled)
            return;
        if (const std::optional<std::string> path = m_plan.takeRetry(worker.dataHall, m_parts.loop->now()))
            probePath(*path, worker, command.epoch);
    }

    /// Notes overdue calls as evidence that their paths do not reach the worker's data hall.
    void noteOverdue(const WorkerIncarnation& worker)
    {
        if (!m_active || !m_reachability.enabled)
            return;
        const MonotonicInstant now = m_parts.loop->now();
        for (const OutstandingCall& call : m_outstandingCalls.markOverdue(worker.id, now))
            noteEvidence(call);
    }

    [[nodiscard]] std::shared_ptr<const Reachability> reachability()
    {
        const MonotonicInstant now = m_parts.loop->now();
        const bool isCurrent = m_published && m_publishedChanges == m_plan.reachability().changes() && now - m_published->asOf < publishInterval;
        if (!isCurrent) {
            m_publishedChanges = m_plan.reachability().changes();
            m_published = std::make_shared<const Reachability>(m_active ? m_plan.reachability().snapshot(now) : Reachability { .asOf = now, .paths = {} });
        }
        return m_published;
    }

    /// Starts an attempt through a relay or directly. If the relay could not read the payload, the start is sent again with the
    /// payload included.
    void start(const WorkerIncarnation& worker, const StartCommand& command, const std::function<void(CommandResult)>& done, bool mayReferToStore)
    {
        const auto relay = std::make_shared<std::uint64_t>(0);
        const bool isLong = mayReferToStore && isLongPayload(command);
        std::function<void(CommandResult)> onResult = done;
        if (isLong) {
            onResult = [self = shared_from_this(), relay, worker, command, done](const CommandResult& result) {
                if (result.outcome != CommandOutcome::NotDone || *relay == 0) {
                    done(result);
                    return;
                }
                self->noteUnreadPayload(*relay);
                self->start(worker, command, done, false);
            };
        }
        Done wrapped(std::move(onResult));
        const RelayedCall call = prepareCall(worker, Millis(0), wrapped);
        if (!call.message) {
            direct().start(worker, command, std::move(std::get<std::function<void(CommandResult)>>(wrapped)));
            return;
        }
        const bool refersToStore = isLong && call.canReadStore;
        *relay = refersToStore ? call.relay : 0;
        m_pendingCalls.at(call.call).isPayloadInStore = refersToStore;
        fill(*call.message, worker, command, refersToStore);
    }

    void closeConnections(const WorkerIncarnation& worker)
    {
        const std::string name = m_plan.removeWorker(worker.id);
        m_outstandingCalls.removeCallsTo(worker.id);
        m_parts.direct->closeConnections(worker);
        const auto relay = m_byName.find(name);
        if (relay == m_byName.end())
            return;
        Relay& used = m_relays.at(relay->second);
        wire::RelayLife& incarnation = *used.frame.add_forgotten();
        incarnation.set_worker(worker.id);
        incarnation.set_address(worker.address);
        scheduleSend(used);
    }

    AdmissionGrants grant(const AdmissionGrants& grants)
    {
        AdmissionGrants part = grantsPerEntry(grants, static_cast<std::uint32_t>(m_byName.size() + 1));
        m_grants = part;
        for (const auto& [name, number] : m_byName)
            sendGrants(m_relays.at(number));
        return part;
    }

    [[nodiscard]] RelayCounts counts() const
    {
        RelayCounts counts = m_counts;
        counts.relays = m_plan.relaysInUse();
        counts.pathChanges = m_reachabilityLog.pathChanges();
        return counts;
    }

    [[nodiscard]] WorkerControl& direct() { return *m_parts.direct; }

private:
    /// \returns The data hall of a worker; empty if reachability is disabled.
    [[nodiscard]] std::string hallOf(const WorkerIncarnation& worker) const { return m_reachability.enabled ? worker.dataHall : std::string(); }

    /// \returns The worker's path, or another one while calls over that path are overdue.
    [[nodiscard]] std::string pathTo(const WorkerIncarnation& worker)
    {
        const MonotonicInstant now = m_parts.loop->now();
        std::string path = m_plan.relayOf(worker.id, now, hallOf(worker));
        if (!m_reachability.enabled)
            return path;
        const std::set<std::string> overdue = m_outstandingCalls.overduePaths(worker.id);
        return overdue.contains(path) ? m_plan.alternativePath(hallOf(worker), overdue, now).value_or(path) : path;
    }

    /// Wraps `done` so that the outcome of a direct call is evidence on the direct path.
    Done trackDirectCall(const WorkerIncarnation& worker, Millis wait, Done done)
    {
        const std::uint64_t call = ++m_lastCall;
        m_outstandingCalls.add(call, { .path = {}, .worker = worker.id, .dataHall = worker.dataHall, .expectedAt = m_parts.loop->now() + wait });
        if (auto* onResult = std::get_if<std::function<void(CommandResult)>>(&done))
            return trackOutcome<CommandResult>(call, std::move(*onResult));
        return trackOutcome<RenewResult>(call, std::move(std::get<std::function<void(RenewResult)>>(done)));
    }

    template <typename Result>
    std::function<void(Result)> trackOutcome(std::uint64_t call, std::function<void(Result)> done)
    {
        return [self = weak_from_this(), call, done = std::move(done)](const Result& result) {
            if (const auto impl = self.lock())
                impl->noteOutcome(call, isAnswer(result.outcome), false);
            done(result);
        };
    }

    [[nodiscard]] static bool isAnswer(CommandOutcome outcome) { return outcome != CommandOutcome::Unknown && outcome != CommandOutcome::NotDone; }

    /// Notes the outcome of a call as evidence on its path. \param isUnrelatedToPath The call failed for another reason than the path.
    void noteOutcome(std::uint64_t number, bool isAnswered, bool isUnrelatedToPath)
    {
        const std::optional<OutstandingCall> call = m_outstandingCalls.take(number);
        if (!call || !m_active)
            return;
        if (isAnswered)
            noteChange(m_plan.noteAnswered(call->path, call->worker, m_parts.loop->now(), call->dataHall));
        else if (!isUnrelatedToPath && !call->isOverdue)
            noteEvidence(*call);
    }

    void noteEvidence(const OutstandingCall& call)
    {
        const MonotonicInstant now = m_parts.loop->now();
        // After a stall of this process, its timers may run before answers that have arrived.
        if (call.expectedAt < m_evidenceValidFrom || now - m_checkedAt > checkInterval + maxTimerDelay)
            return;
        noteChange(m_plan.noteEvidence(call.path, call.worker, call.dataHall, call.expectedAt, now));
    }

    void noteChange(const std::optional<PathChange>& change)
    {
        if (!change)
            return;
        const MonotonicInstant now = m_parts.loop->now();
        const std::optional<std::string> next = change->to == PathState::Unreachable ? m_plan.alternativePath(change->dataHall, { change->path }, now) : std::nullopt;
        m_reachabilityLog.logChange(*change, next, *reachability());
    }

    /// Probes an unreachable path by a renewal that leaves the lease unchanged. The worker's other calls keep their path.
    void probePath(const std::string& path, const WorkerIncarnation& worker, std::uint64_t epoch)
    {
        const RenewCommand command { .epoch = epoch };
        std::function<void(RenewResult)> ignored = [](const RenewResult&) {};
        const auto relay = m_byName.find(path);
        if (relay != m_byName.end())
            fill(*prepareCallVia(relay->second, worker, Millis(0), std::move(ignored)).message, worker, command);
        else if (path.empty())
            direct().renew(worker, command, std::get<std::function<void(RenewResult)>>(trackDirectCall(worker, Millis(0), std::move(ignored))));
    }

    struct Relay;

    void sendGrants(Relay& relay)
    {
        if (!m_grants)
            return;
        relay.frame.clear_admission();
        jobs::fill(*relay.frame.mutable_admission(), *m_grants);
        scheduleSend(relay);
    }

    void noteUnreadPayload(std::uint64_t number)
    {
        const auto relay = m_relays.find(number);
        if (relay != m_relays.end())
            relay->second.inlinePayloadUntil = m_parts.loop->now() + inlinePayloadTime;
    }

    /// A link to a relay.
    struct Relay {
        std::shared_ptr<PeerLink> link;
        std::string name; ///< Empty before the first frame, and after the relay announced that it leaves.
        wire::RelayFrame frame; ///< The next frame, while it is filled.
        bool isSendPending = false; ///< Whether the frame is sent with the next batch.
        MonotonicInstant lastReceivedAt;
        MonotonicInstant lastCallAt;
        MonotonicInstant inlinePayloadUntil; ///< Until then calls include payloads, since the relay could not read one.
        MonotonicInstant lastSentAt; ///< Any frame counts as a heartbeat.
    };

    struct PendingCall {
        std::uint64_t relay = 0; ///< Number of the link.
        std::string worker;
        MonotonicInstant deadline;
        Done done;
        bool isPayloadInStore = false; ///< Whether the relay reads the payload from the store.
    };

    void accepted(std::shared_ptr<PeerLink> link)
    {
        const std::uint64_t number = ++m_lastRelay;
        const MonotonicInstant now = m_parts.loop->now();
        Relay& relay = m_relays[number];
        relay.link = std::move(link);
        relay.lastReceivedAt = now;
        relay.lastSentAt = now;
        relay.link->observe({ .received = [self = weak_from_this(), number](const std::string& frame) {
                                 if (const auto impl = self.lock())
                                     impl->received(number, frame); },
            .closed = [self = weak_from_this(), number] {
                if (const auto impl = self.lock())
                    impl->dropLink(number, "closed"); } });
    }

    void received(std::uint64_t number, const std::string& text)
    {
        const WorkMeter::Piece piece(m_parts.meter, WorkKind::RelayFrames);
        const auto found = m_relays.find(number);
        if (found == m_relays.end())
            return;
        const std::optional<wire::RelayFrame> report = reportOf(text);
        if (!report) {
            dropLink(number, "unreadable");
            return;
        }
        const wire::RelayFrame& frame = *report;
        found->second.lastReceivedAt = m_parts.loop->now();
        if (frame.has_hello())
            onHello(number, found->second, frame.hello());
        for (const wire::RelayAnswer& answer : frame.answers())
            answered(answer);
        for (const EntryDemand& demand : demandOf(frame)) {
            if (m_parts.demandReported)
                m_parts.demandReported(demand);
        }
        if (frame.leaving())
            onLeaving(number);
    }

    void onHello(std::uint64_t number, Relay& relay, const wire::RelayHello& hello)
    {
        constexpr double milli = 1'000;
        if (hello.name().empty() || !relay.name.empty()) {
            dropLink(number, "unnamed");
            return;
        }
        relay.name = hello.name();
        // A new link of an instance replaces its earlier one.
        const auto before = m_byName.find(relay.name);
        if (before != m_byName.end() && before->second != number)
            dropLink(before->second, "replaced");
        m_byName[relay.name] = number;
        m_plan.addRelay(relay.name, hello.milli_cores() / milli, hello.data_hall());
        sendGrants(relay);
        // After a first frame the relay can tell the end of the owner from an owner that never answered.
        send(relay);
        m_parts.log->decision("relay-joined", { { "relay", hello.name() }, { "milli_cores", std::int64_t { hello.milli_cores() } }, { "data_hall", hello.data_hall() } });
    }

    void answered(const wire::RelayAnswer& answer)
    {
        const auto found = m_pendingCalls.find(answer.call());
        if (found == m_pendingCalls.end())
            return;
        noteAnswer(answer.call(), found->second, answer);
        const Done done = std::move(found->second.done);
        m_pendingCalls.erase(found);
        if (const auto* onResult = std::get_if<std::function<void(CommandResult)>>(&done))
            (*onResult)(commandResultOf(answer));
        else
            std::get<std::function<void(RenewResult)>>(done)(renewResultOf(answer));
    }

    /// Notes whether the worker answered through the relay. The calls of a failed relay are no evidence.
    void noteAnswer(std::uint64_t call, const PendingCall& pending, const wire::RelayAnswer& answer)
    {
        const auto relay = m_relays.find(pending.relay);
        if (relay == m_relays.end() || relay->second.name.empty()) {
            m_outstandingCalls.take(call);
            return;
        }
        const auto outcome = commandResultOf(answer).outcome;
        if (m_reachability.enabled)
            noteOutcome(call, isAnswer(outcome), outcome == CommandOutcome::NotDone && pending.isPayloadInStore);
        else if (isAnswer(outcome))
            noteChange(m_plan.noteAnswered(relay->second.name, pending.worker, m_parts.loop->now(), {}));
        if (!isAnswer(outcome))
            m_plan.noteUnanswered(relay->second.name, pending.worker, m_parts.loop->now());
    }

    void endAsUnknown(std::uint64_t call)
    {
        ++m_counts.unanswered;
        wire::RelayAnswer unknown;
        unknown.set_call(call);
        unknown.set_outcome(static_cast<std::uint32_t>(CommandOutcome::Unknown));
        answered(unknown);
    }

    void onLeaving(std::uint64_t number)
    {
        const auto found = m_relays.find(number);
        if (found == m_relays.end() || found->second.name.empty())
            return;
        m_parts.log->decision("relay-leaves", { { "relay", found->second.name } });
        m_plan.removeRelay(found->second.name);
        m_byName.erase(found->second.name);
        found->second.name.clear();
    }

    void dropLink(std::uint64_t number, const char* reason)
    {
        const auto found = m_relays.find(number);
        if (found == m_relays.end())
            return;
        std::vector<std::uint64_t> calls;
        for (const auto& [call, pending] : m_pendingCalls) {
            if (pending.relay == number)
                calls.push_back(call);
        }
        if (!found->second.name.empty() || !calls.empty())
            m_parts.log->change("relay-lost", { { "relay", found->second.name }, { "reason", std::string(reason) }, { "calls", static_cast<std::int64_t>(calls.size()) } });
        const std::string name = found->second.name;
        found->second.link->close();
        m_relays.erase(found);
        if (!name.empty()) {
            m_byName.erase(name);
            m_plan.removeRelay(name);
        }
        for (const std::uint64_t call : calls)
            endAsUnknown(call);
    }

    /// Logs changes of the number of relays in use.
    void logRelayCount()
    {
        const std::size_t relays = m_plan.relaysInUse();
        if (std::exchange(m_loggedRelays, relays) != relays)
            m_parts.log->change("relays-in-use", { { "relays", static_cast<std::int64_t>(relays) }, { "of", static_cast<std::int64_t>(m_byName.size()) }, { "workers", static_cast<std::int64_t>(m_plan.workers()) } });
    }

    /// Schedules one batch for the frames of all relays, since a timer for each relay would multiply the wake-ups of this process.
    void scheduleSend(Relay& relay)
    {
        relay.isSendPending = true;
        if (std::exchange(m_isSendScheduled, true))
            return;
        m_parts.loop->callAt(m_parts.loop->now() + callBatchDelay, [self = weak_from_this()] {
            if (const auto impl = self.lock())
                impl->sendAll();
        });
    }

    void sendAll()
    {
        const WorkMeter::Piece piece(m_parts.meter, WorkKind::RelayFrames);
        m_isSendScheduled = false;
        for (auto& [number, relay] : m_relays) {
            if (relay.isSendPending)
                send(relay);
        }
    }

    void send(Relay& relay)
    {
        relay.isSendPending = false;
        relay.lastSentAt = m_parts.loop->now();
        relay.frame.set_sent_at_us(relay.lastSentAt.time_since_epoch().count());
        relay.link->send(relay.frame.SerializeAsString());
        relay.frame.Clear();
    }

    void scheduleCheck()
    {
        m_parts.loop->callAt(m_parts.loop->now() + checkInterval, [self = weak_from_this(), term = m_term] {
            const auto impl = self.lock();
            if (!impl || !impl->m_active || impl->m_term != term)
                return;
            impl->checkLinks();
            impl->checkCalls();
            impl->scheduleCheck();
        });
    }

    void checkLinks()
    {
        const MonotonicInstant now = m_parts.loop->now();
        const bool wasStalled = now - std::exchange(m_checkedAt, now) > checkInterval + maxTimerDelay;
        if (wasStalled)
            m_evidenceValidFrom = now;
        std::vector<std::uint64_t> unresponsive;
        for (auto& [number, relay] : m_relays) {
            const bool isActive = now - relay.lastCallAt < activeLinkTimeout;
            if (wasStalled)
                relay.lastReceivedAt = std::max(relay.lastReceivedAt, now - activeHeartbeatInterval);
            if (now - relay.lastReceivedAt > (isActive ? activeLinkTimeout : idleLinkTimeout))
                unresponsive.push_back(number);
            else if (now - relay.lastSentAt >= (isActive ? activeHeartbeatInterval : idleHeartbeatInterval))
                send(relay);
        }
        for (const std::uint64_t number : unresponsive)
            dropLink(number, "silent");
    }

    void checkCalls()
    {
        const MonotonicInstant now = m_parts.loop->now();
        std::vector<std::uint64_t> expired;
        for (const auto& [call, pending] : m_pendingCalls) {
            if (now >= pending.deadline)
                expired.push_back(call);
        }
        for (const std::uint64_t call : expired)
            endAsUnknown(call);
    }

    RelayedWorkersParts m_parts;
    RelayOptions m_options;
    double m_ownCores;
    ReachabilityOptions m_reachability;
    std::string m_ownHall;
    RelayPlan m_plan;
    ReachabilityLog m_reachabilityLog;
    OutstandingCalls m_outstandingCalls;
    std::shared_ptr<const Reachability> m_published;
    std::uint64_t m_publishedChanges = 0;
    RelayCounts m_counts;
    bool m_active = false;
    std::optional<AdmissionGrants> m_grants; ///< The latest share of one instance.
    std::uint64_t m_term = 0;
    std::uint64_t m_lastRelay = 0;
    std::uint64_t m_lastCall = 0;
    std::size_t m_loggedRelays = 0;
    bool m_isSendScheduled = false; ///< Whether a batch of frames is scheduled.
    MonotonicInstant m_checkedAt;
    MonotonicInstant m_evidenceValidFrom; ///< Calls whose answers were due before this time are no evidence.
    std::map<std::uint64_t, Relay> m_relays; ///< By link number.
    std::map<std::string, std::uint64_t> m_byName; ///< Link numbers of the relays that accept calls.
    std::map<std::uint64_t, PendingCall> m_pendingCalls; ///< By call number.
};

RelayedWorkers::RelayedWorkers(RelayedWorkersParts parts, RelayOptions options, double ownCores, ReachabilityOptions reachability, std::string ownHall)
    : m_impl(std::make_shared<Impl>(std::move(parts), options, ownCores, reachability, std::move(ownHall)))
{
}

RelayedWorkers::~RelayedWorkers() = default;

void RelayedWorkers::activate()
{
    m_impl->activate();
}

void RelayedWorkers::deactivate()
{
    m_impl->deactivate();
}

void RelayedWorkers::start(const WorkerIncarnation& worker, const StartCommand& command, std::function<void(CommandResult)> done)
{
    m_impl->start(worker, command, done, true);
}

void RelayedWorkers::stop(const WorkerIncarnation& worker, const Attempt& attempt, std::uint64_t epoch, std::function<void(CommandResult)> done)
{
    Impl::Done relayed(std::move(done));
    if (wire::RelayCall* message = m_impl->prepareCall(worker, Millis(0), relayed).message)
        fillStop(*message, worker, attempt, epoch);
    else
        m_impl->direct().stop(worker, attempt, epoch, std::move(std::get<std::function<void(CommandResult)>>(relayed)));
}

void RelayedWorkers::renew(const WorkerIncarnation& worker, const RenewCommand& command, std::function<void(RenewResult)> done)
{
    m_impl->renew(worker, command, std::move(done));
}

void RelayedWorkers::noteOverdue(const WorkerIncarnation& worker)
{
    m_impl->noteOverdue(worker);
}

std::shared_ptr<const Reachability> RelayedWorkers::reachability() const
{
    return m_impl->reachability();
}

void RelayedWorkers::throttle(const WorkerIncarnation& worker, const Attempt& attempt, std::uint32_t percent, std::uint64_t epoch, std::function<void(CommandResult)> done)
{
    Impl::Done relayed(std::move(done));
    if (wire::RelayCall* message = m_impl->prepareCall(worker, Millis(0), relayed).message)
        fillThrottle(*message, worker, attempt, percent, epoch);
    else
        m_impl->direct().throttle(worker, attempt, percent, epoch, std::move(std::get<std::function<void(CommandResult)>>(relayed)));
}

void RelayedWorkers::closeConnections(const WorkerIncarnation& worker)
{
    m_impl->closeConnections(worker);
}

AdmissionGrants RelayedWorkers::grant(const AdmissionGrants& grants)
{
    return m_impl->grant(grants);
}

RelayCounts RelayedWorkers::counts() const noexcept
{
    return m_impl->counts();
}

} // namespace lanemoor::jobs
