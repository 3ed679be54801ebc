#include "lanemoor/jobs/owner/worker_session.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Min speed of a worker's clock: by the platform's bound it may be slow by 2%.
constexpr double minClockRate = 0.98;
/// Max time from sending a command until its lease has expired at any incarnation: it may be carried out some 6 s late, and the
/// worker limits the lease to 10 s by a clock that may be slow by 2%.
constexpr Millis maxLeaseOfLateCommand { 18'000 };
/// For rounding and the worker's own timer.
constexpr Millis leaseSlack { 50 };
/// Responses on different connections overtake each other by less than this, unless one is delayed.
constexpr Millis maxUsualReordering { 100 };
/// Renewal interval while ended attempts are not stored yet.
constexpr Millis unstoredRenewalInterval { 700 };
/// Within this time after a response the worker is the same incarnation: a restart takes at least a second.
constexpr Millis minRestartTime { 900 };
/// Long-poll time after recent lost calls.
constexpr Millis reducedWait { 150 };
constexpr Millis reducedWaitPeriod { 3'000 };

} // namespace

WorkerSession::WorkerSession(EventLoop& loop, WorkerControl& control, WorkerIncarnation incarnation, WorkerSessionOptions options, WorkerSessionObserver& observer)
    : m_loop(loop)
    , m_control(control)
    , m_incarnation(std::move(incarnation))
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

std::optional<std::int64_t> WorkerSession::leaseForCommand()
{
    if (m_clockSample == 0)
        return std::nullopt;
    const std::int64_t lease = clockNow() + m_options.leaseTime.count();
    m_latestLease = std::max(m_latestLease, lease);
    m_latestLeaseSentAt = m_loop.now();
    m_leaseExpired = false;
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
    const bool wentBack = workerClock + maxUsualReordering.count() < m_lastSeenOnClock;
    if (wentBack)
        suspectRestart();
    if (workerClock <= m_lastSeenOnClock)
        return !wentBack;
    m_lastSeenOnClock = workerClock;
    m_answeredAt = m_loop.now();
    m_observer.onAlive(*this);
    return true;
}

MonotonicInstant WorkerSession::leaseExpiresBy() const
{
    if (m_latestLease == 0)
        return m_options.inheritedLeaseExpiresBy;
    // The clock sample may be that of another incarnation, and the lease is not on its clock.
    if (m_restartSuspected)
        return commandsExpireBy();
    const auto left = static_cast<double>(m_latestLease - m_clockSample);
    const Millis worst(static_cast<std::int64_t>(left / minClockRate));
    return std::max(m_options.inheritedLeaseExpiresBy, m_clockSampledBy + worst + leaseSlack);
}

void WorkerSession::confirmIncarnation()
{
    m_restartSuspected = false;
    m_confirmedAt = m_loop.now();
}

void WorkerSession::acknowledge(std::uint64_t sequence)
{
    m_storedUpTo = std::max(m_storedUpTo, sequence);
    m_awaitingAcknowledgement = false;
    renewBy(m_loop.now());
}

void WorkerSession::probeAfter(Millis pause)
{
    m_loop.callAt(m_loop.now() + pause, [self = weak_from_this()] {
        if (const auto session = self.lock(); session && !session->m_closed && session->m_options.maySendCommands())
            session->probe();
    });
}

/// \returns Whether the worker may have restarted since its last response.
bool WorkerSession::mayHaveRestarted() const
{
    return m_restartSuspected || (m_hasAnswered && m_loop.now() - m_confirmedAt > minRestartTime);
}

/// A clock that went back may belong to another incarnation under this id. The next renewal must not make that one discard its ended
/// attempts.
void WorkerSession::suspectRestart()
{
    if (!std::exchange(m_restartSuspected, true) && m_options.maySendCommands())
        probe();
}

void WorkerSession::probe()
{
    if (m_closed || m_loop.now() < m_nextProbeAt)
        return;
    m_nextProbeAt = m_loop.now() + m_options.overdueAfter();
    watchProbe(m_loop.now(), m_nextProbeAt);
    m_control.renew(m_incarnation, { .epoch = m_options.epoch }, [self = weak_from_this(), sentAt = m_loop.now()](const RenewResult& result) {
        const auto session = self.lock();
        if (!session || session->m_closed || result.outcome != CommandOutcome::Done)
            return;
        session->m_nextProbeAt = session->m_loop.now();
        if (!session->isOfThisIncarnation(result)) {
            session->noteRestart(result.startedAt);
            return;
        }
        session->confirmIncarnation();
        session->noteClock(result.workerClock);
        session->m_observer.onProbeAnswered(*session, result, sentAt);
    });
}

void WorkerSession::watchProbe(MonotonicInstant sentAt, MonotonicInstant overdueAt)
{
    m_loop.callAt(overdueAt, [self = weak_from_this(), sentAt] {
        const auto session = self.lock();
        if (!session || session->m_closed || !session->m_hasAnswered || session->answeredSince(sentAt))
            return;
        session->m_control.noteOverdue(session->m_incarnation);
        session->m_observer.onProbeOverdue(*session);
    });
}

void WorkerSession::renewBy(MonotonicInstant when)
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
    if (!m_options.maySendCommands()) {
        renewAt(m_loop.now() + m_options.retryPause);
        checkLeaseExpiry();
        return;
    }
    // Renewals of an unresponsive worker carry no lease: otherwise the latest lease expiry would advance without end, and
    // with it the time when the tasks may start elsewhere. Nor do renewals that another incarnation may
    // answer, since its clock differs and it numbers its ended attempts anew.
    const bool withoutLease = m_unresponsive || mayHaveRestarted();
    RenewCommand command { .leaseUntil = withoutLease ? 0 : leaseForCommand().value_or(0), .epoch = m_options.epoch, .endsStoredUpTo = withoutLease ? 0 : m_storedUpTo };
    if (m_hasAnswered && !withoutLease && !m_awaitingAcknowledgement)
        command.wait = m_loop.now() < m_reducedWaitUntil ? std::min(m_options.wait, reducedWait) : m_options.wait;
    m_renewing = true;
    const MonotonicInstant sentAt = m_loop.now();
    m_renewalSentAt = sentAt;
    const Millis overdueAfter = m_options.overdueAfter();
    if (m_hasAnswered && !m_unresponsive)
        watchRenewal(sentAt + command.wait + overdueAfter, overdueAfter);
    m_control.renew(m_incarnation, command, [self = weak_from_this(), sentAt](const RenewResult& result) {
        const auto session = self.lock();
        if (session && !session->m_closed)
            session->handleResponse(result, sentAt);
    });
}

