#pragma once
/// \file
/// Queries the placement advisor, one call at a time, and caches its answers.

#include "owner_state.h"

#include <deque>
#include <set>

namespace lanemoor::jobs {

/// \brief Provides the tickets for steps of queues that require advice.
class AdviceClient : public std::enable_shared_from_this<AdviceClient> {
public:
    explicit AdviceClient(OwnerState& state);

    /// \brief Looks up the tickets of a step, and queries the advisor if there are no valid ones.
    /// \returns Tickets by worker, or null if there is no valid answer yet.
    const std::map<std::string, std::string>* ticketsFor(const std::string& job, const StepId& step, const std::vector<std::string>& workers);

    /// \brief Drops the cached answer for a step, after a worker refused one of its tickets.
    void dropAnswer(const std::string& job, const StepId& step);

    void close() { m_closed = true; }

private:
    using Key = std::pair<std::string, StepId>;

    struct Answer {
        std::map<std::string, std::string> tickets;
        MonotonicInstant validUntil;
    };

    struct Query {
        Key key;
        std::vector<std::string> workers;
    };

    void sendNext();

    OwnerState& m_state;
    std::map<Key, Answer> m_answers;
    std::deque<Query> m_queries;
    std::set<Key> m_pending; ///< Queued or in flight.
    bool m_isInFlight = false;
    bool m_closed = false;
};

} // namespace lanemoor::jobs
