#pragma once
/// \file
/// The owner's link to one life of a worker: its lease, its clock, what runs and ended there.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/worker_control.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace lanemoor::jobs {

class WorkerSession;

/// How a session renews.
struct WorkerSessionOptions {
    std::uint64_t epoch = 0; ///< Of the ownership.
    MonotonicInstant inheritedLeaseOverBy; ///< Until when a lease of an earlier owner may last.
    /// Of all that runs at the worker. The price of a lost owner (work lapses) against that of
    /// a lost worker (its tasks wait as long).
    Millis leaseTime { 5'000 };
    Millis wait { 1'000 }; ///< An answer waits this long for an end; a renewal comes at least as often.
    Millis retryPause { 200 }; ///< After a renewal without an answer.
    std::function<bool()> mayOrder; ///< Whether the ownership is held.
    std::function<Millis()> overdueAfter; ///< How long after its wait a call without an answer is overdue.
};

/// Hears what a session learns.
class WorkerSessionObserver {
public:
    virtual ~WorkerSessionObserver() = default;

    /// \brief A renewal was answered. The observer calls `acknowledge` once the ends are stored.
    /// \param sentAt When the renewal was sent: orders answered before that are reflected in it.
    virtual void onAnswer(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt) = 0;

    /// \brief A probe was answered. It may have overtaken renewals, or been overtaken.
    /// \param sentAt When the probe was sent: commands answered before that are reflected in it.
    virtual void onProbe(WorkerSession& session, const RenewResult& result, MonotonicInstant sentAt) = 0;

    /// \brief The worker lives: an answer told a newer time of its clock.
    virtual void onHeard(WorkerSession& session) = 0;

    /// \brief A probe is overdue, and nothing was answered since it was sent.
    virtual void onOverdue(WorkerSession& session) = 0;

    /// \brief A renewal was not answered.
    virtual void onSilence(WorkerSession& session) = 0;

    /// \brief The life is over, or its lease is: nothing runs there any more.
    /// \param lifeOver False: the worker may answer again, with nothing running.
    virtual void onOver(WorkerSession& session, bool lifeOver) = 0;

    /// \brief The worker has started again under its id. Nothing that the former life held runs any more; an order to it whose
    /// delivery is open may yet reach the new life.
    /// \param startedAt Of the new life. \param wasOver The former life, or its lease, was known to be over before.
    virtual void onRestart(WorkerSession& session, std::int64_t startedAt, bool wasOver) = 0;

    /// \brief The worker knows a later owner.
    virtual void onFenced(WorkerSession& session) = 0;
};

/// \brief Renews the lease on all that runs at one life of a worker.
///
/// A lease is a time on the worker's clock, which may be slow by 2%. The session knows the
/// clock from the worker's answers and tells when the longest lease it gave is surely over.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
public:
    WorkerSession(EventLoop& loop, WorkerControl& control, WorkerIncarnation life, WorkerSessionOptions options, WorkerSessionObserver& observer);

    /// \brief Sends the first renewal, which also keeps earlier owners out.
    void start();

    /// \brief Ends the session; nothing is heard from it any more.
    void close();

    /// \brief Ends up to `sequence` are stored: the worker may forget them.
    void acknowledge(std::uint64_t sequence);

    /// \brief Sets how long answers may wait for an end.
    void setWait(Millis wait) noexcept { m_options.wait = wait; }

    /// \returns The lease that an order sent now should carry, on the worker's clock in ms;
    /// nothing before the first answer.
    [[nodiscard]] std::optional<std::int64_t> leaseForOrder();

    /// \brief Takes in the clock that came with the answer to an order.
    /// \returns False if the clock went back: another incarnation may have answered.
    bool noteClock(std::int64_t workerClock);

    /// \brief Asks the worker what it holds, beside the renewal that waits for an end. No second probe is sent before the first is overdue.
    void probe();

    /// \brief Notes that a call to the worker is overdue: for a while answers wait less for an end, since a lost one hides the ends
    /// until its call times out.
    void noteOverdue();

    /// \returns Whether a call to the worker was overdue lately.
    [[nodiscard]] bool wasOverdueLately() const { return m_loop.now() < m_shortWaitUntil; }

    /// \brief Probes the worker after `pause`.
    void probeAfter(Millis pause);

    /// \returns The newest time of the worker's clock that an answer brought, ms: it lived then; 0 before the first answer.
    [[nodiscard]] std::int64_t heardOnClock() const noexcept { return m_heardOnClock; }

    /// \returns The worker's clock now, ms, as far as its answers tell; 0 before the first answer.
    [[nodiscard]] std::int64_t clockNow() const;

    /// \returns Whether the worker is known to have been up at or after `instant`.
    [[nodiscard]] bool answeredSince(MonotonicInstant instant) const noexcept { return m_heardOnClock > 0 && m_answeredAt >= instant; }

    [[nodiscard]] const WorkerIncarnation& life() const noexcept { return m_life; }

    /// \returns Whether the worker answered a renewal of this owner, which keeps all earlier ones out.
    [[nodiscard]] bool isMet() const noexcept { return m_met; }

    /// \returns Whether the last renewal got no answer.
    [[nodiscard]] bool isSilent() const noexcept { return m_silent; }

    /// \returns Whether the life is known to be over.
    [[nodiscard]] bool isLifeOver() const noexcept { return m_lifeOver; }

    /// \returns When every lease given to this worker is surely over.
    [[nodiscard]] MonotonicInstant leaseOverBy() const;

    /// \brief The life is over, by proof from elsewhere.
    void noteLifeOver();

    /// \brief The worker has told another start than that of this life, which is over.
    void noteRestart(std::int64_t startedAt);

private:
    void renew();
    void renewAt(MonotonicInstant when);
    void watchRenewal(MonotonicInstant overdueAt, Millis pause);
    void watchProbe(MonotonicInstant sentAt, MonotonicInstant overdueAt);
    void answered(const RenewResult& result, MonotonicInstant sentAt);
    void watchLease();
    void endLeaseInTime();
    void doubtLife();
    void noteThisLife();
    [[nodiscard]] bool mayBeAnotherLife() const;
    [[nodiscard]] bool isOfThisLife(const RenewResult& result) const noexcept { return result.startedAt == 0 || m_life.startedAt == 0 || result.startedAt == m_life.startedAt; }
    void hurry(MonotonicInstant when);

    EventLoop& m_loop;
    WorkerControl& m_control;
    WorkerIncarnation m_life;
    WorkerSessionOptions m_options;
    WorkerSessionObserver& m_observer;
    bool m_closed = false;
    bool m_renewing = false;
    bool m_met = false;
    bool m_silent = false;
    bool m_lifeOver = false;
    bool m_lifeInDoubt = false; ///< Another life may answer under this id.
    MonotonicInstant m_probeFrom; ///< No probe is sent before this.
    MonotonicInstant m_shortWaitUntil;
    MonotonicInstant m_renewalSentAt; ///< Of the renewal under way.
    MonotonicInstant m_heardAt; ///< When an answer last told that it is this life.
    bool m_leaseLapsed = false;
    bool m_awaitingAcknowledgement = false;
    std::uint64_t m_storedUpTo = 0;
    std::int64_t m_clockSample = 0; ///< The worker's clock, ms,
    MonotonicInstant m_clockSampledBy; ///< which it had passed at this time of ours.
    std::int64_t m_heardOnClock = 0; ///< Answers may overtake each other.
    MonotonicInstant m_answeredAt; ///< When `m_heardOnClock` was received.
    std::int64_t m_longestLease = 0; ///< On the worker's clock, ms.
    TimerId m_timer = 0;
    MonotonicInstant m_timerAt;
};

} // namespace lanemoor::jobs
