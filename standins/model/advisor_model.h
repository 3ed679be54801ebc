#pragma once
/// \file
/// A simulation of the platform's placement advisor and its tickets.

#include "lanemoor/jobs/model/fleet_control.h"
#include "lanemoor/jobs/model/worker_control.h"
#include "sim_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lanemoor::model {

struct WorkerModel;

/// \brief Decides which worker incarnations may run a step, and checks the tickets of starts. Each process has one call handled at a time.
class AdvisorModel {
public:
    explicit AdvisorModel(SimClock& clock)
        : m_clock(clock)
    {
    }

    /// \returns Whether the starts of a job need a ticket; null: none does.
    std::function<bool(const std::string& job)> needsTicket;
    /// \returns Whether an incarnation may run a step; must not change during the incarnation. Null: each may.
    std::function<bool(const WorkerModel& worker, const std::string& step)> admits;
    std::function<const WorkerModel*(const std::string& worker)> find; ///< The current incarnation by worker id.
    std::function<void(const std::string& detail)> onMisuse; ///< A call that the platform does not permit; may be null.
    Millis decisionTime { 20 };
    Millis timePerWorker { 5 };
    Millis validity { 3'000 };
    bool isSilent = false; ///< Calls get no answer.

    /// \brief Handles a call. \param caller Identifies the process.
    void advise(const void* caller, const std::string& step, const std::vector<std::string>& workers, std::function<void(jobs::Advice)> done);

    /// \brief Invalidates all tickets before their time.
    void revokeTickets() { m_tickets.clear(); }

    /// \returns Whether a start at the incarnation has a valid ticket, or needs none.
    [[nodiscard]] bool accepts(const WorkerModel& worker, const jobs::StartCommand& command) const;

    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }

private:
    struct Ticket {
        std::string step;
        std::uint64_t incarnation = 0;
        MonotonicInstant validUntil;
    };

    /// Calls of one process that are not answered yet.
    struct Caller {
        std::size_t waiting = 0;
        MonotonicInstant freeAt;
    };

    [[nodiscard]] jobs::Advice decide(const std::string& step, const std::vector<std::string>& workers);

    SimClock& m_clock;
    std::map<const void*, Caller> m_callers;
    std::map<std::string, Ticket> m_tickets;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_calls = 0;
};

/// \returns The name of a step for the advisor.
[[nodiscard]] std::string stepName(const std::string& job, std::uint32_t occurrence, std::uint32_t step);

} // namespace lanemoor::model
