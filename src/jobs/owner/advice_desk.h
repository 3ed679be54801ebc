#pragma once
/// \file
/// Asks the placement advisor, one call at a time, and keeps its answers.

#include "owner_state.h"

#include <deque>
#include <set>

namespace lanemoor::jobs {

/// \brief Tickets for the steps of queues that need advice.
class AdviceDesk : public std::enable_shared_from_this<AdviceDesk> {
public:
    explicit AdviceDesk(OwnerState& state);

    /// \brief Finds the tickets of a step; asks for them if there are none that last.
    /// \returns Tickets by worker, or null if there is no answer yet.
    const std::map<std::string, std::string>* ticketsFor(const std::string& job, const StepId& step, const std::vector<std::string>& workers);

    /// \brief Forgets the answers for a step, after a worker refused one.
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
    std::set<Key> m_asked; ///< Waiting or under way.
    bool m_asking = false;
    bool m_closed = false;
};

} // namespace lanemoor::jobs
