#pragma once
/// \file
/// Answers of the placement advisor on one step.

#include "lanemoor/jobs/model/event_loop.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// Whether a worker incarnation may run a step, as far as known. The advisor's decision on an incarnation does not change.
enum class AdviceState {
    Unasked, ///< No answer on this incarnation: nothing may be concluded.
    Allowed, ///< The incarnation may run the step, with a valid ticket.
    Refused,
};

/// \brief Answers on the incarnations of workers for one step. An answer holds for the incarnation's lifetime, a ticket until its expiry.
class StepAdvice {
public:
    /// Number of a worker incarnation, unique within a term.
    using Incarnation = std::uint64_t;

    [[nodiscard]] AdviceState stateOf(Incarnation incarnation) const;

    /// \returns The ticket of an incarnation, or null if there is none that is valid at `now`.
    [[nodiscard]] const std::string* ticketOf(Incarnation incarnation, MonotonicInstant now) const;

    /// \brief Notes that an incarnation may run the step.
    void allow(Incarnation incarnation, std::string ticket, MonotonicInstant validUntil);

    /// \brief Notes that an incarnation may not run the step.
    void refuse(Incarnation incarnation);

    /// \brief Drops a ticket that the worker did not accept. The incarnation stays allowed and needs another ticket.
    void dropTicket(Incarnation incarnation);

    /// \returns The number of incarnations with an answer.
    [[nodiscard]] std::size_t answers() const noexcept { return m_answers.size(); }

private:
    struct Answer {
        bool isAllowed = false;
        std::string ticket; ///< Empty: none.
        MonotonicInstant validUntil; ///< Of the ticket.
    };

    std::map<Incarnation, Answer> m_answers;
};

/// A worker that has the label and the size for a step, as input of `selectForAdvice`.
struct AdviceCandidate {
    AdviceState state = AdviceState::Unasked;
    bool hasTicket = false; ///< A valid one.
    bool hasRoom = false; ///< For one task of the step.
    bool isNear = false; ///< Close to the step's data.
};

/// Need of a step for tickets.
struct AdviceNeed {
    bool isGang = false; ///< All tasks need valid tickets at the same time.
    std::size_t tasks = 0; ///< Tasks without a place.
    std::vector<std::size_t> allowedPlaces; ///< Indices of the allowed candidates on which such tasks fit, once for each task.

    /// \returns Whether the allowed candidates have a place for each task.
    [[nodiscard]] bool isMet() const noexcept { return allowedPlaces.size() >= tasks; }
};

/// Max number of workers in one call, by the platform's bound.
constexpr std::size_t maxWorkersPerAdviceCall = 100;

/// \brief Selects the workers of the next call: allowed ones that need a ticket, then, while tasks have no place on the allowed ones, unasked
/// ones. Those with room and near the data come first. Pure function.
/// \param answers Number of answers so far: the first calls are small, since most steps find a place among few workers.
/// \returns Indices of candidates, at most `maxWorkersPerAdviceCall`; empty: no answer would help.
[[nodiscard]] std::vector<std::size_t> selectForAdvice(const std::vector<AdviceCandidate>& candidates, const AdviceNeed& need, std::size_t answers);

} // namespace lanemoor::jobs
