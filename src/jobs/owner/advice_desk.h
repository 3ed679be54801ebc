#pragma once
/// \file
/// Queries the placement advisor, one call at a time, and caches its answers.

#include "owner_state.h"

#include <deque>
#include <set>

namespace lanemoor::jobs {

/// \brief Provides the tickets for steps of queues that require advice.
class AdviceDesk : public std::enable_shared_from_this<AdviceDesk> {
public:
    explicit AdviceDesk(OwnerState& state);

    /// \brief Looks up the tickets of a step, and queries the advisor if there are no valid ones.
    /// \returns Tickets by worker, or null if there is no valid answer yet.
    const std::map<std::string, std::string>* ticketsFor(const std::string& job, const StepId& step, const std::vector<std::string>& workers);

    /// \brief Drops the cached answer for a step, after a worker refused one of its tickets.
    void forget(const std::string& job, const StepId& step);

    void close() { m_closed = true; }

private:
    using Key = std::pair<std::string, StepId>;

    struct Answer {
        std::map<std::string, std::string> tickets;
        MonotonicInstant validUntil;
    };

    struct Question {
        Key key;
        std::vector<std::string> workers;
    };

    void askNext();

    OwnerState& m_state;
    std::map<Key, Answer> m_answers;
    std::deque<Question> m_questions;
    std::set<Key> m_asked; ///< Queued or in flight.
    bool m_asking = false;
    bool m_closed = false;
};

} // namespace lanemoor::jobs
