#pragma once
/// \file
/// The owner's session with one incarnation of a worker: lease, clock, running tasks and ended attempts.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/worker_control.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace lanemoor::jobs {

class WorkerSession;

/// Settings of a session.
struct WorkerSessionOptions {
    std::uint64_t epoch = 0; ///< Fencing token of all commands to this incarnation.
    MonotonicInstant inheritedLeaseExpiresBy; ///< Latest expiry of a lease of an earlier owner.
    /// Lease of all attempts at the worker. A short lease fails running tasks when the owner crashes; a long
    /// lease delays the tasks of a crashed worker.
    Millis leaseTime { 5'000 };
    Millis wait { 1'000 }; ///< Long-poll time: the worker delays a response for up to this time until an attempt ends. Also the max renewal interval.
    Millis retryPause { 200 }; ///< Pause after a renewal without a response.
    std::function<bool()> maySendCommands; ///< Whether the ownership is held.
    std::function<Millis()> overdueAfter; ///< Time after the long-poll time at which a call without a response is overdue.
};

/// Receives the events of a session.
class WorkerSessionObserver {
public:
    virtual ~WorkerSessionObserver() = default;

    /// \brief Response to a renewal. The observer calls `acknowledge` once the ended attempts are stored.
    /// \param sentAt When the renewal was sent: the response reflects all commands answered before that.
    virtual void onRenewalAnswered(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt) = 0;

    /// \brief Response to a probe. Probes and renewals may overtake each other.
    /// \param sentAt When the probe was sent: the response reflects all commands answered before that.
    virtual void onProbeAnswered(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt) = 0;

    /// \brief The worker is up: a response carried a newer time of its clock.
    virtual void onAlive(WorkerSession& session) = 0;

    /// \brief A probe is overdue, and no response has been received since it was sent.
    virtual void onProbeOverdue(WorkerSession& session) = 0;

    /// \brief A renewal has failed or timed out.
    virtual void onUnresponsive(WorkerSession& session) = 0;

    /// \brief The incarnation or its lease has ended: none of its attempts runs any more.
    /// \param hasIncarnationEnded False: only the lease has expired; the worker may respond again, with no running attempts.
    virtual void onEnded(WorkerSession& session, bool hasIncarnationEnded) = 0;

    /// \brief The worker has not responded since its lease expired, and no command of this session is in effect any more, at a later
    /// incarnation either.
    virtual void onCommandsExpired(WorkerSession& session) = 0;

    /// \brief The worker has restarted under its id. No attempt of the previous incarnation runs any more; an unacknowledged
    /// command to the previous incarnation may still reach the new one.
    /// \param startedAt Start time of the new incarnation. \param hadEnded The previous incarnation, or its lease, was already known to have ended.
    virtual void onRestart(WorkerSession& session, std::int64_t startedAt, bool hadEnded) = 0;

    /// \brief The worker has rejected the call, since it has accepted calls of a later owner.
    virtual void onFenced(WorkerSession& session) = 0;
};

/// \brief Renews the lease of all attempts at one incarnation of a worker.
///
/// A lease is a time on the worker's clock, which may be slow by 2%. The session derives the clock from the worker's responses and
/// computes when the longest granted lease has certainly expired.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
public:
    WorkerSession(EventLoop& loop, WorkerControl& control, WorkerIncarnation incarnation, WorkerSessionOptions options, WorkerSessionObserver& observer);

    /// \brief Sends the first renewal, which also fences off earlier owners.
    void start();

    /// \brief Ends the session; the observer receives no further events.
    void close();

    /// \brief Notes that ended attempts up to `sequence` are stored: the worker may discard them.
    void acknowledge(std::uint64_t sequence);

    /// \brief Sets the long-poll time of renewals.
    void setWait(Millis wait) noexcept { m_options.wait = wait; }

    /// \returns The lease for a command sent now, on the worker's clock in ms;
    /// nothing before the first response.
    [[nodiscard]] std::optional<std::int64_t> leaseForCommand();

    /// \brief Applies the worker's clock from the response to a command.
    /// \returns False if the clock went back: another incarnation may have responded.
    bool noteClock(std::int64_t workerClock);

    /// \brief Requests a status report without a long poll, in parallel to the pending renewal. Does nothing while an earlier probe is pending
    /// and not overdue.
    void probe();

    /// \brief Notes that a call to the worker is overdue: for a while renewals use a shorter long-poll time, since a lost response hides ended
    /// attempts until its call times out.
    void noteOverdue();

    /// \returns Whether a call to the worker was overdue recently.
    [[nodiscard]] bool wasOverdueLately() const { return m_loop.now() < m_reducedWaitUntil; }

    /// \brief Probes the worker after `pause`.
    void probeAfter(Millis pause);

    /// \returns The newest time on the worker's clock that a response carried, ms: the worker was up then; 0 before the first response.
    [[nodiscard]] std::int64_t lastSeenOnClock() const noexcept { return m_lastSeenOnClock; }

    /// \returns The estimated current time on the worker's clock, ms; 0 before the first response.
    [[nodiscard]] std::int64_t clockNow() const;

    /// \returns Whether the worker is known to have been up at or after `instant`.
    [[nodiscard]] bool answeredSince(MonotonicInstant instant) const noexcept { return m_lastSeenOnClock > 0 && m_answeredAt >= instant; }

    [[nodiscard]] const WorkerIncarnation& incarnation() const noexcept { return m_incarnation; }

    /// \returns The fencing token of all commands to this incarnation.
    [[nodiscard]] std::uint64_t epoch() const noexcept { return m_options.epoch; }

    /// \returns Whether the worker has answered a renewal of this owner, which fences off all earlier owners.
    [[nodiscard]] bool hasAnswered() const noexcept { return m_hasAnswered; }

    /// \returns Whether the worker has reported to this owner everything that it runs, and every end that it has not discarded.
    [[nodiscard]] bool hasReportedAll() const noexcept { return m_hasReportedAll; }

    /// \returns Whether the last renewal got no response.
    [[nodiscard]] bool isUnresponsive() const noexcept { return m_unresponsive; }

    /// \returns Whether the incarnation is known to have ended.
    [[nodiscard]] bool hasIncarnationEnded() const noexcept { return m_incarnationEnded; }

    /// \returns Whether another incarnation may answer under this id. Ids that the platform does not reuse come without a start time.
    [[nodiscard]] bool mayShareId() const noexcept { return m_incarnation.startedAt != 0; }

    /// \returns When every lease granted to this worker has certainly expired, unless a command without a response has reached a later
    /// incarnation.
    [[nodiscard]] MonotonicInstant leaseExpiresBy() const;

    /// \returns When the end of the incarnation was noted; meaningful only after its end.
    [[nodiscard]] MonotonicInstant endedAt() const noexcept { return m_endedAt; }

    /// \brief Notes the end of the incarnation, proved by another source.
    void noteIncarnationOver();

    /// \brief The worker reports another start time than that of this incarnation, which has therefore ended.
    void noteRestart(std::int64_t startedAt);

private:
    void renew();
    void renewAt(MonotonicInstant when);
    void watchRenewal(MonotonicInstant overdueAt, Millis pause);
    void watchProbe(MonotonicInstant sentAt, MonotonicInstant overdueAt);
    void handleResponse(const RenewResult& result, MonotonicInstant sentAt);
    void checkLeaseExpiry();
    void scheduleLeaseExpiry();
    void scheduleCommandExpiry();
    /// \returns When no command of this session is in effect any more, at any incarnation.
    [[nodiscard]] MonotonicInstant commandsExpireBy() const;
    void suspectRestart();
    void confirmIncarnation();
    [[nodiscard]] bool mayHaveRestarted() const;
    [[nodiscard]] bool isOfThisIncarnation(const RenewResult& result) const noexcept { return result.startedAt == 0 || m_incarnation.startedAt == 0 || result.startedAt == m_incarnation.startedAt; }
    void renewBy(MonotonicInstant when);

    EventLoop& m_loop;
    WorkerControl& m_control;
    WorkerIncarnation m_incarnation;
    WorkerSessionOptions m_options;
    WorkerSessionObserver& m_observer;
    bool m_closed = false;
    bool m_renewing = false;
    bool m_hasAnswered = false;
    bool m_hasReportedAll = false;
    bool m_unresponsive = false;
    bool m_incarnationEnded = false;
    MonotonicInstant m_endedAt;
    bool m_restartSuspected = false; ///< Another incarnation may respond under this id.
    MonotonicInstant m_nextProbeAt; ///< No probe is sent before this.
    MonotonicInstant m_reducedWaitUntil;
    MonotonicInstant m_renewalSentAt; ///< Send time of the pending renewal.
    MonotonicInstant m_confirmedAt; ///< When a response last confirmed this incarnation.
    bool m_leaseExpired = false;
    bool m_awaitingAcknowledgement = false;
    std::uint64_t m_storedUpTo = 0;
    std::int64_t m_clockSample = 0; ///< A time on the worker's clock, ms; 0 before the first response.
    MonotonicInstant m_clockSampledBy; ///< Local time by which the worker's clock had reached `m_clockSample`.
    std::int64_t m_lastSeenOnClock = 0; ///< Newest time on the worker's clock, ms; responses may overtake each other.
    MonotonicInstant m_answeredAt; ///< When `m_lastSeenOnClock` was received.
    std::int64_t m_latestLease = 0; ///< Latest granted lease, on the worker's clock, ms.
    MonotonicInstant m_latestLeaseSentAt; ///< When the last lease was granted.
    TimerId m_timer = 0;
    MonotonicInstant m_timerAt;
};

} // namespace lanemoor::jobs
