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
/// its empty room would attract what other workers would run. One with two overdue starts that does not answer a probe
/// either gets no start until it answers anything.
class StartAnswers {
public:
    /// No limit on further starts.
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

    /// \brief A start was sent.
    void noteSent(const Attempt& attempt) { m_open.insert_or_assign(attempt, false); }

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

    /// \returns Whether the worker has answered no start since one was overdue.
    [[nodiscard]] bool isDistrusted(MonotonicInstant now) const noexcept { return now < m_distrustedUntil; }

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
    std::map<Attempt, bool> m_open; ///< Starts without an answer, and whether it is overdue.
    MonotonicInstant m_distrustedUntil;
    bool m_probeOverdue = false;
};

} // namespace lanemoor::jobs
