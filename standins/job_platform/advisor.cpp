#include "advisor.h"

#include "wire_text.h"
#include "worker.h"

#include <algorithm>
#include <numeric>

namespace lanemoor::standin {

namespace {

using namespace jobs;
using nlohmann::json;

constexpr std::size_t maxWorkersPerCall = 100;
constexpr std::size_t maxWaitingCalls = 32;
constexpr unsigned refusedHallOneIn = 3;
constexpr Millis decisionTime { 20 }; // These three equal the terms in the soak's configuration.
constexpr Millis timePerWorker { 5 };
constexpr Millis validity { 1'500 };

/// \returns A number that is spread evenly over texts and does not depend on the standard library.
unsigned digest(const std::string& text)
{
    return std::accumulate(text.begin(), text.end(), 0U, [](unsigned sum, char letter) { return sum + static_cast<unsigned char>(letter); });
}

bool mayRun(const std::string& step, const WorkerIdentity& worker)
{
    return (digest(step) + digest(worker.dataHall)) % refusedHallOneIn != 0;
}

} // namespace

Advisor::Advisor(aio::AsioEventLoop& loop, unsigned callers)
    : m_loop(loop)
    , m_callers(callers)
{
    for (Caller& caller : m_callers) {
        caller.listener = std::make_unique<aio::HttpListener>(loop, aio::HttpListenerOptions { .address = { "127.0.0.1", 0 } }, [this, &caller](const HttpRequest& request, const aio::HttpResponder& respond) {
            if (pathOf(request.target) == "/api/advise")
                advise(caller, objectIn(request), respond);
            else
                respond(answerJson(status::notFound, json::object()));
        });
    }
}

std::vector<std::uint16_t> Advisor::ports() const
{
    std::vector<std::uint16_t> ports;
    for (const Caller& caller : m_callers)
        ports.push_back(caller.listener->port());
    return ports;
}

void Advisor::advise(Caller& caller, const json& body, const aio::HttpResponder& respond)
{
    // Dropping the responder closes the connection without a response.
    if (m_isUnresponsive)
        return;
    const std::vector<std::string> workers = body.value("workers", std::vector<std::string>());
    if (workers.size() > maxWorkersPerCall) {
        respond(answerJson(status::badRequest, json::object()));
        return;
    }
    if (caller.waiting >= maxWaitingCalls) {
        respond(answerJson(status::tooManyRequests, json::object()));
        return;
    }
    ++caller.waiting;
    caller.freeAt = std::max(caller.freeAt, m_loop.now()) + decisionTime + timePerWorker * static_cast<int>(workers.size());
    m_loop.callAt(caller.freeAt, [this, &caller, step = textIn(body, "step"), workers, respond] {
        --caller.waiting;
        respond(answerJson(status::ok, { { "good", decide(step, workers) } }));
    });
}

json Advisor::decide(const std::string& step, const std::vector<std::string>& workers)
{
    std::erase_if(m_tickets, [&](const auto& entry) { return entry.second.validUntil < m_loop.now(); });
    json rows = json::array();
    for (const std::string& id : workers) {
        const WorkerIdentity* worker = find ? find(id) : nullptr;
        if (!worker || !mayRun(step, *worker))
            continue;
        const std::string ticket = "t-" + std::to_string(++m_lastTicket);
        m_tickets[ticket] = { .step = step, .worker = id, .startedAt = worker->startedAt, .validUntil = m_loop.now() + validity };
        rows.push_back({ id, ticket });
    }
    return rows;
}

bool Advisor::accepts(const std::string& ticket, const std::string& step, const WorkerIdentity& worker) const
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end() || m_loop.now() >= found->second.validUntil)
        return false;
    const Ticket& known = found->second;
    return known.step == step && known.worker == worker.id && known.startedAt == worker.startedAt;
}

} // namespace lanemoor::standin
