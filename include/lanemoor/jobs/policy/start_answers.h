#pragma once
/// \file
/// Which starts at a worker were not answered, and what it may be sent meanwhile. Pure: time is passed in.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/worker_control.h"

#include <cstdint>
#include <limits>
#include <map>

namespace lanemoor::jobs {

/// \brief The open starts at one incarnation of a worker.
///
/// A worker that answered no start since one was overdue is distrusted: it comes after all others and has two open starts at most, since
/// its empty room would attract what other workers would run. So is one that does not answer a probe, until it answers anything; with two
/// overdue starts it gets no more meanwhile.
class StartAnswers {
public:
    /// No limit on further starts.
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

    /// \brief A start was sent. \param leaseUntil That it carries, on the worker's clock in ms.
    void noteSent(const Attempt& attempt, std::int64_t leaseUntil, MonotonicInstant now) { m_open.insert_or_assign(attempt, OpenStart { .leaseUntil = leaseUntil, .deliveredBy = now + latestDelivery }); }

    /// \brief The answer to a start is overdue. \returns False if it was noted before, or the start is settled.
    bool noteOverdue(const Attempt& attempt, MonotonicInstant now);

    /// \brief A start was answered. \returns Whether the answer was overdue.
    bool noteAnswered(const Attempt& attempt);

    /// \brief A report of the worker tells what became of a start, or the attempt is over.
    void noteSettled(const Attempt& attempt) { m_open.erase(attempt); }

    /// \brief A probe was not answered in time, nor was anything since it was sent.
    void noteProbeOverdue() noexcept { m_probeOverdue = true; }

    /// \brief The worker has answered any call.
    void noteHeard() noexcept { m_probeOverdue = false; }

    /// \returns Whether the worker has answered no start since one was overdue, or no probe.
    [[nodiscard]] bool isDistrusted(MonotonicInstant now) const noexcept { return m_probeOverdue || now < m_distrustedUntil; }

    /// \returns Whether a start that no report has shown can't begin any more: a worker refuses a start whose lease is over, and
    /// no connection delivers it any more to another incarnation, whose clock may be behind.
    /// \param workerClock Of the incarnation that does not list the attempt, ms.
    [[nodiscard]] bool hasExpired(const Attempt& attempt, std::int64_t workerClock, MonotonicInstant now) const;

    /// \returns Whether the worker answered its last probe in time, as far as one was due.
    [[nodiscard]] bool isAnswering() const noexcept { return !m_probeOverdue; }

    /// \returns How many more starts may be sent.
    [[nodiscard]] std::uint32_t startsLeft(MonotonicInstant now) const;

    /// \brief Forgets open starts of attempts that are over. \param isOver Tells so of an attempt.
    template <typename Predicate>
    void dropSettled(Predicate isOver)
    {
        std::erase_if(m_open, [&](const auto& open) { return isOver(open.first); });
    }

private:
    /// An order without an answer may be carried out some 6 s after it was sent.
    static constexpr Millis latestDelivery { 7'000 };

    /// A start without an answer.
    struct OpenStart {
        std::int64_t leaseUntil = 0; ///< On the worker's clock, ms.
        MonotonicInstant deliveredBy; ///< It does not arrive later.
        bool overdue = false;
    };

    std::map<Attempt, OpenStart> m_open;
    MonotonicInstant m_distrustedUntil;
    bool m_probeOverdue = false;
};

} // namespace lanemoor::jobs
