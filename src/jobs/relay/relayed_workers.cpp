#include "lanemoor/jobs/relay/relayed_workers.h"

#include "admission_codec.h"
#include "demand_codec.h"
#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/model/work_meter.h"
#include "open_calls.h"
#include "reach_log.h"
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

constexpr Millis check { 100 }; // Between checks for unresponsive links and calls that time out.
/// A relay's call to a worker ends within 0.8 s; network delay and batching are added to that.
constexpr Millis callTime { 1'100 };
/// For this time after a relay could not read a payload from the store, its calls include payloads.
constexpr Millis inlineTime { 5'000 };
/// With a timer delay above this, this process was stalled itself, and missing answers are no evidence against relays.
constexpr Millis heldUp { 300 };
/// Reachability is published at each change, and at this interval to update its timestamps.
constexpr Millis publishEvery { 1'000 };

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
        , m_reachLog(*parts.log)
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
        checkLater();
    }

    void deactivate()
    {
        m_active = false;
        for (auto& [number, relay] : m_relays)
            relay.link->close();
        m_relays.clear();
        m_byName.clear();
        m_granted.reset();
        m_plan = RelayPlan(m_options, m_ownCores, m_reachability, m_ownHall);
        m_openCalls.clear();
        m_reachLog.forget();
        std::vector<std::uint64_t> all;
        for (const auto& [call, pending] : m_pending)
            all.push_back(call);
        for (const std::uint64_t call : all)
            giveUp(call);
    }

    using Done = std::variant<std::function<void(OrderResult)>, std::function<void(RenewResult)>>;

    /// A call through a relay, whose message the caller fills in.
    struct RelayedCall {
        wire::RelayCall* message = nullptr; ///< Null: call the worker directly.
        std::uint64_t relay = 0; ///< Number of the link.
        bool readsStore = true; ///< False for some time after the relay could not read a payload.
        std::uint64_t call = 0;
    };

    /// \param wait Max time that the worker may wait before it answers.
    RelayedCall relayed(const WorkerLife& worker, Millis wait, Done& done)
    {
        const WorkMeter::Piece piece(m_parts.meter, WorkKind::RelayFrames);
        const std::string name = m_active ? pathTo(worker) : std::string();
        noteSize();
        const auto relay = m_byName.find(name);
        if (name.empty() || relay == m_byName.end()) {
            ++m_counts.direct;
            if (m_active && m_reachability.enabled)
                done = watched(worker, wait, std::move(done));
            return {};
        }
        return relayedOver(relay->second, worker, wait, std::move(done));
    }

    RelayedCall relayedOver(std::uint64_t relay, const WorkerLife& worker, Millis wait, Done done)
    {
        const MonotonicInstant now = m_parts.loop->now();
        ++m_counts.relayed;
        const std::uint64_t call = ++m_lastCall;
        Relay& used = m_relays.at(relay);
        m_openCalls.add(call, { .path = used.name, .worker = worker.id, .dataHall = hallOf(worker), .expectedAt = now + wait });
        m_pending.emplace(call, Pending { .relay = relay, .worker = worker.id, .deadline = now + wait + callTime, .done = std::move(done) });
        // After a pause the timeout starts at the first call: idle links have few heartbeats.
        if (now - used.usedAt >= usedLinkSilence)
            used.heardAt = now;
        used.usedAt = now;
        wire::RelayCall* message = used.frame.add_calls();
        message->set_call(call);
        sendSoon(used);
        return { message, relay, now >= used.inlineUntil, call };
    }

    /// Renews through a relay or directly, and retries an unreachable path to the worker's data hall if one is due.
    void renew(const WorkerLife& worker, const RenewOrder& order, std::function<void(RenewResult)> done)
    {
        Done wrapped(std::move(done));
        if (wire::RelayCall* message = relayed(worker, order.wait, wrapped).message)
            fill(*message, worker, order);
        else
            direct().renew(worker, order, std::move(std::get<std::function<void(RenewResult)>>(wrapped)));
        if (!m_active || !m_reachability.enabled)
            return;
        if (const std::optional<std::string> path = m_plan.takeRetry(worker.dataHall, m_parts.loop->now()))
            retry(*path, worker, order.epoch);
    }

    /// Notes overdue calls as evidence that their paths do not reach the worker's data hall.
    void noteOverdue(const WorkerLife& worker)
    {
        if (!m_active || !m_reachability.enabled)
            return;
        const MonotonicInstant now = m_parts.loop->now();
        for (const OpenCall& call : m_openCalls.markOverdue(worker.id, now))
            noteEvidence(call);
    }

    [[nodiscard]] std::shared_ptr<const Reachability> reachability()
    {
        const MonotonicInstant now = m_parts.loop->now();
        const bool isCurrent = m_published && m_publishedChanges == m_plan.reachability().changes() && now - m_published->asOf < publishEvery;
        if (!isCurrent) {
            m_publishedChanges = m_plan.reachability().changes();
            m_published = std::make_shared<const Reachability>(m_active ? m_plan.reachability().snapshot(now) : Reachability { .asOf = now, .paths = {} });
        }
        return m_published;
    }

    /// Starts an attempt through a relay or directly. If the relay could not read the payload, the start is sent again with the
    /// payload included.
    void start(const WorkerLife& worker, const StartOrder& order, const std::function<void(OrderResult)>& done, bool mayRefer)
    {
        const auto relay = std::make_shared<std::uint64_t>(0);
        const bool isLong = mayRefer && isLongPayload(order);
        std::function<void(OrderResult)> heard = done;
        if (isLong) {
            heard = [self = shared_from_this(), relay, worker, order, done](const OrderResult& result) {
                if (result.outcome != OrderOutcome::NotDone || *relay == 0) {
                    done(result);
                    return;
                }
                self->noteUnreadPayload(*relay);
                self->start(worker, order, done, false);
            };
        }
        Done wrapped(std::move(heard));
        const RelayedCall call = relayed(worker, Millis(0), wrapped);
        if (!call.message) {
            direct().start(worker, order, std::move(std::get<std::function<void(OrderResult)>>(wrapped)));
            return;
        }
        const bool refers = isLong && call.readsStore;
        *relay = refers ? call.relay : 0;
        m_pending.at(call.call).refersPayload = refers;
        fill(*call.message, worker, order, refers);
    }

    void forget(const WorkerLife& worker)
    {
        const std::string name = m_plan.forget(worker.id);
        m_openCalls.forget(worker.id);
        m_parts.direct->forget(worker);
        const auto relay = m_byName.find(name);
        if (relay == m_byName.end())
            return;
        Relay& used = m_relays.at(relay->second);
        wire::RelayLife& life = *used.frame.add_forgotten();
        life.set_worker(worker.id);
        life.set_address(worker.address);
        sendSoon(used);
    }

    AdmissionGrants grant(const AdmissionGrants& grants)
    {
        AdmissionGrants part = partOf(grants, static_cast<std::uint32_t>(m_byName.size() + 1));
        m_granted = part;
        for (const auto& [name, number] : m_byName)
            sendGranted(m_relays.at(number));
        return part;
    }

    [[nodiscard]] RelayCounts counts() const
    {
        RelayCounts counts = m_counts;
        counts.relays = m_plan.relaysInUse();
        counts.pathChanges = m_reachLog.pathChanges();
        return counts;
    }

    [[nodiscard]] WorkerControl& direct() { return *m_parts.direct; }

private:
    /// \returns The data hall of a worker; empty if reachability is disabled.
    [[nodiscard]] std::string hallOf(const WorkerLife& worker) const { return m_reachability.enabled ? worker.dataHall : std::string(); }

    /// \returns The worker's path, or another one while calls over that path are overdue.
    [[nodiscard]] std::string pathTo(const WorkerLife& worker)
    {
        const MonotonicInstant now = m_parts.loop->now();
        const std::string path = m_plan.relayOf(worker.id, now, hallOf(worker));
        const std::set<std::string> overdue = m_openCalls.overduePaths(worker.id);
        return overdue.contains(path) ? m_plan.otherPath(hallOf(worker), overdue, now).value_or(path) : path;
    }

    /// Wraps `done` so that the outcome of a direct call is evidence on the direct path.
    Done watched(const WorkerLife& worker, Millis wait, Done done)
    {
        const std::uint64_t call = ++m_lastCall;
        m_openCalls.add(call, { .path = {}, .worker = worker.id, .dataHall = worker.dataHall, .expectedAt = m_parts.loop->now() + wait });
        if (auto* order = std::get_if<std::function<void(OrderResult)>>(&done))
            return watchedAs<OrderResult>(call, std::move(*order));
        return watchedAs<RenewResult>(call, std::move(std::get<std::function<void(RenewResult)>>(done)));
    }

    template <typename Result>
    std::function<void(Result)> watchedAs(std::uint64_t call, std::function<void(Result)> done)
    {
        return [self = weak_from_this(), call, done = std::move(done)](const Result& result) {
            if (const auto impl = self.lock())
                impl->noteOutcome(call, isAnswer(result.outcome), false);
            done(result);
        };
    }

    [[nodiscard]] static bool isAnswer(OrderOutcome outcome) { return outcome != OrderOutcome::Unknown && outcome != OrderOutcome::NotDone; }

    /// Notes the outcome of a call as evidence on its path. \param saysNothing The call failed for another reason than the path.
    void noteOutcome(std::uint64_t number, bool isAnswered, bool saysNothing)
    {
        const std::optional<OpenCall> call = m_openCalls.take(number);
        if (!call || !m_active)
            return;
        if (isAnswered)
            noteChange(m_plan.noteAnswered(call->path, call->worker, m_parts.loop->now(), call->dataHall));
        else if (!saysNothing && !call->isOverdue)
            noteEvidence(*call);
    }

    void noteEvidence(const OpenCall& call)
    {
        const MonotonicInstant now = m_parts.loop->now();
        // After a stall of this process, its timers may run before answers that have arrived.
        if (call.expectedAt < m_evidenceFrom || now - m_checkedAt > check + heldUp)
            return;
        noteChange(m_plan.noteEvidence(call.path, call.worker, call.dataHall, call.expectedAt, now));
    }

    void noteChange(const std::optional<PathChange>& change)
    {
        if (!change)
            return;
        const MonotonicInstant now = m_parts.loop->now();
        const std::optional<std::string> next = change->to == PathState::Unreachable ? m_plan.otherPath(change->dataHall, { change->path }, now) : std::nullopt;
        m_reachLog.note(*change, next, *reachability());
    }

    /// Probes an unreachable path by a renewal that leaves the lease unchanged. The worker's other calls keep their path.
    void retry(const std::string& path, const WorkerLife& worker, std::uint64_t epoch)
    {
        const RenewOrder order { .epoch = epoch };
        std::function<void(RenewResult)> ignored = [](const RenewResult&) {};
        const auto relay = m_byName.find(path);
        if (relay != m_byName.end())
            fill(*relayedOver(relay->second, worker, Millis(0), std::move(ignored)).message, worker, order);
        else if (path.empty())
            direct().renew(worker, order, std::get<std::function<void(RenewResult)>>(watched(worker, Millis(0), std::move(ignored))));
    }

    struct Relay;

    void sendGranted(Relay& relay)
    {
        if (!m_granted)
            return;
        relay.frame.clear_admission();
        jobs::fill(*relay.frame.mutable_admission(), *m_granted);
        sendSoon(relay);
    }

    void noteUnreadPayload(std::uint64_t number)
    {
        const auto relay = m_relays.find(number);
        if (relay != m_relays.end())
            relay->second.inlineUntil = m_parts.loop->now() + inlineTime;
    }

    /// A link to a relay.
    struct Relay {
        std::shared_ptr<PeerLink> link;
        std::string name; ///< Empty before the first frame, and after the relay announced that it leaves.
        wire::RelayFrame frame; ///< The next frame, while it is filled.
        bool hasCalls = false; ///< Whether the frame is sent with the next batch.
        MonotonicInstant heardAt;
        MonotonicInstant usedAt;
        MonotonicInstant inlineUntil; ///< Until then calls include payloads, since the relay could not read one.
        MonotonicInstant heartbeatAt; ///< When the last frame was sent.
    };

    struct Pending {
        std::uint64_t relay = 0; ///< Number of the link.
        std::string worker;
        MonotonicInstant deadline;
        Done done;
        bool refersPayload = false; ///< Whether the relay reads the payload from the store.
    };

    void accepted(std::shared_ptr<PeerLink> link)
    {
        const std::uint64_t number = ++m_lastRelay;
        const MonotonicInstant now = m_parts.loop->now();
        Relay& relay = m_relays[number];
        relay.link = std::move(link);
        relay.heardAt = now;
        relay.heartbeatAt = now;
        relay.link->observe({ .received = [self = weak_from_this(), number](const std::string& frame) {
                                 if (const auto impl = self.lock())
                                     impl->received(number, frame); },
            .closed = [self = weak_from_this(), number] {
                if (const auto impl = self.lock())
                    impl->lost(number, "closed"); } });
    }

    void received(std::uint64_t number, const std::string& text)
    {
        const WorkMeter::Piece piece(m_parts.meter, WorkKind::RelayFrames);
        const auto found = m_relays.find(number);
        if (found == m_relays.end())
            return;
        wire::RelayFrame frame;
        if (!frame.ParseFromString(text)) {
            lost(number, "unreadable");
            return;
        }
        found->second.heardAt = m_parts.loop->now();
        if (frame.has_hello())
            joined(number, found->second, frame.hello());
        for (const wire::RelayAnswer& answer : frame.answers())
            answered(answer);
        for (const EntryDemand& demand : demandOf(frame)) {
            if (m_parts.demanded)
                m_parts.demanded(demand);
        }
        if (frame.leaving())
            leaves(number);
    }

    void joined(std::uint64_t number, Relay& relay, const wire::RelayHello& hello)
    {
        constexpr double milli = 1'000;
        if (hello.name().empty() || !relay.name.empty()) {
            lost(number, "unnamed");
            return;
        }
        relay.name = hello.name();
        // A new link of an instance replaces its earlier one.
        const auto before = m_byName.find(relay.name);
        if (before != m_byName.end() && before->second != number)
            lost(before->second, "replaced");
        m_byName[relay.name] = number;
        m_plan.addRelay(relay.name, hello.milli_cores() / milli, hello.data_hall());
        sendGranted(relay);
        // After a first frame the relay can tell the end of the owner from an owner that never answered.
        send(relay);
        m_parts.log->decision("relay-joined", { { "relay", hello.name() }, { "milli_cores", std::int64_t { hello.milli_cores() } }, { "data_hall", hello.data_hall() } });
    }

    void answered(const wire::RelayAnswer& answer)
    {
        const auto found = m_pending.find(answer.call());
        if (found == m_pending.end())
            return;
        judge(answer.call(), found->second, answer);
        const Done done = std::move(found->second.done);
        m_pending.erase(found);
        if (const auto* order = std::get_if<std::function<void(OrderResult)>>(&done))
            (*order)(orderResultOf(answer));
        else
            std::get<std::function<void(RenewResult)>>(done)(renewResultOf(answer));
    }

    /// Notes whether the worker answered through the relay. The calls of a failed relay are no evidence.
    void judge(std::uint64_t call, const Pending& pending, const wire::RelayAnswer& answer)
    {
        const auto relay = m_relays.find(pending.relay);
        if (relay == m_relays.end() || relay->second.name.empty()) {
            m_openCalls.take(call);
            return;
        }
        const auto outcome = orderResultOf(answer).outcome;
        noteOutcome(call, isAnswer(outcome), outcome == OrderOutcome::NotDone && pending.refersPayload);
        if (!isAnswer(outcome))
            m_plan.noteUnanswered(relay->second.name, pending.worker, m_parts.loop->now());
    }

    void giveUp(std::uint64_t call)
    {
        ++m_counts.unanswered;
        wire::RelayAnswer unknown;
        unknown.set_call(call);
        unknown.set_outcome(static_cast<std::uint32_t>(OrderOutcome::Unknown));
        answered(unknown);
    }

    void leaves(std::uint64_t number)
    {
        const auto found = m_relays.find(number);
        if (found == m_relays.end() || found->second.name.empty())
            return;
        m_parts.log->decision("relay-leaves", { { "relay", found->second.name } });
        m_plan.removeRelay(found->second.name);
        m_byName.erase(found->second.name);
        found->second.name.clear();
    }

    void lost(std::uint64_t number, const char* reason)
    {
        const auto found = m_relays.find(number);
        if (found == m_relays.end())
            return;
        std::vector<std::uint64_t> calls;
        for (const auto& [call, pending] : m_pending) {
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
            giveUp(call);
    }

    /// Logs changes of the number of relays in use.
    void noteSize()
    {
        const std::size_t relays = m_plan.relaysInUse();
        if (std::exchange(m_loggedRelays, relays) != relays)
            m_parts.log->change("relays-in-use", { { "relays", static_cast<std::int64_t>(relays) }, { "of", static_cast<std::int64_t>(m_byName.size()) }, { "workers", static_cast<std::int64_t>(m_plan.workers()) } });
    }

    /// Schedules one batch for the frames of all relays, since a timer for each relay would multiply the wake-ups of this process.
    void sendSoon(Relay& relay)
    {
        relay.hasCalls = true;
        if (std::exchange(m_gathering, true))
            return;
        m_parts.loop->callAt(m_parts.loop->now() + callsGather, [self = weak_from_this()] {
            if (const auto impl = self.lock())
                impl->sendAll();
        });
    }

    void sendAll()
    {
        const WorkMeter::Piece piece(m_parts.meter, WorkKind::RelayFrames);
        m_gathering = false;
        for (auto& [number, relay] : m_relays) {
            if (relay.hasCalls)
                send(relay);
        }
    }

    void send(Relay& relay)
    {
        relay.hasCalls = false;
        relay.heartbeatAt = m_parts.loop->now();
        relay.frame.set_sent_at_us(relay.heartbeatAt.time_since_epoch().count());
        relay.link->send(relay.frame.SerializeAsString());
        relay.frame.Clear();
    }

    void checkLater()
    {
        m_parts.loop->callAt(m_parts.loop->now() + check, [self = weak_from_this(), term = m_term] {
            const auto impl = self.lock();
            if (!impl || !impl->m_active || impl->m_term != term)
                return;
            impl->checkLinks();
            impl->checkCalls();
            impl->checkLater();
        });
    }

    void checkLinks()
    {
        const MonotonicInstant now = m_parts.loop->now();
        const bool wasHeldUp = now - std::exchange(m_checkedAt, now) > check + heldUp;
        if (wasHeldUp)
            m_evidenceFrom = now;
        std::vector<std::uint64_t> silent;
        for (auto& [number, relay] : m_relays) {
            const bool isUsed = now - relay.usedAt < usedLinkSilence;
            if (wasHeldUp)
                relay.heardAt = std::max(relay.heardAt, now - heartbeatOfUsed);
            if (now - relay.heardAt > (isUsed ? usedLinkSilence : idleLinkSilence))
                silent.push_back(number);
            else if (now - relay.heartbeatAt >= (isUsed ? heartbeatOfUsed : heartbeatOfIdle))
                send(relay);
        }
        for (const std::uint64_t number : silent)
            lost(number, "silent");
    }

    void checkCalls()
    {
        const MonotonicInstant now = m_parts.loop->now();
        std::vector<std::uint64_t> late;
        for (const auto& [call, pending] : m_pending) {
            if (now >= pending.deadline)
                late.push_back(call);
        }
        for (const std::uint64_t call : late)
            giveUp(call);
    }

    RelayedWorkersParts m_parts;
    RelayOptions m_options;
    double m_ownCores;
    ReachabilityOptions m_reachability;
    std::string m_ownHall;
    RelayPlan m_plan;
    ReachLog m_reachLog;
    OpenCalls m_openCalls;
    std::shared_ptr<const Reachability> m_published;
    std::uint64_t m_publishedChanges = 0;
    RelayCounts m_counts;
    bool m_active = false;
    std::optional<AdmissionGrants> m_granted; ///< The latest share of one instance.
    std::uint64_t m_term = 0;
    std::uint64_t m_lastRelay = 0;
    std::uint64_t m_lastCall = 0;
    std::size_t m_loggedRelays = 0;
    bool m_gathering = false; ///< Whether a batch of frames is scheduled.
    MonotonicInstant m_checkedAt;
    MonotonicInstant m_evidenceFrom; ///< Calls that were due before are no evidence.
    std::map<std::uint64_t, Relay> m_relays; ///< By link number.
    std::map<std::string, std::uint64_t> m_byName; ///< Link numbers of the relays that accept calls.
    std::map<std::uint64_t, Pending> m_pending; ///< By call number.
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

void RelayedWorkers::start(const WorkerLife& worker, const StartOrder& order, std::function<void(OrderResult)> done)
{
    m_impl->start(worker, order, done, true);
}

void RelayedWorkers::stop(const WorkerLife& worker, const Attempt& attempt, std::uint64_t epoch, std::function<void(OrderResult)> done)
{
    Impl::Done relayed(std::move(done));
    if (wire::RelayCall* message = m_impl->relayed(worker, Millis(0), relayed).message)
        fillStop(*message, worker, attempt, epoch);
    else
        m_impl->direct().stop(worker, attempt, epoch, std::move(std::get<std::function<void(OrderResult)>>(relayed)));
}

void RelayedWorkers::renew(const WorkerLife& worker, const RenewOrder& order, std::function<void(RenewResult)> done)
{
    m_impl->renew(worker, order, std::move(done));
}

void RelayedWorkers::noteOverdue(const WorkerLife& worker)
{
    m_impl->noteOverdue(worker);
}

std::shared_ptr<const Reachability> RelayedWorkers::reachability() const
{
    return m_impl->reachability();
}

void RelayedWorkers::throttle(const WorkerLife& worker, const Attempt& attempt, std::uint32_t percent, std::uint64_t epoch, std::function<void(OrderResult)> done)
{
    Impl::Done relayed(std::move(done));
    if (wire::RelayCall* message = m_impl->relayed(worker, Millis(0), relayed).message)
        fillThrottle(*message, worker, attempt, percent, epoch);
    else
        m_impl->direct().throttle(worker, attempt, percent, epoch, std::move(std::get<std::function<void(OrderResult)>>(relayed)));
}

void RelayedWorkers::forget(const WorkerLife& worker)
{
    m_impl->forget(worker);
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
