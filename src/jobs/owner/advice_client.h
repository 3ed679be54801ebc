#pragma once
/// \file
/// Queries the placement advisor, one call at a time, and caches its answers.

#include "lanemoor/jobs/policy/step_advice.h"
#include "owner_state.h"

#include <deque>
#include <set>

namespace lanemoor::jobs {

/// \brief Obtains the tickets for steps of queues that require advice.
///
/// Steps take turns: a call is about one step, and its next call is queued behind those of the others. After a failed call, no call is sent for a
/// growing pause.
class AdviceClient : public std::enable_shared_from_this<AdviceClient> {
public:
    explicit AdviceClient(OwnerState& state);

    /// \returns The answers on a step so far; none for a step without a call. Valid until control returns to the event loop.
    [[nodiscard]] const StepAdvice& adviceOn(const std::string& job, const StepId& step);

    /// \returns Whether a call about the step is queued or in flight.
    [[nodiscard]] bool isPending(const std::string& job, const StepId& step) const { return m_pending.contains({ job, step }); }

    /// \returns Whether the latest call failed.
    [[nodiscard]] bool isFailing() const noexcept { return m_failures > 0; }

    /// \brief Queues a call about a step. Ignored while one is pending, or if there are no workers.
    /// \param workers At most `maxWorkersPerAdviceCall`.
    void query(const std::string& job, const StepId& step, const AdvicePolicy& policy, const std::vector<const WorkerRecord*>& workers);

    /// \brief Drops a ticket that the worker did not accept.
    void dropTicket(const std::string& job, const StepId& step, const WorkerRecord& worker);

    void close() { m_closed = true; }

private:
    using Key = std::pair<std::string, StepId>;

    struct Step {
        StepAdvice advice;
        MonotonicInstant lastUsedAt;
    };

    struct QueriedWorker {
        std::string id;
        StepAdvice::Incarnation incarnation = 0;
    };

    struct Query {
        Key key;
        AdvicePolicy policy;
        std::vector<QueriedWorker> workers;
        MonotonicInstant queuedAt;
    };

    [[nodiscard]] bool isObsolete(const Key& key) const;
    void sendNext();
    void handleAnswer(const Query& query, const Advice& advice, MonotonicInstant sentAt);
    [[nodiscard]] static Millis ticketValidity(const Query& query, const Advice& advice);
    void pauseAfterFailure();
    void eraseStep(const Key& key);
    void evict();
    void logAnswer(const Query& query, const Advice& advice, MonotonicInstant sentAt) const;

    OwnerState& m_state;
    std::map<Key, Step> m_steps;
    std::size_t m_answers = 0; ///< On all steps.
    std::deque<Query> m_queries;
    std::set<Key> m_pending; ///< Steps with a call that is queued or in flight.
    std::uint32_t m_failures = 0; ///< Consecutive failed calls.
    bool m_isInFlight = false;
    bool m_isPaused = false;
    bool m_closed = false;
};

} // namespace lanemoor::jobs
