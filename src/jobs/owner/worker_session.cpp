#include "lanemoor/jobs/owner/worker_session.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// A worker's clock loses at most this part of the time (the platform's bound, 2%).
constexpr double slowestClock = 0.98;
/// For rounding and for the worker's own timer.
constexpr Millis leaseSlack { 50 };
/// Answers on different connections overtake each other by less than this, but for answers that are held up.
constexpr Millis usualOvertaking { 100 };
/// While ends wait for the store, the lease is renewed this often.
constexpr Millis unstoredRenewal { 700 };
/// A worker that was heard of so long ago is the same life still: one that has ended is back after a second at the soonest.
constexpr Millis freshLife { 900 };
/// Where calls were lost lately, an answer waits this long for an end.
constexpr Millis shortWait { 150 };
constexpr Millis shortWaitTime { 3'000 };

} // namespace

WorkerSession::WorkerSession(EventLoop& loop, WorkerControl& control, WorkerIncarnation life, WorkerSessionOptions options, WorkerSessionObserver& observer)
    : m_loop(loop)
    , m_control(control)
    , m_life(std::move(life))
    , m_options(std::move(options))
    , m_observer(observer)
{
}

void WorkerSession::start()
{
    renew();
}

void WorkerSession::close()
{
    m_closed = true;
    m_loop.cancel(m_timer);
}

std::optional<std::int64_t> WorkerSession::leaseForOrder()
{
    if (m_clockSample == 0)
        return std::nullopt;
    const std::int64_t lease = clockNow() + m_options.leaseTime.count();
    m_longestLease = std::max(m_longestLease, lease);
    m_leaseLapsed = false;
    return lease;
}

std::int64_t WorkerSession::clockNow() const
{
    if (m_clockSample == 0)
        return 0;
    return m_clockSample + std::chrono::duration_cast<Millis>(m_loop.now() - m_clockSampledBy).count();
}

bool WorkerSession::noteClock(std::int64_t workerClock)
{
    if (workerClock <= 0)
        return true;
    m_clockSample = workerClock;
    m_clockSampledBy = m_loop.now();
    const bool wentBack = workerClock + usualOvertaking.count() < m_heardOnClock;
    if (wentBack)
        doubtLife();
    if (workerClock <= m_heardOnClock)
        return !wentBack;
    m_heardOnClock = workerClock;
    m_answeredAt = m_loop.now();
    m_observer.onHeard(*this);
    return true;
}

MonotonicInstant WorkerSession::leaseOverBy() const
{
    if (m_longestLease == 0)
        return m_options.inheritedLeaseOverBy;
    const auto left = static_cast<double>(m_longestLease - m_clockSample);
    const Millis worst(static_cast<std::int64_t>(left / slowestClock));
    return std::max(m_options.inheritedLeaseOverBy, m_clockSampledBy + worst + leaseSlack);
}

void WorkerSession::noteThisLife()
{
    m_lifeInDoubt = false;
    m_heardAt = m_loop.now();
}

void WorkerSession::acknowledge(std::uint64_t sequence)
{
    m_storedUpTo = std::max(m_storedUpTo, sequence);
    m_awaitingAcknowledgement = false;
    hurry(m_loop.now());
}

void WorkerSession::probeAfter(Millis pause)
{
    m_loop.callAt(m_loop.now() + pause, [self = weak_from_this()] {
        if (const auto session = self.lock(); session && !session->m_closed && session->m_options.mayOrder())
            session->probe();
    });
}

/// \returns Whether the worker may have started again since it was last heard of.
bool WorkerSession::mayBeAnotherLife() const
{
    return m_lifeInDoubt || (m_met && m_loop.now() - m_heardAt > freshLife);
}

/// A clock that went back may be that of another life under this id, which the next renewal may not tell to forget its ends.
void WorkerSession::doubtLife()
{
    if (!std::exchange(m_lifeInDoubt, true) && m_options.mayOrder())
        probe();
}

void WorkerSession::probe()
{
    if (m_closed || m_loop.now() < m_probeFrom)
        return;
    m_probeFrom = m_loop.now() + m_options.overdueAfter();
    watchProbe(m_loop.now(), m_probeFrom);
    m_control.renew(m_life, { .epoch = m_options.epoch }, [self = weak_from_this(), sentAt = m_loop.now()](const RenewResult& result) {
        const auto session = self.lock();
        if (!session || session->m_closed || result.outcome != CommandOutcome::Done)
            return;
        session->m_probeFrom = session->m_loop.now();
        if (!session->isOfThisLife(result)) {
            session->noteRestart(result.startedAt);
            return;
        }
        session->noteThisLife();
        session->noteClock(result.workerClock);
        session->m_observer.onProbe(*session, result, sentAt);
    });
}

void WorkerSession::watchProbe(MonotonicInstant sentAt, MonotonicInstant overdueAt)
{
    m_loop.callAt(overdueAt, [self = weak_from_this(), sentAt] {
        const auto session = self.lock();
        if (!session || session->m_closed || !session->m_met || session->answeredSince(sentAt))
            return;
        session->m_control.noteOverdue(session->m_life);
        session->m_observer.onOverdue(*session);
    });
}