/// An overdue renewal may be lost together with the ended attempts in its response: probes report them until it times out.
void WorkerSession::watchRenewal(MonotonicInstant overdueAt, Millis pause)
{
    m_loop.callAt(overdueAt, [self = weak_from_this(), sentAt = m_renewalSentAt, pause] {
        const auto session = self.lock();
        if (!session || session->m_closed || !session->m_renewing || session->m_renewalSentAt != sentAt || !session->m_options.maySendCommands())
            return;
        session->noteOverdue();
        session->probe();
        session->watchRenewal(session->m_loop.now() + pause, 2 * pause);
    });
}

void WorkerSession::noteOverdue()
{
    m_reducedWaitUntil = m_loop.now() + reducedWaitPeriod;
    m_control.noteOverdue(m_incarnation);
}

void WorkerSession::handleResponse(const RenewResult& result, MonotonicInstant sentAt)
{
    m_renewing = false;
    switch (result.outcome) {
    case CommandOutcome::Done:
        break;
    case CommandOutcome::OtherIncarnation:
        noteIncarnationOver();
        return;
    case CommandOutcome::Fenced:
        m_observer.onFenced(*this);
        renewAt(m_loop.now() + m_options.retryPause);
        return;
    default:
        // Only this call was lost: the worker has answered others since.
        if (m_confirmedAt > sentAt) {
            renewAt(m_loop.now());
            return;
        }
        if (!std::exchange(m_unresponsive, true))
            scheduleLeaseExpiry();
        renewAt(m_loop.now() + m_options.retryPause);
        m_observer.onUnresponsive(*this);
        checkLeaseExpiry();
        return;
    }
    if (m_incarnation.startedAt == 0)
        m_incarnation.startedAt = result.startedAt;
    // An earlier incarnation can't answer a call of this session, so this is a later one.
    if (!isOfThisIncarnation(result)) {
        noteRestart(result.startedAt);
        return;
    }
    m_hasAnswered = true;
    m_hasReportedAll = m_hasReportedAll || result.coverage == ReportCoverage::Complete;
    m_unresponsive = false;
    confirmIncarnation();
    noteClock(result.workerClock);
    m_awaitingAcknowledgement = true;
    // Slow storing of ended attempts must not let the lease expire.
    renewAt(m_loop.now() + unstoredRenewalInterval);
    m_observer.onRenewalAnswered(*this, result, sentAt);
}

void WorkerSession::checkLeaseExpiry()
{
    if (m_leaseExpired || m_loop.now() < leaseExpiresBy())
        return;
    m_leaseExpired = true;
    m_observer.onEnded(*this, false);
    if (mayShareId())
        scheduleCommandExpiry();
}

MonotonicInstant WorkerSession::commandsExpireBy() const
{
    return std::max(m_options.inheritedLeaseExpiresBy, m_latestLeaseSentAt + maxLeaseOfLateCommand);
}

void WorkerSession::scheduleCommandExpiry()
{
    m_loop.callAt(commandsExpireBy(), [self = weak_from_this()] {
        const auto session = self.lock();
        if (session && !session->m_closed && session->m_leaseExpired && session->m_loop.now() >= session->commandsExpireBy())
            session->m_observer.onCommandsExpired(*session);
    });
}

/// The renewals of an unresponsive worker time out one after another, and the lease may expire long before the next one does.
void WorkerSession::scheduleLeaseExpiry()
{
    m_loop.callAt(leaseExpiresBy(), [self = weak_from_this()] {
        const auto session = self.lock();
        if (session && !session->m_closed && session->m_unresponsive)
            session->checkLeaseExpiry();
    });
}

void WorkerSession::noteRestart(std::int64_t startedAt)
{
    const bool hadEnded = std::exchange(m_incarnationEnded, true) || m_leaseExpired;
    close();
    m_observer.onRestart(*this, startedAt, hadEnded);
}

void WorkerSession::noteIncarnationOver()
{
    if (m_incarnationEnded)
        return;
    m_incarnationEnded = true;
    m_endedAt = m_loop.now();
    close();
    m_observer.onEnded(*this, true);
}

} // namespace lanemoor::jobs
