#pragma once
/// \file
/// Placement advisor: decides which workers may run a step, and issues tickets for starts.

#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/aio/http_listener.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lanemoor::standin {

struct WorkerIdentity;

/// \brief Refuses the workers of one data hall for each step. Each caller has its own port and has one call handled at a time.
class Advisor {
public:
    Advisor(aio::AsioEventLoop& loop, unsigned callers);

    std::function<const WorkerIdentity*(const std::string& worker)> find; ///< The current incarnation by worker id; null: none.

    /// \returns The port of each caller.
    [[nodiscard]] std::vector<std::uint16_t> ports() const;

    /// \returns Whether a start of a task of the step at the incarnation may bring the ticket now.
    [[nodiscard]] bool accepts(const std::string& ticket, const std::string& step, const WorkerIdentity& worker) const;

    /// \brief Lets calls end without an answer.
    void setUnresponsive(bool isUnresponsive) { m_isUnresponsive = isUnresponsive; }

private:
    struct Caller {
        std::unique_ptr<aio::HttpListener> listener;
        std::size_t waiting = 0;
        jobs::MonotonicInstant freeAt;
    };

    struct Ticket {
        std::string step;
        std::string worker;
        std::int64_t startedAt = 0; ///< Of the worker's incarnation.
        jobs::MonotonicInstant validUntil;
    };

    void advise(Caller& caller, const nlohmann::json& body, const aio::HttpResponder& respond);
    [[nodiscard]] nlohmann::json decide(const std::string& step, const std::vector<std::string>& workers);

    aio::AsioEventLoop& m_loop;
    std::vector<Caller> m_callers;
    std::map<std::string, Ticket> m_tickets;
    std::uint64_t m_lastTicket = 0;
    bool m_isUnresponsive = false;
};

} // namespace lanemoor::standin
