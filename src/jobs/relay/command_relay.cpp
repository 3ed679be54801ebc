#include "lanemoor/jobs/relay/command_relay.h"

#include "admission_codec.h"
#include "demand_codec.h"
#include "lanemoor/adapters/event_log.h"
#include "payload_reader.h"
#include "relay_codec.h"
#include "relay_times.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <random>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr Millis minReconnectPause { 300 };
/// An owner accepts a bounded number of links, and instances beyond it reconnect at growing intervals. This maximum is low
/// since a partitioned path can't be told from a refused link.
constexpr Millis maxReconnectPause { 3'000 };
/// A refused connection proves the end of the owner's process only within this time after its link broke: later, the break may have
/// had another cause.
constexpr Millis refusalWindow { 1'000 };
/// A call with a delay this much above the link's minimum is not made: this machine was frozen or overloaded, and calls time out at
/// the owner after 1.1 s.
constexpr Millis maxCallDelay { 400 };
/// After this time without a payload from the store, the start is returned and the owner sends the payload with the call. The store
/// answers in 4 ms, and in about 200 ms while it is slow.
constexpr Millis payloadReadTimeout { 250 };
constexpr Millis minDemandInterval { 250 }; // Between demand reports: the owner plans every 100 ms, and each frame costs processor time.
constexpr Millis storeRetryPause { 2'000 }; // Before the next read of a payload after a failed one.

} // namespace

class CommandRelay::Impl : public std::enable_shared_from_this<CommandRelay::Impl> {
public:
    Impl(CommandRelayParts parts, std::string name, double cores, std::string dataHall)
        : m_parts(std::move(parts))
        , m_name(std::move(name))
        , m_cores(cores)
        , m_dataHall(std::move(dataHall))
        , m_payloads(m_parts.store ? std::make_shared<PayloadReader>(*m_parts.store) : nullptr)
        , m_random(static_cast<std::minstd_rand::result_type>(std::hash<std::string> {}(m_name)))
    {
    }

    void setOwner(const std::string& address)
    {
        if (!m_parts.peers || m_leaving || address == m_address)
            return;
        m_address = address;
        m_reconnectPause = minReconnectPause;
        disconnect();
        connect();
    }

    void reportDemand()
    {
        if (!m_parts.takeDemand || !m_isLinked || std::exchange(m_isDemandScheduled, true))
            return;
        m_parts.loop->callAt(std::max(m_parts.loop->now(), m_demandSentAt + minDemandInterval), [self = weak_from_this(), generation = m_generation] {
            const auto impl = self.lock();
            if (impl && impl->m_generation == generation && impl->m_link)
                impl->scheduleSend();
        });
    }

    void leave()
    {
        m_leaving = true;
        if (!m_link)
            return;
        m_frame.set_leaving(true);
        scheduleSend();
    }

    std::size_t inFlight = 0;
    std::uint64_t calls = 0;

private:
    void disconnect()
    {
        if (!m_link)
            return;
        m_link->close();
        m_link.reset();
        m_isLinked = false;
        ++m_generation;
        m_frame.Clear();
        m_isSendScheduled = false;
        m_isDemandScheduled = false;
    }

    void connect()
    {
        if (m_address.empty() || m_link || m_leaving)
            return;
        constexpr double milli = 1'000;
        m_link = m_parts.peers->connect(m_address);
        m_lastReceivedAt = m_parts.loop->now();
        m_minClockOffset.reset();
        // Demand from before the link says nothing about the current load.
        if (m_parts.takeDemand)
            static_cast<void>(m_parts.takeDemand());
        m_link->observe({ .received = [self = weak_from_this(), generation = m_generation](const std::string& frame) {
                             if (const auto impl = self.lock(); impl && impl->m_generation == generation)
                                 impl->received(frame); },
            .closed = [self = weak_from_this(), generation = m_generation] {
                if (const auto impl = self.lock(); impl && impl->m_generation == generation)
                    impl->onLinkEnded("closed"); } });
        m_frame.mutable_hello()->set_name(m_name);
        m_frame.mutable_hello()->set_milli_cores(static_cast<std::uint32_t>(std::lround(m_cores * milli)));
        m_frame.mutable_hello()->set_data_hall(m_dataHall);
        scheduleSend();
        scheduleIdleCheck();
    }

    /// Handles the end of the link. The owner may still be running, so the relay reconnects until another owner is known.
    void onLinkEnded(const char* reason)
    {
        m_parts.log->decision("relay-link-ended", { { "owner", m_address }, { "reason", std::string(reason) }, { "calls", static_cast<std::int64_t>(inFlight) } });
        const MonotonicInstant now = m_parts.loop->now();
        const bool wasLinked = m_isLinked;
        const bool refused = m_link && m_link->wasRefused();
        disconnect();
        if (wasLinked)
            m_refusalWindowEnd = now + refusalWindow;
        else if (refused && now < m_refusalWindowEnd)
            noteOwnerEnded();
        // The first attempt after a break shows whether the owner's process still runs.
        m_parts.loop->callAt(now + (wasLinked ? Millis(0) : nextReconnectPause()), [self = weak_from_this()] {
            if (const auto impl = self.lock())
                impl->connect();
        });
    }

    /// \returns A random pause between half of the current maximum and all of it; the maximum doubles with each call, up to a bound.
    Millis nextReconnectPause()
    {
        const Millis maxPause = std::exchange(m_reconnectPause, std::min(2 * m_reconnectPause, maxReconnectPause));
        return Millis(std::uniform_int_distribution<Millis::rep>(maxPause.count() / 2, maxPause.count())(m_random));
    }

    void noteOwnerEnded()
    {
        m_refusalWindowEnd = {};
        if (m_parts.ownerEnded)
            m_parts.ownerEnded(m_address);
    }

    void scheduleIdleCheck()
    {
        m_parts.loop->callAt(m_lastReceivedAt + idleLinkTimeout, [self = weak_from_this(), generation = m_generation] {
            const auto impl = self.lock();
            if (!impl || impl->m_generation != generation || !impl->m_link)
                return;
            if (impl->m_parts.loop->now() - impl->m_lastReceivedAt >= idleLinkTimeout)
                impl->onLinkEnded("silent");
            else
                impl->scheduleIdleCheck();
        });
    }

    void received(const std::string& text)
    {
        wire::RelayFrame frame;
        if (!frame.ParseFromString(text)) {
            onLinkEnded("unreadable");
            return;
        }
        m_lastReceivedAt = m_parts.loop->now();
        m_isLinked = true;
        m_reconnectPause = minReconnectPause;
        const bool isStale = isDelayed(frame.sent_at_us());
        for (const wire::RelayCall& call : frame.calls()) {
            if (isStale)
                refuse(call);
            else
                execute(call);
        }
        for (const wire::RelayLife& incarnation : frame.forgotten())
            m_parts.workers->closeConnections({ .id = incarnation.worker(), .address = incarnation.address() });
        if (frame.has_admission() && m_parts.granted && !isStale)
            m_parts.granted(grantsOf(frame.admission()));
        // Every frame is answered, so that the owner can detect a broken link. Calls are answered anyway.
        if (frame.calls().empty())
            scheduleSend();
    }

    /// The offset of the two clocks is unknown but constant: the smallest difference on the link counts as no delay.
    bool isDelayed(std::int64_t sentAtMicros)
    {
        const std::int64_t passed = m_parts.loop->now().time_since_epoch().count() - sentAtMicros;
        m_minClockOffset = std::min(m_minClockOffset.value_or(passed), passed);
        return std::chrono::microseconds(passed - *m_minClockOffset) > maxCallDelay;
    }

    void refuse(const wire::RelayCall& call)
    {
        wire::RelayAnswer& answer = *m_frame.add_answers();
        answer.set_call(call.call());
        answer.set_outcome(static_cast<std::uint32_t>(CommandOutcome::NotDone));
        scheduleSend();
    }

    void execute(const wire::RelayCall& call)
    {
        ++calls;
        ++inFlight;
        const WorkerIncarnation worker = workerOf(call);
        switch (call.kind_case()) {
        case wire::RelayCall::kStart:
            start(worker, call);
            return;
        case wire::RelayCall::kStop:
            m_parts.workers->stop(worker, attemptOf(call.stop().attempt()), call.epoch(), answerTo<CommandResult>(call.call()));
            return;
        case wire::RelayCall::kRenew:
            m_parts.workers->renew(worker, renewalOf(call), answerTo<RenewResult>(call.call()));
            return;
        case wire::RelayCall::kThrottle:
            m_parts.workers->throttle(worker, attemptOf(call.throttle().attempt()), call.throttle().percent(), call.epoch(), answerTo<CommandResult>(call.call()));
            return;
        case wire::RelayCall::KIND_NOT_SET:
            --inFlight;
            refuse(call);
        }
    }

    void start(const WorkerIncarnation& worker, const wire::RelayCall& call)
    {
        StartCommand command = startOf(call);
        if (!call.start().payload_in_store()) {
            m_parts.workers->start(worker, command, answerTo<CommandResult>(call.call()));
            return;
        }
        // Either the payload or the timeout settles the start. A start that is not sent by the timeout is never sent.
        const auto isSettled = std::make_shared<bool>(false);
        const std::function<void(CommandResult)> done = answerTo<CommandResult>(call.call());
        const auto refuse = [self = shared_from_this(), isSettled, done] {
            if (std::exchange(*isSettled, true))
                return;
            self->m_storeUnavailableUntil = self->m_parts.loop->now() + storeRetryPause;
            done({ .outcome = CommandOutcome::NotDone });
        };
        if (m_parts.loop->now() < m_storeUnavailableUntil) {
            m_parts.loop->callAt(m_parts.loop->now(), refuse);
            return;
        }
        const std::string job = command.attempt.job;
        const MonotonicInstant deadline = m_parts.loop->now() + payloadReadTimeout;
        m_payloads->read(job, [self = shared_from_this(), isSettled, refuse, worker, command = std::move(command), done, deadline](const std::optional<std::string>& payload) mutable {
            // After a pause of this process the payload may arrive before the expired timer runs.
            if (!payload || self->m_parts.loop->now() > deadline) {
                refuse();
                return;
            }
            if (std::exchange(*isSettled, true))
                return;
            command.payload = *payload;
            self->m_parts.workers->start(worker, command, done);
        });
        m_parts.loop->callAt(deadline, refuse);
    }

    template <typename Result>
    std::function<void(Result)> answerTo(std::uint64_t call)
    {
        return [self = shared_from_this(), call, generation = m_generation](const Result& result) {
            --self->inFlight;
            if (self->m_generation != generation || !self->m_link)
                return;
            wire::RelayAnswer& answer = *self->m_frame.add_answers();
            answer.set_call(call);
            fill(answer, result);
            self->scheduleSend();
        };
    }

    void scheduleSend()
    {
        if (std::exchange(m_isSendScheduled, true))
            return;
        m_parts.loop->callAt(m_parts.loop->now() + answerBatchDelay, [self = weak_from_this(), generation = m_generation] {
            const auto impl = self.lock();
            if (impl && impl->m_generation == generation && impl->m_link)
                impl->send();
        });
    }

    void send()
    {
        m_isSendScheduled = false;
        addDemand();
        m_frame.set_sent_at_us(m_parts.loop->now().time_since_epoch().count());
        m_link->send(m_frame.SerializeAsString());
        m_frame.Clear();
    }

    void addDemand()
    {
        const MonotonicInstant now = m_parts.loop->now();
        if (!m_isDemandScheduled || now < m_demandSentAt + minDemandInterval)
            return;
        m_isDemandScheduled = false;
        m_demandSentAt = now;
        jobs::addDemand(m_frame, m_parts.takeDemand());
    }

    CommandRelayParts m_parts;
    std::string m_name;
    double m_cores;
    std::string m_dataHall;
    std::shared_ptr<PayloadReader> m_payloads;
    std::string m_address; ///< Of the owner.
    std::shared_ptr<PeerLink> m_link;
    std::uint64_t m_generation = 0; ///< Of the link: callbacks of earlier links are ignored.
    wire::RelayFrame m_frame; ///< The next frame, while it is filled.
    bool m_isSendScheduled = false;
    Millis m_reconnectPause = minReconnectPause; ///< Max pause before the next attempt.
    std::minstd_rand m_random; ///< Seeded by the name.
    bool m_isLinked = false; ///< Whether the owner sent a frame over the link.
    MonotonicInstant m_refusalWindowEnd;
    bool m_isDemandScheduled = false;
    MonotonicInstant m_demandSentAt;
    bool m_leaving = false;
    MonotonicInstant m_storeUnavailableUntil; ///< No payload is read before this time, since a read failed.
    MonotonicInstant m_lastReceivedAt;
    std::optional<std::int64_t> m_minClockOffset; ///< Min difference between receive and send time on the link, in us.
};

CommandRelay::CommandRelay(CommandRelayParts parts, std::string name, double cores, std::string dataHall)
    : m_impl(std::make_shared<Impl>(std::move(parts), std::move(name), cores, std::move(dataHall)))
{
}

CommandRelay::~CommandRelay() = default;

void CommandRelay::setOwner(const std::string& address)
{
    m_impl->setOwner(address);
}

void CommandRelay::reportDemand()
{
    m_impl->reportDemand();
}

void CommandRelay::leave()
{
    m_impl->leave();
}

std::size_t CommandRelay::inFlight() const noexcept
{
    return m_impl->inFlight;
}

std::uint64_t CommandRelay::calls() const noexcept
{
    return m_impl->calls;
}

} // namespace lanemoor::jobs
