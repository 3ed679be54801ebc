#pragma once
/// \file
/// Tracks unacknowledged starts at a worker and limits further ones. Pure: time is passed in.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/worker_control.h"

#include <cstdint>
#include <limits>
#include <map>

namespace lanemoor::jobs {

/// \brief The unacknowledged starts at one incarnation of a worker.
///
/// A worker with an overdue start and no answer to any start since is distrusted: placement uses it last, with at most two
/// unacknowledged starts, since its empty room would attract the tasks of other workers. A worker that does not answer a probe is
/// distrusted until it answers any call; with two overdue starts it gets no further ones meanwhile.
class UnacknowledgedStarts {
public:
    /// No limit on further starts.
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

    /// \brief Records a sent start. \param leaseUntil Lease end in the start, in ms on the worker's clock.
    void noteSent(const Attempt& attempt, std::int64_t leaseUntil, MonotonicInstant now) { m_unacknowledged.insert_or_assign(attempt, SentStart { .leaseUntil = leaseUntil, .deliveredBy = now + latestDelivery }); }

    /// \brief Records that the answer to a start is overdue. \returns False if it was recorded before, or the start is settled.
    bool noteOverdue(const Attempt& attempt, MonotonicInstant now);

    /// \brief Records the answer to a start. \returns Whether it was overdue.
    bool noteAnswered(const Attempt& attempt);

    /// \brief Settles a start whose outcome a report of the worker shows, or whose attempt has ended.
    void noteSettled(const Attempt& attempt) { m_unacknowledged.erase(attempt); }

    /// \brief Records that a probe timed out and no other answer came since it was sent.
    void noteProbeOverdue() noexcept { m_probeOverdue = true; }

    /// \brief Records an answer of the worker to any call.
    void noteResponse() noexcept { m_probeOverdue = false; }

    /// \returns Whether a start became overdue recently and the worker has answered none since, or a probe is overdue.
    [[nodiscard]] bool isDistrusted(MonotonicInstant now) const noexcept { return m_probeOverdue || now < m_distrustedUntil; }

    /// \returns Whether a start that no report has shown cannot take effect any longer: the worker refuses a start whose lease
    /// has expired, and no connection can still deliver it to another incarnation, whose clock may be behind.
    /// \param workerClock Clock of the incarnation that does not list the attempt, in ms.
    [[nodiscard]] bool hasExpired(const Attempt& attempt, std::int64_t workerClock, MonotonicInstant now) const;

    /// \returns Whether no probe is overdue.
    [[nodiscard]] bool isAnswering() const noexcept { return !m_probeOverdue; }

    /// \returns The starts that may still reach the next incarnation under the same id. Their leases are not on its clock: only the
    /// latest delivery bounds them.
    [[nodiscard]] UnacknowledgedStarts forNextIncarnation() const;

    /// \returns Number of further starts that may be sent.
    [[nodiscard]] std::uint32_t startsLeft(MonotonicInstant now) const;

    /// \brief Drops starts of attempts that have ended. \param hasEnded Predicate on an attempt.
    template <typename Predicate>
    void dropSettled(Predicate hasEnded)
    {
        std::erase_if(m_unacknowledged, [&](const auto& pending) { return hasEnded(pending.first); });
    }

private:
    /// An unacknowledged command may be carried out some 6 s after it was sent.
    static constexpr Millis latestDelivery { 7'000 };

    struct SentStart {
        std::int64_t leaseUntil = 0; ///< On the worker's clock, ms; 0: sent to a previous incarnation.
        MonotonicInstant deliveredBy; ///< Latest possible delivery.
        bool overdue = false;
    };

    std::map<Attempt, SentStart> m_unacknowledged;
    MonotonicInstant m_distrustedUntil;
    bool m_probeOverdue = false;
};

} // namespace lanemoor::jobs