void WorkerSession::hurry(MonotonicInstant when)
{
    if (!m_renewing && (m_timer == 0 || when < m_timerAt))
        renewAt(when);
}

void WorkerSession::renewAt(MonotonicInstant when)
{
    m_loop.cancel(m_timer);
    m_timerAt = when;
    m_timer = m_loop.callAt(when, [self = weak_from_this()] {
        const auto session = self.lock();
        if (!session || session->m_closed)
            return;
        session->m_timer = 0;
        session->renew();
    });
}

void WorkerSession::renew()
{
    if (m_closed || m_renewing)
        return;
    if (!m_options.mayOrder()) {
        renewAt(m_loop.now() + m_options.retryPause);
        watchLease();
        return;
    }
    // A renewal into the silence only asks: if it gave a lease too, the end of the longest
    // lease would move on for ever, and with it the time when the tasks may start elsewhere. Nor does one that another life may
    // answer: that one has another clock and counts its ends anew.
    const bool onlyAsks = m_silent || mayBeAnotherLife();
    RenewCommand order { .leaseUntil = onlyAsks ? 0 : leaseForOrder().value_or(0), .epoch = m_options.epoch, .endsStoredUpTo = onlyAsks ? 0 : m_storedUpTo };
    if (m_met && !onlyAsks && !m_awaitingAcknowledgement)
        order.wait = m_loop.now() < m_shortWaitUntil ? std::min(m_options.wait, shortWait) : m_options.wait;
    m_renewing = true;
    const MonotonicInstant sentAt = m_loop.now();
    m_renewalSentAt = sentAt;
    const Millis overdueAfter = m_options.overdueAfter();
    if (m_met && !m_silent)
        watchRenewal(sentAt + order.wait + overdueAfter, overdueAfter);
    m_control.renew(m_life, order, [self = weak_from_this(), sentAt](const RenewResult& result) {
        const auto session = self.lock();
        if (session && !session->m_closed)
            session->answered(result, sentAt);
    });
}

/// A renewal that is overdue may be lost, and with it the ends that it would have reported: probes report them until it times out.
void WorkerSession::watchRenewal(MonotonicInstant overdueAt, Millis pause)
{
    m_loop.callAt(overdueAt, [self = weak_from_this(), sentAt = m_renewalSentAt, pause] {
        const auto session = self.lock();
        if (!session || session->m_closed || !session->m_renewing || session->m_renewalSentAt != sentAt || !session->m_options.mayOrder())
            return;
        session->noteOverdue();
        session->probe();
        session->watchRenewal(session->m_loop.now() + pause, 2 * pause);
    });
}

void WorkerSession::noteOverdue()
{
    m_shortWaitUntil = m_loop.now() + shortWaitTime;
    m_control.noteOverdue(m_life);
}

void WorkerSession::answered(const RenewResult& result, MonotonicInstant sentAt)
{
    m_renewing = false;
    switch (result.outcome) {
    case CommandOutcome::Done:
        break;
    case CommandOutcome::OtherIncarnation:
        noteLifeOver();
        return;
    case CommandOutcome::Fenced:
        m_observer.onFenced(*this);
        renewAt(m_loop.now() + m_options.retryPause);
        return;
    default:
        // Only this call was lost: the worker has answered others since.
        if (m_heardAt > sentAt) {
            renewAt(m_loop.now());
            return;
        }
        if (!std::exchange(m_silent, true))
            endLeaseInTime();
        renewAt(m_loop.now() + m_options.retryPause);
        m_observer.onSilence(*this);
        watchLease();
        return;
    }
    if (m_life.startedAt == 0)
        m_life.startedAt = result.startedAt;
    // A call of this session can't have been answered by an earlier life, so this is a later one.
    if (!isOfThisLife(result)) {
        noteRestart(result.startedAt);
        return;
    }
    m_met = true;
    m_silent = false;
    noteThisLife();
    noteClock(result.workerClock);
    m_awaitingAcknowledgement = true;
    // Ends that are not stored in time must not cost the lease.
    renewAt(m_loop.now() + unstoredRenewal);
    m_observer.onAnswer(*this, result, sentAt);
}

void WorkerSession::watchLease()
{
    if (m_leaseLapsed || m_loop.now() < leaseOverBy())
        return;
    m_leaseLapsed = true;
    m_observer.onOver(*this, false);
}

/// The renewals of a silent worker time out one after another, and the lease may be over long before the next one does.
void WorkerSession::endLeaseInTime()
{
    m_loop.callAt(leaseOverBy(), [self = weak_from_this()] {
        const auto session = self.lock();
        if (session && !session->m_closed && session->m_silent)
            session->watchLease();
    });
}

void WorkerSession::noteRestart(std::int64_t startedAt)
{
    const bool wasOver = std::exchange(m_lifeOver, true) || m_leaseLapsed;
    close();
    m_observer.onRestart(*this, startedAt, wasOver);
}

void WorkerSession::noteLifeOver()
{
    if (m_lifeOver)
        return;
    m_lifeOver = true;
    close();
    m_observer.onOver(*this, true);
}

} // namespace lanemoor::jobs
